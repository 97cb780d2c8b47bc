//! Refusal of requests whose header exceeds the limits.

use std::convert::Infallible;
use std::future::{Future, Ready, ready};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use corneltrestle_node::pipeline::refusal::{Code, Refusal};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use pin_project_lite::pin_project;
use tower::Service;

use super::Limits;
use crate::{answer, body};

/// Passes requests on whose header is within the limits, and notes that there was one.
#[derive(Clone, Debug)]
pub(super) struct Checked<S> {
    inner: S,
    limits: Limits,
    asked: Arc<AtomicBool>,
}

impl<S> Checked<S> {
    pub(super) fn new(inner: S, limits: Limits, asked: Arc<AtomicBool>) -> Self {
        Self { inner, limits, asked }
    }
}

impl<S, B> Service<Request<B>> for Checked<S>
where
    S: Service<Request<B>, Response = Response<body::Body>, Error = Infallible>,
{
    type Response = Response<body::Body>;
    type Error = Infallible;
    type Future = Answer<S::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        self.asked.store(true, Ordering::Relaxed);
        match excess(&request, self.limits) {
            Some(message) => Answer::Refused { answer: ready(Ok(refused(message))) },
            None => Answer::Passed { inner: self.inner.call(request) },
        }
    }
}

pin_project! {
    /// The answer of the inner service, or a refusal.
    #[project = AnswerProject]
    #[derive(Debug)]
    pub(super) enum Answer<F> {
        Refused { answer: Ready<Result<Response<body::Body>, Infallible>> },
        Passed { #[pin] inner: F },
    }
}

impl<F> Future for Answer<F>
where
    F: Future<Output = Result<Response<body::Body>, Infallible>>,
{
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        match self.project() {
            AnswerProject::Refused { answer } => Pin::new(answer).poll(cx),
            AnswerProject::Passed { inner } => inner.poll(cx),
        }
    }
}

fn excess<B>(request: &Request<B>, limits: Limits) -> Option<String> {
    let fields = request.headers().len();
    if fields > limits.header_fields {
        return Some(format!("the header has more than {} fields", limits.header_fields));
    }
    let size = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len()
    };
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let bytes = target + request.headers().iter().map(size).sum::<usize>();
    (bytes > limits.header_bytes)
        .then(|| format!("the header is larger than {} bytes", limits.header_bytes))
}

fn refused(message: String) -> Response<body::Body> {
    let refusal = Refusal::not_run(Code::HeaderTooLarge, "receive", message);
    let mut response = answer::refusal(&refusal);
    let id = format!("{:032x}", rand::random::<u128>());
    if let Ok(id) = HeaderValue::try_from(id) {
        response.headers_mut().insert(answer::REQUEST_ID, id);
    }
    response
}

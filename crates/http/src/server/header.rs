//! Refusal of requests whose header exceeds the limits.

use std::{
    convert,
    future::{self, ready},
    pin,
    sync::{self, atomic},
    task,
};

use corneltrestle_node::pipeline::refusal;
use hyper::header;
use pin_project_lite::pin_project;
use tower::Service;

use crate::{answer, body, server};

/// Passes requests on whose header is within the limits, and notes that there was one.
#[derive(Clone, Debug)]
pub(super) struct Checked<S> {
    inner: S,
    limits: server::Limits,
    asked: sync::Arc<atomic::AtomicBool>,
}

impl<S> Checked<S> {
    pub(super) fn new(
        inner: S,
        limits: server::Limits,
        asked: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        Self { inner, limits, asked }
    }
}

impl<S, B> Service<hyper::Request<B>> for Checked<S>
where
    S: Service<
            hyper::Request<B>,
            Response = hyper::Response<body::Body>,
            Error = convert::Infallible,
        >,
{
    type Response = hyper::Response<body::Body>;
    type Error = convert::Infallible;
    type Future = Answer<S::Future>;

    fn poll_ready(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), convert::Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: hyper::Request<B>) -> Self::Future {
        self.asked.store(true, atomic::Ordering::Relaxed);
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
        Refused { answer: future::Ready<Result<hyper::Response<body::Body>, convert::Infallible>> },
        Passed { #[pin] inner: F },
    }
}

impl<F> Future for Answer<F>
where
    F: Future<Output = Result<hyper::Response<body::Body>, convert::Infallible>>,
{
    type Output = F::Output;

    fn poll(self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<F::Output> {
        match self.project() {
            AnswerProject::Refused { answer } => pin::Pin::new(answer).poll(cx),
            AnswerProject::Passed { inner } => inner.poll(cx),
        }
    }
}

fn excess<B>(request: &hyper::Request<B>, limits: server::Limits) -> Option<String> {
    let fields = request.headers().len();
    if fields > limits.header_fields {
        return Some(format!("the header has more than {} fields", limits.header_fields));
    }
    let size = |(name, value): (&hyper::header::HeaderName, &header::HeaderValue)| {
        name.as_str().len() + value.len()
    };
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let bytes = target + request.headers().iter().map(size).sum::<usize>();
    (bytes > limits.header_bytes)
        .then(|| format!("the header is larger than {} bytes", limits.header_bytes))
}

fn refused(message: String) -> hyper::Response<body::Body> {
    let refusal = refusal::Refusal::not_run(refusal::Code::HeaderTooLarge, "receive", message);
    let mut response = answer::refusal(&refusal);
    let id = format!("{:032x}", rand::random::<u128>());
    if let Ok(id) = header::HeaderValue::try_from(id) {
        response.headers_mut().insert(answer::REQUEST_ID, id);
    }
    response
}

//! Refusal of requests whose header exceeds the limits.

use std::{
    convert,
    future::{self, ready},
    pin,
    sync::{self, atomic},
    task,
};

use hyper::header;
use pin_project_lite::pin_project;
use tower::Service;

use crate::{limits::Limits, refuse::Refuse};

/// Passes requests on whose header is within the limits, and notes that there was one.
#[derive(Clone, Debug)]
pub(crate) struct Checked<S, R> {
    inner: S,
    refuse: R,
    limits: Limits,
    asked: sync::Arc<atomic::AtomicBool>,
}

impl<S, R> Checked<S, R> {
    pub(crate) fn new(
        inner: S,
        refuse: R,
        limits: Limits,
        asked: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        Self { inner, refuse, limits, asked }
    }
}

impl<S, R, B> Service<hyper::Request<B>> for Checked<S, R>
where
    S: Service<hyper::Request<B>, Response = hyper::Response<R::Body>, Error = convert::Infallible>,
    R: Refuse,
{
    type Response = hyper::Response<R::Body>;
    type Error = convert::Infallible;
    type Future = Answer<S::Future, R::Body>;

    fn poll_ready(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), convert::Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: hyper::Request<B>) -> Self::Future {
        self.asked.store(true, atomic::Ordering::Relaxed);
        match excess(&request, self.limits) {
            Some(message) => {
                Answer::Refused { answer: ready(Ok(self.refuse.header_too_large(&message))) }
            }
            None => Answer::Passed { inner: self.inner.call(request) },
        }
    }
}

pin_project! {
    /// The answer of the inner service, or a refusal.
    #[project = AnswerProject]
    #[derive(Debug)]
    pub(crate) enum Answer<F, B> {
        Refused { answer: future::Ready<Result<hyper::Response<B>, convert::Infallible>> },
        Passed { #[pin] inner: F },
    }
}

impl<F, B> Future for Answer<F, B>
where
    F: Future<Output = Result<hyper::Response<B>, convert::Infallible>>,
{
    type Output = F::Output;

    fn poll(self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<F::Output> {
        match self.project() {
            AnswerProject::Refused { answer } => pin::Pin::new(answer).poll(cx),
            AnswerProject::Passed { inner } => inner.poll(cx),
        }
    }
}

fn excess<B>(request: &hyper::Request<B>, limits: Limits) -> Option<String> {
    let fields = request.headers().len();
    if fields > limits.max_header_fields {
        return Some(format!("the header has more than {} fields", limits.max_header_fields));
    }
    let size = |(name, value): (&hyper::header::HeaderName, &header::HeaderValue)| {
        name.as_str().len() + value.len()
    };
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let bytes = target + request.headers().iter().map(size).sum::<usize>();
    (bytes > limits.max_header_bytes)
        .then(|| format!("the header is larger than {} bytes", limits.max_header_bytes))
}

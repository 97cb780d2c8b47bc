//! Layer that gives each request an identifier and echoes it in the answer.

use std::{
    pin,
    task::{self, ready},
};

use hyper::header;
use pin_project_lite::pin_project;
use tower::{Layer, Service};

use crate::response;

/// Longest identifier that is taken over from a caller.
const CALLER_ID_MAX_BYTES: usize = 64;

/// Identifier of a request, as an extension of it.
#[derive(Clone, Debug)]
pub(crate) struct RequestId(pub(crate) String);

/// Adds [`RequestId`] to each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestIdLayer;

impl<S> Layer<S> for RequestIdLayer {
    type Service = RequestIdService<S>;

    fn layer(&self, inner: S) -> RequestIdService<S> {
        RequestIdService { inner }
    }
}

/// The service of [`RequestIdLayer`].
#[derive(Clone, Debug)]
pub(crate) struct RequestIdService<S> {
    inner: S,
}

impl<S, B, R> Service<hyper::Request<B>> for RequestIdService<S>
where
    S: Service<hyper::Request<B>, Response = hyper::Response<R>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = Echo<S::Future>;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut request: hyper::Request<B>) -> Self::Future {
        let id =
            from_caller(&request).unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let echo = header::HeaderValue::from_str(&id).ok();
        request.extensions_mut().insert(RequestId(id));
        Echo { inner: self.inner.call(request), echo }
    }
}

/// A caller's own identifier with a random part, so that two requests never share one.
fn from_caller<B>(request: &hyper::Request<B>) -> Option<String> {
    let id = request.headers().get(response::REQUEST_ID)?.to_str().ok()?;
    let usable = !id.is_empty()
        && id.len() <= CALLER_ID_MAX_BYTES
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    usable.then(|| format!("{id}.{:08x}", rand::random::<u32>()))
}

pin_project! {
    /// Adds the identifier to the answer.
    #[derive(Debug)]
    pub(crate) struct Echo<F> {
        #[pin]
        inner: F,
        echo: Option<header::HeaderValue>,
    }
}

impl<F, R, E> Future for Echo<F>
where
    F: Future<Output = Result<hyper::Response<R>, E>>,
{
    type Output = F::Output;

    fn poll(self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<Self::Output> {
        let this = self.project();
        let mut result = ready!(this.inner.poll(cx));
        if let (Ok(response), Some(echo)) = (&mut result, this.echo.take()) {
            response
                .headers_mut()
                .insert(header::HeaderName::from_static(response::REQUEST_ID), echo);
        }
        task::Poll::Ready(result)
    }
}

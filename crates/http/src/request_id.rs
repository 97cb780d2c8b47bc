//! Layer that assigns an id to each request and returns it in the response.

use std::{
    pin,
    task::{self, ready},
};

use hyper::header;
use pin_project_lite::pin_project;
use tower::{Layer, Service};

use crate::response;

/// Limit on an id that a caller sends; a longer one is replaced.
const MAX_CALLER_ID_BYTES: usize = 64;

/// Id of a request, stored in its extensions.
#[derive(Clone, Debug)]
pub(crate) struct RequestId(pub(crate) String);

/// Adds a [`RequestId`] to each request and returns it in the header of the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestIdLayer;

impl<S> Layer<S> for RequestIdLayer {
    type Service = RequestIdService<S>;

    fn layer(&self, inner: S) -> RequestIdService<S> {
        RequestIdService { inner }
    }
}

/// Service created by [`RequestIdLayer`].
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
    type Future = ResponseFuture<S::Future>;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut request: hyper::Request<B>) -> Self::Future {
        let id = caller_id(&request).unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let id_header = header::HeaderValue::from_str(&id).ok();
        request.extensions_mut().insert(RequestId(id));
        ResponseFuture { inner: self.inner.call(request), id_header }
    }
}

/// The id that the caller sent with a random suffix, so that no two requests share an id; `None` if
/// there is none or it is not valid.
fn caller_id<B>(request: &hyper::Request<B>) -> Option<String> {
    let id = request.headers().get(response::REQUEST_ID)?.to_str().ok()?;
    let is_valid = !id.is_empty()
        && id.len() <= MAX_CALLER_ID_BYTES
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    is_valid.then(|| format!("{id}.{:08x}", rand::random::<u32>()))
}

pin_project! {
    /// Future that adds the request id to the response.
    #[derive(Debug)]
    pub(crate) struct ResponseFuture<F> {
        #[pin]
        inner: F,
        id_header: Option<header::HeaderValue>,
    }
}

impl<F, R, E> Future for ResponseFuture<F>
where
    F: Future<Output = Result<hyper::Response<R>, E>>,
{
    type Output = F::Output;

    fn poll(self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<Self::Output> {
        let this = self.project();
        let mut result = ready!(this.inner.poll(cx));
        if let (Ok(response), Some(id_header)) = (&mut result, this.id_header.take()) {
            response
                .headers_mut()
                .insert(header::HeaderName::from_static(response::REQUEST_ID), id_header);
        }
        task::Poll::Ready(result)
    }
}

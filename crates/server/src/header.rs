//! Middleware that refuses requests whose header exceeds the limits, and announces the close of the
//! connection while the node is shutting down.

use std::{convert, pin, sync, task};

use corneltrestle_kernel::{host, lifecycle};
use hyper::header;
use pin_project_lite::pin_project;
use tokio_util::sync::CancellationToken;
use tower::Service;

use crate::{
    connection,
    limits::Limits,
    output::{Paced, Pacing},
    peer,
    refuse::Refuse,
};

/// Forwards requests to `inner` if their header is within the limits.
#[derive(Clone, Debug)]
pub(crate) struct Limited<S, R> {
    inner: S,
    refuse: R,
    limits: Limits,
    context: Context,
}

/// The connection that a request arrives on, and what may end it.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) host: sync::Arc<host::Host>,
    pub(crate) connection: sync::Arc<connection::Connection>,
    /// Cancelled when the front end stops.
    pub(crate) stop: CancellationToken,
}

impl Context {
    /// Whether the caller has to send its next request elsewhere.
    fn is_leaving(&self) -> bool {
        self.stop.is_cancelled() || self.host.lifecycle.stage() >= lifecycle::Stage::Draining
    }
}

/// A request whose service has not ended.
#[derive(Debug)]
pub(crate) struct InService(Context);

impl InService {
    fn begin(context: Context) -> Self {
        context.connection.begin(context.host.now());
        Self(context)
    }
}

impl Drop for InService {
    fn drop(&mut self) {
        self.0.connection.end();
    }
}

impl<S, R> Limited<S, R> {
    pub(crate) fn new(inner: S, refuse: R, limits: Limits, context: Context) -> Self {
        Self { inner, refuse, limits, context }
    }
}

impl<S, R, B> Service<hyper::Request<B>> for Limited<S, R>
where
    S: Service<hyper::Request<B>, Response = hyper::Response<R::Body>, Error = convert::Infallible>,
    R: Refuse,
{
    type Response = hyper::Response<Paced<R::Body>>;
    type Error = convert::Infallible;
    type Future = ResponseFuture<S::Future, R::Body>;

    fn poll_ready(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), convert::Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut request: hyper::Request<B>) -> Self::Future {
        let in_service = InService::begin(self.context.clone());
        let connection = sync::Arc::clone(&self.context.connection);
        let pacing = Some(if request.version() >= hyper::Version::HTTP_2 {
            Pacing::Window(connection, sync::Arc::clone(&self.context.host))
        } else {
            Pacing::Socket(connection)
        });
        match exceeded_limit(&request, self.limits) {
            Some(message) => ResponseFuture::Refused {
                response: Some(self.refuse.header_too_large(&message)),
                pacing,
                in_service,
            },
            None => {
                let connection = &self.context.connection;
                let (caller, disconnect) = (connection.caller(), connection.disconnect.clone());
                request.extensions_mut().insert(peer::Peer { caller, disconnect });
                let inner = self.inner.call(request);
                ResponseFuture::Forwarded { inner, pacing, in_service }
            }
        }
    }
}

pin_project! {
    /// The response of the inner service, or a refusal.
    #[project = ResponseProjection]
    #[derive(Debug)]
    pub(crate) enum ResponseFuture<F, B> {
        Refused {
            response: Option<hyper::Response<B>>,
            pacing: Option<Pacing>,
            in_service: InService,
        },
        Forwarded {
            #[pin]
            inner: F,
            pacing: Option<Pacing>,
            in_service: InService,
        },
    }
}

impl<F, B> Future for ResponseFuture<F, B>
where
    F: Future<Output = Result<hyper::Response<B>, convert::Infallible>>,
{
    type Output = Result<hyper::Response<Paced<B>>, convert::Infallible>;

    fn poll(self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<Self::Output> {
        let (response, pacing) = match self.project() {
            ResponseProjection::Refused { response, pacing, .. } => {
                let Some(response) = response.take() else { return task::Poll::Pending };
                (response, pacing)
            }
            ResponseProjection::Forwarded { inner, pacing, in_service } => {
                let Ok(mut response) = task::ready!(inner.poll(cx));
                if is_refused_unread(&response) {
                    in_service.0.connection.leave_unread();
                }
                if in_service.0.is_leaving() {
                    let close = header::HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                (response, pacing)
            }
        };
        let pacing = pacing.take();
        task::Poll::Ready(Ok(response.map(|body| Paced::new(body, pacing))))
    }
}

/// Whether a response refuses a request that was not read completely, and states that it has not run.
fn is_refused_unread<B>(response: &hyper::Response<B>) -> bool {
    let is_not_run = matches!(
        response.status(),
        hyper::StatusCode::REQUEST_TIMEOUT | hyper::StatusCode::SERVICE_UNAVAILABLE
    );
    is_not_run && response.headers().get(header::CONNECTION).is_some_and(|value| value == "close")
}

/// The message of the refusal, or `None` if the header is within the limits. The size counts the
/// request target and the names and values of all fields.
fn exceeded_limit<B>(request: &hyper::Request<B>, limits: Limits) -> Option<String> {
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

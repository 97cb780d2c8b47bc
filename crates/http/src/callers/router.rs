//! Routes the requests of callers to their handlers.

use std::{sync, time};

use corneltrestle_engine::{engine::Engine, service::Service};
use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, lifecycle, linkme, memory, metric};
use corneltrestle_node::{
    link::Link,
    pipeline::{
        self,
        refusal::{self, Result},
    },
};
use corneltrestle_policy::id;
use corneltrestle_server::peer;
use corneltrestle_time::moment;
use hyper::{body::Incoming, http};

use super::{auth, generate, models};
use crate::{body, request_body, request_id, response};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static REFUSED: metric::Metric =
    metric::Metric::counter("requests_refused_total", "Requests that were refused, by code.");

/// Header with the time after arrival within which the caller wants the complete response, in
/// milliseconds.
const DEADLINE: &str = "x-deadline-ms";

/// Handles all requests of callers.
#[derive(Debug)]
pub(super) struct Router<E, P, S, L> {
    pub(super) pipeline: sync::Arc<pipeline::Pipeline<E, P, S, L>>,
    pub(super) body_limits: request_body::Limits,
    /// Time without reading after which the HTTP/2 stream of a caller is aborted.
    pub(super) read_timeout: time::Duration,
    pub(super) host: sync::Arc<host::Host>,
}

impl<E: Engine, P: Service, S: Store, L: Link> Router<E, P, S, L> {
    pub(super) fn new(
        pipeline: sync::Arc<pipeline::Pipeline<E, P, S, L>>,
        host: sync::Arc<host::Host>,
        body_limits: request_body::Limits,
        read_timeout: time::Duration,
    ) -> Self {
        Self { pipeline, body_limits, read_timeout, host }
    }

    /// Returns the response to a request; a refusal becomes an error response and is counted.
    pub(super) async fn handle(
        &self,
        request: hyper::Request<Incoming>,
    ) -> hyper::Response<body::Body> {
        match self.route(request).await {
            Ok(response) => response,
            Err(refusal) => {
                metrics::counter!(REFUSED.name, "code" => refusal.code.as_str()).increment(1);
                response::refusal(&refusal)
            }
        }
    }

    async fn route(
        &self,
        request: hyper::Request<Incoming>,
    ) -> Result<hyper::Response<body::Body>> {
        let path = request.uri().path();
        match path {
            "/healthz" => return Ok(response::text(hyper::StatusCode::OK, "ok\n")),
            "/readyz" => return Ok(self.readiness()),
            _ => {}
        }
        let release = self.pipeline.release();
        let organisation = auth::authenticate(request.headers(), &release)?;
        match path {
            "/v1/models" => {
                require_method(&request, &hyper::Method::GET)?;
                Ok(models::list(&release))
            }
            "/v1/chat/completions" => {
                require_method(&request, &hyper::Method::POST)?;
                self.generate(request, organisation, generate::CHAT).await
            }
            "/v1/completions" => {
                require_method(&request, &hyper::Method::POST)?;
                self.generate(request, organisation, generate::COMPLETION).await
            }
            _ => self.plain(request, organisation, &release).await,
        }
    }

    /// Receives the body of a request of an organisation.
    ///
    /// # Errors
    ///
    /// As [`request_body::read`].
    pub(super) async fn read(
        &self,
        body: Incoming,
        head: &http::request::Parts,
        organisation: &id::Organisation,
    ) -> Result<bytes::Bytes> {
        let identity = memory::organisation(organisation.as_str());
        let caller = peer::caller(&head.extensions).of_organisation(identity);
        request_body::read(body, &self.body_limits, caller, &self.host).await
    }

    fn readiness(&self) -> hyper::Response<body::Body> {
        match self.host.lifecycle.stage() {
            lifecycle::Stage::Ready => response::text(hyper::StatusCode::OK, "ready\n"),
            stage => response::text(
                hyper::StatusCode::SERVICE_UNAVAILABLE,
                format!("not ready: {stage:?}\n"),
            ),
        }
    }
}

/// Refuses a request with another method than `method`.
fn require_method<B>(request: &hyper::Request<B>, method: &hyper::Method) -> Result<()> {
    if request.method() == method {
        return Ok(());
    }
    let message = format!("this path accepts only the method {method}");
    Err(refusal::Refusal::not_run(refusal::Code::MethodNotAllowed, "route", message))
}

/// The request id that [`request_id::RequestIdLayer`] has assigned.
pub(super) fn request_id<B>(request: &hyper::Request<B>) -> String {
    request.extensions().get::<request_id::RequestId>().map_or_else(String::new, |id| id.0.clone())
}

/// The deadline of the response: the service's timeout after arrival, or earlier if the caller asks
/// for it.
///
/// # Errors
///
/// When the header is malformed.
pub(super) fn deadline(
    headers: &hyper::HeaderMap,
    arrived: moment::Moment,
    timeout: time::Duration,
) -> Result<moment::Moment> {
    let Some(value) = headers.get(DEADLINE) else { return Ok(arrived + timeout) };
    let millis: u64 = value.to_str().ok().and_then(|text| text.parse().ok()).ok_or_else(|| {
        let message = "X-Deadline-Ms is not a whole number of milliseconds";
        refusal::Refusal::not_run(refusal::Code::BadRequest, "receive", message)
    })?;
    Ok(arrived + time::Duration::from_millis(millis).min(timeout))
}

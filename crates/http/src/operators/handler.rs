//! Operator calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corneltrestle_kernel::{host, plugin};
use corneltrestle_node::pipeline::refusal::{Code, Refusal, Result};
use corneltrestle_node::{identity, operate, tables};
use corneltrestle_platform::store::Store;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use subtle::ConstantTimeEq;

use crate::{answer, body};

/// Largest note in bytes.
const NOTE_MAX_BYTES: usize = 512 * 1024;
/// Longest time for a note to arrive.
const NOTE_TIME: Duration = Duration::from_secs(10);

/// Handler of operator calls.
#[derive(Debug)]
pub(super) struct Handler<S> {
    token: identity::Secret,
    metrics: PrometheusHandle,
    store: Arc<S>,
    tables: tables::Tables,
}

impl<S: Store> Handler<S> {
    pub(super) fn open(
        host: &Arc<host::Host>,
        token: identity::Secret,
        metrics: PrometheusHandle,
    ) -> plugin::Result<Self> {
        Ok(Self { token, metrics, store: host.port()?, tables: tables::Tables::of(host)? })
    }

    /// Answers a request, whatever happens to it.
    pub(super) async fn handle(&self, request: Request<Incoming>) -> Response<body::Body> {
        self.route(request).await.unwrap_or_else(|refusal| answer::refusal(&refusal))
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<body::Body>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/metrics" => return Ok(answer::text(StatusCode::OK, self.metrics.render())),
            "/healthz" => return Ok(answer::text(StatusCode::OK, "ok\n")),
            _ => {}
        }
        self.authenticate(request.headers())?;
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/note") => {
                let text = note(request).await?;
                Ok(verdict(&operate::apply(&*self.store, &self.tables, &text).await))
            }
            (&Method::POST, "/v1/note/check") => {
                let text = note(request).await?;
                Ok(verdict(&operate::check(&*self.store, &text).await))
            }
            _ => Err(Refusal::not_run(
                Code::UnknownService,
                "route",
                "no operator call has this method and path",
            )),
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<()> {
        let sent = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
            .unwrap_or_default();
        if bool::from(sent.ct_eq(self.token.bytes())) {
            return Ok(());
        }
        Err(Refusal::not_run(
            Code::Unauthorized,
            "authenticate",
            "send the operators' token as Authorization: Bearer TOKEN",
        ))
    }
}

async fn note(request: Request<Incoming>) -> Result<String> {
    let bad = |message: String| Refusal::not_run(Code::BadRequest, "receive", message);
    let whole = Limited::new(request.into_body(), NOTE_MAX_BYTES).collect();
    let bytes: Bytes = tokio::time::timeout(NOTE_TIME, whole)
        .await
        .map_err(|_| bad(format!("the note did not arrive within {} s", NOTE_TIME.as_secs())))?
        .map_err(|e| bad(format!("the note did not arrive whole: {e}")))?
        .to_bytes();
    String::from_utf8(bytes.into()).map_err(|_| bad("the note is not UTF-8 text".to_owned()))
}

fn verdict(verdict: &operate::Verdict) -> Response<body::Body> {
    let status = match verdict {
        operate::Verdict::Accepted { .. } | operate::Verdict::Valid { .. } => StatusCode::OK,
        operate::Verdict::Rejected { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        operate::Verdict::Conflict { .. } => StatusCode::CONFLICT,
        operate::Verdict::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        operate::Verdict::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    answer::json(status, verdict)
}

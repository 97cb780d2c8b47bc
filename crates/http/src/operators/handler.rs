//! Handles the requests of operators: release notes, status, error budgets and metrics.

use std::{sync, time};

use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, plugin};
use corneltrestle_node::{
    counts, identity,
    link::Link,
    operate::{self, collector, rollout, status},
    pipeline::refusal::{self, Result},
    tables,
};
use corneltrestle_server::peer;
use corneltrestle_telemetry::recorder;
use hyper::{body::Incoming, header};
use subtle::ConstantTimeEq;

use crate::{body, request_body, response};

/// Limit on a release note.
const MAX_NOTE_BYTES: usize = corneltrestle_wire::note::MAX_BYTES;
/// Path prefix of lookups of a release note; the id of the note follows.
const NOTE_PREFIX: &str = "/v1/note/";
/// Time limit of receiving a release note.
const NOTE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Handles all requests of operators.
#[derive(Debug)]
pub(super) struct Handler<S, L> {
    host: sync::Arc<host::Host>,
    token: identity::Secret,
    metrics: recorder::Metrics,
    store: sync::Arc<S>,
    tables: tables::Tables,
    collector: collector::Collector<L>,
}

impl<S: Store, L: Link> Handler<S, L> {
    pub(super) fn open(
        host: &sync::Arc<host::Host>,
        token: identity::Secret,
        metrics: recorder::Metrics,
    ) -> plugin::Result<Self> {
        Ok(Self {
            host: sync::Arc::clone(host),
            token,
            metrics,
            store: host.port()?,
            tables: tables::Tables::new(host)?,
            collector: collector::Collector::new(host)?,
        })
    }

    /// Returns the response to a request; a refusal becomes an error response.
    pub(super) async fn handle(
        &self,
        request: hyper::Request<Incoming>,
    ) -> hyper::Response<body::Body> {
        self.route(request).await.unwrap_or_else(|refusal| response::refusal(&refusal))
    }

    async fn route(
        &self,
        request: hyper::Request<Incoming>,
    ) -> Result<hyper::Response<body::Body>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/metrics" => return Ok(response::text(hyper::StatusCode::OK, self.metrics.render())),
            "/healthz" => return Ok(response::text(hyper::StatusCode::OK, "ok\n")),
            _ => {}
        }
        self.authenticate(request.headers())?;
        match (request.method(), path.as_str()) {
            (&hyper::Method::POST, "/v1/note") => {
                let text = self.note(request).await?;
                Ok(verdict(&operate::apply(&*self.store, &self.tables, &text).await))
            }
            (&hyper::Method::POST, "/v1/note/check") => {
                let text = self.note(request).await?;
                Ok(verdict(&operate::check(&*self.store, &text).await))
            }
            (&hyper::Method::GET, "/v1/status") => {
                Ok(response::json(hyper::StatusCode::OK, &status::read(&self.collector).await))
            }
            (&hyper::Method::GET, "/v1/burn") => Ok(response::json(
                hyper::StatusCode::OK,
                &counts::summary::read(&self.collector).await,
            )),
            (method, path) => match path.strip_prefix(NOTE_PREFIX) {
                Some(id) if method == hyper::Method::GET && is_note_id(id) => {
                    self.rollout(id).await
                }
                _ => Err(unknown_path(path)),
            },
        }
    }

    /// Reports the state of an accepted note in each zone.
    async fn rollout(&self, id: &str) -> Result<hyper::Response<body::Body>> {
        match rollout::find(&*self.store, &self.collector, id).await {
            rollout::Found::Accepted(rollout) => {
                Ok(response::json(hyper::StatusCode::OK, &rollout))
            }
            rollout::Found::Unknown => {
                let message = format!("no accepted note with id {id} is known");
                Err(refusal::Refusal::not_run(refusal::Code::NotFound, "look up note", message))
            }
            rollout::Found::Unavailable { cause } => Err(refusal::Refusal::not_run(
                refusal::Code::StoreUnavailable,
                "look up note",
                cause,
            )),
        }
    }

    /// Receives the text of a release note.
    async fn note(&self, request: hyper::Request<Incoming>) -> Result<String> {
        let refuse = |message: String| {
            refusal::Refusal::not_run(refusal::Code::BadRequest, "receive", message)
        };
        let limits = request_body::Limits { max_bytes: MAX_NOTE_BYTES, timeout: NOTE_TIMEOUT };
        let caller = peer::caller(request.extensions()).as_operator();
        let bytes = request_body::read(request.into_body(), &limits, caller, &self.host).await?;
        String::from_utf8(bytes.into()).map_err(|_| refuse("the note is not UTF-8 text".to_owned()))
    }

    /// Checks the operators' token in constant time.
    fn authenticate(&self, headers: &hyper::HeaderMap) -> Result<()> {
        let sent = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
            .unwrap_or_default();
        if bool::from(sent.ct_eq(self.token.bytes())) {
            return Ok(());
        }
        Err(refusal::Refusal::not_run(
            refusal::Code::Unauthorized,
            "authenticate",
            "send the operators' token as Authorization: Bearer TOKEN",
        ))
    }
}

/// Whether a string is a valid id of a note.
fn is_note_id(id: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=64).contains(&id.len()) && id.bytes().all(allowed)
}

/// The refusal of a request whose path, or its method for that path, is not supported.
fn unknown_path(path: &str) -> refusal::Refusal {
    let is_known = matches!(path, "/v1/note" | "/v1/note/check" | "/v1/status" | "/v1/burn");
    if is_known || path.strip_prefix(NOTE_PREFIX).is_some_and(is_note_id) {
        let message = "this path does not accept this method";
        return refusal::Refusal::not_run(refusal::Code::MethodNotAllowed, "route", message);
    }
    refusal::Refusal::not_run(refusal::Code::NotFound, "route", "this path does not exist")
}

/// The response with the verdict on a note and the status that goes with it.
fn verdict(verdict: &operate::Verdict) -> hyper::Response<body::Body> {
    let status = match verdict {
        operate::Verdict::Accepted { .. } | operate::Verdict::Valid { .. } => hyper::StatusCode::OK,
        operate::Verdict::Rejected { .. } => hyper::StatusCode::UNPROCESSABLE_ENTITY,
        operate::Verdict::Conflict { .. } => hyper::StatusCode::CONFLICT,
        operate::Verdict::Unavailable { .. } => hyper::StatusCode::SERVICE_UNAVAILABLE,
        operate::Verdict::Unknown { .. } => hyper::StatusCode::GATEWAY_TIMEOUT,
    };
    response::json(status, verdict)
}

//! Operator calls.

use std::{sync, time};

use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, plugin};
use corneltrestle_node::{
    counts, identity,
    link::Link,
    operate::{self, overview, rollout, survey},
    pipeline::refusal::{self, Result},
    tables,
};
use corneltrestle_telemetry::recorder;
use hyper::{body::Incoming, header};
use subtle::ConstantTimeEq;

use crate::{answer, body, intake};

/// Largest note in bytes.
const NOTE_MAX_BYTES: usize = corneltrestle_wire::note::MAX_BYTES;
/// Prefix of the path under which a note is looked up.
const NOTE: &str = "/v1/note/";
/// Longest time for a note to arrive.
const NOTE_TIME: time::Duration = time::Duration::from_secs(10);

/// Handler of operator calls.
#[derive(Debug)]
pub(super) struct Handler<S, L> {
    token: identity::Secret,
    metrics: recorder::Metrics,
    store: sync::Arc<S>,
    tables: tables::Tables,
    survey: survey::Survey<L>,
}

impl<S: Store, L: Link> Handler<S, L> {
    pub(super) fn open(
        host: &sync::Arc<host::Host>,
        token: identity::Secret,
        metrics: recorder::Metrics,
    ) -> plugin::Result<Self> {
        Ok(Self {
            token,
            metrics,
            store: host.port()?,
            tables: tables::Tables::new(host)?,
            survey: survey::Survey::new(host)?,
        })
    }

    /// Answers a request, whatever happens to it.
    pub(super) async fn handle(
        &self,
        request: hyper::Request<Incoming>,
    ) -> hyper::Response<body::Body> {
        self.route(request).await.unwrap_or_else(|refusal| answer::refusal(&refusal))
    }

    async fn route(
        &self,
        request: hyper::Request<Incoming>,
    ) -> Result<hyper::Response<body::Body>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/metrics" => return Ok(answer::text(hyper::StatusCode::OK, self.metrics.render())),
            "/healthz" => return Ok(answer::text(hyper::StatusCode::OK, "ok\n")),
            _ => {}
        }
        self.authenticate(request.headers())?;
        match (request.method(), path.as_str()) {
            (&hyper::Method::POST, "/v1/note") => {
                let text = note(request).await?;
                Ok(verdict(&operate::apply(&*self.store, &self.tables, &text).await))
            }
            (&hyper::Method::POST, "/v1/note/check") => {
                let text = note(request).await?;
                Ok(verdict(&operate::check(&*self.store, &text).await))
            }
            (&hyper::Method::GET, "/v1/status") => {
                Ok(answer::json(hyper::StatusCode::OK, &overview::read(&self.survey).await))
            }
            (&hyper::Method::GET, "/v1/burn") => {
                Ok(answer::json(hyper::StatusCode::OK, &counts::summary::read(&self.survey).await))
            }
            (method, path) => match path.strip_prefix(NOTE) {
                Some(id) if method == hyper::Method::GET && is_name(id) => self.rollout(id).await,
                _ => Err(unknown_call(path)),
            },
        }
    }

    async fn rollout(&self, id: &str) -> Result<hyper::Response<body::Body>> {
        match rollout::find(&*self.store, &self.survey, id).await {
            rollout::Found::Accepted(rollout) => Ok(answer::json(hyper::StatusCode::OK, &rollout)),
            rollout::Found::Unknown => {
                let message = format!("no accepted note with id {id} is remembered");
                Err(refusal::Refusal::not_run(refusal::Code::NotFound, "look up note", message))
            }
            rollout::Found::Unavailable { cause } => Err(refusal::Refusal::not_run(
                refusal::Code::StoreUnavailable,
                "look up note",
                cause,
            )),
        }
    }

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

/// Whether a text can be the id of a note.
fn is_name(id: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=64).contains(&id.len()) && id.bytes().all(allowed)
}

fn unknown_call(path: &str) -> refusal::Refusal {
    let is_known = matches!(path, "/v1/note" | "/v1/note/check" | "/v1/status" | "/v1/burn");
    if is_known || path.strip_prefix(NOTE).is_some_and(is_name) {
        let message = "this path is not offered for this method";
        return refusal::Refusal::not_run(refusal::Code::MethodNotAllowed, "route", message);
    }
    refusal::Refusal::not_run(refusal::Code::NotFound, "route", "no operator call has this path")
}

async fn note(request: hyper::Request<Incoming>) -> Result<String> {
    let bad =
        |message: String| refusal::Refusal::not_run(refusal::Code::BadRequest, "receive", message);
    let intake = intake::Intake { body_limit: NOTE_MAX_BYTES, body_time: NOTE_TIME };
    let bytes = intake.read(request.into_body()).await?;
    String::from_utf8(bytes.into()).map_err(|_| bad("the note is not UTF-8 text".to_owned()))
}

fn verdict(verdict: &operate::Verdict) -> hyper::Response<body::Body> {
    let status = match verdict {
        operate::Verdict::Accepted { .. } | operate::Verdict::Valid { .. } => hyper::StatusCode::OK,
        operate::Verdict::Rejected { .. } => hyper::StatusCode::UNPROCESSABLE_ENTITY,
        operate::Verdict::Conflict { .. } => hyper::StatusCode::CONFLICT,
        operate::Verdict::Unavailable { .. } => hyper::StatusCode::SERVICE_UNAVAILABLE,
        operate::Verdict::Unknown { .. } => hyper::StatusCode::GATEWAY_TIMEOUT,
    };
    answer::json(status, verdict)
}

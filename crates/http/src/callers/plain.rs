//! Calls to plain services.

use corneltrestle_engine::engine::Engine;
use corneltrestle_engine::service::{self, Service};
use corneltrestle_node::link::Link;
use corneltrestle_node::pipeline::refusal::{Code, Refusal, Result};
use corneltrestle_node::pipeline::request;
use corneltrestle_platform::store::Store;
use corneltrestle_policy::{id, release};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HOST};
use hyper::{HeaderMap, Request, Response};

use super::router::{self, Router};
use crate::body;

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key in bytes.
const KEY_MAX_BYTES: usize = 256;

impl<E: Engine, P: Service, S: Store, L: Link> Router<E, P, S, L> {
    pub(super) async fn plain(
        &self,
        request: Request<Incoming>,
        organisation: id::Organisation,
        release: &release::Release,
    ) -> Result<Response<body::Body>> {
        let arrived = self.pipeline.now();
        let id = router::request_id(&request);
        let (parts, incoming) = request.into_parts();
        let whole = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        let (service, declared, target) = find_service(release, whole)?;
        let call = request::Call {
            id,
            organisation,
            service: service.clone(),
            method: parts.method,
            target: target.to_owned(),
            key: idempotency_key(&parts.headers)?,
            deadline: router::deadline(&parts.headers, arrived, declared.timeout)?,
            body: self.intake.read(incoming).await?,
            headers: outgoing(parts.headers),
        };
        self.pipeline.call(call).await.map(response)
    }
}

/// The plain service whose prefix the target has, with the rest of the target.
fn find_service<'a, 'b>(
    release: &'a release::Release,
    target: &'b str,
) -> Result<(&'a id::Service, &'a release::Service, &'b str)> {
    let found = release.services.iter().find_map(|(name, service)| match &service.kind {
        release::Kind::Plain(plain) => {
            let rest = target.strip_prefix(plain.prefix.as_str())?;
            rest.starts_with(['/', '?']).then_some((name, service, rest))
        }
        release::Kind::Model { .. } => None,
    });
    found.ok_or_else(|| {
        Refusal::not_run(Code::UnknownService, "route", "no service is offered under this path")
    })
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= KEY_MAX_BYTES);
    key.map(|key| Some(key.to_owned())).ok_or_else(|| {
        let message = format!("Idempotency-Key must be 1 to {KEY_MAX_BYTES} visible characters");
        Refusal::not_run(Code::BadRequest, "receive", message)
    })
}

/// Headers for the upstream, which must not learn the organisation's key.
fn outgoing(mut headers: HeaderMap) -> HeaderMap {
    for name in [AUTHORIZATION, HOST, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers
}

fn response(answer: service::Answer) -> Response<body::Body> {
    let mut response = Response::new(body::Body::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

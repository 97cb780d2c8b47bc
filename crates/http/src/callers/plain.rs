//! Calls to plain services.

use corneltrestle_engine::{
    engine::Engine,
    service::{self, Service},
};
use corneltrestle_infra::store::Store;
use corneltrestle_node::{
    link::Link,
    pipeline::{
        refusal::{self, Result},
        request,
    },
};
use corneltrestle_policy::{id, release};
use hyper::{body::Incoming, header};

use super::router;
use crate::body;

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key in bytes.
const KEY_MAX_BYTES: usize = 256;

impl<E: Engine, P: Service, S: Store, L: Link> router::Router<E, P, S, L> {
    pub(super) async fn plain(
        &self,
        request: hyper::Request<Incoming>,
        organisation: id::Organisation,
        release: &release::Release,
    ) -> Result<hyper::Response<body::Body>> {
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
        refusal::Refusal::not_run(
            refusal::Code::UnknownService,
            "route",
            "no service is offered under this path",
        )
    })
}

fn idempotency_key(headers: &hyper::HeaderMap) -> Result<Option<String>> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= KEY_MAX_BYTES);
    key.map(|key| Some(key.to_owned())).ok_or_else(|| {
        let message = format!("Idempotency-Key must be 1 to {KEY_MAX_BYTES} visible characters");
        refusal::Refusal::not_run(refusal::Code::BadRequest, "receive", message)
    })
}

/// Headers for the upstream, which must not learn the organisation's key.
fn outgoing(mut headers: hyper::HeaderMap) -> hyper::HeaderMap {
    for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers
}

fn response(answer: service::Response) -> hyper::Response<body::Body> {
    let mut response = hyper::Response::new(body::Body::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

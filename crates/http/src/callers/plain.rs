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

/// Header with the key by which repetitions of a request are recognised.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Limit on an idempotency key.
const MAX_KEY_BYTES: usize = 256;

impl<E: Engine, P: Service, S: Store, L: Link> router::Router<E, P, S, L> {
    /// Handles a request to a plain service.
    pub(super) async fn plain(
        &self,
        request: hyper::Request<Incoming>,
        organisation: id::Organisation,
        release: &release::Release,
    ) -> Result<hyper::Response<body::Body>> {
        let arrived = self.pipeline.now();
        let id = router::request_id(&request);
        let (parts, incoming) = request.into_parts();
        let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let (service, declared, target) = find_service(release, path_and_query)?;
        let deadline = router::deadline(&parts.headers, arrived, declared.timeout)?;
        let key = idempotency_key(&parts.headers)?;
        let body = self.read(incoming, &parts, &organisation).await?;
        let call = request::Call {
            id,
            organisation,
            service: service.clone(),
            method: parts.method,
            target: target.to_owned(),
            key,
            deadline,
            body,
            headers: upstream_headers(parts.headers),
        };
        self.pipeline.call(call).await.map(http_response)
    }
}

/// Returns the name and definition of the plain service under whose prefix the target is, and the
/// target without the prefix.
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
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    key.map(|key| Some(key.to_owned())).ok_or_else(|| {
        let message = format!("Idempotency-Key must be 1 to {MAX_KEY_BYTES} visible characters");
        refusal::Refusal::not_run(refusal::Code::BadRequest, "receive", message)
    })
}

/// The headers for the upstream. `Authorization` is removed so that the upstream does not see the
/// organisation's key.
fn upstream_headers(mut headers: hyper::HeaderMap) -> hyper::HeaderMap {
    for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers
}

fn http_response(response: service::Response) -> hyper::Response<body::Body> {
    let mut converted = hyper::Response::new(body::Body::full(response.body));
    *converted.status_mut() = response.status;
    *converted.headers_mut() = response.headers;
    converted.headers_mut().remove(header::CONTENT_LENGTH);
    converted
}

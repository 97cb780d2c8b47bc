//! Handles generation requests: decodes them and relays complete or streamed responses.

use std::{sync, time};

use corneltrestle_engine::{engine::Engine, service::Service};
use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, linkme, memory, metric};
use corneltrestle_node::{
    link::Link,
    pipeline::{
        self,
        refusal::{self, Result},
        request,
    },
};
use corneltrestle_policy::{id, prefix, release};
use corneltrestle_server as server;
use corneltrestle_wire::{openai, sse};
use http_body_util::channel;
use hyper::{body::Incoming, header};

use super::router;
use crate::{body, response};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static UNREAD: metric::Metric = metric::Metric::counter(
    "streams_unread_total",
    "Streams over HTTP/2 that ended because their caller stopped reading.",
);

/// Path of chat completion requests.
pub(super) const CHAT: &str = "/v1/chat/completions";
/// Path of text completion requests.
pub(super) const COMPLETION: &str = "/v1/completions";

/// Value of the header `X-Priority` for requests whose response no user waits for.
const BACKGROUND: &str = "background";

/// Limit on the prefixes of a prompt that are hashed.
const MAX_PREFIXES: usize = 64;
/// Size of the buffer in which the events of a stream are encoded; it holds a few dozen events.
const EVENT_BUFFER_BYTES: usize = 4 * 1024;
/// Size up to which an event that waits for its client is not accounted for. The few of them that wait
/// at a time take less than a connection that does not read.
const SMALL_EVENT_BYTES: usize = 4 * 1024;
/// Time between two demands for the memory of a large event.
const MEMORY_CHECK_PERIOD: time::Duration = time::Duration::from_millis(50);

impl<E: Engine, P: Service, S: Store, L: Link> router::Router<E, P, S, L> {
    /// Handles a generation request; `path` is also the path of the request to the engine.
    pub(super) async fn generate(
        &self,
        request: hyper::Request<Incoming>,
        organisation: id::Organisation,
        path: &'static str,
    ) -> Result<hyper::Response<body::Body>> {
        let arrived = self.pipeline.now();
        let id = router::request_id(&request);
        let (parts, incoming) = request.into_parts();
        let caller = server::peer::caller(&parts.extensions);
        let body = self.read(incoming, &parts, &organisation).await?;
        let decoded = openai::Request::decode(&body).map_err(|e| {
            refusal::Refusal::not_run(
                refusal::Code::BadRequest,
                "decode",
                format!("the body is not a valid request: {e}"),
            )
        })?;
        if decoded.has_resume {
            let message = "the field resume is reserved for internal use";
            return Err(refusal::Refusal::not_run(refusal::Code::BadRequest, "decode", message));
        }
        let release = self.pipeline.release();
        let (service, declared) = find_service(&release, &decoded.model)?;
        let generation = request::Generation {
            id,
            service: service.clone(),
            path,
            prefixes: prefix::chain(decoded.texts(), MAX_PREFIXES),
            organisation,
            interactive: parts.headers.get("x-priority").is_none_or(|value| value != BACKGROUND),
            arrived,
            deadline: router::deadline(&parts.headers, arrived, declared.timeout)?,
            body: body.clone(),
        };
        if decoded.stream {
            // On HTTP/1 the server ends the connection of a client that does not read. On HTTP/2 the
            // connection goes on with its other streams.
            let is_multiplexed = parts.version >= hyper::Version::HTTP_2;
            let reader = Reader {
                timeout: is_multiplexed.then_some(self.read_timeout),
                host: sync::Arc::clone(&self.host),
                caller,
            };
            self.stream(generation, reader).await
        } else {
            let body = self.pipeline.complete(&generation).await?;
            Ok(json(body))
        }
    }

    async fn stream(
        &self,
        generation: request::Generation,
        reader: Reader,
    ) -> Result<hyper::Response<body::Body>> {
        let relay = self.pipeline.stream(generation).await?;
        let (sender, stream) = body::Body::stream();
        self.pipeline.run(forward(relay, sender, reader));
        let mut response = hyper::Response::new(stream);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
        Ok(response)
    }
}

/// The client that reads a stream.
struct Reader {
    /// Time after which a stream of which nothing is read is aborted.
    timeout: Option<time::Duration>,
    host: sync::Arc<host::Host>,
    caller: memory::Caller,
}

impl Reader {
    /// Sends an event. Fails if the client has gone, or has read nothing for too long.
    async fn send(
        &self,
        sender: &mut channel::Sender<bytes::Bytes, body::Error>,
        event: bytes::Bytes,
    ) -> std::result::Result<(), Gone> {
        let sent = async {
            let event =
                if event.len() > SMALL_EVENT_BYTES { self.account(event).await } else { event };
            sender.send_data(event).await.map_err(|_| Gone::Disconnected)
        };
        match self.timeout {
            Some(timeout) => tokio::time::timeout(timeout, sent).await.unwrap_or(Err(Gone::Unread)),
            None => sent.await,
        }
    }

    /// Acquires the memory of a large event until it is written; waits while there is none.
    async fn account(&self, event: bytes::Bytes) -> bytes::Bytes {
        let now = || self.host.now();
        let holding = self.host.memory.hold(self.caller, memory::Kind::Relay, now());
        while holding.grow(event.len(), now()).await.is_err() {
            tokio::time::sleep(MEMORY_CHECK_PERIOD).await;
        }
        bytes::Bytes::from_owner(Held { event, _holding: holding })
    }
}

/// An event with the holding that accounts for it.
struct Held {
    event: bytes::Bytes,
    _holding: memory::Holding,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.event
    }
}

/// Why a client gets no further event.
#[derive(Clone, Copy, Debug)]
enum Gone {
    /// Its connection has ended.
    Disconnected,
    /// It has read nothing for too long.
    Unread,
}

/// Forwards tokens to the caller until the response is complete, fails, or the caller disconnects
/// or stops reading. A failure is sent as a last event, and then the connection is aborted.
async fn forward<E: Engine, P: Service, S: Store, L: Link>(
    mut relay: pipeline::Relay<E, P, S, L>,
    mut sender: channel::Sender<bytes::Bytes, body::Error>,
    reader: Reader,
) {
    let mut buffer = bytes::BytesMut::with_capacity(EVENT_BUFFER_BYTES);
    loop {
        match relay.next().await {
            Ok(Some(data)) => {
                let event = sse::encode_into(&mut buffer, "", &data);
                match reader.send(&mut sender, event).await {
                    Ok(()) => {}
                    Err(Gone::Disconnected) => return,
                    Err(Gone::Unread) => {
                        metrics::counter!(UNREAD.name).increment(1);
                        sender.abort(body::Error::Incomplete);
                        return;
                    }
                }
            }
            Ok(None) => {
                let _ = sender.send_data(sse::encode("", sse::DONE.as_bytes())).await;
                return;
            }
            Err(refusal) => {
                log::warn!("route: stream aborted before its end: {refusal}");
                let error = serde_json::to_vec(&response::error_body(&refusal)).unwrap_or_default();
                let _ = sender.send_data(sse::encode_named("error", &error)).await;
                sender.abort(body::Error::Incomplete);
                return;
            }
        }
    }
}

/// Returns the name and definition of the service that offers the model.
fn find_service<'a>(
    release: &'a sync::Arc<release::Release>,
    wanted: &str,
) -> Result<(&'a id::Service, &'a release::Service)> {
    let serves = |service: &release::Service| match &service.kind {
        release::Kind::Model { model } => model == wanted,
        release::Kind::Plain(_) => false,
    };
    release.services.iter().find(|(_, service)| serves(service)).ok_or_else(|| {
        refusal::Refusal::not_run(
            refusal::Code::UnknownService,
            "route",
            format!("no service offers model {wanted}"),
        )
    })
}

fn json(body: bytes::Bytes) -> hyper::Response<body::Body> {
    let mut response = hyper::Response::new(body::Body::full(body));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

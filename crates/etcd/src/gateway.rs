//! Client of the store over the JSON gateway of etcd v3.
//!
//! Reads, renewals and revocations are idempotent and may be sent twice; a swap and a grant are
//! sent at most once. Errors state what is known about the effect of a call.

mod message;
mod port;
mod watch;

use std::{net, sync, time};

use corneltrestle_client::{self as client, pool};
use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::keepalive;
use hyper::header;
use serde::{Serialize, de::DeserializeOwned};

use corneltrestle_infra::store::{
    self, Result, Store,
    limiter::{self, Limiter, Permit},
};

pub use port::NodeStore;
pub use watch::EtcdWatch;

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static CALLS: metric::Metric =
    metric::Metric::counter("store_calls_total", "Calls to the store, by class.");

/// Limit on a response. A value has at most 1 MB, and base64 makes it a third larger.
const MAX_RESPONSE_BYTES: usize = 2_000_000;

/// Address and limits of an [`EtcdStore`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the gateway.
    pub address: net::SocketAddr,
    /// Time limit of a call, connecting included.
    pub timeout: time::Duration,
    /// Time without a message after which a watch fails; the gateway sends progress messages.
    pub progress_timeout: time::Duration,
    /// Limit on calls in flight; an open watch counts as one.
    pub max_calls: usize,
    /// Limits on pooled connections.
    pub pool: pool::Config,
}

/// Client of the store, whose calls a [`Limiter`] admits.
#[derive(Debug)]
pub struct EtcdStore<L = limiter::InFlight> {
    endpoint: Endpoint,
    limiter: L,
    progress_timeout: time::Duration,
}

/// The gateway and the connections to it, as calls and watches share them.
#[derive(Clone, Debug)]
struct Endpoint {
    pool: sync::Arc<pool::Pool>,
    peer: net::SocketAddr,
    timeout: time::Duration,
}

impl Config {
    /// Configuration with the default limits for the gateway at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            timeout: time::Duration::from_secs(1),
            progress_timeout: keepalive::Kind::Watch.progress_timeout(),
            max_calls: 8,
            pool: pool::Config::default(),
        }
    }
}

impl EtcdStore {
    /// Creates a client that allows `config.max_calls` calls in flight. It connects when it is
    /// first used.
    pub fn open(config: Config) -> Self {
        let limiter = limiter::InFlight::new(config.max_calls);
        Self::with_limiter(config, limiter)
    }
}

impl<L: Limiter> EtcdStore<L> {
    /// Creates a client whose calls `limiter` admits; `config.max_calls` is not used.
    pub fn with_limiter(config: Config, limiter: L) -> Self {
        let pool = pool::Pool::open(config.pool);
        let endpoint = Endpoint { pool, peer: config.address, timeout: config.timeout };
        Self { endpoint, limiter, progress_timeout: config.progress_timeout }
    }

    /// Makes a call once the limiter admits it, and decodes the response. One that is repeatable may be
    /// sent twice, each time with a permit.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: Call<'_, Q>,
        class: store::Class,
    ) -> Result<A> {
        let mut permit = self.acquire(call.step, class).await?;
        let again = async || self.acquire(call.step, class).await.ok();
        let response = self.endpoint.call(&call, again).await;
        permit.record(is_answered(&response));
        self.endpoint.decode(call.step, &response?)
    }

    /// Waits for a permit of the limiter and counts the call.
    async fn acquire(&self, step: &'static str, class: store::Class) -> Result<L::Permit> {
        let permit = self.limiter.acquire(class).await.map_err(|e| {
            let peer = self.endpoint.peer.to_string();
            store::Error { step, peer, ..e }
        })?;
        metrics::counter!(CALLS.name, "class" => class_label(class)).increment(1);
        Ok(permit)
    }

    /// Reads one key.
    async fn range(
        &self,
        step: &'static str,
        key: &str,
        class: store::Class,
    ) -> Result<message::RangeResponse> {
        let body = message::Range { key: message::Base64(key.as_bytes()) };
        self.call(Call { step, path: "/v3/kv/range", body, repeatable: true }, class).await
    }
}

impl<L: Limiter> Store for EtcdStore<L> {
    type Watch = EtcdWatch<L::Permit>;

    async fn read(&self, key: &str, class: store::Class) -> Result<Option<store::Versioned>> {
        Ok(message::first(self.range("read", key, class).await?.kvs))
    }

    async fn swap(
        &self,
        key: &str,
        expected: store::Version,
        value: &[u8],
        lease: Option<store::LeaseId>,
        class: store::Class,
    ) -> Result<store::Swap> {
        let step = "swap";
        let expected = self.endpoint.int64(step, expected)?;
        let body = message::Txn::swap(key, expected, value, lease);
        let call = Call { step, path: "/v3/kv/txn", body, repeatable: false };
        let response: message::TxnResponse = self.call(call, class).await?;
        if response.succeeded {
            return Ok(store::Swap::Done(message::version(response.header.revision)));
        }
        let current = response.current();
        current.map(store::Swap::Conflict).ok_or_else(|| {
            self.endpoint.error(
                store::Kind::Malformed,
                step,
                "conflict without the current value".to_owned(),
            )
        })
    }

    /// Rounds the TTL up to whole seconds.
    async fn grant(&self, ttl: time::Duration, class: store::Class) -> Result<store::LeaseId> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let body = message::Grant { ttl: self.endpoint.int64("grant", seconds.max(1))? };
        let call = Call { step: "grant", path: "/v3/lease/grant", body, repeatable: false };
        let response: message::GrantResponse = self.call(call, class).await?;
        Ok(response.id)
    }

    async fn renew(
        &self,
        lease: store::LeaseId,
        class: store::Class,
    ) -> Result<Option<time::Duration>> {
        let body = message::Lease { id: message::Int64(lease) };
        let call = Call { step: "renew", path: "/v3/lease/keepalive", body, repeatable: true };
        let response: message::Streamed<message::KeepAlive> = self.call(call, class).await?;
        let ttl = self.endpoint.stream_result("renew", response)?.ttl;
        Ok(u64::try_from(ttl).ok().filter(|ttl| *ttl > 0).map(time::Duration::from_secs))
    }

    /// A lease that no longer exists counts as revoked.
    async fn revoke(&self, lease: store::LeaseId, class: store::Class) -> Result<()> {
        let body = message::Lease { id: message::Int64(lease) };
        let call = Call { step: "revoke", path: "/v3/lease/revoke", body, repeatable: true };
        self.call(call, class).await.map(|message::Empty {}| ())
    }

    /// Reads the key first and watches from the revision of that read. The revision after `after`
    /// may have been compacted meanwhile, since writes to other keys advance the revision, too.
    async fn watch(&self, key: &str, after: store::Version) -> Result<Self::Watch> {
        let (step, class) = ("watch", store::Class::Config);
        let read = self.range(step, key, class).await?;
        let mut permit = self.acquire(step, class).await?;
        let again = async || self.acquire(step, class).await.ok();
        let revision = read.header.revision;
        let opened =
            watch::open(&self.endpoint, key, message::Int64(revision.saturating_add(1)), again)
                .await;
        permit.record(is_answered(&opened));
        let current = message::first(read.kvs);
        let changed = current.as_ref().map_or(0, |kv| kv.version) != after;
        Ok(EtcdWatch::new(
            self.endpoint.clone(),
            opened?,
            self.progress_timeout,
            changed.then_some(current),
            permit,
        ))
    }
}

/// Whether the store responded, even if with an error.
fn is_answered<T>(response: &Result<T>) -> bool {
    !response.as_ref().is_err_and(|e| matches!(e.kind, store::Kind::NotSent | store::Kind::Unknown))
}

/// A call to the gateway. `step` is the operation that errors name.
struct Call<'a, Q> {
    step: &'static str,
    path: &'a str,
    body: Q,
    /// Whether it may take effect twice, see [`pool::Pool::send_repeatable`].
    repeatable: bool,
}

impl Endpoint {
    /// Makes a call; `again` gives the permit to send it twice, if it is repeatable.
    async fn call<Q: Serialize, P, F: Future<Output = Option<P>>>(
        &self,
        call: &Call<'_, Q>,
        again: impl FnOnce() -> F,
    ) -> Result<bytes::Bytes> {
        let request = request(call.path, &call.body).map_err(|e| self.failed(call.step, e))?;
        let (pool, peer, limit) = (&self.pool, self.peer, self.timeout);
        let sent = if call.repeatable {
            pool.fetch_repeatable(peer, request, limit, MAX_RESPONSE_BYTES, again).await
        } else {
            pool.fetch(peer, request, pool::Delivery::Once, limit, MAX_RESPONSE_BYTES).await
        };
        let response = sent.map_err(|e| self.failed(call.step, e))?;
        self.check_status(call.step, response)
    }

    /// Returns the body of a response with status 200. A revocation of a lease that does not exist
    /// succeeds, too.
    fn check_status(
        &self,
        step: &'static str,
        response: hyper::Response<bytes::Bytes>,
    ) -> Result<bytes::Bytes> {
        if response.status() == hyper::StatusCode::OK {
            return Ok(response.into_body());
        }
        let failure: message::Failure = serde_json::from_slice(response.body()).unwrap_or_default();
        if step == "revoke" && failure.code == Some(GRPC_NOT_FOUND) {
            return Ok(bytes::Bytes::from_static(b"{}"));
        }
        Err(self.refused(step, response.status().as_u16(), &failure.message))
    }

    fn decode<A: DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<A> {
        serde_json::from_slice(body)
            .map_err(|e| self.error(store::Kind::Malformed, step, e.to_string()))
    }

    /// The result that a message of a streaming call carries, or its error.
    fn stream_result<T>(&self, step: &'static str, message: message::Streamed<T>) -> Result<T> {
        match (message.result, message.error) {
            (Some(result), _) => Ok(result),
            (None, Some(e)) => Err(self.refused(step, e.http_code.unwrap_or(500), &e.message)),
            (None, None) => {
                Err(self.error(store::Kind::Malformed, step, "empty message".to_owned()))
            }
        }
    }

    /// The error of a response with another status than 200.
    fn refused(&self, step: &'static str, status: u16, message: &str) -> store::Error {
        let kind = if is_refusal(status) { store::Kind::Refused } else { store::Kind::Unknown };
        self.error(kind, step, format!("status {status}: {message}"))
    }

    /// The error of a call that got no valid response.
    fn failed(&self, step: &'static str, error: client::Error) -> store::Error {
        let kind = match error.kind {
            client::Kind::NotSent => store::Kind::NotSent,
            client::Kind::Malformed => store::Kind::Malformed,
            _ => store::Kind::Unknown,
        };
        self.error(kind, step, error.cause)
    }

    /// A version or a TTL as the gateway expects it. One that is too large is never sent.
    fn int64(&self, step: &'static str, value: u64) -> Result<message::Int64> {
        i64::try_from(value)
            .map(message::Int64)
            .map_err(|e| self.error(store::Kind::NotSent, step, e.to_string()))
    }

    fn error(&self, kind: store::Kind, step: &'static str, cause: String) -> store::Error {
        store::Error { kind, step, peer: self.peer.to_string(), cause }
    }
}

/// The gRPC status code `NOT_FOUND`, returned for a lease that does not exist.
const GRPC_NOT_FOUND: u16 = 5;

/// Whether a status guarantees that a write was not applied. The gateway returns 408, 499 and all
/// 5xx also for a proposal that was cancelled or timed out, and that may still be applied
/// afterwards.
fn is_refusal(status: u16) -> bool {
    (400..500).contains(&status) && status != 408 && status != 499
}

fn request<Q: Serialize>(
    path: &str,
    body: &Q,
) -> client::Result<hyper::Request<http_body_util::Full<bytes::Bytes>>> {
    let body = serde_json::to_vec(body).map_err(client::Error::invalid)?;
    hyper::Request::post(path)
        .header(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"))
        .body(http_body_util::Full::new(body.into()))
        .map_err(client::Error::invalid)
}

fn class_label(class: store::Class) -> &'static str {
    match class {
        store::Class::Lease => "lease",
        store::Class::Order => "order",
        store::Class::Config => "config",
        store::Class::Report => "report",
    }
}

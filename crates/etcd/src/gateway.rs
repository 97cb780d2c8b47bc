//! The store on the JSON gateway of etcd v3.

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
    metric::Metric::counter("store_calls_total", "Calls to the store by class.");

/// Largest answer; a value has at most 1 MB, which base64 makes a third larger.
const MAX_ANSWER_BYTES: usize = 2_000_000;

/// Connection of the store's client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the gateway.
    pub address: net::SocketAddr,
    /// Longest time of a call.
    pub timeout: time::Duration,
    /// Longest time between two messages of a watch.
    pub progress_timeout: time::Duration,
    /// Calls in flight, waiting watches included.
    pub max_calls: usize,
    /// Connections.
    pub pool: pool::Config,
}

/// Client of the store, with a limit on its calls.
#[derive(Debug)]
pub struct EtcdStore<L = limiter::InFlight> {
    link: Link,
    limiter: L,
    progress_timeout: time::Duration,
}

/// What a call and a watch need of the client.
#[derive(Clone, Debug)]
struct Link {
    pool: sync::Arc<pool::Pool>,
    peer: net::SocketAddr,
    timeout: time::Duration,
}

impl Config {
    /// The default limits for the gateway at `address`.
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
    /// Opens a client that allows `config.max_calls` calls in flight. It connects on first use.
    pub fn open(config: Config) -> Self {
        let limiter = limiter::InFlight::new(config.max_calls);
        Self::with_limiter(config, limiter)
    }
}

impl<L: Limiter> EtcdStore<L> {
    /// Opens a client whose calls `limiter` allows; `config.max_calls` is not used.
    pub fn with_limiter(config: Config, limiter: L) -> Self {
        let pool = pool::Pool::open(config.pool);
        let link = Link { pool, peer: config.address, timeout: config.timeout };
        Self { link, limiter, progress_timeout: config.progress_timeout }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: Call<'_, Q>,
        class: store::Class,
    ) -> Result<A> {
        let mut permit = self.start(call.step, class).await?;
        let answer = self.link.call(&call).await;
        permit.record(is_answered(&answer));
        self.link.decode(call.step, &answer?)
    }

    async fn start(&self, step: &'static str, class: store::Class) -> Result<L::Permit> {
        let permit = self.limiter.acquire(class).await.map_err(|e| {
            let peer = self.link.peer.to_string();
            store::Error { step, peer, ..e }
        })?;
        metrics::counter!(CALLS.name, "class" => class_label(class)).increment(1);
        Ok(permit)
    }

    async fn range(
        &self,
        step: &'static str,
        key: &str,
        class: store::Class,
    ) -> Result<message::RangeAnswer> {
        let body = message::Range { key: message::Base64(key.as_bytes()) };
        let delivery = pool::Delivery::Repeatable;
        self.call(Call { step, path: "/v3/kv/range", body, delivery }, class).await
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
        let expected = self.link.int64(step, expected)?;
        let body = message::Txn::swap(key, expected, value, lease);
        let call = Call { step, path: "/v3/kv/txn", body, delivery: pool::Delivery::Once };
        let answer: message::TxnAnswer = self.call(call, class).await?;
        if answer.succeeded {
            return Ok(store::Swap::Done(message::version(answer.header.revision)));
        }
        let present = answer.present();
        present.map(store::Swap::Conflict).ok_or_else(|| {
            self.link.error(
                store::Kind::Malformed,
                step,
                "conflict without the present value".to_owned(),
            )
        })
    }

    /// The time is rounded up to whole seconds.
    async fn grant(&self, ttl: time::Duration, class: store::Class) -> Result<store::LeaseId> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let body = message::Grant { ttl: self.link.int64("grant", seconds.max(1))? };
        let delivery = pool::Delivery::Once;
        let call = Call { step: "grant", path: "/v3/lease/grant", body, delivery };
        let answer: message::GrantAnswer = self.call(call, class).await?;
        Ok(answer.id)
    }

    async fn renew(
        &self,
        lease: store::LeaseId,
        class: store::Class,
    ) -> Result<Option<time::Duration>> {
        let body = message::Lease { id: message::Int64(lease) };
        let delivery = pool::Delivery::Repeatable;
        let call = Call { step: "renew", path: "/v3/lease/keepalive", body, delivery };
        let answer: message::Streamed<message::KeepAlive> = self.call(call, class).await?;
        let ttl = self.link.streamed("renew", answer)?.ttl;
        Ok(u64::try_from(ttl).ok().filter(|ttl| *ttl > 0).map(time::Duration::from_secs))
    }

    /// A lease that is gone already counts as revoked.
    async fn revoke(&self, lease: store::LeaseId, class: store::Class) -> Result<()> {
        let body = message::Lease { id: message::Int64(lease) };
        let delivery = pool::Delivery::Repeatable;
        let call = Call { step: "revoke", path: "/v3/lease/revoke", body, delivery };
        self.call(call, class).await.map(|message::Done {}| ())
    }

    /// Reads the key first and watches from the revision of that read: the revision after `after`
    /// may be compacted, since other keys are written, too.
    async fn watch(&self, key: &str, after: store::Version) -> Result<Self::Watch> {
        let (step, class) = ("watch", store::Class::Config);
        let start = self.range(step, key, class).await?;
        let mut permit = self.start(step, class).await?;
        let revision = start.header.revision;
        let opened = watch::open(&self.link, key, message::Int64(revision.saturating_add(1))).await;
        permit.record(is_answered(&opened));
        let present = message::first(start.kvs);
        let changed = present.as_ref().map_or(0, |kv| kv.version) != after;
        Ok(EtcdWatch::new(
            self.link.clone(),
            opened?,
            self.progress_timeout,
            changed.then_some(present),
            permit,
        ))
    }
}

/// Whether the store itself answered, with whatever result.
fn is_answered<T>(answer: &Result<T>) -> bool {
    !answer.as_ref().is_err_and(|e| matches!(e.kind, store::Kind::NotSent | store::Kind::Unknown))
}

/// One call to the gateway.
struct Call<'a, Q> {
    step: &'static str,
    path: &'a str,
    body: Q,
    delivery: pool::Delivery,
}

impl Link {
    async fn call<Q: Serialize>(&self, call: &Call<'_, Q>) -> Result<bytes::Bytes> {
        let request = request(call.path, &call.body).map_err(|e| self.failed(call.step, e))?;
        let sent =
            self.pool.fetch(self.peer, request, call.delivery, self.timeout, MAX_ANSWER_BYTES);
        let answer = sent.await.map_err(|e| self.failed(call.step, e))?;
        self.accepted(call.step, answer)
    }

    /// The body of an answer with status 200.
    fn accepted(
        &self,
        step: &'static str,
        answer: hyper::Response<bytes::Bytes>,
    ) -> Result<bytes::Bytes> {
        if answer.status() == hyper::StatusCode::OK {
            return Ok(answer.into_body());
        }
        let failure: message::Failure = serde_json::from_slice(answer.body()).unwrap_or_default();
        if step == "revoke" && failure.code == Some(GRPC_NOT_FOUND) {
            return Ok(bytes::Bytes::from_static(b"{}"));
        }
        Err(self.refused(step, answer.status().as_u16(), &failure.message))
    }

    fn decode<A: DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<A> {
        serde_json::from_slice(body)
            .map_err(|e| self.error(store::Kind::Malformed, step, e.to_string()))
    }

    /// The result within a message of a streaming call.
    fn streamed<T>(&self, step: &'static str, message: message::Streamed<T>) -> Result<T> {
        match (message.result, message.error) {
            (Some(result), _) => Ok(result),
            (None, Some(e)) => Err(self.refused(step, e.http_code.unwrap_or(500), &e.message)),
            (None, None) => {
                Err(self.error(store::Kind::Malformed, step, "empty message".to_owned()))
            }
        }
    }

    fn refused(&self, step: &'static str, status: u16, message: &str) -> store::Error {
        let kind = if is_refusal(status) { store::Kind::Refused } else { store::Kind::Unknown };
        self.error(kind, step, format!("status {status}: {message}"))
    }

    fn failed(&self, step: &'static str, error: client::Error) -> store::Error {
        let kind = match error.kind {
            client::Kind::NotSent => store::Kind::NotSent,
            client::Kind::Malformed => store::Kind::Malformed,
            _ => store::Kind::Unknown,
        };
        self.error(kind, step, error.cause)
    }

    fn int64(&self, step: &'static str, value: u64) -> Result<message::Int64> {
        i64::try_from(value)
            .map(message::Int64)
            .map_err(|e| self.error(store::Kind::NotSent, step, e.to_string()))
    }

    fn error(&self, kind: store::Kind, step: &'static str, cause: String) -> store::Error {
        store::Error { kind, step, peer: self.peer.to_string(), cause }
    }
}

/// Status code of gRPC for a lease that does not exist.
const GRPC_NOT_FOUND: u16 = 5;

/// Whether a status says that a write was not applied. The gateway answers 408, 499 and all 5xx
/// also when a proposal is cancelled or times out, and it may be applied after that.
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

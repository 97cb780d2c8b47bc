//! The store on the JSON gateway of etcd v3.

mod message;
mod port;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corneltrestle_client::pool::{self, Delivery, Pool};
use corneltrestle_client::{self as client};
use corneltrestle_policy::silence;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use port::NodeStore;
pub use watch::EtcdWatch;

use super::limiter::{InFlight, Limiter, Permit};
use super::{Class, Error, Kind, LeaseId, Result, Store, Swap, Version, Versioned};
use message::{Base64, Int64};

/// Largest answer; a value has at most 1 MB, which base64 makes a third larger.
const MAX_ANSWER_BYTES: usize = 2_000_000;

/// Connection of the store's client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the gateway.
    pub address: SocketAddr,
    /// Longest time of a call.
    pub timeout: Duration,
    /// Longest time between two messages of a watch.
    pub silence: Duration,
    /// Calls in flight, waiting watches included.
    pub calls: usize,
    /// Connections.
    pub pool: pool::Config,
}

/// Client of the store, with a limit on its calls.
#[derive(Debug)]
pub struct EtcdStore<L = InFlight> {
    link: Link,
    limiter: L,
    silence: Duration,
}

/// What a call and a watch need of the client.
#[derive(Clone, Debug)]
struct Link {
    pool: Arc<Pool>,
    peer: SocketAddr,
    timeout: Duration,
}

impl Config {
    /// The default limits for the gateway at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: Duration::from_secs(1),
            silence: silence::Kind::Watch.limit(),
            calls: 8,
            pool: pool::Config::default(),
        }
    }
}

impl EtcdStore {
    /// Opens a client that allows `config.calls` calls in flight. It connects on first use.
    pub fn open(config: Config) -> Self {
        let limiter = InFlight::new(config.calls);
        Self::with_limiter(config, limiter)
    }
}

impl<L: Limiter> EtcdStore<L> {
    /// Opens a client whose calls `limiter` allows; `config.calls` is not used.
    pub fn with_limiter(config: Config, limiter: L) -> Self {
        let pool = Pool::open(config.pool);
        let link = Link { pool, peer: config.address, timeout: config.timeout };
        Self { link, limiter, silence: config.silence }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: Call<'_, Q>,
        class: Class,
    ) -> Result<A> {
        let mut permit = self.start(call.step, class).await?;
        let answer = self.link.call(&call).await;
        permit.settle(is_answered(&answer));
        self.link.decode(call.step, &answer?)
    }

    async fn start(&self, step: &'static str, class: Class) -> Result<L::Permit> {
        let permit = self.limiter.start(class).await.map_err(|e| {
            let peer = self.link.peer.to_string();
            Error { step, peer, ..e }
        })?;
        metrics::counter!("store_calls_total", "class" => class_label(class)).increment(1);
        Ok(permit)
    }

    async fn range(
        &self,
        step: &'static str,
        key: &str,
        class: Class,
    ) -> Result<message::RangeAnswer> {
        let body = message::Range { key: Base64(key.as_bytes()) };
        let delivery = Delivery::Repeatable;
        self.call(Call { step, path: "/v3/kv/range", body, delivery }, class).await
    }
}

impl<L: Limiter> Store for EtcdStore<L> {
    type Watch = EtcdWatch<L::Permit>;

    async fn read(&self, key: &str, class: Class) -> Result<Option<Versioned>> {
        Ok(message::first(self.range("read", key, class).await?.kvs))
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: &[u8],
        lease: Option<LeaseId>,
        class: Class,
    ) -> Result<Swap> {
        let step = "swap";
        let expected = self.link.int64(step, expected)?;
        let body = message::Txn::swap(key, expected, value, lease);
        let call = Call { step, path: "/v3/kv/txn", body, delivery: Delivery::Once };
        let answer: message::TxnAnswer = self.call(call, class).await?;
        if answer.succeeded {
            return Ok(Swap::Done(message::version(answer.header.revision)));
        }
        let present = answer.present();
        present.map(Swap::Conflict).ok_or_else(|| {
            self.link.error(Kind::Malformed, step, "conflict without the present value".to_owned())
        })
    }

    /// The time is rounded up to whole seconds.
    async fn grant(&self, ttl: Duration, class: Class) -> Result<LeaseId> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let body = message::Grant { ttl: self.link.int64("grant", seconds.max(1))? };
        let delivery = Delivery::Once;
        let call = Call { step: "grant", path: "/v3/lease/grant", body, delivery };
        let answer: message::GrantAnswer = self.call(call, class).await?;
        Ok(answer.id)
    }

    async fn renew(&self, lease: LeaseId, class: Class) -> Result<Option<Duration>> {
        let body = message::Lease { id: Int64(lease) };
        let delivery = Delivery::Repeatable;
        let call = Call { step: "renew", path: "/v3/lease/keepalive", body, delivery };
        let answer: message::Streamed<message::KeepAlive> = self.call(call, class).await?;
        let ttl = self.link.streamed("renew", answer)?.ttl;
        Ok(u64::try_from(ttl).ok().filter(|ttl| *ttl > 0).map(Duration::from_secs))
    }

    /// A lease that is gone already counts as revoked.
    async fn revoke(&self, lease: LeaseId, class: Class) -> Result<()> {
        let body = message::Lease { id: Int64(lease) };
        let delivery = Delivery::Repeatable;
        let call = Call { step: "revoke", path: "/v3/lease/revoke", body, delivery };
        self.call(call, class).await.map(|message::Done {}| ())
    }

    /// Reads the key first and watches from the revision of that read: the revision after `after`
    /// may be compacted, since other keys are written, too.
    async fn watch(&self, key: &str, after: Version) -> Result<Self::Watch> {
        let (step, class) = ("watch", Class::Config);
        let start = self.range(step, key, class).await?;
        let mut permit = self.start(step, class).await?;
        let revision = start.header.revision;
        let opened = watch::open(&self.link, key, Int64(revision.saturating_add(1))).await;
        permit.settle(is_answered(&opened));
        let present = message::first(start.kvs);
        let changed = present.as_ref().map_or(0, |kv| kv.version) != after;
        Ok(EtcdWatch::new(
            self.link.clone(),
            opened?,
            self.silence,
            changed.then_some(present),
            permit,
        ))
    }
}

/// Whether the store itself answered, with whatever result.
fn is_answered<T>(answer: &Result<T>) -> bool {
    !answer.as_ref().is_err_and(|e| matches!(e.kind, Kind::NotSent | Kind::Unknown))
}

/// One call to the gateway.
struct Call<'a, Q> {
    step: &'static str,
    path: &'a str,
    body: Q,
    delivery: Delivery,
}

impl Link {
    async fn call<Q: Serialize>(&self, call: &Call<'_, Q>) -> Result<Bytes> {
        let request = request(call.path, &call.body).map_err(|e| self.failed(call.step, e))?;
        let sent =
            self.pool.fetch(self.peer, request, call.delivery, self.timeout, MAX_ANSWER_BYTES);
        let answer = sent.await.map_err(|e| self.failed(call.step, e))?;
        self.accepted(call.step, answer)
    }

    /// The body of an answer with status 200.
    fn accepted(&self, step: &'static str, answer: Response<Bytes>) -> Result<Bytes> {
        if answer.status() == StatusCode::OK {
            return Ok(answer.into_body());
        }
        let failure: message::Failure = serde_json::from_slice(answer.body()).unwrap_or_default();
        if step == "revoke" && failure.code == Some(GRPC_NOT_FOUND) {
            return Ok(Bytes::from_static(b"{}"));
        }
        Err(self.refused(step, answer.status().as_u16(), &failure.message))
    }

    fn decode<A: DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<A> {
        serde_json::from_slice(body).map_err(|e| self.error(Kind::Malformed, step, e.to_string()))
    }

    /// The result within a message of a streaming call.
    fn streamed<T>(&self, step: &'static str, message: message::Streamed<T>) -> Result<T> {
        match (message.result, message.error) {
            (Some(result), _) => Ok(result),
            (None, Some(e)) => Err(self.refused(step, e.http_code.unwrap_or(500), &e.message)),
            (None, None) => Err(self.error(Kind::Malformed, step, "empty message".to_owned())),
        }
    }

    fn refused(&self, step: &'static str, status: u16, message: &str) -> Error {
        let kind = if is_refusal(status) { Kind::Refused } else { Kind::Unknown };
        self.error(kind, step, format!("status {status}: {message}"))
    }

    fn failed(&self, step: &'static str, error: client::Error) -> Error {
        let kind = match error.kind {
            client::Kind::NotSent => Kind::NotSent,
            client::Kind::Malformed => Kind::Malformed,
            _ => Kind::Unknown,
        };
        self.error(kind, step, error.cause)
    }

    fn int64(&self, step: &'static str, value: u64) -> Result<Int64> {
        i64::try_from(value).map(Int64).map_err(|e| self.error(Kind::NotSent, step, e.to_string()))
    }

    fn error(&self, kind: Kind, step: &'static str, cause: String) -> Error {
        Error { kind, step, peer: self.peer.to_string(), cause }
    }
}

/// Status code of gRPC for a lease that does not exist.
const GRPC_NOT_FOUND: u16 = 5;

/// Whether a status says that a write was not applied. The gateway answers 408, 499 and all 5xx
/// also when a proposal is cancelled or times out, and it may be applied after that.
fn is_refusal(status: u16) -> bool {
    (400..500).contains(&status) && status != 408 && status != 499
}

fn request<Q: Serialize>(path: &str, body: &Q) -> client::Result<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(body).map_err(client::Error::invalid)?;
    Request::post(path)
        .header(header::CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .body(Full::new(body.into()))
        .map_err(client::Error::invalid)
}

fn class_label(class: Class) -> &'static str {
    match class {
        Class::Lease => "lease",
        Class::Order => "order",
        Class::Config => "config",
        Class::Report => "report",
    }
}

//! Stand-in for a plain HTTP service that takes orders.
//!
//! It executes every order that it receives, also repeated ones, and counts the executions for each
//! idempotency key and request id. Tests use the counts to detect orders that ran twice.

use std::{collections, net, sync, time};

use corneltrestle_kernel::table::{self, Ranked};
use serde_json::json;
use xxhash_rust::xxh3;

use crate::server::{self, Api};

/// A running service.
pub type Handle = server::Handle<Service>;

/// Configuration of a service.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Time that each call takes before it has an effect.
    pub latency: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self { listen: ([127, 0, 0, 1], 0).into(), latency: time::Duration::ZERO }
    }
}

/// The order service.
#[derive(Debug)]
pub struct Service {
    latency: time::Duration,
    orders: table::Table<Orders>,
}

/// How often orders were executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Orders {
    /// Executions by the header `Idempotency-Key`.
    pub keys: collections::BTreeMap<String, u64>,
    /// Executions by the header `X-Request-Id`.
    pub requests: collections::BTreeMap<String, u64>,
    /// All executions, including those without key or request id.
    pub total: u64,
}

impl Ranked for Orders {
    const RANK: u16 = 230;
    const NAME: &'static str = "standin-orders";
}

/// Binds a service and serves it on the current tokio runtime.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn bind(config: Config) -> server::Result<Handle> {
    let service = Service { latency: config.latency, orders: table::Table::default() };
    server::bind(service, config.listen).await
}

impl Service {
    /// How often each order was executed.
    pub fn runs(&self) -> Orders {
        self.orders.lock().clone()
    }

    fn run(&self, key: &str, id: &str) -> u64 {
        let mut orders = self.orders.lock();
        orders.total += 1;
        if !key.is_empty() {
            *orders.keys.entry(key.to_owned()).or_default() += 1;
        }
        if !id.is_empty() {
            *orders.requests.entry(id.to_owned()).or_default() += 1;
        }
        orders.total
    }

    fn status(&self, key: &str) -> server::Reply {
        match self.orders.lock().keys.get(key) {
            Some(runs) => server::json(
                hyper::StatusCode::OK,
                &json!({"key": key, "state": "placed", "runs": runs}),
            ),
            None => {
                server::failure(hyper::StatusCode::NOT_FOUND, "unknown", "no order with this key")
            }
        }
    }
}

impl Api for Service {
    fn kind(&self, method: &hyper::Method, path: &str) -> server::Kind {
        let name = match (method, path) {
            (&hyper::Method::POST, "/orders") => "order",
            (&hyper::Method::GET, path) if path.starts_with("/orders/") => "status",
            (&hyper::Method::GET, path) if path.starts_with("/stock/") => "stock",
            _ => "unknown",
        };
        server::Kind { name, write: name == "order" }
    }

    async fn answer(
        self: &sync::Arc<Self>,
        call: &server::Call,
        _: &sync::Arc<server::Shared>,
    ) -> server::Reply {
        tokio::time::sleep(self.latency).await;
        let parts: Vec<_> = call.path.split('/').skip(1).collect();
        match (&call.method, parts.as_slice()) {
            (&hyper::Method::POST, ["orders"]) => {
                let key = call.header("idempotency-key");
                let number = self.run(key, call.request_id());
                server::json(hyper::StatusCode::CREATED, &json!({"order": number, "key": key}))
            }
            (&hyper::Method::GET, ["orders", key, "status"]) => self.status(key),
            (&hyper::Method::GET, ["stock", item]) => {
                let stock = xxh3::xxh3_64(item.as_bytes()) % 100;
                server::json(hyper::StatusCode::OK, &json!({"item": item, "stock": stock}))
            }
            _ => server::failure(hyper::StatusCode::NOT_FOUND, "unknown", "no such call"),
        }
    }

    fn control(&self, call: &server::Call) -> Option<server::Reply> {
        let runs = (&call.method, call.path.as_str()) == (&hyper::Method::GET, "/control/runs");
        runs.then(|| server::json(hyper::StatusCode::OK, &self.runs()))
    }
}

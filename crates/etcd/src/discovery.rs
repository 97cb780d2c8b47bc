//! The VM list over Prometheus HTTP service discovery.

mod port;

use std::{net, sync, time};

use corneltrestle_client::pool;
use corneltrestle_policy::{id, vm};
use serde::{
    Deserialize,
    de::{self, Error as _},
};

use corneltrestle_infra::vms::{self, Result, Vms};

/// Largest list: about 250 bytes for each of 10,000 VMs, with room for labels that are not read.
const MAX_LIST_BYTES: usize = 8_000_000;

/// Connection of the list's client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the list's server.
    pub address: net::SocketAddr,
    /// Longest time for reading the list.
    pub timeout: time::Duration,
    /// Connections.
    pub pool: pool::Config,
}

/// Client of the VM list.
#[derive(Debug)]
pub struct HttpVms {
    pool: sync::Arc<pool::Pool>,
    peer: net::SocketAddr,
    timeout: time::Duration,
}

/// One entry; each VM is a target group of its own. Unknown labels are ignored.
#[derive(Deserialize)]
struct Entry {
    targets: [net::SocketAddr; 1],
    labels: Labels,
}

#[derive(Deserialize)]
struct Labels {
    vm: id::Vm,
    zone: id::Zone,
    fabric: id::Fabric,
    role: vm::Role,
    state: vm::State,
    #[serde(deserialize_with = "count")]
    accelerators: u16,
}

impl Config {
    /// The default limits for the server at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, timeout: time::Duration::from_secs(2), pool: pool::Config::default() }
    }
}

impl HttpVms {
    /// Opens a client. It connects on first use.
    pub fn open(config: Config) -> Self {
        let pool = pool::Pool::open(config.pool);
        Self { pool, peer: config.address, timeout: config.timeout }
    }

    fn error(&self, step: &'static str, cause: impl ToString) -> vms::Error {
        vms::Error { step, peer: self.peer.to_string(), cause: cause.to_string() }
    }
}

impl Vms for HttpVms {
    /// A malformed entry is left out with a log line.
    async fn list(&self) -> Result<Vec<vm::Vm>> {
        let failed = |e| self.error("read list", e);
        let request =
            hyper::Request::get("/v1/vms").body(http_body_util::Full::<bytes::Bytes>::default());
        let request = request.map_err(|e| self.error("read list", e))?;
        let delivery = pool::Delivery::Repeatable;
        let sent = self.pool.fetch(self.peer, request, delivery, self.timeout, MAX_LIST_BYTES);
        let answer = sent.await.map_err(failed)?;
        if answer.status() != hyper::StatusCode::OK {
            return Err(self.error("read list", answer.status()));
        }
        let entries: Vec<serde_json::Value> =
            serde_json::from_slice(answer.body()).map_err(|e| self.error("decode list", e))?;
        Ok(entries.into_iter().filter_map(decode).collect())
    }
}

fn decode(entry: serde_json::Value) -> Option<vm::Vm> {
    let name = entry["labels"]["vm"].as_str().unwrap_or("").to_owned();
    match Entry::deserialize(entry) {
        Ok(Entry { targets: [address], labels }) => Some(vm::Vm {
            id: labels.vm,
            address,
            zone: labels.zone,
            fabric: labels.fabric,
            role: labels.role,
            state: labels.state,
            accelerators: labels.accelerators,
        }),
        Err(e) => {
            log::warn!("vms: entry {name:?} left out: {e}");
            None
        }
    }
}

/// Labels are texts.
fn count<'de, D: de::Deserializer<'de>>(input: D) -> std::result::Result<u16, D::Error> {
    String::deserialize(input)?.parse().map_err(D::Error::custom)
}

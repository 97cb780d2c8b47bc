//! Client of the VM list, which is served as Prometheus HTTP service discovery.
//!
//! Each call reads the complete list. A malformed entry is skipped, so that it does not hide the
//! other VMs; any other fault is an error, so that it is not mistaken for an empty list.

mod port;

use std::{net, sync, time};

use corneltrestle_client::pool;
use corneltrestle_policy::{id, vm};
use serde::{
    Deserialize,
    de::{self, Error as _},
};

use corneltrestle_infra::vms::{self, Result, Vms};

/// Limit on the body of the list. 10,000 VMs take about 2.5 MB (250 bytes each); the rest is room
/// for labels that are not read.
const MAX_LIST_BYTES: usize = 8_000_000;

/// Address and limits of an [`HttpVms`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the server that provides the list.
    pub address: net::SocketAddr,
    /// Time limit of reading the list once, connecting included.
    pub timeout: time::Duration,
    /// Limits on pooled connections.
    pub pool: pool::Config,
}

/// HTTP client of the VM list.
#[derive(Debug)]
pub struct HttpVms {
    pool: sync::Arc<pool::Pool>,
    peer: net::SocketAddr,
    timeout: time::Duration,
}

/// An entry of the list: a target group with one VM. Unknown labels are ignored.
#[derive(Deserialize)]
struct Entry {
    targets: [net::SocketAddr; 1],
    labels: Labels,
}

/// The labels that describe the VM.
#[derive(Deserialize)]
struct Labels {
    vm: id::Vm,
    zone: id::Zone,
    fabric: id::Fabric,
    role: vm::Role,
    state: vm::State,
    #[serde(deserialize_with = "number")]
    accelerators: u16,
}

impl Config {
    /// Configuration with the default limits for the server at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, timeout: time::Duration::from_secs(2), pool: pool::Config::default() }
    }
}

impl HttpVms {
    /// Creates a client, which connects when it is first used.
    pub fn open(config: Config) -> Self {
        let pool = pool::Pool::open(config.pool);
        Self { pool, peer: config.address, timeout: config.timeout }
    }

    fn error(&self, step: &'static str, cause: impl ToString) -> vms::Error {
        vms::Error { step, peer: self.peer.to_string(), cause: cause.to_string() }
    }
}

impl Vms for HttpVms {
    /// Skips malformed entries and logs each.
    async fn list(&self) -> Result<Vec<vm::Vm>> {
        let failed = |e| self.error("read list", e);
        let request =
            hyper::Request::get("/v1/vms").body(http_body_util::Full::<bytes::Bytes>::default());
        let request = request.map_err(|e| self.error("read list", e))?;
        let sent = self.pool.fetch_repeatable(
            self.peer,
            request,
            self.timeout,
            MAX_LIST_BYTES,
            async || Some(()),
        );
        let response = sent.await.map_err(failed)?;
        if response.status() != hyper::StatusCode::OK {
            return Err(self.error("read list", response.status()));
        }
        let entries: Vec<serde_json::Value> =
            serde_json::from_slice(response.body()).map_err(|e| self.error("decode list", e))?;
        Ok(entries.into_iter().filter_map(decode).collect())
    }
}

/// The VM of an entry; `None`, with a log line, if the entry is malformed.
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
            log::warn!("vms: skipped malformed entry {name:?}: {e}");
            None
        }
    }
}

/// Decodes a number from a label; the values of labels are strings.
fn number<'de, D: de::Deserializer<'de>>(input: D) -> std::result::Result<u16, D::Error> {
    String::deserialize(input)?.parse().map_err(D::Error::custom)
}

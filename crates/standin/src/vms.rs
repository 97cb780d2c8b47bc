//! Stand-in for the platform's VM list, in the format of Prometheus HTTP service discovery.
//!
//! Tests replace the list with [`Vms::set`] or `POST /control/vms`. A change becomes visible after a
//! lag, as on a platform whose list is updated late.

use std::{borrow, collections, net, sync, time};

use corneltrestle_kernel::{
    clock::{self, Clock},
    table::{self, Ranked},
};
use corneltrestle_policy::vm;
use corneltrestle_time::moment;
use serde_json::json;

use crate::server::{self, Api};

/// A running VM list.
pub type Handle = server::Handle<Vms>;

/// Most recent lists that are kept, so that a lagging reader can be given an older one.
const MAX_LISTS: usize = 256;

/// Configuration of a VM list.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Time after which a change becomes visible; the fault `lagging-list` overrides it.
    pub lag: time::Duration,
    /// Initial list, visible at once.
    pub vms: Vec<vm::Vm>,
}

impl Default for Config {
    fn default() -> Self {
        Self { listen: ([127, 0, 0, 1], 0).into(), lag: time::Duration::ZERO, vms: Vec::new() }
    }
}

/// The VM list.
#[derive(Debug)]
pub struct Vms {
    lag: time::Duration,
    clock: clock::System,
    lists: table::Table<Lists>,
}

/// The lists with the time at which each was set, oldest first; never empty.
#[derive(Debug)]
struct Lists(collections::VecDeque<(moment::Moment, Vec<vm::Vm>)>);

impl Ranked for Lists {
    const RANK: u16 = 220;
    const NAME: &'static str = "standin-vms";
}

/// Binds a VM list and serves it on the current tokio runtime.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn bind(config: Config) -> server::Result<Handle> {
    let clock = clock::System::open();
    let lists = table::Table::new(Lists(collections::VecDeque::from([(clock.now(), config.vms)])));
    server::bind(Vms { lag: config.lag, clock, lists }, config.listen).await
}

impl Vms {
    /// Replaces the list; it becomes visible after the lag.
    pub fn set(&self, vms: &[vm::Vm]) {
        let now = self.clock.now();
        let mut lists = self.lists.lock();
        if lists.0.len() == MAX_LISTS {
            lists.0.pop_front();
        }
        lists.0.push_back((now, vms.to_vec()));
    }

    fn visible_entries(&self, lag: time::Duration) -> Vec<serde_json::Value> {
        let now = self.clock.now();
        let lists = self.lists.lock();
        let found = lists.0.iter().rev().find(|(set, _)| now.since(*set) >= lag);
        let (_, vms) = found.unwrap_or(&lists.0[0]);
        vms.iter().map(entry).collect()
    }
}

fn entry(vm: &vm::Vm) -> serde_json::Value {
    json!({
        "targets": [vm.address],
        "labels": {
            "vm": vm.id,
            "zone": vm.zone,
            "fabric": vm.fabric,
            "role": vm.role,
            "state": vm.state,
            "accelerators": vm.accelerators.to_string(),
        },
    })
}

#[derive(serde::Deserialize)]
struct Entry<'a> {
    targets: [net::SocketAddr; 1],
    #[serde(borrow)]
    labels: Labels<'a>,
}

#[derive(serde::Deserialize)]
struct Labels<'a> {
    #[serde(borrow)]
    vm: borrow::Cow<'a, str>,
    #[serde(borrow)]
    zone: borrow::Cow<'a, str>,
    #[serde(borrow)]
    fabric: borrow::Cow<'a, str>,
    role: vm::Role,
    state: vm::State,
    #[serde(borrow)]
    accelerators: borrow::Cow<'a, str>,
}

impl Entry<'_> {
    fn decode(&self) -> Option<vm::Vm> {
        Some(vm::Vm {
            id: self.labels.vm.as_ref().into(),
            address: self.targets[0],
            zone: self.labels.zone.as_ref().into(),
            fabric: self.labels.fabric.as_ref().into(),
            role: self.labels.role,
            state: self.labels.state,
            accelerators: self.labels.accelerators.parse().ok()?,
        })
    }
}

impl Api for Vms {
    fn kind(&self, method: &hyper::Method, path: &str) -> server::Kind {
        let list = method == hyper::Method::GET && path == "/v1/vms";
        server::Kind { name: if list { "list" } else { "unknown" }, write: false }
    }

    async fn answer(
        self: &sync::Arc<Self>,
        call: &server::Call,
        shared: &sync::Arc<server::Shared>,
    ) -> server::Reply {
        if (&call.method, call.path.as_str()) != (&hyper::Method::GET, "/v1/vms") {
            return server::failure(hyper::StatusCode::NOT_FOUND, "unknown", "no such call");
        }
        let lag = shared.faults().list_lag.unwrap_or(self.lag);
        server::json(hyper::StatusCode::OK, &self.visible_entries(lag))
    }

    fn control(&self, call: &server::Call) -> Option<server::Reply> {
        if (&call.method, call.path.as_str()) != (&hyper::Method::POST, "/control/vms") {
            return None;
        }
        let entries: Result<Vec<Entry<'_>>, _> = serde_json::from_slice(&call.body);
        let vms = entries.ok().and_then(|list| list.iter().map(Entry::decode).collect());
        let vms: Option<Vec<_>> = vms;
        Some(match vms {
            Some(vms) => {
                self.set(&vms);
                server::json(hyper::StatusCode::OK, &json!({}))
            }
            None => {
                server::failure(hyper::StatusCode::BAD_REQUEST, "invalid", "not a list of targets")
            }
        })
    }
}

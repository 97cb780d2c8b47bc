//! The shared tables of a node.
//!
//! Each table has its own lock. Whoever holds several locks takes them in ascending order of rank,
//! which rules out deadlocks. Debug builds check the order.
//!
//! | rank | table | holds |
//! |---|---|---|
//! | 10 | [`config::Config`] | adopted release and its version in the store |
//! | 20 | [`members::Members`] | nodes of all zones, by gossip |
//! | 22 | [`outbox::Outbox`] | updates to push to peers |
//! | 25 | [`vm_list::VmList`] | VM list of the platform |
//! | 30 | [`replicas::Replicas`] | assignment of each zone |
//! | 35 | [`coordinator::Coordinator`] | state of the zone lease's holder |
//! | 40 | [`reports::Reports`] | latest report of each VM |
//! | 50 | [`warmup::Warmup`] | warm-up levels and lent slots |
//! | 60 | [`dispatched::Dispatched`] | own requests in progress by replica, cached prefixes |
//! | 70 | [`admission::Admission`] | queues, shares and retry budget |
//! | 80 | [`claims::Claims`] | claims of idempotency keys |
//! | 90 | `store::budget::Calls` of the platform crate | budget of calls to the store |
//! | 100 | [`burn::Burn`] | service-level counts |

pub mod admission;
pub mod burn;
pub mod claims;
pub mod config;
pub mod coordinator;
pub mod dispatched;
pub mod members;
pub mod outbox;
pub mod replicas;
pub mod reports;
pub mod vm_list;
pub mod warmup;

use std::sync;

use corneltrestle_kernel::{host, plugin, table};

/// Handles to the tables of a node; cheap to clone.
#[derive(Clone, Debug)]
pub struct Tables {
    /// Adopted release, for writers.
    pub config: sync::Arc<table::Table<config::Config>>,
    /// Adopted release, for readers; needs no lock.
    pub current: config::Current,
    /// Nodes of all zones, with their liveness and demand.
    pub members: sync::Arc<table::Table<members::Members>>,
    /// Updates to push to peers.
    pub outbox: sync::Arc<table::Table<outbox::Outbox>>,
    /// VM list of the platform as last read.
    pub vm_list: sync::Arc<table::Table<vm_list::VmList>>,
    /// Assignment of VMs to replicas in each zone.
    pub replicas: sync::Arc<table::Table<replicas::Replicas>>,
    /// State of the zone lease's holder; empty on every other node.
    pub coordinator: sync::Arc<table::Table<coordinator::Coordinator>>,
    /// Latest report of each VM.
    pub reports: sync::Arc<table::Table<reports::Reports>>,
    /// Warm-up levels of replicas and lent slots.
    pub warmup: sync::Arc<table::Table<warmup::Warmup>>,
    /// Requests that this node has in progress at replicas.
    pub dispatched: sync::Arc<table::Table<dispatched::Dispatched>>,
    /// Admission queues, retry and hedging budgets.
    pub admission: sync::Arc<table::Table<admission::Admission>>,
    /// Claims of idempotency keys.
    pub claims: sync::Arc<table::Table<claims::Claims>>,
    /// Service-level counts of this node.
    pub burn: sync::Arc<table::Table<burn::Burn>>,
}

impl Tables {
    /// The tables of a host, created empty on first use.
    ///
    /// # Errors
    ///
    /// When the node's identity, which provides the table of members, is not open yet.
    pub fn new(host: &host::Host) -> plugin::Result<Self> {
        let config = host.table::<config::Config>();
        let current = config.lock().current();
        Ok(Self {
            config,
            current,
            members: host.port()?,
            outbox: host.table(),
            vm_list: host.table(),
            replicas: host.table(),
            coordinator: host.table(),
            reports: host.table(),
            warmup: host.table(),
            dispatched: host.table(),
            admission: host.table(),
            claims: host.table(),
            burn: host.table(),
        })
    }
}

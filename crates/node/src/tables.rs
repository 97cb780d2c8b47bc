//! The shared tables of a node, in lock order.
//!
//! | rank | table | holds |
//! |---|---|---|
//! | 10 | [`config::Config`] | accepted release and its version in the store |
//! | 20 | [`members::Members`] | nodes of this and other zones |
//! | 22 | [`outbox::Outbox`] | news that wait to be pushed |
//! | 25 | [`vm_list::VmList`] | the platform's VM list |
//! | 30 | [`replicas::Replicas`] | assignment of each zone |
//! | 35 | [`coordinator::Coordinator`] | state of the holder of the zone lease |
//! | 40 | [`reports::Reports`] | latest report of each VM |
//! | 50 | [`warmup::Warmup`] | warm-up levels |
//! | 60 | [`dispatched::Dispatched`] | own requests in progress by replica, prefix history |
//! | 70 | [`admission::Admission`] | queues, shares and retry budget |
//! | 80 | [`claims::Claims`] | idempotency claims in progress |
//! | 90 | `store::budget::Calls` of the platform crate | call budget towards the store |
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

/// Handles on the tables of a node.
#[derive(Clone, Debug)]
pub struct Tables {
    /// Accepted release, for writers.
    pub config: sync::Arc<table::Table<config::Config>>,
    /// Accepted release, for readers.
    pub current: config::Current,
    /// Nodes of this and other zones.
    pub members: sync::Arc<table::Table<members::Members>>,
    /// News to push.
    pub outbox: sync::Arc<table::Table<outbox::Outbox>>,
    /// The platform's VM list.
    pub vm_list: sync::Arc<table::Table<vm_list::VmList>>,
    /// Assignments.
    pub replicas: sync::Arc<table::Table<replicas::Replicas>>,
    /// State of the holder of the zone lease.
    pub coordinator: sync::Arc<table::Table<coordinator::Coordinator>>,
    /// Reports of VMs.
    pub reports: sync::Arc<table::Table<reports::Reports>>,
    /// Warm-up levels.
    pub warmup: sync::Arc<table::Table<warmup::Warmup>>,
    /// Own requests in progress.
    pub dispatched: sync::Arc<table::Table<dispatched::Dispatched>>,
    /// Admission queues.
    pub admission: sync::Arc<table::Table<admission::Admission>>,
    /// Idempotency claims.
    pub claims: sync::Arc<table::Table<claims::Claims>>,
    /// Service-level counts.
    pub burn: sync::Arc<table::Table<burn::Burn>>,
}

impl Tables {
    /// The tables of a host, created empty on first use.
    ///
    /// # Errors
    ///
    /// When the node's identity has not been opened yet, which provides the members.
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

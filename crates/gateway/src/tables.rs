//! The tables shared by the workers of a node, in lock order: a thread that holds a table may only
//! lock tables of a higher rank.
//!
//! | rank | table | holds |
//! |---|---|---|
//! | 10 | [`catalog::Catalog`] | facts of the platform with their revisions |
//! | 20 | [`peers::Peers`] | other nodes, by their own datagrams |
//! | 30 | [`coordinator::Coordinator`] | state of the coordinator of serving groups |
//! | 40 | [`activity::Activity`] | requests in progress by upstream |
//! | 50 | [`stalls::Stalls`] | upstreams that have stalled |
//! | 52 | [`health::Health`] | outcomes of this node's requests by upstream |
//! | 53 | [`quarantine::Quarantine`] | prompt parts that crash upstreams |
//! | 55 | [`pacing::Pacing`] | requests sent to cold upstreams |
//! | 56 | [`census::Census`] | nodes between which bounds over all nodes are divided |
//! | 57 | [`quotas::Quotas`] | limits of upstreams, and the permits under them |
//! | 60 | [`retries::Retries`] | retry budgets by service |
//! | 62 | [`demand::Demand`] | requests by model |
//! | 64 | [`gates::Gates`] | requests that wait for admission |
//! | 70 | [`outbox::Outbox`] | datagrams that wait to be sent |
//! | 72 | [`pauses::Pauses`] | pauses of this process |
//! | 65535 | `memory` of the kernel | bytes held on behalf of clients |

pub mod activity;
pub mod catalog;
pub mod census;
pub mod coordinator;
pub mod demand;
pub mod gates;
pub mod health;
pub mod outbox;
pub mod pacing;
pub mod pauses;
pub mod peers;
pub mod quarantine;
pub mod quotas;
pub mod retries;
pub mod stalls;

use std::sync;

use corneltrestle_kernel::{host, table};

/// Handles to the tables of a node.
#[derive(Clone, Debug)]
pub struct Tables {
    /// Facts of the platform, for writers.
    pub catalog: sync::Arc<table::Table<catalog::Catalog>>,
    /// Latest snapshot of the facts, for readers; read without a lock.
    pub current: catalog::Current,
    /// Other nodes that were heard from.
    pub peers: sync::Arc<table::Table<peers::Peers>>,
    /// State of the coordinator; in use only while this node holds the lease.
    pub coordinator: sync::Arc<table::Table<coordinator::Coordinator>>,
    /// Requests in progress at upstreams, of this node and its peers.
    pub activity: sync::Arc<table::Table<activity::Activity>>,
    /// Upstreams that have stalled.
    pub stalls: sync::Arc<table::Table<stalls::Stalls>>,
    /// Outcomes of this node's requests by upstream.
    pub health: sync::Arc<table::Table<health::Health>>,
    /// Prompt parts that crash upstreams.
    pub quarantine: sync::Arc<table::Table<quarantine::Quarantine>>,
    /// Requests that this node sent to cold upstreams.
    pub pacing: sync::Arc<table::Table<pacing::Pacing>>,
    /// Nodes between which bounds over all nodes are divided.
    pub census: sync::Arc<table::Table<census::Census>>,
    /// Limits of upstreams on the requests of all nodes.
    pub quotas: sync::Arc<table::Table<quotas::Quotas>>,
    /// Retry budgets by service.
    pub retries: sync::Arc<table::Table<retries::Retries>>,
    /// Requests by model.
    pub demand: sync::Arc<table::Table<demand::Demand>>,
    /// Requests that wait for admission.
    pub gates: sync::Arc<table::Table<gates::Gates>>,
    /// Datagrams that wait to be sent.
    pub outbox: sync::Arc<table::Table<outbox::Outbox>>,
    /// Pauses of this process.
    pub pauses: sync::Arc<table::Table<pauses::Pauses>>,
}

impl Tables {
    /// The tables of a host; each is created empty on first use.
    pub fn of(host: &host::Host) -> Self {
        let catalog = host.table::<catalog::Catalog>();
        let current = catalog.lock().current();
        Self {
            catalog,
            current,
            peers: host.table(),
            coordinator: host.table(),
            activity: host.table(),
            stalls: host.table(),
            health: host.table(),
            quarantine: host.table(),
            pacing: host.table(),
            census: host.table(),
            quotas: host.table(),
            retries: host.table(),
            demand: host.table(),
            gates: host.table(),
            outbox: host.table(),
            pauses: host.table(),
        }
    }
}

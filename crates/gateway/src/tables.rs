//! The shared tables of a node, in lock order.
//!
//! | rank | table | holds |
//! |---|---|---|
//! | 10 | [`catalog::Catalog`] | facts of the platform with their revisions |
//! | 20 | [`peers::Peers`] | other nodes, as they have told of themselves |
//! | 30 | [`coordinator::Coordinator`] | state of the node that forms groups |
//! | 40 | [`activity::Activity`] | requests in progress by upstream |
//! | 50 | [`stalls::Stalls`] | upstreams that stand still |
//! | 52 | [`health::Health`] | what requests met at upstreams |
//! | 55 | [`pacing::Pacing`] | requests sent to cold upstreams |
//! | 60 | [`retries::Retries`] | retry budgets by service |
//! | 62 | [`demand::Demand`] | what callers ask of models |
//! | 70 | [`outbox::Outbox`] | datagrams that wait to be sent |
//! | 72 | [`pauses::Pauses`] | times at which the process did not run |

pub mod activity;
pub mod catalog;
pub mod coordinator;
pub mod demand;
pub mod health;
pub mod outbox;
pub mod pacing;
pub mod pauses;
pub mod peers;
pub mod retries;
pub mod stalls;

use std::sync;

use corneltrestle_kernel::{host, table};

/// Handles on the tables of a node.
#[derive(Clone, Debug)]
pub struct Tables {
    /// Facts, for writers.
    pub catalog: sync::Arc<table::Table<catalog::Catalog>>,
    /// Facts, for readers.
    pub current: catalog::Current,
    /// Other nodes.
    pub peers: sync::Arc<table::Table<peers::Peers>>,
    /// State of the coordinator.
    pub coordinator: sync::Arc<table::Table<coordinator::Coordinator>>,
    /// Requests in progress.
    pub activity: sync::Arc<table::Table<activity::Activity>>,
    /// Upstreams that stand still.
    pub stalls: sync::Arc<table::Table<stalls::Stalls>>,
    /// What requests met at upstreams.
    pub health: sync::Arc<table::Table<health::Health>>,
    /// Requests sent to cold upstreams.
    pub pacing: sync::Arc<table::Table<pacing::Pacing>>,
    /// Retry budgets.
    pub retries: sync::Arc<table::Table<retries::Retries>>,
    /// What callers ask of models.
    pub demand: sync::Arc<table::Table<demand::Demand>>,
    /// Datagrams that wait to be sent.
    pub outbox: sync::Arc<table::Table<outbox::Outbox>>,
    /// Times at which the process did not run.
    pub pauses: sync::Arc<table::Table<pauses::Pauses>>,
}

impl Tables {
    /// The tables of a host, created empty on first use.
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
            pacing: host.table(),
            retries: host.table(),
            demand: host.table(),
            outbox: host.table(),
            pauses: host.table(),
        }
    }
}

//! The HTTP server that all stand-ins share: connections, fault injection, call counts and the
//! control endpoint.
//!
//! A stand-in implements [`Api`]; the server reads each call, applies the faults in effect and passes
//! the call on.

mod body;
mod call;
mod connection;
mod control;

use std::{
    collections, net,
    sync::{self, atomic},
};

use corneltrestle_kernel::{
    plugin, pool,
    table::{self, Ranked},
};
use tokio::{net::TcpListener, runtime, sync::watch};

use crate::fault;

pub use body::Body;
pub use call::{Call, Reply, failure, json, reply};
pub(crate) use connection::wrong_id;
pub use control::{Control, control};

/// The result of binding a stand-in.
pub type Result<T> = std::io::Result<T>;

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Name under which calls are counted.
    pub name: &'static str,
    /// Whether the call changes state; the fault `answer-lost` only applies to such calls.
    pub write: bool,
}

/// The protocol of one stand-in.
pub trait Api: Send + Sync + Sized + 'static {
    /// Classifies a call by method and path.
    fn kind(&self, method: &hyper::Method, path: &str) -> Kind;

    /// Answers a call.
    fn answer(
        self: &sync::Arc<Self>,
        call: &Call,
        shared: &sync::Arc<Shared>,
    ) -> impl Future<Output = Reply> + Send;

    /// Answers a call to `/control/` that is specific to this stand-in; `None` if it has none there.
    fn control(&self, _call: &Call) -> Option<Reply> {
        None
    }

    /// Adds figures of the stand-in to the counts of calls.
    fn counts(&self, _counts: &mut collections::BTreeMap<String, u64>) {}

    /// Called after a fault was switched, with the state before and after.
    fn faults_changed(&self, _before: &fault::State, _after: &fault::State) {}

    /// Called when the server shuts down, before its connections close.
    fn stopped(&self) {}
}

/// State that the connections and background tasks of one server share.
#[derive(Debug)]
pub struct Shared {
    /// Bound address, with the port that was picked if the configured one was 0.
    pub address: net::SocketAddr,
    jobs: plugin::Handle,
    pool: pool::Pool,
    faults: watch::Sender<fault::State>,
    counts: table::Table<Counts>,
    in_flight: atomic::AtomicU64,
    peak: atomic::AtomicU64,
}

/// Counts a call as in progress until dropped.
#[derive(Debug)]
struct InFlight<'a>(&'a Shared);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct Counts(collections::BTreeMap<&'static str, u64>);

impl Ranked for Counts {
    const RANK: u16 = 260;
    const NAME: &'static str = "standin-counts";
}

/// A running stand-in. For its clients, [`Handle::shutdown`] looks like the loss of its VM.
#[derive(Debug)]
pub struct Handle<A> {
    api: sync::Arc<A>,
    shared: sync::Arc<Shared>,
}

impl<A> Clone for Handle<A> {
    fn clone(&self) -> Self {
        Self { api: sync::Arc::clone(&self.api), shared: sync::Arc::clone(&self.shared) }
    }
}

/// Binds a server for `api` and serves it on the current tokio runtime.
pub(crate) async fn bind<A: Api>(api: A, listen: net::SocketAddr) -> Result<Handle<A>> {
    let listener = TcpListener::bind(listen).await?;
    let shared = sync::Arc::new(Shared {
        address: listener.local_addr()?,
        jobs: plugin::Handle::idle(),
        pool: pool::Pool::attach(runtime::Handle::current()),
        faults: watch::Sender::new(fault::State::default()),
        counts: table::Table::default(),
        in_flight: atomic::AtomicU64::new(0),
        peak: atomic::AtomicU64::new(0),
    });
    let handle = Handle { api: sync::Arc::new(api), shared };
    let server = handle.clone();
    handle.shared.spawn(connection::accept(server, listener));
    Ok(handle)
}

impl<A: Api> Handle<A> {
    /// Bound address.
    pub fn address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// The stand-in itself, for access without a call.
    pub fn api(&self) -> &sync::Arc<A> {
        &self.api
    }

    /// Switches a fault on or off; without a value it uses the default of the fault.
    ///
    /// # Errors
    ///
    /// When no fault has this name.
    pub fn switch(&self, name: &str, on: bool, value: Option<u64>) -> fault::Result<()> {
        let fault = fault::find(name)?;
        let switch = fault::Switch { on, value: value.unwrap_or(fault.default) };
        let mut before = fault::State::default();
        let mut after = fault::State::default();
        self.shared.faults.send_modify(|faults| {
            before.clone_from(faults);
            (fault.apply)(faults, switch);
            after.clone_from(faults);
        });
        self.api.faults_changed(&before, &after);
        log::info!(
            "standin: fault {name} of {} is {}",
            self.address(),
            if on { "on" } else { "off" }
        );
        Ok(())
    }

    /// Calls by the name of their kind, and the figures that the stand-in adds.
    pub fn counts(&self) -> collections::BTreeMap<String, u64> {
        let mut counts = collections::BTreeMap::new();
        for (name, count) in &self.shared.counts.lock().0 {
            counts.insert((*name).to_owned(), *count);
        }
        self.api.counts(&mut counts);
        counts
    }

    /// The highest number of concurrent calls since the previous call of this method. A streamed
    /// response counts until it begins.
    pub fn take_peak(&self) -> u64 {
        self.shared
            .peak
            .swap(self.shared.in_flight.load(atomic::Ordering::Relaxed), atomic::Ordering::Relaxed)
    }

    /// Spawns a task that is cancelled when the server stops.
    pub(crate) fn spawn(&self, job: impl Future<Output = ()> + Send + 'static) {
        self.shared.spawn(job);
    }

    /// Closes the port and all connections and waits for the background tasks to end.
    pub async fn shutdown(&self) {
        self.api.stopped();
        self.shared.jobs.shutdown().await;
    }
}

impl Shared {
    /// The faults in effect now.
    pub fn faults(&self) -> fault::State {
        self.faults.borrow().clone()
    }

    /// Spawns a task that is cancelled when the server stops.
    pub(crate) fn spawn(&self, job: impl Future<Output = ()> + Send + 'static) {
        self.jobs.spawn_until_stop(&self.pool, job);
    }

    /// Waits while the fault `pause` is on.
    pub(crate) async fn wait_unpaused(&self) {
        self.wait_for_faults(|faults| !faults.paused).await;
    }

    async fn wait_for_faults(&self, wanted: impl Fn(&fault::State) -> bool) {
        // The sender lives as long as `self`, so `wait_for` cannot fail.
        let _ = self.faults.subscribe().wait_for(wanted).await;
    }

    fn start_call(&self, name: &'static str) -> InFlight<'_> {
        *self.counts.lock().0.entry(name).or_default() += 1;
        let in_flight = self.in_flight.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        self.peak.fetch_max(in_flight, atomic::Ordering::Relaxed);
        InFlight(self)
    }

    /// Whether to drop the response to this write; if so, decrements the number still to drop.
    fn take_lost_response(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let lost = faults.lost_responses > 0;
            faults.lost_responses = faults.lost_responses.saturating_sub(1);
            lost
        })
    }
}

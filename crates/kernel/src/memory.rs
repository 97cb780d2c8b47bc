//! The memory budget of a node.
//!
//! A component that holds bytes on behalf of a client opens a [`Holding`] and acquires the bytes
//! before it allocates them. [`corneltrestle_policy::memory`] decides; this module keeps the table
//! of holdings and wakes those that wait.

mod ledger;
mod report;

use std::{fmt, future, sync, task};

use corneltrestle_time::moment::Moment;

use crate::{settings, table};
use ledger::{Decided, Effects, Ledger};

use corneltrestle_policy::memory::{self as policy, Holder};
pub use corneltrestle_policy::memory::{Caller, Cause, Eviction, Kind, Limits, Phase};

/// Largest default budget. Beyond it, more memory serves only clients that send more than they may.
const MAX_DEFAULT_BYTES: usize = 32 * 1024 * 1024;

/// Smallest budget that can be configured: room for a body of 4 MB beside the reserved part.
const MIN_BYTES: u64 = 6 * 1024 * 1024;

/// Key of the size of the budget in the section `[node]`, which each program declares.
pub const SETTING: settings::Key = settings::Key::new(
    "memory-limit",
    settings::Type::BytesOrDefault { min: MIN_BYTES, max: 1 << 40 },
    "0",
    "Memory held on behalf of clients; 0 stands for a quarter of the VM's memory, at most 32 MB.",
);

/// The organisation of a [`Caller`] as a hash of what identifies it, such as its name or key.
pub fn organisation(identity: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(identity.as_bytes())
}

/// The size of the budget that is configured, or the default one.
pub fn configured(settings: &settings::Settings) -> usize {
    match settings.section("node").optional_count(SETTING.name) {
        None | Some(0) => default_bytes(),
        Some(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
    }
}

/// A quarter of the VM's memory, at most 32 MB.
fn default_bytes() -> usize {
    let info = rustix::system::sysinfo();
    let bytes = info.totalram.saturating_mul(info.mem_unit.into()) / 4;
    usize::try_from(bytes).unwrap_or(usize::MAX).min(MAX_DEFAULT_BYTES)
}

/// The bytes that a node holds on behalf of its clients. Clones share them.
#[derive(Clone, Debug)]
pub struct Budget {
    table: sync::Arc<table::Table<Ledger>>,
    limits: Limits,
}

/// Why bytes were not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(pub Cause);

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Cause::Exhausted => "the node has no memory for it now",
            Cause::NeverFits => "it exceeds the memory that the node has for requests",
            Cause::Evicted => "the node needed its memory for other requests",
        })
    }
}

impl std::error::Error for Refused {}

impl Budget {
    /// Opens a budget.
    pub fn open(limits: Limits) -> Self {
        Self { table: sync::Arc::new(table::Table::new(Ledger::new(limits))), limits }
    }

    /// A holding of no bytes yet. It starts as [`Phase::Receiving`] if it is a request or a
    /// connection, and as [`Phase::Served`] otherwise.
    pub fn hold(&self, caller: Caller, kind: Kind, now: Moment) -> Holding {
        self.open_holding(caller, kind, 0, now)
    }

    /// A holding for a connection that `listener` has accepted, as [`Budget::hold`].
    pub fn hold_connection(&self, caller: Caller, listener: u64, now: Moment) -> Holding {
        self.open_holding(caller, Kind::Connection, listener, now)
    }

    fn open_holding(&self, caller: Caller, kind: Kind, listener: u64, now: Moment) -> Holding {
        let phase = match kind {
            Kind::Connection | Kind::Request => Phase::Receiving,
            Kind::Answer | Kind::Relay => Phase::Served,
        };
        let mut ledger = self.table.lock();
        let id = ledger.new_id();
        let holder = Holder {
            id,
            caller,
            kind,
            listener,
            phase,
            bytes: 0,
            progressed: now,
            is_waiting: false,
            is_evicted: false,
        };
        ledger.insert(holder);
        drop(ledger);
        Holding { budget: self.clone(), id, caller, kind }
    }

    /// An identifier for a listener, see [`Budget::hold_connection`].
    pub fn new_listener(&self) -> u64 {
        self.table.lock().new_id()
    }

    /// The limits of the budget.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Bytes held by all holders.
    pub fn total(&self) -> usize {
        self.table.lock().usage.total
    }

    /// Bytes held by the holders of a kind.
    pub fn bytes(&self, kind: Kind) -> usize {
        self.table.lock().by_kind[kind.index()]
    }

    /// Evicts the connection of `listener` that has waited longest for its first request, in favour
    /// of a new one. Returns false if there is none.
    pub fn evict_idle_connection(&self, listener: u64, now: Moment) -> bool {
        let mut ledger = self.table.lock();
        let holders = ledger.holders.values().map(|entry| &entry.holder);
        let of_listener = holders.filter(|holder| holder.listener == listener);
        let Some(id) = policy::longest_waiting(of_listener) else { return false };
        let mut effects = Effects::default();
        ledger.evict(id, Eviction::Idle, now, &mut effects);
        drop(ledger);
        effects.carry_out();
        true
    }
}

/// Bytes that count in a budget until they are released or the holding is dropped.
#[derive(Debug)]
pub struct Holding {
    budget: Budget,
    id: u64,
    caller: Caller,
    kind: Kind,
}

impl Holding {
    /// Acquires further bytes. Waits while evicted holders are about to release them, and for up to
    /// [`Limits::patience`] for holders that may be evicted as soon as they are silent.
    ///
    /// Nothing is held for a call that is dropped before it completes.
    ///
    /// # Errors
    ///
    /// When the budget is exhausted and nothing can be evicted, or this holding is evicted.
    pub async fn grow(&self, bytes: usize, now: Moment) -> Result<(), Refused> {
        let until = now + self.budget.limits.patience;
        let mut decided = self.decide(bytes, until, now);
        if let Decided::Wait(_) = decided {
            let _waiting = Waiting { holding: self };
            let begun = tokio::time::Instant::now();
            while let Decided::Wait(at) = decided {
                let current = now + begun.elapsed();
                match at {
                    Some(at) => {
                        let released = self.released();
                        let _ = tokio::time::timeout(at.since(current), released).await;
                    }
                    None => self.released().await,
                }
                decided = self.decide(bytes, until, now + begun.elapsed());
            }
        }
        decided.result()
    }

    /// Decides a demand. If it has to wait, [`Holding::released`] tells how long.
    fn decide(&self, bytes: usize, until: Moment, now: Moment) -> Decided {
        let mut ledger = self.budget.table.lock();
        let (decided, effects) = ledger.demand(self.id, bytes, until, now);
        ledger.set_waiting(self.id, matches!(decided, Decided::Wait(_)));
        drop(ledger);
        effects.carry_out();
        decided
    }

    /// Completes once bytes were released since the last demand that had to wait, or this holding was
    /// evicted.
    async fn released(&self) {
        future::poll_fn(|cx| {
            let mut ledger = self.budget.table.lock();
            match ledger.waiting.get_mut(&self.id) {
                Some(waker) => {
                    waker.clone_from(cx.waker());
                    task::Poll::Pending
                }
                None => task::Poll::Ready(()),
            }
        })
        .await;
    }

    /// Acquires further bytes if they are free. If they are not, a holder may be evicted, so that a
    /// later call may succeed.
    pub fn try_grow(&self, bytes: usize, now: Moment) -> bool {
        let mut ledger = self.budget.table.lock();
        let (decided, effects) = ledger.demand(self.id, bytes, now, now);
        drop(ledger);
        effects.carry_out();
        matches!(decided, Decided::Granted)
    }

    /// Checks that the holding can ever get as many bytes, so that a body which never fits is refused
    /// before it arrives.
    ///
    /// # Errors
    ///
    /// When the budget, or the part of it that the holding can use, is smaller.
    pub fn announce(&self, bytes: usize, now: Moment) -> Result<(), Refused> {
        if bytes <= self.most() {
            return Ok(());
        }
        let mut ledger = self.budget.table.lock();
        let effects = ledger.refuse(self.id, bytes, Cause::NeverFits, now);
        drop(ledger);
        effects.carry_out();
        Err(Refused(Cause::NeverFits))
    }

    /// Releases a part of the bytes; at most those that are held.
    pub fn shrink(&self, bytes: usize) {
        let effects = self.budget.table.lock().release(self.id, bytes);
        effects.carry_out();
    }

    /// Records that bytes have arrived from the client, or were taken by it.
    pub fn progressed(&self, now: Moment) {
        if let Some(entry) = self.budget.table.lock().holders.get_mut(&self.id) {
            entry.holder.progressed = now;
        }
    }

    /// Changes the phase; the time without progress starts again. A request that is being served is
    /// never evicted, so that [`Phase::Served`] withdraws an eviction.
    pub fn set_phase(&self, phase: Phase, now: Moment) {
        let mut ledger = self.budget.table.lock();
        let effects = ledger.set_phase(self.id, phase, now);
        drop(ledger);
        effects.carry_out();
    }

    /// Completes when the holding has to be released. Only the task that called last is woken.
    pub async fn evicted(&self) {
        future::poll_fn(|cx| self.poll_evicted(cx)).await;
    }

    /// Registers the task to be woken when the holding has to be released. Only the task that called
    /// last is woken.
    pub fn poll_evicted(&self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let mut ledger = self.budget.table.lock();
        match ledger.holders.get_mut(&self.id) {
            Some(entry) if !entry.holder.is_evicted => {
                match &mut entry.evicted {
                    Some(waker) => waker.clone_from(cx.waker()),
                    None => entry.evicted = Some(cx.waker().clone()),
                }
                task::Poll::Pending
            }
            _ => task::Poll::Ready(()),
        }
    }

    /// Whether the holding has to be released.
    pub fn is_evicted(&self) -> bool {
        let ledger = self.budget.table.lock();
        ledger.holders.get(&self.id).is_none_or(|entry| entry.holder.is_evicted)
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        let ledger = self.budget.table.lock();
        ledger.holders.get(&self.id).map_or(0, |entry| entry.holder.bytes)
    }

    /// The most bytes that the holding can ever get.
    pub fn most(&self) -> usize {
        self.budget.limits.most(&self.caller, self.kind)
    }

    /// The budget in which the bytes count.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// The client that the bytes are held for.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// What the bytes are for.
    pub fn kind(&self) -> Kind {
        self.kind
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut ledger = self.budget.table.lock();
        let effects = ledger.release(self.id, usize::MAX);
        ledger.holders.remove(&self.id);
        ledger.waiting.remove(&self.id);
        drop(ledger);
        effects.carry_out();
    }
}

/// Ends the wait of a holding when the call that waits ends or is dropped.
struct Waiting<'a> {
    holding: &'a Holding,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.holding.budget.table.lock().set_waiting(self.holding.id, false);
    }
}

//! Responses on an HTTP/2 connection that wait for the flow-control window of their client.
//!
//! hyper takes a part of a body, and keeps it until the client allows its bytes. A client may withhold
//! the window of all its streams, while it answers pings and reads what the socket has for it.

use std::{
    sync::{Arc, OnceLock},
    time,
};

use corneltrestle_kernel::{host, memory, table};

use crate::{connection::Connection, unread::Cause};

/// Steps in which bytes are acquired, so that the budget is not asked for each part. As many stay
/// acquired until the next check.
const STEP: usize = 16 * 1024;

/// Bytes that the tracking of a part takes beside it.
const PART_BYTES: usize = 128;

/// Parts of responses that hyper has taken, and the client has not.
#[derive(Debug)]
pub(crate) struct Withheld {
    state: table::Table<State>,
    /// Accounts for the parts, from the first one on.
    holding: OnceLock<memory::Holding>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes of the parts.
    bytes: usize,
    /// Bytes acquired from the budget.
    acquired: usize,
    /// Whether the client has taken bytes since the last check.
    has_progressed: bool,
    /// When the client last took bytes, as far as the checks have seen.
    since: Option<time::Instant>,
}

impl table::Ranked for State {
    // Before the memory budget, the last one.
    const RANK: u16 = u16::MAX - 1;
    const NAME: &'static str = "withheld";
}

/// A part that counts until hyper drops it: once it is sent, or its stream is reset.
struct Part {
    data: bytes::Bytes,
    connection: Arc<Connection>,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.connection.withheld.release(self.data.len() + PART_BYTES);
    }
}

impl Withheld {
    pub(crate) fn new() -> Self {
        Self { state: table::Table::new(State::default()), holding: OnceLock::new() }
    }

    /// A part of a response that counts in the budget until its last reference is dropped. If the
    /// budget is exhausted, it is acquired by a later check.
    pub(crate) fn track(
        connection: &Arc<Connection>,
        host: &host::Host,
        data: bytes::Bytes,
    ) -> bytes::Bytes {
        let withheld = &connection.withheld;
        let now = host.now();
        let holding = withheld.holding.get_or_init(|| {
            let holding = host.memory.hold(connection.caller(), memory::Kind::Relay, now);
            holding.set_phase(memory::Phase::Unread, now);
            holding
        });
        let mut state = withheld.state.lock();
        state.bytes += data.len() + PART_BYTES;
        state.acquire(holding, now);
        drop(state);
        bytes::Bytes::from_owner(Part { data, connection: Arc::clone(connection) })
    }

    /// Records that the client has taken bytes.
    pub(crate) fn progressed(&self) {
        self.state.lock().has_progressed = true;
    }

    fn release(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.bytes -= bytes;
        state.has_progressed = true;
        if let Some(holding) = self.holding.get() {
            state.shrink(holding, STEP);
        }
    }

    /// Decides whether the connection is to be closed; returns for how long the client has taken
    /// nothing. Has to be called regularly.
    pub(crate) fn check(
        &self,
        host: &host::Host,
        timeout: time::Duration,
    ) -> Option<(Cause, time::Duration)> {
        let holding = self.holding.get()?;
        let now = host.now();
        let mut state = self.state.lock();
        if state.bytes == 0 {
            state.shrink(holding, 0);
            state.since = None;
            return None;
        }
        if std::mem::take(&mut state.has_progressed) || state.since.is_none() {
            state.since = Some(time::Instant::now());
            holding.progressed(now);
        }
        state.acquire(holding, now);
        let silent = state.since.map_or(time::Duration::ZERO, |since| since.elapsed());
        let is_short = state.acquired < state.bytes && silent >= host.memory.limits().unread;
        if holding.is_evicted() || is_short {
            return Some((Cause::Memory, silent));
        }
        (silent >= timeout).then_some((Cause::Timeout, silent))
    }
}

impl State {
    /// Acquires the bytes that do not count yet, if the budget has them.
    fn acquire(&mut self, holding: &memory::Holding, now: corneltrestle_time::moment::Moment) {
        let missing = self.bytes.saturating_sub(self.acquired).next_multiple_of(STEP);
        if missing > 0 && holding.try_grow(missing, now) {
            self.acquired += missing;
        }
    }

    /// Releases what is not needed, beyond some bytes to spare.
    fn shrink(&mut self, holding: &memory::Holding, spare: usize) {
        let needed = self.bytes.next_multiple_of(STEP) + spare;
        if self.acquired > needed {
            holding.shrink(self.acquired - needed);
            self.acquired = needed;
        }
    }
}

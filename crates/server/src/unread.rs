//! The end of connections whose client does not read, and the bytes that wait for it in the memory
//! budget.

use std::{
    io, pin,
    sync::{self, atomic},
    task, time,
};

use corneltrestle_kernel::{disconnect, host, linkme, memory, metric};
use corneltrestle_time::moment;
use socket2::SockRef;
use tokio::net;

use crate::connection::Connection;

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static UNREAD: metric::Metric = metric::Metric::counter(
    "connections_unread_total",
    "Connections that were closed as their client took none of the bytes that waited for it, by cause: timeout or memory.",
);

/// Unsent bytes of a connection from which on the system takes no further ones. Without this limit it
/// keeps up to 4 MB (`tcp_wmem`) for each client that does not read.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// Bytes that the system keeps at most for a client that does not read: the limit above, and a segment of
/// up to 64 KB that was begun below it.
const SYSTEM_BYTES: usize = 96 * 1024;

/// Longest time for which the system keeps the last bytes of a closed connection whose client takes none.
const MAX_CLOSED_TIME: time::Duration = time::Duration::from_secs(60);

/// Longest time between two checks whether a client has taken a byte.
pub(crate) const MAX_CHECK_PERIOD: time::Duration = time::Duration::from_secs(1);

/// What a socket does about a client that does not read.
#[derive(Debug)]
pub(crate) struct Guard {
    /// Name of the front end.
    name: &'static str,
    host: sync::Arc<host::Host>,
    connection: sync::Arc<Connection>,
    /// Time for which the client may take no byte while some wait.
    timeout: time::Duration,
    /// `None` until the stream is blocked for the first time.
    blocked: Option<Blocked>,
}

/// A stream that does not take all bytes that hyper has for it.
#[derive(Debug)]
struct Blocked {
    /// When the client last took a byte; `None` if the stream has taken all since. The time for which
    /// the VM was suspended does not count against the client.
    since: Option<time::Instant>,
    check: pin::Pin<Box<tokio::time::Sleep>>,
    /// Accounts for the bytes that wait, until the stream has taken them.
    holding: Option<memory::Holding>,
    /// Bytes that wait without being accounted for, as the budget is exhausted.
    unaccounted: usize,
}

impl Blocked {
    /// Records that the client has taken bytes.
    fn progressed(&mut self, now: moment::Moment) {
        self.since = Some(time::Instant::now());
        if let Some(holding) = &self.holding {
            holding.progressed(now);
        }
    }

    /// Accounts for the bytes that wait, and tries again if the budget was exhausted before.
    fn account(&mut self, now: moment::Moment) {
        if self.unaccounted > 0
            && let Some(holding) = &self.holding
            && holding.try_grow(self.unaccounted, now)
        {
            self.unaccounted = 0;
        }
    }
}

/// Why a client that does not read is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It has taken no byte for the read timeout.
    Timeout,
    /// The node needs the memory for other clients.
    Memory,
}

impl Guard {
    pub(crate) fn new(
        name: &'static str,
        host: sync::Arc<host::Host>,
        connection: sync::Arc<Connection>,
        timeout: time::Duration,
        stream: &net::TcpStream,
    ) -> Self {
        // Without the limit a client that does not read costs more, and is noticed later.
        let _ = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self { name, host, connection, timeout, blocked: None }
    }

    /// Records that hyper has written all bytes that it has.
    pub(crate) fn flushed(&mut self, cx: &task::Context<'_>) {
        if let Some(blocked) = &mut self.blocked
            && blocked.since.take().is_some()
        {
            blocked.holding = None;
            self.connection.output.unblock(cx);
        }
    }

    /// Limits the time for which the system goes on sending what it has once the stream is closed,
    /// which is minutes if the client does not read.
    pub(crate) fn closing(&self, stream: &net::TcpStream) {
        let timeout = self.timeout.min(MAX_CLOSED_TIME);
        let _ = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
    }

    /// Handles the result of a write of `bufs`. Fails if the client has taken no byte for too long.
    pub(crate) fn after_write(
        &mut self,
        stream: &net::TcpStream,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
        written: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if written.is_ready() {
            if let Some(blocked) = &mut self.blocked
                && blocked.since.is_some()
                && matches!(written, task::Poll::Ready(Ok(1..)))
            {
                blocked.progressed(self.host.now());
            }
            return written;
        }
        let Self { host, connection, timeout, .. } = self;
        let (host, timeout) = (&*host, *timeout);
        let period = (timeout / 4).min(MAX_CHECK_PERIOD);
        let now = host.now();
        connection.output.block();
        let blocked = self.blocked.get_or_insert_with(|| Blocked {
            since: None,
            check: Box::pin(tokio::time::sleep(period)),
            holding: None,
            unaccounted: 0,
        });
        let since = match blocked.since {
            Some(since) => since,
            None => {
                let holding = host.memory.hold(connection.caller(), memory::Kind::Relay, now);
                holding.set_phase(memory::Phase::Unread, now);
                blocked.unaccounted =
                    SYSTEM_BYTES + bufs.iter().map(|buf| buf.len()).sum::<usize>();
                blocked.holding = Some(holding);
                blocked.account(now);
                blocked.check.as_mut().reset(tokio::time::Instant::now() + period);
                *blocked.since.insert(time::Instant::now())
            }
        };
        while blocked.check.as_mut().poll(cx).is_ready() {
            blocked.check.as_mut().reset(tokio::time::Instant::now() + period);
            // The system reports a stream as writable only once a large part of its buffer is free,
            // which takes a client that reads slowly longer than the timeout.
            match SockRef::from(stream).send_vectored(bufs) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                sent => {
                    blocked.progressed(now);
                    return task::Poll::Ready(sent);
                }
            }
            blocked.account(now);
            let silent = since.elapsed();
            if silent >= timeout {
                return task::Poll::Ready(Err(self.disconnect(stream, Cause::Timeout, silent)));
            }
            if blocked.unaccounted > 0 && silent >= host.memory.limits().unread {
                return task::Poll::Ready(Err(self.disconnect(stream, Cause::Memory, silent)));
            }
        }
        if let Some(holding) = &blocked.holding
            && holding.poll_evicted(cx).is_ready()
        {
            return task::Poll::Ready(Err(self.disconnect(stream, Cause::Memory, since.elapsed())));
        }
        task::Poll::Pending
    }

    /// Ends the stream of a client that has read nothing for the time `silent`.
    fn disconnect(
        &self,
        stream: &net::TcpStream,
        cause: Cause,
        silent: time::Duration,
    ) -> io::Error {
        self.connection.disconnect.record(disconnect::Cause::Unread);
        let error = report(self.name, cause, silent, self.host.now());
        // A reset frees what the system keeps for the client, and tells it that an answer which ends
        // with its connection is incomplete.
        let _ = SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
        io::Error::new(io::ErrorKind::TimedOut, error)
    }
}

/// Counts and logs that a client is disconnected which has read nothing for the time `silent`; returns
/// the message.
pub(crate) fn report(
    name: &'static str,
    cause: Cause,
    silent: time::Duration,
    now: moment::Moment,
) -> String {
    let cause = match cause {
        Cause::Timeout => "timeout",
        Cause::Memory => "memory",
    };
    metrics::counter!(UNREAD.name, "part" => name, "cause" => cause).increment(1);
    let error = format!("the client read nothing for {} ms", silent.as_millis());
    if may_log(now) {
        log::info!("memory: {name}: connection closed, cause {cause}: {error}");
    }
    error
}

/// Whether to log that a client was disconnected: at most once a second in the whole process.
fn may_log(now: moment::Moment) -> bool {
    /// Second of the latest line, counted from 1.
    static LATEST: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    let second = now.as_millis() / 1_000 + 1;
    LATEST.swap(second, atomic::Ordering::Relaxed) != second
}

//! Requests in progress by upstream, of this node and of its peers.

use std::{collections, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{cost, id};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

/// Fraction of the unread prompt tokens reported by a peer that is assumed to be still unread: the
/// rest is read while the heartbeat is in transit.
const PEER_UNREAD_FACTOR: f64 = 0.5;

/// Age after which a peer's heartbeat no longer counts.
const MAX_HEARTBEAT_AGE: time::Duration = time::Duration::from_secs(4);

/// Requests in progress; lock rank 40.
#[derive(Debug, Default)]
pub struct Activity {
    local: collections::HashMap<id::Vm, Local>,
    peers: collections::HashMap<id::Node, Peer>,
    /// Sums over the rows of all peers, by [`mesh::hash`] of the upstream's id.
    peer_totals: collections::HashMap<u32, cost::Work>,
    /// Whether this node has sent any request since its process started.
    has_sent: bool,
}

/// This node's requests at one upstream; removed when there are none.
#[derive(Debug)]
struct Local {
    work: cost::Work,
    /// Streams whose answer has begun.
    streams: u32,
    /// Time of the latest event of any of its streams.
    progress: moment::Moment,
    /// Notified when the upstream is declared stalled.
    stalled: sync::Arc<tokio::sync::Notify>,
}

/// The latest rows of a peer, or of another zone by the digest of one of its nodes.
#[derive(Debug)]
struct Peer {
    boot: u64,
    sequence: u64,
    at: moment::Moment,
    /// Number of nodes that the rows of a zone cover; 0 for the rows of one peer.
    nodes: u32,
    rows: Vec<mesh::Row>,
}

/// An upstream at which streams of this node wait for their next event.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Id of the upstream.
    pub upstream: id::Vm,
    /// Time of the latest event of any of these streams, or of the first request if there was none.
    pub progress: moment::Moment,
}

impl table::Ranked for Activity {
    const RANK: u16 = 40;
    const NAME: &'static str = "activity";
}

/// Requests of this node.
impl Activity {
    /// Whether this node has sent any request since its process started.
    pub fn has_sent(&self) -> bool {
        self.has_sent
    }

    /// Estimate of the work in progress at an upstream, less what peers' requests have likely
    /// completed since they were reported. Used to choose an upstream.
    pub fn estimated_work(&self, upstream: &str) -> cost::Work {
        let mut work = self.peer_totals.get(&mesh::hash(upstream)).copied().unwrap_or_default();
        let unread = |tokens: u64| (tokens as f64 * PEER_UNREAD_FACTOR) as u64;
        work.unread = unread(work.unread);
        work.late_unread = unread(work.late_unread);
        self.add_local(upstream, work)
    }

    /// Upper bound of the work in progress at an upstream, by all that is known. Used to detect
    /// stalls.
    pub fn max_work(&self, upstream: &str) -> cost::Work {
        let work = self.peer_totals.get(&mesh::hash(upstream)).copied().unwrap_or_default();
        self.add_local(upstream, work)
    }

    fn add_local(&self, upstream: &str, mut work: cost::Work) -> cost::Work {
        if let Some(own) = self.local.get(upstream) {
            work.add(&own.work);
        }
        work
    }

    /// Adds a request to an upstream's work; the result is notified when the upstream is declared
    /// stalled.
    pub fn begin(
        &mut self,
        upstream: &id::Vm,
        work: &cost::Work,
        now: moment::Moment,
    ) -> sync::Arc<tokio::sync::Notify> {
        self.has_sent = true;
        let own = self.local.entry(upstream.clone()).or_insert_with(|| Local {
            work: cost::Work::default(),
            streams: 0,
            progress: now,
            stalled: sync::Arc::default(),
        });
        own.work.add(work);
        sync::Arc::clone(&own.stalled)
    }

    /// Records that the answer of a stream has begun, and removes `read`, the work of reading its
    /// prompt.
    pub fn started(&mut self, upstream: &str, read: &cost::Work, now: moment::Moment) {
        if let Some(own) = self.local.get_mut(upstream) {
            own.work.subtract(read);
            own.streams += 1;
            own.progress = now;
        }
    }

    /// Records the time of a stream's event.
    pub fn progressed(&mut self, upstream: &str, now: moment::Moment) {
        if let Some(own) = self.local.get_mut(upstream) {
            own.progress = now;
        }
    }

    /// Removes a request with its remaining work.
    pub fn end(&mut self, upstream: &str, work: &cost::Work, is_stream: bool) {
        let Some(own) = self.local.get_mut(upstream) else { return };
        own.work.subtract(work);
        own.streams = own.streams.saturating_sub(u32::from(is_stream));
        if own.work.requests == 0 {
            self.local.remove(upstream);
        }
    }

    /// Upstreams at which streams of this node wait for events.
    pub fn waiting(&self) -> impl Iterator<Item = Waiting> + '_ {
        self.local
            .iter()
            .filter(|(_, own)| own.streams > 0)
            .map(|(upstream, own)| Waiting { upstream: upstream.clone(), progress: own.progress })
    }

    /// Interrupts the requests that wait for a stalled upstream, so that they are retried
    /// elsewhere.
    pub fn interrupt(&self, upstream: &str) {
        if let Some(own) = self.local.get(upstream) {
            own.stalled.notify_waiters();
        }
    }
}

/// Requests of peers.
impl Activity {
    /// The rows of this node's heartbeat.
    pub fn rows(&self, now: moment::Moment) -> Vec<mesh::Row> {
        let event_age = |own: &Local| match own.streams {
            0 => 0,
            _ => saturating_millis(now.since(own.progress)).saturating_add(1),
        };
        self.local
            .iter()
            .map(|(upstream, own)| mesh::Row {
                upstream: mesh::hash(upstream.as_str()),
                requests: own.work.requests,
                unread: u32::try_from(own.work.unread).unwrap_or(u32::MAX),
                event_age: event_age(own),
                late: own.work.late,
                late_unread: u32::try_from(own.work.late_unread).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// The rows of all nodes of this node's zone, summed by upstream, and the number of those
    /// nodes.
    pub fn zone_rows(&self, now: moment::Moment) -> (u32, Vec<mesh::Row>) {
        let same_zone = || self.peers.values().filter(|peer| peer.nodes == 0);
        let reported =
            same_zone().flat_map(|peer| peer.rows.iter().map(|row| aged(row, now.since(peer.at))));
        let mut sums = collections::HashMap::<u32, mesh::Row>::new();
        for row in self.rows(now).into_iter().chain(reported) {
            let sum = sums.entry(row.upstream).or_default();
            sum.upstream = row.upstream;
            sum.event_age = match (sum.event_age, row.event_age) {
                (0, event_age) | (event_age, 0) => event_age,
                (one, other) => one.min(other),
            };
            sum.requests += row.requests;
            sum.unread = sum.unread.saturating_add(row.unread);
            sum.late += row.late;
            sum.late_unread = sum.late_unread.saturating_add(row.late_unread);
        }
        let nodes = 1 + u32::try_from(same_zone().count()).unwrap_or(0);
        (nodes, sums.into_values().collect())
    }

    /// Stores the rows that a node reports for itself or its zone, unless later ones of the same
    /// process are known. `latest` are the boot identifier and sequence number of the datagram.
    /// Returns whether the rows were stored.
    pub fn update_peer(
        &mut self,
        key: &id::Node,
        latest: (u64, u64),
        load: &mesh::Load,
        now: moment::Moment,
    ) -> bool {
        let (boot, sequence) = latest;
        let known = self.peers.get(key);
        if known.is_some_and(|known| known.boot == boot && known.sequence >= sequence) {
            return false;
        }
        let peer = Peer { boot, sequence, at: now, nodes: load.nodes, rows: load.rows.clone() };
        for row in &peer.rows {
            self.peer_totals.entry(row.upstream).or_default().add(&work(row));
        }
        if let Some(old) = self.peers.insert(key.clone(), peer) {
            self.subtract(&old.rows);
        }
        true
    }

    /// Removes peers whose last heartbeat is older than `MAX_HEARTBEAT_AGE`.
    pub fn prune(&mut self, now: moment::Moment) {
        let old: Vec<id::Node> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.at) > MAX_HEARTBEAT_AGE)
            .map(|(node, _)| node.clone())
            .collect();
        for node in old {
            if let Some(peer) = self.peers.remove(&node) {
                self.subtract(&peer.rows);
            }
        }
    }

    /// Time of the latest event that this node or a peer received from an upstream; `None` if no
    /// stream is in progress there.
    pub fn progress(&self, upstream: &str) -> Option<moment::Moment> {
        let own = self.local.get(upstream).filter(|own| own.streams > 0).map(|own| own.progress);
        own.max(self.peer_progress(upstream))
    }

    /// Time of the latest event that a peer received from an upstream, by its heartbeats.
    fn peer_progress(&self, upstream: &str) -> Option<moment::Moment> {
        let hash = mesh::hash(upstream);
        let rows = self.peers.values().flat_map(|peer| {
            peer.rows.iter().filter(|row| row.upstream == hash && row.event_age > 0).map(|row| {
                peer.at.before(time::Duration::from_millis(u64::from(row.event_age - 1)))
            })
        });
        rows.max()
    }

    fn subtract(&mut self, rows: &[mesh::Row]) {
        for row in rows {
            let Some(sum) = self.peer_totals.get_mut(&row.upstream) else { continue };
            sum.subtract(&work(row));
            if sum.requests == 0 {
                self.peer_totals.remove(&row.upstream);
            }
        }
    }
}

/// A row that was reported `age` ago.
fn aged(row: &mesh::Row, age: time::Duration) -> mesh::Row {
    let event_age =
        if row.event_age > 0 { row.event_age.saturating_add(saturating_millis(age)) } else { 0 };
    mesh::Row { event_age, ..*row }
}

/// The work that a row reports.
fn work(row: &mesh::Row) -> cost::Work {
    cost::Work {
        requests: row.requests,
        unread: u64::from(row.unread),
        late: row.late,
        late_unread: u64::from(row.late_unread),
    }
}

/// A duration in whole milliseconds, `u32::MAX` if it is longer than that.
pub fn saturating_millis(span: time::Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

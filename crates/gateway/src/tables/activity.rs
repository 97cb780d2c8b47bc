//! Requests in progress by upstream, of this node and of its peers.

mod loads;

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{cost, id, kv, retry::fleet};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

pub use loads::Reporter;

/// Fraction of the unread prompt tokens reported by a peer that is assumed to be still unread: the
/// rest is read while the heartbeat is in transit.
const PEER_UNREAD_FACTOR: f64 = 0.5;

/// Requests in progress; lock rank 40.
#[derive(Debug, Default)]
pub struct Activity {
    local: collections::HashMap<id::Vm, Local>,
    others: loads::Loads,
    /// Whether a request of any node is known.
    has_traffic: bool,
}

/// This node's requests at one upstream; removed when there are none.
#[derive(Debug)]
struct Local {
    work: cost::Work,
    /// Tokens that its requests take in the KV cache, see [`kv::size`].
    tokens: u64,
    /// Streams that wait for their next event; not those whose callers have yet to take one.
    streams: u32,
    /// Time of the latest event of any of its streams.
    progress: moment::Moment,
    /// Changes whenever the upstream is declared stalled. Each request in progress has a receiver,
    /// which keeps the change for a request that does not wait just then.
    stalls: tokio::sync::watch::Sender<()>,
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
    /// Estimate of the work in progress at an upstream, less what peers' requests have likely
    /// completed since they were reported. Used to choose an upstream.
    pub fn estimated_work(&self, upstream: &str) -> cost::Work {
        let mut work = self.others.work(upstream);
        let unread = |tokens: u64| (tokens as f64 * PEER_UNREAD_FACTOR) as u64;
        work.unread = unread(work.unread);
        work.late_unread = unread(work.late_unread);
        self.add_local(upstream, work)
    }

    /// Upper bound of the work in progress at an upstream, by all that is known. Used to detect
    /// stalls.
    pub fn max_work(&self, upstream: &str) -> cost::Work {
        self.add_local(upstream, self.others.work(upstream))
    }

    fn add_local(&self, upstream: &str, mut work: cost::Work) -> cost::Work {
        if let Some(own) = self.local.get(upstream) {
            work.add(&own.work);
        }
        work
    }

    /// Requests in progress at an upstream, as they fill its KV cache.
    pub fn kv_load(&self, upstream: &str) -> kv::Load {
        let others = self.others.work(upstream);
        let own = self.local.get(upstream).map_or(0, |own| own.tokens);
        kv::Load { own, others: others.requests, unread: others.unread }
    }

    /// Adds the tokens of a request that has [begun](Self::begin).
    pub fn hold(&mut self, upstream: &str, tokens: u64) {
        if let Some(own) = self.local.get_mut(upstream) {
            own.tokens = own.tokens.saturating_add(tokens);
        }
    }

    /// Removes the tokens of a request before it [ends](Self::end).
    pub fn release(&mut self, upstream: &str, tokens: u64) {
        if let Some(own) = self.local.get_mut(upstream) {
            own.tokens = own.tokens.saturating_sub(tokens);
        }
    }

    /// Adds a request to an upstream's work; the result changes when the upstream is declared
    /// stalled.
    pub fn begin(
        &mut self,
        upstream: &id::Vm,
        work: &cost::Work,
        now: moment::Moment,
    ) -> tokio::sync::watch::Receiver<()> {
        self.has_traffic = true;
        let own = self.local.entry(upstream.clone()).or_insert_with(|| Local {
            work: cost::Work::default(),
            tokens: 0,
            streams: 0,
            progress: now,
            stalls: tokio::sync::watch::Sender::default(),
        });
        own.work.add(work);
        own.stalls.subscribe()
    }

    /// Records that the answer of a stream has begun, and removes `read`, the work of reading its
    /// prompt. The stream waits for an event from then on.
    pub fn started(&mut self, upstream: &str, read: &cost::Work, now: moment::Moment) {
        if let Some(own) = self.local.get_mut(upstream) {
            own.work.subtract(read);
        }
        self.waits(upstream, now);
    }

    /// Records that a stream waits for its next event.
    pub fn waits(&mut self, upstream: &str, now: moment::Moment) {
        if let Some(own) = self.local.get_mut(upstream) {
            own.streams += 1;
            own.progress = now;
        }
    }

    /// Records the event of a stream, which no longer waits: its caller may take the event late.
    pub fn progressed(&mut self, upstream: &str, now: moment::Moment) {
        if let Some(own) = self.local.get_mut(upstream) {
            own.streams = own.streams.saturating_sub(1);
            own.progress = now;
        }
    }

    /// Removes a request with its remaining work.
    pub fn end(&mut self, upstream: &str, work: &cost::Work, is_waiting: bool) {
        let Some(own) = self.local.get_mut(upstream) else { return };
        own.work.subtract(work);
        own.streams = own.streams.saturating_sub(u32::from(is_waiting));
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

    /// Interrupts the requests in progress at a stalled upstream, so that they are retried elsewhere.
    pub fn interrupt(&self, upstream: &str) {
        if let Some(own) = self.local.get(upstream) {
            own.stalls.send_replace(());
        }
    }
}

/// Requests of all nodes.
impl Activity {
    /// Whether this node has sent a request, or heard of one of another node, since its process
    /// started.
    pub fn has_traffic(&self) -> bool {
        self.has_traffic
    }
}

/// Requests of other nodes.
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

    /// The load of this node's zone, of all zones if `includes_zones`. `usage` is this node's use of
    /// the retry budgets.
    pub fn zone_load(
        &self,
        usage: Vec<mesh::Usage>,
        includes_zones: bool,
        now: moment::Moment,
    ) -> mesh::Load {
        let own = mesh::Load { nodes: 0, rows: self.rows(now), usage };
        self.others.sum(&own, includes_zones, now)
    }

    /// A load of this node's zone without the load of one of its nodes.
    pub fn without(&self, load: &mesh::Load, node: &id::Node) -> mesh::Load {
        self.others.without(load, node)
    }

    /// Stores a load that another node reports, unless a later one of the same process is known.
    /// `latest` are the boot identifier and sequence number of its datagram. Returns whether it was
    /// stored.
    pub fn update_peer(
        &mut self,
        reporter: &Reporter,
        latest: (u64, u64),
        load: &mesh::Load,
        now: moment::Moment,
    ) -> bool {
        self.has_traffic |= load.usage.iter().any(|usage| usage.requests > 0);
        self.others.update(reporter, latest, load, now)
    }

    /// Removes loads of other nodes that are too old.
    pub fn prune(&mut self, now: moment::Moment) {
        self.others.prune(now);
    }

    /// Time of the latest event that this node or another one received from an upstream; `None` if
    /// no stream is in progress there.
    pub fn progress(&self, upstream: &str) -> Option<moment::Moment> {
        let own = self.local.get(upstream).filter(|own| own.streams > 0).map(|own| own.progress);
        own.max(self.others.progress(upstream))
    }

    /// What is known of the requests and retries of the other nodes for a service, by loads of at most
    /// `max_age`.
    pub fn usage_of_others(
        &self,
        service: &str,
        max_age: time::Duration,
        now: moment::Moment,
    ) -> fleet::Peers {
        self.others.usage(service, max_age, now)
    }

    /// Age in milliseconds of the oldest load of the own zone that counts; `None` without any.
    pub fn view_age(&self, now: moment::Moment) -> Option<u32> {
        self.others.view_age(now)
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

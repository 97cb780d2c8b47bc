//! Who gets bytes of a node's memory budget, and who has to release them.
//!
//! The load addressed is a crowd of clients that send more than the node can hold, or do not read
//! what they are sent, while well-behaved clients still have to be served. Each component that
//! holds bytes on behalf of a client is a [`Holder`]. A demand for more bytes is granted, waits for
//! bytes that are about to be released, evicts another holder, or is refused.

use std::{collections, net, time};

use crate::Moment;

/// Number of [`Kind`]s.
pub const KINDS: usize = 4;

/// Limits of a budget, in bytes unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Sum of all holdings.
    pub total: usize,
    /// Part of `total` that neither large holders nor connections can take, so that small requests
    /// are served while a crowd of large bodies or idle connections holds the rest.
    pub reserved: usize,
    /// Part of `total` that connections can take, so that idle connections leave room for bodies.
    pub connections: usize,
    /// Largest holder that counts as small.
    pub small: usize,
    /// Time without progress after which a request that is still arriving can be evicted.
    pub silent: time::Duration,
    /// Time without progress after which a holder whose client does not read can be evicted.
    pub unread: time::Duration,
    /// Longest time for which a demand waits for holders to become silent. Twice [`Limits::silent`]:
    /// a crowd that stops becomes silent within that time.
    pub patience: time::Duration,
}

/// What a holder holds bytes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// An open connection, with the part of a request header that it has received.
    Connection,
    /// The body of a request.
    Request,
    /// A buffered response.
    Answer,
    /// Parts of a response that wait for their client.
    Relay,
}

/// How far the request of a holder has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The request is still arriving; nothing of it has run.
    Receiving,
    /// The request is complete and is being served.
    Served,
    /// A response waits for its client to read it.
    Unread,
}

/// The client on whose behalf bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Caller {
    /// Address of the client; `None` for what the node holds for itself.
    pub address: Option<net::IpAddr>,
    /// Organisation of the client as a hash; 0 if it is not known.
    pub organisation: u64,
    /// Whether this is an operator, who can use the reserved part with holders of any size.
    pub is_operator: bool,
}

/// A holder of bytes.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Identifier, unique in the budget.
    pub id: u64,
    /// The client that it holds bytes for.
    pub caller: Caller,
    /// What the bytes are for.
    pub kind: Kind,
    /// The listener that has accepted it, if it is a connection; 0 otherwise.
    pub listener: u64,
    /// How far its request has got.
    pub phase: Phase,
    /// Bytes held.
    pub bytes: usize,
    /// When bytes last arrived from the client, or were last taken by it.
    pub progressed: Moment,
    /// Whether it waits for bytes, so that its lack of progress is not the client's.
    pub is_waiting: bool,
    /// Whether it has been told to release its bytes.
    pub is_evicted: bool,
}

/// A demand of a holder for further bytes.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The holder, as it is without the further bytes.
    pub holder: Holder,
    /// Bytes demanded in addition.
    pub bytes: usize,
    /// Until when the demand can wait for holders to become silent.
    pub until: Moment,
}

/// Sums over all holders, which decide a demand that fits without looking at each holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of all holders.
    pub total: usize,
    /// Bytes of connections, without those of operators.
    pub connections: usize,
    /// Bytes of large holders, without those of operators.
    pub large: usize,
}

/// What happens to a demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The bytes are granted.
    Grant,
    /// Holders that have been evicted will release enough bytes; the demand waits for them.
    Wait,
    /// No holder can be evicted yet. The demand waits for released bytes, and is decided again at this
    /// moment at the latest.
    WaitUntil(Moment),
    /// This holder has to release its bytes, after which the demand is decided again.
    Evict(u64, Eviction),
    /// The demand cannot be granted now.
    Refuse(Cause),
}

/// Why a holder is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Eviction {
    /// Its request has made no progress for [`Limits::silent`].
    Silent,
    /// Its client has read nothing for [`Limits::unread`].
    Unread,
    /// It is the largest of the client that holds the most.
    Largest,
    /// It is the connection that has waited longest for its first request.
    Idle,
    /// All receiving holders wait for bytes, and it has waited longest of those of the demanding client.
    Waiting,
}

/// Why a demand is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The budget is exhausted and nothing can be evicted in favour of the demand.
    Exhausted,
    /// The demand exceeds what the budget can ever grant to its holder.
    NeverFits,
    /// The holder itself has been evicted.
    Evicted,
}

impl Caller {
    /// The node itself, or a client of unknown address.
    pub const NODE: Self = Self { address: None, organisation: 0, is_operator: false };

    /// A client at an address, of unknown organisation.
    pub const fn at(address: net::IpAddr) -> Self {
        Self { address: Some(address), ..Self::NODE }
    }

    /// The same client with its organisation, as a hash.
    pub const fn of_organisation(self, organisation: u64) -> Self {
        Self { organisation, ..self }
    }

    /// The same client as an operator.
    pub const fn as_operator(self) -> Self {
        Self { is_operator: true, ..self }
    }
}

impl Kind {
    /// All kinds, in the order of their indices.
    pub const ALL: [Self; KINDS] = [Self::Connection, Self::Request, Self::Answer, Self::Relay];

    /// The kind as a label of metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Relay => "relay",
        }
    }

    /// Position in [`Kind::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl Eviction {
    /// The cause as a label of metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Unread => "unread",
            Self::Largest => "largest",
            Self::Idle => "idle",
            Self::Waiting => "waiting",
        }
    }
}

impl Cause {
    /// The cause as a label of metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::NeverFits => "never-fits",
            Self::Evicted => "evicted",
        }
    }
}

impl Limits {
    /// Limits derived from the size of the budget: a quarter is reserved for small holders and
    /// operators, and connections can take half.
    pub const fn of(total: usize) -> Self {
        Self {
            total,
            reserved: total / 4,
            connections: total / 2,
            small: 64 * 1024,
            silent: time::Duration::from_secs(1),
            unread: time::Duration::from_secs(2),
            patience: time::Duration::from_secs(2),
        }
    }

    /// The most that a holder can ever get.
    pub const fn most(&self, caller: &Caller, kind: Kind) -> usize {
        let shared = self.total - self.reserved;
        match kind {
            _ if caller.is_operator => self.total,
            Kind::Connection if self.connections < shared => self.connections,
            _ if shared > self.small => shared,
            _ if self.small < self.total => self.small,
            _ => self.total,
        }
    }

    /// What is held too much for a demand of `bytes` by `holder`; `None` if it fits.
    fn excess(&self, usage: &Usage, holder: &Holder, bytes: usize) -> Option<Excess> {
        let (before, after) = (holder.bytes, holder.bytes.saturating_add(bytes));
        let total = usage.total.saturating_add(bytes);
        let mut next = Usage { total, ..*usage };
        next.remove_shares(self, holder, before);
        next.add_shares(self, holder, after);
        let over = |sum: usize, limit: usize| sum.saturating_sub(limit);
        let is_connection = is_client_connection(holder);
        let is_shared = is_connection || self.is_large(holder, after);
        let shared = next.large.saturating_add(next.connections);
        match () {
            () if is_connection && over(next.connections, self.connections) > 0 => {
                let bytes = over(next.connections, self.connections);
                Some(Excess { pool: Pool::Connections, bytes })
            }
            () if is_shared && over(shared, self.total - self.reserved) > 0 => {
                let bytes = over(shared, self.total - self.reserved);
                Some(Excess { pool: Pool::Shared, bytes })
            }
            () if over(next.total, self.total) > 0 => {
                Some(Excess { pool: Pool::All, bytes: over(next.total, self.total) })
            }
            () => None,
        }
    }

    fn is_large(&self, holder: &Holder, bytes: usize) -> bool {
        holder.kind != Kind::Connection && !holder.caller.is_operator && bytes > self.small
    }
}

impl Usage {
    /// The sums over `holders`.
    pub fn of<'a>(limits: &Limits, holders: impl IntoIterator<Item = &'a Holder>) -> Self {
        let mut usage = Self::default();
        for holder in holders {
            usage.add(limits, holder);
        }
        usage
    }

    /// Adds the bytes of a holder.
    pub fn add(&mut self, limits: &Limits, holder: &Holder) {
        self.total += holder.bytes;
        self.add_shares(limits, holder, holder.bytes);
    }

    /// Removes the bytes of a holder.
    pub fn remove(&mut self, limits: &Limits, holder: &Holder) {
        self.total -= holder.bytes;
        self.remove_shares(limits, holder, holder.bytes);
    }

    fn add_shares(&mut self, limits: &Limits, holder: &Holder, bytes: usize) {
        if is_client_connection(holder) {
            self.connections = self.connections.saturating_add(bytes);
        } else if limits.is_large(holder, bytes) {
            self.large = self.large.saturating_add(bytes);
        }
    }

    fn remove_shares(&mut self, limits: &Limits, holder: &Holder, bytes: usize) {
        if is_client_connection(holder) {
            self.connections -= bytes;
        } else if limits.is_large(holder, bytes) {
            self.large -= bytes;
        }
    }
}

/// Whether a holder counts as a connection; those of operators count as small holders.
fn is_client_connection(holder: &Holder) -> bool {
    holder.kind == Kind::Connection && !holder.caller.is_operator
}

/// A part of the budget that is exceeded, and by how much.
struct Excess {
    pool: Pool,
    bytes: usize,
}

/// A part of the budget.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pool {
    /// What connections hold.
    Connections,
    /// What connections and large holders hold together.
    Shared,
    /// What all holders hold.
    All,
}

impl Pool {
    /// Whether the bytes of a holder count in this part.
    fn contains(self, limits: &Limits, holder: &Holder) -> bool {
        match self {
            Self::Connections => is_client_connection(holder),
            Self::Shared => is_client_connection(holder) || limits.is_large(holder, holder.bytes),
            Self::All => true,
        }
    }
}

/// Decides a demand. `usage` has to be the sums over `holders`, which include the demanding one.
///
/// The rules, each with the load that it answers:
///
/// 1. A demand that fits its part of the budget is granted.
/// 2. While evicted holders are about to release enough, the demand waits, so that one demand does
///    not evict more than it needs.
/// 3. A crowd that stops in the middle of its requests: the holder that has been silent longest is
///    evicted. A crowd that does not read: likewise, after [`Limits::unread`].
/// 4. A crowd that only opens connections: in favour of a new connection, the one that has waited
///    longest for its first request is closed.
/// 5. A client that sends many bodies at once: in favour of a client that holds less, the largest
///    body of the client that holds the most is evicted.
/// 6. A crowd that has just stopped: the demand waits until the first holder becomes silent, so that
///    its client sends no faster than the budget allows.
/// 7. A crowd that sends at the same time, until all its holders wait for each other: the one of the
///    demanding client that has waited longest gives way, so that another one can go on. Its client
///    may be gone, as nothing is read from it while it waits. If this is the demanding one, it is
///    refused: it would evict one that has come later, whose client is more likely to be there.
/// 8. Otherwise the demand is refused, also if the client itself holds the most: evicting one of its
///    bodies that still arrive for another would let none of them arrive.
///
/// A request that is being served is never evicted.
pub fn decide<'a, I>(
    limits: &Limits,
    usage: &Usage,
    holders: I,
    demand: &Demand,
    now: Moment,
) -> Verdict
where
    I: Iterator<Item = &'a Holder> + Clone,
{
    let Demand { holder, bytes, until } = demand;
    if holder.is_evicted {
        return Verdict::Refuse(Cause::Evicted);
    }
    if holder.bytes.saturating_add(*bytes) > limits.most(&holder.caller, holder.kind) {
        return Verdict::Refuse(Cause::NeverFits);
    }
    let Some(excess) = limits.excess(usage, holder, *bytes) else { return Verdict::Grant };
    let pool = holders
        .filter(|other| other.id != holder.id && other.bytes > 0)
        .filter(|other| excess.pool.contains(limits, other));
    let evicted = pool.clone().filter(|other| other.is_evicted);
    if evicted.map(|other| other.bytes).sum::<usize>() >= excess.bytes {
        return Verdict::Wait;
    }
    let pool = pool.filter(|other| !other.is_evicted);
    let evictable = silent(limits, pool.clone(), now)
        .or_else(|| idle(pool.clone(), holder))
        .or_else(|| largest(pool.clone(), demand));
    if let Some((id, cause)) = evictable {
        return Verdict::Evict(id, cause);
    }
    let next = pool.clone().filter_map(|other| Some(becomes_silent(limits, other)?.0)).min();
    if let Some(next) = next {
        return wait_until(next, *until, now);
    }
    let waiting = pool.filter(|other| other.is_waiting && other.phase == Phase::Receiving);
    let own = waiting.clone().filter(|other| other.caller == holder.caller);
    let age = |of: &Holder| (of.progressed, of.id);
    match own.min_by_key(|other| age(other)) {
        Some(own) if holder.is_waiting && age(holder) < age(own) => {
            Verdict::Refuse(Cause::Exhausted)
        }
        Some(own) => Verdict::Evict(own.id, Eviction::Waiting),
        None if waiting.count() > 0 => wait_until(*until, *until, now),
        None => Verdict::Refuse(Cause::Exhausted),
    }
}

/// A wait until `at`, but not beyond `until`, after which the demand is refused.
fn wait_until(at: Moment, until: Moment, now: Moment) -> Verdict {
    if now < until { Verdict::WaitUntil(at.min(until)) } else { Verdict::Refuse(Cause::Exhausted) }
}

/// The connection that is closed in favour of a new one: the one that has waited longest for its
/// first request.
pub fn longest_waiting<'a>(holders: impl Iterator<Item = &'a Holder>) -> Option<u64> {
    holders
        .filter(|holder| holder.kind == Kind::Connection && holder.phase == Phase::Receiving)
        .filter(|holder| !holder.is_evicted)
        .min_by_key(|holder| holder.id)
        .map(|holder| holder.id)
}

/// When a holder can be evicted if it makes no further progress, and why; `None` if it never can.
fn becomes_silent(limits: &Limits, holder: &Holder) -> Option<(Moment, Eviction)> {
    match (holder.kind, holder.phase) {
        (Kind::Connection, _) | (_, Phase::Served) => None,
        (_, Phase::Receiving) if holder.is_waiting => None,
        (_, Phase::Receiving) => Some((holder.progressed + limits.silent, Eviction::Silent)),
        (_, Phase::Unread) => Some((holder.progressed + limits.unread, Eviction::Unread)),
    }
}

/// The holder that has made no progress for the longest time, if that is too long.
fn silent<'a>(
    limits: &Limits,
    pool: impl Iterator<Item = &'a Holder>,
    now: Moment,
) -> Option<(u64, Eviction)> {
    pool.filter_map(|holder| Some((holder, becomes_silent(limits, holder)?)))
        .filter(|(_, (at, _))| *at <= now)
        .min_by_key(|(holder, _)| (holder.progressed, holder.id))
        .map(|(holder, (_, cause))| (holder.id, cause))
}

/// The connection to close in favour of another one that has not carried a request either.
fn idle<'a>(pool: impl Iterator<Item = &'a Holder>, demanding: &Holder) -> Option<(u64, Eviction)> {
    if demanding.kind != Kind::Connection {
        return None;
    }
    longest_waiting(pool).filter(|id| *id < demanding.id).map(|id| (id, Eviction::Idle))
}

/// The largest body of the client that holds the most, if it is another client and holds more than
/// the demanding one would.
fn largest<'a>(
    pool: impl Iterator<Item = &'a Holder> + Clone,
    demand: &Demand,
) -> Option<(u64, Eviction)> {
    let mut held: collections::HashMap<&Caller, usize> = collections::HashMap::new();
    for other in pool.clone() {
        *held.entry(&other.caller).or_default() += other.bytes;
    }
    let Demand { holder, bytes, .. } = demand;
    let own = held.get(&holder.caller).copied().unwrap_or(0);
    let own = own.saturating_add(holder.bytes).saturating_add(*bytes);
    pool.filter(|other| other.kind != Kind::Connection && other.phase == Phase::Receiving)
        .filter(|other| other.caller != holder.caller)
        .filter_map(|other| Some((*held.get(&other.caller)?, other.bytes, other.id)))
        .max()
        .filter(|(held, ..)| *held > own)
        .map(|(_, _, id)| (id, Eviction::Largest))
}

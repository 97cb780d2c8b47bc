//! How a node adopts revisions of the declared state.

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

use crate::{id, rank};

/// Nodes of each zone that watch the head; two, so that one may die unnoticed for a while.
pub const WATCHERS: usize = 2;

/// Age of the newest watch data at which a node reads the store itself.
pub const MAX_WATCH_AGE: time::Duration = time::Duration::from_secs(2);

/// Time over which the nodes of a zone spread their direct reads. Together with [`MAX_WATCH_AGE`] and
/// one read it stays below the 6 s in which a revision is in force.
pub const READ_SPREAD: time::Duration = time::Duration::from_secs(2);

/// Where a revision was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The head in the store, read or watched.
    Store,
    /// A push or a digest of another node.
    Peer,
    /// What this node finds when it starts; it has no revision of its own yet.
    Restart,
}

/// What to do with an offered revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Take it over.
    Adopt,
    /// It is the present one.
    Keep,
    /// The peer is behind and learns of the own revision by the next push or pull.
    PeerBehind,
    /// The store has lost revisions; keep the own one and report it to the operators.
    Regressed,
}

/// Decides on a revision; the own one never decreases.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::adoption::{Decision, Source, decide};
///
/// assert_eq!(decide(4, 5, Source::Peer), Decision::Adopt);
/// assert_eq!(decide(5, 4, Source::Store), Decision::Regressed);
/// ```
pub fn decide(own: u64, offered: u64, source: Source) -> Decision {
    match (offered.cmp(&own), source) {
        (std::cmp::Ordering::Greater, _) => Decision::Adopt,
        (std::cmp::Ordering::Equal, _) | (_, Source::Restart) => Decision::Keep,
        (std::cmp::Ordering::Less, Source::Peer) => Decision::PeerBehind,
        (std::cmp::Ordering::Less, Source::Store) => Decision::Regressed,
    }
}

/// Whether `node` is one of the watchers among the `live` nodes of `zone`.
pub fn is_watcher<'a>(zone: &str, node: &str, live: impl IntoIterator<Item = &'a str>) -> bool {
    let others = live.into_iter().filter(|other| *other != node);
    rank::is_first(&format!("watch/{zone}"), node, others, WATCHERS)
}

/// When `node` reads the store itself unless newer watch data reaches it before.
///
/// `news` is the moment of the newest watch data. Each live node of the zone has a slot of its own
/// within [`READ_SPREAD`], with jitter inside the slot; a successful read renews the news of the
/// others through digests, so most of them need no read.
pub fn read_at<'a, R: Rng>(
    zone: &str,
    node: &str,
    live: impl IntoIterator<Item = &'a str>,
    news: moment::Moment,
    rng: &mut R,
) -> moment::Moment {
    let key = format!("read/{zone}");
    let own = (rank::weight(&key, node), node);
    let (mut position, mut nodes) = (0_u32, 1_u32);
    for other in live.into_iter().filter(|other| *other != node) {
        nodes += 1;
        position += u32::from((rank::weight(&key, other), other) < own);
    }
    let slot = READ_SPREAD / nodes;
    news + MAX_WATCH_AGE + slot * position + slot.mul_f64(rng.random::<f64>())
}

/// What a starting node has heard from the store or from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Nothing yet.
    Pending,
    /// The call failed.
    Unreachable,
    /// The revision there.
    Revision(u64),
}

/// Whether a starting node is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Its revision is the highest that it can know of.
    Ready,
    /// It has to adopt this revision first.
    Adopt(u64),
    /// An answer is still to come.
    Wait,
    /// Neither the store nor a peer of its zone answered.
    Isolated,
}

/// Whether a node that has adopted the revision `own`, if any, is ready.
///
/// `peers` are the peers of its own zone; the caller bounds how long an answer may be pending.
pub fn readiness(own: Option<u64>, store: Answer, peers: &[Answer]) -> Readiness {
    let answers = || peers.iter().chain([&store]);
    if answers().any(|answer| *answer == Answer::Pending) {
        return Readiness::Wait;
    }
    let revision = |answer: &Answer| match answer {
        Answer::Revision(revision) => Some(*revision),
        _ => None,
    };
    match answers().filter_map(revision).max() {
        None => Readiness::Isolated,
        Some(highest) if own.is_some_and(|own| own >= highest) => Readiness::Ready,
        Some(highest) => Readiness::Adopt(highest),
    }
}

/// What one node replied about its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    /// The node.
    pub node: &'a id::Node,
    /// Its revision, or `None` if it did not answer.
    pub revision: Option<u64>,
}

/// Where a zone stands with respect to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rollout<'a> {
    /// Every node replied and has adopted it.
    InForce,
    /// These nodes replied with an older revision.
    Behind(Vec<&'a id::Node>),
    /// No node is known to be behind, but these did not reply; all of the zone if it has none.
    Unreachable(Vec<&'a id::Node>),
}

/// The verdict on one zone from the replies of those of its nodes that are not known to be dead.
///
/// A zone with a silent node is never reported as in force.
pub fn rollout<'a>(revision: u64, replies: &[Reply<'a>]) -> Rollout<'a> {
    let is_behind = |reply: &&Reply<'_>| reply.revision.is_some_and(|found| found < revision);
    let is_silent = |reply: &&Reply<'_>| reply.revision.is_none();
    let behind: Vec<_> = replies.iter().filter(is_behind).map(|reply| reply.node).collect();
    let silent: Vec<_> = replies.iter().filter(is_silent).map(|reply| reply.node).collect();
    if !behind.is_empty() {
        Rollout::Behind(behind)
    } else if replies.is_empty() || !silent.is_empty() {
        Rollout::Unreachable(silent)
    } else {
        Rollout::InForce
    }
}

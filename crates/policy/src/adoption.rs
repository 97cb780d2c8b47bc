//! Distribution of the release, the state that operators have declared: which revision a node
//! adopts, and when it reads the store.
//!
//! A few nodes of each zone watch the newest revision (the head) in the store; the others learn of
//! it from their peers. A node whose data is too old reads the store directly.

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

use crate::{id, rendezvous};

/// Nodes of each zone that watch the head; two, so that one may fail before others detect it.
pub const WATCHERS: usize = 2;

/// Age of the newest watch data at which a node reads the store directly.
pub const MAX_WATCH_AGE: time::Duration = time::Duration::from_secs(2);

/// Time over which the nodes of a zone spread their direct reads. Together with [`MAX_WATCH_AGE`]
/// and one read it must stay below 6 s, the time in which a revision has to be in force.
pub const READ_SPREAD: time::Duration = time::Duration::from_secs(2);

/// Where an offered revision comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The head in the store, by a read or a watch.
    Store,
    /// A push or a digest from another node.
    Peer,
    /// Either of them while this node starts and has no revision of its own yet.
    Restart,
}

/// What to do with an offered revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Replace the own revision by it.
    Adopt,
    /// Keep the own revision; nothing else to do.
    Keep,
    /// The peer has an older revision and receives the newer one with the next push or pull.
    PeerBehind,
    /// The store has lost revisions: keep the own one and report the fault to the operators.
    Regressed,
}

/// Decides what to do with an offered revision. The own revision never decreases.
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

/// Whether `node` is one of the [`WATCHERS`] of `zone`, chosen by rendezvous hashing among the
/// `live` nodes.
pub fn is_watcher<'a>(zone: &str, node: &str, live: impl IntoIterator<Item = &'a str>) -> bool {
    let others = live.into_iter().filter(|other| *other != node);
    rendezvous::is_first(&format!("watch/{zone}"), node, others, WATCHERS)
}

/// When `node` reads the store directly, unless newer watch data reaches it before.
///
/// `watched` is the moment of the newest watch data. Each live node of the zone has a slot of its
/// own within [`READ_SPREAD`], with jitter inside the slot. The result of the first successful read
/// reaches the other nodes in digests, so most of them need no read.
pub fn read_at<'a, R: Rng>(
    zone: &str,
    node: &str,
    live: impl IntoIterator<Item = &'a str>,
    watched: moment::Moment,
    rng: &mut R,
) -> moment::Moment {
    let key = format!("read/{zone}");
    let own = (rendezvous::weight(&key, node), node);
    let (mut position, mut nodes) = (0_u32, 1_u32);
    for other in live.into_iter().filter(|other| *other != node) {
        nodes += 1;
        position += u32::from((rendezvous::weight(&key, other), other) < own);
    }
    let slot = READ_SPREAD / nodes;
    watched + MAX_WATCH_AGE + slot * position + slot.mul_f64(rng.random::<f64>())
}

/// Response of the store or of a peer to a starting node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// No response yet.
    Pending,
    /// The call failed.
    Unreachable,
    /// The revision that the store or the peer has.
    Revision(u64),
}

/// Whether a starting node may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Its revision is the highest of all responses.
    Ready,
    /// It must adopt this revision first.
    Adopt(u64),
    /// A response is pending.
    Wait,
    /// Neither the store nor a peer of its zone answered.
    Isolated,
}

/// Whether a starting node that has adopted the revision `own`, if any, may serve.
///
/// `peers` are the responses of the nodes of its own zone. The caller limits how long a response
/// may be pending.
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

/// Reply of one node to the question which revision it has adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    /// The node.
    pub node: &'a id::Node,
    /// Its revision, or `None` if it did not answer.
    pub revision: Option<u64>,
}

/// State of the rollout of a revision in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rollout<'a> {
    /// Every node replied and has adopted the revision or a newer one.
    InForce,
    /// These nodes replied with an older revision.
    Behind(Vec<&'a id::Node>),
    /// No node is known to be behind, but these nodes did not reply. Empty if the zone has no node
    /// that was asked.
    Unreachable(Vec<&'a id::Node>),
}

/// State of the rollout in one zone, from the replies of its nodes that are not known to be dead.
///
/// A zone in which a node did not reply is never reported as in force.
pub fn rollout<'a>(revision: u64, replies: &[Reply<'a>]) -> Rollout<'a> {
    let is_behind = |reply: &&Reply<'_>| reply.revision.is_some_and(|found| found < revision);
    let is_missing = |reply: &&Reply<'_>| reply.revision.is_none();
    let behind: Vec<_> = replies.iter().filter(is_behind).map(|reply| reply.node).collect();
    let unanswered: Vec<_> = replies.iter().filter(is_missing).map(|reply| reply.node).collect();
    if !behind.is_empty() {
        Rollout::Behind(behind)
    } else if replies.is_empty() || !unanswered.is_empty() {
        Rollout::Unreachable(unanswered)
    } else {
        Rollout::InForce
    }
}

//! Hubs: the nodes of a zone that collect the heartbeats of all its nodes and send each of them the
//! sum, so that the number of heartbeats does not grow with the square of the number of nodes.
//!
//! All nodes rank the registered nodes of a zone in the same order, and take the first ones that
//! are not silent. A node therefore finds out by itself that a hub is lost, and which node takes its
//! place.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{id, rendezvous};

/// Hubs of a zone. With more than one, the loss of a hub does not cost the view of the load.
pub const COUNT: usize = 2;

/// Time without a datagram after which a hub counts as silent; several are sent in this time.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time for which a silent node is not chosen again, unless it is heard from.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// A registered node of the own zone.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Whether it is among the large nodes of the zone, which have more processor time.
    pub is_large: bool,
    /// When it was last heard from; `None` if it never was.
    pub heard: Option<moment::Moment>,
}

/// The choice of a zone's hubs by one node.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, hubs};
///
/// let nodes = ["a", "b", "c", "d"];
/// let candidates = nodes.map(|node| hubs::Candidate { node, is_large: true, heard: None });
/// let (mut hubs, now) = (hubs::Hubs::default(), Moment::from_millis(1_000));
/// let first: Vec<_> = hubs.choose("zone", "a", &candidates, None, now).to_vec();
/// assert_eq!(first.len(), 2);
/// // Nothing was heard from them: others take their place.
/// let later = hubs.choose("zone", "a", &candidates, None, now + Duration::from_millis(500));
/// assert!(later.iter().all(|hub| hub.as_str() == "a" || !first.contains(hub)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Hubs {
    chosen: Vec<id::Node>,
    /// Since when each chosen hub is expected to send datagrams.
    expected: collections::BTreeMap<id::Node, moment::Moment>,
    /// When each silent node was found to be silent.
    silent: collections::BTreeMap<id::Node, moment::Moment>,
}

impl Hubs {
    /// Returns the hubs of a zone, the best one first. `own` is the node that chooses, and
    /// `pause_end` the end of its latest pause, in which it could not hear from any hub.
    pub fn choose(
        &mut self,
        zone: &str,
        own: &str,
        candidates: &[Candidate<'_>],
        pause_end: Option<moment::Moment>,
        now: moment::Moment,
    ) -> &[id::Node] {
        self.record_silence(own, candidates, pause_end, now);
        let mut ranked: Vec<_> = candidates
            .iter()
            .filter(|candidate| !self.silent.contains_key(candidate.node))
            .map(|candidate| {
                let weight = rendezvous::weight(zone, candidate.node);
                (!candidate.is_large, weight, candidate.node)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(COUNT);
        self.chosen = ranked.into_iter().map(|(.., node)| node.into()).collect();
        let chosen = &self.chosen;
        self.expected.retain(|node, _| chosen.contains(node));
        for node in chosen {
            self.expected.entry(node.clone()).or_insert(now);
        }
        chosen
    }

    /// Records which chosen hubs have become silent, and forgets those that were heard from again
    /// or may be tried again.
    fn record_silence(
        &mut self,
        own: &str,
        candidates: &[Candidate<'_>],
        pause_end: Option<moment::Moment>,
        now: moment::Moment,
    ) {
        let heard = |node: &str| {
            let candidate = candidates.iter().find(|candidate| candidate.node == node);
            candidate.and_then(|candidate| candidate.heard)
        };
        for (node, since) in &self.expected {
            let latest = Some(*since).max(heard(node.as_str())).max(pause_end).unwrap_or(*since);
            if node.as_str() != own && now.since(latest) > SILENCE_TIMEOUT {
                self.silent.entry(node.clone()).or_insert(now);
            }
        }
        self.silent.retain(|node, since| {
            now.since(*since) < RETRY_DELAY && heard(node.as_str()).is_none_or(|at| at <= *since)
        });
    }

    /// The hubs chosen last, the best one first.
    pub fn chosen(&self) -> &[id::Node] {
        &self.chosen
    }

    /// Place of `node` among the hubs chosen last, from 0; `None` if it is none.
    pub fn place(&self, node: &str) -> Option<usize> {
        self.chosen.iter().position(|hub| hub.as_str() == node)
    }
}

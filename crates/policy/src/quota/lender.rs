//! To which node this node lends its part of the limits.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::id;

/// Time for which a part is lent with each message to the grantor.
pub const LOAN_TIME: time::Duration = time::Duration::from_millis(1_200);

/// Shortest and longest time between two loans, and what each node adds to it.
const MIN_PERIOD: time::Duration = time::Duration::from_millis(150);
const MAX_PERIOD: time::Duration = time::Duration::from_millis(400);
const PERIOD_PER_NODE: time::Duration = time::Duration::from_millis(2);

/// Time after which a message without an answer is repeated, as datagrams may be lost.
const REPEAT_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Messages without an answer, and time from the first of them, after which a grantor counts as silent.
const MAX_UNANSWERED: u32 = 3;
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time for which a silent node is not asked again.
const SILENT_TIME: time::Duration = time::Duration::from_secs(4);

/// Time between two loans in a deployment of this many nodes.
pub fn period(nodes: usize) -> time::Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    (MIN_PERIOD + PERIOD_PER_NODE.saturating_mul(nodes)).min(MAX_PERIOD)
}

/// The loan of this node's part.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, quota::Lender};
///
/// let (mut lender, at) = (Lender::default(), Moment::from_millis);
/// let nodes = ["a".into(), "b".into()];
/// assert_eq!(lender.choose(&nodes, at(0)).unwrap().as_str(), "a");
/// assert!(lender.lend(&nodes[0], at(0)));
/// [0, 100, 200].map(|millis| lender.asked(&nodes[0], at(millis)));
/// // It does not answer; the part is lent to the next one only once the loan has ended.
/// assert_eq!(lender.choose(&nodes, at(400)).unwrap().as_str(), "b");
/// assert!(!lender.lend(&nodes[1], at(400)));
/// assert!(lender.lend(&nodes[1], at(1_300)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lender {
    /// The node that has the part, and until when.
    loan: Option<(id::Node, moment::Moment)>,
    /// The messages that have not been answered.
    unanswered: Option<Unanswered>,
    /// When each silent node was found to be silent.
    silent: collections::BTreeMap<id::Node, moment::Moment>,
}

/// Messages to a node that has not answered since.
#[derive(Clone, Debug)]
struct Unanswered {
    node: id::Node,
    first: moment::Moment,
    latest: moment::Moment,
    number: u32,
}

impl Lender {
    /// The node to ask for permits: the first of `nodes` that is not silent.
    pub fn choose<'a>(
        &mut self,
        nodes: &'a [id::Node],
        now: moment::Moment,
    ) -> Option<&'a id::Node> {
        self.silent.retain(|_, at| now.since(*at) < SILENT_TIME);
        let is_silent = |asked: &mut Unanswered| {
            asked.number >= MAX_UNANSWERED && now.since(asked.first) >= ANSWER_TIMEOUT
        };
        if let Some(asked) = self.unanswered.take_if(is_silent) {
            self.silent.insert(asked.node, now);
        }
        nodes.iter().find(|node| !self.silent.contains_key(*node))
    }

    /// Records that `node` is asked now.
    pub fn asked(&mut self, node: &id::Node, now: moment::Moment) {
        match &mut self.unanswered {
            Some(asked) if asked.node == *node => {
                (asked.latest, asked.number) = (now, asked.number + 1);
            }
            _ => {
                let node = node.clone();
                self.unanswered = Some(Unanswered { node, first: now, latest: now, number: 1 });
            }
        }
    }

    /// Whether the latest message has not been answered for so long that it is repeated.
    pub fn must_repeat(&self, now: moment::Moment) -> bool {
        self.unanswered.as_ref().is_some_and(|asked| now.since(asked.latest) >= REPEAT_PERIOD)
    }

    /// Records an answer of `node`.
    pub fn answered(&mut self, node: &id::Node) {
        self.silent.remove(node);
        self.unanswered.take_if(|asked| asked.node == *node);
    }

    /// Lends the part to `node` from now on; returns false while another node has it.
    pub fn lend(&mut self, node: &id::Node, now: moment::Moment) -> bool {
        let is_lent = |(holder, until): &(id::Node, moment::Moment)| holder != node && now < *until;
        if self.loan.as_ref().is_some_and(is_lent) {
            return false;
        }
        self.loan = Some((node.clone(), now + LOAN_TIME));
        true
    }
}

//! To which node this node lends its part of the limits.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::id;

/// Time for which a part is lent with each message to the grantor.
pub const LOAN_TIME: time::Duration = time::Duration::from_millis(1_200);

/// Time after which a grantor that does not answer counts as silent.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time for which a silent node is not asked again.
const SILENT_TIME: time::Duration = time::Duration::from_secs(2);

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
/// // It does not answer; the part is lent to the next one only once the loan has ended.
/// assert_eq!(lender.choose(&nodes, at(400)).unwrap().as_str(), "b");
/// assert!(!lender.lend(&nodes[1], at(400)));
/// assert!(lender.lend(&nodes[1], at(1_300)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lender {
    /// The node that has the part, and until when.
    loan: Option<(id::Node, moment::Moment)>,
    /// The node that was asked, and since when it has not answered.
    unanswered: Option<(id::Node, moment::Moment)>,
    /// When each silent node was found to be silent.
    silent: collections::BTreeMap<id::Node, moment::Moment>,
}

impl Lender {
    /// The node to ask for permits: the first of `nodes` that is not silent.
    pub fn choose<'a>(
        &mut self,
        nodes: &'a [id::Node],
        now: moment::Moment,
    ) -> Option<&'a id::Node> {
        self.silent.retain(|_, at| now.since(*at) < SILENT_TIME);
        let is_late = |at: moment::Moment| now.since(at) >= ANSWER_TIMEOUT;
        if let Some((node, _)) = self.unanswered.take_if(|(_, at)| is_late(*at)) {
            self.silent.insert(node, now);
        }
        nodes.iter().find(|node| !self.silent.contains_key(*node))
    }

    /// Records that `node` is asked now.
    pub fn asked(&mut self, node: &id::Node, now: moment::Moment) {
        if self.unanswered.as_ref().is_none_or(|(asked, _)| asked != node) {
            self.unanswered = Some((node.clone(), now));
        }
    }

    /// Records an answer of `node`.
    pub fn answered(&mut self, node: &id::Node) {
        self.silent.remove(node);
        self.unanswered.take_if(|(asked, _)| asked == node);
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

//! Log lines about changes of facts.

use corneltrestle_policy::{revision, upstream};

use crate::source::{Fact, Subject};

/// Writes a log line for a change of a fact, if operators need to know of it.
pub(super) fn write(
    subject: &Subject,
    known: Option<&Fact>,
    new: Option<&Fact>,
    at: revision::Revision,
) {
    let revision = at.number;
    match (subject, known, new) {
        (Subject::Upstream(_), Some(Fact::Upstream(known)), Some(Fact::Upstream(new))) => {
            write_upstream(known, new, revision);
        }
        (Subject::Upstream(_), None, Some(Fact::Upstream(new))) => log::info!(
            upstream = new.id.as_str(), zone = new.zone.as_str(), version = new.version.as_str(),
            cold_ms = new.cold_left.as_millis() as u64, revision = revision;
            "upstream: registered"
        ),
        (Subject::Upstream(id), Some(_), None) => {
            log::warn!(upstream = id.as_str(), revision = revision; "upstream: the registration has ended");
        }
        (Subject::Evacuation(zone), None, Some(_)) => {
            log::warn!(zone = zone.as_str(), revision = revision; "config: the zone takes no new work");
        }
        (Subject::Evacuation(zone), Some(_), None) => {
            log::info!(zone = zone.as_str(), revision = revision; "config: the zone takes new work again");
        }
        (Subject::Node(id), None, Some(Fact::Node(node))) => log::info!(
            node = id.as_str(), zone = node.zone.as_str(), boot = node.boot, revision = revision;
            "mesh: a node has registered"
        ),
        (Subject::Node(id), Some(_), None) => {
            log::info!(node = id.as_str(), revision = revision; "mesh: the registration of a node has ended");
        }
        (_, known, Some(Fact::Coordinator(holder)))
            if known != Some(&Fact::Coordinator(holder.clone())) =>
        {
            log::info!(holder = holder.node.as_str(), token = at.token(); "lease: the coordinator has changed");
        }
        (Subject::Coordinator, Some(_), None) => {
            log::info!(revision = revision; "lease: there is no coordinator");
        }
        _ => {}
    }
}

fn write_upstream(known: &upstream::Upstream, new: &upstream::Upstream, revision: u64) {
    if known.incarnation != new.incarnation {
        log::warn!(
            upstream = new.id.as_str(), born = new.incarnation,
            cold_ms = new.cold_left.as_millis() as u64,
            revision = revision;
            "upstream: restarted"
        );
    }
    if known.state != new.state && new.state == upstream::State::Draining {
        log::info!(upstream = new.id.as_str(), revision = revision; "upstream: draining, takes no new work");
    }
    let member = |of: &upstream::Upstream| of.engine.as_ref().and_then(|e| e.member.clone());
    let (before, after) = (member(known), member(new));
    if before == after {
        return;
    }
    match after {
        Some(member) if member.state == upstream::MemberState::Broken => log::warn!(
            upstream = new.id.as_str(), group = member.group.as_str(), epoch = member.epoch,
            revision = revision;
            "group: broken, the head has lost a member"
        ),
        Some(member) => log::info!(
            upstream = new.id.as_str(), group = member.group.as_str(), epoch = member.epoch,
            rank = member.rank, state:? = member.state, revision = revision;
            "group: a member has changed"
        ),
        None => {
            log::info!(upstream = new.id.as_str(), revision = revision; "group: a member has left")
        }
    }
}

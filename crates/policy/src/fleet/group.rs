//! Groups of VMs, derived from the registrations of their members.

use std::sync;

use crate::{id, upstream};

/// A standby or serving group: the upstreams that are registered with the same group and epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Name of the group.
    pub id: id::Group,
    /// Epoch of its membership.
    pub epoch: u64,
    /// The service that its members belong to.
    pub service: id::Service,
    /// The model; `None` until a member has loaded it.
    pub model: Option<id::Model>,
    /// Whether the head has registered that the group serves.
    pub is_open: bool,
    /// Whether its members are in several fabric domains, which makes it slower.
    pub spans_domains: bool,
    /// Rank of each registered member and its index in the fleet, by rank.
    pub(super) members: Vec<(u32, usize)>,
}

impl Group {
    /// Number of registered members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is registered; always false for the groups of a fleet.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Derives the groups of these upstreams, sorted by name and epoch.
pub(super) fn of(upstreams: &[sync::Arc<upstream::Upstream>]) -> Vec<Group> {
    let members = upstreams.iter().enumerate().filter_map(|(index, upstream)| {
        let member = member_of(upstream)?;
        Some((&member.group, member.epoch, member.rank, index))
    });
    let mut members: Vec<_> = members.collect();
    members.sort_unstable();
    members
        .chunk_by(|one, other| (one.0, one.1) == (other.0, other.1))
        .map(|group| build(upstreams, group))
        .collect()
}

fn member_of(upstream: &upstream::Upstream) -> Option<&upstream::Member> {
    upstream.engine.as_ref()?.member.as_ref()
}

/// Builds a group of its members, which are sorted by rank and not empty.
fn build(
    upstreams: &[sync::Arc<upstream::Upstream>],
    group: &[(&id::Group, u64, u32, usize)],
) -> Group {
    let (id, epoch, ..) = group[0];
    let members: Vec<(u32, usize)> =
        group.iter().map(|(_, _, rank, index)| (*rank, *index)).collect();
    let engines = || members.iter().filter_map(|(_, index)| upstreams[*index].engine.as_ref());
    let model = engines().find_map(|engine| engine.models.first()).cloned();
    let fabric = engines().next().map(|engine| &engine.fabric);
    let spans_domains = engines().any(|engine| Some(&engine.fabric) != fabric);
    let is_open = members
        .first()
        .filter(|(rank, _)| *rank == 0)
        .and_then(|(_, index)| member_of(&upstreams[*index]))
        .is_some_and(|head| head.state == upstream::MemberState::Open);
    let service = upstreams[members[0].1].service.clone();
    Group { id: id.clone(), epoch, service, model, is_open, spans_domains, members }
}

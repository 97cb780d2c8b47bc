//! Groups of VMs, derived from the registrations of their members.

use std::{collections, sync};

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
    let mut found = collections::BTreeMap::<(&id::Group, u64), Vec<(u32, usize)>>::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        if let Some(member) = member_of(upstream) {
            found.entry((&member.group, member.epoch)).or_default().push((member.rank, index));
        }
    }
    found.into_iter().map(|((id, epoch), members)| build(upstreams, id, epoch, members)).collect()
}

fn member_of(upstream: &upstream::Upstream) -> Option<&upstream::Member> {
    upstream.engine.as_ref()?.member.as_ref()
}

fn build(
    upstreams: &[sync::Arc<upstream::Upstream>],
    id: &id::Group,
    epoch: u64,
    mut members: Vec<(u32, usize)>,
) -> Group {
    members.sort_unstable();
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

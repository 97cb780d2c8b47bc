//! Index of all registered upstreams, and the groups that their VMs form.

mod group;

use std::{collections, sync};

pub use group::Group;

use crate::{deployment, id, upstream};

/// Immutable snapshot of the registered upstreams, indexed by id, service and group.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::fleet;
///
/// let fleet = fleet::Fleet::new(Vec::new());
/// assert!(fleet.of_service("orders").next().is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Sorted by id.
    upstreams: Vec<sync::Arc<upstream::Upstream>>,
    services: collections::BTreeMap<id::Service, Vec<usize>>,
    groups: Vec<Group>,
    /// Index in `groups` of the group of each upstream, by index of the upstream.
    memberships: Vec<Option<usize>>,
}

impl Fleet {
    /// Builds the snapshot; each id must occur only once.
    pub fn new(mut upstreams: Vec<sync::Arc<upstream::Upstream>>) -> Self {
        upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        let mut services = collections::BTreeMap::<_, Vec<usize>>::new();
        for (index, upstream) in upstreams.iter().enumerate() {
            match services.get_mut(&upstream.service) {
                Some(indices) => indices.push(index),
                None => drop(services.insert(upstream.service.clone(), vec![index])),
            }
        }
        let groups = group::of(&upstreams);
        let mut memberships = vec![None; upstreams.len()];
        for (group, of) in groups.iter().enumerate() {
            of.members.iter().for_each(|(_, index)| memberships[*index] = Some(group));
        }
        Self { upstreams, services, groups, memberships }
    }

    /// All upstreams, by id.
    pub fn all(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.iter().map(|upstream| &**upstream)
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&upstream::Upstream> {
        self.index(id).map(|index| &*self.upstreams[index])
    }

    fn index(&self, id: &str) -> Option<usize> {
        self.upstreams.binary_search_by(|upstream| upstream.id.as_str().cmp(id)).ok()
    }

    /// The upstreams of a service, by id.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &upstream::Upstream> {
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        indices.iter().map(|index| &*self.upstreams[*index])
    }

    /// All groups, also those whose members are not all registered.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// The group that an upstream is a member of.
    pub fn group_of(&self, upstream: &str) -> Option<&Group> {
        let group = self.memberships[self.index(upstream)?]?;
        Some(&self.groups[group])
    }

    /// The registered members of a group by rank, starting with the head if it is registered.
    pub fn members<'a>(
        &'a self,
        group: &'a Group,
    ) -> impl Iterator<Item = &'a upstream::Upstream> + 'a {
        group.members.iter().map(|(_, index)| &*self.upstreams[*index])
    }

    /// The head of a group, if it is registered.
    pub fn head(&self, group: &Group) -> Option<&upstream::Upstream> {
        group
            .members
            .first()
            .filter(|(rank, _)| *rank == 0)
            .map(|(_, index)| &*self.upstreams[*index])
    }

    /// Whether a group serves according to the registrations of its members: its head is open, the
    /// group has as many members as the model needs, and none of them is draining.
    pub fn is_serving(&self, group: &Group, model: &deployment::Model) -> bool {
        let is_present = |member: &upstream::Upstream| {
            member.state == upstream::State::Ready
                && member.engine.as_ref().and_then(|engine| engine.member.as_ref()).is_some_and(
                    |member| {
                        matches!(
                            member.state,
                            upstream::MemberState::Ready | upstream::MemberState::Open
                        )
                    },
                )
        };
        group.is_open
            && group.members.len() == usize::try_from(model.size).unwrap_or(usize::MAX)
            && self.members(group).all(is_present)
    }

    /// Factor on the engine's times for a group: the pace of its model, multiplied by the engine's
    /// cross-domain factor if the members are in several fabric domains.
    pub fn pace(&self, group: &Group, engine: &deployment::Engine) -> f64 {
        let model = group.model.as_ref().and_then(|name| engine.model(name.as_str()));
        let pace = model.map_or(1.0, |model| model.pace);
        if group.spans_domains { pace * engine.cross_domain } else { pace }
    }
}

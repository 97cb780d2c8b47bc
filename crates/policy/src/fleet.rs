//! The upstreams of a deployment, with the serving groups that their VMs form.

mod group;

use std::{collections, sync};

pub use group::Group;

use crate::{deployment, id, upstream};

/// All known upstreams at one version of the registrations.
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
    upstreams: Vec<sync::Arc<upstream::Upstream>>,
    places: collections::HashMap<id::Vm, usize>,
    services: collections::BTreeMap<id::Service, Vec<usize>>,
    groups: Vec<Group>,
    /// Place in `groups` of the group that each upstream is a member of.
    memberships: collections::HashMap<usize, usize>,
}

impl Fleet {
    /// Builds the fleet of these upstreams; each id occurs once.
    pub fn new(mut upstreams: Vec<sync::Arc<upstream::Upstream>>) -> Self {
        upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        let mut services = collections::BTreeMap::<_, Vec<usize>>::new();
        let mut places = collections::HashMap::with_capacity(upstreams.len());
        for (place, upstream) in upstreams.iter().enumerate() {
            services.entry(upstream.service.clone()).or_default().push(place);
            places.insert(upstream.id.clone(), place);
        }
        let groups = group::of(&upstreams);
        let memberships = groups
            .iter()
            .enumerate()
            .flat_map(|(group, of)| of.members.iter().map(move |(_, place)| (*place, group)))
            .collect();
        Self { upstreams, places, services, groups, memberships }
    }

    /// All upstreams, by id.
    pub fn all(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.iter().map(|upstream| &**upstream)
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&upstream::Upstream> {
        self.places.get(id).map(|place| &*self.upstreams[*place])
    }

    /// The upstreams of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &upstream::Upstream> {
        let places = self.services.get(service).map_or(&[][..], Vec::as_slice);
        places.iter().map(|place| &*self.upstreams[*place])
    }

    /// The groups, complete or not.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// The group that an upstream is a member of.
    pub fn group_of(&self, upstream: &str) -> Option<&Group> {
        let place = self.places.get(upstream)?;
        self.memberships.get(place).map(|group| &self.groups[*group])
    }

    /// The members of a group that are registered, the head first if it is among them.
    pub fn members<'a>(
        &'a self,
        group: &'a Group,
    ) -> impl Iterator<Item = &'a upstream::Upstream> + 'a {
        group.members.iter().map(|(_, place)| &*self.upstreams[*place])
    }

    /// The head of a group.
    pub fn head(&self, group: &Group) -> Option<&upstream::Upstream> {
        group
            .members
            .first()
            .filter(|(rank, _)| *rank == 0)
            .map(|(_, place)| &*self.upstreams[*place])
    }

    /// Whether a group serves by what its members have registered: its head is open, all members
    /// of the model's size are there and none of them leaves.
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

    /// Factor on the times of a group: that of its model, and that of a group in several fabric
    /// domains.
    pub fn pace(&self, group: &Group, engine: &deployment::Engine) -> f64 {
        let model = group.model.as_ref().and_then(|name| engine.model(name.as_str()));
        let pace = model.map_or(1.0, |model| model.pace);
        if group.is_far { pace * engine.cross_domain } else { pace }
    }
}

//! Groups that were complete, as seen by a node that may become the coordinator.

use std::collections;

use super::outlook;
use crate::{deployment, fleet, id};

/// Registered groups that have been complete. If such a group lacks a member, the member has gone;
/// the members of any other group may only be late to register.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{fleet, formation};
///
/// let mut complete = formation::CompleteGroups::default();
/// complete.observe(&fleet::Fleet::default(), |_| None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CompleteGroups {
    /// Epochs of the groups by name.
    epochs: collections::BTreeMap<id::Group, u64>,
}

impl CompleteGroups {
    /// Adds the groups that are complete now, and drops those of which no member is registered.
    /// `engine` returns the engine that the VMs of a service run.
    pub fn observe<'a>(
        &mut self,
        fleet: &fleet::Fleet,
        engine: impl Fn(&id::Service) -> Option<&'a deployment::Engine>,
    ) {
        let groups = fleet.groups();
        self.epochs.retain(|name, epoch| {
            let at = groups.partition_point(|group| (&group.id, group.epoch) < (&*name, *epoch));
            groups.get(at).is_some_and(|group| (&group.id, group.epoch) == (&*name, *epoch))
        });
        for group in groups {
            let model = group
                .model
                .as_ref()
                .and_then(|model| engine(&group.service)?.model(model.as_str()));
            let is_complete = model.is_some_and(|model| group.len() >= outlook::size(model));
            if is_complete && !self.contains(group) {
                self.epochs.insert(group.id.clone(), group.epoch);
            }
        }
    }

    /// Whether a group has been complete.
    pub(super) fn contains(&self, group: &fleet::Group) -> bool {
        self.epochs.get(&group.id) == Some(&group.epoch)
    }
}

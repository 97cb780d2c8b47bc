//! Affinity of fabric domains to models: which model the VMs of each domain load.
//!
//! If all VMs of a domain have the same model, any of them can form a group. In a domain with
//! several models, losses leave a few VMs of each model, too few for a group.

use std::collections;

use super::{Inventory, Scale, allocation::size};
use crate::{deployment, id};

/// The last domain is shared if a second model still needs at least this fraction of a domain.
const MIN_SHARED_FRACTION: f64 = 0.35;

/// The models that the VMs of a domain load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Affinity {
    /// Only the model at this index of the engine's list.
    Model(usize),
    /// All models, in proportion to the sizes of their groups.
    Shared,
}

impl Affinity {
    /// Returns the inventory without the free VMs that have a model other than that of the domain.
    pub(super) fn only(self, inventory: &Inventory) -> Inventory {
        let mut only = inventory.clone();
        if let Self::Model(affinity) = self {
            let others = only.loaded.iter_mut().enumerate().filter(|(index, _)| *index != affinity);
            others.for_each(|(_, loaded)| *loaded = 0);
        }
        only
    }
}

/// Assigns models to the domains, so that the numbers of groups that can be formed are in
/// proportion to the target numbers. Successive domains get different models, so that each zone
/// has all of them.
pub(super) fn assign<'a>(
    domains: impl IntoIterator<Item = Option<&'a id::Fabric>>,
    models: &[deployment::Model],
    scales: &[Scale],
) -> collections::BTreeMap<Option<&'a id::Fabric>, Affinity> {
    let domains: Vec<_> = domains.into_iter().collect();
    let parts: Vec<f64> =
        models.iter().zip(scales).map(|(model, scale)| scale.target * vms(model)).collect();
    let total = parts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let mut needed: Vec<f64> =
        parts.iter().map(|part| part / total * domains.len() as f64).collect();
    let last = domains.len().saturating_sub(1);
    domains
        .into_iter()
        .enumerate()
        .map(|(number, domain)| {
            let affinity = next(&needed, number == last);
            if let Affinity::Model(index) = affinity {
                needed[index] -= 1.0;
            }
            (domain, affinity)
        })
        .collect()
}

/// The model that needs most further domains; all models if the last domain is to be shared.
fn next(needed: &[f64], is_last: bool) -> Affinity {
    let mut order: Vec<usize> = (0..needed.len()).collect();
    order.sort_by(|a, b| needed[*b].total_cmp(&needed[*a]));
    match (order.first(), order.get(1)) {
        (Some(_), Some(second)) if is_last && needed[*second] >= MIN_SHARED_FRACTION => {
            Affinity::Shared
        }
        (Some(first), _) => Affinity::Model(*first),
        (None, _) => Affinity::Shared,
    }
}

/// VMs of a group, and the average number that a domain has left over after forming groups.
fn vms(model: &deployment::Model) -> f64 {
    let size = size(model) as f64;
    size + (size - 1.0) / 2.0
}

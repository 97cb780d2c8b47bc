//! Which model the VMs of each fabric domain load.
//!
//! A domain whose VMs have one model can form a group of any of them. In a domain with several
//! models, losses leave a few VMs of each, which form no group.

use std::collections;

use super::{Need, Supply, allocation::size};
use crate::{deployment, id};

/// Part of a domain that a second model has to lack for the last domain to be shared by both.
const SHARED: f64 = 0.35;

/// The model that a domain is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Affinity {
    /// The model in this place of the engine's list.
    Model(usize),
    /// All models, in proportion to the sizes of their groups.
    Shared,
}

impl Affinity {
    /// The supply without the free VMs that have another model than the one the domain is for.
    pub(super) fn only(self, supply: &Supply) -> Supply {
        let mut only = supply.clone();
        if let Self::Model(affinity) = self {
            let others = only.loaded.iter_mut().enumerate().filter(|(place, _)| *place != affinity);
            others.for_each(|(_, loaded)| *loaded = 0);
        }
        only
    }
}

/// Assigns the domains to models, so that the groups that can be formed are in proportion to those
/// that are needed. Neighbouring domains get different models, so that a zone has all of them.
pub(super) fn assign<'a>(
    domains: impl IntoIterator<Item = Option<&'a id::Fabric>>,
    models: &[deployment::Model],
    needs: &[Need],
) -> collections::BTreeMap<Option<&'a id::Fabric>, Affinity> {
    let domains: Vec<_> = domains.into_iter().collect();
    let parts: Vec<f64> =
        models.iter().zip(needs).map(|(model, need)| need.target * vms(model)).collect();
    let total = parts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let mut left: Vec<f64> = parts.iter().map(|part| part / total * domains.len() as f64).collect();
    let last = domains.len().saturating_sub(1);
    domains
        .into_iter()
        .enumerate()
        .map(|(number, domain)| {
            let affinity = next(&left, number == last);
            if let Affinity::Model(place) = affinity {
                left[place] -= 1.0;
            }
            (domain, affinity)
        })
        .collect()
}

/// The model that lacks the largest part of a domain.
fn next(left: &[f64], is_last: bool) -> Affinity {
    let mut order: Vec<usize> = (0..left.len()).collect();
    order.sort_by(|a, b| left[*b].total_cmp(&left[*a]));
    match (order.first(), order.get(1)) {
        (Some(_), Some(second)) if is_last && left[*second] >= SHARED => Affinity::Shared,
        (Some(first), _) => Affinity::Model(*first),
        (None, _) => Affinity::Shared,
    }
}

/// VMs that a group needs, with those that are left over in a domain on average.
fn vms(model: &deployment::Model) -> f64 {
    let size = size(model) as f64;
    size + (size - 1.0) / 2.0
}

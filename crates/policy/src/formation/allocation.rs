//! Allocation of the free VMs of a fabric domain to groups: how many groups of each model to form.
//!
//! All feasible combinations are tried; the one with the highest total value is chosen.

use crate::deployment;

/// Value of the first and the second spare VM in a domain that has a group of the same model; a
/// group up to the target number has the value 1. The values are small because a group can also be
/// formed again from the remaining members of damaged groups.
const SPARE_VALUES: [f64; 2] = [0.05, 0.02];

/// Factor on the value of the groups beyond the target number; the value falls with the square of
/// the number of groups.
const SURPLUS_VALUE: f64 = 0.5;

/// The VMs of one fabric domain that groups can be formed from, and its groups. The lists have one
/// entry for each model of the engine, in the engine's order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// Free VMs that have the weights of each model; a VM with several models counts for the first.
    pub loaded: Vec<usize>,
    /// VMs that are loading each model.
    pub loading: Vec<usize>,
    /// Free VMs without the weights of any model.
    pub empty: usize,
    /// Groups of each model that serve or are being formed.
    pub groups: Vec<usize>,
}

/// Current and target number of groups of one model, over all fabric domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scale {
    /// Groups that serve or are being formed.
    pub current: usize,
    /// Number of groups that suffices for the load; may be a fraction.
    pub target: f64,
}

impl Scale {
    /// Marginal value of one more group: 1 up to the target, less beyond it.
    pub fn gain(&self) -> f64 {
        self.gain_of(self.current + 1)
    }

    fn gain_of(&self, number: usize) -> f64 {
        let number = number as f64;
        if number <= self.target { 1.0 } else { SURPLUS_VALUE * (self.target / number).powi(2) }
    }
}

/// Returns for each model how many groups to form from the VMs that have its weights, so that the
/// total value is highest.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{deployment, formation};
///
/// let model = |name: &str, size, share| deployment::Model {
///     name: name.into(), size, share, pace: 1.0,
///     load: Duration::from_secs(16), warm: Duration::from_secs(1),
/// };
/// let models = [model("large", 4, 0.57), model("small", 3, 0.43)];
/// let scales = [formation::Scale { current: 0, target: 6.0 }; 2];
/// let inventory = formation::Inventory {
///     loaded: vec![5, 4], loading: vec![0, 0], empty: 0, groups: vec![0, 0],
/// };
/// assert_eq!(formation::allocate(&inventory, &models, &scales), [1, 1]);
/// ```
pub fn allocate(
    inventory: &Inventory,
    models: &[deployment::Model],
    scales: &[Scale],
) -> Vec<usize> {
    let mut best = (f64::MIN, vec![0; models.len()]);
    let mut counts = vec![0; models.len()];
    loop {
        let value = value(inventory, models, scales, &counts);
        if value > best.0 {
            best = (value, counts.clone());
        }
        if !advance(&mut counts, inventory, models) {
            return best.1;
        }
    }
}

/// Number of VMs in a group of the model, at least 1.
pub(super) fn size(model: &deployment::Model) -> usize {
    usize::try_from(model.size).unwrap_or(usize::MAX).max(1)
}

fn value(
    inventory: &Inventory,
    models: &[deployment::Model],
    scales: &[Scale],
    counts: &[usize],
) -> f64 {
    let mut value = 0.0;
    let mut spares = 0;
    for (index, model) in models.iter().enumerate() {
        let scale = &scales[index];
        value += (1..=counts[index]).map(|n| scale.gain_of(scale.current + n)).sum::<f64>();
        // A spare is of use only to a group of its model.
        if inventory.groups[index] + counts[index] > 0 {
            spares += inventory.loaded[index] - counts[index] * size(model);
        }
    }
    value + SPARE_VALUES.iter().take(spares).sum::<f64>()
}

/// Moves `counts` on to the next combination for which there are enough VMs; returns false after
/// the last one.
fn advance(counts: &mut [usize], inventory: &Inventory, models: &[deployment::Model]) -> bool {
    for (index, count) in counts.iter_mut().enumerate() {
        *count += 1;
        if *count * size(&models[index]) <= inventory.loaded[index] {
            return true;
        }
        *count = 0;
    }
    false
}

//! How many groups of each model are formed from the free VMs of a fabric domain.

use crate::deployment;

/// Value of a spare VM in a domain with a group of its model, against that of a group that is
/// needed. It is small, since a group can be formed anew from those that have lost a member.
const SPARE_VALUES: [f64; 2] = [0.05, 0.02];

/// Value of the first group beyond those that the work needs.
const EXTRA_VALUE: f64 = 0.5;

/// The VMs of a domain by the model that they have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Free VMs with the weights of each model of the engine, in its order.
    pub loaded: Vec<usize>,
    /// VMs that load each model.
    pub loading: Vec<usize>,
    /// Free VMs without weights.
    pub empty: usize,
    /// Groups of each model that serve or are being formed.
    pub groups: Vec<usize>,
}

/// How many groups of a model there are in the whole fleet, and how many are needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Groups that serve or are being formed.
    pub current: usize,
    /// Groups that the work needs.
    pub target: f64,
}

impl Need {
    /// Value of the next group: 1 up to the target, less beyond it.
    pub fn gain(&self) -> f64 {
        self.gain_of(self.current + 1)
    }

    fn gain_of(&self, number: usize) -> f64 {
        let number = number as f64;
        if number <= self.target { 1.0 } else { EXTRA_VALUE * (self.target / number).powi(2) }
    }
}

/// The numbers of groups of each model that are worth most, formed from VMs that have their models.
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
/// let needs = [formation::Need { current: 0, target: 6.0 }; 2];
/// let supply = formation::Supply {
///     loaded: vec![5, 4], loading: vec![0, 0], empty: 0, groups: vec![0, 0],
/// };
/// assert_eq!(formation::allocate(&supply, &models, &needs), [1, 1]);
/// ```
pub fn allocate(supply: &Supply, models: &[deployment::Model], needs: &[Need]) -> Vec<usize> {
    let mut best = (f64::MIN, vec![0; models.len()]);
    let mut counts = vec![0; models.len()];
    loop {
        let value = value(supply, models, needs, &counts);
        if value > best.0 {
            best = (value, counts.clone());
        }
        if !advance(&mut counts, supply, models) {
            return best.1;
        }
    }
}

/// VMs of a group of the model.
pub(super) fn size(model: &deployment::Model) -> usize {
    usize::try_from(model.size).unwrap_or(usize::MAX).max(1)
}

fn value(supply: &Supply, models: &[deployment::Model], needs: &[Need], counts: &[usize]) -> f64 {
    let mut value = 0.0;
    let mut spares = 0;
    for (place, model) in models.iter().enumerate() {
        let need = &needs[place];
        value += (1..=counts[place]).map(|n| need.gain_of(need.current + n)).sum::<f64>();
        // A spare is of use only to a group of its model.
        if supply.groups[place] + counts[place] > 0 {
            spares += supply.loaded[place] - counts[place] * size(model);
        }
    }
    value + SPARE_VALUES.iter().take(spares).sum::<f64>()
}

/// The next combination of counts for which there are VMs; false after the last one.
fn advance(counts: &mut [usize], supply: &Supply, models: &[deployment::Model]) -> bool {
    for (place, count) in counts.iter_mut().enumerate() {
        *count += 1;
        if *count * size(&models[place]) <= supply.loaded[place] {
            return true;
        }
        *count = 0;
    }
    false
}

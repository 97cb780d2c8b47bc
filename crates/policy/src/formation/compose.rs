//! How many groups of each model are formed from the free VMs of a fabric domain.

use crate::deployment;

/// Value of a spare VM in a domain with groups, against that of one more group. A second spare is
/// worth less; more than two are not needed, as losses come one or two at a time.
const SPARE_VALUES: [f64; 2] = [0.35, 0.25];

/// What the wait for one load takes from the value of a group: loads take tens of times longer than
/// joins, but a group serves for far longer still.
const LOAD_COST: f64 = 0.12;

/// The free VMs of a domain by the model that they have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// VMs with the weights of each model of the engine, in its order.
    pub loaded: Vec<usize>,
    /// VMs without weights.
    pub empty: usize,
    /// Groups of the domain that serve or are being formed.
    pub groups: usize,
}

/// The numbers of groups of each model that are worth most.
///
/// `standing` are the groups of each model in the whole fleet. A model's next group is worth its
/// share of the work divided by the number of its groups, so that numbers approach the shares.
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
/// let supply = formation::Supply { loaded: vec![0, 0], empty: 9, groups: 0 };
/// assert_eq!(formation::compose(&supply, &models, &[0, 0]), [1, 1]);
/// ```
pub fn compose(supply: &Supply, models: &[deployment::Model], standing: &[usize]) -> Vec<usize> {
    let free = supply.loaded.iter().sum::<usize>() + supply.empty;
    let scale = scale(models, standing);
    let mut best = (f64::MIN, vec![0; models.len()]);
    let mut counts = vec![0; models.len()];
    loop {
        let used: usize = counts.iter().zip(models).map(|(n, model)| n * size(model)).sum();
        if used <= free {
            let value = value(supply, models, standing, &counts, free - used, scale);
            if value > best.0 {
                best = (value, counts.clone());
            }
        }
        if !advance(&mut counts, models, free) {
            return best.1;
        }
    }
}

fn size(model: &deployment::Model) -> usize {
    usize::try_from(model.size).unwrap_or(usize::MAX).max(1)
}

/// The mean value of the next group, which the values of spares and loads are parts of.
fn scale(models: &[deployment::Model], standing: &[usize]) -> f64 {
    let total: f64 = models.iter().zip(standing).map(|(model, n)| gain(model, *n + 1)).sum();
    total / models.len().max(1) as f64
}

/// Value of the group of a model that brings their number to `number`.
fn gain(model: &deployment::Model, number: usize) -> f64 {
    model.share.max(0.01) / number as f64
}

fn value(
    supply: &Supply,
    models: &[deployment::Model],
    standing: &[usize],
    counts: &[usize],
    spares: usize,
    scale: f64,
) -> f64 {
    let mut value = 0.0;
    let mut loads = 0;
    for (place, model) in models.iter().enumerate() {
        let (count, standing) = (counts[place], standing[place]);
        value += (1..=count).map(|number| gain(model, standing + number)).sum::<f64>();
        loads += (count * size(model)).saturating_sub(supply.loaded[place]);
    }
    if supply.groups + counts.iter().sum::<usize>() > 0 {
        value += SPARE_VALUES.iter().take(spares).sum::<f64>() * scale;
    }
    value - loads as f64 * LOAD_COST * scale
}

/// The next combination of counts; false after the last one.
fn advance(counts: &mut [usize], models: &[deployment::Model], free: usize) -> bool {
    for (count, model) in counts.iter_mut().zip(models) {
        *count += 1;
        if *count * size(model) <= free {
            return true;
        }
        *count = 0;
    }
    false
}

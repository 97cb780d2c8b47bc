//! How many groups the VMs of a fabric domain are expected to form while VMs are lost, and which
//! models the VMs of each domain should have.
//!
//! VMs that are left over after forming groups replace lost members. A number of VMs with one model
//! is therefore worth the groups that it can form without those that will be lost before others
//! have loaded the model in their place.

use crate::deployment;

/// Added to the number of groups, so that the value of none is finite.
const SMOOTHING: f64 = 0.5;

/// Smallest improvement for which a composition is changed.
const MIN_IMPROVEMENT: f64 = 1e-6;

/// Probability that is neglected in the expected number of groups.
const MIN_PROBABILITY: f64 = 1e-6;

/// Number of times that the composition of each domain is improved, given those of the others.
const MAX_PASSES: usize = 4;

/// Expected groups by model and number of VMs of a domain, and their value.
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
/// let models = [model("large", 6, 0.57), model("small", 3, 0.43)];
/// let outlook = formation::Outlook::new(&models, &[5.0, 5.0], 0.003, 11);
/// // A domain of eleven VMs has room for one large and one small group, and for two spare VMs.
/// assert!(outlook.compose(&[11; 6]).iter().all(|counts| counts[0] >= 6 && counts[1] >= 3));
/// ```
#[derive(Clone, Debug)]
pub struct Outlook<'a> {
    models: &'a [deployment::Model],
    /// Number of groups of each model that suffices for the load, over all domains.
    targets: Vec<f64>,
    /// Expected groups of each model, by the number of VMs that a domain has with it.
    expected: Vec<Vec<f64>>,
}

impl<'a> Outlook<'a> {
    /// Computes the expected groups for domains of up to `vms` VMs, of which each is lost at `rate`
    /// per second.
    pub fn new(models: &'a [deployment::Model], targets: &[f64], rate: f64, vms: usize) -> Self {
        let expected = |model: &deployment::Model| {
            let missing = rate * model.load.as_secs_f64();
            (0..=vms).map(|vms| expected_groups(vms, size(model), missing)).collect()
        };
        let expected = models.iter().map(expected).collect();
        Self { models, targets: targets.to_vec(), expected }
    }

    /// Groups of a model that `vms` VMs of one domain are expected to form.
    pub(super) fn groups(&self, model: usize, vms: usize) -> f64 {
        let expected = &self.expected[model];
        expected[vms.min(expected.len() - 1)]
    }

    /// Number of VMs in the largest group.
    pub(super) fn largest_group(&self) -> usize {
        self.models.iter().map(size).max().unwrap_or(0)
    }

    /// Change of the value of all groups of a model if a domain has `to` VMs with it instead of
    /// `from`. `total` is the number of groups that is expected over all domains.
    pub(super) fn gain(&self, model: usize, total: f64, from: usize, to: usize) -> f64 {
        let changed = total + self.groups(model, to) - self.groups(model, from);
        self.value(model, changed) - self.value(model, total)
    }

    /// Value of a number of groups of a model, which is negative. It falls with the square of the
    /// load of each group, as waiting times do, so that no model is starved for the sake of another.
    fn value(&self, model: usize, groups: f64) -> f64 {
        let needed = self.targets[model] * size(&self.models[model]) as f64;
        let load = self.targets[model] / (groups + SMOOTHING);
        -needed * load * load
    }

    /// Returns for each domain, of which the numbers of VMs are given, how many of its VMs should
    /// have each model.
    ///
    /// The best composition often has one model in most domains, since their spare VMs can then
    /// replace any member. Moving VMs domain by domain does not lead from mixed domains to these,
    /// so several divisions of whole domains are improved, too.
    pub fn compose(&self, domains: &[usize]) -> Vec<Vec<usize>> {
        let models = self.models.len();
        if models == 0 {
            return domains.iter().map(|_| Vec::new()).collect();
        }
        let pairs = (0..models).flat_map(|from| (0..models).map(move |to| (from, to)));
        let shifts = pairs.filter(|(from, to)| from != to).map(Some).chain([None]);
        let divided = shifts.map(|shift| self.divide(domains, shift));
        let mixed = domains.iter().map(|vms| self.first_only(0, *vms)).collect();
        divided
            .chain([mixed])
            .map(|start| self.improved(start))
            .max_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, composed)| composed)
            .unwrap_or_default()
    }

    /// A domain whose VMs all have one model.
    fn first_only(&self, model: usize, vms: usize) -> Vec<usize> {
        let mut counts = vec![0; self.models.len()];
        counts[model] = vms;
        counts
    }

    /// Gives whole domains to the models in proportion to the VMs that they need, successive
    /// domains to different models where possible, so that each zone has all of them. With `shift`,
    /// one domain of its first model goes to its second one.
    fn divide(&self, domains: &[usize], shift: Option<(usize, usize)>) -> Vec<Vec<usize>> {
        let needed = |index: usize| self.targets[index] * size(&self.models[index]) as f64;
        let total: f64 = (0..self.models.len()).map(needed).sum();
        let share = |index| needed(index) / total.max(f64::MIN_POSITIVE) * domains.len() as f64;
        let mut left: Vec<f64> = (0..self.models.len()).map(share).collect();
        if let Some((from, to)) = shift {
            left[from] -= 1.0;
            left[to] += 1.0;
        }
        let next = |left: &[f64]| (0..left.len()).max_by(|a, b| left[*a].total_cmp(&left[*b]));
        domains
            .iter()
            .map(|vms| {
                let model = next(&left).unwrap_or(0);
                left[model] -= 1.0;
                self.first_only(model, *vms)
            })
            .collect()
    }

    /// Improves the composition of each domain, given those of the others, and returns the value
    /// of all groups with it.
    fn improved(&self, mut composed: Vec<Vec<usize>>) -> (f64, Vec<Vec<usize>>) {
        let expected = |model: usize| {
            composed.iter().map(|counts| self.groups(model, counts[model])).sum::<f64>()
        };
        let mut totals: Vec<f64> = (0..self.models.len()).map(expected).collect();
        for _ in 0..MAX_PASSES {
            let mut changed = false;
            for counts in &mut composed {
                changed |= self.improve(counts, &mut totals);
            }
            if !changed {
                break;
            }
        }
        let value = |(model, groups): (usize, &f64)| self.value(model, *groups);
        (totals.iter().enumerate().map(value).sum(), composed)
    }

    /// Moves VMs of a domain from one model to another as long as that adds value; returns whether
    /// any was moved.
    fn improve(&self, counts: &mut [usize], totals: &mut [f64]) -> bool {
        let mut changed = false;
        while let Some(best) = self.best_move(counts, totals) {
            let Move { from, to, vms, .. } = best;
            for (model, next) in [(from, counts[from] - vms), (to, counts[to] + vms)] {
                totals[model] += self.groups(model, next) - self.groups(model, counts[model]);
                counts[model] = next;
            }
            changed = true;
        }
        changed
    }

    fn best_move(&self, counts: &[usize], totals: &[f64]) -> Option<Move> {
        let pairs = (0..counts.len()).flat_map(|from| (0..counts.len()).map(move |to| (from, to)));
        pairs
            .filter(|(from, to)| from != to)
            .flat_map(|(from, to)| (1..=counts[from]).map(move |vms| (from, to, vms)))
            .map(|(from, to, vms)| {
                let lost = self.gain(from, totals[from], counts[from], counts[from] - vms);
                let won = self.gain(to, totals[to], counts[to], counts[to] + vms);
                Move { from, to, vms, gain: lost + won }
            })
            .filter(|one| one.gain > MIN_IMPROVEMENT)
            .max_by(|a, b| a.gain.total_cmp(&b.gain))
    }
}

/// A change of the model of some VMs of a domain.
#[derive(Clone, Copy, Debug)]
struct Move {
    /// Index of the model that they have.
    from: usize,
    /// Index of the model that they are to have.
    to: usize,
    vms: usize,
    /// Change of the value of all groups.
    gain: f64,
}

/// Number of VMs in a group of the model, at least 1.
pub(super) fn size(model: &deployment::Model) -> usize {
    usize::try_from(model.size).unwrap_or(usize::MAX).max(1)
}

/// Expected number of groups of `size` that `vms` VMs form if each is missing with the small
/// probability `missing`, so that the number of missing ones has a Poisson distribution.
fn expected_groups(vms: usize, size: usize, missing: f64) -> f64 {
    let mean = vms as f64 * missing;
    let mut probability = (-mean).exp();
    let mut expected = 0.0;
    let mut left = 1.0;
    for lost in 0..=vms {
        expected += probability * ((vms - lost) / size) as f64;
        left -= probability;
        if left < MIN_PROBABILITY {
            break;
        }
        probability *= mean / (lost + 1) as f64;
    }
    expected
}

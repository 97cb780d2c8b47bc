//! How many groups the VMs of a fabric domain are expected to form while VMs are lost, and which
//! models the VMs of each domain should have.
//!
//! VMs that are left over after forming groups replace lost members. A number of VMs with one model
//! is therefore worth the groups that it can form without those that will be lost before others
//! have loaded the model in their place.

use std::collections;

use crate::deployment;

/// Added to the number of groups, so that the value of none is finite.
const SMOOTHING: f64 = 0.5;

/// Smallest improvement for which a composition is changed.
const MIN_IMPROVEMENT: f64 = 1e-6;

/// Weight of the value that is left after the loss of a zone, next to the value with all zones.
const ZONE_LOSS_WEIGHT: f64 = 0.3;

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
/// let rooms = [0, 0, 1, 1, 2, 2].map(|zone| formation::Room { vms: 11, zone });
/// assert!(outlook.compose(&rooms).iter().all(|counts| counts[0] >= 6 && counts[1] >= 3));
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

    /// Number of groups of each model that suffices for the load.
    pub(super) fn targets(&self) -> &[f64] {
        &self.targets
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

    /// Value of a number of groups of a model, see [`value`].
    fn value(&self, model: usize, groups: f64) -> f64 {
        value(self.targets[model], size(&self.models[model]), groups)
    }

    /// Returns for each domain how many of its VMs should have each model.
    ///
    /// The best composition often has one model in most domains, since their spare VMs can then
    /// replace any member. Moving VMs domain by domain does not lead from mixed domains to these,
    /// so several divisions of whole domains are improved, too.
    pub fn compose(&self, rooms: &[Room]) -> Vec<Vec<usize>> {
        let models = self.models.len();
        if models == 0 {
            return rooms.iter().map(|_| Vec::new()).collect();
        }
        let pairs = (0..models).flat_map(|from| (0..models).map(move |to| (from, to)));
        let shifts = pairs.filter(|(from, to)| from != to).map(Some).chain([None]);
        let divided = shifts.map(|shift| self.divide(rooms, shift));
        let mixed = rooms.iter().map(|room| self.single(0, room.vms)).collect();
        divided
            .chain([mixed])
            .map(|start| self.improved(rooms, start))
            .max_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, composed)| composed)
            .unwrap_or_default()
    }

    /// A domain whose VMs all have one model.
    fn single(&self, model: usize, vms: usize) -> Vec<usize> {
        let mut counts = vec![0; self.models.len()];
        counts[model] = vms;
        counts
    }

    /// Gives whole domains to the models in proportion to the VMs that they need. With `shift`, one
    /// domain of its first model goes to its second one.
    fn divide(&self, rooms: &[Room], shift: Option<(usize, usize)>) -> Vec<Vec<usize>> {
        let needed = |index: usize| self.targets[index] * size(&self.models[index]) as f64;
        let total: f64 = (0..self.models.len()).map(needed).sum();
        let share = |index| needed(index) / total.max(f64::MIN_POSITIVE) * rooms.len() as f64;
        let mut left: Vec<f64> = (0..self.models.len()).map(share).collect();
        if let Some((from, to)) = shift {
            left[from] -= 1.0;
            left[to] += 1.0;
        }
        let next = |left: &[f64]| (0..left.len()).max_by(|a, b| left[*a].total_cmp(&left[*b]));
        rooms
            .iter()
            .map(|room| {
                let model = next(&left).unwrap_or(0);
                left[model] -= 1.0;
                self.single(model, room.vms)
            })
            .collect()
    }

    /// Improves the composition of each domain, given those of the others, and returns the value
    /// of all groups with it.
    fn improved(&self, rooms: &[Room], mut composed: Vec<Vec<usize>>) -> (f64, Vec<Vec<usize>>) {
        let mut scenarios = self.scenarios(rooms, &composed);
        for _ in 0..MAX_PASSES {
            let mut changed = false;
            for (room, counts) in rooms.iter().zip(&mut composed) {
                changed |= self.improve(room, counts, &mut scenarios);
            }
            if !changed {
                break;
            }
        }
        let value = |scenario: &Scenario| {
            let models = scenario.totals.iter().enumerate();
            scenario.weight * models.map(|(model, total)| self.value(model, *total)).sum::<f64>()
        };
        (scenarios.iter().map(value).sum(), composed)
    }

    /// Expected groups with all zones, and without each one of several zones.
    fn scenarios(&self, rooms: &[Room], composed: &[Vec<usize>]) -> Vec<Scenario> {
        let zones: collections::BTreeSet<usize> = rooms.iter().map(|room| room.zone).collect();
        let weight = ZONE_LOSS_WEIGHT / zones.len().max(1) as f64;
        let losses = zones.iter().map(|zone| (Some(*zone), weight)).filter(|_| zones.len() > 1);
        let scenario = |(lost, weight): (Option<usize>, f64)| {
            let total = |model: usize| {
                let left = rooms.iter().zip(composed).filter(|(room, _)| Some(room.zone) != lost);
                left.map(|(_, counts)| self.groups(model, counts[model])).sum()
            };
            Scenario { lost, weight, totals: (0..self.models.len()).map(total).collect() }
        };
        [(None, 1.0)].into_iter().chain(losses).map(scenario).collect()
    }

    /// Moves VMs of a domain from one model to another as long as that adds value; returns whether
    /// any was moved.
    fn improve(&self, room: &Room, counts: &mut [usize], scenarios: &mut [Scenario]) -> bool {
        let mut changed = false;
        while let Some(best) = self.best_move(room, counts, scenarios) {
            let Move { from, to, vms, .. } = best;
            for (model, next) in [(from, counts[from] - vms), (to, counts[to] + vms)] {
                let change = self.groups(model, next) - self.groups(model, counts[model]);
                let present = scenarios.iter_mut().filter(|one| one.lost != Some(room.zone));
                present.for_each(|scenario| scenario.totals[model] += change);
                counts[model] = next;
            }
            changed = true;
        }
        changed
    }

    fn best_move(&self, room: &Room, counts: &[usize], scenarios: &[Scenario]) -> Option<Move> {
        let gain = |from: usize, to: usize, vms: usize| {
            let present = scenarios.iter().filter(|scenario| scenario.lost != Some(room.zone));
            let gains = present.map(|Scenario { weight, totals, .. }| {
                let lost = self.gain(from, totals[from], counts[from], counts[from] - vms);
                weight * (lost + self.gain(to, totals[to], counts[to], counts[to] + vms))
            });
            gains.sum::<f64>()
        };
        let pairs = (0..counts.len()).flat_map(|from| (0..counts.len()).map(move |to| (from, to)));
        pairs
            .filter(|(from, to)| from != to)
            .flat_map(|(from, to)| (1..=counts[from]).map(move |vms| (from, to, vms)))
            .map(|(from, to, vms)| Move { from, to, vms, gain: gain(from, to, vms) })
            .filter(|one| one.gain > MIN_IMPROVEMENT)
            .max_by(|a, b| a.gain.total_cmp(&b.gain))
    }
}

/// A fabric domain whose VMs are to be divided between models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Number of VMs that may be members of groups.
    pub vms: usize,
    /// Number of its availability zone.
    pub zone: usize,
}

/// Expected groups over all domains, if no zone or a certain one is lost.
#[derive(Clone, Debug)]
struct Scenario {
    lost: Option<usize>,
    /// Factor on the value.
    weight: f64,
    /// Expected groups by model.
    totals: Vec<f64>,
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

/// Value of a number of groups of `size` VMs where `target` are needed, which is negative. It falls with
/// the square of the load of each group, as waiting times do, so that no model is starved for the sake
/// of another.
pub(super) fn value(target: f64, size: usize, groups: f64) -> f64 {
    let load = target / (groups + SMOOTHING);
    -target * size as f64 * load * load
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

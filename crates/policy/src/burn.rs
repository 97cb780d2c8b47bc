//! Counts against service-level targets, and the rate at which errors burn the error budget.
//!
//! Each node records counts by service and organisation over the last 24 hours. The report adds up
//! the totals of all nodes and evaluates them in a short and a long window.

mod counts;
mod rating;
mod series;

use std::{collections, time};

use corneltrestle_time::moment;

use crate::id;

pub use counts::Counts;
pub use rating::{Rating, Verdict, evaluate};

/// Counts of one service and organisation in each window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Totals {
    /// The last 5 minutes.
    pub short: Counts,
    /// The last hour.
    pub long: Counts,
    /// The last 24 hours, which the error budget covers.
    pub day: Counts,
}

impl Totals {
    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Totals) {
        self.short.add(&other.short);
        self.long.add(&other.long);
        self.day.add(&other.day);
    }
}

/// Records the counts of one node by service and organisation.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::Moment;
/// use corneltrestle_policy::burn::{self, Recorder, Counts, Verdict};
/// use corneltrestle_policy::release::Targets;
///
/// let (mut burn, mut counts) = (Recorder::default(), Counts::default());
/// counts.request(true);
/// burn.record("verse-models", "a", &counts, Moment::ZERO);
/// for (_service, _organisation, totals) in burn.totals(Moment::ZERO) {
///     let ratings = burn::evaluate(&totals, &Targets::default());
///     assert_eq!(Verdict::of(&ratings), Verdict::Ok);
/// }
/// ```
#[derive(Debug, Default)]
pub struct Recorder {
    series:
        collections::BTreeMap<id::Service, collections::BTreeMap<id::Organisation, series::Series>>,
    /// Number of pairs of service and organisation in `series`.
    pairs: usize,
}

impl Recorder {
    /// Limit on the pairs of service and organisation; each takes about 13 KB.
    pub const MAX_PAIRS: usize = 1_024;
    /// Length of the short window.
    pub const SHORT_WINDOW: time::Duration = time::Duration::from_secs(300);
    /// Length of the long window.
    pub const LONG_WINDOW: time::Duration = time::Duration::from_secs(3_600);

    /// Adds counts at `now`. Returns false, and drops them, if they belong to a new pair and there
    /// are [`Recorder::MAX_PAIRS`] already.
    pub fn record(
        &mut self,
        service: &str,
        org: &str,
        counts: &Counts,
        now: moment::Moment,
    ) -> bool {
        if let Some(series) = self.series.get_mut(service).and_then(|all| all.get_mut(org)) {
            series.record(counts, now);
            return true;
        }
        if self.pairs >= Self::MAX_PAIRS {
            return false;
        }
        let series = self.series.entry(service.into()).or_default().entry(org.into()).or_default();
        series.record(counts, now);
        self.pairs += 1;
        true
    }

    /// Removes the pairs for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Service, &id::Organisation) -> bool) {
        self.series.retain(|service, all| {
            all.retain(|organisation, _| keep(service, organisation));
            !all.is_empty()
        });
        self.pairs = self.series.values().map(collections::BTreeMap::len).sum();
    }

    /// The totals of each pair at `now`.
    pub fn totals(
        &self,
        now: moment::Moment,
    ) -> impl Iterator<Item = (&id::Service, &id::Organisation, Totals)> {
        self.series.iter().flat_map(move |(service, all)| {
            all.iter().map(move |(org, series)| (service, org, series.totals(now)))
        })
    }

    /// The last 24 hours of a pair, as ages in minutes with the counts at that age. No request is
    /// counted twice. Counts older than an hour are in steps of ten minutes, at the age of the
    /// step's end; entries without counts are left out.
    pub fn history(&self, service: &str, org: &str, now: moment::Moment) -> Vec<(u32, Counts)> {
        let series = self.series.get(service).and_then(|all| all.get(org));
        series.map(|series| series.history(now)).unwrap_or_default()
    }

    /// The last 60 minutes of a pair, minute by minute, the current one first. Empty for an unknown
    /// pair.
    pub fn minutes(&self, service: &str, org: &str, now: moment::Moment) -> Vec<Counts> {
        let series = self.series.get(service).and_then(|all| all.get(org));
        series.map(|series| series.minutes(now)).unwrap_or_default()
    }
}

//! Quarantine of prompt parts that crash upstreams.
//!
//! A fault of an engine may make it crash whenever it begins to answer a prompt with a certain part.
//! Such a request takes down each upstream that it is sent to, with the requests of others. The part
//! is found by elimination: it is in requests that were lost with their upstreams before they began,
//! and in none that has begun.

use std::{collections, time};

use corneltrestle_time::moment;
use xxhash_rust::xxh3;

/// Different requests with a part that must have been lost before it is quarantined.
const MIN_REQUESTS: usize = 2;

/// Time within which failures at one upstream are one crash.
const CRASH_SPAN: time::Duration = time::Duration::from_secs(2);

/// Age from which a crash is evidence. By then the node knows of those before it, which may explain
/// it.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(150);

/// Time from a crash in which requests are still sent to its upstream. One that is lost then has met
/// an upstream that was down.
const DOWN_SPAN: time::Duration = time::Duration::from_secs(5);

/// Time for which a part is not suspected after a request with it has begun.
const SOUND_RETENTION: time::Duration = time::Duration::from_secs(30);

/// Limit on the crashes that are kept.
const MAX_CRASHES: usize = 256;

/// Limit on the sound parts that are kept.
const MAX_SOUND: usize = 16_384;

/// Limit on the quarantined parts.
const MAX_QUARANTINED: usize = 64;

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u64);

impl Part {
    /// The part with this identifier.
    pub fn of(id: &str) -> Self {
        Self(hash(id))
    }
}

/// Short form of the identifier of an upstream, a request or a part.
pub fn hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

/// A request that was lost with its upstream before it began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the upstream's process; another one after a restart.
    pub upstream: u64,
    /// Hash of the request's identifier.
    pub request: u64,
    /// Its parts that are not known to be sound.
    pub parts: Vec<Part>,
    /// When the request was sent.
    pub sent: moment::Moment,
    /// When the upstream failed.
    pub at: moment::Moment,
}

/// When a part is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Crashes with a part after which it is quarantined. Some upstreams are lost for another reason,
    /// and some evidence is lost between nodes.
    pub crashes: usize,
    /// Time after which one request with a quarantined part is tried; doubled after each crash by
    /// such a trial. Each node adds up to half of it, so that one trial is over before the next.
    pub trial: time::Duration,
    /// Longest time between two trials, and time for which a crash is evidence.
    pub retention: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let (trial, retention) = (time::Duration::from_secs(20), time::Duration::from_secs(600));
        Self { crashes: 4, trial, retention }
    }
}

/// A part that is quarantined.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quarantined {
    /// When an upstream last crashed on it, or a trial began.
    crashed: moment::Moment,
    /// Time from then until the next trial.
    wait: time::Duration,
}

/// A crash of one upstream, with the parts that may have caused it.
#[derive(Clone, Debug)]
struct Incident {
    parts: collections::BTreeSet<Part>,
    at: moment::Moment,
}

/// Crashes and the parts that explain them, as far as this node knows.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, quarantine::{Crash, Part, Quarantine}};
///
/// let (mut quarantine, now) = (Quarantine::default(), Moment::from_millis(1_000));
/// let (shared, faulty) = (Part::of("5c1e07a2"), Part::of("91bd3f06"));
/// quarantine.record_sound(&[shared], now);
/// for number in 0..4 {
///     let parts = vec![shared, faulty];
///     let crash = Crash { upstream: number, request: number, parts, sent: now, at: now };
///     quarantine.record_crash(crash);
/// }
/// let later = Moment::from_millis(2_000);
/// assert!(quarantine.check(&[shared, faulty], later).is_some());
/// assert!(quarantine.check(&[shared], later).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    limits: Limits,
    crashes: collections::VecDeque<Crash>,
    /// When a request with each part last began.
    sound: collections::HashMap<Part, moment::Moment>,
    quarantined: collections::BTreeMap<Part, Quarantined>,
    /// Whether the crashes were evaluated since the last change, and all were old enough.
    is_settled: bool,
    /// Parts that explain the crashes, with the others that do so as well.
    ambiguous: collections::BTreeMap<Part, Vec<Part>>,
    /// Distinguishes the nodes, see [`Limits::trial`].
    salt: u64,
}

impl Quarantine {
    /// Creates a quarantine without any crash; `salt` is different at each node.
    pub fn new(limits: Limits, salt: u64) -> Self {
        Self { limits, salt, ..Self::default() }
    }

    /// Whether a request with these parts may explain a crash.
    pub fn suspects(&self, parts: &[Part], now: moment::Moment) -> bool {
        parts.iter().any(|part| !self.is_sound(*part, now))
    }

    /// Records a request that was lost with its upstream. Returns the crash with the parts that are
    /// suspected, or `None` if it is known already or suspects none.
    pub fn record_crash(&mut self, mut crash: Crash) -> Option<Crash> {
        crash.parts.retain(|part| !self.is_sound(*part, crash.at));
        crash.parts.sort_unstable();
        crash.parts.dedup();
        let is_known = |known: &Crash| {
            known.request == crash.request && is_same(known, &crash) && known.parts == crash.parts
        };
        let is_explained = self.was_down(crash.upstream, crash.sent);
        if crash.parts.is_empty() || is_explained || self.crashes.iter().any(is_known) {
            return None;
        }
        self.crashes.retain(|later| !is_down_after(&crash, later.upstream, later.sent));
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash.clone());
        self.is_settled = false;
        Some(crash)
    }

    /// Records that a request with these parts has begun. Returns those that were suspected.
    pub fn record_sound(&mut self, parts: &[Part], now: moment::Moment) -> Vec<Part> {
        let mut cleared = Vec::new();
        for part in parts {
            if self.is_suspected(*part) {
                cleared.push(*part);
            }
            self.clear(*part, now);
        }
        cleared
    }

    /// Records that a request with this part began at `at`, which clears it of the crashes until
    /// then and shortly after.
    pub fn clear(&mut self, part: Part, at: moment::Moment) {
        if let Some(known) = self.sound.get_mut(&part) {
            *known = at.max(*known);
        } else if self.sound.len() < MAX_SOUND {
            self.sound.insert(part, at);
        }
        let is_cleared = |crashed: moment::Moment| crashed <= at + SOUND_RETENTION;
        for crash in self.crashes.iter_mut().filter(|crash| is_cleared(crash.at)) {
            let known = crash.parts.len();
            crash.parts.retain(|suspect| *suspect != part);
            self.is_settled &= crash.parts.len() == known;
        }
        self.crashes.retain(|crash| !crash.parts.is_empty());
        if self.quarantined.get(&part).is_some_and(|known| is_cleared(known.crashed)) {
            self.quarantined.remove(&part);
        }
    }

    /// Adopts the quarantine of a part from another node, with the time of its latest crash. Returns
    /// when a request with it began, if that clears it.
    pub fn adopt(&mut self, part: Part, crashed: moment::Moment) -> Option<moment::Moment> {
        if self.is_sound(part, crashed) {
            return self.sound.get(&part).copied();
        }
        self.insert(part, crashed);
        None
    }

    /// Whether an upstream was down when a request was sent to it, so that the request cannot have
    /// crashed it.
    pub fn was_down(&self, upstream: u64, sent: moment::Moment) -> bool {
        self.crashes.iter().any(|crash| is_down_after(crash, upstream, sent))
    }

    /// Time after which a request with these parts may be tried, if one of them is quarantined.
    /// After that time one request is allowed.
    pub fn check(&mut self, parts: &[Part], now: moment::Moment) -> Option<time::Duration> {
        self.settle(now);
        for part in parts {
            if let Some(known) = self.quarantined.get(part).copied() {
                let left = (known.crashed + self.until_trial(*part, &known)).since(now);
                if left > time::Duration::ZERO {
                    return Some(left);
                }
                self.insert(*part, now);
            } else if let Some(others) = self.ambiguous.get(part)
                && others.iter().all(|other| parts.contains(other))
            {
                return Some(self.limits.trial);
            }
        }
        None
    }

    /// The quarantined parts with the times of their latest crashes.
    pub fn quarantined(&self) -> impl Iterator<Item = (Part, moment::Moment)> + '_ {
        self.quarantined.iter().map(|(part, known)| (*part, known.crashed))
    }

    /// Quarantines the parts that explain the crashes. Where several do, only requests with all of
    /// them are held back, and one without the faulty part clears the others. Returns the parts that
    /// were not quarantined.
    pub fn settle(&mut self, now: moment::Moment) -> Vec<Part> {
        if self.is_settled {
            return Vec::new();
        }
        self.is_settled = self.crashes.iter().all(|crash| now.since(crash.at) >= SETTLE_TIME);
        self.ambiguous.clear();
        let incidents = self.incidents();
        let with = |part: &Part| -> Vec<&Incident> {
            incidents.iter().filter(|incident| incident.parts.contains(part)).collect()
        };
        let suspects: collections::BTreeSet<Part> =
            incidents.iter().flat_map(|incident| incident.parts.iter().copied()).collect();
        let conclusive: Vec<Part> = suspects
            .iter()
            .copied()
            .filter(|part| with(part).len() >= self.limits.crashes && self.has_settled(*part, now))
            .collect();
        let mut found = Vec::new();
        for part in &conclusive {
            let known = with(part);
            let explains = |other: &&Part| {
                let common = known.iter().filter(|incident| incident.parts.contains(*other));
                let common = common.count();
                let is_enough = common >= self.limits.crashes;
                *other != part && is_enough && known.len() - common < self.limits.crashes
            };
            let others: Vec<Part> = suspects.iter().filter(explains).copied().collect();
            let crashed = known.iter().map(|incident| incident.at).max();
            if !others.is_empty() {
                self.ambiguous.insert(*part, others);
            } else if let Some(crashed) = crashed {
                found.push((*part, crashed));
            }
        }
        let is_new = |part: &Part| !self.quarantined.contains_key(part);
        let new = found.iter().map(|(part, _)| *part).filter(is_new).collect();
        found.into_iter().for_each(|(part, crashed)| self.insert(part, crashed));
        new
    }

    /// Drops what is too old.
    pub fn prune(&mut self, now: moment::Moment) {
        self.sound.retain(|_, at| now.since(*at) < SOUND_RETENTION);
        self.crashes.retain(|crash| now.since(crash.at) < self.limits.retention);
        self.quarantined.retain(|_, known| now.since(known.crashed) < self.limits.retention * 2);
    }

    fn insert(&mut self, part: Part, crashed: moment::Moment) {
        let Limits { trial, retention, .. } = self.limits;
        if let Some(known) = self.quarantined.get_mut(&part) {
            if crashed.since(known.crashed) >= known.wait {
                known.wait = (known.wait * 2).min(retention);
            }
            known.crashed = crashed.max(known.crashed);
        } else if self.quarantined.len() < MAX_QUARANTINED {
            self.quarantined.insert(part, Quarantined { crashed, wait: trial });
        }
    }

    /// Time from the latest crash on a part until this node tries a request with it.
    fn until_trial(&self, part: Part, known: &Quarantined) -> time::Duration {
        let place = hash_numbers(&[self.salt, part.0, known.crashed.as_millis()]) % 1_000;
        known.wait + known.wait.mul_f64(place as f64 / 2_000.0)
    }

    fn is_sound(&self, part: Part, crashed: moment::Moment) -> bool {
        self.sound.get(&part).is_some_and(|at| crashed <= *at + SOUND_RETENTION)
    }

    fn is_suspected(&self, part: Part) -> bool {
        self.quarantined.contains_key(&part) || self.with(part).next().is_some()
    }

    fn with(&self, part: Part) -> impl Iterator<Item = &Crash> + '_ {
        self.crashes.iter().filter(move |crash| crash.parts.contains(&part))
    }

    /// The crashes of upstreams, each with the parts of the requests that may have caused it. Of the
    /// requests that one upstream took along, those that were lost with most upstreams did.
    fn incidents(&self) -> Vec<Incident> {
        let mut groups: Vec<Vec<&Crash>> = Vec::new();
        for crash in &self.crashes {
            match groups.iter_mut().find(|group| is_same(group[0], crash)) {
                Some(group) => group.push(crash),
                None => groups.push(vec![crash]),
            }
        }
        let mut losses: collections::BTreeMap<u64, usize> = collections::BTreeMap::new();
        for group in &groups {
            let requests: collections::BTreeSet<u64> =
                group.iter().map(|crash| crash.request).collect();
            requests.into_iter().for_each(|request| *losses.entry(request).or_default() += 1);
        }
        let incident = |group: &Vec<&Crash>| {
            let most = group.iter().map(|crash| losses[&crash.request]).max();
            let causes = group.iter().filter(|crash| Some(losses[&crash.request]) == most);
            let at = group[0].at;
            Incident { parts: causes.flat_map(|crash| crash.parts.iter().copied()).collect(), at }
        };
        groups.iter().map(incident).collect()
    }

    /// Whether enough requests with a part were lost, and nodes had the time to tell of it.
    fn has_settled(&self, part: Part, now: moment::Moment) -> bool {
        let settled = self.with(part).filter(|crash| now.since(crash.at) >= SETTLE_TIME);
        let requests: collections::BTreeSet<u64> = settled.map(|crash| crash.request).collect();
        requests.len() >= MIN_REQUESTS
    }
}

fn hash_numbers(numbers: &[u64; 3]) -> u64 {
    numbers.iter().fold(0, |seed, number| xxh3::xxh3_64_with_seed(&number.to_le_bytes(), seed))
}

/// Whether an upstream was down, after a crash, when a request was sent to it.
fn is_down_after(crash: &Crash, upstream: u64, sent: moment::Moment) -> bool {
    crash.upstream == upstream && crash.at <= sent && sent.since(crash.at) < DOWN_SPAN
}

/// Whether two failures are of the same crash of an upstream.
fn is_same(one: &Crash, other: &Crash) -> bool {
    let apart = one.at.since(other.at).max(other.at.since(one.at));
    one.upstream == other.upstream && apart < CRASH_SPAN
}

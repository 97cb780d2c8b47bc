//! Prompt parts that crash upstreams, and what other nodes are still to be told about them.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{
    id,
    quarantine::{self, Crash, Part},
};
use corneltrestle_time::moment;

/// Limit on what waits to be sent, of each kind, so that it fits into one datagram.
const MAX_UNSENT: usize = 8;

/// Time for which it is remembered whether an upstream answered a probe.
const CHECK_RETENTION: time::Duration = time::Duration::from_secs(1);

/// Limit on the requests that wait for the probe of one upstream.
const MAX_LOST: usize = 32;

/// Prompt parts that crash upstreams; lock rank 53.
#[derive(Debug, Default)]
pub struct Quarantine {
    parts: quarantine::Quarantine,
    unsent: Evidence,
    checks: collections::HashMap<id::Vm, Check>,
}

/// A probe that tells whether an upstream has crashed.
#[derive(Debug)]
struct Check {
    begun: moment::Moment,
    /// Whether it answered; `None` while the probe runs.
    answered: Option<bool>,
    /// Requests that were lost with it.
    lost: Vec<Crash>,
}

/// What a node has observed since it last told the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Requests that were lost with their upstreams.
    pub crashes: Vec<Crash>,
    /// Suspected parts with which a request began, and when.
    pub sound: Vec<(Part, moment::Moment)>,
}

impl Evidence {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }
}

impl table::Ranked for Quarantine {
    const RANK: u16 = 53;
    const NAME: &'static str = "quarantine";
}

impl Quarantine {
    /// Creates a quarantine without any crash.
    pub fn new(limits: quarantine::Limits, salt: u64) -> Self {
        Self { parts: quarantine::Quarantine::new(limits, salt), ..Self::default() }
    }

    /// What is known of the parts.
    pub fn parts(&mut self) -> &mut quarantine::Quarantine {
        &mut self.parts
    }

    /// Records a request that failed before it began, if it may have crashed its upstream. Returns
    /// whether to probe the upstream.
    pub fn begin_check(&mut self, upstream: &id::Vm, crash: Crash) -> bool {
        let Crash { sent, at: now, .. } = crash;
        // The caller of a request that waited for a probe may have left.
        self.checks.retain(|_, check| now.since(check.begun) < CHECK_RETENTION);
        let known = self.checks.get(upstream);
        let is_down =
            known.is_some_and(|check| check.answered != Some(true) && check.begun <= sent);
        if is_down
            || self.parts.was_down(crash.upstream, sent)
            || !self.parts.suspects(&crash.parts, now)
        {
            return false;
        }
        match self.checks.get_mut(upstream) {
            None => {
                let check = Check { begun: now, answered: None, lost: vec![crash] };
                self.checks.insert(upstream.clone(), check);
                return true;
            }
            Some(Check { answered: None, lost, .. }) if lost.len() < MAX_LOST => lost.push(crash),
            Some(Check { answered: Some(false), .. }) => self.record_crash(crash),
            Some(_) => {}
        }
        false
    }

    /// Records whether an upstream answered the probe that began last. If it did not, it has crashed
    /// with the requests that it had.
    pub fn end_check(&mut self, upstream: &str, answered: bool) {
        let Some(check) = self.checks.get_mut(upstream) else { return };
        check.answered = Some(answered);
        let lost = std::mem::take(&mut check.lost);
        if !answered {
            lost.into_iter().for_each(|crash| self.record_crash(crash));
        }
    }

    /// Records a request of this node that was lost with its upstream, for the other nodes too.
    fn record_crash(&mut self, crash: Crash) {
        let Some(crash) = self.parts.record_crash(crash) else { return };
        if self.unsent.crashes.len() < MAX_UNSENT {
            self.unsent.crashes.push(crash);
        }
    }

    /// Records that a request of this node with these parts has begun, for the other nodes if one
    /// was suspected.
    pub fn record_sound(&mut self, parts: &[Part], now: moment::Moment) {
        for part in self.parts.record_sound(parts, now) {
            self.push_sound(part, now);
        }
    }

    /// Records a crash that another node reports.
    pub fn receive_crash(&mut self, crash: Crash) {
        self.parts.record_crash(crash);
    }

    /// Adopts a quarantine that another node reports, or tells it that the part is sound.
    pub fn receive_quarantined(&mut self, part: Part, crashed: moment::Moment) {
        if let Some(at) = self.parts.adopt(part, crashed) {
            self.push_sound(part, at);
        }
    }

    /// Quarantines the parts that explain the crashes, and drops what is too old.
    pub fn tick(&mut self, now: moment::Moment) {
        for part in self.parts.settle(now) {
            log::warn!(
                part = format!("{:016x}", part.0);
                "quarantine: a part of prompts crashes upstreams; requests with it are refused"
            );
        }
        self.parts.prune(now);
    }

    /// What has not been sent to the other nodes yet.
    pub fn take_unsent(&mut self) -> Evidence {
        std::mem::take(&mut self.unsent)
    }

    fn push_sound(&mut self, part: Part, at: moment::Moment) {
        if self.unsent.sound.len() < MAX_UNSENT {
            self.unsent.sound.push((part, at));
        }
    }
}

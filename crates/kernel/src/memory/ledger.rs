//! The table of the holdings of a budget: carries out what [`corneltrestle_policy::memory`] decides.

use std::{collections, task};

use corneltrestle_policy::memory::{
    self as policy, Cause, Demand, Eviction, Holder, Limits, Phase, Usage, Verdict,
};
use corneltrestle_time::moment::Moment;

use super::{Refused, report};
use crate::table;

/// The table of holdings; its lock is the last in the lock order.
#[derive(Debug)]
pub(super) struct Ledger {
    limits: Limits,
    pub(super) usage: Usage,
    pub(super) by_kind: [usize; policy::KINDS],
    reports: report::Reports,
    pub(super) holders: collections::BTreeMap<u64, Entry>,
    /// Tasks that wait for bytes, by holder.
    pub(super) waiting: collections::BTreeMap<u64, task::Waker>,
    next_id: u64,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) holder: Holder,
    /// Woken when the holder is evicted.
    pub(super) evicted: Option<task::Waker>,
}

impl table::Ranked for Ledger {
    const RANK: u16 = u16::MAX;
    const NAME: &'static str = "memory";
}

/// What has become of a demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decided {
    Granted,
    /// It waits for released bytes, and is decided again at this moment at the latest.
    Wait(Option<Moment>),
    Refused(Cause),
}

impl Decided {
    pub(super) fn result(self) -> Result<(), Refused> {
        match self {
            Self::Granted => Ok(()),
            Self::Wait(_) => Err(Refused(Cause::Exhausted)),
            Self::Refused(cause) => Err(Refused(cause)),
        }
    }
}

/// What is to be done once the ledger is unlocked.
#[derive(Debug, Default)]
pub(super) struct Effects {
    /// Tasks to wake.
    pub(super) woken: Vec<task::Waker>,
    pub(super) reports: Vec<report::Report>,
}

impl Effects {
    pub(super) fn carry_out(self) {
        self.woken.into_iter().for_each(task::Waker::wake);
        self.reports.iter().for_each(report::Report::publish);
    }
}

impl Ledger {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            usage: Usage::default(),
            by_kind: [0; policy::KINDS],
            reports: report::Reports::default(),
            holders: collections::BTreeMap::new(),
            waiting: collections::BTreeMap::new(),
            next_id: 0,
        }
    }

    pub(super) fn insert(&mut self, holder: Holder) {
        self.holders.insert(holder.id, Entry { holder, evicted: None });
    }

    pub(super) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Decides a demand until it is granted, waits or is refused, and evicts holders in between.
    pub(super) fn demand(
        &mut self,
        id: u64,
        bytes: usize,
        until: Moment,
        now: Moment,
    ) -> (Decided, Effects) {
        let mut effects = Effects::default();
        let Some(entry) = self.holders.get(&id) else {
            return (Decided::Refused(Cause::Evicted), effects);
        };
        let demand = Demand { holder: entry.holder, bytes, until };
        let decided = loop {
            let holders = self.holders.values().map(|entry| &entry.holder);
            match policy::decide(&self.limits, &self.usage, holders, &demand, now) {
                Verdict::Grant => {
                    self.set_bytes(id, demand.holder.bytes + bytes);
                    break Decided::Granted;
                }
                Verdict::Wait => break Decided::Wait(None),
                Verdict::WaitUntil(at) => break Decided::Wait(Some(at)),
                Verdict::Evict(other, cause) => self.evict(other, cause, now, &mut effects),
                Verdict::Refuse(cause) => {
                    // An eviction has been reported when it was decided.
                    if cause != Cause::Evicted {
                        effects.reports.extend(self.refuse(id, bytes, cause, now).reports);
                    }
                    break Decided::Refused(cause);
                }
            }
        };
        (decided, effects)
    }

    pub(super) fn refuse(&mut self, id: u64, bytes: usize, cause: Cause, now: Moment) -> Effects {
        let mut effects = Effects::default();
        if let Some(entry) = self.holders.get(&id) {
            let held = self.usage.total;
            effects.reports.push(self.reports.refused(cause, &entry.holder, bytes, held, now));
        }
        effects
    }

    pub(super) fn evict(&mut self, id: u64, cause: Eviction, now: Moment, effects: &mut Effects) {
        let Some(entry) = self.holders.get_mut(&id) else { return };
        entry.holder.is_evicted = true;
        effects.woken.extend(entry.evicted.take());
        effects.woken.extend(self.waiting.remove(&id));
        effects.reports.push(self.reports.evicted(cause, &entry.holder, self.usage.total, now));
    }

    pub(super) fn set_phase(&mut self, id: u64, phase: Phase, now: Moment) -> Effects {
        let mut effects = Effects::default();
        let Some(entry) = self.holders.get_mut(&id) else { return effects };
        (entry.holder.phase, entry.holder.progressed) = (phase, now);
        if phase == Phase::Served && entry.holder.is_evicted {
            entry.holder.is_evicted = false;
            // Demands that wait for its bytes have to be decided again.
            effects.woken.extend(std::mem::take(&mut self.waiting).into_values());
        }
        effects
    }

    /// Releases up to `bytes` of a holder, and wakes the tasks that wait for bytes.
    pub(super) fn release(&mut self, id: u64, bytes: usize) -> Effects {
        let mut effects = Effects::default();
        let Some(entry) = self.holders.get(&id) else { return effects };
        let held = entry.holder.bytes;
        if held == 0 {
            return effects;
        }
        self.set_bytes(id, held.saturating_sub(bytes));
        effects.woken.extend(std::mem::take(&mut self.waiting).into_values());
        effects
    }

    /// Records whether a demand of a holder waits for released bytes.
    pub(super) fn set_waiting(&mut self, id: u64, is_waiting: bool) {
        let Some(entry) = self.holders.get_mut(&id) else { return };
        if is_waiting {
            self.waiting.insert(id, task::Waker::noop().clone());
        } else if entry.holder.is_waiting {
            self.waiting.remove(&id);
        }
        entry.holder.is_waiting = is_waiting;
    }

    fn set_bytes(&mut self, id: u64, bytes: usize) {
        let Some(entry) = self.holders.get_mut(&id) else { return };
        self.usage.remove(&self.limits, &entry.holder);
        let kind = &mut self.by_kind[entry.holder.kind.index()];
        *kind = *kind - entry.holder.bytes + bytes;
        entry.holder.bytes = bytes;
        self.usage.add(&self.limits, &entry.holder);
    }
}

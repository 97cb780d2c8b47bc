//! What callers saw.

use std::collections;

use corneltrestle_kernel::table;

use super::check;

/// Longest time to a first token that is told apart, in microseconds.
const FIRST_TOKEN_MAX_US: u64 = 60_000_000;
/// Faults that are described; more are only counted.
const DESCRIBED: usize = 10;

/// What callers saw so far.
#[derive(Debug)]
pub(super) struct Tally {
    /// Counts by kind of request.
    pub kinds: collections::BTreeMap<&'static str, Counts>,
    /// Times to the first token in microseconds.
    pub first: hdrhistogram::Histogram<u64>,
    /// Refusals by code and outcome.
    pub refusals: collections::BTreeMap<(String, String), u64>,
    /// What callers know of the orders, by key.
    pub orders: collections::BTreeMap<String, Order>,
    /// Descriptions of requests that were not answered whole.
    pub faults: Vec<String>,
}

/// Counts of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Counts {
    /// Requests that were sent.
    pub sent: u64,
    /// Complete and right answers.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Answers that were cut off.
    pub cut_off: u64,
    /// Requests without answer.
    pub no_answer: u64,
    /// Answers that were wrong.
    pub wrong: u64,
}

/// What callers know of one order.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    /// The first answer.
    pub answer: Option<Vec<u8>>,
    /// Whether every call so far was refused as not run.
    pub is_refused: bool,
}

impl table::Ranked for Tally {
    const RANK: u16 = 300;
    const NAME: &'static str = "demo-tally";
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            kinds: collections::BTreeMap::new(),
            first: hdrhistogram::Histogram::new_with_bounds(1, FIRST_TOKEN_MAX_US, 3)
                .expect("the bounds are valid"),
            refusals: collections::BTreeMap::new(),
            orders: collections::BTreeMap::new(),
            faults: Vec::new(),
        }
    }
}

impl Counts {
    /// Requests that have ended.
    pub(super) fn ended(&self) -> u64 {
        self.whole + self.refused + self.cut_off + self.no_answer + self.wrong
    }

    /// Adds other counts.
    pub(super) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.refused += other.refused;
        self.cut_off += other.cut_off;
        self.no_answer += other.no_answer;
        self.wrong += other.wrong;
    }
}

impl Tally {
    /// Counts a request that is about to be sent.
    pub(super) fn sent(&mut self, kind: &'static str) {
        self.kinds.entry(kind).or_default().sent += 1;
    }

    /// Counts a refusal by code and outcome.
    pub(super) fn refused(&mut self, code: String, outcome: String) {
        *self.refusals.entry((code, outcome)).or_default() += 1;
    }

    /// Counts the end of a request.
    pub(super) fn ended(&mut self, kind: &'static str, end: check::End) {
        let counts = self.kinds.entry(kind).or_default();
        let fault = match end {
            check::End::Whole(first) => {
                counts.whole += 1;
                if let Some(first) = first {
                    let micros = u64::try_from(first.as_micros()).unwrap_or(u64::MAX);
                    self.first.saturating_record(micros);
                }
                return;
            }
            check::End::Refused { code, outcome, message } => {
                counts.refused += 1;
                let fault = format!("{kind}: refused: {code} ({outcome}): {message}");
                self.refused(code, outcome);
                fault
            }
            check::End::CutOff(cause) => {
                counts.cut_off += 1;
                format!("{kind}: cut off: {cause}")
            }
            check::End::NoAnswer(cause) => {
                counts.no_answer += 1;
                format!("{kind}: no answer: {cause}")
            }
            check::End::Wrong(cause) => {
                counts.wrong += 1;
                format!("{kind}: wrong: {cause}")
            }
        };
        if self.faults.len() < DESCRIBED {
            self.faults.push(fault);
        }
    }

    /// Notes the answer to an order; `None` for a call that was not answered by the service.
    ///
    /// Returns whether the answer is the same as the one before.
    pub(super) fn ordered(&mut self, key: &str, answer: Option<&[u8]>, is_refused: bool) -> bool {
        let order = self
            .orders
            .entry(key.to_owned())
            .or_insert_with(|| Order { answer: None, is_refused: true });
        order.is_refused &= is_refused;
        let Some(answer) = answer else { return true };
        order.answer.get_or_insert_with(|| answer.to_vec()) == answer
    }

    /// Counts over all kinds.
    pub(super) fn total(&self) -> Counts {
        self.kinds.values().fold(Counts::default(), |mut total, counts| {
            total.add(counts);
            total
        })
    }
}

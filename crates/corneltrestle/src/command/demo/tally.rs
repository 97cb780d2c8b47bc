//! Counts of requests and answers as the callers observe them.

use std::collections;

use corneltrestle_kernel::table;

use super::check;

/// Upper bound of the histogram; longer times to the first token are recorded as this one.
const FIRST_TOKEN_MAX_US: u64 = 60_000_000;
/// Limit on the failures that are described; further ones are only counted.
const MAX_DESCRIBED: usize = 10;

/// What callers have observed so far.
#[derive(Debug)]
pub(super) struct Tally {
    /// Requests and how they ended, by kind of request.
    pub kinds: collections::BTreeMap<&'static str, Counts>,
    /// Times to the first token of streamed answers, in microseconds.
    pub first_token_us: hdrhistogram::Histogram<u64>,
    /// Number of refusals by error code and outcome, including those after which the request was
    /// sent again.
    pub refusals: collections::BTreeMap<(String, String), u64>,
    /// What callers know of their orders, by idempotency key.
    pub orders: collections::BTreeMap<String, Order>,
    /// Descriptions of the first requests that did not get a complete answer.
    pub failures: Vec<String>,
}

/// Number of requests of one kind and how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Counts {
    /// Requests that were sent; an order that is sent again after a refusal counts once.
    pub sent: u64,
    /// Complete and correct answers.
    pub whole: u64,
    /// Errors of the system itself.
    pub refused: u64,
    /// Answers that were cut off in a way that the caller noticed.
    pub cut_off: u64,
    /// Calls that failed before an answer started.
    pub no_answer: u64,
    /// Answers that looked complete but were not the expected ones.
    pub wrong: u64,
}

/// What the callers of one idempotency key know.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    /// Body of the first answer of the order service; every later one must be equal.
    pub answer: Option<Vec<u8>>,
    /// Whether all calls so far were refused with the outcome not-run.
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
            first_token_us: hdrhistogram::Histogram::new_with_bounds(1, FIRST_TOKEN_MAX_US, 3)
                .expect("the bounds are valid"),
            refusals: collections::BTreeMap::new(),
            orders: collections::BTreeMap::new(),
            failures: Vec::new(),
        }
    }
}

impl Counts {
    /// Number of requests that have ended.
    pub(super) fn ended(&self) -> u64 {
        self.whole + self.refused + self.cut_off + self.no_answer + self.wrong
    }

    /// Adds the counts of `other`.
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
    /// Records a request that is about to be sent.
    pub(super) fn record_sent(&mut self, kind: &'static str) {
        self.kinds.entry(kind).or_default().sent += 1;
    }

    /// Records a refusal.
    pub(super) fn record_refusal(&mut self, code: String, outcome: String) {
        *self.refusals.entry((code, outcome)).or_default() += 1;
    }

    /// Records how a request ended, and a refusal also with its code and outcome.
    pub(super) fn record_end(&mut self, kind: &'static str, end: check::End) {
        let counts = self.kinds.entry(kind).or_default();
        let failure = match end {
            check::End::Whole(first) => {
                counts.whole += 1;
                if let Some(first) = first {
                    let micros = u64::try_from(first.as_micros()).unwrap_or(u64::MAX);
                    self.first_token_us.saturating_record(micros);
                }
                return;
            }
            check::End::Refused { code, outcome, message } => {
                counts.refused += 1;
                let failure = format!("{kind}: refused: {code} ({outcome}): {message}");
                self.record_refusal(code, outcome);
                failure
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
        if self.failures.len() < MAX_DESCRIBED {
            self.failures.push(failure);
        }
    }

    /// Records a call for an order. `answer` is the body of the order service's answer, if it
    /// answered; `is_refused` says whether the call was refused with the outcome not-run.
    ///
    /// Returns whether the answer is equal to the first one of the key; true without an answer.
    pub(super) fn record_order(
        &mut self,
        key: &str,
        answer: Option<&[u8]>,
        is_refused: bool,
    ) -> bool {
        let order = self
            .orders
            .entry(key.to_owned())
            .or_insert_with(|| Order { answer: None, is_refused: true });
        order.is_refused &= is_refused;
        let Some(answer) = answer else { return true };
        order.answer.get_or_insert_with(|| answer.to_vec()) == answer
    }

    /// Sum over all kinds of requests.
    pub(super) fn total(&self) -> Counts {
        self.kinds.values().fold(Counts::default(), |mut total, counts| {
            total.add(counts);
            total
        })
    }
}

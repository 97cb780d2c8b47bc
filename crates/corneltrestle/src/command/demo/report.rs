//! The final table and the guarantees that it is judged by.

use std::{collections, time};

use comfy_table::presets;

use super::tally;

/// Least share of requests that are answered whole; the remaining zone has the capacity for all.
const WHOLE_MIN: f64 = 0.999;

/// The result of a run.
#[derive(Clone, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Report {
    /// Seed of the requests.
    pub seed: u64,
    /// Time from the first note to an answer from every node, in milliseconds.
    pub serving_ms: u64,
    /// Time of the whole run in milliseconds.
    pub run_ms: u64,
    /// Time that the planned stop of one node under load took, in milliseconds.
    pub restart_ms: u64,
    /// Time that the shutdown took, in milliseconds.
    pub shutdown_ms: u64,
    /// Counts by kind of request.
    pub requests: collections::BTreeMap<&'static str, tally::Counts>,
    /// Counts over all kinds.
    pub total: tally::Counts,
    /// Time to the first token of streams.
    pub first_token: FirstToken,
    /// Runs of orders.
    pub orders: Orders,
    /// Refusals.
    pub refusals: Vec<Refused>,
    /// The zone that left and returned.
    pub zone: Zone,
    /// Requests at a cold engine above what it bears.
    pub overloads: u64,
    /// Descriptions of the first requests that were not answered whole.
    pub details: Vec<String>,
    /// The violated guarantees.
    pub violations: Vec<String>,
}

/// Time to the first token of streams, in milliseconds.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct FirstToken {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Runs of orders at the order services.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Orders {
    /// Idempotency keys that were sent.
    pub keys: u64,
    /// Keys that ran.
    pub run: u64,
    /// Runs beyond the first of their key.
    pub duplicates: u64,
}

/// Refusals with one code and outcome.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Refused {
    /// The code.
    pub code: String,
    /// What is known about the effect.
    pub outcome: String,
    /// How many.
    pub count: u64,
}

/// Requests that the upstreams of the moved zone received.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Zone {
    /// Before it was taken out.
    pub before: u64,
    /// While it was out, from 3 s after the note.
    pub out: u64,
    /// After its return.
    pub after: u64,
}

impl Report {
    /// Takes over what callers saw and what the order services ran, with the violations in them.
    pub(super) fn judge(
        &mut self,
        tally: &tally::Tally,
        runs: &collections::BTreeMap<String, u64>,
    ) {
        self.requests = tally.kinds.clone();
        self.details = tally.faults.clone();
        self.total = tally.total();
        let ms = |quantile| tally.first.value_at_quantile(quantile) as f64 / 1_000.0;
        self.first_token = FirstToken { p50_ms: ms(0.5), p99_ms: ms(0.99) };
        self.orders = Orders {
            keys: tally.orders.len() as u64,
            run: runs.len() as u64,
            duplicates: runs.values().map(|runs| runs.saturating_sub(1)).sum(),
        };
        self.refusals = tally
            .refusals
            .iter()
            .map(|((code, outcome), count)| Refused {
                code: code.clone(),
                outcome: outcome.clone(),
                count: *count,
            })
            .collect();
        self.judge_answers();
        self.judge_orders(tally, runs);
        self.judge_zone();
    }

    /// Notes a violated guarantee.
    pub(super) fn violated(&mut self, guarantee: &str, cause: impl std::fmt::Display) {
        self.violations.push(format!("{guarantee}: {cause}"));
    }

    fn judge_answers(&mut self) {
        let total = self.total;
        if total.wrong > 0 {
            self.violated("a caller gets the complete answer to its own request", total.wrong);
        }
        if total.cut_off > 0 {
            self.violated("a planned change cuts off no request in progress", total.cut_off);
        }
        if total.sent != total.ended() {
            let lost = total.sent - total.ended();
            self.violated("every request ends", format!("{lost} did not"));
        }
        let share = total.whole as f64 / total.sent.max(1) as f64;
        if share < WHOLE_MIN {
            let cause = format!("{} of {}", total.whole, total.sent);
            self.violated("99.9 % of the requests are answered whole", cause);
        }
    }

    fn judge_orders(&mut self, tally: &tally::Tally, runs: &collections::BTreeMap<String, u64>) {
        if self.orders.duplicates > 0 {
            self.violated("an order runs at most once", self.orders.duplicates);
        }
        for (key, order) in &tally.orders {
            let ran = runs.contains_key(key);
            if order.answer.is_some() && !ran {
                self.violated("an answered order has run", key);
            }
            if order.is_refused && ran {
                self.violated("a refusal that says not-run is true", key);
            }
        }
    }

    fn judge_zone(&mut self) {
        if self.zone.out > 0 {
            self.violated("a zone out of service gets no new work after 3 s", self.zone.out);
        }
        if self.zone.before == 0 || self.zone.after == 0 {
            self.violated("a zone in service gets work", format!("{:?}", self.zone));
        }
        if self.overloads > 0 {
            self.violated("a cold upstream gets no more work than it bears", self.overloads);
        }
    }
}

/// Whole milliseconds.
pub(super) fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut requests = comfy_table::Table::new();
        requests.load_preset(presets::UTF8_FULL_CONDENSED).set_header([
            "requests",
            "sent",
            "whole",
            "refused",
            "cut off",
            "no answer",
            "wrong",
        ]);
        let rows = self.requests.iter().map(|(kind, counts)| (*kind, counts));
        for (kind, c) in rows.chain([("total", &self.total)]) {
            let counts = [c.sent, c.whole, c.refused, c.cut_off, c.no_answer, c.wrong];
            requests.add_row([kind.to_owned()].into_iter().chain(counts.map(|n| n.to_string())));
        }
        let mut figures = comfy_table::Table::new();
        figures.load_preset(presets::UTF8_FULL_CONDENSED).set_header(["figure", "value"]);
        for (name, value) in self.figures() {
            figures.add_row([name, value]);
        }
        writeln!(f, "{requests}\n{figures}")?;
        self.details.iter().try_for_each(|detail| writeln!(f, "not whole: {detail}"))?;
        if self.violations.is_empty() {
            return writeln!(f, "no guarantee was violated");
        }
        writeln!(f, "violated:")?;
        self.violations.iter().try_for_each(|violation| writeln!(f, "  {violation}"))
    }
}

impl Report {
    fn figures(&self) -> Vec<(String, String)> {
        let mut rows = vec![
            ("first note to serving".to_owned(), format!("{} ms", self.serving_ms)),
            ("planned stop of a node".to_owned(), format!("{} ms", self.restart_ms)),
            ("time to first token, p50".to_owned(), format!("{:.1} ms", self.first_token.p50_ms)),
            ("time to first token, p99".to_owned(), format!("{:.1} ms", self.first_token.p99_ms)),
            ("orders sent".to_owned(), self.orders.keys.to_string()),
            ("orders run".to_owned(), self.orders.run.to_string()),
            ("duplicate runs".to_owned(), self.orders.duplicates.to_string()),
        ];
        for refused in &self.refusals {
            let name = format!("refused: {} ({})", refused.code, refused.outcome);
            rows.push((name, refused.count.to_string()));
        }
        let zone = super::notes::MOVED;
        rows.extend([
            (format!("requests to {zone} before it left"), self.zone.before.to_string()),
            (format!("requests to {zone} while out"), self.zone.out.to_string()),
            (format!("requests to {zone} after its return"), self.zone.after.to_string()),
            ("requests above a cold limit".to_owned(), self.overloads.to_string()),
            ("whole run".to_owned(), format!("{} ms", self.run_ms)),
        ]);
        rows
    }
}

//! Report of a run: the figures and the guarantees that they must meet.

use std::{collections, time};

use comfy_table::presets;

use super::tally;

/// Lowest share of requests that must get a complete answer. It holds while one zone is out of
/// service, as the other zone has the capacity for all requests.
const MIN_WHOLE_SHARE: f64 = 0.999;

/// Figures of a run and the guarantees that it violated.
#[derive(Clone, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Report {
    /// Seed of the random requests.
    pub seed: u64,
    /// Time from applying the initial note to a complete answer from every node, in milliseconds.
    pub serving_ms: u64,
    /// Duration of the run, including the start of the deployment but not its shutdown, in
    /// milliseconds.
    pub run_ms: u64,
    /// Duration of the graceful stop of one node under load, in milliseconds.
    pub restart_ms: u64,
    /// Duration of the shutdown in milliseconds; 0 with `--serve`.
    pub shutdown_ms: u64,
    /// Requests and how they ended, by kind of request.
    pub requests: collections::BTreeMap<&'static str, tally::Counts>,
    /// Sum of `requests` over all kinds.
    pub total: tally::Counts,
    /// Time to the first token of streamed answers.
    pub first_token: FirstToken,
    /// Orders that were sent, and those that the order services ran.
    pub orders: Orders,
    /// Requests refused by the system, including orders that were sent again afterwards.
    pub refusals: Vec<Refused>,
    /// Load on the zone that was taken out of service and brought back.
    pub zone: Zone,
    /// Requests that exceeded the limit of an engine while it was cold.
    pub overloads: u64,
    /// Descriptions of the first requests that did not get a complete answer.
    pub details: Vec<String>,
    /// Violated guarantees, each with its cause; empty after a successful run.
    pub violations: Vec<String>,
}

/// Percentiles of the time to the first token of streamed answers, in milliseconds.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct FirstToken {
    /// 50th percentile.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Orders that were sent, and those that the order services ran.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Orders {
    /// Idempotency keys that callers sent.
    pub keys: u64,
    /// Keys whose order ran at least once.
    pub run: u64,
    /// Runs after the first one of the same key.
    pub duplicates: u64,
}

/// Number of refusals with one error code and outcome.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Refused {
    /// Error code.
    pub code: String,
    /// Value of the outcome header: what is known about the effect of the request.
    pub outcome: String,
    /// Number of refusals.
    pub count: u64,
}

/// Requests received by the upstreams of the zone that was taken out of service.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Zone {
    /// Until the restart of the node, with both zones in service.
    pub before: u64,
    /// While it was out of service, from 3 s after the note.
    pub out: u64,
    /// Since it was brought back.
    pub after: u64,
}

impl Report {
    /// Fills in what callers observed and how often each order ran, by idempotency key, and checks
    /// the guarantees.
    pub(super) fn evaluate(
        &mut self,
        tally: &tally::Tally,
        runs: &collections::BTreeMap<String, u64>,
    ) {
        self.requests = tally.kinds.clone();
        self.details = tally.failures.clone();
        self.total = tally.total();
        let ms = |quantile| tally.first_token_us.value_at_quantile(quantile) as f64 / 1_000.0;
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
        self.check_answers();
        self.check_orders(tally, runs);
        self.check_zone();
    }

    /// Adds a violated guarantee.
    pub(super) fn add_violation(&mut self, guarantee: &str, cause: impl std::fmt::Display) {
        self.violations.push(format!("{guarantee}: {cause}"));
    }

    fn check_answers(&mut self) {
        let total = self.total;
        if total.wrong > 0 {
            self.add_violation(
                "each caller gets the complete answer to its own request",
                total.wrong,
            );
        }
        if total.cut_off > 0 {
            self.add_violation("planned changes interrupt no request in progress", total.cut_off);
        }
        if total.sent != total.ended() {
            let lost = total.sent - total.ended();
            self.add_violation("every request ends", format!("{lost} did not end"));
        }
        let share = total.whole as f64 / total.sent.max(1) as f64;
        if share < MIN_WHOLE_SHARE {
            let cause = format!("{} of {}", total.whole, total.sent);
            self.add_violation("99.9 % of the requests get a complete answer", cause);
        }
    }

    fn check_orders(&mut self, tally: &tally::Tally, runs: &collections::BTreeMap<String, u64>) {
        if self.orders.duplicates > 0 {
            self.add_violation("an order runs at most once", self.orders.duplicates);
        }
        for (key, order) in &tally.orders {
            let ran = runs.contains_key(key);
            if order.answer.is_some() && !ran {
                self.add_violation("each answered order has run", key);
            }
            if order.is_refused && ran {
                self.add_violation("an order refused as not-run has not run", key);
            }
        }
    }

    fn check_zone(&mut self) {
        if self.zone.out > 0 {
            self.add_violation(
                "a zone out of service receives no new requests after 3 s",
                self.zone.out,
            );
        }
        if self.zone.before == 0 || self.zone.after == 0 {
            self.add_violation("a zone in service receives requests", format!("{:?}", self.zone));
        }
        if self.overloads > 0 {
            self.add_violation(
                "a cold upstream receives no more requests than its limit",
                self.overloads,
            );
        }
    }
}

/// The duration in milliseconds, rounded down.
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
        self.details.iter().try_for_each(|detail| writeln!(f, "failed: {detail}"))?;
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
            ("initial note until all nodes serve".to_owned(), format!("{} ms", self.serving_ms)),
            ("graceful stop of a node".to_owned(), format!("{} ms", self.restart_ms)),
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
        let zone = super::notes::TOGGLED_ZONE;
        rows.extend([
            (format!("requests to {zone} in service"), self.zone.before.to_string()),
            (format!("requests to {zone} out of service"), self.zone.out.to_string()),
            (format!("requests to {zone} back in service"), self.zone.after.to_string()),
            ("requests above a cold limit".to_owned(), self.overloads.to_string()),
            ("duration of the run".to_owned(), format!("{} ms", self.run_ms)),
        ]);
        rows
    }
}

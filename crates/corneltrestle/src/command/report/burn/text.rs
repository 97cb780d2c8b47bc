//! Renders the burn report as a text table.

use std::fmt::Write;

use corneltrestle_node::counts::summary;
use corneltrestle_policy::burn;

use crate::command::table;

/// Renders the report as a table with one line for each target that has counts.
pub fn render(summary: &summary::Summary) -> String {
    let mut table = table::new(&[
        "service",
        "organisation",
        "target",
        "counted in 24 h",
        "missed",
        "budget left",
        "burn 5 min",
        "burn 1 h",
        "verdict",
    ]);
    for row in &summary.rows {
        for line in lines(row) {
            table.add_row(line);
        }
    }
    let mut text = format!("{table}\n");
    if summary.rows.is_empty() {
        text.push_str("No requests were counted in the last 24 hours.\n");
    }
    let _ = writeln!(
        text,
        "Targets of revision {}; counts of {} nodes.",
        summary.revision,
        summary.nodes.len()
    );
    text.push_str(&missing(summary));
    text
}

/// A sentence that lists the nodes whose counts are missing; empty if there are none.
pub(super) fn missing(summary: &summary::Summary) -> String {
    if summary.missing.is_empty() {
        return String::new();
    }
    let names: Vec<_> = summary.missing.iter().map(ToString::to_string).collect();
    format!("Nodes that did not answer, whose counts are missing: {}.\n", names.join(", "))
}

/// Name of a verdict; also its CSS class in the HTML page.
pub(super) fn verdict(verdict: burn::Verdict) -> &'static str {
    match verdict {
        burn::Verdict::NoData => "no-data",
        burn::Verdict::Ok => "ok",
        burn::Verdict::SlowBurn => "slow-burn",
        burn::Verdict::FastBurn => "fast-burn",
        burn::Verdict::Exhausted => "exhausted",
    }
}

/// The cells of a row, one line for each target that has counts.
pub(super) fn lines(row: &summary::Row) -> Vec<[String; 9]> {
    let counted = counted(&row.totals.day);
    let targets = summary::TARGETS.iter().zip(&row.ratings).zip(counted);
    targets
        .filter(|(_, (_, all))| *all > 0)
        .map(|((target, rating), (good, all))| {
            [
                row.service.to_string(),
                row.organisation.to_string(),
                (*target).to_owned(),
                all.to_string(),
                all.saturating_sub(good).to_string(),
                format!("{:.1} %", rating.left * 100.0),
                format!("{:.2}", rating.short),
                format!("{:.2}", rating.long),
                verdict(rating.verdict).to_owned(),
            ]
        })
        .collect()
}

/// By target, in the order of [`summary::TARGETS`]: the number that met it and the number counted.
fn counted(counts: &burn::Counts) -> [(u64, u64); 4] {
    [
        (counts.whole, counts.requests),
        (counts.timely_firsts, counts.firsts),
        (counts.timely_gaps, counts.gaps),
        (counts.known_orders, counts.orders),
    ]
}

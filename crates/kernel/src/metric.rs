//! Descriptions of metrics and the slices in which they register themselves.

use std::sync;

use linkme::distributed_slice;

use crate::host;

/// What a metric is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A number that only grows.
    Counter,
    /// A number that goes up and down.
    Gauge,
    /// A distribution.
    Histogram,
}

/// A metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name, with the unit and `_total` where it is a counter.
    pub name: &'static str,
    /// What it is.
    pub kind: Kind,
    /// What it says.
    pub help: &'static str,
}

impl Metric {
    /// Describes a counter.
    pub const fn counter(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Counter, help }
    }

    /// Describes a gauge.
    pub const fn gauge(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Gauge, help }
    }

    /// Describes a histogram.
    pub const fn histogram(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Histogram, help }
    }
}

/// All metrics of the crates that are linked into the program.
#[distributed_slice]
pub static METRICS: [Metric];

/// Functions that set gauges; called before metrics are shown.
#[distributed_slice]
pub static GAUGES: [fn(&sync::Arc<host::Host>)];

/// The metrics as a page of the documentation.
pub fn document() -> String {
    let mut sorted: Vec<&Metric> = METRICS.iter().collect();
    sorted.sort_by_key(|metric| metric.name);
    let mut page = String::from(
        "# Metrics\n\nServed as text under `/metrics` on the address of `[metrics]`, and by the \
         front end for operators.\n\n| name | kind | meaning |\n|---|---|---|\n",
    );
    for Metric { name, kind, help } in sorted {
        let kind = match kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        };
        page.push_str(&format!("| `{name}` | {kind} | {help} |\n"));
    }
    page
}

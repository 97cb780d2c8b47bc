//! Declarations of metrics, and the linker-collected slices in which crates register them.

use std::sync;

use linkme::distributed_slice;

use crate::host;

/// The type of a metric, as in Prometheus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A total that only grows while the process runs.
    Counter,
    /// A value that goes up and down.
    Gauge,
    /// A distribution of observed values.
    Histogram,
}

/// The declaration of a metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name with its unit; names of counters end in `_total`.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: Kind,
    /// Help text of the metrics endpoint and the reference page.
    pub help: &'static str,
}

impl Metric {
    /// Declares a counter.
    pub const fn counter(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Counter, help }
    }

    /// Declares a gauge.
    pub const fn gauge(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Gauge, help }
    }

    /// Declares a histogram.
    pub const fn histogram(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Histogram, help }
    }
}

/// All metrics of the crates that are linked into the program.
#[distributed_slice]
pub static METRICS: [Metric];

/// Functions that set gauges from the state of a node; called each time the metrics are rendered.
#[distributed_slice]
pub static GAUGES: [fn(&sync::Arc<host::Host>)];

/// Renders the reference page of the metrics, in Markdown.
pub fn reference() -> String {
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

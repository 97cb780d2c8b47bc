//! The recorder of the process.

use std::{fmt, sync};

use corneltrestle_kernel::{host, metric};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The metrics of a node.
#[derive(Clone)]
pub struct Metrics {
    recorded: PrometheusHandle,
    host: sync::Arc<host::Host>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Opens the metrics of a node; several nodes in one process share what is counted.
    pub fn open(host: &sync::Arc<host::Host>) -> Self {
        static RECORDER: sync::OnceLock<PrometheusHandle> = sync::OnceLock::new();
        Self { recorded: RECORDER.get_or_init(install).clone(), host: sync::Arc::clone(host) }
    }

    /// The metrics as text, with the gauges at this moment.
    pub fn render(&self) -> String {
        for gauge in metric::GAUGES {
            gauge(&self.host);
        }
        self.recorded.render()
    }
}

fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // Another recorder is in place when the library is embedded; that one then has the metrics.
    let _ = metrics::set_global_recorder(recorder);
    for metric in metric::METRICS {
        match metric.kind {
            metric::Kind::Counter => metrics::describe_counter!(metric.name, metric.help),
            metric::Kind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
            metric::Kind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
        }
    }
    handle
}

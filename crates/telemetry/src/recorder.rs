//! The metrics recorder of the process.

use std::{fmt, sync};

use corneltrestle_kernel::{host, metric};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Renders the metrics of a node. Clones share the recorder.
#[derive(Clone)]
pub struct Metrics {
    recorder: PrometheusHandle,
    host: sync::Arc<host::Host>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Installs the recorder on first use. Nodes in the same process share the recorder and so
    /// their counters and histograms.
    pub fn open(host: &sync::Arc<host::Host>) -> Self {
        static RECORDER: sync::OnceLock<PrometheusHandle> = sync::OnceLock::new();
        Self { recorder: RECORDER.get_or_init(install).clone(), host: sync::Arc::clone(host) }
    }

    /// Renders all metrics in the text format of Prometheus, after setting the gauges from the
    /// current state of the node.
    pub fn render(&self) -> String {
        for gauge in metric::GAUGES {
            gauge(&self.host);
        }
        self.recorder.render()
    }
}

/// Installs the global recorder and registers the help texts of all declared metrics.
fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // Fails if a program that embeds this library has installed a recorder of its own, which then
    // receives the metrics.
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

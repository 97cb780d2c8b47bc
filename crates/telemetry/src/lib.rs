//! Metrics of a process: the recorder and the HTTP endpoint that serves them in the text format of
//! Prometheus.

mod endpoint;
pub mod recorder;

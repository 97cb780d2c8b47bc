//! Requests as front ends hand them to the pipeline.

use corneltrestle_engine::service;
use corneltrestle_policy::id;
use corneltrestle_time::moment;

/// A generation request, independent of the front end that received it.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Identifier, echoed by the engine.
    pub id: String,
    /// Who sent it.
    pub organisation: id::Organisation,
    /// The service that it is addressed to.
    pub service: id::Service,
    /// Path of the engine call.
    pub path: &'static str,
    /// JSON body as the caller sent it.
    pub body: bytes::Bytes,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Whether a person waits for it.
    pub interactive: bool,
    /// When it arrived.
    pub arrived: moment::Moment,
    /// When its answer is due.
    pub deadline: moment::Moment,
}

/// A call to a plain service, independent of the front end that received it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier, echoed by the service.
    pub id: String,
    /// Who sent it.
    pub organisation: id::Organisation,
    /// The service that it is addressed to.
    pub service: id::Service,
    /// The method.
    pub method: service::Method,
    /// Path and query below the service's prefix, with a leading slash.
    pub target: String,
    /// End-to-end headers.
    pub headers: service::HeaderMap,
    /// The body.
    pub body: bytes::Bytes,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// When its answer is due.
    pub deadline: moment::Moment,
}

impl Call {
    /// The path below the service's prefix.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

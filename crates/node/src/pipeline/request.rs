//! Requests as front ends pass them to the pipeline, independent of the front end's protocol.

use corneltrestle_engine::service;
use corneltrestle_policy::id;
use corneltrestle_time::moment;

/// A request to generate text with a model.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Request id, sent to the engine, which echoes it.
    pub id: String,
    /// The authenticated organisation of the caller.
    pub organisation: id::Organisation,
    /// The model service that the request names.
    pub service: id::Service,
    /// URL path of the engine call.
    pub path: &'static str,
    /// JSON body as the caller sent it; the engine gets it unchanged.
    pub body: bytes::Bytes,
    /// Hashes of the prompt's prefixes block by block, shortest first, to find cached prefixes.
    pub prefixes: Vec<u64>,
    /// Whether a person waits for the response; false for background work.
    pub interactive: bool,
    /// When the request arrived; the time to the first token counts from here.
    pub arrived: moment::Moment,
    /// When the response must be complete.
    pub deadline: moment::Moment,
}

/// A call to a plain service, which is any HTTP service other than a model.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id, sent to the service, which echoes it.
    pub id: String,
    /// The authenticated organisation of the caller.
    pub organisation: id::Organisation,
    /// The service that is called.
    pub service: id::Service,
    /// HTTP method.
    pub method: service::Method,
    /// Path and query after the service's path prefix, with a leading slash.
    pub target: String,
    /// Headers to forward; hop-by-hop headers are already removed.
    pub headers: service::HeaderMap,
    /// The complete body, empty if there is none.
    pub body: bytes::Bytes,
    /// The caller's idempotency key, if one was sent.
    pub key: Option<String>,
    /// When the response must be complete.
    pub deadline: moment::Moment,
}

impl Call {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

//! Requests as front ends pass them to the pipeline.

use corneltrestle_kernel::disconnect;
use corneltrestle_policy::{id, quarantine};
use corneltrestle_time::moment;
use hyper::{HeaderMap, Method, http::uri};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier that the caller gave to this attempt.
    pub id: String,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub target: uri::PathAndQuery,
    /// Host named by the caller; routes match on it.
    pub host: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The complete body, forwarded unchanged.
    pub body: bytes::Bytes,
    /// API key that identifies the organisation, if the caller sent one.
    pub api_key: Option<String>,
    /// What a model is to generate; `None` if the request does not say so.
    pub generation: Option<Generation>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// When its header had arrived completely.
    pub arrived: moment::Moment,
    /// Deadline set by the caller, if any.
    pub deadline: Option<moment::Moment>,
    /// The end of the connection on which it arrived.
    pub disconnect: disconnect::Handle,
}

/// What a model is to generate, as declared by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Name of the model.
    pub model: id::Model,
    /// Size of the prompt in tokens; 0 if unknown.
    pub prompt_tokens: u64,
    /// Limit on the answer in tokens; 0 if unknown.
    pub max_tokens: u64,
    /// Parts of the prompt that other requests may share; not the last one, which is its own.
    pub parts: Vec<quarantine::Part>,
}

//! Requests as a front end hands them to the pipeline.

use corneltrestle_policy::id;
use corneltrestle_time::moment;
use hyper::{HeaderMap, Method, http::uri};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of this attempt of the caller.
    pub id: String,
    /// Method, passed on unchanged.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub target: uri::PathAndQuery,
    /// Host that the caller named.
    pub host: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// The whole body, passed on unchanged.
    pub body: bytes::Bytes,
    /// Key of the caller's organisation.
    pub api_key: Option<String>,
    /// What a model is to generate, if the request says so.
    pub generation: Option<Generation>,
    /// Id of the last event that the caller has of a stream.
    pub resume_after: Option<u64>,
    /// When its header had arrived.
    pub arrived: moment::Moment,
    /// Until when the caller waits, if it says so.
    pub deadline: Option<moment::Moment>,
}

/// What a model is to generate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// The model.
    pub model: id::Model,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_tokens: u64,
}

//! Generation requests and the tokens of their responses.

use std::time;

use corneltrestle_policy::id;

/// A generation request to an engine.
#[derive(Clone, Debug)]
pub struct Generate<'a> {
    /// Path of the HTTP request, for example `/v1/chat/completions`.
    pub path: &'a str,
    /// Request id, which every event of the response must repeat.
    pub id: &'a str,
    /// The replica for which the request is meant.
    pub replica: &'a id::Replica,
    /// Epoch of the membership of that replica.
    pub epoch: u64,
    /// The engine's start id in its latest report (`Report::start`); 0 for any. An engine that has
    /// restarted since rejects the request before running it, because it may be cold.
    pub start: u64,
    /// Priority in the engine's queue; a higher value is served first.
    pub priority: u8,
    /// Time remaining until the deadline of the request.
    pub remaining: time::Duration,
    /// JSON body, as the caller sent it.
    pub body: &'a bytes::Bytes,
    /// Where to resume; `None` if no token has been delivered.
    pub resume: Option<Resume<'a>>,
}

/// The point at which another engine resumes a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Resume<'a> {
    /// The text delivered so far.
    pub text: &'a str,
    /// Index of the first token that has not been delivered.
    pub next: u64,
}

/// A token of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Index in the response, from 0; resumed responses continue the count.
    pub index: u64,
    /// JSON data of the token's event, which is forwarded to the caller unchanged.
    pub data: bytes::Bytes,
}

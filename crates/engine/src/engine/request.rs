//! Generation requests and their tokens.

use std::time;

use corneltrestle_policy::id;

/// A generation to run.
#[derive(Clone, Debug)]
pub struct Generate<'a> {
    /// Path of the call, for example `/v1/chat/completions`.
    pub path: &'a str,
    /// Identifier that every event of the answer echoes.
    pub id: &'a str,
    /// The replica that the request is meant for.
    pub replica: &'a id::Replica,
    /// Epoch of that replica.
    pub epoch: u64,
    /// Start id of the engine that the request is meant for, by its latest report; 0 for any. An
    /// engine that has started again refuses the request before it runs: it may be cold.
    pub start: u64,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub remaining: time::Duration,
    /// JSON body as the caller sent it.
    pub body: &'a bytes::Bytes,
    /// Where to go on, if a part has been delivered.
    pub resume: Option<Resume<'a>>,
}

/// Where a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Resume<'a> {
    /// The text that has been delivered.
    pub text: &'a str,
    /// Index of the next token.
    pub next: u64,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Index within the answer, from 0.
    pub index: u64,
    /// The JSON data of the event, as it is passed on to the caller.
    pub data: bytes::Bytes,
}

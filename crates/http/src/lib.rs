//! HTTP front ends of a node: the OpenAI-compatible API and plain services for callers, the
//! operator API, health checks and metrics.
//!
//! The front ends translate between HTTP and the types of [`corneltrestle_node::pipeline`], which
//! makes all decisions.

pub mod body;
pub mod callers;
pub mod operators;
mod refuse;
mod request_body;
mod request_id;
pub mod response;

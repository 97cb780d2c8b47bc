//! Front ends of a node: OpenAI calls and plain services for callers, the operators' interface,
//! health and metrics.
//!
//! A front end translates between HTTP and the types of [`corneltrestle_node::pipeline`]; it
//! decides nothing itself.

pub mod body;
pub mod callers;
mod intake;
pub mod operators;
mod refuse;
mod request_id;
pub mod response;

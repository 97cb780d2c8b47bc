//! Clients of upstreams: model engines and plain services.
//!
//! For each there is a trait ([`engine::Engine`], [`service::Service`]) and an HTTP implementation.

pub mod engine;
mod port;
pub mod service;

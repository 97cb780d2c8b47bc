//! Upstreams: model engines and plain services.
//!
//! Each is one narrow trait ([`engine::Engine`], [`service::Service`]) with one client over HTTP.

pub mod engine;
mod port;
pub mod service;

//! One entry node that passes requests on unchanged to the upstreams of a deployment.
//!
//! Tables are shared by all workers and locked in the order of their ranks, see [`tables`].
//! Duties keep the tables true; the [`pipeline`] reads them for each request. Decisions are in
//! [`corneltrestle_policy`]; what is spoken with the platform and with upstreams is behind the
//! traits [`source::Source`] and [`upstream::Client`].

pub mod duty;
mod gauges;
pub mod identity;
pub mod limits;
pub mod mesh;
pub mod pipeline;
pub mod request;
pub mod source;
pub mod tables;
pub mod upstream;

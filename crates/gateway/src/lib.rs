//! An entry node: a reverse proxy that forwards requests unchanged to the upstreams of a
//! deployment.
//!
//! All workers share the tables, which are locked in the order of their ranks, see [`tables`].
//! Background tasks, see [`task`], keep the tables up to date; the [`pipeline`] reads them for
//! each request. Decisions are in [`corneltrestle_policy`]. The protocols of the platform and of
//! the upstreams are behind the traits [`source::Source`] and [`upstream::Client`].

mod gauges;
pub mod identity;
pub mod limits;
pub mod mesh;
pub mod pipeline;
pub mod request;
pub mod source;
pub mod tables;
pub mod task;
pub mod upstream;

//! An entry node: a reverse proxy that forwards requests unchanged to the upstreams of a
//! deployment.
//!
//! What a node knows of the platform is a set of facts: the configuration, the evacuated zones, the
//! registrations of upstreams and nodes, and the holder of the coordinator's lease, see [`source`].
//! One node, the coordinator, polls the store for changes of facts, and forms the serving groups of
//! model services. The others get the changes from it and from each other, and poll the store only
//! if they cannot. Nodes also tell each other their requests in progress, see [`mesh`].
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

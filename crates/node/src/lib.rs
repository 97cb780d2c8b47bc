//! One entry node: its shared tables, periodic duties, links and request pipeline.
//!
//! Tables are shared by all workers and locked in the order of their ranks, see [`tables`].
//! Duties keep the tables true; the [`pipeline`] reads them for each request. Decisions are in
//! [`corneltrestle_policy`].

pub mod counts;
pub mod digest;
pub mod identity;
pub mod link;
pub mod operate;
pub mod pipeline;
pub mod slots;
pub mod tables;
pub mod task;
pub mod updates;

//! One entry node: it receives requests, chooses an upstream for each and relays the response.
//!
//! The [`tables`] are shared by all workers and locked in the order of their ranks. Background
//! tasks ([`task`]) and the [`link`] to other nodes keep the tables up to date; the [`pipeline`]
//! reads them for each request. The decisions themselves are pure functions in
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

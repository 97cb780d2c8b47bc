//! The decisions of corneltrestle as pure functions.
//!
//! Nothing here does I/O, awaits, encodes messages or reads a clock. Each function takes borrowed
//! views of the state and the current time as a [`Moment`], and returns a decision; the caller
//! carries it out. The same code therefore serves every front end and runs in tests with a
//! simulated clock.
//!
//! There are two kinds of node, and some modules serve only one of them:
//!
//! - The nodes of the library `corneltrestle-node` serve what operators declare in a [`release`].
//!   They know each other by gossip ([`membership`]) and adopt the newest release ([`adoption`]).
//!   In each availability zone, one node holds a [`lease`] and divides the zone's VMs into replicas
//!   of models ([`plan`], [`assignment`]). Requests pass through [`admission`], and [`route`]
//!   chooses a replica.
//! - The entry nodes of the library `corneltrestle-gateway` are proxies for the routes of a
//!   [`deployment`] on a platform, where [`upstream`] processes register themselves ([`fleet`]).
//!   One node, the coordinator, forms serving groups of their VMs ([`formation`]).

pub mod activity;
pub mod admission;
pub mod adoption;
pub mod assignment;
pub mod burn;
pub mod calls;
pub mod capacity;
pub mod census;
pub mod changeset;
pub mod claim;
pub mod cost;
pub mod delivery;
pub mod demand;
pub mod deployment;
pub mod eligibility;
pub mod fleet;
pub mod formation;
pub mod gate;
pub mod health;
pub mod hubs;
pub mod id;
pub mod keepalive;
pub mod kv;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod overhead;
pub mod pacing;
pub mod plan;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod release;
pub mod rendezvous;
pub mod report;
pub mod retry;
pub mod revision;
pub mod route;
pub mod spread;
pub mod stall;
pub mod upstream;
pub mod vm;
pub mod warmup;

pub use corneltrestle_time::Moment;

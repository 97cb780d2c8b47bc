//! The infrastructure that a deployment provides: a key-value service and a list of VMs.
//!
//! Each is one narrow trait ([`store::Store`], [`vms::Vms`]); the clients are crates of their own.

pub mod store;
pub mod vms;

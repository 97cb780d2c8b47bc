//! The platform: its key-value service and its VM list.
//!
//! Each is one narrow trait ([`store::Store`], [`vms::Vms`]) with one client over HTTP.

pub mod store;
pub mod vms;

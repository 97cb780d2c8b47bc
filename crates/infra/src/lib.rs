//! Interfaces to the infrastructure of a deployment: a key-value service and a list of VMs.
//!
//! Each is a small trait ([`store::Store`], [`vms::Vms`]) that a client in another crate
//! implements, so that policies and gateways do not depend on a product or protocol.

pub mod store;
pub mod vms;

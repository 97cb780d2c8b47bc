//! Test servers that stand in for the outside systems: the platform's key-value store and VM list,
//! model engines, and plain HTTP services.
//!
//! Each stand-in speaks the protocol of the system it replaces, over HTTP/1.1. Its module has a
//! `Config` and a `bind` function that returns a [`server::Handle`] with the bound address and
//! `shutdown`. All of them share the server in [`server`], which counts calls and injects the
//! faults that are registered in [`fault::FAULTS`].

pub mod engine;
pub mod fault;
pub mod server;
pub mod service;
pub mod settings;
pub mod store;
pub mod vms;

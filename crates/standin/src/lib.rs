//! Small stand-ins of the platform, model engines and plain services.
//!
//! Each stand-in has a `Config`, a `bind` function and a running [`server::Handle`] with its
//! address and `shutdown`. Faults register themselves in [`fault::FAULTS`].

pub mod engine;
pub mod fault;
pub mod server;
pub mod service;
pub mod settings;
pub mod store;
pub mod vms;

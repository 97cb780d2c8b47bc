//! Contract tests of the stand-ins over HTTP.

mod client;
mod engine;
mod faults;
mod service;
mod settings;
mod store;
mod vms;

//! Contracts of the stand-ins, as hyper calls see them.

mod client;
mod engine;
mod faults;
mod service;
mod settings;
mod store;
mod vms;

//! Periodic duties, which keep the tables true.

pub mod assign;
pub mod cache;
pub mod discover;
pub mod gossip;
pub mod observe;
pub mod watch;

//! Periodic duties, which keep the tables true.

pub mod assign;
pub mod discover;
pub mod observe;
pub mod watch;

//! Background tasks that keep the tables up to date and coordinate the zone's VMs.

pub mod assign;
pub mod cache;
pub mod discover;
pub mod gossip;
pub mod observe;
pub mod watch;

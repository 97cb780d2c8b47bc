//! Periodic duties of a node; each registers itself as a plug-in with the types of its platform.

pub mod coordinate;
pub mod follow;
pub mod mesh;
pub mod register;
pub mod watchdog;

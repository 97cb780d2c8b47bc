//! Background tasks of a node. Those that are generic over types of the platform are
//! registered as plug-ins by the platform; the others register themselves.

pub mod coordinate;
pub mod follow;
pub mod mesh;
pub mod permits;
pub mod register;
pub mod watchdog;

//! Deployments on the loopback interface: entry nodes, and stand-ins of the systems that they use.
//!
//! All parts run in one process and talk to each other in their real protocols over real sockets. The
//! demo, the measurements and the end-to-end tests are built on this crate.

mod address;
pub mod client;
mod error;
mod local;
mod nodes;
pub mod plan;

// Links the HTTP front ends, plug-ins that register themselves.
use corneltrestle_http as _;

pub use error::Error;
pub use local::{Local, Result};
pub use nodes::{Node, Overrides};
pub use plan::Plan;

//! Deployments on the loopback interface: stand-ins of the outside systems and entry nodes.
//!
//! Everything speaks its real protocol over real sockets. The demo, the measurements and the
//! end-to-end tests use it.

mod address;
pub mod client;
mod error;
mod local;
mod nodes;
pub mod plan;

// Links the plug-ins of the front ends, which register themselves.
use corneltrestle_http as _;

pub use error::Error;
pub use local::{Local, Result};
pub use nodes::{Node, Overrides};
pub use plan::Plan;

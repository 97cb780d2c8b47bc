//! corneltrestle: a serving system for models whose replicas span several VMs.
//!
//! This crate is a facade: it re-exports the library crates of the system as modules and adds the
//! commands of the program for operators, `corneltrestle`.
//!
//! # Examples
//!
//! ```no_run
//! use corneltrestle::kernel::{self, node};
//!
//! let sections = kernel::settings::sections();
//! let settings = kernel::settings::Settings::load("node.ini".as_ref(), &sections).unwrap();
//! let node = node::Node::open(settings).unwrap();
//! node.shutdown();
//! ```

pub mod command;

pub use corneltrestle_engine as engine;
pub use corneltrestle_etcd as etcd;
pub use corneltrestle_http as http;
pub use corneltrestle_infra as infra;
pub use corneltrestle_kernel as kernel;
pub use corneltrestle_local as local;
pub use corneltrestle_measure as measure;
pub use corneltrestle_node as node;
pub use corneltrestle_policy as policy;
pub use corneltrestle_time as time;
pub use corneltrestle_wire as wire;

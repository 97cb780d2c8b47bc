//! The kernel of corneltrestle: the registry of plug-ins and the services that they share.
//!
//! The kernel depends on no plug-in. A plug-in registers itself by adding a static
//! [`plugin::Plugin`] descriptor to the slice [`plugin::PLUGINS`], which the linker collects. When
//! a node starts, each plug-in is opened with a [`host::Host`], which gives access to the shared
//! tables, the worker pool, the clock, the settings and the ports of other plug-ins.

pub mod daemon;
pub mod disconnect;
pub mod host;
pub mod ini;
pub mod lifecycle;
pub mod logging;
pub mod memory;
pub mod metric;
pub mod node;
pub mod plugin;
pub mod pool;
pub mod settings;
pub mod shutdown;
pub mod supervise;
pub mod table;

pub use corneltrestle_time::clock;
pub use linkme;

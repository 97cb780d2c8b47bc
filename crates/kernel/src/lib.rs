//! The kernel of corneltrestle: what every plug-in builds on.
//!
//! The kernel knows no plug-in. A plug-in is one file with a static [`plugin::Plugin`] descriptor
//! in the slice [`plugin::PLUGINS`]; it finds the shared tables, the worker pool and the settings
//! through the [`host::Host`] that opens it.

pub mod daemon;
pub mod host;
pub mod ini;
pub mod lifecycle;
pub mod logging;
pub mod metric;
pub mod node;
pub mod plugin;
pub mod pool;
pub mod settings;
pub mod table;

pub use corneltrestle_time::clock;
pub use linkme;

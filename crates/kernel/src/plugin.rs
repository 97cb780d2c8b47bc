//! Descriptors of plug-ins, and the linker-collected slice in which plug-ins register themselves.

mod error;
mod handle;

use std::sync;

use linkme::distributed_slice;

use crate::{host, settings};

pub use error::Error;
pub use handle::Handle;

/// The result of checking or opening a plug-in.
pub type Result<T> = std::result::Result<T, Error>;

/// The role of a plug-in. Plug-ins open in the order of the variants and shut down in the reverse
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A client of an external system, provided to other plug-ins as a port.
    Port,
    /// The server for connections from other nodes.
    Link,
    /// A periodic background task.
    Task,
    /// A server for callers or operators.
    FrontEnd,
}

/// The descriptor of a plug-in.
#[derive(Debug)]
pub struct Plugin {
    /// Unique name in log lines and errors; decides the order of opening among those of one kind.
    pub name: &'static str,
    /// Role, which decides when the plug-in opens.
    pub kind: Kind,
    /// The section of settings that the plug-in declares, if any. Several plug-ins may declare the
    /// same section.
    pub section: Option<&'static settings::Section>,
    /// Checks relations between settings that the types of the keys cannot state.
    pub check: fn(&settings::Settings) -> Result<()>,
    /// Starts the plug-in: looks up tables and ports, binds addresses and spawns tasks.
    pub open: fn(&sync::Arc<host::Host>) -> Result<Handle>,
}

/// All plug-ins linked into the program, in no particular order; see [`ordered`].
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// A [`Plugin::check`] that accepts all settings, for plug-ins that need no check beyond the types
/// of their keys.
///
/// # Errors
///
/// Never fails.
pub fn unchecked(_: &settings::Settings) -> Result<()> {
    Ok(())
}

/// The plug-ins in the order in which they open.
pub fn ordered() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = PLUGINS.iter().collect();
    all.sort_by_key(|plugin| (plugin.kind, plugin.name));
    all
}

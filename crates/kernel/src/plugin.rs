//! Descriptors of plug-ins and the slice in which they register themselves.

mod error;
mod handle;

use std::sync;

use linkme::distributed_slice;

use crate::{host, settings};

pub use error::Error;
pub use handle::Handle;

/// The result of checking or opening a plug-in.
pub type Result<T> = std::result::Result<T, Error>;

/// What a plug-in is for; plug-ins open in this order and shut down in the reverse order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A client of an outside system, offered to other plug-ins as a port.
    Port,
    /// The server side of the links between nodes.
    Link,
    /// A periodic background task.
    Task,
    /// A server for callers or operators.
    FrontEnd,
}

/// The descriptor of a plug-in.
#[derive(Debug)]
pub struct Plugin {
    /// Name in logs and errors, unique.
    pub name: &'static str,
    /// Purpose, which decides when the plug-in opens.
    pub kind: Kind,
    /// Its settings, if it has any of its own.
    pub section: Option<&'static settings::Section>,
    /// Checks settings together, beyond what each key states.
    pub check: fn(&settings::Settings) -> Result<()>,
    /// Opens the plug-in on a host.
    pub open: fn(&sync::Arc<host::Host>) -> Result<Handle>,
}

/// All plug-ins linked into the program.
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// Accepts any settings; for plug-ins whose keys are checked one by one.
///
/// # Errors
///
/// None.
pub fn unchecked(_: &settings::Settings) -> Result<()> {
    Ok(())
}

/// The plug-ins in the order in which they open.
pub fn ordered() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = PLUGINS.iter().collect();
    all.sort_by_key(|plugin| (plugin.kind, plugin.name));
    all
}

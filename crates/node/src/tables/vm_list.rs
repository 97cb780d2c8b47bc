//! The platform's VM list as last read.

use std::sync;

use corneltrestle_kernel::table;
use corneltrestle_policy::vm;
use corneltrestle_time::moment;

/// The VM list; rank 25.
#[derive(Debug, Default)]
pub struct VmList {
    /// The entries.
    pub vms: sync::Arc<Vec<vm::Vm>>,
    /// When the list was read; `None` before the first time.
    pub read_at: Option<moment::Moment>,
}

impl table::Ranked for VmList {
    const RANK: u16 = 25;
    const NAME: &'static str = "listed";
}

impl VmList {
    /// The entry of `vm`.
    pub fn find(&self, vm: &str) -> Option<&vm::Vm> {
        self.vms.iter().find(|entry| entry.id.as_str() == vm)
    }
}

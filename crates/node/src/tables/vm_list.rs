//! The platform's list of VMs, as this node last read it.

use std::sync;

use corneltrestle_kernel::table;
use corneltrestle_policy::vm;
use corneltrestle_time::moment;

/// The VM list; rank 25.
#[derive(Debug, Default)]
pub struct VmList {
    /// The entries; empty before the first read.
    pub vms: sync::Arc<Vec<vm::Vm>>,
    /// When the list was last read; `None` before the first read.
    pub read_at: Option<moment::Moment>,
}

impl table::Ranked for VmList {
    const RANK: u16 = 25;
    const NAME: &'static str = "listed";
}

impl VmList {
    /// The entry of the VM with this id.
    pub fn find(&self, vm: &str) -> Option<&vm::Vm> {
        self.vms.iter().find(|entry| entry.id.as_str() == vm)
    }
}

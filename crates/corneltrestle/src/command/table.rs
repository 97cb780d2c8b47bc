//! Tables of the commands.

use comfy_table::{Table, presets};

/// A table with these column heads.
pub(crate) fn open(heads: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(heads);
    table
}

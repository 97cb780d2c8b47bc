//! Tables of the commands.

use comfy_table::presets;

/// A table with these column heads.
pub(crate) fn open(heads: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(heads);
    table
}

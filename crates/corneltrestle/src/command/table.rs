//! Text tables that commands print.

use comfy_table::presets;

/// An empty table with these column headers.
pub(crate) fn new(headers: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(headers);
    table
}

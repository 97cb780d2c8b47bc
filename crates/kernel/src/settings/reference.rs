//! The reference page of the settings.

use std::fmt::Write;

use super::key;

/// Renders the reference page of the settings, in Markdown.
pub fn reference(sections: &[&'static key::Section]) -> String {
    let mut page =
        String::from("# Settings\n\nOne INI file per node. Every key is checked at start.\n");
    for section in sections {
        let _ = write!(page, "\n## [{}]\n\n{}\n\n", section.name, section.help);
        page.push_str("| key | value | default | meaning |\n|---|---|---|---|\n");
        for key in section.keys {
            let default = match (key.default, key.required) {
                (Some(default), _) => format!("`{default}`"),
                (None, true) => "required".to_owned(),
                (None, false) => "none".to_owned(),
            };
            let _ = writeln!(page, "| `{}` | {} | {default} | {} |", key.name, key.ty, key.help);
        }
    }
    page
}

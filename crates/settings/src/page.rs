//! The reference page `docs/SETTINGS.md`, made from the declarations.

use std::fmt::Write as _;

use chestnutfork_schema::reference_table;

use crate::keys::{PROCESS, role_keys};
use crate::role::Role;

const INTRODUCTION: &str = "\
# Settings of processes

Each process reads one YAML file. `chestnutfork check ROLE FILE` reports all problems of a file at once, and prints the
settings in force with secrets redacted. Unknown keys are refused. `NAME` stands for a name of 1 to 64 letters, digits,
`_` or `-`. Secrets are given in the file or, better, in a file of their own. Settings are read once at the start; what
changes at run time is in the configuration (`docs/CONFIGURATION.md`). Annotated examples are in `examples/`.

This page is made from the declarations in `crates/settings/src/keys.rs`. Regenerate it with
`cargo run -p chestnutfork-settings --example settings_page > docs/SETTINGS.md`.
";

/// Returns the text of `docs/SETTINGS.md`.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_settings::reference_page().contains("`register.max_records`"));
/// ```
#[must_use]
pub fn reference_page() -> String {
    let mut page = format!("{INTRODUCTION}\n## Every role\n\n{}", reference_table(PROCESS));
    for role in Role::ALL {
        let table = reference_table(role_keys(role));
        // Writing to a `String` cannot fail.
        let _ = write!(page, "\n## {}\n\n{table}", title(role));
    }
    page
}

fn title(role: Role) -> &'static str {
    match role {
        Role::Entry => "Entry",
        Role::Agent => "Agent",
        Role::Control => "Control",
        Role::Target => "Simulated target",
    }
}

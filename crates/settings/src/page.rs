//! Generator of the reference page `docs/SETTINGS.md`.

use std::fmt::Write as _;

use chestnutfork_schema::reference_table;

use crate::keys::{PROCESS_KEYS, role_keys};
use crate::role::Role;

const INTRODUCTION: &str = "\
# Settings of processes

Each process reads one YAML file. `chestnutfork check ROLE FILE` reports all problems of a file at once, and prints the
effective settings with secrets redacted. Unknown keys are rejected. `NAME` stands for a name of 1 to 64 letters, digits,
`_` or `-`. Secrets can be given inline, but separate files are preferable. Settings are read once at startup; options that
can change at run time are part of the configuration (`docs/CONFIGURATION.md`). Annotated examples are in `examples/`.

This page is generated from the declarations in `crates/settings/src/keys.rs`. Regenerate it with
`cargo run -p chestnutfork-settings --example settings_page > docs/SETTINGS.md`.
";

/// Returns the content of `docs/SETTINGS.md`.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_settings::reference_page().contains("`register.max_records`"));
/// ```
#[must_use]
pub fn reference_page() -> String {
    let mut page = format!(
        "{INTRODUCTION}\n## Every role\n\n{}",
        reference_table(PROCESS_KEYS)
    );
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

//! Reference tables for documentation, generated from the declarations.

use std::fmt::Write as _;

use crate::key::{Key, Kind, Presence};

/// Returns a Markdown table of the keys in declaration order.
///
/// # Examples
///
/// ```
/// use chestnutfork_schema::{Key, Kind, Presence, reference_table};
///
/// const KEYS: &[Key] = &[Key {
///     path: "on",
///     kind: Kind::Boolean,
///     presence: Presence::Default("true"),
///     description: "Whether it is on.",
/// }];
/// assert!(reference_table(KEYS).contains("| `on` | true or false | `true` | Whether it is on. |"));
/// ```
#[must_use]
pub fn reference_table(keys: &[Key]) -> String {
    let mut table = String::from("| key | value | default | meaning |\n| --- | --- | --- | --- |\n");
    for key in keys {
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            table,
            "| `{}` | {} | {} | {} |",
            key.path.replace('*', "NAME"),
            key.kind.expected(),
            default_column(key),
            key.description
        );
    }
    table
}

fn default_column(key: &Key) -> String {
    match (key.kind, key.presence) {
        (Kind::Section | Kind::Table { .. }, _) => String::new(),
        (_, Presence::Required) => "required".to_owned(),
        (_, Presence::Optional) => "none".to_owned(),
        (_, Presence::Default(default)) => format!("`{}`", default.trim_matches('"')),
    }
}

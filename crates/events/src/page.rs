//! The catalogue page `docs/EVENTS.md`, generated from the declarations.

use std::fmt::Write as _;

use crate::catalogue::{GROUPS, Group, declarations};
use crate::declaration::{Declaration, Severity};

const INTRODUCTION: &str = "\
# Log events

Every log line is one numbered event with a constant message and named fields. Numbers and names are stable: a number is
never reused for another event. Lines are written to standard error, as text or JSON (setting `log.format`), from the
severity in `log.level` upwards. An alarm is an event of severity warn, error or critical; its remedy says what to do.

This page is generated from the declarations in `crates/events`. Regenerate it with
`cargo run -p chestnutfork-events --example events_page > docs/EVENTS.md`.
";

/// Generates the text of `docs/EVENTS.md`.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_events::catalogue_page().starts_with("# Log events"));
/// ```
#[must_use]
pub fn catalogue_page() -> String {
    let mut page = String::from(INTRODUCTION);
    for group in &GROUPS {
        push_group(&mut page, group);
    }
    page
}

/// Generates the table of all alarms and their remedies, which `docs/OPERATIONS.md` contains.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_events::alarm_table().contains("| 6020 `disk_full` | error |"));
/// ```
#[must_use]
pub fn alarm_table() -> String {
    let mut table = String::from("| event | severity | meaning | remedy |\n| --- | --- | --- | --- |\n");
    for event in declarations().filter(|event| event.severity >= Severity::Warn) {
        let severity = event.severity.as_str();
        write_line(
            &mut table,
            format_args!(
                "| {} `{}` | {severity} | {} | {} |",
                event.number, event.name, event.meaning, event.remedy
            ),
        );
    }
    table
}

fn push_group(page: &mut String, group: &Group) {
    let last = group.first + 999;
    write_line(
        page,
        format_args!("\n## {} ({} to {last})", group.title, group.first),
    );
    for declaration in group.declarations {
        push_event(page, declaration);
    }
}

fn push_event(page: &mut String, event: &Declaration) {
    write_line(page, format_args!("\n### {} {}", event.number, event.name));
    write_line(
        page,
        format_args!(
            "\nSeverity {}. Message: \"{}\".\n",
            event.severity.as_str(),
            event.message
        ),
    );
    write_line(page, format_args!("- Meaning: {}", event.meaning));
    write_line(page, format_args!("- Remedy: {}", event.remedy));
    for field in event.fields {
        let kind = field.kind.as_str();
        write_line(
            page,
            format_args!("- Field `{}` ({kind}): {}", field.name, field.meaning),
        );
    }
}

fn write_line(page: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(page, "{line}");
}

//! Tests of the event declarations and their catalogue page.

use std::collections::HashSet;
use std::fs;
use std::path::Path;

use chestnutfork_events::{Event, GROUPS, LinkEvent, Severity, alarm_table, catalogue_page, declarations};

/// Guards against a catalogue page that differs from the declarations.
#[test]
fn catalogue_page_matches_declarations() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = fs::read_to_string(path).expect("docs/EVENTS.md exists");
    assert!(
        page == catalogue_page(),
        "regenerate the page: cargo run -p chestnutfork-events --example events_page > docs/EVENTS.md"
    );
}

/// Guards against an alarm whose remedy is missing from the operations page.
#[test]
fn operations_page_contains_alarm_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(path).expect("docs/OPERATIONS.md exists");
    assert!(
        page.contains(&alarm_table()),
        "replace the table by the output of: cargo run -p chestnutfork-events --example alarm_table"
    );
}

/// Guards against two events with the same number or name.
#[test]
fn declarations_have_unique_numbers_and_names() {
    let numbers: HashSet<u16> = declarations().map(|event| event.number).collect();
    let names: HashSet<&str> = declarations().map(|event| event.name).collect();
    assert_eq!(numbers.len(), declarations().count());
    assert_eq!(names.len(), declarations().count());
}

/// Guards against a number outside the range of its group or out of order.
#[test]
fn declarations_ascend_within_group() {
    for group in &GROUPS {
        let numbers: Vec<u16> = group.declarations.iter().map(|event| event.number).collect();
        assert!(numbers.is_sorted());
        assert!(numbers.iter().all(|number| number / 1000 == group.first / 1000));
    }
}

/// Guards against an alarm without a meaning or remedy, and against data fields that collide with the event's own keys.
#[test]
fn declarations_name_remedy_and_free_keys() {
    for event in declarations() {
        assert!(!event.meaning.is_empty() && !event.remedy.is_empty());
        assert!(event.severity < Severity::Error || event.remedy != "None.");
        assert!(
            event
                .fields
                .iter()
                .all(|field| !["event", "name"].contains(&field.name))
        );
    }
}

/// Guards against an event that returns the declaration of another event.
#[test]
fn declaration_matches_variant() {
    let event = LinkEvent::Opened {
        peer: "entry-1",
        role: "entry",
    };
    assert_eq!(event.declaration().name, "link_opened");
}

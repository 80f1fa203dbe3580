//! Defaults of absent keys.

use serde_json::{Map, Value};

use crate::key::{Key, Kind, Presence};

/// Returns the document with the declared defaults of all absent keys, including those in absent sections.
///
/// # Panics
///
/// Panics if a declared default is not valid JSON, which is a programming error.
///
/// # Examples
///
/// ```
/// use chestnutfork_schema::{Key, Kind, Presence, with_defaults};
/// use serde_json::json;
///
/// const KEYS: &[Key] = &[Key {
///     path: "on",
///     kind: Kind::Boolean,
///     presence: Presence::Default("true"),
///     description: "Whether it is on.",
/// }];
/// assert_eq!(with_defaults(KEYS, json!({})), json!({ "on": true }));
/// ```
#[must_use]
pub fn with_defaults(keys: &[Key], mut document: Value) -> Value {
    if let Value::Object(members) = &mut document {
        fill_section(keys, "", members);
    }
    document
}

fn fill_section(keys: &[Key], pattern: &str, members: &mut Map<String, Value>) {
    for key in keys {
        if let Some(name) = key.child_name(pattern) {
            fill_key(keys, key, name, members);
        }
    }
}

fn fill_key(keys: &[Key], key: &Key, name: &str, members: &mut Map<String, Value>) {
    match key.kind {
        Kind::Section => {
            let section = members.entry(name).or_insert_with(|| Value::Object(Map::new()));
            fill_value(keys, key.path, section);
        }
        Kind::Table { .. } => {
            let table = members.entry(name).or_insert_with(|| Value::Object(Map::new()));
            let pattern = format!("{}.*", key.path);
            let rows = table.as_object_mut().into_iter().flat_map(Map::values_mut);
            rows.for_each(|row| fill_value(keys, &pattern, row));
        }
        _ => {
            if let Presence::Default(default) = key.presence {
                members.entry(name).or_insert_with(|| parse_default(default));
            }
        }
    }
}

fn fill_value(keys: &[Key], pattern: &str, value: &mut Value) {
    if let Value::Object(members) = value {
        fill_section(keys, pattern, members);
    }
}

fn parse_default(default: &str) -> Value {
    serde_json::from_str(default).expect("declared defaults are valid JSON")
}

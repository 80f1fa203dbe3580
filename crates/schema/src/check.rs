//! Validation of a document against its declared keys.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::key::{Key, Kind, NAME_MAX_LENGTH, Presence, Violation, ViolationKind, is_name};

/// Maximum number of characters of a value or name that an error message quotes.
const MAX_QUOTED_CHARS: usize = NAME_MAX_LENGTH;

/// Validates a document and returns all violations.
///
/// Unknown keys of a section come first; the other violations are in declaration order.
///
/// # Examples
///
/// ```
/// use chestnutfork_schema::{Key, Kind, Presence, check};
/// use serde_json::json;
///
/// const KEYS: &[Key] = &[Key {
///     path: "name",
///     kind: Kind::Name,
///     presence: Presence::Required,
///     description: "Name of the process.",
/// }];
/// assert!(check(KEYS, &json!({ "name": "entry-1" })).is_empty());
/// assert_eq!(check(KEYS, &json!({}))[0].path, "name");
/// ```
#[must_use]
pub fn check(keys: &[Key], document: &Value) -> Vec<Violation> {
    let mut validator = Validator {
        keys,
        violations: Vec::new(),
    };
    validator.check_section("", "", Some(document));
    validator.violations
}

struct Validator<'a> {
    keys: &'a [Key],
    violations: Vec<Violation>,
}

impl Validator<'_> {
    fn push(&mut self, path: &str, kind: ViolationKind, message: String) {
        let path = if path.is_empty() { "document" } else { path };
        self.violations.push(Violation {
            path: path.to_owned(),
            kind,
            message,
        });
    }

    fn push_invalid_value(&mut self, path: &str, kind: Kind, value: &Value) {
        let message = if kind.is_secret() {
            format!("the value is not allowed; set it to {}", kind.expected())
        } else {
            format!("{} is not allowed; set it to {}", quote(value), kind.expected())
        };
        self.push(path, ViolationKind::InvalidValue, message);
    }

    /// Checks the keys declared under `pattern`; an absent section is treated as empty.
    fn check_section(&mut self, pattern: &str, path: &str, value: Option<&Value>) {
        let empty = Map::new();
        let members = match value {
            None => &empty,
            Some(Value::Object(members)) => members,
            Some(other) => return self.push_invalid_value(path, Kind::Section, other),
        };
        let keys = self.keys;
        let declared: Vec<(&str, &Key)> = keys
            .iter()
            .filter_map(|key| key.child_name(pattern).map(|name| (name, key)))
            .collect();
        for name in members.keys() {
            if !declared.iter().any(|(declared_name, _)| declared_name == name) {
                self.push_unknown_key(&join(path, &truncate(name)), &declared);
            }
        }
        for (name, key) in declared {
            self.check_value(key, &join(path, name), members.get(name));
        }
    }

    fn push_unknown_key(&mut self, path: &str, declared: &[(&str, &Key)]) {
        let names: Vec<&str> = declared.iter().map(|(name, _)| *name).collect();
        let message = format!("unknown key; remove it or use one of: {}", names.join(", "));
        self.push(path, ViolationKind::UnknownKey, message);
    }

    fn check_value(&mut self, key: &Key, path: &str, value: Option<&Value>) {
        match (key.kind, value) {
            (Kind::Section, value) => self.check_section(key.path, path, value),
            (_, None) => self.check_absent(key, path),
            (Kind::Table { max }, Some(value)) => self.check_table(key, max, path, value),
            (kind, Some(value)) => {
                if !is_allowed(kind, value) {
                    self.push_invalid_value(path, kind, value);
                }
            }
        }
    }

    fn check_absent(&mut self, key: &Key, path: &str) {
        if key.presence == Presence::Required {
            let message = format!("is missing; set it to {}", key.kind.expected());
            self.push(path, ViolationKind::Missing, message);
        }
    }

    fn check_table(&mut self, key: &Key, max: usize, path: &str, value: &Value) {
        let Value::Object(members) = value else {
            return self.push_invalid_value(path, key.kind, value);
        };
        if members.len() > max {
            let message = format!("has {} names; reduce them to at most {max}", members.len());
            self.push(path, ViolationKind::InvalidValue, message);
        }
        let pattern = join(key.path, "*");
        let keys = self.keys;
        let Some(member) = keys.iter().find(|key| key.path == pattern) else {
            return;
        };
        for (name, value) in members {
            let path = join(path, &truncate(name));
            if !is_name(name) {
                let message = format!("the name is not allowed; use {}", Kind::Name.expected());
                self.push(&path, ViolationKind::InvalidValue, message);
            }
            self.check_value(member, &path, Some(value));
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

fn quote(value: &Value) -> String {
    truncate(&value.to_string())
}

/// Truncates a text, so that invalid input cannot produce error messages of unbounded size.
fn truncate(text: &str) -> String {
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{start}...")
}

fn is_allowed(kind: Kind, value: &Value) -> bool {
    match kind {
        Kind::Section | Kind::Table { .. } => value.is_object(),
        Kind::Boolean => value.is_boolean(),
        Kind::Integer { min, max, .. } => value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
        Kind::Number { min, max } => value.as_f64().is_some_and(|n| (min..=max).contains(&n)),
        Kind::Enum(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
        Kind::Name => value.as_str().is_some_and(is_name),
        Kind::Names { max } => string_list(value).is_some_and(|names| are_names(&names, max)),
        Kind::Address => value.as_str().is_some_and(is_address),
        Kind::Addresses { min, max } => string_list(value).is_some_and(|list| are_addresses(&list, min, max)),
        Kind::Path => value.as_str().is_some_and(|text| !text.is_empty()),
        Kind::Secret { min } => value.as_str().is_some_and(|text| text.len() >= min),
        Kind::Sha256 => value.as_str().is_some_and(is_sha256),
    }
}

fn string_list(value: &Value) -> Option<Vec<&str>> {
    value.as_array()?.iter().map(Value::as_str).collect()
}

fn are_names(names: &[&str], max: usize) -> bool {
    let distinct: HashSet<&&str> = names.iter().collect();
    names.len() <= max && distinct.len() == names.len() && names.iter().all(|name| is_name(name))
}

fn are_addresses(list: &[&str], min: usize, max: usize) -> bool {
    (min..=max).contains(&list.len()) && list.iter().all(|text| is_address(text))
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

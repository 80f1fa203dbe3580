//! Flattening of documents and redaction of their secrets.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::key::{Key, key_at};

/// Text that replaces a secret.
pub const REDACTED: &str = "[redacted]";

/// Returns the values of a document by key path; objects are flattened, lists and empty objects are values.
///
/// # Examples
///
/// ```
/// use chestnutfork_schema::flatten;
/// use serde_json::json;
///
/// let document = json!({ "a": { "b": 1 }, "c": [2] });
/// assert_eq!(flatten(&document)["a.b"], &json!(1));
/// ```
#[must_use]
pub fn flatten(document: &Value) -> BTreeMap<String, &Value> {
    let mut flat = BTreeMap::new();
    flatten_into("", document, &mut flat);
    flat
}

fn flatten_into<'a>(path: &str, value: &'a Value, flat: &mut BTreeMap<String, &'a Value>) {
    match value {
        Value::Object(members) if !members.is_empty() || path.is_empty() => {
            for (name, member) in members {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten_into(&path, member, flat);
            }
        }
        value => {
            flat.insert(path.to_owned(), value);
        }
    }
}

/// Returns the document with every declared secret replaced by [`REDACTED`].
///
/// # Examples
///
/// ```
/// use chestnutfork_schema::{Key, Kind, Presence, redact};
/// use serde_json::json;
///
/// const KEYS: &[Key] = &[Key {
///     path: "secret",
///     kind: Kind::Secret { min: 1 },
///     presence: Presence::Required,
///     description: "Secret of the cluster.",
/// }];
/// assert_eq!(redact(KEYS, &json!({ "secret": "s" })), json!({ "secret": "[redacted]" }));
/// ```
#[must_use]
pub fn redact(keys: &[Key], document: &Value) -> Value {
    redact_value(keys, "", document)
}

fn redact_value(keys: &[Key], path: &str, value: &Value) -> Value {
    if key_at(keys, path).is_some_and(|key| key.kind.is_secret()) {
        return Value::from(REDACTED);
    }
    let Value::Object(members) = value else {
        return value.clone();
    };
    let redacted = members.iter().map(|(name, member)| {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        (name.clone(), redact_value(keys, &path, member))
    });
    Value::Object(redacted.collect())
}

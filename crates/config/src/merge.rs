//! JSON merge patches (RFC 7396).

use serde_json::{Map, Value};

/// Applies a merge patch to a document.
///
/// # Examples
///
/// ```
/// use chestnutfork_config::merge_patch;
/// use serde_json::json;
///
/// let mut document = json!({ "a": 1, "b": 2 });
/// merge_patch(&mut document, &json!({ "a": null, "c": 3 }));
/// assert_eq!(document, json!({ "b": 2, "c": 3 }));
/// ```
pub fn merge_patch(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(members) = target else {
        return;
    };
    for (name, change) in changes {
        if change.is_null() {
            members.remove(name);
        } else {
            merge_patch(members.entry(name.as_str()).or_insert(Value::Null), change);
        }
    }
}

/// Returns the smallest merge patch that turns one document into another.
///
/// Object members must not be null in `new`, because a merge patch cannot express null values. Valid documents have
/// none.
///
/// # Examples
///
/// ```
/// use chestnutfork_config::patch_between;
/// use serde_json::json;
///
/// let patch = patch_between(&json!({ "a": 1, "b": 2 }), &json!({ "b": 3 }));
/// assert_eq!(patch, json!({ "a": null, "b": 3 }));
/// ```
#[must_use]
pub fn patch_between(old: &Value, new: &Value) -> Value {
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        return new.clone();
    };
    let mut patch = Map::new();
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        patch.insert(name.clone(), Value::Null);
    }
    for (name, value) in after {
        match before.get(name) {
            Some(earlier) if earlier == value => {}
            Some(earlier) => {
                patch.insert(name.clone(), patch_between(earlier, value));
            }
            None => {
                patch.insert(name.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}

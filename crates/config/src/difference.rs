//! Differences between two document versions, for the audit trail and for conflicts.

use std::collections::{BTreeMap, BTreeSet};

use chestnutfork_schema::{REDACTED, flatten, key_at};
use serde_json::Value;

use crate::keys::KEYS;

/// Difference of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the key.
    pub path: String,
    /// Value before as JSON, or `None` if the key was absent; a secret is redacted.
    pub old: Option<String>,
    /// Value after as JSON, or `None` if the key is absent; a secret is redacted.
    pub new: Option<String>,
}

/// Returns the differences between two documents in the order of their paths.
///
/// # Examples
///
/// ```
/// use serde_json::json;
///
/// let found = chestnutfork_config::differences(&json!({ "a": 1 }), &json!({ "a": 2 }));
/// assert_eq!(found[0].path, "a");
/// assert_eq!(found[0].new.as_deref(), Some("2"));
/// ```
#[must_use]
pub fn differences(old: &Value, new: &Value) -> Vec<Difference> {
    let before = flatten(old);
    let after = flatten(new);
    let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changed = paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path));
    changed
        .map(|path| Difference {
            path: path.clone(),
            old: before.get(path).map(|value| display_value(path, value)),
            new: after.get(path).map(|value| display_value(path, value)),
        })
        .collect()
}

fn display_value(path: &str, value: &Value) -> String {
    if key_at(KEYS, path).is_some_and(|key| key.kind.is_secret()) {
        return REDACTED.to_owned();
    }
    value.to_string()
}

/// Merges the differences of consecutive versions into those between the first and the last version.
///
/// Omits keys that returned to their former values. Secrets stay, because their redacted values cannot be compared.
pub(crate) fn merge_consecutive<'a>(steps: impl Iterator<Item = &'a Difference>) -> Vec<Difference> {
    let mut merged: BTreeMap<&str, Difference> = BTreeMap::new();
    for step in steps {
        merged
            .entry(&step.path)
            .and_modify(|difference| difference.new.clone_from(&step.new))
            .or_insert_with(|| step.clone());
    }
    let is_secret = |difference: &Difference| difference.new.as_deref() == Some(REDACTED);
    merged
        .into_values()
        .filter(|difference| difference.old != difference.new || is_secret(difference))
        .collect()
}

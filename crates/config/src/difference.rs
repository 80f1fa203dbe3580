//! Differences between two versions, for the audit trail and for conflicts.

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
            old: before.get(path).map(|value| shown(path, value)),
            new: after.get(path).map(|value| shown(path, value)),
        })
        .collect()
}

fn shown(path: &str, value: &Value) -> String {
    if key_at(KEYS, path).is_some_and(|key| key.kind.is_secret()) {
        return REDACTED.to_owned();
    }
    value.to_string()
}

/// Joins the differences of consecutive versions into those between the first and the last.
///
/// A key that returned to its former value is left out, except a secret, whose values cannot be compared here.
pub(crate) fn join<'a>(steps: impl Iterator<Item = &'a Difference>) -> Vec<Difference> {
    let mut joined: BTreeMap<&str, Difference> = BTreeMap::new();
    for step in steps {
        joined
            .entry(&step.path)
            .and_modify(|difference| difference.new.clone_from(&step.new))
            .or_insert_with(|| step.clone());
    }
    let secret = |difference: &Difference| difference.new.as_deref() == Some(REDACTED);
    joined
        .into_values()
        .filter(|difference| difference.old != difference.new || secret(difference))
        .collect()
}

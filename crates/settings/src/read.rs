//! Reading and checking of settings.

use std::fs;
use std::path::Path;

use chestnutfork_schema::{Key, Violation, check, redact, with_defaults};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::error::SettingsError;
use crate::keys::{SECRET_MIN_LENGTH, keys};
use crate::process::{ProcessModel, ProcessSettings};
use crate::role::{Role, Settings};

/// Secrets that may also be given as a file under the key with this suffix.
const SECRETS: [&str; 2] = ["cluster_secret", "target_token"];
const FILE_SUFFIX: &str = "_file";

/// Settings as a tree, with the place that they come from.
pub(crate) struct Source<'a> {
    /// Name of the file for error messages.
    pub file: String,
    /// Folder that relative paths start from.
    pub folder: &'a Path,
    /// Tree of settings.
    pub value: Value,
}

/// Settings of one role, made from its model.
pub(crate) trait RoleModel: DeserializeOwned {
    /// Settings that the model becomes.
    type Settings;

    /// Role of the model.
    const ROLE: Role;

    /// Returns the contradictions between settings.
    fn contradictions(&self, process: &ProcessSettings) -> Vec<Violation>;

    /// Builds the settings; relative paths start from `folder`.
    fn settings(self, process: ProcessSettings, folder: &Path) -> Self::Settings;
}

/// Reads and checks a settings file.
pub(crate) fn load<M: RoleModel>(path: &Path) -> Result<M::Settings, SettingsError> {
    let value = parse_file(path)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let file = path.display().to_string();
    build::<M>(Source { file, folder, value })
}

/// Checks a tree of settings and builds the typed form.
pub(crate) fn build<M: RoleModel>(source: Source<'_>) -> Result<M::Settings, SettingsError> {
    let Source { file, folder, value } = source;
    checked::<M>(value, folder).map_err(|violations| SettingsError { file, violations })
}

fn checked<M: RoleModel>(mut value: Value, folder: &Path) -> Result<M::Settings, Vec<Violation>> {
    let keys = keys(M::ROLE);
    let mut violations = check(&keys, &value);
    resolve_secrets(&keys, &mut value, folder, &mut violations);
    let value = with_defaults(&keys, value);
    // The two models are read even if other settings have problems, so that contradictions are reported as well.
    let process = read::<ProcessModel>(&value)
        .and_then(|model| ProcessSettings::try_from(model).map_err(|violation| vec![violation]));
    let model = read::<M>(&value);
    match (process, model) {
        (Ok(process), Ok(model)) => {
            violations.extend(model.contradictions(&process));
            if violations.is_empty() {
                return Ok(model.settings(process, folder));
            }
            Err(violations)
        }
        (Err(unread), _) | (_, Err(unread)) if violations.is_empty() => Err(unread),
        _ => Err(violations),
    }
}

fn read<T: DeserializeOwned>(value: &Value) -> Result<T, Vec<Violation>> {
    serde_json::from_value(value.clone())
        .map_err(|error| vec![Violation::inconsistent("document", error.to_string())])
}

fn parse_file(path: &Path) -> Result<Value, SettingsError> {
    let fail = |message: String| SettingsError {
        file: path.display().to_string(),
        violations: vec![Violation::inconsistent("document", message)],
    };
    let text = fs::read_to_string(path).map_err(|error| {
        fail(format!(
            "cannot be read ({error}); check the path and its permissions"
        ))
    })?;
    parse(&text).map_err(|error| fail(format!("is not YAML ({error}); correct the line")))
}

fn parse(text: &str) -> Result<Value, serde_yaml_ng::Error> {
    // A YAML value, unlike a JSON one, refuses a key that is given twice.
    let yaml: serde_yaml_ng::Value = serde_yaml_ng::from_str(text)?;
    if yaml.is_null() {
        return Ok(Value::Object(Map::new()));
    }
    serde_yaml_ng::from_value(yaml)
}

/// Replaces `SECRET_file` by the content of the file, and reports secrets that are absent or given twice.
fn resolve_secrets(keys: &[Key], value: &mut Value, folder: &Path, violations: &mut Vec<Violation>) {
    let Value::Object(members) = value else {
        return;
    };
    for name in SECRETS {
        if keys.iter().any(|key| key.path == name) {
            resolve_secret(name, members, folder, violations);
        }
    }
}

fn resolve_secret(
    name: &str,
    members: &mut Map<String, Value>,
    folder: &Path,
    violations: &mut Vec<Violation>,
) {
    let key = format!("{name}{FILE_SUFFIX}");
    match (members.contains_key(name), members.remove(&key)) {
        (true, None) => {}
        (false, None) => {
            let message = format!("is missing; set it or `{key}`");
            violations.push(Violation::inconsistent(name, message));
        }
        (true, Some(_)) => {
            let message = format!("is given twice; remove it or `{key}`");
            violations.push(Violation::inconsistent(name, message));
        }
        (false, Some(path)) => match secret_from(&path, folder) {
            Ok(secret) => {
                members.insert(name.to_owned(), secret);
            }
            Err(message) => violations.push(Violation::inconsistent(key, message)),
        },
    }
}

fn secret_from(path: &Value, folder: &Path) -> Result<Value, String> {
    let path = path.as_str().ok_or("is not a path; set it to a path of a file")?;
    let text = fs::read_to_string(folder.join(path))
        .map_err(|error| format!("cannot be read ({error}); check the path and its permissions"))?;
    let secret = text.trim_end_matches(['\r', '\n']);
    if secret.len() < SECRET_MIN_LENGTH {
        return Err(format!(
            "holds a secret of {} bytes; use at least {SECRET_MIN_LENGTH}",
            secret.len()
        ));
    }
    Ok(Value::from(secret))
}

/// Returns the settings in force as YAML, with defaults filled in and secrets redacted.
///
/// # Errors
///
/// Returns all problems of the file at once.
///
/// # Examples
///
/// ```
/// use std::path::Path;
/// use chestnutfork_settings::{Role, effective_yaml};
///
/// assert!(effective_yaml(Role::Agent, Path::new("absent.yaml")).is_err());
/// ```
pub fn effective_yaml(role: Role, path: &Path) -> Result<String, SettingsError> {
    Settings::load(role, path)?;
    let keys = keys(role);
    let value = redact(&keys, &with_defaults(&keys, parse_file(path)?));
    serde_yaml_ng::to_string(&value).map_err(|error| SettingsError {
        file: path.display().to_string(),
        violations: vec![Violation::inconsistent("document", error.to_string())],
    })
}

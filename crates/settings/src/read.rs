//! Loading and validation of settings.

use std::fs;
use std::path::Path;

use chestnutfork_schema::{Key, Violation, check, redact, with_defaults};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::error::SettingsError;
use crate::keys::{MIN_SECRET_LENGTH, keys};
use crate::process::{ProcessModel, ProcessSettings};
use crate::role::{Role, Settings};

/// Keys of secrets that may be given inline or in a file.
const SECRET_KEYS: [&str; 2] = ["cluster_secret", "target_token"];
/// Suffix of the key that holds the path of a secret file.
const FILE_SUFFIX: &str = "_file";

/// Unvalidated settings with their origin.
pub(crate) struct Source<'a> {
    /// File name or other origin, for error messages.
    pub file: String,
    /// Directory against which relative paths are resolved.
    pub base_dir: &'a Path,
    /// JSON tree of the settings.
    pub value: Value,
}

/// Deserialized form of the settings of one role.
pub(crate) trait RoleModel: DeserializeOwned {
    /// Typed settings that the model is converted to.
    type Settings;

    /// Role of the model.
    const ROLE: Role;

    /// Returns violations that the check of individual values cannot detect.
    fn inconsistencies(&self, process: &ProcessSettings) -> Vec<Violation>;

    /// Converts the model to settings; relative paths are resolved against `base_dir`.
    fn into_settings(self, process: ProcessSettings, base_dir: &Path) -> Self::Settings;
}

/// Reads and validates a settings file.
pub(crate) fn load<M: RoleModel>(path: &Path) -> Result<M::Settings, SettingsError> {
    let value = parse_file(path)?;
    let base_dir = path.parent().unwrap_or(Path::new(""));
    let file = path.display().to_string();
    build::<M>(Source {
        file,
        base_dir,
        value,
    })
}

/// Validates settings and converts them to their typed form.
pub(crate) fn build<M: RoleModel>(source: Source<'_>) -> Result<M::Settings, SettingsError> {
    let Source {
        file,
        base_dir,
        value,
    } = source;
    validate::<M>(value, base_dir).map_err(|violations| SettingsError { file, violations })
}

fn validate<M: RoleModel>(mut value: Value, base_dir: &Path) -> Result<M::Settings, Vec<Violation>> {
    let keys = keys(M::ROLE);
    let mut violations = check(&keys, &value);
    resolve_secrets(&keys, &mut value, base_dir, &mut violations);
    let value = with_defaults(&keys, value);
    // Both models are deserialized even if violations were found, so that inconsistencies are reported as well.
    let process = deserialize::<ProcessModel>(&value)
        .and_then(|model| ProcessSettings::try_from(model).map_err(|violation| vec![violation]));
    let model = deserialize::<M>(&value);
    match (process, model) {
        (Ok(process), Ok(model)) => {
            violations.extend(model.inconsistencies(&process));
            if violations.is_empty() {
                return Ok(model.into_settings(process, base_dir));
            }
            Err(violations)
        }
        (Err(errors), _) | (_, Err(errors)) if violations.is_empty() => Err(errors),
        _ => Err(violations),
    }
}

fn deserialize<T: DeserializeOwned>(value: &Value) -> Result<T, Vec<Violation>> {
    serde_json::from_value(value.clone())
        .map_err(|error| vec![Violation::inconsistent("document", error.to_string())])
}

fn parse_file(path: &Path) -> Result<Value, SettingsError> {
    let document_error = |message: String| SettingsError {
        file: path.display().to_string(),
        violations: vec![Violation::inconsistent("document", message)],
    };
    let text = fs::read_to_string(path).map_err(|error| {
        document_error(format!(
            "cannot be read ({error}); check the path and its permissions"
        ))
    })?;
    parse(&text).map_err(|error| document_error(format!("is not valid YAML ({error}); correct the line")))
}

fn parse(text: &str) -> Result<Value, serde_yaml_ng::Error> {
    // Deserializing directly into a JSON value would accept duplicate keys; the YAML value rejects them.
    let yaml: serde_yaml_ng::Value = serde_yaml_ng::from_str(text)?;
    if yaml.is_null() {
        return Ok(Value::Object(Map::new()));
    }
    serde_yaml_ng::from_value(yaml)
}

/// Replaces each `*_file` key of a secret with the content of the file, and reports secrets that are missing or given both
/// inline and as a file.
fn resolve_secrets(keys: &[Key], value: &mut Value, base_dir: &Path, violations: &mut Vec<Violation>) {
    let Value::Object(members) = value else {
        return;
    };
    for name in SECRET_KEYS {
        if keys.iter().any(|key| key.path == name) {
            resolve_secret(name, members, base_dir, violations);
        }
    }
}

fn resolve_secret(
    name: &str,
    members: &mut Map<String, Value>,
    base_dir: &Path,
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
            let message = format!("is set together with `{key}`; remove one of them");
            violations.push(Violation::inconsistent(name, message));
        }
        (false, Some(path)) => match read_secret_file(&path, base_dir) {
            Ok(secret) => {
                members.insert(name.to_owned(), secret);
            }
            Err(message) => violations.push(Violation::inconsistent(key, message)),
        },
    }
}

fn read_secret_file(path: &Value, base_dir: &Path) -> Result<Value, String> {
    let path = path
        .as_str()
        .ok_or("is not a path; set it to the path of a file")?;
    let text = fs::read_to_string(base_dir.join(path))
        .map_err(|error| format!("cannot be read ({error}); check the path and its permissions"))?;
    let secret = text.trim_end_matches(['\r', '\n']);
    if secret.len() < MIN_SECRET_LENGTH {
        return Err(format!(
            "contains a secret of {} bytes; use at least {MIN_SECRET_LENGTH}",
            secret.len()
        ));
    }
    Ok(Value::from(secret))
}

/// Returns the effective settings of a file as YAML, with defaults applied and secrets redacted.
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

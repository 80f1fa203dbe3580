//! Parsing of patch files in YAML or JSON.

use std::fs;
use std::path::Path;

use serde_json::Value;

use crate::error::{ErrorKind, OperatorError};

/// Reads a merge patch from a file; a file with the extension `json` is parsed as JSON, any other as YAML.
///
/// # Errors
///
/// Returns an error if the file cannot be read or parsed, or does not contain an object.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_operator::read_patch_file("absent.yaml".as_ref()).is_err());
/// ```
pub fn read_patch_file(path: &Path) -> Result<Value, OperatorError> {
    let file_error = |problem: String| ErrorKind::File {
        file: path.display().to_string(),
        problem,
    };
    let text = fs::read_to_string(path)
        .map_err(|error| file_error(format!("cannot be read ({error}); check the path")))?;
    let json = path.extension().is_some_and(|extension| extension == "json");
    let value = if json {
        parse_json(&text)
    } else {
        parse_yaml(&text)
    };
    let value = value.map_err(|error| file_error(format!("cannot be parsed ({error}); correct the line")))?;
    if !value.is_object() {
        return Err(
            file_error("is not an object; write a JSON merge patch of the document".to_owned()).into(),
        );
    }
    Ok(value)
}

fn parse_json(text: &str) -> Result<Value, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

fn parse_yaml(text: &str) -> Result<Value, String> {
    // Deserializing directly into a JSON value would accept duplicate keys; the YAML value rejects them.
    let yaml: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).map_err(|error| error.to_string())?;
    serde_yaml_ng::from_value(yaml).map_err(|error| error.to_string())
}

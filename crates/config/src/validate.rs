//! Validation of a document, including the rules that span several keys.
//!
//! The messages are stored in the replicated verdicts.

use std::collections::HashMap;

use chestnutfork_schema::{Violation, check, with_defaults};
use serde_json::{Map, Value};

use crate::document::Document;
use crate::keys::KEYS;
use crate::model::DocumentModel;

/// Validates a document, fills in defaults and returns the typed form.
///
/// # Errors
///
/// Returns all violations at once, each with its key path, the allowed values and the remedy.
///
/// # Examples
///
/// ```
/// use serde_json::json;
///
/// let body = json!({ "services": { "desk": { "pool": "main", "max_tasks": 0 } } });
/// let errors = chestnutfork_config::validate(&body).unwrap_err();
/// assert_eq!(errors[0].path, "services.desk.max_tasks");
/// ```
pub fn validate(document: &Value) -> Result<Document, Vec<Violation>> {
    let mut violations = check(KEYS, document);
    let complete = with_defaults(KEYS, document.clone());
    for (name, service) in table_members(&complete, "services") {
        check_service(name, service, &mut violations);
    }
    check_teams(&complete, &mut violations);
    if !violations.is_empty() {
        return Err(violations);
    }
    let model: DocumentModel = serde_json::from_value(complete)
        .map_err(|error| vec![Violation::inconsistent("document", error.to_string())])?;
    Document::try_from(model).map_err(|violation| vec![violation])
}

/// Iterates over the members of a table; yields nothing if it is absent or not a table.
fn table_members<'a>(document: &'a Value, table: &str) -> impl Iterator<Item = (&'a String, &'a Value)> {
    let members = document.get(table).and_then(Value::as_object);
    members.into_iter().flat_map(Map::iter)
}

fn check_service(name: &str, service: &Value, violations: &mut Vec<Violation>) {
    let mut push = |key: &str, message: &str| {
        violations.push(Violation::inconsistent(format!("services.{name}.{key}"), message));
    };
    if exceeds(service, "default_deadline_ms", "max_deadline_ms") {
        push(
            "default_deadline_ms",
            "is above `max_deadline_ms`; lower it or raise `max_deadline_ms`",
        );
    }
    if exceeds(service, "max_tasks", "max_queue") {
        push(
            "max_queue",
            "is below `max_tasks`, so the largest job never fits; raise it to at least `max_tasks`",
        );
    }
    if service["hedge"]["enabled"] != Value::Bool(true) {
        return;
    }
    if service["at_most_once"] == Value::Bool(true) {
        push(
            "hedge.enabled",
            "is true for an at-most-once service; set it or `at_most_once` to false",
        );
    }
    if service["weigh"] == "messages" {
        push(
            "hedge.enabled",
            "wastes messages; set it to false or `weigh` to latency",
        );
    }
}

fn exceeds(service: &Value, left: &str, right: &str) -> bool {
    match (service[left].as_u64(), service[right].as_u64()) {
        (Some(left), Some(right)) => left > right,
        _ => false,
    }
}

fn check_teams(document: &Value, violations: &mut Vec<Violation>) {
    let mut tokens: HashMap<String, &str> = HashMap::new();
    for (name, team) in table_members(document, "teams") {
        check_team_services(document, name, team, violations);
        let Some(token) = team["token_sha256"].as_str() else {
            continue;
        };
        if let Some(other) = tokens.insert(token.to_ascii_lowercase(), name) {
            let path = format!("teams.{name}.token_sha256");
            let message = format!("is also the token of team {other}; give each team its own token");
            violations.push(Violation::inconsistent(path, message));
        }
    }
}

fn check_team_services(document: &Value, name: &str, team: &Value, violations: &mut Vec<Violation>) {
    let services = team["services"].as_array().into_iter().flatten();
    for service in services.filter_map(Value::as_str) {
        if document["services"].get(service).is_none() {
            let path = format!("teams.{name}.services");
            let message =
                format!("names the unknown service {service:?}; declare it under `services` or remove it");
            violations.push(Violation::inconsistent(path, message));
        }
    }
}

//! Tests of validation, defaults and redaction.

use chestnutfork_schema::{Key, Kind, Presence, ViolationKind, check, redact, with_defaults};
use serde_json::json;

const fn key(path: &'static str, kind: Kind, presence: Presence) -> Key {
    Key {
        path,
        kind,
        presence,
        description: "A key.",
    }
}

const KEYS: &[Key] = &[
    key("name", Kind::Name, Presence::Required),
    key("log", Kind::Section, Presence::Optional),
    key(
        "log.level",
        Kind::Enum(&["info", "warn"]),
        Presence::Default("\"info\""),
    ),
    key("log.target", Kind::Address, Presence::Required),
    key("seeds", Kind::Addresses { min: 1, max: 3 }, Presence::Required),
    key(
        "ratio",
        Kind::Number { min: 0.0, max: 1.0 },
        Presence::Default("0.5"),
    ),
    key("teams", Kind::Table { max: 2 }, Presence::Optional),
    key("teams.*", Kind::Section, Presence::Optional),
    key(
        "teams.*.quota",
        Kind::Integer {
            min: 1,
            max: 10,
            unit: "tasks",
        },
        Presence::Default("5"),
    ),
    key("teams.*.token", Kind::Sha256, Presence::Required),
    key("teams.*.services", Kind::Names { max: 2 }, Presence::Optional),
];

/// Guards against validation that stops at the first violation or does not detect one of the kinds of violation.
#[test]
fn check_reports_all_violations_with_paths() {
    let document = json!({
        "name": "two words",
        "nmae": 1,
        "log": { "level": "loud" },
        "seeds": ["127.0.0.1:1", "localhost:2"],
        "ratio": 1.5,
        "teams": {
            "a": { "quota": 0, "token": "plain-text-token", "services": ["x", "x"] },
            "b c": 7,
            "d": { "quota": 1.5, "token": "0".repeat(64) },
        },
    });
    let violations = check(KEYS, &document);
    let found: Vec<(&str, ViolationKind)> = violations
        .iter()
        .map(|violation| (violation.path.as_str(), violation.kind))
        .collect();
    let expected = [
        ("nmae", ViolationKind::UnknownKey),
        ("name", ViolationKind::InvalidValue),
        ("log.level", ViolationKind::InvalidValue),
        ("log.target", ViolationKind::Missing),
        ("seeds", ViolationKind::InvalidValue),
        ("ratio", ViolationKind::InvalidValue),
        ("teams", ViolationKind::InvalidValue),
        ("teams.a.quota", ViolationKind::InvalidValue),
        ("teams.a.token", ViolationKind::InvalidValue),
        ("teams.a.services", ViolationKind::InvalidValue),
        ("teams.b c", ViolationKind::InvalidValue),
        ("teams.b c", ViolationKind::InvalidValue),
        ("teams.d.quota", ViolationKind::InvalidValue),
    ];
    assert_eq!(found, expected);
}

/// Guards against secrets in error messages and in redacted documents.
#[test]
fn secret_is_redacted() {
    let document = json!({ "teams": { "a": { "token": "plain-text-token" } } });
    let messages: Vec<String> = check(KEYS, &document).iter().map(ToString::to_string).collect();
    assert!(!messages.join("\n").contains("plain-text-token"));
    assert!(!redact(KEYS, &document).to_string().contains("plain-text-token"));
}

/// Guards against defaults that are not applied in absent sections or that overwrite given values.
#[test]
fn with_defaults_fills_absent_keys_only() {
    let document = json!({ "ratio": 0.1, "teams": { "a": {}, "b": { "quota": 2 } } });
    let expected = json!({
        "ratio": 0.1,
        "log": { "level": "info" },
        "teams": { "a": { "quota": 5 }, "b": { "quota": 2 } },
    });
    assert_eq!(with_defaults(KEYS, document), expected);
}

/// Guards against a panic on a document that is not an object.
#[test]
fn check_rejects_non_object_document() {
    for document in [json!(null), json!([]), json!("x")] {
        assert_eq!(check(KEYS, &document)[0].path, "document");
        assert_eq!(with_defaults(KEYS, document.clone()), document);
    }
}

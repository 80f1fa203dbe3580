//! Tests of validation, defaults and look-ups.

use std::fs;
use std::path::Path;

use chestnutfork_config::{ViolationKind, reference_page, validate};
use chestnutfork_types::{OptimizationGoal, Placement, ServicePolicy, UnconfirmedPolicy};
use serde_json::json;

const HASH_OF_TEST: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// Guards against a reference page that differs from the declarations.
#[test]
fn reference_page_matches_declarations() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let page = fs::read_to_string(path).expect("docs/CONFIGURATION.md exists");
    assert!(
        page == reference_page(),
        "regenerate the page: cargo run -p chestnutfork-config --example configuration_page > docs/CONFIGURATION.md"
    );
}

/// Guards against an example in the reference page that fails validation.
#[test]
fn reference_page_example_is_valid() {
    let page = reference_page();
    let example = page
        .split("```")
        .nth(1)
        .and_then(|block| block.strip_prefix("json"));
    let example = serde_json::from_str(example.expect("page has an example")).expect("example is JSON");
    assert!(validate(&example).is_ok());
}

/// Guards against declared defaults that differ from those of `ServicePolicy::builder`.
#[test]
fn defaults_match_service_policy_builder() {
    let document =
        validate(&json!({ "services": { "desk": { "pool": "main" } } })).expect("document is valid");
    assert_eq!(
        document.service("desk"),
        Some(&ServicePolicy::builder("main").build())
    );
}

/// Guards against a key that is stored in the wrong field.
#[test]
fn validate_reads_every_key() {
    let service = json!({
        "pool": "main", "at_most_once": false, "weigh": "latency", "max_tasks": 7, "max_queue": 8,
        "default_deadline_ms": 9, "max_deadline_ms": 10, "max_in_flight": 11, "unconfirmed": "serve",
        "placement": "random", "retry": { "max_attempts": 2, "budget": 0.25 },
        "hedge": { "enabled": true, "after": 1.5 },
        "ejection": { "failures": 3, "base_ms": 12, "max_fraction": 0.5 },
    });
    let team = json!({ "token_sha256": HASH_OF_TEST, "quota": 13, "services": ["desk"] });
    let document = validate(&json!({ "services": { "desk": service }, "teams": { "setters": team } }))
        .expect("document is valid");
    let policy = document.service("desk").expect("service is known");
    assert!(!policy.at_most_once && policy.hedge.enabled);
    assert_eq!(
        (policy.optimization_goal, policy.placement),
        (OptimizationGoal::Latency, Placement::Random)
    );
    assert_eq!(policy.unconfirmed, UnconfirmedPolicy::Serve);
    assert_eq!(
        (policy.max_tasks, policy.max_queue, policy.max_in_flight),
        (7, 8, 11)
    );
    assert_eq!(
        (
            policy.default_deadline.as_millis(),
            policy.max_deadline.as_millis()
        ),
        (9, 10)
    );
    assert_eq!(
        (policy.retry.max_attempts, policy.ejection.consecutive_failures),
        (2, 3)
    );
    assert_eq!(policy.ejection.base_time.as_millis(), 12);
    let fractions = (
        policy.retry.budget,
        policy.hedge.delay_factor,
        policy.ejection.max_fraction,
    );
    assert_eq!(fractions, (0.25, 1.5, 0.5));
    let team = document.team_by_token("test").expect("token is known");
    assert_eq!((team.name.as_str(), team.quota), ("setters", 13));
    assert!(document.team_by_token("Test").is_none());
}

/// Guards against accepting a document with contradictory keys, and against reporting only some of the violations.
#[test]
fn validate_rejects_contradictions_all_at_once() {
    let document = json!({
        "services": {
            "a": { "pool": "p", "default_deadline_ms": 20, "max_deadline_ms": 10, "hedge": { "enabled": true } },
            "b": { "pool": "p", "max_tasks": 50, "max_queue": 49, "bogus": 1 },
        },
        "teams": {
            "s": { "token_sha256": HASH_OF_TEST, "quota": 1, "services": ["a", "c"] },
            "t": { "token_sha256": HASH_OF_TEST.to_uppercase(), "quota": 0, "services": [] },
        },
    });
    let errors = validate(&document).expect_err("document is not valid");
    let found: Vec<(&str, ViolationKind)> = errors
        .iter()
        .map(|error| (error.path.as_str(), error.kind))
        .collect();
    let expected = [
        ("services.b.bogus", ViolationKind::UnknownKey),
        ("teams.t.quota", ViolationKind::InvalidValue),
        ("services.a.default_deadline_ms", ViolationKind::Inconsistent),
        ("services.a.hedge.enabled", ViolationKind::Inconsistent),
        ("services.a.hedge.enabled", ViolationKind::Inconsistent),
        ("services.b.max_queue", ViolationKind::Inconsistent),
        ("teams.s.services", ViolationKind::Inconsistent),
        ("teams.t.token_sha256", ViolationKind::Inconsistent),
    ];
    assert_eq!(found, expected);
}

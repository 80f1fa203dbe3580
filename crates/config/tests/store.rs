//! Tests of the replicated state machine.

mod common;

use chestnutfork_config::{
    AppliedConfig, ConfigError, ConfigStore, DeltaStep, ErrorKind, HISTORY_LIMIT, PatchCommand, Update,
    VERDICT_LIMIT, Verdict,
};
use common::command;
use serde_json::{Value, json};

const HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// Returns a document or patch body with one service.
fn service(name: &str, max_in_flight: u64) -> Value {
    json!({ "services": { name: { "pool": "main", "max_in_flight": max_in_flight } } })
}

/// Guards against two winners of one base version, and against a conflict that does not show what changed.
#[test]
fn apply_conflict_shows_changes_since_base() {
    let mut store = ConfigStore::default();
    store.apply(&command(0, 1, service("desk", 100)));
    store.apply(&command(1, 2, service("desk", 200)));
    store.apply(&command(2, 3, service("desk", 300)));
    let verdict = store.apply(&command(1, 4, service("desk", 400)));
    let Verdict::Conflict { current, differences } = verdict else {
        panic!("expected a conflict, got {verdict:?}");
    };
    assert_eq!((current, store.version()), (3, 3));
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].path, "services.desk.max_in_flight");
    assert_eq!(differences[0].old.as_deref(), Some("100"));
    assert_eq!(differences[0].new.as_deref(), Some("300"));
}

/// Guards against a resend that gets another verdict after later patches or a restore.
#[test]
fn apply_resend_gets_first_verdict() {
    let mut store = ConfigStore::default();
    let accepted = command(0, 1, service("desk", 100));
    let conflict = command(0, 2, service("desk", 200));
    let invalid = command(1, 3, service("desk", 0));
    let first = [
        store.apply(&accepted),
        store.apply(&conflict),
        store.apply(&invalid),
    ];
    store.apply(&command(1, 4, service("desk", 300)));
    let mut store = ConfigStore::restore(&store.snapshot()).expect("snapshot is readable");
    let before = store.clone();
    let again = [
        store.apply(&accepted),
        store.apply(&conflict),
        store.apply(&invalid),
    ];
    assert_eq!(again, first);
    assert_eq!(store, before);
}

/// Guards against a patch that is reported as accepted because its id was used before.
#[test]
fn apply_reused_id_is_invalid() {
    let mut store = ConfigStore::default();
    store.apply(&command(0, 1, service("desk", 100)));
    let verdict = store.apply(&command(1, 1, service("desk", 200)));
    assert!(matches!(&verdict, Verdict::Invalid { errors } if errors[0].path == "patch_id"));
    assert_eq!(store.version(), 1);
}

/// Guards against memory that grows without bound, and against a forgotten id that is applied twice.
#[test]
fn apply_forgotten_id_conflicts_on_base() {
    let mut store = ConfigStore::default();
    let first = command(0, 0, service("desk", 1));
    store.apply(&first);
    for version in 1..=VERDICT_LIMIT as u64 {
        store.apply(&command(
            version,
            u128::from(version),
            service("desk", version % 9 + 1),
        ));
    }
    assert!(matches!(store.apply(&first), Verdict::Conflict { .. }));
    assert_eq!(store.version(), VERDICT_LIMIT as u64 + 1);
}

/// Guards against secrets in the audit trail and in the document that operators see.
#[test]
fn audit_redacts_secrets() {
    let mut store = ConfigStore::default();
    let team = json!({ "teams": { "setters": { "token_sha256": HASH, "quota": 5, "services": [] } } });
    store.apply(&command(0, 1, team));
    let other = json!({ "teams": { "setters": { "token_sha256": HASH.replace('9', "8") } } });
    store.apply(&command(1, 2, other));
    let records: Vec<_> = store.audit_since(1).collect();
    assert_eq!((records.len(), records[0].version, records[0].base), (1, 2, 1));
    assert_eq!(records[0].differences[0].path, "teams.setters.token_sha256");
    assert_eq!(records[0].differences[0].new.as_deref(), Some("[redacted]"));
    assert!(!store.redacted().to_string().contains(HASH));
}

/// Guards against a delta with a gap for a subscriber at the edge of the history.
#[test]
fn update_since_falls_back_to_snapshot_beyond_history() {
    let mut store = ConfigStore::default();
    let last = HISTORY_LIMIT as u64 + 10;
    for version in 0..last {
        store.apply(&command(
            version,
            u128::from(version),
            service("desk", version + 1),
        ));
    }
    let edge = last - HISTORY_LIMIT as u64;
    assert!(matches!(
        store.update_since(edge - 1),
        Some(Update::Snapshot { .. })
    ));
    let Some(Update::Delta { steps }) = store.update_since(edge) else {
        panic!("expected a delta");
    };
    assert_eq!((steps.len(), steps[0].version), (HISTORY_LIMIT, edge + 1));
    assert_eq!(store.update_since(last), None);
    assert_eq!(store.update_since(last + 1), None);
}

/// Guards against a delta with missing steps that is put in force, and against a lower version.
#[test]
fn applied_rejects_gap_and_lower_version() {
    let mut applied = AppliedConfig::default();
    let snapshot = |version| Update::Snapshot {
        version,
        document: service("desk", version),
    };
    assert!(applied.apply(&snapshot(5)).is_ok());
    assert!(applied.apply(&snapshot(4)).is_ok());
    assert_eq!(applied.version(), 5);
    let gap = Update::Delta {
        steps: vec![DeltaStep {
            version: 7,
            patch: json!({}),
        }],
    };
    let expected = ErrorKind::Gap { previous: 5, next: 7 };
    assert_eq!(applied.apply(&gap), Err(ConfigError { kind: expected }));
    let unknown = Update::Snapshot {
        version: 6,
        document: json!({ "new_section": {} }),
    };
    assert!(applied.apply(&unknown).is_err());
    assert_eq!(applied.version(), 5);
    assert_eq!(
        applied
            .document()
            .service("desk")
            .map(|policy| policy.max_in_flight),
        Some(5)
    );
}

/// Guards against a replica that judges a command by older rules than the others and drifts apart from them.
#[test]
fn decode_refuses_newer_format() {
    let newer = |bytes: Vec<u8>| {
        let text = String::from_utf8(bytes).expect("encoding is text");
        text.replacen("\"format\":1", "\"format\":2,\"more\":true", 1)
            .into_bytes()
    };
    let expected = ConfigError {
        kind: ErrorKind::NewerFormat {
            found: 2,
            supported: 1,
        },
    };
    let bytes = newer(command(0, 1, service("desk", 1)).encode());
    assert_eq!(PatchCommand::decode(&bytes), Err(expected.clone()));
    let bytes = newer(ConfigStore::default().snapshot());
    assert_eq!(ConfigStore::restore(&bytes), Err(expected));
}

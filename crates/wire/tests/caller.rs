//! Parsing of submissions and the JSON form of answers and refusals.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{Answer, Refusal, RefusalCode, ServicePolicy, TaskStatus};
use chestnutfork_wire::{AnswerBody, RefusalBody, SubmitBody, SubmitError};

/// Guards against a misspelt field, such as an idempotency mark, that is silently ignored.
#[test]
fn parse_refuses_unknown_field() {
    let error = SubmitBody::parse(br#"{"idempotant": false, "tasks": []}"#).unwrap_err();
    assert!(matches!(error, SubmitError::Malformed { .. }));
    assert!(error.to_string().contains("idempotant"));
}

/// Guards against ids without a timestamp, whose records the register could never discard by age.
#[test]
fn parse_refuses_random_uuid() {
    let body = br#"{"job_id": "2f1b3c4d-1111-4222-8333-123456789abc", "tasks": []}"#;
    assert!(matches!(
        SubmitBody::parse(body),
        Err(SubmitError::BadJobId { .. })
    ));
}

/// Guards against a non-idempotent mark that the policy of the service overrides.
#[test]
fn into_job_keeps_non_idempotent_mark() {
    let policy = ServicePolicy::builder("main").at_most_once(false).build();
    let parse = |body: &[u8]| {
        SubmitBody::parse(body)
            .unwrap()
            .into_job(1, "s".into(), "t".into(), &policy)
    };
    assert!(parse(br#"{"idempotent": false, "tasks": [{"payload": 1}]}"#).at_most_once);
    assert!(!parse(br#"{"tasks": [{"payload": 1}]}"#).at_most_once);
}

/// Guards against a payload that is re-encoded before it reaches the target.
#[test]
fn parse_keeps_payload_bytes() {
    let submission = SubmitBody::parse(br#"{"tasks": [{"payload": {"b": 1.50, "a": [ ]}}]}"#).unwrap();
    assert_eq!(
        submission.tasks[0].payload,
        Bytes::from_static(br#"{"b": 1.50, "a": [ ]}"#)
    );
}

/// Guards against a parser that panics on arbitrary input.
#[test]
fn parse_survives_arbitrary_bytes() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(bytes: Vec<u8>) -> bool {
        let _ = SubmitBody::parse(&bytes);
        true
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a change to the response format that callers depend on.
#[test]
fn answer_body_matches_documented_form() {
    let answer = Answer::new(
        0x018f_0000_0000_7000_8000_0000_0000_0001,
        vec![
            TaskStatus::Completed {
                output: Bytes::from_static(br#"{"ok":true}"#),
            },
            TaskStatus::Completed {
                output: Bytes::from_static(b"plain"),
            },
            TaskStatus::MayHaveRun {
                reason: "lost".into(),
            },
        ],
    );
    let expected = concat!(
        r#"{"job_id":"018f0000-0000-7000-8000-000000000001","outcome":"failed","tasks":["#,
        r#"{"status":"completed","output":{"ok":true}},"#,
        r#"{"status":"completed","output":"plain"},"#,
        r#"{"status":"may_have_run","reason":"lost"}]}"#,
    );
    assert_eq!(
        serde_json::to_string(&AnswerBody::from(&answer)).unwrap(),
        expected
    );
}

/// Guards against a refusal body that does not say whether tasks may have run.
#[test]
fn refusal_body_matches_documented_form() {
    let refusal =
        Refusal::unknown(RefusalCode::OutcomeUnknown, "too old").retry_after(Duration::from_secs(1));
    let expected = concat!(
        r#"{"error":{"code":"outcome_unknown","message":"too old","outcome":"unknown","#,
        r#""retry_after_ms":1000}}"#,
    );
    assert_eq!(
        serde_json::to_string(&RefusalBody::from(&refusal)).unwrap(),
        expected
    );
}

//! Tests of the bound on unconfirmed configuration; time is virtual.

use std::time::{Duration, Instant};

use chestnutfork_config::{AppliedConfig, Confirmation, ConfirmationTracker, Update};
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against counting the bound from the arrival of a confirmation instead of from the quorum check.
#[test]
fn state_counts_age_of_quorum_check() {
    let start = Instant::now() + 100 * SECOND;
    let mut tracker = ConfirmationTracker::default();
    tracker.confirm(start, 0, 3 * SECOND);
    assert_eq!(tracker.state(start + 5 * SECOND), Confirmation::Confirmed);
    assert_eq!(tracker.state(start + 6 * SECOND), Confirmation::Unconfirmed);
    assert_eq!(tracker.expires_at(), Some(start + 5 * SECOND));
}

/// Guards against an old confirmation that arrives late and shortens the bound.
#[test]
fn confirm_older_check_is_ignored() {
    let start = Instant::now() + 100 * SECOND;
    let mut tracker = ConfirmationTracker::default();
    tracker.confirm(start, 0, Duration::ZERO);
    tracker.confirm(start + SECOND, 0, 5 * SECOND);
    assert_eq!(tracker.expires_at(), Some(start + 8 * SECOND));
}

/// Guards against counting a version as current that control has confirmed to be replaced.
#[test]
fn confirm_later_version_does_not_confirm_version_in_force() {
    let start = Instant::now() + 100 * SECOND;
    let mut tracker = ConfirmationTracker::default();
    tracker.set_applied(4);
    tracker.confirm(start, 4, Duration::ZERO);
    tracker.confirm(start + 6 * SECOND, 5, Duration::ZERO);
    assert_eq!(tracker.state(start + 9 * SECOND), Confirmation::Unconfirmed);
    tracker.set_applied(5);
    assert_eq!(tracker.state(start + 9 * SECOND), Confirmation::Confirmed);
}

/// Guards against a process that accepts work before any confirmation, or `refuse` work after the bound.
#[test]
fn accepts_follows_policy_of_service() {
    let start = Instant::now() + 100 * SECOND;
    let late = start + 9 * SECOND;
    let document = json!({ "services": {
        "strict": { "pool": "main" },
        "open": { "pool": "main", "unconfirmed": "serve" },
    } });
    let mut applied = AppliedConfig::default();
    applied
        .apply(&Update::Snapshot { version: 1, document })
        .expect("document is valid");
    assert!(!applied.accepts(start, "strict") && !applied.accepts(start, "open"));
    applied.confirm(start, 1, Duration::ZERO);
    assert!(applied.accepts(start, "strict") && applied.accepts(start, "open"));
    assert!(!applied.accepts(late, "strict") && applied.accepts(late, "open"));
    assert!(!applied.accepts(start, "unknown"));
}

//! Tests of the limits that an entry sets on the ends of attempts, so that they end before their callers submit elsewhere.

mod entry;

use std::time::Duration;

use chestnutfork_broker::{Action, Answer, Event};
use chestnutfork_types::{AttemptKey, EndLimit, EntryToWorker, WorkerDescription, WorkerToEntry};
use entry::{Entry, millis};

/// Time between the leaving of a caller and its next submission, less the margin of the entry.
const RUN_END_TIME: Duration = Duration::from_millis(1_280);
/// Age that what the process reads may have without a noticed stop.
const UNNOTICED_DELAY: Duration = Duration::from_millis(100);

/// Returns the limits in the actions, with the number of stops before each.
fn end_limits(entry: &Entry) -> Vec<(AttemptKey, EndLimit, usize)> {
    let mut stops = 0;
    let mut found = Vec::new();
    for action in &entry.actions {
        match action {
            Action::ToAgent(_, EntryToWorker::Stop(_)) => stops += 1,
            Action::ToAgent(_, EntryToWorker::EndLimits(limits)) => {
                found.extend(limits.iter().map(|&(key, limit)| (key, limit, stops)));
            }
            _ => {}
        }
    }
    found
}

/// Returns an entry with an attempt that was ordered at 500 ms, and heartbeats until then.
fn entry_with_attempt() -> (Entry, AttemptKey) {
    let mut entry = Entry::with_workers(1);
    entry.advance_to(millis(500), &[1]);
    entry.beat(1, 500, u64::MAX);
    entry.submit(1, 5, 1);
    let (_, key) = entry.attempts()[0];
    (entry, key)
}

/// Guards against a run that outlasts the next submission of its caller, because the entry was stopped when the caller left: the
/// stop leaves the entry late, and the worker may leave it unanswered.
#[test]
fn caller_that_left_during_stop_limits_attempts() {
    for stop in [150, 200, 420, 550] {
        let (mut entry, key) = entry_with_attempt();
        entry.now += millis(stop);
        entry.handle(Event::CallerDisconnected { ticket: 1 });
        let limit = EndLimit {
            heartbeat: Some(500),
            after: RUN_END_TIME,
        };
        assert_eq!(
            end_limits(&entry).last(),
            Some(&(key, limit, 0)),
            "stop of {stop} ms"
        );
        assert_eq!(entry.stops(), 1);
    }
}

/// Guards against the same fault if the entry was delayed by less than a stop that it notices.
#[test]
fn caller_that_left_calm_entry_limits_attempts() {
    let (mut entry, key) = entry_with_attempt();
    entry.advance_to(millis(600), &[]);
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    let limit = EndLimit {
        heartbeat: Some(500),
        after: (millis(100) + RUN_END_TIME).saturating_sub(UNNOTICED_DELAY),
    };
    assert_eq!(end_limits(&entry), [(key, limit, 0)]);
}

/// Guards against a run that goes on because the end of its caller's connection was lost, and the stop at the deadline that the
/// pause has set is left unanswered.
#[test]
fn pause_limits_ends_of_attempts() {
    let (mut entry, key) = entry_with_attempt();
    entry.now += millis(420);
    entry.handle(Event::Tick);
    let limit = EndLimit {
        heartbeat: Some(500),
        after: RUN_END_TIME,
    };
    assert_eq!(end_limits(&entry), [(key, limit, 0)]);
    let resumed_at = millis(920);
    entry.advance_to(millis(1_800), &[1]);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
    let (_, last, _) = end_limits(&entry)[1];
    assert_eq!(time_of(last, resumed_at), millis(500) + RUN_END_TIME);
}

/// Returns the time of a limit that counts from a heartbeat of [`Entry::advance_to`].
fn time_of(limit: EndLimit, begin: Duration) -> Duration {
    let heartbeats = limit.heartbeat.expect("a heartbeat") - 100;
    begin + millis(25 * heartbeats) + limit.after
}

/// Guards against a start after a pause that states no limit although its submission may have waited.
#[test]
fn start_of_waiting_submission_limits_its_end() {
    let mut entry = Entry::with_workers(1);
    entry.advance_to(millis(500), &[1]);
    entry.beat(1, 500, u64::MAX);
    entry.now += millis(300);
    entry.submit(1, 5, 1);
    entry.advance_to(millis(1_000), &[1]);
    let (_, order) = entry.starts().remove(0);
    let limit = order.end_limit.expect("the submission may have waited");
    assert_eq!(time_of(limit, millis(800)), millis(500) + RUN_END_TIME);
}

/// Guards against limits that are far too early, because they count from a heartbeat that waited for the entry as long as the news.
#[test]
fn heartbeat_that_waited_is_no_reference() {
    let (mut entry, key) = entry_with_attempt();
    entry.now += millis(420);
    entry.beat(1, 501, u64::MAX);
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    let heartbeats: Vec<Option<u64>> = end_limits(&entry)
        .iter()
        .map(|(_, limit, _)| limit.heartbeat)
        .collect();
    assert_eq!(heartbeats, [Some(500); 2], "{key:?}");
}

/// Guards against a message that an agent of an earlier version cannot decode, which would close the link.
#[test]
fn agent_of_earlier_version_receives_no_end_limits() {
    let (mut entry, _) = entry_with_attempt();
    let earlier = WorkerDescription {
        worker: "w-1".to_owned(),
        pool: "pool".to_owned(),
        reads_time_limits: true,
        ..WorkerDescription::default()
    };
    entry.receive(1, WorkerToEntry::Describe(earlier, Vec::new()));
    entry.now += millis(420);
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    assert_eq!(end_limits(&entry), []);
    assert_eq!(entry.stops(), 1);
}

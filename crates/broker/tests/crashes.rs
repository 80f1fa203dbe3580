//! Tests of the entry core with tasks whose workers crash.

mod entry;

use chestnutfork_broker::{Answer, Event, JobState};
use chestnutfork_types::{AttemptKey, RunOutcome};
use entry::{Entry, millis};

/// Returns the attempts of one job with their links.
fn attempts_of(entry: &mut Entry, job: u128) -> Vec<(u64, AttemptKey)> {
    let attempts = entry.attempts().into_iter();
    attempts.filter(|(_, key)| key.task.job == job).collect()
}

/// Ends the latest attempt of a job as lost.
fn lose(entry: &mut Entry, job: u128) {
    let (link, key) = *attempts_of(entry, job).last().expect("an attempt was ordered");
    entry.end_attempt(link, key, RunOutcome::Lost);
}

/// Guards against a task that takes one worker after another with it: runs that are lost for an unknown cause must count.
#[test]
fn lost_attempts_end_job_at_limit() {
    let mut entry = Entry::with_workers(5);
    entry.submit(1, 1, 1);
    for _ in 0..3 {
        assert_eq!(entry.answers(), []);
        lose(&mut entry, 1);
    }
    assert_eq!(entry.attempts().len(), 3);
    assert_eq!(entry.answers(), [(1, Answer::State(JobState::Failed))]);
}

/// Guards against a count that ends with the job: callers disconnect and submit the job again.
#[test]
fn lost_attempts_count_across_submissions() {
    let mut entry = Entry::with_workers(5);
    for ticket in 1..=3 {
        entry.submit(ticket, 1, 1);
        lose(&mut entry, 1);
        entry.handle(Event::CallerDisconnected { ticket });
        entry.now += millis(100);
    }
    entry.actions.clear();
    entry.submit(9, 1, 1);
    assert_eq!(entry.attempts(), []);
    assert_eq!(entry.answers(), [(9, Answer::State(JobState::Failed))]);
}

/// Guards against tasks that continue after their job was given up.
#[test]
fn given_up_job_has_its_other_tasks_stopped() {
    let mut entry = Entry::with_workers(5);
    entry.submit(1, 1, 2);
    let (link, key) = entry.attempts()[0];
    entry.end_attempt(link, key, RunOutcome::Lost);
    for _ in 0..2 {
        assert_eq!(entry.stops(), 0);
        lose(&mut entry, 1);
    }
    assert_eq!(entry.answers(), [(1, Answer::State(JobState::Failed))]);
    assert_eq!(entry.stops(), 1);
}

/// Guards against records that are never removed.
#[test]
fn lost_attempts_are_forgotten_after_retention() {
    let mut entry = Entry::with_workers(1);
    for ticket in 1..=2 {
        entry.submit(ticket, 1, 1);
        lose(&mut entry, 1);
        entry.handle(Event::CallerDisconnected { ticket });
    }
    entry.advance_to(millis(31_000), &[1]);
    entry.submit(9, 1, 1);
    lose(&mut entry, 1);
    assert_eq!(entry.answers(), []);
}

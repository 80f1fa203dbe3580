//! Tests of the entry core with tasks whose workers crash.

mod entry;

use chestnutfork_broker::{Answer, Event, JobState};
use chestnutfork_types::{AttemptKey, RunOutcome, TaskKey, WorkerCrash};
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

/// Returns a report that the worker of an agent was lost under the given tasks.
fn crash(incarnation: u64, confirmed: bool, tasks: &[TaskKey]) -> WorkerCrash {
    WorkerCrash {
        incarnation,
        worker: "w".to_owned(),
        confirmed,
        age: millis(0),
        tasks: tasks.to_vec(),
    }
}

fn task(job: u128) -> TaskKey {
    TaskKey {
        job,
        step: 0,
        index: 0,
    }
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

/// Guards against a third start of a task after two workers have crashed under it.
#[test]
fn certain_crashes_end_job_at_limit() {
    let mut entry = Entry::with_workers(5);
    entry.submit(1, 1, 1);
    for _ in 0..2 {
        assert_eq!(entry.answers(), []);
        let (link, key) = *attempts_of(&mut entry, 1).last().expect("an attempt was ordered");
        entry.report_crashes(link, vec![crash(1, true, &[key.task])]);
        entry.end_attempt(link, key, RunOutcome::Lost);
    }
    assert_eq!(entry.attempts().len(), 2);
    assert_eq!(entry.answers(), [(1, Answer::State(JobState::Failed))]);
}

/// Guards against counting one crash several times: agents repeat their reports, and the attempt is reported as lost too.
#[test]
fn one_crash_counts_once() {
    let mut entry = Entry::with_workers(5);
    for job in [1, 2] {
        entry.submit(job, u128::from(job), 1);
    }
    let (link, key) = attempts_of(&mut entry, 1)[0];
    let reports = vec![crash(1, true, &[key.task])];
    entry.report_crashes(link, reports.clone());
    entry.end_attempt(link, key, RunOutcome::Lost);
    for _ in 0..3 {
        entry.report_crashes(link, reports.clone());
    }
    // The lease expires first here, and the new incarnation confirms the crash later.
    let (link, key) = attempts_of(&mut entry, 2)[0];
    entry.report_crashes(link, vec![crash(7, false, &[key.task])]);
    entry.end_attempt(link, key, RunOutcome::Lost);
    entry.now += millis(50);
    entry.report_crashes(link, vec![crash(7, true, &[key.task])]);
    assert_eq!(entry.answers(), []);
}

/// Guards against counting a loss twice whose attempt is reported before the agent reports the loss of the worker.
#[test]
fn late_report_replaces_lost_attempt() {
    let mut entry = Entry::with_workers(5);
    entry.submit(1, 1, 1);
    for _ in 0..2 {
        let (link, key) = *attempts_of(&mut entry, 1).last().expect("an attempt was ordered");
        entry.end_attempt(link, key, RunOutcome::Lost);
        entry.report_crashes(link, vec![crash(1, false, &[key.task])]);
    }
    assert_eq!(entry.answers(), []);
    assert_eq!(entry.attempts().len(), 3);
}

/// Guards against a start at an entry that did not order the earlier ones: the entry that did was killed, or the caller was
/// sent elsewhere.
#[test]
fn reported_job_is_given_up_at_another_entry() {
    let mut entry = Entry::with_workers(5);
    entry.report_crashes(1, vec![crash(1, true, &[task(1), task(2)])]);
    entry.report_crashes(2, vec![crash(1, true, &[task(1)])]);
    entry.submit(1, 1, 3);
    entry.submit(2, 2, 1);
    entry.submit(3, 1, 3);
    assert_eq!(attempts_of(&mut entry, 1), []);
    assert_eq!(attempts_of(&mut entry, 2).len(), 1);
    let failed = Answer::State(JobState::Failed);
    assert_eq!(entry.answers(), [(1, failed), (3, failed)]);
}

/// Guards against records that are lost with the process of an agent.
#[test]
fn reports_outlive_their_agent() {
    let mut entry = Entry::with_workers(5);
    entry.report_crashes(1, vec![crash(1, true, &[task(1)])]);
    entry.handle(Event::AgentDown { link: 1 });
    let agent = "agent-1".to_owned();
    entry.handle(Event::AgentUp {
        link: 9,
        agent,
        process: 99,
    });
    // The next process of the agent numbers the incarnations of its worker from the start.
    entry.report_crashes(9, vec![crash(1, true, &[task(1)])]);
    entry.submit(1, 1, 1);
    assert_eq!(entry.answers(), [(1, Answer::State(JobState::Failed))]);
}

/// Guards against giving a job up for certain and possible crashes that are fewer than three.
#[test]
fn possible_crashes_count_with_certain_ones() {
    let mut entry = Entry::with_workers(5);
    entry.report_crashes(1, vec![crash(1, true, &[task(1)])]);
    entry.report_crashes(2, vec![crash(1, false, &[task(1)])]);
    entry.submit(1, 1, 1);
    assert_eq!(entry.answers(), []);
    assert_eq!(entry.attempts().len(), 1);
    entry.report_crashes(3, vec![crash(1, false, &[task(1)])]);
    assert_eq!(entry.answers(), [(1, Answer::State(JobState::Failed))]);
    assert_eq!(entry.stops(), 1);
}

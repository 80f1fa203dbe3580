//! Tests of the entry core with tasks whose workers crash.

mod entry;

use chestnutfork_broker::{Action, Answer, Event, JobState};
use chestnutfork_types::{AttemptKey, EntryToWorker, RunOutcome, TaskKey, WorkerCrash};
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
        reporter: None,
    }
}

fn task(job: u128) -> TaskKey {
    TaskKey {
        job,
        step: 0,
        index: 0,
    }
}

/// Guards against a task that takes one worker after another with it: runs that are lost for an unknown cause must count. The
/// job has not failed, because no worker has certainly crashed.
#[test]
fn lost_attempts_end_job_at_limit() {
    let mut entry = Entry::with_workers(5);
    entry.submit(1, 1, 1);
    for _ in 0..3 {
        assert_eq!(entry.answers(), []);
        lose(&mut entry, 1);
    }
    assert_eq!(entry.attempts().len(), 3);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
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
    assert_eq!(entry.answers(), [(9, Answer::TimedOut)]);
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
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
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
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
    assert_eq!(entry.stops(), 1);
}

/// Reports a certain crash of a worker under all its attempts, and their ends.
fn crash_worker(entry: &mut Entry, link: u64, incarnation: u64, keys: &[AttemptKey]) {
    let tasks: Vec<TaskKey> = keys.iter().map(|key| key.task).collect();
    entry.report_crashes(link, vec![crash(incarnation, true, &tasks)]);
    entry.actions.clear();
    for &key in keys {
        entry.end_attempt(link, key, RunOutcome::Lost);
    }
}

/// Returns an entry with one more worker after the worker of link 1 has crashed under one task of each of two jobs.
fn after_shared_crash(workers: u64) -> Entry {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 1);
    entry.submit(2, 2, 1);
    let keys: Vec<AttemptKey> = entry.attempts().into_iter().map(|(_, key)| key).collect();
    for link in 2..=workers {
        entry.connect(link);
    }
    crash_worker(&mut entry, 1, 1, &keys);
    entry
}

/// Guards against a second crash that cannot be attributed, because the tasks of the first one are together again.
#[test]
fn suspects_are_placed_apart() {
    let mut entry = after_shared_crash(4);
    let links: Vec<u64> = entry.attempts().into_iter().map(|(link, _)| link).collect();
    assert_eq!(links.len(), 2);
    assert_ne!(links[0], links[1]);
}

/// Guards against two suspects on the only worker that is left, and against a suspect that is never placed.
#[test]
fn suspect_waits_for_worker_without_another_suspect() {
    let mut entry = after_shared_crash(1);
    let first = entry.attempts();
    assert_eq!(first.len(), 1);
    // Tasks that are no suspects use the capacity.
    entry.submit(3, 3, 1);
    assert_eq!(attempts_of(&mut entry, 3).len(), 1);
    entry.end_attempt(first[0].0, first[0].1, RunOutcome::Completed);
    assert_eq!(entry.attempts().len(), 3);
}

/// Guards against a job whose tasks all crash their workers and that takes all workers at once, and against starting its other
/// tasks before the suspects have completed.
#[test]
fn other_tasks_wait_for_suspects_of_their_job() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 5);
    let keys: Vec<AttemptKey> = entry.attempts().into_iter().map(|(_, key)| key).collect();
    assert_eq!(keys.len(), 4);
    for link in 2..=6 {
        entry.connect(link);
    }
    // The fifth task was placed on a worker that joined.
    let (link, other) = *attempts_of(&mut entry, 1).last().expect("an attempt was ordered");
    crash_worker(&mut entry, 1, 1, &keys);
    entry.end_attempt(link, other, RunOutcome::NotStarted);
    // The delay after which a task that was not started is placed again.
    entry.now += millis(50);
    entry.handle(Event::Tick);
    let mut placed = entry.attempts();
    for completed in 1..=4 {
        assert!(placed.len() <= 2, "{placed:?}");
        assert!(placed.iter().all(|(_, key)| key.task != other.task));
        let (link, key) = placed.remove(0);
        entry.actions.clear();
        entry.end_attempt(link, key, RunOutcome::Completed);
        placed.extend(entry.attempts());
        assert_eq!(placed.len(), 2.min(4 - completed).max(1));
    }
    assert_eq!(placed[0].1.task, other.task);
}

/// Guards against an innocent task that is lost with the worker that a suspect crashes.
#[test]
fn other_jobs_avoid_workers_with_suspects() {
    let mut entry = after_shared_crash(6);
    let suspects: Vec<u64> = entry.attempts().into_iter().map(|(link, _)| link).collect();
    entry.actions.clear();
    for job in 3..=12 {
        entry.submit(job, u128::from(job), 1);
    }
    let others: Vec<u64> = entry.attempts().into_iter().map(|(link, _)| link).collect();
    assert_eq!(others.len(), 10);
    assert!(!others.iter().any(|link| suspects.contains(link)), "{others:?}");
}

/// Guards against giving up an innocent task for crashes that another task, given up since, has caused; and against a task that
/// escapes the limit because its crashes are attributed to others.
#[test]
fn crashes_of_given_up_task_do_not_count_for_others() {
    let mut entry = Entry::with_workers(5);
    entry.report_crashes(1, vec![crash(1, true, &[task(1), task(2)])]);
    entry.report_crashes(2, vec![crash(1, true, &[task(1)])]);
    entry.report_crashes(3, vec![crash(1, true, &[task(2)])]);
    entry.submit(1, 1, 1);
    assert_eq!(entry.answers(), [(1, Answer::State(JobState::Failed))]);
    entry.submit(2, 2, 1);
    assert_eq!(attempts_of(&mut entry, 2).len(), 1);
    entry.actions.clear();
    entry.report_crashes(4, vec![crash(1, true, &[task(2)])]);
    assert_eq!(entry.answers(), [(2, Answer::State(JobState::Failed))]);
}

/// Guards against a choice between two tasks that are equally likely to have caused two crashes.
#[test]
fn crashes_shared_by_two_tasks_give_up_both() {
    let mut entry = Entry::with_workers(5);
    for link in 1..=2 {
        entry.report_crashes(link, vec![crash(1, true, &[task(1), task(2)])]);
    }
    for job in 1..=2 {
        entry.submit(job, u128::from(job), 1);
    }
    let failed = Answer::State(JobState::Failed);
    assert_eq!(entry.answers(), [(1, failed), (2, failed)]);
}

/// Returns the records that were passed on to an agent.
fn passed_on(entry: &Entry, to: u64) -> Vec<WorkerCrash> {
    let records = entry.actions.iter().filter_map(|action| match action {
        Action::ToAgent(link, EntryToWorker::Losses(losses)) if *link == to => Some(losses.clone()),
        _ => None,
    });
    records.flatten().collect()
}

/// Guards against a task that goes on crashing workers because the agents that reported its losses have been killed, and then
/// the entries too.
#[test]
fn losses_of_several_workers_are_passed_on() {
    let mut entry = Entry::with_workers(3);
    entry.report_crashes(1, vec![crash(1, false, &[task(1), task(2)])]);
    entry.report_crashes(2, vec![crash(4, true, &[task(1)])]);
    entry.actions.clear();
    // An agent gets records once on each link, and those of other processes only.
    entry.connect(4);
    let losses = passed_on(&entry, 4);
    let sources: Vec<_> = losses
        .iter()
        .map(|loss| (loss.reporter, loss.incarnation))
        .collect();
    assert_eq!(sources, [(Some(1), 1), (Some(2), 4)]);
    assert!(losses.iter().all(|loss| loss.tasks == [task(1)]));
    entry.actions.clear();
    entry.report_crashes(4, Vec::new());
    assert_eq!(passed_on(&entry, 4), []);
    // The next entry learns of them from that agent, and counts each of them once.
    let mut successor = Entry::with_workers(3);
    successor.report_crashes(3, losses.clone());
    successor.report_crashes(2, losses);
    successor.report_crashes(2, vec![crash(4, true, &[task(1)])]);
    successor.report_crashes(3, vec![crash(1, true, &[task(1)])]);
    successor.submit(1, 1, 1);
    assert_eq!(successor.answers(), [(1, Answer::State(JobState::Failed))]);
    assert_eq!(successor.attempts(), []);
}

//! Tests of an entry that is short of processor time, so that its orders leave late and it reads reports late.

mod entry;

use chestnutfork_broker::{Action, Answer, Event, Notice, RefusalReason, RequestKind};
use std::time::Duration;

use chestnutfork_types::{AttemptKey, EndedRun, EntryToWorker, RunOutcome, WorkerToEntry};
use entry::{Entry, millis, request, submission};

/// Reports runs of 100 ms as completed.
fn complete(entry: &mut Entry, attempts: &[(u64, AttemptKey)]) {
    for &(link, key) in attempts {
        let run = EndedRun {
            key,
            outcome: RunOutcome::Completed,
            run_time: millis(100),
        };
        entry.receive(link, WorkerToEntry::Ended(vec![run], Entry::load(u64::MAX)));
    }
}

/// Runs jobs of one task each whose completion is read `delay` milliseconds late.
fn run_jobs(entry: &mut Entry, first: u64, count: u64, delay: u64) {
    let before = entry.attempts().len();
    for job in first..first + count {
        entry.submit(job, u128::from(job), 1);
    }
    let attempts = entry.attempts()[before..].to_vec();
    assert_eq!(attempts.len(), usize::try_from(count).unwrap());
    let read_at = entry.now - entry.start + millis(100 + delay);
    entry.advance_to(read_at, &[1, 2]);
    complete(entry, &attempts);
    entry.now += millis(25);
    entry.handle(Event::Tick);
}

fn notices(entry: &Entry) -> Vec<&Notice> {
    let notice = |action| match action {
        &Action::Notice(ref notice @ (Notice::Behind { .. } | Notice::CaughtUp { .. })) => Some(notice),
        _ => None,
    };
    entry.actions.iter().filter_map(notice).collect()
}

/// Guards against an entry that is short of processor time and shows it to no operator.
#[test]
fn late_reports_show_entry_as_behind() {
    let mut entry = Entry::with_workers(2);
    run_jobs(&mut entry, 1, 4, 150);
    assert!(entry.core.processing_delay(entry.now) >= millis(150));
    assert!(matches!(notices(&entry)[..], [Notice::Behind { jobs: 0, .. }]));
    run_jobs(&mut entry, 11, 4, 0);
    assert!(matches!(
        notices(&entry)[..],
        [Notice::Behind { .. }, Notice::CaughtUp { .. }]
    ));
}

/// Guards against refusals by a calm entry: an agent reports the tasks of a step together, after the last one.
#[test]
fn deferred_ends_are_no_processing_delay() {
    let mut entry = Entry::with_workers(4);
    for job in 1..=4 {
        entry.submit(job, u128::from(job), 4);
    }
    let attempts = entry.attempts();
    assert_eq!(attempts.len(), 16);
    entry.advance_to(millis(400), &[1, 2, 3, 4]);
    for link in 1..=4 {
        let tasks = attempts.iter().filter(|&&(at, _)| at == link);
        let ended = tasks
            .zip([400, 100, 100, 100])
            .map(|(&(_, key), run_time)| EndedRun {
                key,
                outcome: RunOutcome::Completed,
                run_time: millis(run_time),
            });
        let ended = WorkerToEntry::Ended(ended.collect(), Entry::load(u64::MAX));
        entry.receive(link, ended);
    }
    assert_eq!(entry.core.processing_delay(entry.now), millis(0));
    entry.submit(11, 11, 1);
    assert_eq!(refusals(&entry), []);
}

/// Guards against refusals by a calm entry of which a single task has waited.
#[test]
fn single_attempt_is_no_processing_delay() {
    let mut entry = Entry::with_workers(2);
    run_jobs(&mut entry, 1, 1, 220);
    assert_eq!(entry.core.processing_delay(entry.now), millis(0));
}

/// Guards against taking one slow worker for a process that is behind.
#[test]
fn single_late_report_is_no_processing_delay() {
    let mut entry = Entry::with_workers(2);
    entry.submit(1, 1, 4);
    let attempts = entry.attempts();
    entry.advance_to(millis(100), &[1, 2]);
    complete(&mut entry, &attempts[1..]);
    entry.advance_to(millis(200), &[1, 2]);
    complete(&mut entry, &attempts[..1]);
    entry.handle(Event::Tick);
    assert!(entry.core.processing_delay(entry.now) < millis(25));
    assert!(notices(&entry).is_empty());
}

fn refusals(entry: &Entry) -> Vec<(u64, RefusalReason)> {
    let refusal = |(ticket, answer)| match answer {
        Answer::Refused { reason, .. } => Some((ticket, reason)),
        _ => None,
    };
    entry.answers().into_iter().filter_map(refusal).collect()
}

/// Guards against an entry that accepts what it can only answer late, and then serves nearly every job late: the jobs that
/// are late already use the processor time of those that could be in time.
#[test]
fn entry_behind_refuses_what_would_be_late() {
    let mut entry = Entry::with_workers(2);
    // The objective is 300 ms for a run of 100 ms.
    run_jobs(&mut entry, 1, 4, 220);
    entry.submit(11, 11, 1);
    assert_eq!(refusals(&entry), [(11, RefusalReason::Behind)]);
}

/// Guards against refusing jobs that the delay of the entry leaves time for.
#[test]
fn entry_behind_accepts_what_can_be_in_time() {
    let mut entry = Entry::with_workers(2);
    run_jobs(&mut entry, 1, 4, 150);
    entry.submit(11, 11, 1);
    assert_eq!(refusals(&entry), []);
    run_jobs(&mut entry, 21, 4, 220);
    let mut long = submission(1);
    long.steps[0].declared_run_time = millis(900);
    entry.request(31, request(31, RequestKind::Submit(long)));
    assert_eq!(refusals(&entry), []);
}

/// Guards against an entry that goes on refusing after it has caught up, because it gets no new measurement.
#[test]
fn refusals_end_without_further_reports() {
    let mut entry = Entry::with_workers(2);
    run_jobs(&mut entry, 1, 4, 220);
    let elapsed = entry.now - entry.start;
    entry.advance_to(elapsed + millis(250), &[1, 2]);
    entry.submit(11, 11, 1);
    assert_eq!(refusals(&entry), []);
}

/// Guards against refusals by an entry whose callers are more than those of the others: it gets more than an equal part of
/// the workers, as the work that it has completed shows.
#[test]
fn expected_wait_follows_own_throughput() {
    let refused_with = |completed_before: u64| {
        let mut entry = Entry::with_workers(2);
        entry.handle(Event::EntryCount(8));
        for round in 0..completed_before {
            run_jobs(&mut entry, 1 + round * 10, 8, 0);
        }
        // These reports cover no order that follows, so the workers fill up.
        for link in [1, 2] {
            entry.beat(link, 10_000, 0);
        }
        for job in 1_001..=1_012 {
            entry.submit(job, u128::from(job), 1);
        }
        refusals(&entry).len()
    };
    assert!(refused_with(0) > 0);
    assert_eq!(refused_with(8), 0);
}

fn requested_intervals(entry: &Entry) -> Vec<Duration> {
    let interval = |action: &Action| match action {
        Action::ToAgent(_, EntryToWorker::Start(order)) => order.report_interval,
        _ => None,
    };
    entry.actions.iter().filter_map(interval).collect()
}

/// Guards against an entry that is late because it reads the load reports of many workers, each of which is old by then, and
/// against a calm entry, or one with few workers, without the reports that keep its orders from full workers.
#[test]
fn entry_behind_asks_for_fewer_reports() {
    for (workers, least, most) in [(2, 0, 20), (50, 100, 100)] {
        let mut entry = Entry::with_workers(workers);
        run_jobs(&mut entry, 1, 4, 0);
        entry.actions.clear();
        run_jobs(&mut entry, 11, 4, 200);
        let calm = requested_intervals(&entry);
        assert!(!calm.is_empty() && calm.iter().all(|&interval| interval < millis(20)));
        entry.actions.clear();
        entry.submit(21, 21, 1);
        let behind = requested_intervals(&entry)[0];
        assert!(behind >= millis(least) && behind <= millis(most), "{behind:?}");
    }
}

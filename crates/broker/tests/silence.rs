//! Tests of an entry that was paused or cut off: callers may have submitted their jobs to another entry meanwhile, and the end
//! of their connections may have been lost.

mod entry;

use std::time::Duration;

use chestnutfork_broker::{Action, Answer, Event, RefusalReason, RequestKind};
use chestnutfork_types::{AttemptKey, EntryToWorker, RunOutcome};
use entry::{Entry, millis, request};

/// Lets time pass with heartbeats of all agents, so that the entry counts as connected.
fn serve(entry: &mut Entry, from: u64, elapsed: u64) {
    for step in 0..elapsed / 25 {
        entry.now += millis(25);
        entry.beat(1, from + step, u64::MAX);
        entry.handle(Event::Tick);
    }
}

fn is_refused_after_silence(answer: Option<&(u64, Answer)>) -> bool {
    matches!(
        answer,
        Some((
            _,
            Answer::Refused {
                reason: RefusalReason::Silence,
                ..
            }
        ))
    )
}

/// Guards against two runs of a task at a time: a submission waited while the entry was paused, and its caller, whose
/// disconnection was lost, has submitted it to another entry.
#[test]
fn pause_refuses_submission_that_may_run_elsewhere() {
    let mut entry = Entry::with_workers(1);
    serve(&mut entry, 10, 500);
    entry.now += millis(1_250);
    entry.submit(1, 5, 1);
    assert!(is_refused_after_silence(entry.answers().last()));
    serve(&mut entry, 50, 500);
    assert_eq!(entry.attempts(), []);
}

/// Guards against a pause that an idle entry does not notice, because its timer is due about when it ends.
#[test]
fn pause_of_idle_entry_refuses_submission_that_may_run_elsewhere() {
    for paused in [1_100, 1_200, 1_240] {
        let mut entry = Entry::with_workers(1);
        entry.beat(1, 2, 0);
        entry.now += millis(paused);
        entry.submit(1, 5, 1);
        assert!(is_refused_after_silence(entry.answers().last()), "{paused} ms");
    }
}

/// Guards against the same fault after the network of the entry was cut: its timer goes on, but no message arrives.
#[test]
fn cut_refuses_submission_that_may_run_elsewhere() {
    let mut entry = Entry::with_workers(2);
    serve(&mut entry, 10, 200);
    for _ in 0..50 {
        entry.now += millis(25);
        entry.handle(Event::Tick);
    }
    entry.submit(1, 5, 1);
    assert!(is_refused_after_silence(entry.answers().last()));
}

/// Guards against the same fault after a cut that lasts until the entry has given up its links.
#[test]
fn long_cut_refuses_submission_that_may_run_elsewhere() {
    let mut entry = Entry::with_workers(2);
    serve(&mut entry, 10, 200);
    for _ in 0..40 {
        entry.now += millis(25);
        entry.handle(Event::Tick);
    }
    for link in [1, 2] {
        entry.handle(Event::AgentDown { link });
    }
    for _ in 0..20 {
        entry.now += millis(25);
        entry.handle(Event::Tick);
    }
    entry.connect(3);
    entry.submit(1, 5, 1);
    assert!(is_refused_after_silence(entry.answers().last()));
    assert_eq!(entry.attempts(), []);
}

/// Guards against taking killed agents, whose links close at once, for a cut of the entry's own network.
#[test]
fn killed_agents_are_no_silence() {
    let mut entry = Entry::with_workers(2);
    serve(&mut entry, 10, 200);
    for link in [1, 2] {
        entry.handle(Event::AgentDown { link });
    }
    for _ in 0..60 {
        entry.now += millis(25);
        entry.handle(Event::Tick);
    }
    entry.connect(3);
    entry.submit(1, 5, 1);
    assert_eq!(entry.answers(), []);
    assert_eq!(entry.attempts().len(), 1);
}

/// Guards against refusals of callers that cannot have submitted their jobs elsewhere yet, or whose requests are new.
#[test]
fn pause_accepts_what_can_run_nowhere_else() {
    let mut entry = Entry::with_workers(1);
    serve(&mut entry, 10, 200);
    entry.now += millis(600);
    entry.submit(1, 5, 1);
    assert_eq!(entry.answers(), []);
    let mut entry = Entry::with_workers(1);
    entry.now += millis(2_000);
    entry.beat(1, 2, 0);
    serve(&mut entry, 10, 525);
    entry.submit(2, 6, 1);
    assert_eq!(entry.answers(), []);
    assert_eq!(entry.attempts().len(), 1);
}

/// Guards against starting a task again for a job whose runs the agents have stopped during a pause, when its caller may have
/// submitted it elsewhere.
#[test]
fn pause_ends_job_that_may_run_elsewhere() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    let (link, key) = entry.attempts()[0];
    entry.now += millis(1_250);
    entry.beat(1, 2, u64::MAX);
    entry.end_attempt(link, key, RunOutcome::Stopped);
    serve(&mut entry, 10, 300);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
    assert_eq!(entry.attempts().len(), 1);
}

/// Guards against starting a task again after a pause that is shorter than the lease of the entry, and going on with it when
/// its caller may have submitted it elsewhere.
#[test]
fn job_in_progress_during_pause_ends_before_it_may_run_elsewhere() {
    let mut entry = Entry::with_workers(2);
    entry.submit(1, 5, 1);
    let (link, key) = entry.attempts()[0];
    entry.now += millis(550);
    entry.beat(1, 2, 0);
    entry.end_attempt(link, key, RunOutcome::Failed);
    serve(&mut entry, 10, 625);
    assert_eq!(entry.attempts().len(), 2);
    assert_eq!(entry.answers(), []);
    serve(&mut entry, 50, 50);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
}

/// Guards against a job that was accepted after a pause and still runs when another entry may have received it.
#[test]
fn job_accepted_after_pause_ends_before_it_may_run_elsewhere() {
    let mut entry = Entry::with_workers(1);
    serve(&mut entry, 10, 200);
    entry.now += millis(600);
    entry.submit(1, 5, 1);
    serve(&mut entry, 50, 575);
    assert_eq!(entry.attempts().len(), 1);
    assert_eq!(entry.answers(), []);
    serve(&mut entry, 100, 50);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
    assert!(entry.stops() >= 1);
}

/// Guards against giving up a job in progress because its entry was paused for less than its lease.
#[test]
fn short_pause_keeps_job_in_progress() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    serve(&mut entry, 10, 1_000);
    entry.now += millis(400);
    serve(&mut entry, 100, 200);
    assert_eq!(entry.answers(), []);
    let (link, key) = entry.attempts()[0];
    entry.end_attempt(link, key, RunOutcome::Completed);
    assert_eq!(entry.answers().len(), 1);
}

/// Stops an entry over and over, each time too shortly for a pause; in between it reads a heartbeat and its timer.
fn stop_repeatedly(entry: &mut Entry, from: u64, stops: u64) {
    for stop in 0..stops {
        entry.now += millis(200);
        entry.beat(1, from + stop, u64::MAX);
        entry.now += millis(1);
        entry.handle(Event::Tick);
    }
}

/// Guards against two runs of a task at a time: a submission waited while the entry was stopped again and again, each time for
/// less than a pause, and its caller has submitted it to another entry.
#[test]
fn repeated_stops_refuse_submission_that_may_run_elsewhere() {
    for busy in [false, true] {
        let mut entry = Entry::with_workers(1);
        serve(&mut entry, 10, 500);
        if busy {
            entry.submit(1, 5, 1);
        }
        stop_repeatedly(&mut entry, 50, 6);
        entry.submit(2, 6, 1);
        assert!(is_refused_after_silence(entry.answers().last()), "busy: {busy}");
        serve(&mut entry, 100, 75);
        entry.submit(3, 7, 1);
        assert!(is_refused_after_silence(entry.answers().last()), "busy: {busy}");
    }
}

/// Guards against a job that still runs when another entry may have received it, because its entry was stopped again and again
/// and has not read that its caller has left.
#[test]
fn repeated_stops_end_job_before_it_may_run_elsewhere() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    assert_eq!(entry.attempts().len(), 1);
    stop_repeatedly(&mut entry, 50, 6);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
    assert!(entry.stops() >= 1);
}

/// Guards against a job that was accepted between two stops and still runs when another entry may have received it.
#[test]
fn job_accepted_between_stops_ends_before_it_may_run_elsewhere() {
    let mut entry = Entry::with_workers(1);
    serve(&mut entry, 10, 200);
    stop_repeatedly(&mut entry, 50, 3);
    entry.submit(1, 5, 1);
    assert_eq!(entry.answers(), []);
    // A caller submits again 1.3 s after it has given up.
    serve(&mut entry, 100, 650);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
}

/// Guards against refusals by an entry that has read what waited during its stops.
#[test]
fn repeated_stops_accept_what_arrives_afterwards() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    stop_repeatedly(&mut entry, 50, 10);
    serve(&mut entry, 100, 525);
    entry.submit(2, 6, 1);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
    assert_eq!(entry.attempts().len(), 2);
}

/// Guards against refusals and ended jobs because of a quota of processor time, which stops the entry for less than 100 ms at a
/// time, or because of a single stop that is shorter than a pause.
#[test]
fn quota_and_single_stop_keep_jobs_in_progress() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    for period in 0..10 {
        entry.now += millis(88);
        entry.beat(1, 50 + period, u64::MAX);
        entry.now += millis(12);
        entry.handle(Event::Tick);
    }
    entry.submit(2, 6, 1);
    serve(&mut entry, 100, 100);
    stop_repeatedly(&mut entry, 150, 1);
    entry.submit(3, 7, 1);
    serve(&mut entry, 200, 200);
    assert_eq!(entry.answers(), []);
    assert_eq!(entry.attempts().len(), 3);
}

/// Guards against runs that go on because the entry is stopped again when their job must end: their orders carry the deadline
/// that the job had before the silence.
#[test]
fn pause_limits_attempts_in_progress() {
    let mut entry = Entry::with_workers(2);
    entry.submit(1, 5, 1);
    let (link, key) = entry.attempts()[0];
    entry.now += millis(550);
    entry.beat(2, 2, 0);
    assert_eq!(time_limits(&entry), [(link, vec![(key, millis(1_200 - 550))])]);
    entry.now += millis(600);
    entry.beat(2, 3, 0);
    assert_eq!(time_limits(&entry).len(), 1, "the deadline is the same");
}

/// Guards against the same fault if the link to the agent was lost during the pause.
#[test]
fn agent_connected_after_pause_receives_time_limits() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    let (_, key) = entry.attempts()[0];
    entry.now += millis(550);
    entry.handle(Event::AgentDown { link: 1 });
    entry.handle(Event::AgentUp {
        link: 3,
        agent: "agent-1".to_owned(),
        process: 1,
    });
    entry.report_crashes(3, Vec::new());
    // The first link received them as well: its end was read after the pause had been noticed.
    assert_eq!(
        time_limits(&entry).last(),
        Some(&(3, vec![(key, millis(1_200 - 550))]))
    );
}

fn time_limits(entry: &Entry) -> Vec<(u64, Vec<(AttemptKey, Duration)>)> {
    let limits = entry.actions.iter().filter_map(|action| match action {
        Action::ToAgent(link, EntryToWorker::TimeLimits(limits)) => Some((*link, limits.clone())),
        _ => None,
    });
    limits.collect()
}

/// Guards against jobs whose callers may have left and submitted them elsewhere, while the news waits behind other messages of
/// a process that never stops.
#[test]
fn long_waiting_messages_end_jobs_in_progress() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    serve(&mut entry, 10, 1_300);
    for (waited, ended) in [(1_100, false), (1_200, true)] {
        let request = request(6, RequestKind::Lookup);
        let received_at = entry.now.checked_sub(millis(waited)).unwrap();
        entry.handle(Event::Request {
            ticket: waited,
            request,
            received_at,
        });
        serve(&mut entry, 100, 50);
        assert_eq!(entry.answers().contains(&(1, Answer::TimedOut)), ended);
    }
}

/// Guards against refusals and ended jobs because of a busy machine, on which the process is stopped again and again but runs
/// long enough in between to read what waited.
#[test]
fn stops_with_time_to_read_in_between_keep_jobs() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    for stop in 0..8 {
        entry.now += millis(150);
        entry.beat(1, 50 + stop, u64::MAX);
        entry.now += millis(25);
        entry.handle(Event::Tick);
        entry.now += millis(25);
        entry.handle(Event::Tick);
    }
    entry.submit(2, 6, 1);
    assert_eq!(entry.answers(), []);
    assert_eq!(entry.attempts().len(), 2);
}

/// Guards against a job that runs on after a cut of the entry's network, because a short stop during the cut hides its beginning.
#[test]
fn short_stop_does_not_hide_cut() {
    let mut entry = Entry::with_workers(1);
    serve(&mut entry, 10, 200);
    entry.submit(1, 5, 1);
    let cut_at = entry.now;
    for _ in 0..12 {
        entry.now += millis(25);
        entry.handle(Event::Tick);
    }
    entry.now += millis(130);
    entry.handle(Event::Tick);
    while entry.now < cut_at + millis(900) {
        entry.now += millis(25);
        entry.handle(Event::Tick);
    }
    serve(&mut entry, 100, 325);
    assert!(entry.now < cut_at + millis(1_300));
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
}

//! Tests of what runs use that an earlier agent process started: a worker that does not enforce its capacity starts whatever
//! it is ordered to.

mod common;

use chestnutfork_types::{EntryToWorker, RecordedAttempt, RunOutcome};
use chestnutfork_worker::{CallOutcome, Event, ListedEnd, RunList};
use common::{Agent, announcement, attempt, is_renewal, is_start, is_stop, listed, millis, recorded};

/// Returns the number of starts among the latest calls.
fn starts(agent: &Agent) -> usize {
    let calls = agent.calls();
    calls.iter().filter(|(_, order)| is_start(order)).count()
}

fn list_of_run() -> RunList {
    RunList {
        running: vec![listed(attempt(0, 2), 2)],
        ..RunList::default()
    }
}

fn end_of_run() -> RunList {
    RunList {
        ended: vec![ListedEnd {
            number: 1,
            run: listed(attempt(0, 2), 2),
            outcome: RunOutcome::Completed,
        }],
        ..RunList::default()
    }
}

/// Returns a restarted agent whose worker lists a run that the entry has recorded as given.
fn agent_with_adopted_run(recorded: RecordedAttempt) -> Agent {
    let mut agent = Agent::new();
    agent.connect();
    agent.send(EntryToWorker::Reconcile {
        keep: vec![recorded],
        stop: Vec::new(),
    });
    agent.handle(Event::Announced(announcement(1, 9)));
    agent.answer_renewal(list_of_run());
    assert_eq!(agent.core.runs_in_progress(), 1);
    agent
}

/// Guards against a restarted agent that fills the whole capacity beside the runs that it takes over.
#[test]
fn adopted_run_counts_against_capacity() {
    let mut agent = agent_with_adopted_run(recorded(attempt(0, 2)));
    let renewal = agent.call(is_renewal);
    agent.start(&[attempt(1, 1), attempt(2, 1)]);
    assert_eq!(starts(&agent), 1, "two tasks fit on the worker");
    agent.reply(renewal, CallOutcome::LeaseRenewed(end_of_run()));
    assert_eq!(starts(&agent), 1);
}

/// Guards against starts beside a run whose entry, of an earlier version, does not state what it uses.
#[test]
fn adopted_run_of_unknown_resources_allows_no_start() {
    let unknown = RecordedAttempt {
        resources: None,
        ..recorded(attempt(0, 2))
    };
    let mut agent = agent_with_adopted_run(unknown);
    let renewal = agent.call(is_renewal);
    agent.order(&[attempt(1, 1)], false);
    assert_eq!(starts(&agent), 0);
    agent.reply(renewal, CallOutcome::LeaseRenewed(end_of_run()));
    assert_eq!(starts(&agent), 1);
}

/// Guards against counting the whole capacity as free in reports, so that entries place tasks which cannot start.
#[test]
fn adopted_run_is_not_reported_as_free() {
    let mut agent = agent_with_adopted_run(recorded(attempt(0, 2)));
    agent.order(&[attempt(1, 1), attempt(2, 1)], true);
    assert_eq!(starts(&agent), 1);
    let refused = agent.ended();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].outcome, RunOutcome::NotStarted);
}

/// Guards against a claim of a run that is being stopped which loses what the run uses.
#[test]
fn adopted_run_claimed_while_stopping_counts_against_capacity() {
    let mut agent = Agent::new();
    agent.handle(Event::Announced(announcement(1, 9)));
    agent.answer_renewal(list_of_run());
    agent.advance_to(millis(250));
    let stop = agent.call(is_stop);
    agent.connect();
    agent.send(EntryToWorker::Reconcile {
        keep: vec![recorded(attempt(0, 2))],
        stop: Vec::new(),
    });
    agent.reply(stop, CallOutcome::Done);
    agent.start(&[attempt(1, 1), attempt(2, 1)]);
    assert_eq!(starts(&agent), 1, "two tasks fit on the worker");
}

/// Guards against a run that a restarted agent takes over without the time limit that its entry has sent, before or after the
/// worker lists the run.
#[test]
fn adopted_run_keeps_time_limit() {
    for listed_first in [false, true] {
        let mut agent = Agent::new();
        agent.connect();
        agent.send(EntryToWorker::Reconcile {
            keep: vec![recorded(attempt(0, 2))],
            stop: Vec::new(),
        });
        agent.handle(Event::Announced(announcement(1, 9)));
        let limits = EntryToWorker::TimeLimits(vec![(attempt(0, 2), millis(100))]);
        let renewal = agent.call(is_renewal);
        if listed_first {
            agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
            agent.send(limits);
        } else {
            agent.send(limits);
            agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
        }
        agent.advance_to(millis(99));
        assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
        agent.advance_to(millis(100));
        assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
    }
}

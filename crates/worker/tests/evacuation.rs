//! Tests of the agent core in an evacuated failure domain.

mod common;

use std::time::Duration;

use chestnutfork_evacuation::Evacuations;
use chestnutfork_types::{EntryToWorker, RunOutcome, WorkerToEntry};
use chestnutfork_worker::{Action, CallOutcome, Event, ListedEnd, Notice, Refusal, RunList};
use common::{Agent, announcement, attempt, is_renewal, is_start, is_stop, listed, millis};

/// Delivers a state; the worker of the tests is in `zone-a`.
fn evacuate(agent: &mut Agent, revision: u64, domains: &[&str]) {
    let domains = domains.iter().map(|&domain| domain.to_owned()).collect();
    let state = Evacuations { revision, domains };
    agent.handle(Event::Evacuations {
        state,
        age: Duration::ZERO,
    });
}

/// Returns whether the latest description says that the worker accepts no tasks.
fn leaving(agent: &Agent) -> Option<bool> {
    let descriptions = agent.actions.iter().rev();
    let mut descriptions = descriptions.filter_map(|action| match action {
        Action::ToEntry(_, WorkerToEntry::Describe(worker, _)) => Some(worker.leaving),
        _ => None,
    });
    descriptions.next()
}

fn starts(agent: &Agent) -> usize {
    agent.calls().iter().filter(|(_, order)| is_start(order)).count()
}

/// Guards against starts that an entry orders which has not heard of the evacuation, and against refused orders that are queued
/// first and logged as runs that ended.
#[test]
fn evacuated_domain_refuses_starts() {
    let mut agent = Agent::ready();
    evacuate(&mut agent, 1, &["zone-b", "zone-a"]);
    assert_eq!(leaving(&agent), Some(true));
    agent.start(&[attempt(0, 1)]);
    assert_eq!(starts(&agent), 0);
    let ended = agent.ended();
    assert_eq!(
        (ended[0].key, ended[0].outcome),
        (attempt(0, 1), RunOutcome::NotStarted)
    );
    assert_eq!(agent.core.runs_in_progress(), 0);
    let ended = |action: &Action| matches!(action, Action::Notice(Notice::RunEnded { .. }));
    assert!(
        !agent.actions.iter().any(ended),
        "a refused order is logged as a run"
    );
}

/// Guards against the evacuation of another domain that ends the service of this one.
#[test]
fn other_domain_has_no_effect() {
    let mut agent = Agent::ready();
    evacuate(&mut agent, 1, &["zone-b", "zone"]);
    assert_eq!(leaving(&agent), None);
    agent.start(&[attempt(0, 1)]);
    assert_eq!(starts(&agent), 1);
}

/// Guards against a queued task that starts during the evacuation, and against a running one that is stopped.
#[test]
fn evacuation_returns_queued_and_keeps_running() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1), attempt(1, 1), attempt(2, 1)]);
    let renewal = agent.call(is_renewal);
    evacuate(&mut agent, 1, &["zone-a"]);
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    let ended = agent.ended();
    assert_eq!(ended.len(), 1);
    assert_eq!(
        (ended[0].key, ended[0].outcome),
        (attempt(2, 1), RunOutcome::NotStarted)
    );
    assert_eq!(agent.core.runs_in_progress(), 2);
    let notice = agent.actions.iter().find_map(|action| match action {
        Action::Notice(Notice::EvacuationsInForce { refused, state, .. }) => Some((*refused, state.revision)),
        _ => None,
    });
    assert_eq!(notice, Some((1, 1)));
    let ends = [0, 1].map(|index| ListedEnd {
        number: u64::from(index) + 1,
        run: listed(attempt(index, 1), 1),
        outcome: RunOutcome::Completed,
    });
    let list = RunList {
        ended: ends.to_vec(),
        ..RunList::default()
    };
    agent.reply(renewal, CallOutcome::LeaseRenewed(list));
    let outcomes = agent.ended().into_iter().map(|ended| ended.outcome);
    assert_eq!(outcomes.collect::<Vec<_>>(), [RunOutcome::Completed; 2]);
    assert_eq!(starts(&agent), 0);
}

/// Guards against a start that the worker refuses for a moment and that is tried again during the evacuation.
#[test]
fn refused_start_is_not_repeated_during_evacuation() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    evacuate(&mut agent, 1, &["zone-a"]);
    assert_eq!(agent.ended(), []);
    agent.reply(start, CallOutcome::Refused(Refusal::InsufficientCapacity));
    let ended = agent.ended();
    assert_eq!(
        (ended[0].key, ended[0].outcome),
        (attempt(0, 1), RunOutcome::NotStarted)
    );
    agent.advance_to(millis(200));
    assert_eq!(starts(&agent), 0);
}

/// Guards against a domain that stays out of use after its evacuation has ended, and against an older state of a restarted
/// control process that withdraws an evacuation.
#[test]
fn end_of_evacuation_accepts_starts() {
    let mut agent = Agent::ready();
    evacuate(&mut agent, 4, &["zone-a"]);
    evacuate(&mut agent, 3, &[]);
    agent.start(&[attempt(0, 1)]);
    assert_eq!(starts(&agent), 0);
    evacuate(&mut agent, 5, &[]);
    assert_eq!(leaving(&agent), Some(false));
    agent.start(&[attempt(0, 2)]);
    assert_eq!(starts(&agent), 1);
}

/// Guards against an evacuation that is forgotten when the worker announces itself after it, or an entry connects.
#[test]
fn evacuation_precedes_worker_and_entry() {
    let mut agent = Agent::new();
    evacuate(&mut agent, 1, &["zone-a"]);
    agent.handle(Event::Announced(announcement(1, 1)));
    agent.answer_renewal(RunList::default());
    agent.connect();
    agent.handle(Event::EntryUp { link: 2, entry: 78 });
    assert_eq!(leaving(&agent), Some(true));
    agent.start(&[attempt(0, 1)]);
    assert_eq!(starts(&agent), 0);
    agent.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
    assert_eq!(agent.core.verify(), []);
}

//! Tests of the agent core with a worker whose capacity changes while it runs.

mod agent;

use agent::{Agent, LINK, announcement, attempt, cores, starts};
use chestnutfork_types::{AttemptKey, EntryToWorker, RunOutcome, WorkerToEntry};
use chestnutfork_worker::{Action, Announcement, Event, ListedEnd, ListedRun, RunList};

fn resized(sequence: u64, count: u64) -> Announcement {
    let mut announcement = announcement(1, sequence);
    announcement.description.capacity = cores(count);
    announcement
}

/// Lists the end of a job's run, and returns the resulting actions.
fn end(agent: &mut Agent, number: u64, job: u128) -> Vec<Action> {
    let run = ListedRun {
        task: attempt(job).task,
        number: 1,
    };
    let ended = ListedEnd {
        number,
        run,
        outcome: RunOutcome::Completed,
    };
    agent.answer_renewal(RunList {
        ended: vec![ended],
        truncated: true,
        ..RunList::default()
    })
}

/// Guards against a panic of the verifier, and against starts without room, when the capacity shrinks below the runs that are
/// in progress; these continue.
#[test]
fn shrunken_capacity_orders_no_start_until_there_is_room() {
    let mut agent = Agent::ready();
    let jobs: Vec<AttemptKey> = (1..=4).map(attempt).collect();
    assert_eq!(starts(&agent.start(&jobs, cores(1))).len(), 4);
    agent.handle(Event::Announced(resized(2, 2)));
    assert_eq!(agent.core.runs_in_progress(), 4);
    assert_eq!(starts(&agent.start(&[attempt(5)], cores(1))), []);
    // After two ends the other two runs still fill the two cores that are left.
    assert_eq!(starts(&end(&mut agent, 1, 1)), []);
    assert_eq!(starts(&end(&mut agent, 2, 2)), []);
    let actions = end(&mut agent, 3, 3);
    assert_eq!(starts(&actions), [5]);
    agent.confirm(&actions);
    assert_eq!(starts(&agent.start(&[attempt(6)], cores(1))), []);
    assert_eq!(starts(&agent.handle(Event::Announced(resized(3, 4)))), [6]);
}

/// Guards against counting a run that is being stopped as room while the capacity is shrunken.
#[test]
fn shrunken_capacity_counts_stopping_runs() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1), attempt(2)], cores(1));
    agent.handle(Event::Announced(resized(2, 2)));
    let message = EntryToWorker::Stop(vec![attempt(1)]);
    agent.handle(Event::FromEntry { link: LINK, message });
    assert_eq!(starts(&agent.start(&[attempt(3)], cores(1))), []);
}

/// Guards against a task that no longer fits into the worker and keeps all others from starting there.
#[test]
fn shrunken_capacity_refuses_what_no_longer_fits() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    agent.handle(Event::Announced(resized(2, 2)));
    let actions = agent.start(&[attempt(2)], cores(3));
    let refused = actions.iter().any(|action| {
        matches!(action, Action::ToEntry(_, WorkerToEntry::Ended(ended, _))
            if ended[0].key == attempt(2) && ended[0].outcome == RunOutcome::NotStarted)
    });
    assert!(refused, "{actions:?}");
    assert_eq!(starts(&agent.start(&[attempt(3)], cores(1))), [3]);
}

//! Tests of the agent core with numbers at the end of their range, which the worker or another writer may state.

mod common;

use chestnutfork_types::{EntryToWorker, Resources, RunOutcome};
use chestnutfork_worker::{CallOutcome, Event, ListedEnd, RunList};
use common::{Agent, announcement, attempt, is_renewal, listed, millis, recorded};

/// Guards against an agent that an announcement or a list with extreme numbers ends.
#[test]
fn extreme_numbers_of_worker_are_handled() {
    let mut agent = Agent::new();
    let extreme = |started_at| {
        let mut announcement = announcement(1, 1);
        announcement.started_at = millis(started_at);
        announcement.clock = millis(u64::MAX);
        announcement.sequence = u64::MAX;
        announcement.description.capacity = Resources {
            cpu_millis: u64::MAX,
            memory_mb: u64::MAX,
            gpus: u64::MAX,
        };
        announcement
    };
    agent.connect();
    agent.handle(Event::Announced(extreme(1)));
    agent.answer_renewal(RunList {
        running: vec![listed(attempt(0, 1), u64::MAX)],
        ..RunList::default()
    });
    let renewal = agent.call(is_renewal);
    agent.send(EntryToWorker::Reconcile {
        keep: vec![recorded(attempt(0, 1))],
        stop: Vec::new(),
    });
    agent.reply(
        renewal,
        CallOutcome::LeaseRenewed(RunList {
            ended: vec![ListedEnd {
                number: u64::MAX,
                run: listed(attempt(0, 1), u64::MAX),
                outcome: RunOutcome::Completed,
            }],
            ..RunList::default()
        }),
    );
    agent.start(&[attempt(0, 2), attempt(1, 1)]);
    agent.handle(Event::Announced(extreme(2)));
    agent.advance_to(millis(300));
}

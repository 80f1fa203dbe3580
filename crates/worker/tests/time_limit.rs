//! Test of the time limit of runs.

mod common;

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{EntryToWorker, OrderKinds, StartOrder, TaskOrder};
use chestnutfork_worker::CallOutcome;
use common::{Agent, TASK_RESOURCES, attempt, is_start, is_stop, millis};

fn start_order(time_limit: Duration) -> EntryToWorker {
    EntryToWorker::Start(StartOrder {
        refuse_if_full: false,
        kinds: OrderKinds::default(),
        time_limit: Some(time_limit),
        end_limit: None,
        report_interval: None,
        number: 1,
        last_heartbeat: 1,
        time_to_objective: millis(200),
        spec: Bytes::from_static(b"spec"),
        tasks: vec![TaskOrder {
            key: attempt(0, 1),
            resources: TASK_RESOURCES,
            declared_run_time: millis(100),
        }],
    })
}

/// Guards against a run that goes on because its entry is paused when its time is over, and its caller has submitted the job
/// to another entry.
#[test]
fn time_limit_stops_run_without_order() {
    let mut agent = Agent::ready();
    agent.send(start_order(millis(300)));
    let start = agent.call(is_start);
    agent.reply(start, CallOutcome::Done);
    agent.advance_to(millis(299));
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    assert!(agent.core.next_wakeup() <= agent.start + millis(300));
    agent.advance_to(millis(300));
    assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
}

/// Guards against a run that goes on until the limit of its order, although its entry has found out since that its caller may
/// have submitted the job elsewhere; and against a limit that prolongs a run.
#[test]
fn time_limit_is_shortened_and_never_extended() {
    for (limit, stops_at) in [(200, 200), (600, 300)] {
        let mut agent = Agent::ready();
        agent.send(start_order(millis(300)));
        let start = agent.call(is_start);
        agent.reply(start, CallOutcome::Done);
        agent.send(EntryToWorker::TimeLimits(vec![(attempt(0, 1), millis(limit))]));
        agent.advance_to(millis(stops_at - 1));
        assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
        agent.advance_to(millis(stops_at));
        assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
    }
}

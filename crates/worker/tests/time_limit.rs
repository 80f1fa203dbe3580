//! Test of the time limit of runs.

mod common;

use bytes::Bytes;
use chestnutfork_types::{EntryToWorker, StartOrder, TaskOrder};
use chestnutfork_worker::CallOutcome;
use common::{Agent, TASK_RESOURCES, attempt, is_start, is_stop, millis};

/// Guards against a run that goes on because its entry is paused when its time is over, and its caller has submitted the job
/// to another entry.
#[test]
fn time_limit_stops_run_without_order() {
    let mut agent = Agent::ready();
    agent.send(EntryToWorker::Start(StartOrder {
        refuse_if_full: false,
        time_limit: Some(millis(300)),
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
    }));
    let start = agent.call(is_start);
    agent.reply(start, CallOutcome::Done);
    agent.advance_to(millis(299));
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    assert!(agent.core.next_wakeup() <= agent.start + millis(300));
    agent.advance_to(millis(300));
    assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
}

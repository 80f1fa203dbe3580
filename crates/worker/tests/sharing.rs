//! Reports of interference by the agent.

mod common;

use chestnutfork_types::{
    EntryToWorker, InterferenceReport, KindId, OrderKinds, RunOutcome, StartOrder, TaskOrder, WorkerToEntry,
};
use chestnutfork_worker::{Action, CallId, CallOutcome, ListedEnd, ListedRun, Order, RunList};
use common::{Agent, TASK_RESOURCES, attempt, is_start, millis};

const KIND: KindId = 7;
const OTHER: KindId = 8;

/// Orders two tasks of two kinds, and returns the lease renewal in flight.
fn order(agent: &mut Agent, kinds: OrderKinds) -> CallId {
    let tasks = [0, 1].map(|index| TaskOrder {
        key: attempt(index, 1),
        resources: TASK_RESOURCES,
        declared_run_time: millis(100),
    });
    agent.send(EntryToWorker::Start(StartOrder {
        refuse_if_full: false,
        kinds,
        time_limit: None,
        end_limit: None,
        report_interval: None,
        number: 1,
        last_heartbeat: 1,
        time_to_objective: millis(200),
        spec: bytes::Bytes::from_static(b"spec"),
        tasks: tasks.to_vec(),
    }));
    let starts: Vec<_> = agent
        .calls()
        .into_iter()
        .filter(|(_, order)| is_start(order))
        .collect();
    assert_eq!(starts.len(), 2, "both tasks start");
    let renewal = agent.call(|order| matches!(order, Order::RenewLease { .. }));
    for (call, _) in starts {
        agent.reply(call, CallOutcome::Done);
    }
    renewal
}

/// Advances to the next heartbeat and returns the reports of interference until then.
fn reports(agent: &mut Agent, elapsed: u64) -> Vec<InterferenceReport> {
    let mut reports = Vec::new();
    for at in (elapsed - 190..=elapsed).step_by(10) {
        agent.advance_to(millis(at));
        let sent = agent.actions.iter().filter_map(|action| match action {
            Action::ToEntry(_, WorkerToEntry::Interference(report)) => Some(report.clone()),
            _ => None,
        });
        reports.extend(sent);
    }
    reports
}

fn kinds(watched: &[KindId]) -> OrderKinds {
    OrderKinds {
        tasks: vec![KIND, OTHER],
        watched: watched.to_vec(),
    }
}

/// Load: tasks that run side by side without interference. Guards against messages where nothing interferes, and against a
/// message that an entry of an earlier version cannot read.
#[test]
fn report_nothing_without_interference() {
    for kinds in [OrderKinds::default(), kinds(&[])] {
        let mut agent = Agent::ready();
        order(&mut agent, kinds);
        assert_eq!(reports(&mut agent, 200), []);
    }
}

/// Load: a kind that interferes on other workers runs here. Guards against an entry that does not learn what runs beside its
/// tasks, and against tasks that it takes for running after their end.
#[test]
fn report_running_watched_kinds_until_end() {
    let mut agent = Agent::ready();
    let renewal = order(&mut agent, kinds(&[KIND]));
    let first = reports(&mut agent, 200);
    assert_eq!(first.len(), 1, "one report with the heartbeat: {first:?}");
    assert_eq!(first[0].running, [(KIND, 1)]);
    let ended = [(0, 1), (1, 2)].map(|(index, number)| ListedEnd {
        number,
        run: ListedRun {
            task: attempt(index, 1).task,
            number: 1,
        },
        outcome: RunOutcome::Completed,
    });
    let list = RunList {
        ended: ended.to_vec(),
        ..RunList::default()
    };
    agent.reply(renewal, CallOutcome::LeaseRenewed(list));
    assert_eq!(agent.core.runs_in_progress(), 0);
    let second = reports(&mut agent, 400);
    assert_eq!(second.len(), 1, "one report with the heartbeat: {second:?}");
    assert_eq!(second[0].running, []);
}

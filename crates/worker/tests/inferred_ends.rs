//! Tests of ends that the agent core infers because the worker does not list them: no run may continue on a worker after
//! its attempt was reported as ended, because the entry then starts the task on another worker.

mod common;

use std::time::Duration;

use chestnutfork_types::{EntryToWorker, RunOutcome, WorkerName, WorkerToEntry};
use chestnutfork_worker::{Action, Announcement, CallId, CallOutcome, Event, Notice, Order, Reply, RunList};
use common::{Agent, LINK, announcement, attempt, is_renewal, is_start, is_stop, listed, millis, recorded};

/// Name of the worker in [`announcement`]`(1, _)`.
const WORKER: &str = "w-1";

/// Returns an announcement of the next incarnation under the same name, whose clock has started anew.
fn restarted() -> Announcement {
    let mut announcement = announcement(2, 1);
    announcement.description.worker = WorkerName::from(WORKER);
    announcement.clock = millis(1_000);
    announcement
}

/// Returns an agent with a confirmed run, and its renewal in flight.
fn agent_with_run() -> (Agent, CallId) {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let (start, renewal) = (agent.call(is_start), agent.call(is_renewal));
    agent.reply(start, CallOutcome::Done);
    (agent, renewal)
}

fn list_of_run() -> RunList {
    RunList {
        running: vec![listed(attempt(0, 1), 1)],
        ..RunList::default()
    }
}

/// Returns the lease end that an order requests, on the worker's clock.
fn lease_end(order: &Order) -> Option<Duration> {
    match order {
        Order::Start { until, .. } => Some(*until),
        Order::RenewLease { until, .. } => *until,
        Order::Stop { .. } => None,
    }
}

/// Fires the timer, and acknowledges the heartbeat that the agent sends, if any.
fn tick_and_acknowledge(agent: &mut Agent) {
    agent.handle(Event::Tick);
    let before = std::mem::take(&mut agent.actions);
    let beat = before.iter().find_map(|action| match action {
        Action::ToEntry(_, WorkerToEntry::Heartbeat(number, _)) => Some(*number),
        _ => None,
    });
    if let Some(beat) = beat {
        agent.send(EntryToWorker::HeartbeatAck(beat, None));
    }
    agent.actions.splice(0..0, before);
}

/// Guards against reporting a run as lost that was ordered before the announcement of a restarted worker, but that the
/// new incarnation has started.
#[test]
fn restarted_worker_keeps_run_that_it_lists() {
    let (mut agent, _) = agent_with_run();
    agent.clock_at_start = millis(1_000);
    agent.handle(Event::Announced(restarted()));
    assert_eq!(agent.ended(), []);
    agent.answer_renewal(list_of_run());
    assert_eq!(agent.ended(), []);
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against placing a task again while the order for its former run may still reach a restarted worker of the same
/// name.
#[test]
fn restarted_worker_is_ordered_to_stop_before_report() {
    let (mut agent, _) = agent_with_run();
    agent.clock_at_start = millis(1_000);
    agent.handle(Event::Announced(restarted()));
    agent.now += millis(1);
    agent.answer_renewal(RunList::default());
    assert_eq!(agent.ended(), []);
    let stop = agent.call(is_stop);
    let renewal = agent.call(is_renewal);
    agent.now += millis(1);
    agent.reply(stop, CallOutcome::Done);
    agent.reply(renewal, CallOutcome::LeaseRenewed(RunList::default()));
    assert_eq!(agent.ended(), []);
    agent.answer_renewal(RunList::default());
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
}

/// Guards against renewals that keep the runs of a lost entry alive while their stops go unanswered, beyond the time after
/// which that entry or another one starts the tasks again.
#[test]
fn lapsed_entry_lease_is_not_prolonged_by_renewals() {
    let (mut agent, renewal) = agent_with_run();
    agent.handle(Event::EntryDown { link: LINK });
    let (mut renewal, mut latest) = (Some(renewal), None);
    for elapsed in (500..2_000).step_by(10) {
        agent.advance_to(millis(elapsed));
        let mut calls = agent.calls();
        if let Some(call) = renewal.take() {
            agent.reply(call, CallOutcome::LeaseRenewed(list_of_run()));
            calls.extend(agent.calls());
        }
        for (call, order) in calls {
            latest = latest.max(lease_end(&order));
            if is_renewal(&order) {
                renewal = Some(call);
            } else {
                agent.reply(call, CallOutcome::NoAnswer);
            }
        }
    }
    // The entry's lease ends after 500 ms, and the worker's lease lasts 700 ms from the latest renewal before that.
    assert!(
        latest <= Some(millis(10_000 + 500 + 700)),
        "a renewal extended the lease to {latest:?} on the worker's clock"
    );
}

/// Guards against reporting the runs of a worker as lost when it withdraws: it ends some time later, and its runs continue
/// until then.
#[test]
fn withdrawn_worker_reports_runs_after_its_end() {
    let (mut agent, renewal) = agent_with_run();
    agent.handle(Event::Withdrawn(WorkerName::from(WORKER)));
    assert_eq!(agent.ended(), []);
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    assert_eq!(agent.ended(), []);
    agent.advance_to(millis(760));
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Stopped);
}

/// Guards against state of the former incarnation, such as its capacity and its runs, after the new one has answered a call
/// before its announcement arrived.
#[test]
fn restart_is_noticed_in_reply() {
    for started_at in [Some(millis(2)), None] {
        let (mut agent, renewal) = agent_with_run();
        agent.now += millis(10);
        agent.handle(Event::Replied {
            call: renewal,
            reply: Reply {
                clock: Some(millis(1_000)),
                started_at,
                outcome: CallOutcome::LeaseRenewed(RunList::default()),
            },
        });
        let is_restart = |action: &Action| matches!(action, Action::Notice(Notice::WorkerRestarted { .. }));
        assert!(agent.actions.iter().any(is_restart));
        let renewal = agent.call(is_renewal);
        agent.clock_at_start = millis(1_000);
        agent.start(&[attempt(1, 1)]);
        assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
        agent.handle(Event::Announced(restarted()));
        assert!(!agent.actions.iter().any(is_restart));
        agent.reply(renewal, CallOutcome::LeaseRenewed(RunList::default()));
        agent.start(&[attempt(1, 2)]);
        assert!(agent.calls().iter().any(|(_, order)| is_start(order)));
    }
}

/// Guards against orders for a former incarnation that the new one of the same name carries out late.
#[test]
fn restarted_worker_gets_higher_token() {
    let token = |agent: &Agent| {
        let tokens = agent.calls().into_iter().map(|(_, order)| match order {
            Order::Start { token, .. } | Order::Stop { token, .. } | Order::RenewLease { token, .. } => token,
        });
        tokens.max().expect("an order was sent")
    };
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let former = token(&agent);
    agent.handle(Event::Announced(restarted()));
    assert!(token(&agent) > former);
}

/// Guards against renewals that prolong a run whose entry's lease has expired, once the entry has a lease again: callers that
/// lost their connection to the entry before submit their jobs elsewhere.
#[test]
fn regained_entry_lease_does_not_prolong_expired_run() {
    let (mut agent, renewal) = agent_with_run();
    agent.advance_to(millis(500));
    let stop = agent.call(is_stop);
    agent.reply(stop, CallOutcome::NoAnswer);
    agent.now += millis(10);
    agent.connect();
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    let renewal = agent.calls().into_iter().find(|(_, order)| is_renewal(order));
    let (_, renewal) = renewal.expect("the list is requested again");
    assert_eq!(lease_end(&renewal), None);
}

/// Guards against renewals that keep a cancelled run alive while its stops go unanswered, beyond the time after which the
/// caller of a timed-out job submits it again at another entry.
#[test]
fn unconfirmed_stop_ends_renewals() {
    let (mut agent, renewal) = agent_with_run();
    agent.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
    let mut renewal = Some(renewal);
    for elapsed in (10..1_500).step_by(10) {
        agent.now = agent.start + millis(elapsed);
        tick_and_acknowledge(&mut agent);
        let mut calls = agent.calls();
        if let Some(call) = renewal.take() {
            agent.reply(call, CallOutcome::LeaseRenewed(list_of_run()));
            calls.extend(agent.calls());
        }
        for (call, order) in calls {
            let bound = millis(10_000 + 500 + 700);
            assert!(lease_end(&order) <= Some(bound), "{order:?} at {elapsed} ms");
            if is_renewal(&order) {
                renewal = Some(call);
            } else {
                agent.reply(call, CallOutcome::NoAnswer);
            }
        }
    }
    assert_eq!(agent.core.runs_in_progress(), 0);
}

/// Guards against tasks that wait for the lease of a withdrawn worker to expire although its process has ended.
#[test]
fn withdrawn_worker_reports_runs_when_unreachable() {
    let (mut agent, renewal) = agent_with_run();
    agent.handle(Event::Withdrawn(WorkerName::from(WORKER)));
    agent.start(&[attempt(1, 1)]);
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    agent.reply(renewal, CallOutcome::Unreachable);
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Stopped);
}

/// Guards against a worker that gets no more tasks because a withdrawal of its former incarnation arrived late.
#[test]
fn announcement_after_withdrawal_allows_starts() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    agent.handle(Event::Withdrawn(WorkerName::from(WORKER)));
    agent.handle(Event::Announced(announcement(1, 2)));
    agent.start(&[attempt(1, 1)]);
    assert!(agent.calls().iter().any(|(_, order)| is_start(order)));
}

/// Guards against a run that renewals keep alive although no attempt belongs to it: its order was carried out late.
#[test]
fn unknown_run_is_stopped() {
    let (mut agent, renewal) = agent_with_run();
    agent.advance_to(millis(260));
    let list = RunList {
        running: vec![listed(attempt(0, 1), 1), listed(attempt(7, 3), 3)],
        ..RunList::default()
    };
    agent.reply(renewal, CallOutcome::LeaseRenewed(list));
    let stopped = |order: &Order| matches!(order, Order::Stop { task, .. } if *task == attempt(7, 3).task);
    assert!(agent.calls().iter().any(|(_, order)| stopped(order)));
    let renewed = agent
        .calls()
        .iter()
        .any(|(_, order)| is_renewal(order) && lease_end(order).is_some());
    assert!(!renewed, "the lease is renewed for an unknown run");
}

/// Guards against a second run of a task that an earlier agent process has started on the worker.
#[test]
fn start_waits_for_first_list() {
    let mut agent = Agent::new();
    agent.connect();
    agent.handle(Event::Announced(announcement(1, 9)));
    let renewal = agent.call(is_renewal);
    agent.start(&[attempt(0, 2), attempt(1, 1)]);
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    let refused = agent.ended();
    assert_eq!((refused.len(), refused[0].key), (1, attempt(0, 2)));
    let renewal = agent.call(is_renewal);
    agent.advance_to(millis(250));
    let stop = agent.call(is_stop);
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    let renewal = agent.call(is_renewal);
    // The stopped run takes a moment to end, and nobody knows what it uses.
    agent.reply(stop, CallOutcome::Done);
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    agent.now += millis(1);
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    agent.answer_renewal(RunList::default());
    assert!(agent.calls().iter().any(|(_, order)| is_start(order)));
}

/// Guards against reporting an attempt as lost whose run is being stopped, because its entry listed it too late.
#[test]
fn reconcile_waits_for_stop_of_orphan() {
    let mut agent = Agent::new();
    agent.handle(Event::Announced(announcement(1, 9)));
    agent.answer_renewal(list_of_run());
    let renewal = agent.call(is_renewal);
    agent.advance_to(millis(250));
    let stop = agent.call(is_stop);
    agent.connect();
    agent.send(EntryToWorker::Reconcile {
        keep: vec![recorded(attempt(0, 1))],
        stop: Vec::new(),
    });
    assert_eq!(agent.ended(), []);
    agent.now += millis(1);
    agent.reply(stop, CallOutcome::Done);
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    assert_eq!(agent.ended(), []);
    agent.answer_renewal(RunList::default());
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Stopped);
}

/// Guards against renewals that prolong a run that has to be stopped because its agent was restarted meanwhile.
#[test]
fn listed_stop_allows_no_renewal() {
    let mut agent = Agent::new();
    agent.connect();
    agent.send(EntryToWorker::Reconcile {
        keep: Vec::new(),
        stop: vec![recorded(attempt(0, 1))],
    });
    agent.handle(Event::Announced(announcement(1, 9)));
    agent.answer_renewal(list_of_run());
    assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
    let ends = agent
        .calls()
        .iter()
        .filter_map(|(_, order)| lease_end(order))
        .count();
    assert_eq!(ends, 0);
}

/// Guards against renewals that prolong a run that was being stopped when its entry's lease expired, once the entry has a lease
/// again.
#[test]
fn regained_lease_does_not_prolong_run_stopped_before() {
    let (mut agent, renewal) = agent_with_run();
    agent.now += millis(440);
    agent.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
    let stop = agent.call(is_stop);
    agent.reply(stop, CallOutcome::NoAnswer);
    agent.advance_to(millis(500));
    agent.now += millis(20);
    agent.connect();
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    let renewal = agent.calls().into_iter().find(|(_, order)| is_renewal(order));
    let (_, renewal) = renewal.expect("the list is requested again");
    assert_eq!(lease_end(&renewal), None);
}

/// Guards against renewals that prolong a run because it was being stopped already when its entry listed it to be stopped.
#[test]
fn listed_stop_shortens_grace_of_earlier_stop() {
    let (mut agent, renewal) = agent_with_run();
    agent.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
    let stop = agent.call(is_stop);
    agent.reply(stop, CallOutcome::NoAnswer);
    agent.send(EntryToWorker::Reconcile {
        keep: Vec::new(),
        stop: vec![recorded(attempt(0, 1))],
    });
    agent.reply(renewal, CallOutcome::LeaseRenewed(list_of_run()));
    let renewal = agent.calls().into_iter().find(|(_, order)| is_renewal(order));
    let (_, renewal) = renewal.expect("the list is requested again");
    assert_eq!(lease_end(&renewal), None);
}

/// Guards against state of the former incarnation after a restart on a machine whose time of day has stepped back.
#[test]
fn reply_with_earlier_start_time_shows_restart() {
    let (mut agent, renewal) = agent_with_run();
    agent.handle(Event::Replied {
        call: renewal,
        reply: Reply {
            clock: Some(millis(1_000)),
            started_at: Some(Duration::ZERO),
            outcome: CallOutcome::LeaseRenewed(list_of_run()),
        },
    });
    let is_restart = |action: &Action| matches!(action, Action::Notice(Notice::WorkerRestarted { .. }));
    assert!(agent.actions.iter().any(is_restart));
    let mut earlier = restarted();
    earlier.started_at = Duration::ZERO;
    agent.handle(Event::Announced(earlier));
    let is_joined = |action: &Action| matches!(action, Action::Notice(Notice::WorkerJoined { .. }));
    assert!(agent.actions.iter().any(is_joined));
}

/// Guards against attempts that are never reported because the agent was restarted while its worker is down, after it received
/// a late announcement.
#[test]
fn reconcile_ends_if_worker_never_answers() {
    let mut agent = Agent::new();
    agent.connect();
    agent.send(EntryToWorker::Reconcile {
        keep: vec![recorded(attempt(0, 2))],
        stop: Vec::new(),
    });
    agent.handle(Event::Announced(announcement(1, 9)));
    let renewal = agent.call(is_renewal);
    agent.reply(renewal, CallOutcome::Unreachable);
    assert_eq!(agent.ended(), []);
    // The former agent process may have started the run on a worker that has restarted, which grants up to 1 s.
    agent.advance_to(millis(1_080));
    assert_eq!(agent.ended(), []);
    agent.advance_to(millis(1_130));
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
}

/// Guards against reporting a run as lost while a restarted worker, which shortens the lease of an order to 1 s on its own
/// clock, still runs it: the order was carried out, but no reply arrives.
#[test]
fn lease_expiry_covers_unnoticed_restart() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let mut pending: Vec<CallId> = agent.calls().iter().map(|(call, _)| *call).collect();
    for elapsed in (60..1_000).step_by(60) {
        agent.advance_to(millis(elapsed));
        let mut calls = agent.calls();
        let mut ended = agent.ended();
        for call in std::mem::take(&mut pending) {
            agent.reply(call, CallOutcome::NoAnswer);
            calls.extend(agent.calls());
            ended.extend(agent.ended());
        }
        pending = calls.into_iter().map(|(call, _)| call).collect();
        assert_eq!(ended, [], "at {elapsed} ms");
    }
}

/// Guards against a worker that gets no tasks because its time of day stepped back before it restarted.
#[test]
fn announcement_with_earlier_start_time_is_used() {
    let mut agent = Agent::new();
    agent.handle(Event::Announced(announcement(1_000, 9)));
    agent.answer_renewal(RunList::default());
    let mut earlier = announcement(900, 1);
    earlier.description.worker = WorkerName::from("w-1000");
    earlier.clock = millis(5);
    agent.handle(Event::Announced(earlier));
    let is_joined = |action: &Action| matches!(action, Action::Notice(Notice::WorkerJoined { .. }));
    assert!(agent.actions.iter().any(is_joined));
}

/// Guards against counting a run as lost with its worker, and its job as failed, because the agent did not renew the lease of a
/// worker that answers.
#[test]
fn lapse_of_answering_worker_is_no_loss() {
    let (mut agent, renewal) = agent_with_run();
    agent.handle(Event::EntryDown { link: LINK });
    let (mut renewal, mut ended) = (Some(renewal), 0);
    for elapsed in (500..1_300).step_by(10) {
        agent.advance_to(millis(elapsed));
        let mut calls = agent.calls();
        if let Some(call) = renewal.take() {
            agent.reply(call, CallOutcome::LeaseRenewed(list_of_run()));
            calls.extend(agent.calls());
        }
        let is_loss = |action: &Action| matches!(action, Action::Notice(Notice::WorkerLost { .. }));
        assert!(!agent.actions.iter().any(is_loss));
        ended += u32::from(agent.core.runs_in_progress() == 0);
        for (call, order) in calls {
            if is_renewal(&order) {
                renewal = Some(call);
            } else {
                agent.reply(call, CallOutcome::NoAnswer);
            }
        }
    }
    assert!(ended > 0, "the lease expires");
}

/// Guards against placing a task again while a start that got no answer may still be carried out by the next incarnation of
/// the worker, which has seen no fencing token.
#[test]
fn unanswered_start_waits_for_next_incarnation() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let (start, renewal) = (agent.call(is_start), agent.call(is_renewal));
    agent.reply(start, CallOutcome::NoAnswer);
    agent.reply(renewal, CallOutcome::Unreachable);
    for elapsed in (100..3_000).step_by(100) {
        agent.now = agent.start + millis(elapsed);
        tick_and_acknowledge(&mut agent);
        assert_eq!(agent.ended(), [], "at {elapsed} ms");
    }
    agent.clock_at_start = millis(1_000);
    agent.handle(Event::Announced(restarted()));
    agent.now += millis(1);
    agent.answer_renewal(RunList::default());
    let (stop, renewal) = (agent.call(is_stop), agent.call(is_renewal));
    agent.now += millis(1);
    agent.reply(stop, CallOutcome::Done);
    agent.reply(renewal, CallOutcome::LeaseRenewed(RunList::default()));
    agent.answer_renewal(RunList::default());
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
}

/// Guards against a worker that gets no tasks because it was replaced by one of another name whose time of day is behind.
#[test]
fn replacement_with_earlier_start_time_is_used() {
    let mut agent = Agent::new();
    agent.handle(Event::Announced(announcement(1_000, 9)));
    agent.answer_renewal(RunList::default());
    let is_joined = |action: &Action| matches!(action, Action::Notice(Notice::WorkerJoined { .. }));
    agent.handle(Event::Announced(announcement(900, 1)));
    assert!(
        !agent.actions.iter().any(is_joined),
        "a delayed announcement is not excluded"
    );
    let question = agent.call(is_renewal);
    agent.reply(question, CallOutcome::OtherIncarnation);
    assert!(!agent.actions.iter().any(is_joined));
    agent.handle(Event::Announced(announcement(900, 2)));
    agent.answer_renewal(RunList::default());
    assert!(agent.actions.iter().any(is_joined));
    // An announcement of the replaced worker that arrives late must not end the session.
    agent.handle(Event::Announced(announcement(1_000, 10)));
    assert!(!agent.actions.iter().any(is_joined));
}

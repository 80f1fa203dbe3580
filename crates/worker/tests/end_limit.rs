//! Tests of limits on the ends of runs: the worker's lease covers all runs, so it must not outlast the limit of a run whose
//! stop is not confirmed.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, EndLimit, EntryToWorker, OrderKinds, StartOrder, TaskOrder, WorkerToEntry,
};
use chestnutfork_worker::{Action, CallId, CallOutcome, Event, Order, RunList};
use common::{Agent, TASK_RESOURCES, attempt, is_renewal, is_start, is_stop, listed, millis};

/// Reading of the worker's clock when the agent starts.
const CLOCK_AT_START: Duration = Duration::from_secs(10);
/// Heartbeat that the agent sends when it starts.
const FIRST_HEARTBEAT: u64 = 1;

fn end_limits(key: AttemptKey, heartbeat: Option<u64>, after: u64) -> EntryToWorker {
    let limit = EndLimit {
        heartbeat,
        after: millis(after),
    };
    EntryToWorker::EndLimits(vec![(key, limit)])
}

/// Returns the lease end that an order requests, on the worker's clock.
fn lease_end(order: &Order) -> Option<Duration> {
    match order {
        Order::Start { until, .. } => Some(*until),
        Order::RenewLease { until, .. } => *until,
        Order::Stop { .. } => None,
    }
}

/// Agent whose worker lists one run, and answers stops as the test says.
struct Setup {
    agent: Agent,
    renewal: Option<CallId>,
    latest_lease: Duration,
}

impl Setup {
    fn new() -> Self {
        let mut agent = Agent::ready();
        agent.start(&[attempt(0, 1)]);
        let (start, renewal) = (agent.call(is_start), agent.call(is_renewal));
        agent.reply(start, CallOutcome::Done);
        Self {
            agent,
            renewal: Some(renewal),
            latest_lease: Duration::ZERO,
        }
    }

    /// Runs until the given time, and returns when the first stop was sent.
    fn run_until(&mut self, elapsed: u64, stop_reply: &CallOutcome) -> Option<Duration> {
        let mut first_stop = None;
        let mut pending: VecDeque<Action> = self.agent.actions.drain(..).collect();
        while self.agent.now < self.agent.start + millis(elapsed) {
            while let Some(action) = pending.pop_front() {
                self.apply(action, stop_reply, &mut first_stop);
                pending.extend(self.agent.actions.drain(..));
            }
            self.agent.now += millis(10);
            self.agent.handle(Event::Tick);
            pending.extend(self.agent.actions.drain(..));
            if let Some(call) = self.renewal.take() {
                let list = RunList {
                    running: vec![listed(attempt(0, 1), 1)],
                    ..RunList::default()
                };
                self.agent.reply(call, CallOutcome::LeaseRenewed(list));
                pending.extend(self.agent.actions.drain(..));
            }
        }
        self.agent.actions.extend(pending);
        first_stop
    }

    fn apply(&mut self, action: Action, stop_reply: &CallOutcome, first_stop: &mut Option<Duration>) {
        match action {
            Action::ToEntry(_, WorkerToEntry::Heartbeat(number, _)) => {
                self.agent.send(EntryToWorker::HeartbeatAck(number, None));
            }
            Action::Call { call, order, .. } => {
                let requested = lease_end(&order).unwrap_or_default();
                self.latest_lease = self.latest_lease.max(requested);
                if is_renewal(&order) {
                    self.renewal = Some(call);
                } else if is_stop(&order) {
                    first_stop.get_or_insert(self.agent.now - self.agent.start);
                    self.agent.reply(call, stop_reply.clone());
                }
            }
            _ => {}
        }
    }

    /// Delivers a message; its actions are processed by the next [`Self::run_until`].
    fn send(&mut self, message: EntryToWorker) {
        let mut before = std::mem::take(&mut self.agent.actions);
        self.agent.send(message);
        before.append(&mut self.agent.actions);
        self.agent.actions = before;
    }
}

/// Guards against a run that outlasts the time at which its caller submits the job elsewhere, because the entry learned late that
/// the caller had left and the worker leaves the stops unanswered.
#[test]
fn end_limit_bounds_lease_of_unconfirmed_stop() {
    let mut setup = Setup::new();
    setup.run_until(420, &CallOutcome::NoAnswer);
    setup.send(end_limits(attempt(0, 1), Some(FIRST_HEARTBEAT), 1_280));
    setup.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
    setup.run_until(1_600, &CallOutcome::NoAnswer);
    assert!(
        setup.latest_lease > CLOCK_AT_START + millis(420 + 700),
        "the lease was renewed meanwhile"
    );
    assert!(setup.latest_lease <= CLOCK_AT_START + millis(1_280));
}

/// Guards against the loss of the other runs of a worker that confirms the stop in time.
#[test]
fn end_limit_allows_renewals_after_confirmed_stop() {
    let mut setup = Setup::new();
    setup.send(end_limits(attempt(0, 1), Some(FIRST_HEARTBEAT), 300));
    setup.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
    setup.run_until(400, &CallOutcome::Done);
    assert!(setup.latest_lease > CLOCK_AT_START + millis(400));
}

/// Guards against a limit that a delay of the message on its way, or of the agent itself, extends.
#[test]
fn end_limit_counts_from_heartbeat() {
    for (heartbeat, limit) in [(Some(FIRST_HEARTBEAT), 1_100), (None, 350 + 1_100)] {
        let mut setup = Setup::new();
        setup.run_until(350, &CallOutcome::NoAnswer);
        setup.send(end_limits(attempt(0, 1), heartbeat, 1_100));
        setup.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
        setup.run_until(1_800, &CallOutcome::NoAnswer);
        assert!(
            setup.latest_lease <= CLOCK_AT_START + millis(limit),
            "{heartbeat:?}"
        );
        assert!(
            setup.latest_lease > CLOCK_AT_START + millis(limit - 100),
            "{heartbeat:?}"
        );
    }
}

/// Guards against a limit that is ignored because the agent cannot resolve it.
#[test]
fn end_limit_of_unknown_heartbeat_has_passed() {
    let mut setup = Setup::new();
    setup.run_until(100, &CallOutcome::NoAnswer);
    setup.send(end_limits(attempt(0, 1), Some(999), 5_000));
    setup.run_until(1_500, &CallOutcome::NoAnswer);
    assert!(setup.latest_lease <= CLOCK_AT_START + millis(100 + 700));
    assert_eq!(setup.agent.core.runs_in_progress(), 0);
}

/// Guards against a run whose lease ends together with those of its neighbours although its stop could have been confirmed before.
#[test]
fn end_limit_stops_run_before_it_passes() {
    let mut setup = Setup::new();
    setup.send(end_limits(attempt(0, 1), Some(FIRST_HEARTBEAT), 500));
    let first_stop = setup.run_until(600, &CallOutcome::Done);
    assert_eq!(first_stop, Some(millis(420)));
}

/// Guards against a limit that a later one extends.
#[test]
fn end_limit_is_never_extended() {
    let mut setup = Setup::new();
    setup.send(end_limits(attempt(0, 1), Some(FIRST_HEARTBEAT), 800));
    setup.send(end_limits(attempt(0, 1), Some(FIRST_HEARTBEAT), 2_000));
    setup.run_until(1_500, &CallOutcome::NoAnswer);
    assert!(setup.latest_lease <= CLOCK_AT_START + millis(800));
}

/// Guards against a start whose lease outlasts the limit that its order states.
#[test]
fn start_order_bounds_first_lease() {
    let mut agent = Agent::ready();
    agent.send(EntryToWorker::Start(StartOrder {
        refuse_if_full: false,
        kinds: OrderKinds::default(),
        time_limit: None,
        end_limit: Some(EndLimit {
            heartbeat: Some(FIRST_HEARTBEAT),
            after: millis(300),
        }),
        report_interval: None,
        number: 1,
        last_heartbeat: FIRST_HEARTBEAT,
        time_to_objective: millis(200),
        spec: Bytes::from_static(b"spec"),
        tasks: vec![TaskOrder {
            key: attempt(0, 1),
            resources: TASK_RESOURCES,
            declared_run_time: millis(100),
        }],
    }));
    let leases: Vec<Duration> = agent
        .calls()
        .iter()
        .filter_map(|(_, order)| lease_end(order))
        .collect();
    assert!(
        !leases.is_empty() && leases.iter().all(|&end| end <= CLOCK_AT_START + millis(300)),
        "{leases:?}"
    );
}

/// Guards against starts whose lease could end before the worker confirms them, or that would probably end with a run whose stop
/// gets no answer, and against a worker that takes no tasks although the limit of its run is far away.
#[test]
fn neighbour_starts_while_lease_can_last() {
    let cases = [
        (150, false, true),
        (90, false, false),
        (750, true, true),
        (650, true, false),
    ];
    for (limit, stopped, starts) in cases {
        let mut setup = Setup::new();
        setup.send(end_limits(attempt(0, 1), Some(FIRST_HEARTBEAT), limit));
        if stopped {
            setup.send(EntryToWorker::Stop(vec![attempt(0, 1)]));
            setup.agent.actions.clear();
        }
        setup.agent.order(&[attempt(1, 1)], true);
        let started = setup.agent.calls().iter().any(|(_, order)| is_start(order));
        assert_eq!(started, starts, "limit after {limit} ms");
        assert_eq!(setup.agent.ended().is_empty(), starts, "limit after {limit} ms");
    }
}

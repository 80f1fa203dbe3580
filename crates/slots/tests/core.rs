//! Cases of the agent core's behaviour towards entries and operators.

use std::time::{Duration, Instant};

use chestnutfork_slots::{Action, AgentCore, Event};
use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, CreditId, Dispatch, EntryToAgent, ProcessId, RefusalReason, Resolution,
    TaskResult,
};

const SECOND: Duration = Duration::from_secs(1);

struct TestAgent {
    core: AgentCore,
    now: Instant,
}

impl TestAgent {
    fn new(slots: u32, entries: &[ProcessId]) -> Self {
        let core = AgentCore::builder("fd-1").build();
        let mut agent = Self {
            core,
            now: Instant::now(),
        };
        agent.run(Event::ConfigState {
            version: 1,
            confirmed: true,
            refusing: Vec::new(),
        });
        for &entry in entries {
            agent.run(Event::EntryUp { entry });
        }
        agent.announce(slots, false);
        agent
    }

    fn run(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        assert_eq!(self.core.verify(), []);
        actions
    }

    fn announce(&mut self, slots: u32, leaving: bool) -> Vec<Action> {
        self.run(Event::TargetAnnounced {
            target: "t".into(),
            pool: "p".into(),
            slots,
            leaving,
        })
    }

    fn send(&mut self, entry: ProcessId, message: EntryToAgent) -> Vec<Action> {
        self.run(Event::FromEntry { entry, message })
    }

    fn dispatch(&mut self, entry: ProcessId, credit: CreditId) -> Vec<Action> {
        let dispatch = Dispatch {
            credit,
            job: 1,
            task: 0,
            service: "s".into(),
            remaining: SECOND,
            payload: "x".into(),
        };
        self.send(entry, EntryToAgent::Dispatch(dispatch))
    }

    fn end(&mut self, credit: CreditId) -> Vec<Action> {
        let outcome = AttemptOutcome::Completed { output: "y".into() };
        self.run(Event::TaskEnded {
            credit,
            outcome,
            run_time: SECOND,
        })
    }

    fn resolve(&mut self, entry: ProcessId, credit: CreditId) -> Resolution {
        let credits = vec![credit];
        let actions = self.send(entry, EntryToAgent::Resolve { credits });
        match &sent(&actions, entry)[0] {
            AgentToEntry::Resolved { resolution, .. } => resolution.clone(),
            other => panic!("expected a resolution, got {other:?}"),
        }
    }
}

fn sent(actions: &[Action], to: ProcessId) -> Vec<AgentToEntry> {
    let messages = actions.iter().filter_map(|action| match action {
        Action::Send { entry, message } if *entry == to => Some(message.clone()),
        _ => None,
    });
    messages.collect()
}

fn is_started(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Start { .. }))
}

fn refusal(actions: &[Action], to: ProcessId) -> Option<RefusalReason> {
    sent(actions, to).into_iter().find_map(|message| match message {
        AgentToEntry::Refused { reason, .. } => Some(reason),
        _ => None,
    })
}

fn result(actions: &[Action], to: ProcessId) -> Option<TaskResult> {
    sent(actions, to).into_iter().find_map(|message| match message {
        AgentToEntry::Result(result) => Some(result),
        _ => None,
    })
}

/// Guards against a second start of a task by a duplicated dispatch.
#[test]
fn dispatch_refuses_used_credit() {
    let mut agent = TestAgent::new(2, &[1]);
    assert!(is_started(&agent.dispatch(1, 1)));
    let again = agent.dispatch(1, 1);
    assert!(!is_started(&again));
    assert_eq!(refusal(&again, 1), Some(RefusalReason::InvalidCredit));
}

/// Guards against an entry that starts a task with a credit of another entry.
#[test]
fn dispatch_refuses_credit_of_other_entry() {
    let mut agent = TestAgent::new(2, &[1, 2]);
    let owner = if is_started(&agent.dispatch(1, 1)) { 1 } else { 2 };
    assert_eq!(
        refusal(&agent.dispatch(owner, 2), owner),
        Some(RefusalReason::InvalidCredit)
    );
}

/// Guards against a start after the agent has reported that the dispatch never started.
#[test]
fn resolve_voids_unstarted_credit() {
    let mut agent = TestAgent::new(2, &[1]);
    assert_eq!(agent.resolve(1, 1), Resolution::NeverStarted);
    assert_eq!(
        refusal(&agent.dispatch(1, 1), 1),
        Some(RefusalReason::InvalidCredit)
    );
}

/// Guards against "never started" for a task whose result was acknowledged or dropped.
#[test]
fn resolve_reports_dropped_result_as_unknown() {
    let mut agent = TestAgent::new(1, &[1]);
    agent.dispatch(1, 1);
    assert_eq!(agent.resolve(1, 1), Resolution::Started);
    agent.end(1);
    agent.send(1, EntryToAgent::Ack { credits: vec![1] });
    let Resolution::Finished(result) = agent.resolve(1, 1) else {
        panic!("a task that ran is reported as unstarted");
    };
    assert!(matches!(result.outcome, AttemptOutcome::Unknown { .. }));
}

/// Guards against a result that is lost because its link was down.
#[test]
fn result_survives_lost_link() {
    let mut agent = TestAgent::new(1, &[1]);
    agent.dispatch(1, 1);
    agent.run(Event::EntryDown { entry: 1 });
    assert!(sent(&agent.end(1), 1).is_empty());
    let up = agent.run(Event::EntryUp { entry: 1 });
    let result = result(&up, 1).expect("the result is sent again");
    assert_eq!((result.credit, result.next_credit), (1, None));
    agent.send(1, EntryToAgent::Ack { credits: vec![1] });
    agent.run(Event::EntryDown { entry: 1 });
    assert_eq!(
        sent(&agent.run(Event::EntryUp { entry: 1 }), 1).len(),
        2,
        "announcement and grant only"
    );
}

/// Guards against a third message per task of a saturated target: a grant that is separate from the result.
#[test]
fn result_contains_next_credit_for_entry_with_demand() {
    let mut agent = TestAgent::new(1, &[1, 2]);
    agent.dispatch(1, 1);
    agent.send(1, EntryToAgent::Demand { waiting: 5 });
    let actions = agent.end(1);
    assert_eq!(result(&actions, 1).and_then(|result| result.next_credit), Some(2));
    assert!(sent(&actions, 2).is_empty());
}

/// Guards against a freed slot that is granted to an entry without demand while another entry has waiting tasks.
#[test]
fn freed_slot_is_granted_to_entry_with_demand() {
    let mut agent = TestAgent::new(1, &[1, 2]);
    agent.dispatch(1, 1);
    agent.send(2, EntryToAgent::Demand { waiting: 5 });
    let actions = agent.end(1);
    assert_eq!(result(&actions, 1).and_then(|result| result.next_credit), None);
    assert!(matches!(&sent(&actions, 2)[..], [AgentToEntry::Grant { credits, .. }] if credits == &[2]));
}

/// Guards against starvation of an entry that reports its demand once while another entry reports it repeatedly.
#[test]
fn steady_demand_gets_fair_share() {
    let mut agent = TestAgent::new(4, &[1, 2]);
    agent.send(1, EntryToAgent::Demand { waiting: 9 });
    let mut starts = [0, 0];
    let mut use_credit = |agent: &mut TestAgent, entry: ProcessId, credit: CreditId| {
        assert!(is_started(&agent.dispatch(entry, credit)));
        starts[usize::from(entry != 1)] += 1;
    };
    let mut issued: Vec<(ProcessId, CreditId)> = vec![(1, 1), (2, 2), (1, 3), (2, 4)];
    for _ in 0..60 {
        agent.send(2, EntryToAgent::Demand { waiting: 9 });
        let (entry, credit) = issued.remove(0);
        use_credit(&mut agent, entry, credit);
        for action in agent.end(credit) {
            let Action::Send { entry, message } = action else {
                continue;
            };
            match message {
                AgentToEntry::Grant { credits, .. } => {
                    issued.extend(credits.into_iter().map(|credit| (entry, credit)));
                }
                AgentToEntry::Result(result) => {
                    issued.extend(result.next_credit.map(|credit| (entry, credit)));
                }
                _ => {}
            }
        }
    }
    assert!(
        starts.iter().all(|&count| count > 20),
        "starts by entry: {starts:?}"
    );
}

/// Guards against idle credits that stay with an entry without demand while another entry has waiting tasks.
#[test]
fn demand_recalls_unused_credits() {
    let mut agent = TestAgent::new(4, &[1, 2]);
    let actions = agent.send(2, EntryToAgent::Demand { waiting: 9 });
    assert_eq!(sent(&actions, 1), [AgentToEntry::Recall { count: 2 }]);
    let credits = vec![1, 3];
    let actions = agent.send(1, EntryToAgent::Return { credits });
    assert!(matches!(&sent(&actions, 2)[..], [AgentToEntry::Grant { credits, .. }] if credits.len() == 2));
}

/// Guards against repeated recalls and unused slots after an entry has lost credits (found by seed 4206).
#[test]
fn return_of_fewer_credits_voids_lost_ones() {
    let mut agent = TestAgent::new(4, &[1, 2]);
    agent.send(2, EntryToAgent::Demand { waiting: 9 });
    let actions = agent.send(1, EntryToAgent::Return { credits: vec![1] });
    assert_eq!(sent(&actions, 1), [], "nothing is left to recall");
    assert!(matches!(&sent(&actions, 2)[..], [AgentToEntry::Grant { credits, .. }] if credits.len() == 2));
    assert_eq!(
        refusal(&agent.dispatch(1, 3), 1),
        Some(RefusalReason::InvalidCredit)
    );
}

/// Guards against more running tasks than slots while a cancelled task has not ended yet.
#[test]
fn cancel_frees_slot_only_at_end() {
    let mut agent = TestAgent::new(1, &[1]);
    agent.dispatch(1, 1);
    let actions = agent.send(1, EntryToAgent::Cancel { credit: 1 });
    assert_eq!(actions, [Action::Stop { credit: 1 }]);
    assert_eq!((agent.core.running_tasks(), agent.core.idle_credits()), (1, 0));
    assert!(agent.send(1, EntryToAgent::Cancel { credit: 1 }).is_empty());
    agent.end(1);
    assert_eq!((agent.core.running_tasks(), agent.core.idle_credits()), (0, 1));
}

/// Guards against starts at a target that is leaving or whose announcement has expired.
#[test]
fn credits_end_with_announcement() {
    let mut agent = TestAgent::new(2, &[1]);
    agent.announce(2, true);
    assert_eq!(refusal(&agent.dispatch(1, 1), 1), Some(RefusalReason::Leaving));
    agent.announce(2, false);
    assert_eq!(agent.core.idle_credits(), 2);
    agent.now += 3 * SECOND;
    let actions = agent.run(Event::Tick);
    assert!(
        matches!(&sent(&actions, 1)[..], [AgentToEntry::Announce(announcement)] if announcement.slots == 0)
    );
    assert_eq!(
        refusal(&agent.dispatch(1, 4), 1),
        Some(RefusalReason::InvalidCredit)
    );
}

/// Guards against credits that an entry still counts after a stall of the agent voided them (found by seed 1318).
#[test]
fn expired_credits_are_reset_by_announcement() {
    let mut agent = TestAgent::new(1, &[1]);
    agent.now += 2 * SECOND;
    agent.announce(1, false);
    agent.now += Duration::from_millis(2500);
    let actions = agent.run(Event::Tick);
    let [AgentToEntry::Announce(_), AgentToEntry::Grant { credits, .. }] = &sent(&actions, 1)[..] else {
        panic!("expected an announcement that voids the credits and a grant, got {actions:?}");
    };
    assert_eq!(credits, &[2]);
}

/// Guards against credits that an entry still counts after a reduction of slots voided them (found by seed 1077).
#[test]
fn fewer_slots_replace_all_credits() {
    let mut agent = TestAgent::new(3, &[1]);
    let actions = agent.announce(2, false);
    let [
        AgentToEntry::Announce(announcement),
        AgentToEntry::Grant { credits, .. },
    ] = &sent(&actions, 1)[..]
    else {
        panic!("expected an announcement of fewer slots and a grant of new credits, got {actions:?}");
    };
    assert_eq!((announcement.slots, credits.len()), (2, 2));
    assert_eq!(
        refusal(&agent.dispatch(1, 1), 1),
        Some(RefusalReason::InvalidCredit)
    );
}

/// Guards against starting a task of a service that refuses starts while the configuration is unconfirmed.
#[test]
fn dispatch_refuses_unconfirmed_service() {
    let mut agent = TestAgent::new(2, &[1]);
    agent.run(Event::ConfigState {
        version: 1,
        confirmed: false,
        refusing: vec!["s".into()],
    });
    assert_eq!(
        refusal(&agent.dispatch(1, 1), 1),
        Some(RefusalReason::Unconfirmed)
    );
}

/// Guards against a drain that waits for an entry whose lease ended before its link was lost (found by seed 15).
#[test]
fn drain_drops_entry_whose_lease_ended_before_its_link() {
    let mut agent = TestAgent::new(1, &[1]);
    agent.dispatch(1, 1);
    agent.end(1);
    agent.run(Event::Drain);
    assert!(agent.run(Event::EntryLeaseEnded { entry: 1 }).is_empty());
    assert_eq!(agent.run(Event::EntryDown { entry: 1 }), [Action::Drained]);
}

/// Guards against an agent that exits while a task is running or a result is unacknowledged.
#[test]
fn drain_waits_for_acknowledged_results() {
    let mut agent = TestAgent::new(2, &[1]);
    agent.dispatch(1, 1);
    let actions = agent.run(Event::Drain);
    assert!(matches!(&sent(&actions, 1)[..], [AgentToEntry::Announce(announcement)] if announcement.leaving));
    assert_eq!(refusal(&agent.dispatch(1, 2), 1), Some(RefusalReason::Leaving));
    assert!(!agent.end(1).contains(&Action::Drained));
    let actions = agent.send(1, EntryToAgent::Ack { credits: vec![1] });
    assert_eq!(actions, [Action::Drained]);
}

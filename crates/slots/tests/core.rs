//! Cases of the agent core that operators and entries rely on.

use std::time::{Duration, Instant};

use chestnutfork_slots::{Action, AgentCore, Event};
use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, CreditId, Dispatch, EntryToAgent, ProcessId, RefuseReason, Resolution,
    TaskResult,
};

const SECOND: Duration = Duration::from_secs(1);

struct Bench {
    core: AgentCore,
    now: Instant,
}

impl Bench {
    fn new(slots: u32, entries: &[ProcessId]) -> Self {
        let core = AgentCore::builder("fd-1").build();
        let mut bench = Self {
            core,
            now: Instant::now(),
        };
        bench.run(Event::ConfigState {
            version: 1,
            confirmed: true,
            refusing: Vec::new(),
        });
        for &entry in entries {
            bench.run(Event::EntryUp { entry });
        }
        bench.announce(slots, false);
        bench
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
            AgentToEntry::Resolved { state, .. } => state.clone(),
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

fn refusal(actions: &[Action], to: ProcessId) -> Option<RefuseReason> {
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

/// Guards against a second start through a duplicated dispatch.
#[test]
fn dispatch_refuses_used_credit() {
    let mut bench = Bench::new(2, &[1]);
    assert!(is_started(&bench.dispatch(1, 1)));
    let again = bench.dispatch(1, 1);
    assert!(!is_started(&again));
    assert_eq!(refusal(&again, 1), Some(RefuseReason::NoCredit));
}

/// Guards against one entry spending the credit of another.
#[test]
fn dispatch_refuses_foreign_credit() {
    let mut bench = Bench::new(2, &[1, 2]);
    let owner = if is_started(&bench.dispatch(1, 1)) { 1 } else { 2 };
    assert_eq!(
        refusal(&bench.dispatch(owner, 2), owner),
        Some(RefuseReason::NoCredit)
    );
}

/// Guards against a start after the agent proved that the dispatch never started.
#[test]
fn resolve_voids_unstarted_credit() {
    let mut bench = Bench::new(2, &[1]);
    assert_eq!(bench.resolve(1, 1), Resolution::NeverStarted);
    assert_eq!(refusal(&bench.dispatch(1, 1), 1), Some(RefuseReason::NoCredit));
}

/// Guards against "never started" for a task whose result was acknowledged or dropped.
#[test]
fn resolve_reports_forgotten_task_as_unknown() {
    let mut bench = Bench::new(1, &[1]);
    bench.dispatch(1, 1);
    assert_eq!(bench.resolve(1, 1), Resolution::Started);
    bench.end(1);
    bench.send(1, EntryToAgent::Ack { credits: vec![1] });
    let Resolution::Finished(result) = bench.resolve(1, 1) else {
        panic!("a task that ran is reported as unstarted");
    };
    assert!(matches!(result.outcome, AttemptOutcome::Unknown { .. }));
}

/// Guards against a result that is lost with its link.
#[test]
fn result_survives_lost_link() {
    let mut bench = Bench::new(1, &[1]);
    bench.dispatch(1, 1);
    bench.run(Event::EntryDown { entry: 1 });
    assert!(sent(&bench.end(1), 1).is_empty());
    let up = bench.run(Event::EntryUp { entry: 1 });
    let result = result(&up, 1).expect("the result is sent again");
    assert_eq!((result.credit, result.next), (1, None));
    bench.send(1, EntryToAgent::Ack { credits: vec![1] });
    bench.run(Event::EntryDown { entry: 1 });
    assert_eq!(
        sent(&bench.run(Event::EntryUp { entry: 1 }), 1).len(),
        2,
        "announcement and grant only"
    );
}

/// Guards against a third message for each task of a saturated target.
#[test]
fn result_carries_next_credit_to_entry_with_demand() {
    let mut bench = Bench::new(1, &[1, 2]);
    bench.dispatch(1, 1);
    bench.send(1, EntryToAgent::Demand { waiting: 5 });
    let actions = bench.end(1);
    assert_eq!(result(&actions, 1).and_then(|result| result.next), Some(2));
    assert!(sent(&actions, 2).is_empty());
}

/// Guards against a freed slot that stays with an idle entry while another has waiting tasks.
#[test]
fn freed_slot_goes_to_entry_with_demand() {
    let mut bench = Bench::new(1, &[1, 2]);
    bench.dispatch(1, 1);
    bench.send(2, EntryToAgent::Demand { waiting: 5 });
    let actions = bench.end(1);
    assert_eq!(result(&actions, 1).and_then(|result| result.next), None);
    assert!(matches!(&sent(&actions, 2)[..], [AgentToEntry::Grant { credits, .. }] if credits == &[2]));
}

/// Guards against an entry with a steady queue that starves beside one that reports its demand more often.
#[test]
fn steady_demand_keeps_its_share() {
    let mut bench = Bench::new(4, &[1, 2]);
    bench.send(1, EntryToAgent::Demand { waiting: 9 });
    let mut starts = [0, 0];
    let mut spend = |bench: &mut Bench, entry: ProcessId, credit: CreditId| {
        assert!(is_started(&bench.dispatch(entry, credit)));
        starts[usize::from(entry != 1)] += 1;
    };
    let mut held: Vec<(ProcessId, CreditId)> = vec![(1, 1), (2, 2), (1, 3), (2, 4)];
    for _ in 0..60 {
        bench.send(2, EntryToAgent::Demand { waiting: 9 });
        let (entry, credit) = held.remove(0);
        spend(&mut bench, entry, credit);
        for action in bench.end(credit) {
            let Action::Send { entry, message } = action else {
                continue;
            };
            match message {
                AgentToEntry::Grant { credits, .. } => {
                    held.extend(credits.into_iter().map(|credit| (entry, credit)));
                }
                AgentToEntry::Result(result) => held.extend(result.next.map(|credit| (entry, credit))),
                _ => {}
            }
        }
    }
    assert!(
        starts.iter().all(|&count| count > 20),
        "starts by entry: {starts:?}"
    );
}

/// Guards against idle credits that an entry without demand holds back.
#[test]
fn demand_recalls_unused_credits() {
    let mut bench = Bench::new(4, &[1, 2]);
    let actions = bench.send(2, EntryToAgent::Demand { waiting: 9 });
    assert_eq!(sent(&actions, 1), [AgentToEntry::Recall { count: 2 }]);
    let credits = vec![1, 3];
    let actions = bench.send(1, EntryToAgent::Return { credits });
    assert!(matches!(&sent(&actions, 2)[..], [AgentToEntry::Grant { credits, .. }] if credits.len() == 2));
}

/// Guards against recalls in a loop, and slots that stay unused, when an entry has lost credits (found by seed 4206).
#[test]
fn short_return_voids_lost_credits() {
    let mut bench = Bench::new(4, &[1, 2]);
    bench.send(2, EntryToAgent::Demand { waiting: 9 });
    let actions = bench.send(1, EntryToAgent::Return { credits: vec![1] });
    assert_eq!(sent(&actions, 1), [], "nothing is left to recall");
    assert!(matches!(&sent(&actions, 2)[..], [AgentToEntry::Grant { credits, .. }] if credits.len() == 2));
    assert_eq!(refusal(&bench.dispatch(1, 3), 1), Some(RefuseReason::NoCredit));
}

/// Guards against more tasks at the target than slots while a cancelled task still ends.
#[test]
fn cancel_frees_slot_only_at_end() {
    let mut bench = Bench::new(1, &[1]);
    bench.dispatch(1, 1);
    let actions = bench.send(1, EntryToAgent::Cancel { credit: 1 });
    assert_eq!(actions, [Action::Stop { credit: 1 }]);
    assert_eq!((bench.core.running_tasks(), bench.core.idle_credits()), (1, 0));
    assert!(bench.send(1, EntryToAgent::Cancel { credit: 1 }).is_empty());
    bench.end(1);
    assert_eq!((bench.core.running_tasks(), bench.core.idle_credits()), (0, 1));
}

/// Guards against new work for a target that left or went silent.
#[test]
fn credits_end_with_announcement() {
    let mut bench = Bench::new(2, &[1]);
    bench.announce(2, true);
    assert_eq!(refusal(&bench.dispatch(1, 1), 1), Some(RefuseReason::Leaving));
    bench.announce(2, false);
    assert_eq!(bench.core.idle_credits(), 2);
    bench.now += 3 * SECOND;
    let actions = bench.run(Event::Tick);
    assert!(matches!(&sent(&actions, 1)[..], [AgentToEntry::Announce(told)] if told.slots == 0));
    assert_eq!(refusal(&bench.dispatch(1, 4), 1), Some(RefuseReason::NoCredit));
}

/// Guards against credits that an entry goes on holding after a stall of the agent voided them (found by seed 1318).
#[test]
fn expired_credits_are_reset_by_announcement() {
    let mut bench = Bench::new(1, &[1]);
    bench.now += 2 * SECOND;
    bench.announce(1, false);
    bench.now += Duration::from_millis(2500);
    let actions = bench.run(Event::Tick);
    let [AgentToEntry::Announce(_), AgentToEntry::Grant { credits, .. }] = &sent(&actions, 1)[..] else {
        panic!("the entry learns that its credits are void, got {actions:?}");
    };
    assert_eq!(credits, &[2]);
}

/// Guards against credits that the agent voids and an entry goes on holding (found by seed 1077).
#[test]
fn fewer_slots_replace_all_credits() {
    let mut bench = Bench::new(3, &[1]);
    let actions = bench.announce(2, false);
    let [AgentToEntry::Announce(told), AgentToEntry::Grant { credits, .. }] = &sent(&actions, 1)[..] else {
        panic!("entries are told of fewer slots and get new credits, got {actions:?}");
    };
    assert_eq!((told.slots, credits.len()), (2, 2));
    assert_eq!(refusal(&bench.dispatch(1, 1), 1), Some(RefuseReason::NoCredit));
}

/// Guards against starts under an unconfirmed configuration of a service that refuses them.
#[test]
fn dispatch_refuses_unconfirmed_service() {
    let mut bench = Bench::new(2, &[1]);
    bench.run(Event::ConfigState {
        version: 1,
        confirmed: false,
        refusing: vec!["s".into()],
    });
    assert_eq!(refusal(&bench.dispatch(1, 1), 1), Some(RefuseReason::Unconfirmed));
}

/// Guards against a drain that waits for an entry whose lease ended before its link (found by seed 15).
#[test]
fn drain_forgets_entry_gone_before_its_link() {
    let mut bench = Bench::new(1, &[1]);
    bench.dispatch(1, 1);
    bench.end(1);
    bench.run(Event::Drain);
    assert!(bench.run(Event::EntryLeaseEnded { entry: 1 }).is_empty());
    assert_eq!(bench.run(Event::EntryDown { entry: 1 }), [Action::Drained]);
}

/// Guards against an agent that exits while a task runs or a result is on its way.
#[test]
fn drain_waits_for_acknowledged_results() {
    let mut bench = Bench::new(2, &[1]);
    bench.dispatch(1, 1);
    let actions = bench.run(Event::Drain);
    assert!(matches!(&sent(&actions, 1)[..], [AgentToEntry::Announce(told)] if told.leaving));
    assert_eq!(refusal(&bench.dispatch(1, 2), 1), Some(RefuseReason::Leaving));
    assert!(!bench.end(1).contains(&Action::Drained));
    let actions = bench.send(1, EntryToAgent::Ack { credits: vec![1] });
    assert_eq!(actions, [Action::Drained]);
}

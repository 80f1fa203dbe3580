//! Properties of the agent core under arbitrary sequences of events.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use chestnutfork_slots::{Action, AgentCore, Event};
use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, CreditId, Dispatch, EntryToAgent, ProcessId, Resolution,
};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Kind of an event, and the numbers that its fields are derived from.
type Step = (u8, u8, u8, u16);

/// Returns the event of a step.
///
/// Most events name a recently issued credit and its owner, so that long sequences still refer to existing credits.
fn event_for(step: Step, observer: &Observer) -> Event {
    let (kind, age, entry, number) = step;
    // Cancel, Resolve, Ack and TaskEnded mostly refer to started tasks, all other events to idle credits.
    let pool = match kind {
        50..150 => &observer.started,
        _ => &observer.granted,
    };
    let recent = pool.iter().rev().nth(usize::from(age % 8));
    let (owner, credit) = recent.copied().unwrap_or((0, 1));
    let entry = if entry < 64 {
        ProcessId::from(entry % 2)
    } else {
        owner
    };
    let credits = vec![credit];
    let from = |message| Event::FromEntry { entry, message };
    match kind {
        0..8 => Event::EntryUp { entry },
        8..12 => Event::EntryDown { entry },
        12..16 => Event::EntryLeaseEnded { entry },
        16..40 => from(EntryToAgent::Demand {
            waiting: u32::from(number % 9),
        }),
        40..50 => from(EntryToAgent::Return { credits }),
        50..60 => from(EntryToAgent::Cancel { credit }),
        60..80 => from(EntryToAgent::Resolve { credits }),
        80..110 => from(EntryToAgent::Ack { credits }),
        110..150 => Event::TaskEnded {
            credit,
            outcome: AttemptOutcome::Completed { output: "y".into() },
            run_time: Duration::from_millis(u64::from(number)),
        },
        150..170 => Event::TargetAnnounced {
            target: "t".into(),
            pool: "p".into(),
            slots: u32::from(number % 23).min(5),
            leaving: number % 29 == 0,
        },
        170..178 => Event::ConfigState {
            version: u64::from(number % 4),
            confirmed: number % 5 > 0,
            refusing: vec!["s".into()],
        },
        178 if number % 31 == 0 => Event::Drain,
        178..184 => Event::Tick,
        _ => from(EntryToAgent::Dispatch(Dispatch {
            credit,
            job: 1,
            task: 0,
            service: "s".into(),
            remaining: Duration::from_millis(u64::from(number % 7)),
            payload: "x".into(),
        })),
    }
}

/// Credits as seen from outside the core, by its actions.
#[derive(Default)]
struct Observer {
    granted: Vec<(ProcessId, CreditId)>,
    issued: HashSet<CreditId>,
    started: Vec<(ProcessId, CreditId)>,
    reported_unstarted: HashSet<CreditId>,
}

impl Observer {
    fn on_grant(&mut self, entry: ProcessId, credit: CreditId) -> Result<(), String> {
        self.granted.push((entry, credit));
        if self.issued.insert(credit) {
            Ok(())
        } else {
            Err(format!("credit {credit} is issued twice"))
        }
    }

    fn observe(&mut self, action: &Action) -> Result<(), String> {
        match action {
            Action::Start { entry, dispatch } => self.on_start(*entry, dispatch.credit),
            Action::Send { entry, message } => self.on_message(*entry, message),
            Action::Stop { .. } | Action::Drained => Ok(()),
        }
    }

    fn on_start(&mut self, entry: ProcessId, credit: CreditId) -> Result<(), String> {
        if !self.granted.contains(&(entry, credit)) {
            return Err(format!(
                "credit {credit} starts for an entry that was not granted it"
            ));
        }
        if self.reported_unstarted.contains(&credit) {
            return Err(format!(
                "credit {credit} starts after it was reported as not started"
            ));
        }
        if self.started.contains(&(entry, credit)) {
            return Err(format!("credit {credit} starts twice"));
        }
        self.started.push((entry, credit));
        Ok(())
    }

    fn on_message(&mut self, entry: ProcessId, message: &AgentToEntry) -> Result<(), String> {
        match message {
            AgentToEntry::Grant { credits, .. } => credits
                .iter()
                .try_for_each(|&credit| self.on_grant(entry, credit)),
            AgentToEntry::Result(result) => result
                .next_credit
                .map_or(Ok(()), |next| self.on_grant(entry, next)),
            AgentToEntry::Resolved {
                credit,
                resolution: Resolution::NeverStarted,
            } => {
                self.reported_unstarted.insert(*credit);
                if self.started.contains(&(entry, *credit)) {
                    return Err(format!("credit {credit} started but is reported as not started"));
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

/// Handles a due wakeup. One tick must be enough, or the caller's timer would fire in a loop.
fn handle_due_wakeups(core: &mut AgentCore, now: Instant) -> Result<(), String> {
    if core.next_wakeup().is_none_or(|at| at > now) {
        return Ok(());
    }
    core.handle(now, Event::Tick, &mut Vec::new());
    match core.next_wakeup() {
        Some(at) if at <= now => Err("a tick leaves a wakeup that is already due".into()),
        _ => Ok(()),
    }
}

fn run(steps: Vec<Step>, max_ended: usize) -> TestResult {
    let mut core = AgentCore::builder("fd-1")
        .max_results(3)
        .max_ended(max_ended)
        .build();
    let mut now = Instant::now();
    let mut observer = Observer::default();
    let setup = [(170, 0, 0, 1), (150, 0, 0, 4), (0, 0, 0, 0), (0, 0, 1, 0)];
    for step in setup.into_iter().chain(steps) {
        now += Duration::from_millis(u64::from(step.3 % 120));
        let mut actions = Vec::new();
        core.handle(now, event_for(step, &observer), &mut actions);
        for action in &actions {
            if let Err(message) = observer.observe(action) {
                return TestResult::error(message);
            }
        }
        if let Some(violation) = core.verify().first() {
            return TestResult::error(violation.to_string());
        }
        if let Err(message) = handle_due_wakeups(&mut core, now) {
            return TestResult::error(message);
        }
    }
    TestResult::passed()
}

/// Returns a `QuickCheck` runner with a fixed seed, so that the result does not vary between runs.
fn seeded_quickcheck() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 0x0c4e_d175))
}

/// Guards against double starts, false "never started" answers and overcommitted slots.
#[test]
fn credits_start_once_in_any_order() {
    seeded_quickcheck().quickcheck((|steps| run(steps, 16)) as fn(Vec<Step>) -> TestResult);
}

/// Guards against a false "never started" after records of ended tasks are evicted.
#[test]
fn credits_start_once_when_ended_tasks_are_evicted() {
    seeded_quickcheck().quickcheck((|steps| run(steps, 0)) as fn(Vec<Step>) -> TestResult);
}

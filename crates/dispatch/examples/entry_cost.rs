//! Measures the processor time of the entry core by number of linked agents, without sockets and in virtual time.
//!
//! Usage: `entry_cost [--starts N] [--agents N,N,...]`
//!
//! For each number of agents (8 slots each, all linked) it prints the time of an event that changes nothing, and the
//! time per task start. The latter covers the submission of jobs of 200 at-most-once tasks, their dispatches, results
//! and answers. Results are passed to the core one at a time and in batches of 32. The view has one member, so claims
//! cost no messages.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_dispatch::{Action, EntryCore, Event, PolicyTable, TeamQuota};
use chestnutfork_register::View;
use chestnutfork_types::{
    AgentToEntry, Announcement, AttemptOutcome, CreditId, EntryToAgent, JobSpec, ProcessId, ServicePolicy,
    TaskResult, TaskSpec,
};
use indexmap::IndexMap;

const ENTRY: ProcessId = 1;
const FIRST_AGENT: ProcessId = 1_000;
const SLOTS: u32 = 8;
const TASKS: usize = 200;
const WALL: Duration = Duration::from_secs(1_700_000_000);
/// Longer than the run, so that no credit needs renewal.
const TTL: Duration = Duration::from_hours(24);
/// Virtual time between two calls of the core.
const STEP: Duration = Duration::from_micros(10);
const IDLE_EVENTS: u32 = 2_000;

struct Bench {
    core: EntryCore,
    now: Instant,
    credit: CreditId,
    jobs: u128,
    running: VecDeque<(ProcessId, CreditId)>,
    replies: u64,
    demands: u32,
    acks: u32,
    elapsed: Duration,
    actions: Vec<Action>,
}

impl Bench {
    fn new(agents: u64) -> Self {
        let now = Instant::now();
        let mut bench = Self {
            core: EntryCore::builder(ENTRY).build(now),
            now,
            credit: 0,
            jobs: 0,
            running: VecDeque::new(),
            replies: 0,
            demands: 0,
            acks: 0,
            elapsed: Duration::ZERO,
            actions: Vec::new(),
        };
        let policy = ServicePolicy::builder("pool").max_queue(100_000).build();
        let quota = TeamQuota {
            team: "team".into(),
            quota: 1_000_000,
        };
        bench.run(vec![
            Event::Policies(PolicyTable {
                version: 1,
                services: IndexMap::from([("desk".to_owned(), policy)]),
                quotas: vec![quota],
            }),
            Event::Confirmed(true),
            Event::ViewInstalled(View::initial(1, vec![ENTRY])),
        ]);
        for index in 0..agents {
            bench.link(FIRST_AGENT + index, index);
        }
        bench
    }

    /// Opens the link of an agent whose target has [`SLOTS`] idle slots.
    fn link(&mut self, agent: ProcessId, index: u64) {
        let announcement = Announcement {
            target: format!("target-{index}"),
            pool: "pool".into(),
            failure_domain: ["a", "b", "c", "d"][(index % 4) as usize].into(),
            slots: SLOTS,
            leaving: false,
            config_version: 1,
        };
        let credits: Vec<_> = (0..SLOTS).map(|_| self.next_credit()).collect();
        let messages = [
            AgentToEntry::Announce(announcement),
            AgentToEntry::Grant { credits, ttl: TTL },
        ];
        let mut events = vec![Event::AgentUp { agent }];
        events.extend(messages.map(|message| Event::AgentMessage { agent, message }));
        self.run(events);
    }

    fn next_credit(&mut self) -> CreditId {
        self.credit += 1;
        self.credit
    }

    /// Passes events to the core, measures the time it takes, and collects the dispatches.
    fn run(&mut self, events: Vec<Event>) {
        self.now += STEP;
        let mut actions = std::mem::take(&mut self.actions);
        let started = Instant::now();
        self.core.handle_all(self.now, WALL, events, &mut actions);
        let _ = std::hint::black_box(self.core.next_wakeup());
        self.elapsed += started.elapsed();
        for action in actions.drain(..) {
            match action {
                Action::ToAgent { agent, message } => match message {
                    EntryToAgent::Dispatch(dispatch) => self.running.push_back((agent, dispatch.credit)),
                    EntryToAgent::Demand { .. } => self.demands += 1,
                    EntryToAgent::Ack { .. } => self.acks += 1,
                    _ => {}
                },
                Action::Reply { result, .. } => {
                    result.expect("every job completes");
                    self.replies += 1;
                }
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let task = TaskSpec {
            payload: "0123456789abcdef".into(),
            declared_run_time: Some(Duration::from_millis(1)),
        };
        let job = JobSpec {
            id: (WALL.as_millis() << 80) | self.jobs,
            service: "desk".into(),
            team: "team".into(),
            deadline: Duration::from_mins(1),
            at_most_once: true,
            tasks: vec![task; TASKS],
        };
        let ticket = u64::try_from(self.jobs).unwrap_or(u64::MAX);
        self.run(vec![Event::Submit {
            ticket,
            job,
            fresh_id: true,
        }]);
    }

    /// Ends up to `batch` running tasks; each result contains the next credit of its slot.
    fn finish(&mut self, batch: usize) {
        let batch = batch.min(self.running.len());
        let ended: Vec<_> = self.running.drain(..batch).collect();
        let events = ended.into_iter().map(|(agent, credit)| {
            let next_credit = Some(self.next_credit());
            let result = TaskResult {
                credit,
                outcome: AttemptOutcome::Completed {
                    output: "0123456789abcdef".into(),
                },
                run_time: Duration::from_millis(1),
                next_credit,
            };
            let message = AgentToEntry::Result(result);
            Event::AgentMessage { agent, message }
        });
        let events = events.collect();
        self.run(events);
    }
}

fn option(name: &str) -> Option<String> {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
}

/// Returns the time of an event that changes nothing, such as a tick between two due times.
fn idle_event(agents: u64) -> Duration {
    let mut bench = Bench::new(agents);
    bench.elapsed = Duration::ZERO;
    for _ in 0..IDLE_EVENTS {
        bench.run(vec![Event::Abandon { ticket: 0 }]);
    }
    bench.elapsed / IDLE_EVENTS
}

fn starts(agents: u64, total: usize, batch: usize) {
    let mut bench = Bench::new(agents);
    bench.elapsed = Duration::ZERO;
    let jobs = total.div_ceil(TASKS);
    // Two jobs more than the slots can run keep every slot busy and the queue non-empty.
    let ahead = (agents * u64::from(SLOTS)) / TASKS as u64 + 2;
    let mut submitted = 0;
    while bench.replies < jobs as u64 {
        if submitted < jobs && submitted as u64 - bench.replies < ahead {
            bench.submit();
            submitted += 1;
        } else {
            bench.finish(batch);
        }
    }
    let count = u32::try_from(jobs * TASKS).expect("the number of starts is small");
    let per_start = bench.elapsed / count;
    println!(
        "agents {agents:5}  results per event {batch:3}  {:8.2} us per start  {:8.0} starts/s  demands {:.4}  acks {:.4} per start",
        per_start.as_secs_f64() * 1e6,
        1.0 / per_start.as_secs_f64(),
        f64::from(bench.demands) / f64::from(count),
        f64::from(bench.acks) / f64::from(count),
    );
}

fn main() {
    let total = option("--starts").map_or(100_000, |value| value.parse().expect("a number"));
    let agents = option("--agents").unwrap_or_else(|| "11,110,1100".to_owned());
    for agents in agents.split(',').map(|value| value.parse().expect("a number")) {
        println!(
            "agents {agents:5}  {:8.2} us per event that changes nothing",
            idle_event(agents).as_secs_f64() * 1e6
        );
        starts(agents, total, 1);
        starts(agents, total, 32);
    }
}

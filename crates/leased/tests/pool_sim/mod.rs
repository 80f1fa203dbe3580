//! Simulation of many entries whose jobs share a few places on each worker.
//!
//! The real cores of entries and agents run in virtual time, with a model of workers, callers and the network. [`Scenario`] states
//! the size, the load and the faults of a run.

mod cores;
mod faults;
mod jobs;
mod links;
mod measures;
mod scenario;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use chestnutfork_broker::BrokerCore;
use chestnutfork_standin::LeasedWorker;
use chestnutfork_types::{EntryToWorker, JobId, WorkerToEntry};
use chestnutfork_worker::{CallId, Order, Reply, WorkerCore};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use faults::Change;
use jobs::{Job, objective};
pub use jobs::{central_waits, draw_jobs};
use links::{Connections, Life};
use measures::Measures;
pub use measures::{BySecond, COUNTED_FROM, Outcome};
pub use scenario::{Fault, Scenario};

/// One-way delay between an entry and an agent.
const LINK_DELAY: Duration = Duration::from_micros(1_400);
/// One-way delay between an agent and its worker.
const CALL_DELAY: Duration = Duration::from_micros(300);
/// Time before the first job, in which the processes connect.
const WARM_UP: Duration = Duration::from_secs(1);
/// Time after a submission at which a caller whose connection was lost submits its job again.
const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);

#[derive(Debug)]
enum ScheduledEvent {
    EntryTick(u16),
    AgentTick(u16),
    ToEntry(u16, u64, WorkerToEntry),
    ToAgent(u16, u64, EntryToWorker),
    Order(u16, Life, CallId, Order),
    Reply(u16, Life, CallId, Reply),
    /// A run on a worker ends, or the wait of its lease renewal is over.
    Worker(u16),
    Submit(JobId),
    /// A link opens unless one of its sides has ended.
    Connect(u16, u16),
    /// Part of a fault.
    Change(Change),
}

#[derive(Debug)]
struct EntryHost {
    /// `None` while the process is down.
    core: Option<BrokerCore>,
    tick_at: Option<Instant>,
    life: Life,
}

#[derive(Debug)]
struct AgentHost {
    /// `None` while the process and its worker are down.
    core: Option<WorkerCore>,
    tick_at: Option<Instant>,
    life: Life,
    worker: LeasedWorker,
    /// Lease renewal that waits for an end, until a time.
    waiting: Option<(CallId, Instant)>,
}

#[derive(Debug)]
pub struct Sim {
    scenario: Scenario,
    now: Instant,
    start: Instant,
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
    sequence: u64,
    rng: ChaCha8Rng,
    entries: Vec<EntryHost>,
    agents: Vec<AgentHost>,
    connections: Connections,
    jobs: BTreeMap<JobId, Job>,
    /// Entries that hold submissions without an answer.
    unanswered: HashMap<JobId, u16>,
    measures: Measures,
}

impl Sim {
    pub fn run(scenario: &Scenario) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let start = Instant::now();
        let jobs = draw_jobs(&mut rng, start + WARM_UP, scenario);
        let mut sim = Self {
            now: start,
            start,
            queue: BTreeMap::new(),
            sequence: 0,
            rng,
            entries: Vec::new(),
            agents: Vec::new(),
            connections: Connections::new(scenario.entries, scenario.workers),
            jobs,
            unanswered: HashMap::new(),
            measures: Measures::default(),
            scenario: scenario.clone(),
        };
        sim.connect_all();
        let submissions: Vec<(JobId, Instant)> =
            sim.jobs.iter().map(|(&id, job)| (id, job.submitted_at)).collect();
        for (id, at) in submissions {
            sim.schedule(at - start, ScheduledEvent::Submit(id));
        }
        sim.schedule_faults();
        let end = start + WARM_UP + scenario.length + Duration::from_secs(3);
        while let Some(((at, _), event)) = sim.queue.pop_first() {
            if at > end {
                break;
            }
            sim.now = at;
            sim.process(event);
        }
        sim.outcome()
    }

    fn outcome(self) -> Outcome {
        let mut waits: Vec<Duration> = Vec::new();
        let (mut late, mut count) = (0_u32, 0_u32);
        let measures = &self.measures;
        for (id, job) in &self.jobs {
            let never = self.now - job.submitted_at;
            let started = measures.started.get(id);
            waits.push(started.map_or(never, |&at| at - job.submitted_at));
            let in_time = |&at: &Instant| at <= job.submitted_at + objective(job.kind);
            count += 1;
            late += u32::from(!measures.completed.get(id).is_some_and(in_time));
        }
        waits.sort_unstable();
        let orders: u32 = measures.seconds.iter().map(|second| second.orders).sum();
        Outcome {
            waits,
            late: f64::from(late) / f64::from(count),
            orders_per_start: f64::from(orders) / f64::from(measures.starts),
            measures: self.measures,
        }
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    /// Returns the time since the first submission could be made.
    fn elapsed(&self) -> Duration {
        self.now.saturating_duration_since(self.start + WARM_UP)
    }

    /// Draws the entry that a caller chooses.
    fn draw_entry(&mut self) -> u16 {
        let weights = &self.scenario.weights;
        if weights.is_empty() {
            return self.rng.random_range(0..self.scenario.entries);
        }
        let mut drawn = self.rng.random_range(0.0..weights.iter().sum());
        let chosen = weights.iter().position(|weight| {
            drawn -= weight;
            drawn < 0.0
        });
        u16::try_from(chosen.unwrap_or(0)).expect("entries are few")
    }
}

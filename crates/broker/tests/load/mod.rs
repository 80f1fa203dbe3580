//! Model of agents, workers and load on many entries in virtual time, with an evacuation and the return of its domain.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_broker::{
    Action, Answer, BrokerConfig, BrokerCore, Event, JobState, JobSubmission, Notice, RefusalReason, Request,
    RequestKind, StepSpec,
};
use chestnutfork_evacuation::Evacuations;
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_types::{
    AttemptKey, EndedRun, EntryToWorker, JobId, Resources, RunOutcome, StartOrder, TaskOrder,
    WorkerDescription, WorkerLoad, WorkerToEntry,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 13;
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
pub const EVACUATED: &str = "a";
/// Workers, in turn in each domain.
const WORKERS: usize = 18;
/// Capacity of a worker in tasks of one core.
const PLACES: u64 = 16;
/// Capacity of all workers in tasks of one core.
const TOTAL_PLACES: u32 = 288;
const CORE: u64 = 1_000;
const LINK_DELAY: Duration = Duration::from_micros(1_400);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time in which a change of the evacuations reaches a process that is connected.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(20);
pub const BEGIN: Duration = Duration::from_secs(1);
pub const EVACUATED_AT: Duration = Duration::from_secs(3);
pub const RETURNED_AT: Duration = Duration::from_secs(6);
/// When the deployment must serve as before the evacuation.
pub const RECOVERED_AT: Duration = Duration::from_secs(9);
pub const END: Duration = Duration::from_secs(10);
/// Demand as a part of the capacity of all domains; that of two domains is two thirds.
const DEMAND: f64 = 0.8;
/// Factor on run times in the first second after the return.
const SLOW_FACTOR: f64 = 2.0;
/// Kinds of jobs: number of tasks, run time in milliseconds, and share of all jobs.
pub const KINDS: [(u16, u32, f64); 3] = [(8, 50, 0.25), (4, 800, 0.05), (2, 200, 0.7)];

#[derive(Debug)]
enum ScheduledEvent {
    Tick,
    Heartbeat,
    /// Reports of workers with little free capacity between heartbeats.
    Reports,
    Submit {
        entry: usize,
        job: u128,
        kind: usize,
    },
    ToAgent(usize, usize, EntryToWorker),
    ToEntry(usize, usize, WorkerToEntry),
    RunEnds(usize, AttemptKey),
    EntryLearns(usize, Evacuations),
    AgentLearns(usize, bool),
}

#[derive(Debug)]
struct Run {
    entry: usize,
    key: AttemptKey,
    duration: Duration,
    started_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Worker {
    runs: Vec<Run>,
    evacuated: bool,
    last_orders: HashMap<usize, (u64, Instant)>,
    rotation: u64,
}

/// Answers of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub completed: u64,
    /// Jobs that completed after their objective, or timed out.
    pub late: u64,
}

pub struct Sim {
    pub start: Instant,
    now: Instant,
    sequence: u64,
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
    rng: StdRng,
    entries: Vec<BrokerCore>,
    workers: Vec<Worker>,
    heartbeat: u64,
    pub submitted: HashMap<u64, (Instant, usize)>,
    /// Counts of each second.
    pub counts: Vec<Counts>,
    /// Starts in the evacuated domain, since the start of the simulation.
    pub starts_in_domain: Vec<Duration>,
    /// Jobs of which a task has started.
    pub started: HashSet<JobId>,
    pub refused: Vec<RefusedJob>,
    /// Tasks that were ordered from workers of the evacuated domain in the first second after its return, and those of them that
    /// full workers refused.
    pub after_return: (u64, u64),
}

#[derive(Clone, Copy, Debug)]
pub struct RefusedJob {
    pub job: JobId,
    pub reason: RefusalReason,
    pub at: Duration,
    pub waited: Duration,
}

fn domain(worker: usize) -> &'static str {
    DOMAINS[worker % DOMAINS.len()]
}

/// Returns whether a job fits only workers of the domain that is evacuated; one in twenty does.
pub fn is_bound(job: u128) -> bool {
    job.is_multiple_of(20)
}

fn places(count: u64) -> Resources {
    Resources {
        cpu_millis: count * CORE,
        memory_mb: count,
        gpus: 0,
    }
}

pub fn objective(kind: usize) -> Duration {
    Duration::from_millis(KINDS[kind].1.into()).mul_f64(1.6) + Duration::from_millis(60)
}

fn table() -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![Route {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: "pool".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch_factor: 1.6,
            overhead: Duration::from_millis(60),
            timeout: Duration::from_millis(1_500),
        }],
        services: [("pool".to_owned(), ServiceRule::default())].into(),
    }
}

fn description(worker: usize, leaving: bool) -> WorkerDescription {
    WorkerDescription {
        worker: format!("w-{worker}"),
        pool: "pool".to_owned(),
        failure_domain: domain(worker).to_owned(),
        capacity: places(PLACES),
        labels: vec![domain(worker).to_owned()],
        leaving,
        ..WorkerDescription::default()
    }
}

impl Sim {
    pub fn run() -> Self {
        let start = Instant::now();
        let entries = (0..ENTRIES).map(|entry| {
            let cfg = BrokerConfig::builder(DOMAINS[entry % 3], Duration::from_millis(1_300));
            let cfg = cfg.seed(entry as u64 + 1).awaits_evacuations(true);
            BrokerCore::new(cfg.build(), start)
        });
        let mut sim = Self {
            start,
            now: start,
            sequence: 0,
            queue: BTreeMap::new(),
            rng: StdRng::seed_from_u64(1),
            entries: entries.collect(),
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            heartbeat: 0,
            submitted: HashMap::new(),
            counts: vec![Counts::default(); usize::try_from(END.as_secs()).expect("short") + 3],
            starts_in_domain: Vec::new(),
            started: HashSet::new(),
            refused: Vec::new(),
            after_return: (0, 0),
        };
        sim.connect();
        sim.draw_jobs();
        sim.schedule_evacuations(EVACUATED_AT, 1, &[EVACUATED]);
        sim.schedule_evacuations(RETURNED_AT, 2, &[]);
        sim.schedule(start, ScheduledEvent::Tick);
        sim.schedule(start, ScheduledEvent::Heartbeat);
        sim.schedule(start, ScheduledEvent::Reports);
        while let Some(((at, _), event)) = sim.queue.pop_first() {
            if at > start + END + Duration::from_secs(1) {
                break;
            }
            sim.now = at;
            sim.process(event);
        }
        sim
    }

    fn schedule(&mut self, at: Instant, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn connect(&mut self) {
        for entry in 0..ENTRIES {
            self.entry_event(entry, Event::Routes(table()));
            self.entry_event(entry, Event::EntryCount(ENTRIES));
            let state = Evacuations::default();
            let age = Duration::ZERO;
            self.entry_event(entry, Event::Evacuations { state, age });
            for worker in 0..WORKERS {
                let agent = format!("agent-{worker}");
                let (link, process) = (worker as u64, worker as u64);
                self.entry_event(entry, Event::AgentUp { link, agent, process });
                let message = WorkerToEntry::Describe(description(worker, false), Vec::new());
                self.entry_event(entry, Event::FromAgent { link, message });
            }
        }
    }

    fn draw_jobs(&mut self) {
        let work = KINDS.map(|(tasks, millis, share)| f64::from(tasks) * f64::from(millis) / 1_000.0 * share);
        let rate = DEMAND * f64::from(TOTAL_PLACES) / work.iter().sum::<f64>();
        let (mut at, mut job) = (BEGIN, 0);
        while at < END {
            at += Duration::from_secs_f64(-self.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate);
            let drawn: f64 = self.rng.random();
            let kind = usize::from(drawn > KINDS[0].2) + usize::from(drawn > KINDS[0].2 + KINDS[1].2);
            let entry = self.rng.random_range(0..ENTRIES);
            job += 1;
            self.schedule(self.start + at, ScheduledEvent::Submit { entry, job, kind });
        }
    }

    fn schedule_evacuations(&mut self, at: Duration, revision: u64, domains: &[&str]) {
        let delay = |rng: &mut StdRng| PROPAGATION_DELAY.mul_f64(rng.random());
        for entry in 0..ENTRIES {
            let domains = domains.iter().map(|&domain| domain.to_owned()).collect();
            let state = Evacuations { revision, domains };
            let at = self.start + at + delay(&mut self.rng);
            self.schedule(at, ScheduledEvent::EntryLearns(entry, state));
        }
        for worker in (0..WORKERS).filter(|&worker| domain(worker) == EVACUATED) {
            let at = self.start + at + delay(&mut self.rng);
            self.schedule(
                at,
                ScheduledEvent::AgentLearns(worker, domains.contains(&EVACUATED)),
            );
        }
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick => {
                (0..ENTRIES).for_each(|entry| self.entry_event(entry, Event::Tick));
                self.schedule(self.now + TICK_INTERVAL, ScheduledEvent::Tick);
            }
            ScheduledEvent::Heartbeat => {
                self.heartbeat += 1;
                for worker in 0..WORKERS {
                    self.workers[worker].rotation += 1;
                    for entry in 0..ENTRIES {
                        let load = self.load(worker, entry);
                        self.send_to_entry(worker, entry, WorkerToEntry::Heartbeat(self.heartbeat, load));
                    }
                }
                self.schedule(self.now + HEARTBEAT_INTERVAL, ScheduledEvent::Heartbeat);
            }
            ScheduledEvent::Reports => {
                for worker in (0..WORKERS)
                    .filter(|&worker| self.free(worker) * 3 < PLACES)
                    .collect::<Vec<_>>()
                {
                    self.workers[worker].rotation += 1;
                    for entry in 0..ENTRIES {
                        let load = self.load(worker, entry);
                        self.send_to_entry(worker, entry, WorkerToEntry::Load(load));
                    }
                }
                self.schedule(self.now + REPORT_INTERVAL, ScheduledEvent::Reports);
            }
            ScheduledEvent::Submit { entry, job, kind } => self.submit(entry, job, kind),
            ScheduledEvent::ToAgent(entry, worker, EntryToWorker::Start(order)) => {
                self.on_order(entry, worker, &order);
            }
            ScheduledEvent::ToAgent(entry, worker, EntryToWorker::Stop(keys)) => {
                for key in keys {
                    self.end_run(worker, key, RunOutcome::Stopped, Some(entry));
                }
            }
            ScheduledEvent::ToAgent(..) => {}
            ScheduledEvent::ToEntry(entry, worker, message) => {
                let link = worker as u64;
                self.entry_event(entry, Event::FromAgent { link, message });
            }
            ScheduledEvent::RunEnds(worker, key) => self.end_run(worker, key, RunOutcome::Completed, None),
            ScheduledEvent::EntryLearns(entry, state) => {
                let age = Duration::ZERO;
                self.entry_event(entry, Event::Evacuations { state, age });
            }
            ScheduledEvent::AgentLearns(worker, evacuated) => self.on_agent_learns(worker, evacuated),
        }
    }

    fn submit(&mut self, entry: usize, job: u128, kind: usize) {
        let (tasks, millis, _) = KINDS[kind];
        let step = StepSpec {
            tasks,
            resources: places(1),
            declared_run_time: Duration::from_millis(millis.into()),
            required_label: is_bound(job).then(|| EVACUATED.to_owned()),
            ..StepSpec::default()
        };
        let submission = JobSubmission {
            spec: Bytes::from_static(b"spec"),
            steps: vec![step],
            ..JobSubmission::default()
        };
        let ticket = u64::try_from(job).expect("few jobs");
        self.submitted.insert(ticket, (self.now, kind));
        let request = Request {
            host: "h".to_owned(),
            queue: "/q/".to_owned(),
            job: Some(job),
            timeout: Some(Duration::from_millis(1_500)),
            kind: RequestKind::Submit(submission),
        };
        let received_at = self.now;
        self.entry_event(
            entry,
            Event::Request {
                ticket,
                request,
                received_at,
            },
        );
    }

    fn second(&mut self) -> &mut Counts {
        let second = (self.now - self.start).as_secs();
        &mut self.counts[usize::try_from(second).expect("short")]
    }

    fn entry_event(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        self.entries[entry].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::ToAgent(link, message) => {
                    let worker = usize::try_from(link).expect("few links");
                    let event = ScheduledEvent::ToAgent(entry, worker, message);
                    self.schedule(self.now + LINK_DELAY, event);
                }
                Action::Answer(ticket, Answer::State(JobState::Completed)) => {
                    let (submitted_at, kind) = self.submitted[&ticket];
                    let late = self.now > submitted_at + objective(kind);
                    self.second().completed += 1;
                    self.second().late += u64::from(late);
                }
                Action::Answer(_, Answer::Refused { .. }) => {}
                Action::Answer(_, answer) => {
                    assert_eq!(answer, Answer::TimedOut);
                    self.second().late += 1;
                }
                Action::Notice(Notice::JobRefused {
                    job, reason, waited, ..
                }) => {
                    let at = self.now - self.start;
                    self.refused.push(RefusedJob {
                        job,
                        reason,
                        at,
                        waited,
                    });
                }
                Action::Notice(_) => {}
            }
        }
    }

    fn free(&self, worker: usize) -> u64 {
        PLACES.saturating_sub(self.workers[worker].runs.len() as u64)
    }

    /// Divides the free places like an agent: among the entries that ordered within a second, and twice while more than a third
    /// is free.
    fn load(&self, worker: usize, entry: usize) -> WorkerLoad {
        let state = &self.workers[worker];
        let recent = |at: Instant| self.now < at + Duration::from_secs(1);
        let mut competitors: Vec<usize> = (0..ENTRIES)
            .filter(|other| {
                *other == entry || state.last_orders.get(other).is_some_and(|(_, at)| recent(*at))
            })
            .collect();
        competitors.sort_unstable();
        let position = competitors
            .iter()
            .position(|&other| other == entry)
            .expect("included") as u64;
        let (free, count) = (self.free(worker), competitors.len() as u64);
        let units = if free * 3 < PLACES { free } else { free * 2 };
        let rank = (position + state.rotation) % count;
        let share = (units / count + u64::from(rank < units % count)).min(free);
        WorkerLoad {
            free: places(free),
            share: places(share),
            waiting: 0,
            run_time_permille: 1_000,
            failure_permille: 0,
            available: true,
            last_order: state.last_orders.get(&entry).map_or(0, |(number, _)| *number),
            demand: None,
        }
    }

    fn send_to_entry(&mut self, worker: usize, entry: usize, message: WorkerToEntry) {
        self.schedule(
            self.now + LINK_DELAY,
            ScheduledEvent::ToEntry(entry, worker, message),
        );
    }

    fn report(
        &mut self,
        worker: usize,
        entry: usize,
        key: AttemptKey,
        outcome: RunOutcome,
        run_time: Duration,
    ) {
        let ended = vec![EndedRun {
            key,
            outcome,
            run_time,
        }];
        let load = self.load(worker, entry);
        self.send_to_entry(worker, entry, WorkerToEntry::Ended(ended, load));
    }

    fn on_order(&mut self, entry: usize, worker: usize, order: &StartOrder) {
        let now = self.now;
        self.workers[worker]
            .last_orders
            .insert(entry, (order.number, now));
        for &TaskOrder {
            key,
            declared_run_time,
            ..
        } in &order.tasks
        {
            let since_return = (now - self.start).checked_sub(RETURNED_AT);
            let in_first_second = since_return.is_some_and(|since| since < Duration::from_secs(1));
            let counted = in_first_second && domain(worker) == EVACUATED && !self.workers[worker].evacuated;
            self.after_return.0 += u64::from(counted);
            let full = self.free(worker) == 0;
            if self.workers[worker].evacuated || (full && order.refuse_if_full) {
                self.after_return.1 += u64::from(counted);
                self.report(worker, entry, key, RunOutcome::NotStarted, Duration::ZERO);
                continue;
            }
            let slow = in_first_second && domain(worker) == EVACUATED;
            let factor = if slow { SLOW_FACTOR } else { 1.0 };
            let run = Run {
                entry,
                key,
                duration: declared_run_time.mul_f64(factor * self.rng.random_range(0.8..1.2)),
                started_at: None,
            };
            self.workers[worker].runs.push(run);
        }
        self.start_queued(worker);
    }

    fn start_queued(&mut self, worker: usize) {
        let (now, start) = (self.now, self.start);
        let places = usize::try_from(PLACES).expect("few");
        let mut ends = Vec::new();
        for run in self.workers[worker]
            .runs
            .iter_mut()
            .take(places)
            .filter(|run| run.started_at.is_none())
        {
            run.started_at = Some(now);
            self.started.insert(run.key.task.job);
            ends.push((now + run.duration, run.key));
        }
        if domain(worker) == EVACUATED {
            self.starts_in_domain.extend(ends.iter().map(|_| now - start));
        }
        for (at, key) in ends {
            self.schedule(at, ScheduledEvent::RunEnds(worker, key));
        }
    }

    fn end_run(&mut self, worker: usize, key: AttemptKey, outcome: RunOutcome, owner: Option<usize>) {
        let runs = &mut self.workers[worker].runs;
        let matches = |run: &Run| run.key == key && owner.is_none_or(|owner| owner == run.entry);
        let Some(at) = runs.iter().position(matches) else {
            return;
        };
        let run = runs.remove(at);
        let run_time = run.started_at.map(|at| self.now - at);
        self.report(worker, run.entry, key, outcome, run_time.unwrap_or_default());
        self.start_queued(worker);
    }

    fn on_agent_learns(&mut self, worker: usize, evacuated: bool) {
        self.workers[worker].evacuated = evacuated;
        if evacuated {
            let queued = self.workers[worker]
                .runs
                .extract_if(.., |run| run.started_at.is_none());
            let queued: Vec<Run> = queued.collect();
            for run in queued {
                self.report(worker, run.entry, run.key, RunOutcome::NotStarted, Duration::ZERO);
            }
        }
        for entry in 0..ENTRIES {
            let message = WorkerToEntry::Describe(description(worker, evacuated), Vec::new());
            self.send_to_entry(worker, entry, message);
        }
    }
}

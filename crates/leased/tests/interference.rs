//! Placement of kinds of tasks that slow each other down, by the real cores of entries and agents in virtual time.
//!
//! The workers run tasks of one image at half speed if a task of another image is in progress when they start. The same jobs
//! are run with and without the feature.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_broker::{
    Action as EntryAction, Answer, BrokerConfig, BrokerCore, Event as EntryEvent, JobState, JobSubmission,
    Notice, Request, RequestKind, StepSpec,
};
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_standin::LeasedWorker;
use chestnutfork_types::{
    EntryToWorker, JobId, Resources, RunOutcome, TaskKey, WorkerDescription, WorkerToEntry,
};
use chestnutfork_worker::{
    Action as AgentAction, Announcement, CallId, CallOutcome, Event as AgentEvent, Order, Reply,
    WorkerConfig, WorkerCore,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: u16 = 3;
const WORKERS: u16 = 12;
/// Tasks that fit on a worker.
const PLACES: u16 = 6;
/// One-way delay between an entry and an agent.
const LINK_DELAY: Duration = Duration::from_micros(1_400);
/// One-way delay between an agent and its worker.
const CALL_DELAY: Duration = Duration::from_micros(300);
/// Time before the first job, in which the processes connect.
const WARM_UP: Duration = Duration::from_secs(1);
const LENGTH: Duration = Duration::from_mins(1);
/// Time from the first job in which the agents learn; later jobs are compared.
const LEARNING: Duration = Duration::from_secs(35);
const SEED: u64 = 1;
/// Standard deviation of the logarithm of run times.
const SPREAD: f64 = 0.2;

/// Kinds of jobs: number of tasks, run time of each in milliseconds, and share of the load.
const KINDS: [(u16, u32, f64); 3] = [(2, 200, 0.4), (4, 400, 0.3), (8, 60, 0.3)];
/// Kind that is slowed down, and kind that slows it down.
const PAIR: (usize, usize) = (0, 1);
/// Factor on its run time.
const SLOWDOWN: f64 = 2.0;

#[derive(Debug)]
enum ScheduledEvent {
    EntryTick(u16),
    AgentTick(u16),
    ToEntry(u16, u64, WorkerToEntry),
    ToAgent(u16, u64, EntryToWorker),
    Order(u16, CallId, Order),
    Reply(u16, CallId, Reply),
    /// A run on a worker ends, or the wait of its lease renewal is over.
    Worker(u16),
    Submit(JobId),
}

/// Job as submitted.
#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    submitted_at: Instant,
    run_times: Vec<Duration>,
}

#[derive(Debug)]
struct Host {
    core: WorkerCore,
    tick_at: Option<Instant>,
    worker: LeasedWorker,
    /// Lease renewal that waits for an end, until a time.
    waiting: Option<(CallId, Instant)>,
}

/// What the jobs after the learning time experienced.
#[derive(Debug)]
struct Outcome {
    /// Times of the jobs of the slowed kind, sorted.
    slowed: Vec<Duration>,
    /// Share of starts of the slowed kind beside the other kind.
    together: f64,
    /// Share of jobs of all kinds that ended after their objective or not at all.
    late: f64,
    /// Number of tasks that were placed on another worker because of interference.
    avoided: u64,
    /// Number of messages about interference.
    reports: u64,
    /// Jobs that were refused.
    refused: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p95] = [50, 95].map(|of_hundred| self.quantile(of_hundred));
        let Self {
            together,
            late,
            avoided,
            reports,
            refused,
            ..
        } = self;
        write!(
            f,
            "slowed jobs p50 {p50:?}, p95 {p95:?}; {together:.3} of their tasks together, {late:.4} of all jobs late, \
             {refused} refused, {avoided} tasks moved, {reports} reports"
        )
    }
}

impl Outcome {
    fn quantile(&self, of_hundred: usize) -> Duration {
        self.slowed[(self.slowed.len() - 1) * of_hundred / 100]
    }
}

struct Sim {
    now: Instant,
    start: Instant,
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
    sequence: u64,
    rng: ChaCha8Rng,
    /// Factor on the run time of the slowed kind.
    slowdown: f64,
    entries: Vec<(BrokerCore, Option<Instant>)>,
    agents: Vec<Host>,
    jobs: BTreeMap<JobId, Job>,
    completed: HashMap<JobId, Instant>,
    /// Starts of the slowed kind after the learning time, and those of them beside the other kind.
    starts: (u32, u32),
    avoided: u64,
    reports: u64,
    refused: u64,
}

fn link(entry: u16, agent: u16) -> u64 {
    u64::from(entry) * u64::from(WORKERS) + u64::from(agent)
}

fn entry_of(link: u64) -> u16 {
    u16::try_from(link / u64::from(WORKERS)).expect("links number entries and agents")
}

fn agent_of(link: u64) -> u16 {
    u16::try_from(link % u64::from(WORKERS)).expect("links number entries and agents")
}

fn objective(kind: usize) -> Duration {
    Duration::from_millis(u64::from(KINDS[kind].1)).mul_f64(1.6) + Duration::from_millis(60)
}

/// Draws from the standard normal distribution.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Draws jobs that use a share of all places on average, without regard to interference.
fn draw_jobs(rng: &mut ChaCha8Rng, begin: Instant, load: f64) -> BTreeMap<JobId, Job> {
    let mut jobs = BTreeMap::new();
    let mut id = 0;
    for (kind, &(tasks, millis, share)) in KINDS.iter().enumerate() {
        let declared = Duration::from_millis(u64::from(millis));
        let rate = load * share * f64::from(WORKERS * PLACES) / f64::from(tasks) / declared.as_secs_f64();
        let mut at = Duration::ZERO;
        while at < LENGTH {
            at += Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln() / rate);
            let run_times = (0..tasks).map(|_| declared.mul_f64((SPREAD * normal(rng)).exp()));
            let job = Job {
                kind,
                submitted_at: begin + at,
                run_times: run_times.collect(),
            };
            id += 1;
            jobs.insert(id, job);
        }
    }
    jobs
}

impl Sim {
    fn run(load: f64, slowdown: f64, sharing: bool) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let start = Instant::now();
        let jobs = draw_jobs(&mut rng, start + WARM_UP, load);
        let mut sim = Self {
            now: start,
            start,
            queue: BTreeMap::new(),
            sequence: 0,
            rng,
            slowdown,
            entries: Vec::new(),
            agents: Vec::new(),
            jobs,
            completed: HashMap::new(),
            starts: (0, 0),
            avoided: 0,
            reports: 0,
            refused: 0,
        };
        sim.connect_all(sharing);
        let submissions: Vec<(JobId, Instant)> =
            sim.jobs.iter().map(|(&id, job)| (id, job.submitted_at)).collect();
        for (id, at) in submissions {
            sim.schedule(at - start, ScheduledEvent::Submit(id));
        }
        let end = start + WARM_UP + LENGTH + Duration::from_secs(3);
        while let Some(((at, _), event)) = sim.queue.pop_first() {
            if at > end {
                break;
            }
            sim.now = at;
            sim.process(event);
        }
        sim.outcome()
    }

    fn has_learned(&self, at: Instant) -> bool {
        at >= self.start + WARM_UP + LEARNING
    }

    fn outcome(&self) -> Outcome {
        let mut slowed: Vec<Duration> = Vec::new();
        let (mut late, mut count) = (0_u32, 0_u32);
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(_, job)| self.has_learned(job.submitted_at))
        {
            let took = self.completed.get(id).copied().unwrap_or(self.now) - job.submitted_at;
            if job.kind == PAIR.0 {
                slowed.push(took);
            }
            count += 1;
            late += u32::from(took > objective(job.kind));
        }
        slowed.sort_unstable();
        Outcome {
            slowed,
            together: f64::from(self.starts.1) / f64::from(self.starts.0),
            late: f64::from(late) / f64::from(count),
            avoided: self.avoided,
            reports: self.reports,
            refused: self.refused,
        }
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn connect_all(&mut self, sharing: bool) {
        let expiry = WorkerConfig::builder().build().run_expiry();
        for entry in 0..ENTRIES {
            let cfg = BrokerConfig::builder("zone-a", expiry)
                .seed(u64::from(entry))
                .sharing(sharing)
                .build();
            let core = BrokerCore::new(cfg, self.now);
            self.entries.push((core, None));
            let table = RouteTable {
                version: 1,
                routes: vec![route()],
                services: [("pool".to_owned(), ServiceRule::default())].into(),
            };
            self.handle_entry(entry, EntryEvent::Routes(table));
            self.handle_entry(entry, EntryEvent::EntryCount(usize::from(ENTRIES)));
        }
        for agent in 0..WORKERS {
            self.now = self.start + Duration::from_millis(self.rng.random_range(0..200));
            self.agents.push(Host {
                core: WorkerCore::new(WorkerConfig::builder().build(), self.now),
                tick_at: None,
                worker: LeasedWorker::new(self.start, 1, 1.0),
                waiting: None,
            });
            let announcement = announcement(agent, self.now - self.start);
            self.handle_agent(agent, AgentEvent::Announced(announcement));
            for entry in 0..ENTRIES {
                let (link, process) = (link(entry, agent), u64::from(entry) + 1);
                self.handle_agent(agent, AgentEvent::EntryUp { link, entry: process });
                let agent_up = EntryEvent::AgentUp {
                    link,
                    agent: format!("agent-{agent}"),
                    process: u64::from(agent) + 1,
                };
                self.handle_entry(entry, agent_up);
            }
        }
        self.now = self.start;
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::EntryTick(entry) => {
                if self.entries[usize::from(entry)].1 == Some(self.now) {
                    self.entries[usize::from(entry)].1 = None;
                    self.handle_entry(entry, EntryEvent::Tick);
                }
            }
            ScheduledEvent::AgentTick(agent) => {
                if self.agents[usize::from(agent)].tick_at == Some(self.now) {
                    self.agents[usize::from(agent)].tick_at = None;
                    self.handle_agent(agent, AgentEvent::Tick);
                }
            }
            ScheduledEvent::ToEntry(entry, link, message) => {
                self.reports += u64::from(matches!(message, WorkerToEntry::Interference(_)));
                self.handle_entry(entry, EntryEvent::FromAgent { link, message });
            }
            ScheduledEvent::ToAgent(agent, link, message) => {
                self.handle_agent(agent, AgentEvent::FromEntry { link, message });
            }
            ScheduledEvent::Order(agent, call, order) => self.carry_out(agent, call, &order),
            ScheduledEvent::Reply(agent, call, reply) => {
                self.handle_agent(agent, AgentEvent::Replied { call, reply });
            }
            ScheduledEvent::Worker(agent) => self.answer_renewal(agent),
            ScheduledEvent::Submit(id) => self.submit(id),
        }
    }

    fn submit(&mut self, id: JobId) {
        let entry = self.rng.random_range(0..ENTRIES);
        let kind = self.jobs[&id].kind;
        let (tasks, millis, _) = KINDS[kind];
        let step = StepSpec {
            tasks,
            resources: Resources {
                cpu_millis: 2_500,
                memory_mb: 100,
                gpus: 0,
            },
            declared_run_time: Duration::from_millis(u64::from(millis)),
            image: Some(format!("image-{kind}")),
            ..StepSpec::default()
        };
        let submission = JobSubmission {
            spec: Bytes::from_static(b"x"),
            steps: vec![step],
            ..JobSubmission::default()
        };
        let request = Request {
            host: "h".to_owned(),
            queue: "/q/".to_owned(),
            job: Some(id),
            timeout: None,
            kind: RequestKind::Submit(submission),
        };
        let ticket = u64::try_from(id).expect("ids are small");
        self.handle_entry(
            entry,
            EntryEvent::Request {
                ticket,
                request,
                received_at: self.now,
            },
        );
    }

    fn handle_entry(&mut self, entry: u16, event: EntryEvent) {
        let mut actions = Vec::new();
        self.entries[usize::from(entry)]
            .0
            .handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                EntryAction::ToAgent(link, message) => {
                    let agent = agent_of(link);
                    self.schedule(LINK_DELAY, ScheduledEvent::ToAgent(agent, link, message));
                }
                EntryAction::Answer(ticket, Answer::State(JobState::Completed)) => {
                    self.completed.insert(JobId::from(ticket), self.now);
                }
                EntryAction::Answer(_, Answer::Refused { .. }) => self.refused += 1,
                EntryAction::Notice(Notice::InterferenceAvoided { tasks, .. }) => self.avoided += tasks,
                _ => {}
            }
        }
        let (core, tick_at) = &mut self.entries[usize::from(entry)];
        let at = core.next_wakeup().max(self.now + Duration::from_micros(100));
        if tick_at.is_none_or(|scheduled| at < scheduled || scheduled < self.now) {
            *tick_at = Some(at);
            self.schedule(at - self.now, ScheduledEvent::EntryTick(entry));
        }
    }

    fn handle_agent(&mut self, agent: u16, event: AgentEvent) {
        let mut actions = Vec::new();
        self.agents[usize::from(agent)]
            .core
            .handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                AgentAction::ToEntry(link, message) => {
                    let entry = entry_of(link);
                    self.schedule(LINK_DELAY, ScheduledEvent::ToEntry(entry, link, message));
                }
                AgentAction::Call { call, order, .. } => {
                    self.schedule(CALL_DELAY, ScheduledEvent::Order(agent, call, order));
                }
                AgentAction::Notice(_) => {}
            }
        }
        let host = &mut self.agents[usize::from(agent)];
        let at = host.core.next_wakeup().max(self.now + Duration::from_micros(100));
        if host
            .tick_at
            .is_none_or(|scheduled| at < scheduled || scheduled < self.now)
        {
            host.tick_at = Some(at);
            self.schedule(at - self.now, ScheduledEvent::AgentTick(agent));
        }
    }

    /// Returns the run time of a task that starts on a worker now.
    fn run_time(&mut self, agent: u16, task: TaskKey) -> Duration {
        let job = &self.jobs[&task.job];
        let work = job.run_times[usize::from(task.index)];
        if job.kind != PAIR.0 {
            return work;
        }
        let mut running = self.agents[usize::from(agent)].worker.running();
        let together = running.any(|other| self.jobs[&other.job].kind == PAIR.1);
        if self.has_learned(self.now) {
            self.starts.0 += 1;
            self.starts.1 += u32::from(together);
        }
        if together {
            work.mul_f64(self.slowdown)
        } else {
            work
        }
    }

    fn carry_out(&mut self, agent: u16, call: CallId, order: &Order) {
        let now = self.now;
        self.agents[usize::from(agent)].worker.advance(now);
        let mut work = Duration::ZERO;
        if let Order::Start { task, .. } = order {
            work = self.run_time(agent, *task);
        }
        let host = &mut self.agents[usize::from(agent)];
        let reply = host.worker.carry_out(now, order, work, RunOutcome::Completed);
        if let (Order::Start { .. }, CallOutcome::Done) = (order, &reply.outcome) {
            self.schedule(work, ScheduledEvent::Worker(agent));
        }
        if let (Order::RenewLease { wait, .. }, CallOutcome::LeaseRenewed(list)) = (order, &reply.outcome)
            && list.ended.is_empty()
            && !wait.is_zero()
        {
            self.agents[usize::from(agent)].waiting = Some((call, self.now + *wait));
            self.schedule(*wait, ScheduledEvent::Worker(agent));
            return;
        }
        self.schedule(CALL_DELAY, ScheduledEvent::Reply(agent, call, reply));
    }

    fn answer_renewal(&mut self, agent: u16) {
        let host = &mut self.agents[usize::from(agent)];
        host.worker.advance(self.now);
        let list = host.worker.lists();
        let due = |&(_, until): &(CallId, Instant)| self.now >= until || !list.ended.is_empty();
        if let Some((call, _)) = host.waiting.filter(due) {
            host.waiting = None;
            let reply = Reply {
                clock: Some(host.worker.clock(self.now)),
                started_at: None,
                outcome: CallOutcome::LeaseRenewed(list),
            };
            self.schedule(CALL_DELAY, ScheduledEvent::Reply(agent, call, reply));
        }
    }
}

fn announcement(agent: u16, clock: Duration) -> Announcement {
    Announcement {
        description: WorkerDescription {
            worker: format!("w-{agent}"),
            pool: "pool".to_owned(),
            failure_domain: "zone-a".to_owned(),
            labels: Vec::new(),
            capacity: Resources {
                cpu_millis: 16_000,
                memory_mb: 32_000,
                gpus: 0,
            },
            leaving: false,
            stores_losses: false,
            reads_resources: false,
            reads_time_limits: false,
            reads_end_limits: false,
            reads_demand: false,
        },
        address: "w:1".to_owned(),
        started_at: Duration::from_secs(1),
        sequence: 1,
        clock,
    }
}

fn route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        service: "pool".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.6,
        overhead: Duration::from_millis(60),
        timeout: Duration::from_millis(1_500),
    }
}

/// Runs the same jobs with and without the feature.
fn compare(load: f64, slowdown: f64) -> (Outcome, Outcome) {
    let [on, off] = [true, false].map(|sharing| Sim::run(load, slowdown, sharing));
    println!("load {load}, slowdown {slowdown}\n  on:  {on}\n  off: {off}");
    (on, off)
}

/// Load: half of all places in use, by three images of which one slows another one to half its speed. Guards against an
/// interfering pair that is not found or not placed apart while there is room: after the learning time, at most half as many
/// tasks may run together as without the feature, and half of the slowed jobs take no longer than a job without interference
/// (its slower task takes 230 ms on average).
#[test]
fn interference_half_load_places_apart() {
    let (on, off) = compare(0.5, SLOWDOWN);
    assert!(on.together <= off.together / 2.0, "on: {on}; off: {off}");
    assert!(
        on.quantile(50) <= Duration::from_millis(250),
        "on: {on}; off: {off}"
    );
    assert!(
        on.late <= off.late && on.refused <= off.refused,
        "on: {on}; off: {off}"
    );
    assert!(on.avoided > 0 && off.avoided == 0 && off.reports == 0);
}

/// Load: nearly all places in use. Guards against tasks that wait or are refused because of interference.
#[test]
fn interference_full_pool_loses_no_jobs() {
    let (on, off) = compare(0.85, SLOWDOWN);
    assert!(on.late <= off.late + 0.01, "on: {on}; off: {off}");
}

/// Load: the same images without interference. Guards against pairs that are found in the noise, which would move tasks for
/// nothing.
#[test]
fn interference_none_changes_nothing() {
    let (on, off) = compare(0.5, 1.0);
    assert_eq!((on.avoided, off.avoided), (0, 0), "on: {on}; off: {off}");
    assert_eq!((on.slowed, on.late.to_bits()), (off.slowed, off.late.to_bits()));
}

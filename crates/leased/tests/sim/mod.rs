//! Randomised run of the real entry and agent cores against a model of workers, callers and the network.
//!
//! Time is virtual. Calls to workers get lost and are carried out seconds later, links are cut and reset, entries, agents
//! and workers are killed, callers go away and send their jobs again to another entry.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_broker::{
    Action as EntryAction, Answer, BrokerConfig, BrokerCore, Event as EntryEvent, JobState, JobSubmission,
    Request, RequestKind, StepSpec,
};
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_standin::LeasedWorker;
use chestnutfork_types::{
    EntryToWorker, JobId, LinkNumber, Resources, RunOutcome, TaskKey, WorkerDescription, WorkerToEntry,
};
use chestnutfork_worker::{
    Action as AgentAction, Announcement, CallId, Event as AgentEvent, Order, Outcome, Reply, WorkerConfig,
    WorkerCore,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
/// Time after which a caller sends a job again that got no answer.
const RESEND: Duration = Duration::from_millis(1_300);
/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_millis(2_200);
/// Delay of messages between entries and agents; it is constant, so that they stay in order.
const LINK_DELAY: Duration = Duration::from_millis(2);
/// Time after which an unanswered call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// What is due at some time.
#[derive(Debug)]
enum Due {
    EntryTick(usize),
    AgentTick(usize),
    Beat(usize),
    ToAgent(LinkNumber, EntryToWorker),
    ToEntry(LinkNumber, WorkerToEntry),
    Order(usize, u64, Option<CallId>, u64, Order),
    Reply(usize, u64, CallId, Reply),
    Submit(JobId),
    Fault,
    Connect(usize, usize),
    LinkDown(LinkNumber),
}

#[derive(Debug)]
struct Link {
    entry: usize,
    agent: usize,
    cut: bool,
}

#[derive(Debug, Default)]
struct Job {
    tasks: u16,
    tries: u32,
    /// Entry and ticket of the present try.
    waits: Option<(usize, u64)>,
    refused_only: bool,
    answered: bool,
}

/// What a run has seen.
#[derive(Debug, Default)]
pub struct Counts {
    pub completed: u64,
    pub refused: u64,
    pub timed_out: u64,
    pub starts: u64,
    pub late_orders: u64,
    pub faults: u64,
}

impl Counts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.completed += other.completed;
        self.refused += other.refused;
        self.timed_out += other.timed_out;
        self.starts += other.starts;
        self.late_orders += other.late_orders;
        self.faults += other.faults;
    }
}

/// Randomised run.
pub struct Sim {
    now: Instant,
    end: Instant,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), Due>,
    sequence: u64,
    entries: Vec<BrokerCore>,
    /// Incarnations of the entries.
    entry_processes: Vec<u64>,
    agents: Vec<(u64, WorkerCore)>,
    workers: Vec<LeasedWorker>,
    links: HashMap<LinkNumber, Link>,
    jobs: HashMap<JobId, Job>,
    completed_tasks: HashSet<TaskKey>,
    started_jobs: HashSet<JobId>,
    pub counts: Counts,
    pub violations: Vec<String>,
    /// Deliberate fault of the model, to show that the checks notice it.
    broken: Option<Broken>,
}

/// Rule that the run breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Entries take runs for ended at once when their agent is silent.
    HastyEntry,
    /// Agents keep runs of entries whose lease has ended.
    LastingLease,
}

impl Sim {
    pub fn run(seed: u64, broken: Option<Broken>) -> Self {
        let mut sim = Self::new(seed, broken);
        while let Some(((at, _), due)) = sim.queue.pop_first() {
            if at > sim.end || !sim.violations.is_empty() {
                break;
            }
            sim.now = at;
            sim.step(due);
            sim.check_runs();
        }
        sim
    }

    fn new(seed: u64, broken: Option<Broken>) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            end: now + Duration::from_secs(20),
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            entries: Vec::new(),
            entry_processes: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            links: HashMap::new(),
            jobs: HashMap::new(),
            completed_tasks: HashSet::new(),
            started_jobs: HashSet::new(),
            counts: Counts::default(),
            violations: Vec::new(),
            broken,
        };
        for entry in 0..ENTRIES {
            let core = sim.new_entry();
            sim.entries.push(core);
            let process = sim.rng.random();
            sim.entry_processes.push(process);
            sim.tick_entry(entry);
        }
        for agent in 0..AGENTS {
            let rate = sim.rng.random_range(0.98..=1.0);
            sim.workers.push(LeasedWorker::new(now, 1, rate));
            let core = WorkerCore::new(sim.agent_config(), now);
            let process = sim.rng.random();
            sim.agents.push((process, core));
            sim.after(Duration::ZERO, Due::Beat(agent));
            for entry in 0..ENTRIES {
                sim.after(Duration::from_millis(10), Due::Connect(entry, agent));
            }
        }
        for number in 0..200_u32 {
            let at = Duration::from_millis(200 + 90 * u64::from(number));
            sim.after(at, Due::Submit(JobId::from(number) + 1));
        }
        sim.after(Duration::from_millis(500), Due::Fault);
        sim
    }

    fn agent_config(&self) -> WorkerConfig {
        let cfg = WorkerConfig::builder();
        match self.broken {
            Some(Broken::LastingLease) => cfg.entry_lease(Duration::from_mins(1)).build(),
            _ => cfg.build(),
        }
    }

    fn new_entry(&mut self) -> BrokerCore {
        let bound = match self.broken {
            Some(Broken::HastyEntry) => Duration::from_millis(100),
            _ => WorkerConfig::builder().build().run_expiry(),
        };
        let mut core = BrokerCore::new(BrokerConfig::builder("zone-a", bound).build(), self.now);
        let table = RouteTable {
            version: 1,
            routes: vec![route()],
            services: [("pool".to_owned(), ServiceRule::default())].into(),
        };
        core.handle(self.now, EntryEvent::Routes(table), &mut Vec::new());
        core
    }

    fn after(&mut self, delay: Duration, due: Due) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), due);
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::EntryTick(entry) => {
                self.entry(entry, EntryEvent::Tick);
                self.tick_entry(entry);
            }
            Due::AgentTick(agent) => {
                if self.agents[agent].1.next_wakeup() <= self.now {
                    self.agent(agent, AgentEvent::Tick);
                }
            }
            Due::Beat(agent) => self.beat(agent),
            Due::ToAgent(link, message) => {
                if let Some(agent) = self
                    .links
                    .get(&link)
                    .filter(|link| !link.cut)
                    .map(|link| link.agent)
                {
                    self.agent(agent, AgentEvent::FromEntry { link, message });
                }
            }
            Due::ToEntry(link, message) => {
                if let Some(entry) = self
                    .links
                    .get(&link)
                    .filter(|link| !link.cut)
                    .map(|link| link.entry)
                {
                    self.entry(entry, EntryEvent::FromAgent { link, message });
                }
            }
            Due::Order(agent, process, call, incarnation, order) => {
                self.carry_out(agent, process, call, incarnation, &order);
            }
            Due::Reply(agent, process, call, reply) => {
                if self.agents[agent].0 == process {
                    self.agent(agent, AgentEvent::Replied { call, reply });
                }
            }
            Due::Submit(job) => self.submit(job),
            Due::Fault => self.fault(),
            Due::Connect(entry, agent) => self.connect(entry, agent),
            Due::LinkDown(link) => self.disconnect(link),
        }
    }

    fn tick_entry(&mut self, entry: usize) {
        let at = self.entries[entry]
            .next_wakeup()
            .max(self.now + Duration::from_millis(1));
        self.after(at - self.now, Due::EntryTick(entry));
    }

    fn beat(&mut self, agent: usize) {
        let worker = &self.workers[agent];
        let announcement = Announcement {
            description: WorkerDescription {
                worker: format!("w{agent}-{}", worker.incarnation),
                pool: "pool".to_owned(),
                failure_domain: "zone-a".to_owned(),
                labels: Vec::new(),
                capacity: Resources {
                    cpu_millis: 6_000,
                    memory_mb: 6_000,
                    gpus: 0,
                },
                leaving: false,
            },
            address: "worker:1".to_owned(),
            started_at: Duration::from_secs(worker.incarnation),
            sequence: u64::try_from(worker.clock(self.now).as_millis()).expect("a short run") + 1,
            clock: worker.clock(self.now),
        };
        self.agent(agent, AgentEvent::Announced(announcement));
        self.after(Duration::from_secs(1), Due::Beat(agent));
    }

    fn entry(&mut self, entry: usize, event: EntryEvent) {
        let mut actions = Vec::new();
        self.entries[entry].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                EntryAction::ToAgent(link, message) => {
                    self.after(LINK_DELAY, Due::ToAgent(link, message));
                }
                EntryAction::Answer(ticket, answer) => self.answered(entry, ticket, answer),
                EntryAction::Notice(_) => {}
            }
        }
    }

    fn agent(&mut self, agent: usize, event: AgentEvent) {
        let mut actions = Vec::new();
        let process = self.agents[agent].0;
        self.agents[agent].1.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                AgentAction::ToEntry(link, message) => {
                    self.after(LINK_DELAY, Due::ToEntry(link, message));
                }
                AgentAction::Call {
                    call, worker, order, ..
                } => self.call(agent, process, call, &worker, order),
                AgentAction::Notice(_) => {}
            }
        }
        let at = self.agents[agent]
            .1
            .next_wakeup()
            .max(self.now + Duration::from_millis(1));
        self.after(at - self.now, Due::AgentTick(agent));
    }

    fn call(&mut self, agent: usize, process: u64, call: CallId, worker: &str, order: Order) {
        let (_, incarnation) = worker.rsplit_once('-').expect("names of workers have a number");
        let incarnation = incarnation.parse().expect("a number");
        if self.rng.random_bool(0.04) {
            self.counts.late_orders += 1;
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.after(late, Due::Order(agent, process, None, incarnation, order));
            let lost = no_answer();
            self.after(CALL_TIMEOUT, Due::Reply(agent, process, call, lost));
            return;
        }
        let wait = match order {
            Order::RenewLease { wait, .. } => wait.mul_f64(self.rng.random_range(0.0..1.0)),
            _ => Duration::ZERO,
        };
        let delay = Duration::from_millis(self.rng.random_range(1..4)) + wait;
        let due = Due::Order(agent, process, Some(call), incarnation, order);
        self.after(delay, due);
    }

    fn carry_out(
        &mut self,
        agent: usize,
        process: u64,
        call: Option<CallId>,
        incarnation: u64,
        order: &Order,
    ) {
        let long = self.rng.random_bool(0.1);
        let work = if long {
            self.rng.random_range(1_000..3_000)
        } else {
            self.rng.random_range(30..700)
        };
        let work = Duration::from_millis(work);
        let end = if self.rng.random_bool(0.03) {
            RunOutcome::Failed
        } else {
            RunOutcome::Completed
        };
        let worker = &mut self.workers[agent];
        let reply = if worker.incarnation == incarnation {
            worker.carry_out(self.now, order, work, end)
        } else {
            Reply {
                clock: None,
                outcome: Outcome::OtherIncarnation,
            }
        };
        if let (Order::Start { task, .. }, Outcome::Done) = (order, &reply.outcome) {
            self.counts.starts += 1;
            self.started_jobs.insert(task.job);
        }
        if let Outcome::LeaseRenewed(held) = &reply.outcome {
            let completed = held.ended.iter().filter(|end| end.end == RunOutcome::Completed);
            self.completed_tasks.extend(completed.map(|end| end.run.task));
        }
        if let Some(call) = call {
            let lost = self.rng.random_bool(0.02);
            let reply = if lost { no_answer() } else { reply };
            let delay = if lost {
                CALL_TIMEOUT
            } else {
                Duration::from_millis(1)
            };
            self.after(delay, Due::Reply(agent, process, call, reply));
        }
    }

    fn submit(&mut self, id: JobId) {
        let entry = self.rng.random_range(0..ENTRIES);
        let ticket = self.rng.random();
        let tasks = 1 + u16::try_from(id % 4).expect("a small number");
        let job = self.jobs.entry(id).or_insert_with(|| Job {
            tasks,
            refused_only: true,
            ..Job::default()
        });
        job.tries += 1;
        job.waits = Some((entry, ticket));
        let request = Request {
            host: "h".to_owned(),
            queue: "/q/".to_owned(),
            job: Some(id),
            timeout: Some(PATIENCE),
            kind: RequestKind::Submit(submission(tasks)),
        };
        self.entry(entry, EntryEvent::Request { ticket, request });
        if self.rng.random_bool(0.1) && self.jobs[&id].waits.is_some() {
            // The caller's connection is reset, and the entry notices.
            self.jobs.entry(id).or_default().waits = None;
            self.jobs.entry(id).or_default().refused_only = false;
            self.entry(entry, EntryEvent::CallerDisconnected { ticket });
            self.resend(id);
        }
    }

    fn resend(&mut self, id: JobId) {
        if self.jobs[&id].tries < 3 {
            self.after(RESEND, Due::Submit(id));
        }
    }

    fn answered(&mut self, entry: usize, ticket: u64, answer: Answer) {
        let found = self
            .jobs
            .iter()
            .find(|(_, job)| job.waits == Some((entry, ticket)));
        let Some(id) = found.map(|(&id, _)| id) else {
            self.violations
                .push(format!("ticket {ticket} was answered twice or by a stranger"));
            return;
        };
        let started = self.started_jobs.contains(&id);
        let tasks = self.jobs[&id].tasks;
        let job = self.jobs.entry(id).or_default();
        job.waits = None;
        match answer {
            Answer::State(JobState::Completed) => {
                self.counts.completed += 1;
                job.answered = true;
                let done = (0..tasks).all(|index| {
                    self.completed_tasks.contains(&TaskKey {
                        job: id,
                        step: 0,
                        index,
                    })
                });
                if !done {
                    self.violations
                        .push(format!("job {id} is completed without all its tasks"));
                }
            }
            Answer::Refused { .. } => {
                self.counts.refused += 1;
                if job.refused_only && started {
                    self.violations
                        .push(format!("job {id} started, and was refused each time"));
                }
            }
            Answer::TimedOut => {
                self.counts.timed_out += 1;
                job.refused_only = false;
                self.resend(id);
            }
            Answer::State(JobState::Failed) => job.refused_only = false,
            other => self.violations.push(format!("job {id} got {other:?}")),
        }
    }

    fn connect(&mut self, entry: usize, agent: usize) {
        let link = self.rng.random();
        self.links.insert(
            link,
            Link {
                entry,
                agent,
                cut: false,
            },
        );
        let process = self.agents[agent].0;
        let name = format!("agent-{agent}");
        let up = EntryEvent::AgentUp {
            link,
            agent: name,
            process,
        };
        self.entry(entry, up);
        let up = AgentEvent::EntryUp {
            link,
            entry: self.entry_processes[entry],
        };
        self.agent(agent, up);
    }

    fn disconnect(&mut self, link: LinkNumber) {
        let Some(ended) = self.links.remove(&link) else {
            return;
        };
        self.entry(ended.entry, EntryEvent::AgentDown { link });
        self.agent(ended.agent, AgentEvent::EntryDown { link });
        let delay = Duration::from_millis(self.rng.random_range(20..400));
        self.after(delay, Due::Connect(ended.entry, ended.agent));
    }

    fn fault(&mut self) {
        self.counts.faults += 1;
        let links: Vec<LinkNumber> = self.links.keys().copied().collect();
        let mut links = links;
        links.sort_unstable();
        match self.rng.random_range(0..6) {
            0 if !links.is_empty() => {
                let link = links[self.rng.random_range(0..links.len())];
                self.disconnect(link);
            }
            // A cut is noticed by silence, up to seconds later.
            1 | 2 if !links.is_empty() => {
                let link = links[self.rng.random_range(0..links.len())];
                self.links.entry(link).and_modify(|link| link.cut = true);
                let silent = Duration::from_millis(self.rng.random_range(300..3_000));
                self.after(silent, Due::LinkDown(link));
            }
            3 => self.kill_agent(),
            4 => self.kill_entry(),
            _ => {
                let agent = self.rng.random_range(0..AGENTS);
                let worker = &self.workers[agent];
                let reborn = LeasedWorker::new(self.now, worker.incarnation + 1, 0.99);
                self.workers[agent] = reborn;
            }
        }
        let next = Duration::from_millis(self.rng.random_range(100..1_200));
        self.after(next, Due::Fault);
    }

    fn kill_agent(&mut self) {
        let agent = self.rng.random_range(0..AGENTS);
        let process = self.rng.random();
        self.agents[agent] = (process, WorkerCore::new(self.agent_config(), self.now));
        self.drop_links(|link| link.agent == agent);
        for entry in 0..ENTRIES {
            self.after(Duration::from_millis(50), Due::Connect(entry, agent));
        }
    }

    fn kill_entry(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        self.entry_processes[entry] = self.rng.random();
        let core = self.new_entry();
        self.entries[entry] = core;
        self.drop_links(|link| link.entry == entry);
        for agent in 0..AGENTS {
            self.after(Duration::from_millis(50), Due::Connect(entry, agent));
        }
        let mut lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.waits.is_some_and(|(at, _)| at == entry))
            .map(|(&id, _)| id)
            .collect();
        lost.sort_unstable();
        for id in lost {
            let job = self.jobs.entry(id).or_default();
            job.waits = None;
            job.refused_only = false;
            self.resend(id);
        }
    }

    /// Closes links whose one side was killed; the other side notices at once.
    fn drop_links(&mut self, dead: impl Fn(&Link) -> bool) {
        let mut gone: Vec<LinkNumber> = self
            .links
            .iter()
            .filter(|(_, link)| dead(link))
            .map(|(&number, _)| number)
            .collect();
        gone.sort_unstable();
        for link in gone {
            if let Some(ended) = self.links.remove(&link) {
                self.entry(ended.entry, EntryEvent::AgentDown { link });
                self.agent(ended.agent, AgentEvent::EntryDown { link });
            }
        }
    }

    /// Checks that no task runs on two workers.
    fn check_runs(&mut self) {
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
        for (at, worker) in self.workers.iter().enumerate() {
            for task in worker.running() {
                if self.workers[at + 1..].iter().any(|other| other.is_running(task)) {
                    self.violations.push(format!("{task:?} runs on two workers"));
                }
            }
        }
    }
}

fn no_answer() -> Reply {
    Reply {
        clock: None,
        outcome: Outcome::NoAnswer,
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
        stretch_factor: 2.0,
        overhead: Duration::from_millis(500),
        timeout: Duration::from_secs(2),
    }
}

fn submission(tasks: u16) -> JobSubmission {
    let step = StepSpec {
        tasks,
        resources: Resources {
            cpu_millis: 1_000,
            memory_mb: 10,
            gpus: 0,
        },
        declared_run_time: Duration::from_millis(300),
        ..StepSpec::default()
    };
    JobSubmission {
        spec: Bytes::from_static(b"x"),
        steps: vec![step],
        ..JobSubmission::default()
    }
}

//! Simulation of the entry and agent cores with a model of workers, callers and the network.
//!
//! Time is virtual. Replies of workers are lost and orders are executed seconds late, links are partitioned and reset,
//! entries, agents and workers are killed, and callers disconnect and submit their jobs again to a random entry.

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
    Action as AgentAction, Announcement, CallId, CallOutcome, Event as AgentEvent, Order, Reply,
    WorkerConfig, WorkerCore,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
/// Delay before a caller submits a job again that was not answered.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
/// Time for which a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Delay of messages between entries and agents. It is constant to preserve their order.
const LINK_DELAY: Duration = Duration::from_millis(2);
/// Time after which an unanswered call to a worker is treated as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Distance between the ids of jobs with a task that crashes its workers.
const CRASHING_JOB_INTERVAL: JobId = 40;

/// Event at a point of virtual time.
#[derive(Debug)]
enum ScheduledEvent {
    EntryTick(usize),
    AgentTick(usize),
    Heartbeat(usize),
    ToAgent(LinkNumber, EntryToWorker),
    ToEntry(LinkNumber, WorkerToEntry),
    Order(usize, u64, Option<CallId>, u64, Order),
    Reply(usize, u64, CallId, Reply),
    Submit(JobId),
    Fault,
    Connect(usize, usize),
    LinkDown(LinkNumber),
    Crash(usize, u64),
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
    submissions: u32,
    /// Entry and ticket of the current submission, while it is unanswered.
    pending: Option<(usize, u64)>,
    refused_only: bool,
    answered: bool,
}

/// Counts of events in a run.
#[derive(Debug, Default)]
pub struct Counts {
    pub completed: u64,
    pub refused: u64,
    pub timed_out: u64,
    pub starts: u64,
    pub late_orders: u64,
    pub faults: u64,
    /// Crashes of workers under tasks of crashing jobs.
    pub crashes: u64,
    /// Answers that a crashing job has failed.
    pub crashing_failed: u64,
    /// Answers that another job has failed.
    pub others_failed: u64,
    /// Largest number of starts of one crashing task.
    pub most_starts: u64,
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
        self.crashes += other.crashes;
        self.crashing_failed += other.crashing_failed;
        self.others_failed += other.others_failed;
        self.most_starts = self.most_starts.max(other.most_starts);
    }
}

/// State of a randomised run.
pub struct Sim {
    now: Instant,
    end: Instant,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
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
    /// Whether some jobs have a task that crashes each worker that starts it.
    crashing_jobs: bool,
    /// When each worker is back after its latest crash.
    down_until: Vec<Instant>,
    /// Starts and crashes of each crashing task, and its starts after the third crash.
    crashing_tasks: HashMap<TaskKey, (u64, u64, u64)>,
    pub violations: Vec<String>,
    /// Defect that is injected to verify that the checks detect it.
    defect: Option<InjectedDefect>,
}

/// Deliberate misconfiguration that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Entries treat runs as expired 100 ms after the last heartbeat of their agent.
    ShortRunExpiry,
    /// Agents keep runs of entries whose lease should have expired.
    LongEntryLease,
}

impl Sim {
    pub fn run(seed: u64, defect: Option<InjectedDefect>) -> Self {
        Self::new(seed, defect).play()
    }

    /// Runs with jobs that have a task which crashes each worker that starts it.
    pub fn run_with_crashing_jobs(seed: u64) -> Self {
        let mut sim = Self::new(seed, None);
        sim.crashing_jobs = true;
        sim.play()
    }

    fn play(mut self) -> Self {
        let sim = &mut self;
        while let Some(((at, _), event)) = sim.queue.pop_first() {
            if at > sim.end || !sim.violations.is_empty() {
                break;
            }
            sim.now = at;
            sim.process(event);
            sim.check_concurrent_runs();
        }
        self
    }

    fn new(seed: u64, defect: Option<InjectedDefect>) -> Self {
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
            crashing_jobs: false,
            down_until: vec![now; AGENTS],
            crashing_tasks: HashMap::new(),
            violations: Vec::new(),
            defect,
        };
        for entry in 0..ENTRIES {
            let core = sim.new_entry();
            sim.entries.push(core);
            let process = sim.rng.random();
            sim.entry_processes.push(process);
            sim.schedule_entry_tick(entry);
        }
        for agent in 0..AGENTS {
            let rate = sim.rng.random_range(0.98..=1.0);
            sim.workers.push(LeasedWorker::new(now, 1, rate));
            let core = WorkerCore::new(sim.agent_config(), now);
            let process = sim.rng.random();
            sim.agents.push((process, core));
            sim.schedule(Duration::ZERO, ScheduledEvent::Heartbeat(agent));
            for entry in 0..ENTRIES {
                sim.schedule(Duration::from_millis(10), ScheduledEvent::Connect(entry, agent));
            }
        }
        for number in 0..200_u32 {
            let at = Duration::from_millis(200 + 90 * u64::from(number));
            sim.schedule(at, ScheduledEvent::Submit(JobId::from(number) + 1));
        }
        sim.schedule(Duration::from_millis(500), ScheduledEvent::Fault);
        sim
    }

    fn agent_config(&self) -> WorkerConfig {
        let cfg = WorkerConfig::builder();
        match self.defect {
            Some(InjectedDefect::LongEntryLease) => cfg.entry_lease(Duration::from_mins(1)).build(),
            _ => cfg.build(),
        }
    }

    fn new_entry(&mut self) -> BrokerCore {
        let run_expiry = match self.defect {
            Some(InjectedDefect::ShortRunExpiry) => Duration::from_millis(100),
            _ => WorkerConfig::builder().build().run_expiry(),
        };
        let mut core = BrokerCore::new(BrokerConfig::builder("zone-a", run_expiry).build(), self.now);
        let table = RouteTable {
            version: 1,
            routes: vec![route()],
            services: [("pool".to_owned(), ServiceRule::default())].into(),
        };
        core.handle(self.now, EntryEvent::Routes(table), &mut Vec::new());
        core
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::EntryTick(entry) => {
                self.handle_entry_event(entry, EntryEvent::Tick);
                self.schedule_entry_tick(entry);
            }
            ScheduledEvent::AgentTick(agent) => {
                if self.agents[agent].1.next_wakeup() <= self.now {
                    self.handle_agent_event(agent, AgentEvent::Tick);
                }
            }
            ScheduledEvent::Heartbeat(agent) => self.announce_worker(agent),
            ScheduledEvent::ToAgent(link, message) => {
                if let Some(agent) = self
                    .links
                    .get(&link)
                    .filter(|link| !link.cut)
                    .map(|link| link.agent)
                {
                    self.handle_agent_event(agent, AgentEvent::FromEntry { link, message });
                }
            }
            ScheduledEvent::ToEntry(link, message) => {
                if let Some(entry) = self
                    .links
                    .get(&link)
                    .filter(|link| !link.cut)
                    .map(|link| link.entry)
                {
                    self.handle_entry_event(entry, EntryEvent::FromAgent { link, message });
                }
            }
            ScheduledEvent::Order(agent, process, call, incarnation, order) => {
                self.deliver_order(agent, process, call, incarnation, &order);
            }
            ScheduledEvent::Reply(agent, process, call, reply) => {
                if self.agents[agent].0 == process {
                    self.handle_agent_event(agent, AgentEvent::Replied { call, reply });
                }
            }
            ScheduledEvent::Submit(job) => self.submit(job),
            ScheduledEvent::Fault => self.inject_fault(),
            ScheduledEvent::Connect(entry, agent) => self.connect(entry, agent),
            ScheduledEvent::LinkDown(link) => self.disconnect(link),
            ScheduledEvent::Crash(agent, incarnation) => self.crash_worker(agent, incarnation),
        }
    }

    fn schedule_entry_tick(&mut self, entry: usize) {
        let at = self.entries[entry]
            .next_wakeup()
            .max(self.now + Duration::from_millis(1));
        self.schedule(at - self.now, ScheduledEvent::EntryTick(entry));
    }

    fn announce_worker(&mut self, agent: usize) {
        if self.now < self.down_until[agent] {
            let delay = self.down_until[agent] - self.now;
            self.schedule(delay, ScheduledEvent::Heartbeat(agent));
            return;
        }
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
        self.handle_agent_event(agent, AgentEvent::Announced(announcement));
        self.schedule(Duration::from_secs(1), ScheduledEvent::Heartbeat(agent));
    }

    fn handle_entry_event(&mut self, entry: usize, event: EntryEvent) {
        let mut actions = Vec::new();
        self.entries[entry].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                EntryAction::ToAgent(link, message) => {
                    self.schedule(LINK_DELAY, ScheduledEvent::ToAgent(link, message));
                }
                EntryAction::Answer(ticket, answer) => self.on_answer(entry, ticket, answer),
                EntryAction::Notice(_) => {}
            }
        }
    }

    fn handle_agent_event(&mut self, agent: usize, event: AgentEvent) {
        let mut actions = Vec::new();
        let process = self.agents[agent].0;
        self.agents[agent].1.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                AgentAction::ToEntry(link, message) => {
                    self.schedule(LINK_DELAY, ScheduledEvent::ToEntry(link, message));
                }
                AgentAction::Call {
                    call, worker, order, ..
                } => self.send_order(agent, process, call, &worker, order),
                AgentAction::Notice(_) => {}
            }
        }
        let at = self.agents[agent]
            .1
            .next_wakeup()
            .max(self.now + Duration::from_millis(1));
        self.schedule(at - self.now, ScheduledEvent::AgentTick(agent));
    }

    fn send_order(&mut self, agent: usize, process: u64, call: CallId, worker: &str, order: Order) {
        let (_, incarnation) = worker.rsplit_once('-').expect("names of workers have a number");
        let incarnation = incarnation.parse().expect("a number");
        if self.rng.random_bool(0.04) {
            self.counts.late_orders += 1;
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.schedule(
                late,
                ScheduledEvent::Order(agent, process, None, incarnation, order),
            );
            let lost = lost_reply();
            self.schedule(CALL_TIMEOUT, ScheduledEvent::Reply(agent, process, call, lost));
            return;
        }
        let wait = match order {
            Order::RenewLease { wait, .. } => wait.mul_f64(self.rng.random_range(0.0..1.0)),
            _ => Duration::ZERO,
        };
        let delay = Duration::from_millis(self.rng.random_range(1..4)) + wait;
        let event = ScheduledEvent::Order(agent, process, Some(call), incarnation, order);
        self.schedule(delay, event);
    }

    fn deliver_order(
        &mut self,
        agent: usize,
        process: u64,
        call: Option<CallId>,
        incarnation: u64,
        order: &Order,
    ) {
        if self.now < self.down_until[agent] {
            if let Some(call) = call {
                let reply = Reply {
                    outcome: CallOutcome::Unreachable,
                    ..lost_reply()
                };
                let delay = Duration::from_millis(1);
                self.schedule(delay, ScheduledEvent::Reply(agent, process, call, reply));
            }
            return;
        }
        let is_long = self.rng.random_bool(0.1);
        let work = if is_long {
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
                outcome: CallOutcome::OtherIncarnation,
            }
        };
        if let (Order::Start { task, .. }, CallOutcome::Done) = (order, &reply.outcome) {
            self.counts.starts += 1;
            self.started_jobs.insert(task.job);
            self.on_start(agent, incarnation, *task);
        }
        if let CallOutcome::LeaseRenewed(list) = &reply.outcome {
            let completed = list
                .ended
                .iter()
                .filter(|listed| listed.outcome == RunOutcome::Completed);
            self.completed_tasks
                .extend(completed.map(|listed| listed.run.task));
        }
        if let Some(call) = call {
            let lost = self.rng.random_bool(0.02);
            let reply = if lost { lost_reply() } else { reply };
            let delay = if lost {
                CALL_TIMEOUT
            } else {
                Duration::from_millis(1)
            };
            self.schedule(delay, ScheduledEvent::Reply(agent, process, call, reply));
        }
    }

    /// Returns whether a task crashes the workers that start it.
    fn is_crashing(&self, task: TaskKey) -> bool {
        self.crashing_jobs && task.job % CRASHING_JOB_INTERVAL == 7 && task.index == 0
    }

    /// Checks that a task which has crashed three workers isn't started three times more, and schedules the next crash.
    fn on_start(&mut self, agent: usize, incarnation: u64, task: TaskKey) {
        if !self.is_crashing(task) {
            return;
        }
        let (starts, crashes, late_starts) = self.crashing_tasks.entry(task).or_default();
        *starts += 1;
        self.counts.most_starts = self.counts.most_starts.max(*starts);
        if *crashes >= 3 {
            *late_starts += 1;
        }
        if *late_starts >= 3 {
            self.violations.push(format!(
                "{task:?} started {late_starts} times after {crashes} workers had crashed under it"
            ));
        }
        let delay = Duration::from_millis(self.rng.random_range(1..30));
        self.schedule(delay, ScheduledEvent::Crash(agent, incarnation));
    }

    fn crash_worker(&mut self, agent: usize, incarnation: u64) {
        if self.workers[agent].incarnation != incarnation {
            return;
        }
        self.counts.crashes += 1;
        let running: Vec<TaskKey> = self.workers[agent].running().collect();
        for task in running {
            if self.is_crashing(task) {
                self.crashing_tasks.entry(task).or_default().1 += 1;
            }
        }
        let away = Duration::from_millis(self.rng.random_range(1_000..4_000));
        self.down_until[agent] = self.now + away;
        self.workers[agent] = LeasedWorker::new(self.now + away, incarnation + 1, 0.99);
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
        job.submissions += 1;
        job.pending = Some((entry, ticket));
        let request = Request {
            host: "h".to_owned(),
            queue: "/q/".to_owned(),
            job: Some(id),
            timeout: Some(CALLER_TIMEOUT),
            kind: RequestKind::Submit(submission(tasks)),
        };
        self.handle_entry_event(entry, EntryEvent::Request { ticket, request });
        if self.rng.random_bool(0.1) && self.jobs[&id].pending.is_some() {
            // The caller's connection is reset, which the entry detects.
            self.jobs.entry(id).or_default().pending = None;
            self.jobs.entry(id).or_default().refused_only = false;
            self.handle_entry_event(entry, EntryEvent::CallerDisconnected { ticket });
            self.schedule_resubmission(id);
        }
    }

    fn schedule_resubmission(&mut self, id: JobId) {
        let crashing = self.crashing_jobs && id % CRASHING_JOB_INTERVAL == 7;
        let limit = if crashing { 10 } else { 3 };
        if self.jobs[&id].submissions < limit {
            self.schedule(RESUBMIT_DELAY, ScheduledEvent::Submit(id));
        }
    }

    fn on_answer(&mut self, entry: usize, ticket: u64, answer: Answer) {
        let found = self
            .jobs
            .iter()
            .find(|(_, job)| job.pending == Some((entry, ticket)));
        let Some(id) = found.map(|(&id, _)| id) else {
            self.violations.push(format!(
                "ticket {ticket} was answered twice or by an entry that did not receive it"
            ));
            return;
        };
        let started = self.started_jobs.contains(&id);
        let tasks = self.jobs[&id].tasks;
        let job = self.jobs.entry(id).or_default();
        job.pending = None;
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
                    self.violations.push(format!(
                        "job {id} was reported as completed before all its tasks were"
                    ));
                }
            }
            Answer::Refused { .. } => {
                self.counts.refused += 1;
                if job.refused_only && started {
                    self.violations.push(format!(
                        "job {id} was refused on each submission although one of its tasks started"
                    ));
                }
            }
            Answer::TimedOut => {
                self.counts.timed_out += 1;
                job.refused_only = false;
                self.schedule_resubmission(id);
            }
            Answer::State(JobState::Failed) => {
                job.refused_only = false;
                if self.crashing_jobs && id % CRASHING_JOB_INTERVAL == 7 {
                    self.counts.crashing_failed += 1;
                } else {
                    self.counts.others_failed += 1;
                }
            }
            other => self
                .violations
                .push(format!("job {id} received an unexpected answer: {other:?}")),
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
        self.handle_entry_event(entry, up);
        let up = AgentEvent::EntryUp {
            link,
            entry: self.entry_processes[entry],
        };
        self.handle_agent_event(agent, up);
    }

    fn disconnect(&mut self, link: LinkNumber) {
        let Some(ended) = self.links.remove(&link) else {
            return;
        };
        self.handle_entry_event(ended.entry, EntryEvent::AgentDown { link });
        self.handle_agent_event(ended.agent, AgentEvent::EntryDown { link });
        let delay = Duration::from_millis(self.rng.random_range(20..400));
        self.schedule(delay, ScheduledEvent::Connect(ended.entry, ended.agent));
    }

    fn inject_fault(&mut self) {
        self.counts.faults += 1;
        let links: Vec<LinkNumber> = self.links.keys().copied().collect();
        let mut links = links;
        links.sort_unstable();
        match self.rng.random_range(0..6) {
            0 if !links.is_empty() => {
                let link = links[self.rng.random_range(0..links.len())];
                self.disconnect(link);
            }
            // A partition is only detected by missing messages, up to seconds later.
            1 | 2 if !links.is_empty() => {
                let link = links[self.rng.random_range(0..links.len())];
                self.links.entry(link).and_modify(|link| link.cut = true);
                let detection_delay = Duration::from_millis(self.rng.random_range(300..3_000));
                self.schedule(detection_delay, ScheduledEvent::LinkDown(link));
            }
            3 => self.kill_agent(),
            4 => self.kill_entry(),
            _ => {
                let agent = self.rng.random_range(0..AGENTS);
                let worker = &self.workers[agent];
                let restarted = LeasedWorker::new(self.now, worker.incarnation + 1, 0.99);
                self.workers[agent] = restarted;
            }
        }
        let next = Duration::from_millis(self.rng.random_range(100..1_200));
        self.schedule(next, ScheduledEvent::Fault);
    }

    fn kill_agent(&mut self) {
        let agent = self.rng.random_range(0..AGENTS);
        let process = self.rng.random();
        self.agents[agent] = (process, WorkerCore::new(self.agent_config(), self.now));
        self.disconnect_matching(|link| link.agent == agent);
        for entry in 0..ENTRIES {
            self.schedule(Duration::from_millis(50), ScheduledEvent::Connect(entry, agent));
        }
    }

    fn kill_entry(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        self.entry_processes[entry] = self.rng.random();
        let core = self.new_entry();
        self.entries[entry] = core;
        self.disconnect_matching(|link| link.entry == entry);
        for agent in 0..AGENTS {
            self.schedule(Duration::from_millis(50), ScheduledEvent::Connect(entry, agent));
        }
        let mut lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.pending.is_some_and(|(at, _)| at == entry))
            .map(|(&id, _)| id)
            .collect();
        lost.sort_unstable();
        for id in lost {
            let job = self.jobs.entry(id).or_default();
            job.pending = None;
            job.refused_only = false;
            self.schedule_resubmission(id);
        }
    }

    /// Closes the links of a killed process; the other side detects that immediately.
    fn disconnect_matching(&mut self, matches: impl Fn(&Link) -> bool) {
        let mut matching: Vec<LinkNumber> = self
            .links
            .iter()
            .filter(|(_, link)| matches(link))
            .map(|(&number, _)| number)
            .collect();
        matching.sort_unstable();
        for link in matching {
            if let Some(ended) = self.links.remove(&link) {
                self.handle_entry_event(ended.entry, EntryEvent::AgentDown { link });
                self.handle_agent_event(ended.agent, AgentEvent::EntryDown { link });
            }
        }
    }

    /// Checks that no task runs on two workers.
    fn check_concurrent_runs(&mut self) {
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
        for (at, worker) in self.workers.iter().enumerate() {
            for task in worker.running() {
                if self.workers[at + 1..].iter().any(|other| other.is_running(task)) {
                    self.violations
                        .push(format!("{task:?} runs on two workers at the same time"));
                }
            }
        }
    }
}

fn lost_reply() -> Reply {
    Reply {
        clock: None,
        outcome: CallOutcome::NoAnswer,
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

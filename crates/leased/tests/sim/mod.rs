//! Simulation of the entry and agent cores with a model of workers, callers and the network.
//!
//! Time is virtual. Replies of workers are lost and orders are executed seconds late, links are partitioned and reset,
//! entries, agents and workers are killed, and callers disconnect and submit their jobs again to a random entry.

mod scenario;

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
    EntryToWorker, JobId, LinkNumber, Resources, RunOutcome, TaskKey, WorkerDescription, WorkerName,
    WorkerToEntry,
};
use chestnutfork_worker::{
    Action as AgentAction, Announcement, CallId, CallOutcome, Event as AgentEvent, Order, Reply,
    WorkerConfig, WorkerCore,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use scenario::{Scenario, Scenarios};

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

/// Event at a point of virtual time.
#[derive(Debug)]
enum ScheduledEvent {
    EntryTick(usize),
    AgentTick(usize),
    /// Announcement of the worker, by its incarnation.
    Heartbeat(usize, u64),
    ToAgent(LinkNumber, EntryToWorker),
    ToEntry(LinkNumber, WorkerToEntry),
    Order(usize, u64, Option<CallId>, WorkerName, Order),
    RestartWorker(usize),
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
    pub name_reuses: u64,
    pub orders_before_announcement: u64,
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
        self.name_reuses += other.name_reuses;
        self.orders_before_announcement += other.orders_before_announcement;
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
    /// Names of the workers, which may be reused by later incarnations.
    worker_names: Vec<WorkerName>,
    /// Whether each worker has crashed and has not started again.
    worker_down: Vec<bool>,
    /// Whether each worker's incarnation has announced itself.
    worker_announced: Vec<bool>,
    scenarios: Scenarios,
    links: HashMap<LinkNumber, Link>,
    jobs: HashMap<JobId, Job>,
    completed_tasks: HashSet<TaskKey>,
    started_jobs: HashSet<JobId>,
    pub counts: Counts,
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
    pub fn run(seed: u64, defect: Option<InjectedDefect>, scenarios: Scenarios) -> Self {
        let mut sim = Self::new(seed, defect, scenarios);
        while let Some(((at, _), event)) = sim.queue.pop_first() {
            if at > sim.end || !sim.violations.is_empty() {
                break;
            }
            sim.now = at;
            sim.process(event);
            sim.check_concurrent_runs();
        }
        sim
    }

    fn new(seed: u64, defect: Option<InjectedDefect>, scenarios: Scenarios) -> Self {
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
            worker_names: Vec::new(),
            worker_down: vec![false; AGENTS],
            worker_announced: vec![false; AGENTS],
            scenarios,
            links: HashMap::new(),
            jobs: HashMap::new(),
            completed_tasks: HashSet::new(),
            started_jobs: HashSet::new(),
            counts: Counts::default(),
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
            sim.worker_names.push(format!("w{agent}-1"));
            let core = WorkerCore::new(sim.agent_config(), now);
            let process = sim.rng.random();
            sim.agents.push((process, core));
            sim.schedule(Duration::ZERO, ScheduledEvent::Heartbeat(agent, 1));
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
            ScheduledEvent::Heartbeat(agent, incarnation) => {
                if self.workers[agent].incarnation == incarnation && !self.worker_down[agent] {
                    self.announce_worker(agent);
                }
            }
            ScheduledEvent::RestartWorker(agent) => self.restart_worker(agent, true),
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
            ScheduledEvent::Order(agent, process, call, worker, order) => {
                self.deliver_order(agent, process, call, &worker, &order);
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
        }
    }

    fn schedule_entry_tick(&mut self, entry: usize) {
        let at = self.entries[entry]
            .next_wakeup()
            .max(self.now + Duration::from_millis(1));
        self.schedule(at - self.now, ScheduledEvent::EntryTick(entry));
    }

    fn announce_worker(&mut self, agent: usize) {
        self.worker_announced[agent] = true;
        let worker = &self.workers[agent];
        let announcement = Announcement {
            description: WorkerDescription {
                worker: self.worker_names[agent].clone(),
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
        let incarnation = self.workers[agent].incarnation;
        let next = ScheduledEvent::Heartbeat(agent, incarnation);
        self.schedule(Duration::from_secs(1), next);
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
                } => self.send_order(agent, process, call, worker, order),
                AgentAction::Notice(_) => {}
            }
        }
        let at = self.agents[agent]
            .1
            .next_wakeup()
            .max(self.now + Duration::from_millis(1));
        self.schedule(at - self.now, ScheduledEvent::AgentTick(agent));
    }

    fn send_order(&mut self, agent: usize, process: u64, call: CallId, worker: WorkerName, order: Order) {
        if self.scenarios.contains(Scenario::Standard) && self.rng.random_bool(0.04) {
            self.counts.late_orders += 1;
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.schedule(late, ScheduledEvent::Order(agent, process, None, worker, order));
            let lost = lost_reply();
            self.schedule(CALL_TIMEOUT, ScheduledEvent::Reply(agent, process, call, lost));
            return;
        }
        let wait = match order {
            Order::RenewLease { wait, .. } => wait.mul_f64(self.rng.random_range(0.0..1.0)),
            _ => Duration::ZERO,
        };
        let delay = Duration::from_millis(self.rng.random_range(1..4)) + wait;
        let event = ScheduledEvent::Order(agent, process, Some(call), worker, order);
        self.schedule(delay, event);
    }

    fn deliver_order(&mut self, agent: usize, process: u64, call: Option<CallId>, name: &str, order: &Order) {
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
        let reply = if self.worker_down[agent] {
            Reply {
                clock: None,
                started_at: None,
                outcome: CallOutcome::Unreachable,
            }
        } else if self.worker_names[agent] == name {
            let reply = worker.carry_out(self.now, order, work, end);
            // Only lists of runs state the incarnation.
            let lists = matches!(reply.outcome, CallOutcome::LeaseRenewed(_));
            Reply {
                started_at: lists.then_some(Duration::from_secs(worker.incarnation)),
                ..reply
            }
        } else {
            Reply {
                clock: None,
                started_at: None,
                outcome: CallOutcome::OtherIncarnation,
            }
        };
        if let (Order::Start { task, .. }, CallOutcome::Done) = (order, &reply.outcome) {
            self.counts.starts += 1;
            self.counts.orders_before_announcement += u64::from(!self.worker_announced[agent]);
            self.started_jobs.insert(task.job);
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
        if self.jobs[&id].submissions < 3 {
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
            Answer::State(JobState::Failed) => job.refused_only = false,
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
        let reuse = self.scenarios.contains(Scenario::NameReuse);
        let kind = if self.scenarios.contains(Scenario::Standard) {
            self.rng.random_range(0..if reuse { 7 } else { 6 })
        } else {
            6
        };
        match kind {
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
            5 => {
                let agent = self.rng.random_range(0..AGENTS);
                if !self.worker_down[agent] {
                    self.restart_worker(agent, false);
                }
            }
            _ if reuse => self.crash_worker(),
            _ => {}
        }
        let next = Duration::from_millis(self.rng.random_range(100..1_200));
        self.schedule(next, ScheduledEvent::Fault);
    }

    /// Crashes a worker, which starts again under its name at once or within 3 s.
    fn crash_worker(&mut self) {
        let agent = self.rng.random_range(0..AGENTS);
        if self.worker_down[agent] {
            return;
        }
        self.counts.name_reuses += 1;
        if self.rng.random_bool(0.5) {
            self.restart_worker(agent, true);
            return;
        }
        self.worker_down[agent] = true;
        let incarnation = self.workers[agent].incarnation;
        self.workers[agent] = LeasedWorker::new(self.now, incarnation, 1.0);
        let down = Duration::from_millis(self.rng.random_range(0..3_000));
        self.schedule(down, ScheduledEvent::RestartWorker(agent));
    }

    /// Starts an incarnation that knows nothing of the former one.
    fn restart_worker(&mut self, agent: usize, keep_name: bool) {
        self.worker_down[agent] = false;
        self.worker_announced[agent] = false;
        let incarnation = self.workers[agent].incarnation + 1;
        let rate = self.rng.random_range(0.98..=1.0);
        self.workers[agent] = LeasedWorker::new(self.now, incarnation, rate);
        if !keep_name {
            self.worker_names[agent] = format!("w{agent}-{incarnation}");
        }
        let first = Duration::from_millis(self.rng.random_range(0..1_500));
        self.schedule(first, ScheduledEvent::Heartbeat(agent, incarnation));
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
        started_at: None,
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

//! Simulation of the entry and agent cores with a model of workers, callers and the network.
//!
//! Time is virtual. [`Scenario`] lists the classes of faults that a run injects; callers disconnect and submit their jobs
//! again in each run.

mod agents;
mod callers;
mod checks;
mod counts;
mod crashing;
mod entries;
mod faults;
mod links;
mod orders;
mod scenario;
mod trace;
mod workers;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use chestnutfork_broker::{Event as EntryEvent, Ticket};
use chestnutfork_types::{EntryToWorker, JobId, LinkNumber, ProcessId, TaskKey, WorkerName, WorkerToEntry};
use chestnutfork_worker::{Announcement, CallId, Event as AgentEvent, Reply};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use agents::{AgentHost, ConnectionDelay};
use callers::Job;
use checks::Attempts;
pub use checks::{Rule, Violation};
pub use counts::Counts;
use crashing::CrashingTask;
use entries::{Channel, EntryHost};
use links::Link;
use orders::SentOrder;
pub use scenario::{Scenario, Scenarios};
pub use trace::Trace;
use workers::WorkerHost;

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
/// Delay of messages between entries and agents. It is constant to preserve their order.
const LINK_DELAY: Duration = Duration::from_millis(2);

/// Event at a point of virtual time.
#[derive(Debug)]
enum ScheduledEvent {
    EntryTick(usize),
    EntryBacklog(usize, ProcessId),
    ResumeEntry(usize, ProcessId),
    StopLaggingEntry(usize, ProcessId),
    AgentTick(usize),
    KillAgent(usize, ConnectionDelay),
    CutAgent(usize),
    ToAgent(LinkNumber, EntryToWorker),
    ToEntry(LinkNumber, WorkerToEntry),
    LinkDown(LinkNumber),
    Connect {
        entry: usize,
        entry_process: ProcessId,
        agent: usize,
        agent_process: ProcessId,
    },
    Order(SentOrder),
    Reply(usize, ProcessId, CallId, Reply),
    /// Announcement of the worker of an incarnation.
    Announce {
        agent: usize,
        incarnation: u64,
        repeat: bool,
    },
    DeliverAnnouncement(usize, u64, Announcement),
    /// Withdrawal of the worker of an incarnation, which arrives late if the flag is set.
    Withdraw(usize, u64, bool),
    DeliverWithdrawal(usize, u64, WorkerName),
    EndWorker(usize, u64),
    StartWorker {
        agent: usize,
        keep_name: bool,
        announcement_delay: Duration,
    },
    Submit(JobId),
    CallerReset(JobId, Ticket),
    CallerLost(usize, ProcessId, Ticket),
    CrashWorker(usize, u64),
    Fault,
}

/// What a run injects and records.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Classes of faults.
    pub scenarios: Scenarios,
    /// Defect that is injected to verify that the checks detect it.
    pub defect: Option<InjectedDefect>,
    /// Whether the run records what happens.
    pub trace: bool,
}

/// Deliberate misconfiguration that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Entries treat runs as expired 100 ms after the last heartbeat of their agent.
    ShortRunExpiry,
    /// Agents keep runs of entries whose lease should have expired.
    LongEntryLease,
}

/// State of a randomised run.
pub struct Sim {
    now: Instant,
    end: Instant,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
    sequence: u64,
    scenarios: Scenarios,
    defect: Option<InjectedDefect>,
    entries: Vec<EntryHost>,
    agents: Vec<AgentHost>,
    workers: Vec<WorkerHost>,
    links: HashMap<LinkNumber, Link>,
    jobs: HashMap<JobId, Job>,
    /// Tickets of callers whose connection was lost; their answers reach nobody.
    lost_tickets: HashSet<Ticket>,
    completed_tasks: HashSet<TaskKey>,
    started_jobs: HashSet<JobId>,
    attempts: Attempts,
    crashing_tasks: HashMap<TaskKey, CrashingTask>,
    pub counts: Counts,
    pub violations: Vec<Violation>,
    pub trace: Trace,
}

impl Sim {
    /// Runs a seed until its end or until a task has two runs or a caller a wrong answer.
    pub fn run(seed: u64, options: RunOptions) -> Self {
        let mut sim = Self::new(seed, options);
        while let Some(((at, _), event)) = sim.queue.pop_first() {
            if at > sim.end || sim.is_over() {
                break;
            }
            sim.now = at;
            sim.process(event);
            sim.check_runs();
        }
        sim
    }

    fn new(seed: u64, options: RunOptions) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            end: now + Duration::from_secs(20),
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            scenarios: options.scenarios,
            defect: options.defect,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            links: HashMap::new(),
            jobs: HashMap::new(),
            lost_tickets: HashSet::new(),
            completed_tasks: HashSet::new(),
            started_jobs: HashSet::new(),
            attempts: Attempts::default(),
            crashing_tasks: HashMap::new(),
            counts: Counts::default(),
            violations: Vec::new(),
            trace: Trace::new(now, options.trace),
        };
        for _ in 0..ENTRIES {
            sim.add_entry();
        }
        for _ in 0..AGENTS {
            sim.add_worker();
            sim.add_agent();
        }
        for number in 0..200_u32 {
            let at = Duration::from_millis(200 + 90 * u64::from(number));
            sim.schedule(at, ScheduledEvent::Submit(JobId::from(number) + 1));
        }
        sim.schedule(Duration::from_millis(500), ScheduledEvent::Fault);
        sim
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::EntryTick(entry) => self.tick_entry(entry),
            ScheduledEvent::EntryBacklog(entry, process) => self.process_backlog(entry, process),
            ScheduledEvent::ResumeEntry(entry, process) => self.resume_entry(entry, process),
            ScheduledEvent::StopLaggingEntry(entry, process) => self.stop_lagging_entry(entry, process),
            ScheduledEvent::AgentTick(agent) => self.tick_agent(agent),
            ScheduledEvent::KillAgent(agent, connection) => self.kill_agent(agent, connection),
            ScheduledEvent::CutAgent(agent) => self.cut_agent(agent),
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
                    self.deliver_to_entry(
                        entry,
                        Channel::Link(link),
                        EntryEvent::FromAgent { link, message },
                    );
                }
            }
            ScheduledEvent::LinkDown(link) => self.disconnect(link),
            ScheduledEvent::Connect {
                entry,
                entry_process,
                agent,
                agent_process,
            } => self.connect(entry, entry_process, agent, agent_process),
            ScheduledEvent::Order(sent) => self.deliver_order(sent),
            ScheduledEvent::CrashWorker(agent, incarnation) => self.crash_worker(agent, incarnation),
            ScheduledEvent::Reply(agent, process, call, reply) => {
                if self.agents[agent].process == process {
                    self.handle_agent_event(agent, AgentEvent::Replied { call, reply });
                }
            }
            ScheduledEvent::Announce {
                agent,
                incarnation,
                repeat,
            } => self.announce_worker(agent, incarnation, repeat),
            ScheduledEvent::DeliverAnnouncement(agent, incarnation, announcement) => {
                self.deliver_announcement(agent, incarnation, announcement);
            }
            ScheduledEvent::Withdraw(agent, incarnation, late) => self.withdraw(agent, incarnation, late),
            ScheduledEvent::DeliverWithdrawal(agent, incarnation, name) => {
                self.deliver_withdrawal(agent, incarnation, name);
            }
            ScheduledEvent::EndWorker(agent, incarnation) => self.end_withdrawn_worker(agent, incarnation),
            ScheduledEvent::StartWorker {
                agent,
                keep_name,
                announcement_delay,
            } => self.start_worker(agent, keep_name, announcement_delay),
            ScheduledEvent::Submit(job) => self.submit(job),
            ScheduledEvent::CallerReset(job, ticket) => self.reset_caller(job, ticket),
            ScheduledEvent::CallerLost(entry, process, ticket) => {
                self.detect_lost_caller(entry, process, ticket);
            }
            ScheduledEvent::Fault => self.inject_fault(),
        }
    }
}

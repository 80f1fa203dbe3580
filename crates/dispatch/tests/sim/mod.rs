//! Randomised simulation of the real entry cores (dispatch with register, routing, limits) and agent cores (slots).
//!
//! Control, targets, callers and the network are fakes. A run has a period with faults and a recovery period, after
//! which no work may be left in progress. The checks cover starts at targets, answers and refusals to callers, and the
//! invariants of each core.

mod callers;
mod faults;
mod net;
mod nodes;
mod stats;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use chestnutfork_register::View;
use chestnutfork_types::{Answer, AttemptOutcome, CreditId, JobId, ProcessId, TaskIndex};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use callers::{Call, CallerJob};
use net::{Link, LinkKey, Message};
use nodes::{AgentNode, EntryNode};
pub use stats::Stats;

/// Length of the first part of a run, in which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(20);
/// Length of the second part, without faults; longer than any deadline with its grace period.
const RECOVERY_PERIOD: Duration = Duration::from_secs(40);
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// Number of events at one instant above which a run is considered to be in a loop.
const MAX_EVENTS_PER_INSTANT: u64 = 5000;

/// Protocol violation that a run introduces on purpose, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// No violation.
    None,
    /// Agents answer `Resolve` with `NeverStarted` for tasks that run, so that entries dispatch them again.
    FalseNeverStarted,
    /// Replicas grant claims of jobs that are already claimed, so that a second owner dispatches them again.
    GrantKnownJob,
    /// Answers to joining entries have the statuses of their tasks in reverse order.
    CrossedAnswers,
}

/// Whether a run injects faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMode {
    /// Crashes, partitions, stalls, failing targets, cancellations.
    Injected,
    /// No faults: every job must be completed and no dispatch refused.
    None,
}

/// Step of a run, scheduled at a virtual time.
enum Step {
    Deliver {
        session: u64,
        from: ProcessId,
        to: ProcessId,
        message: Message,
    },
    LinkUp {
        session: u64,
        at: ProcessId,
        other: ProcessId,
    },
    LinkDown {
        session: u64,
        at: ProcessId,
        other: ProcessId,
    },
    Dial {
        key: LinkKey,
    },
    Wake {
        process: ProcessId,
    },
    TaskEnd {
        agent: ProcessId,
        credit: CreditId,
        outcome: AttemptOutcome,
        run_time: Duration,
    },
    Announce {
        machine: usize,
    },
    Submit {
        job: usize,
        attempts: u32,
    },
    Cancel {
        job: usize,
    },
    Abandon {
        call: u64,
    },
    ReplyDeadline {
        call: u64,
    },
    Control,
    Renew {
        process: ProcessId,
    },
    Install {
        process: ProcessId,
        view: View,
    },
    EntryLeaseEnded {
        agent: ProcessId,
        entry: ProcessId,
    },
    Fault,
}

/// State of one run.
pub struct Sim {
    rng: ChaCha8Rng,
    mutation: Mutation,
    fault_mode: FaultMode,
    base: Instant,
    now: Duration,
    steps: BTreeMap<(Duration, u64), Step>,
    sequence: u64,
    entries: BTreeMap<ProcessId, EntryNode>,
    agents: BTreeMap<ProcessId, AgentNode>,
    /// All agent processes, including those that have ended.
    agent_ids: BTreeSet<ProcessId>,
    /// Whether entries crash rarely, so that the register is seldom lost and most jobs are served.
    few_crashes: bool,
    entry_machines: usize,
    agent_machines: usize,
    /// Clock offset of each entry machine in milliseconds; the last one is that of control.
    clock_skew_ms: Vec<i64>,
    links: BTreeMap<LinkKey, Link>,
    /// Machines that cannot reach any other; the machines of agents are numbered after those of entries.
    partitioned: BTreeSet<usize>,
    /// Entry machines that cannot reach control but reach all others.
    control_unreachable: BTreeSet<usize>,
    /// End of the latest stall by process. A stalled process handles nothing until the stall ends, and then everything
    /// that has become due.
    stalls: BTreeMap<ProcessId, Duration>,
    /// Machines of targets that are down.
    targets_down: BTreeSet<usize>,
    view: View,
    leases: BTreeMap<ProcessId, Duration>,
    /// Entries whose lease has expired.
    expired_entries: BTreeSet<ProcessId>,
    synced: BTreeSet<(ProcessId, u64)>,
    jobs: Vec<CallerJob>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Number of starts at targets by task, and the time of the first one.
    starts: HashMap<(JobId, TaskIndex), (u32, Duration)>,
    answers: HashMap<JobId, Answer>,
    stats: Stats,
}

/// Runs one seed and returns its counters, or the first violated invariant.
pub fn run(seed: u64, mutation: Mutation, fault_mode: FaultMode) -> Result<Stats, String> {
    let mut sim = Sim::new(seed, mutation, fault_mode);
    match sim.run() {
        Ok(()) => Ok(sim.stats),
        Err(message) => Err(format!("seed {seed} at {:?}: {message}", sim.now)),
    }
}

impl Sim {
    fn new(seed: u64, mutation: Mutation, fault_mode: FaultMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let few_crashes = rng.random();
        let entry_machines = rng.random_range(if few_crashes { 3..5 } else { 1..5 });
        // Without faults, the capacity must be enough to complete the entire load before the deadlines.
        let min_machines = if fault_mode == FaultMode::None { 3 } else { 1 };
        let agent_machines = rng.random_range(min_machines..5);
        let clock_skew_ms = (0..=entry_machines)
            .map(|_| rng.random_range(-1000..1000))
            .collect();
        let mut sim = Self {
            rng,
            mutation,
            fault_mode,
            base: Instant::now(),
            now: Duration::ZERO,
            steps: BTreeMap::new(),
            sequence: 0,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            agent_ids: BTreeSet::new(),
            few_crashes,
            entry_machines,
            agent_machines,
            clock_skew_ms,
            links: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            control_unreachable: BTreeSet::new(),
            stalls: BTreeMap::new(),
            targets_down: BTreeSet::new(),
            view: View::initial(1, Vec::new()),
            leases: BTreeMap::new(),
            expired_entries: BTreeSet::new(),
            synced: BTreeSet::new(),
            jobs: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            starts: HashMap::new(),
            answers: HashMap::new(),
            stats: Stats::default(),
        };
        let members: Vec<ProcessId> = (0..entry_machines)
            .map(|machine| sim.start_entry(machine))
            .collect();
        sim.view = View::initial(1, members);
        for machine in 0..agent_machines {
            sim.start_agent(machine);
            sim.schedule(Duration::ZERO, Step::Announce { machine });
        }
        sim.schedule(Duration::ZERO, Step::Control);
        if fault_mode == FaultMode::Injected {
            // Links and credits must be in place before the first fault.
            sim.schedule(Duration::from_millis(1500), Step::Fault);
        }
        sim.plan_jobs();
        sim
    }

    fn run(&mut self) -> Result<(), String> {
        let mut events_at_instant = 0;
        while let Some(((at, _), step)) = self.steps.pop_first() {
            if at > FAULT_PERIOD + RECOVERY_PERIOD {
                break;
            }
            events_at_instant = if at == self.now { events_at_instant + 1 } else { 0 };
            if events_at_instant > MAX_EVENTS_PER_INSTANT {
                return Err("virtual time does not advance: too many events at one instant".into());
            }
            self.now = at;
            self.stats.events += 1;
            self.step(step)?;
        }
        self.check_end()
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        if let Some(delay) = self.remaining_stall(&step) {
            self.schedule(delay, step);
            return Ok(());
        }
        match step {
            Step::Deliver {
                session,
                from,
                to,
                message,
            } => self.deliver(session, from, to, message)?,
            Step::LinkUp { session, at, other } => self.link_up(session, at, other)?,
            Step::LinkDown { session, at, other } => self.link_down(session, at, other)?,
            Step::Dial { key } => self.dial(key),
            Step::Wake { process } => self.wake(process)?,
            Step::TaskEnd {
                agent,
                credit,
                outcome,
                run_time,
            } => self.task_end(agent, credit, outcome, run_time)?,
            Step::Announce { machine } => self.announce(machine)?,
            Step::Submit { job, attempts } => self.submit(job, attempts)?,
            Step::Cancel { job } => self.cancel(job)?,
            Step::Abandon { call } => self.abandon(call)?,
            Step::ReplyDeadline { call } => self.check_reply_deadline(call)?,
            Step::Control => self.control(),
            Step::Renew { process } => self.renew(process),
            Step::Install { process, view } => self.install(process, view)?,
            Step::EntryLeaseEnded { agent, entry } => self.entry_lease_ended(agent, entry)?,
            Step::Fault => self.inject_fault()?,
        }
        Ok(())
    }

    fn schedule(&mut self, delay: Duration, step: Step) {
        self.sequence += 1;
        self.steps.insert((self.now + delay, self.sequence), step);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn random_millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn is_fault_free(&self) -> bool {
        self.now >= FAULT_PERIOD || self.fault_mode == FaultMode::None
    }

    fn wall(&self, machine: usize) -> Duration {
        let at = EPOCH + self.now;
        let skew = self.clock_skew_ms[machine];
        let shift = Duration::from_millis(skew.unsigned_abs());
        if skew < 0 {
            at.saturating_sub(shift)
        } else {
            at + shift
        }
    }

    /// Checks that no work is left in progress and that every credit and task is accounted for.
    fn check_end(&self) -> Result<(), String> {
        if let Some(call) = self
            .calls
            .values()
            .find(|call| call.reply.is_none() && !call.closed)
        {
            return Err(format!(
                "a caller of job {:x} has no reply at the end of the run",
                call.id
            ));
        }
        for (process, node) in &self.entries {
            let status = node.core.status();
            if status.jobs > 0 || status.waiting > 0 {
                return Err(format!(
                    "entry {process} has jobs at the end of the run: {status:?}"
                ));
            }
            let busy = status
                .services
                .iter()
                .any(|service| service.queued + service.in_flight > 0);
            let attempts_left = status.targets.iter().any(|target| target.in_flight > 0);
            if busy || attempts_left {
                return Err(format!(
                    "entry {process} has tasks at the end of the run: {status:?}"
                ));
            }
            if !self.view.settled || !self.view.members.contains(process) {
                return Err(format!(
                    "entry {process} is not a member of a settled view at the end of the run"
                ));
            }
        }
        self.check_agents()?;
        if self.fault_mode == FaultMode::None && self.stats.refused_dispatches > 0 {
            return Err("a dispatch was refused although no fault was injected".into());
        }
        self.check_not_run()
    }

    fn check_agents(&self) -> Result<(), String> {
        let mut issued = 0;
        for (process, node) in &self.agents {
            if node.core.running_tasks() > 0 {
                return Err(format!("agent {process} has running tasks at the end of the run"));
            }
            if node.core.idle_credits() != node.slots as usize {
                return Err(format!(
                    "agent {process} has not issued all of its credits at the end of the run"
                ));
            }
            issued += node.core.idle_credits();
        }
        let targets = self.entries.values().flat_map(|node| node.core.status().targets);
        let entry_credits: u32 = targets.map(|target| target.credits).sum();
        if entry_credits as usize == issued {
            Ok(())
        } else {
            Err(format!(
                "entries have {entry_credits} unused credits but agents have issued {issued}"
            ))
        }
    }
}

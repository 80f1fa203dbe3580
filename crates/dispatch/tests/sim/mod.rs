//! Randomised run over the real decision code: entries (dispatch with register, routing, limits) and agents (slots).
//!
//! Control, targets, callers and the network are fakes. A run has a part with faults and a calm part, after which
//! nothing may be left under way. Everything is checked from outside: starts at targets, answers and refusals to callers.

mod callers;
mod faults;
mod figures;
mod net;
mod nodes;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use chestnutfork_register::View;
use chestnutfork_types::{Answer, AttemptOutcome, CreditId, JobId, ProcessId, TaskIndex};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use callers::{Call, CallerJob};
pub use figures::Figures;
use net::{Body, Link, LinkKey};
use nodes::{AgentNode, EntryNode};

/// Length of the part of a run in which faults happen.
const FAULTS: Duration = Duration::from_secs(20);
/// Length of the calm part, longer than any deadline with its grace.
const CALM: Duration = Duration::from_secs(40);
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// Events at one instant that count as a loop.
const MAX_EVENTS_AT_ONCE: u64 = 5000;

/// Rule that a run breaks on purpose, to show that its checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Nothing,
    /// Agents answer `Resolve` with `NeverStarted` for tasks that run, so that entries dispatch again without proof.
    FalseProof,
    /// Replicas grant claims of known jobs, so that a new owner dispatches again without proof.
    GrantKnown,
    /// Answers are handed to the wrong joined caller.
    CrossedAnswers,
}

/// Faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weather {
    /// Crashes, partitions, stalls, failing targets, cancellations.
    Faults,
    /// Nothing fails; every job is to be completed and no dispatch refused.
    Calm,
}

/// Step of a run at its time.
enum Step {
    Deliver {
        session: u64,
        from: ProcessId,
        to: ProcessId,
        body: Body,
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
        ran: Duration,
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
    Due {
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
    EntryGone {
        agent: ProcessId,
        entry: ProcessId,
    },
    Fault,
}

/// State of one run.
pub struct Sim {
    rng: ChaCha8Rng,
    broken: Broken,
    weather: Weather,
    base: Instant,
    now: Duration,
    steps: BTreeMap<(Duration, u64), Step>,
    sequence: u64,
    entries: BTreeMap<ProcessId, EntryNode>,
    agents: BTreeMap<ProcessId, AgentNode>,
    /// All agent processes, the ended ones included.
    agent_ids: BTreeSet<ProcessId>,
    /// Whether few entries crash, so that the register is seldom lost and most ids are served.
    gentle: bool,
    entry_machines: usize,
    agent_machines: usize,
    /// Milliseconds by which the clock of each entry machine is off; the last one is control's.
    skew: Vec<i64>,
    links: BTreeMap<LinkKey, Link>,
    /// Machines cut off from all others; agents' machines come after those of entries.
    cut: BTreeSet<usize>,
    /// Entry machines cut off from control only.
    hidden: BTreeSet<usize>,
    /// Ends of the latest stalls, by process; a stalled process handles nothing and then all at once.
    stalls: BTreeMap<ProcessId, Duration>,
    /// Machines of targets that are down.
    targets_down: BTreeSet<usize>,
    view: View,
    leases: BTreeMap<ProcessId, Duration>,
    /// Entries whose lease ended.
    gone: BTreeSet<ProcessId>,
    synced: BTreeSet<(ProcessId, u64)>,
    jobs: Vec<CallerJob>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Starts at targets, with the time of the first one.
    starts: HashMap<(JobId, TaskIndex), (u32, Duration)>,
    answers: HashMap<JobId, Answer>,
    figures: Figures,
}

/// Runs one seed with the given faults and returns its figures, or the first broken invariant.
pub fn run(seed: u64, broken: Broken, weather: Weather) -> Result<Figures, String> {
    let mut sim = Sim::new(seed, broken, weather);
    match sim.run() {
        Ok(()) => Ok(sim.figures),
        Err(message) => Err(format!("seed {seed} at {:?}: {message}", sim.now)),
    }
}

impl Sim {
    fn new(seed: u64, broken: Broken, weather: Weather) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gentle = rng.random();
        let entry_machines = rng.random_range(if gentle { 3..5 } else { 1..5 });
        // A calm run has room for its whole load before the deadlines.
        let fewest = if weather == Weather::Calm { 3 } else { 1 };
        let agent_machines = rng.random_range(fewest..5);
        let skew = (0..=entry_machines)
            .map(|_| rng.random_range(-1000..1000))
            .collect();
        let mut sim = Self {
            rng,
            broken,
            weather,
            base: Instant::now(),
            now: Duration::ZERO,
            steps: BTreeMap::new(),
            sequence: 0,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            agent_ids: BTreeSet::new(),
            gentle,
            entry_machines,
            agent_machines,
            skew,
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            hidden: BTreeSet::new(),
            stalls: BTreeMap::new(),
            targets_down: BTreeSet::new(),
            view: View::initial(1, Vec::new()),
            leases: BTreeMap::new(),
            gone: BTreeSet::new(),
            synced: BTreeSet::new(),
            jobs: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            starts: HashMap::new(),
            answers: HashMap::new(),
            figures: Figures::default(),
        };
        let members: Vec<ProcessId> = (0..entry_machines)
            .map(|machine| sim.start_entry(machine))
            .collect();
        sim.view = View::initial(1, members);
        for machine in 0..agent_machines {
            sim.start_agent(machine);
            sim.push(Duration::ZERO, Step::Announce { machine });
        }
        sim.push(Duration::ZERO, Step::Control);
        if weather == Weather::Faults {
            sim.push(Duration::from_millis(1500), Step::Fault);
        }
        sim.plan_jobs();
        sim
    }

    fn run(&mut self) -> Result<(), String> {
        let mut at_once = 0;
        while let Some(((at, _), step)) = self.steps.pop_first() {
            if at > FAULTS + CALM {
                break;
            }
            at_once = if at == self.now { at_once + 1 } else { 0 };
            if at_once > MAX_EVENTS_AT_ONCE {
                return Err("time stands still".into());
            }
            self.now = at;
            self.figures.events += 1;
            self.step(step)?;
        }
        self.check_end()
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        if let Some(delay) = self.stall_left(&step) {
            self.push(delay, step);
            return Ok(());
        }
        match step {
            Step::Deliver {
                session,
                from,
                to,
                body,
            } => self.deliver(session, from, to, body)?,
            Step::LinkUp { session, at, other } => self.link_up(session, at, other)?,
            Step::LinkDown { session, at, other } => self.link_down(session, at, other)?,
            Step::Dial { key } => self.dial(key),
            Step::Wake { process } => self.wake(process)?,
            Step::TaskEnd {
                agent,
                credit,
                outcome,
                ran,
            } => self.task_end(agent, credit, outcome, ran)?,
            Step::Announce { machine } => self.announce(machine)?,
            Step::Submit { job, attempts } => self.submit(job, attempts)?,
            Step::Cancel { job } => self.cancel(job)?,
            Step::Abandon { call } => self.abandon(call)?,
            Step::Due { call } => self.due(call)?,
            Step::Control => self.control(),
            Step::Renew { process } => self.renew(process),
            Step::Install { process, view } => self.install(process, view)?,
            Step::EntryGone { agent, entry } => self.entry_gone(agent, entry)?,
            Step::Fault => self.fault()?,
        }
        Ok(())
    }

    fn push(&mut self, delay: Duration, step: Step) {
        self.sequence += 1;
        self.steps.insert((self.now + delay, self.sequence), step);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn is_calm(&self) -> bool {
        self.now >= FAULTS || self.weather == Weather::Calm
    }

    fn wall(&self, machine: usize) -> Duration {
        let at = EPOCH + self.now;
        let skew = self.skew[machine];
        let shift = Duration::from_millis(skew.unsigned_abs());
        if skew < 0 {
            at.saturating_sub(shift)
        } else {
            at + shift
        }
    }

    /// Checks that nothing is left under way, and that every credit and task is accounted for.
    fn check_end(&self) -> Result<(), String> {
        if let Some(call) = self
            .calls
            .values()
            .find(|call| call.reply.is_none() && !call.void)
        {
            return Err(format!("a caller of job {:x} has no reply at the end", call.id));
        }
        for (process, node) in &self.entries {
            let status = node.core.status();
            if status.jobs > 0 || status.waiting > 0 {
                return Err(format!("entry {process} has jobs at the end: {status:?}"));
            }
            let busy = status
                .services
                .iter()
                .any(|service| service.queued + service.in_flight > 0);
            let held = status.targets.iter().any(|target| target.in_flight > 0);
            if busy || held {
                return Err(format!("entry {process} has tasks at the end: {status:?}"));
            }
            if !self.view.settled || !self.view.members.contains(process) {
                return Err(format!("entry {process} is not a settled member at the end"));
            }
        }
        self.check_agents()?;
        if self.weather == Weather::Calm && self.figures.refused_dispatches > 0 {
            return Err("a dispatch is refused although nothing fails".into());
        }
        self.check_not_run()
    }

    fn check_agents(&self) -> Result<(), String> {
        let mut idle = 0;
        for (process, node) in &self.agents {
            if node.core.running_tasks() > 0 {
                return Err(format!("agent {process} has running tasks at the end"));
            }
            if node.core.idle_credits() != node.slots as usize {
                return Err(format!(
                    "agent {process} has not issued all of its credits at the end"
                ));
            }
            idle += node.core.idle_credits();
        }
        let targets = self.entries.values().flat_map(|node| node.core.status().targets);
        let held: u32 = targets.map(|target| target.credits).sum();
        if held as usize == idle {
            Ok(())
        } else {
            Err(format!("entries hold {held} credits, agents have issued {idle}"))
        }
    }
}

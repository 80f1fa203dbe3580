//! Randomised run over real registers, with a fake control, a lossy network, crashes and resubmitting callers.
//!
//! The run stands in for the entry core: it starts a job when the register claims it, records its answer, joins owners
//! and takes over from lost ones. It checks the outcomes from outside.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use chestnutfork_register::{Action, Event, PeerMessage, Register, View};
use chestnutfork_types::{Answer, Execution, JobId, ProcessId, Refusal, TaskStatus};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MILLI: Duration = Duration::from_millis(1);
const LEASE: Duration = Duration::from_secs(2);
/// Length of the part of a run in which faults happen.
const FAULTS: Duration = Duration::from_secs(30);
/// Length of the calm part, longer than the retention, so that every doubtful job is given up.
const CALM: Duration = Duration::from_secs(75);
const RETENTION: Duration = Duration::from_mins(1);
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
const ID_SHIFT: u32 = 80;
/// Digest of every submission; resubmissions have the same content.
const DIGEST: u64 = 5;

/// Rule that a run breaks on purpose, to show that its checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Nothing,
    /// An entry that takes a job over runs it again without proof.
    RunAfterTakeOver,
    /// Control commits every view as settled, without waiting for the copies.
    SettleAtOnce,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub events: u64,
    pub jobs: u64,
    pub starts: u64,
    pub answers: u64,
    pub takeovers: u64,
    pub refusals: u64,
    pub not_known: u64,
    pub views: u64,
    pub lost_registers: u64,
    pub crashes: u64,
}

enum Step {
    Deliver {
        from: ProcessId,
        to: ProcessId,
        message: PeerMessage,
    },
    Wake {
        process: ProcessId,
    },
    Submit {
        job: JobId,
        attempts: u32,
    },
    Finish {
        process: ProcessId,
        job: JobId,
    },
    Joined {
        process: ProcessId,
        job: JobId,
        owner: ProcessId,
    },
    Control,
    Renew {
        process: ProcessId,
    },
    Report {
        process: ProcessId,
        view: u64,
    },
    Install {
        process: ProcessId,
        view: View,
    },
    Fault,
}

struct Node {
    machine: usize,
    register: Register,
    wake: Option<Duration>,
    view: u64,
    floor: Duration,
}

/// State of one run.
struct Sim {
    rng: ChaCha8Rng,
    broken: Broken,
    base: Instant,
    now: Duration,
    steps: BTreeMap<(Duration, u64), Step>,
    sequence: u64,
    nodes: BTreeMap<ProcessId, Node>,
    skew: Vec<i64>,
    /// Machines cut off from all others; control counts as the machine after the last one.
    cut: BTreeSet<usize>,
    /// Machines that are cut off from control only.
    hidden: BTreeSet<usize>,
    view: View,
    leases: BTreeMap<ProcessId, Duration>,
    synced: BTreeSet<(ProcessId, u64)>,
    starts: HashMap<JobId, ProcessId>,
    /// Lookups under way, and whether the job had started when they began.
    lookups: HashMap<(ProcessId, JobId), bool>,
    answers: HashMap<JobId, Answer>,
    figures: Figures,
}

/// Runs one seed and returns its figures, or the first broken invariant.
pub fn run(seed: u64, broken: Broken) -> Result<Figures, String> {
    let mut sim = Sim::new(seed, broken);
    sim.run().map_err(|message| format!("seed {seed}: {message}"))?;
    Ok(sim.figures)
}

impl Sim {
    fn new(seed: u64, broken: Broken) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let machines = [3, 3, 4, 5][rng.random_range(0..4)];
        let skew = (0..=machines).map(|_| rng.random_range(-4000..4000)).collect();
        let mut sim = Self {
            rng,
            broken,
            base: Instant::now(),
            now: Duration::ZERO,
            steps: BTreeMap::new(),
            sequence: 0,
            nodes: BTreeMap::new(),
            skew,
            cut: BTreeSet::new(),
            hidden: BTreeSet::new(),
            view: View::initial(1, Vec::new()),
            leases: BTreeMap::new(),
            synced: BTreeSet::new(),
            starts: HashMap::new(),
            lookups: HashMap::new(),
            answers: HashMap::new(),
            figures: Figures::default(),
        };
        let members: Vec<ProcessId> = (0..machines).map(|machine| sim.start(machine)).collect();
        sim.view = View::initial(1, members);
        sim.push(Duration::ZERO, Step::Control);
        sim.push(500 * MILLI, Step::Fault);
        sim
    }

    fn machines(&self) -> usize {
        self.skew.len() - 1
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

    fn start(&mut self, machine: usize) -> ProcessId {
        let process = self.rng.random_range(1..u64::MAX);
        let register = Register::builder(process)
            .retention(RETENTION)
            .chunk_records(3)
            .build();
        let node = Node {
            machine,
            register,
            wake: None,
            view: 0,
            floor: Duration::ZERO,
        };
        self.nodes.insert(process, node);
        self.leases.insert(process, self.now + LEASE);
        self.push(Duration::ZERO, Step::Renew { process });
        process
    }

    fn run(&mut self) -> Result<(), String> {
        let jobs = self.rng.random_range(20..80);
        for _ in 0..jobs {
            let at = self.millis(0, 30_000);
            // Most ids lie behind all clocks, some ahead of the slower ones.
            let behind = self.millis(0, 8000);
            let time = (EPOCH + at + 2000 * MILLI).saturating_sub(behind);
            let job = self.job_id(time);
            let attempts = self.rng.random_range(1..6);
            self.push(at, Step::Submit { job, attempts });
        }
        self.figures.jobs = jobs;
        while let Some(((at, _), step)) = self.steps.pop_first() {
            if at > FAULTS + CALM {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            self.step(step)?;
        }
        self.check_idle()
    }

    fn job_id(&mut self, time: Duration) -> JobId {
        let low: u64 = self.rng.random();
        (time.as_millis() << ID_SHIFT) | JobId::from(low)
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver { from, to, message } => {
                if self.nodes.contains_key(&from) && self.is_linked(from, to) {
                    self.event(to, Event::FromPeer { peer: from, message })?;
                }
            }
            Step::Wake { process } => self.wake(process)?,
            Step::Submit { job, attempts } => self.submit(job, attempts)?,
            Step::Finish { process, job } => {
                let output = format!("{process}").into();
                let answer = Answer::new(job, vec![TaskStatus::Completed { output }]);
                self.event(
                    process,
                    Event::RecordAnswer {
                        job,
                        digest: DIGEST,
                        answer,
                    },
                )?;
            }
            Step::Joined { process, job, owner } => self.joined(process, job, owner)?,
            Step::Control => self.control(),
            Step::Renew { process } => self.renew(process),
            Step::Report { process, view } => {
                self.synced.insert((process, view));
            }
            Step::Install { process, view } => self.event(process, Event::ViewInstalled(view))?,
            Step::Fault => self.fault(),
        }
        Ok(())
    }

    fn is_linked(&self, from: ProcessId, to: ProcessId) -> bool {
        let (Some(from), Some(to)) = (self.nodes.get(&from), self.nodes.get(&to)) else {
            return false;
        };
        let cut = self.cut.contains(&from.machine) || self.cut.contains(&to.machine);
        from.machine == to.machine || !cut
    }

    fn sees_control(&self, process: ProcessId) -> bool {
        let machine = self.nodes.get(&process).map(|node| node.machine);
        let cut = |machine| self.cut.contains(&machine) || self.hidden.contains(&machine);
        machine.is_some_and(|machine| !cut(machine)) && !self.cut.contains(&self.machines())
    }

    fn event(&mut self, process: ProcessId, event: Event) -> Result<(), String> {
        let (now, base) = (self.now, self.base);
        let Some(machine) = self.nodes.get(&process).map(|node| node.machine) else {
            return Ok(());
        };
        let wall = self.wall(machine);
        let node = self.nodes.get_mut(&process).expect("node was just found");
        let mut actions = Vec::new();
        node.register.handle(base + now, wall, event, &mut actions);
        if let Some(violation) = node.register.verify().first() {
            return Err(violation.to_string());
        }
        let (view, floor) = (node.register.view_number().unwrap_or(0), node.register.floor());
        if view < node.view || floor < node.floor {
            return Err("a view or a floor went back".into());
        }
        (node.view, node.floor) = (view, floor);
        for action in actions {
            self.action(process, action)?;
        }
        self.schedule_wake(process);
        Ok(())
    }

    fn schedule_wake(&mut self, process: ProcessId) {
        let Some(node) = self.nodes.get_mut(&process) else {
            return;
        };
        let next = node.register.next_wakeup();
        let at = next.map(|at| at.saturating_duration_since(self.base).max(self.now));
        if at.is_some() && (node.wake.is_none() || at < node.wake) {
            node.wake = at;
            let delay = at.unwrap_or_default().saturating_sub(self.now);
            self.push(delay, Step::Wake { process });
        }
    }

    fn wake(&mut self, process: ProcessId) -> Result<(), String> {
        if let Some(node) = self.nodes.get_mut(&process)
            && node.wake.is_some_and(|at| at <= self.now)
        {
            node.wake = None;
            return self.event(process, Event::Tick);
        }
        Ok(())
    }

    fn action(&mut self, process: ProcessId, action: Action) -> Result<(), String> {
        match action {
            Action::Send { peer, message } => self.send(process, peer, &message),
            Action::Claimed { job } => self.start_job(process, job)?,
            Action::OwnedBy { job, owner } => {
                self.lookups.remove(&(process, job));
                let delay = self.millis(1, 300);
                self.push(delay, Step::Joined { process, job, owner });
            }
            Action::Answered { job, answer } | Action::Recorded { job, answer } => {
                self.lookups.remove(&(process, job));
                self.answered(process, job, answer)?;
            }
            Action::Refused { job, refusal } => {
                self.lookups.remove(&(process, job));
                self.refused(job, &refusal)?;
            }
            Action::NotClaimed { job } => self.not_known(process, job)?,
            Action::Synced { view } => {
                let delay = self.millis(1, 50);
                if self.sees_control(process) {
                    self.push(delay, Step::Report { process, view });
                }
            }
        }
        Ok(())
    }

    fn send(&mut self, from: ProcessId, to: ProcessId, message: &PeerMessage) {
        let calm = self.now > FAULTS;
        if !calm && self.chance(4) {
            return;
        }
        let copies = if !calm && self.chance(4) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = !calm && self.chance(3);
            let delay = if slow {
                self.millis(50, 4000)
            } else {
                self.millis(1, 6)
            };
            let message = message.clone();
            self.push(delay, Step::Deliver { from, to, message });
        }
    }

    fn start_job(&mut self, process: ProcessId, job: JobId) -> Result<(), String> {
        self.figures.starts += 1;
        if let Some(first) = self.starts.insert(job, process) {
            return Err(format!("job {job:x} starts at {first} and at {process}"));
        }
        let delay = self.millis(5, 2500);
        self.push(delay, Step::Finish { process, job });
        Ok(())
    }

    fn answered(&mut self, process: ProcessId, job: JobId, answer: Answer) -> Result<(), String> {
        answer.verify(1).map_err(|error| error.to_string())?;
        if self.broken == Broken::RunAfterTakeOver && !answer.tasks[0].is_completed() {
            self.start_job(process, job)?;
        }
        match self.answers.get(&job) {
            Some(first) if *first != answer => Err(format!("job {job:x} has two answers")),
            Some(_) => Ok(()),
            None => {
                self.figures.answers += 1;
                self.answers.insert(job, answer);
                Ok(())
            }
        }
    }

    /// Checks that a job had not started when the lookup that found no record of it began.
    fn not_known(&mut self, process: ProcessId, job: JobId) -> Result<(), String> {
        self.figures.not_known += 1;
        if self.lookups.remove(&(process, job)) == Some(true) {
            return Err(format!(
                "job {job:x} had started but {process} is told that it is not known"
            ));
        }
        Ok(())
    }

    fn refused(&mut self, job: JobId, refusal: &Refusal) -> Result<(), String> {
        self.figures.refusals += 1;
        if refusal.execution == Execution::NotRun && self.starts.contains_key(&job) {
            return Err(format!("job {job:x} started but is refused as not run"));
        }
        Ok(())
    }

    fn submit(&mut self, job: JobId, attempts: u32) -> Result<(), String> {
        let all: Vec<ProcessId> = self.nodes.keys().copied().collect();
        if !all.is_empty() {
            let process = all[self.rng.random_range(0..all.len())];
            self.claim_or_look_up(process, job)?;
        }
        if attempts > 1 {
            let delay = if self.chance(40) {
                self.millis(0, 5)
            } else {
                self.millis(5, 6000)
            };
            let attempts = attempts - 1;
            self.push(delay, Step::Submit { job, attempts });
        }
        Ok(())
    }

    /// Claims a job, or looks it up as an entry does before it refuses; an entry does one of them at a time.
    fn claim_or_look_up(&mut self, process: ProcessId, job: JobId) -> Result<(), String> {
        if self.nodes[&process].register.is_pending(job) {
            return Ok(());
        }
        let digest = DIGEST;
        if self.chance(20) {
            self.lookups
                .insert((process, job), self.starts.contains_key(&job));
            return self.event(process, Event::Lookup { job, digest });
        }
        let at_most_once = true;
        self.event(
            process,
            Event::Claim {
                job,
                digest,
                at_most_once,
            },
        )
    }

    /// Stands in for a joined caller: takes over when the owner is gone, and sometimes when it only seems so.
    fn joined(&mut self, process: ProcessId, job: JobId, owner: ProcessId) -> Result<(), String> {
        let Some(node) = self.nodes.get(&process) else {
            return Ok(());
        };
        let listed = node
            .register
            .view()
            .is_some_and(|view| view.members.contains(&owner));
        if process == owner || !listed || self.chance(15) {
            self.figures.takeovers += 1;
            return self.event(
                process,
                Event::TakeOver {
                    job,
                    digest: DIGEST,
                    tasks: 1,
                },
            );
        }
        if !self.answers.contains_key(&job) {
            let delay = self.millis(100, 900);
            self.push(delay, Step::Joined { process, job, owner });
        }
        Ok(())
    }

    fn renew(&mut self, process: ProcessId) {
        if !self.nodes.contains_key(&process) {
            return;
        }
        if self.sees_control(process) {
            self.leases.insert(process, self.now + LEASE);
            if let Some(view) = self.nodes[&process].register.synced_view() {
                self.synced.insert((process, view));
            }
            let view = self.view.clone();
            let delay = self.millis(1, 40);
            self.push(delay, Step::Install { process, view });
        }
        let delay = self.millis(100, 500);
        self.push(delay, Step::Renew { process });
    }

    fn control(&mut self) {
        let now = self.now;
        let alive: Vec<ProcessId> = self
            .leases
            .iter()
            .filter(|&(_, &until)| until > now)
            .map(|(&process, _)| process)
            .collect();
        let number = self.view.number;
        let reported = self.synced.iter().filter(|&&(_, view)| view == number);
        let synced: Vec<ProcessId> = reported.map(|&(process, _)| process).collect();
        let floor = self.wall(self.machines()) + Duration::from_secs(12);
        if let Some(mut next) = self.view.next(&alive, &synced, floor) {
            self.figures.views += 1;
            self.figures.lost_registers += u64::from(next.floor != self.view.floor);
            if self.broken == Broken::SettleAtOnce {
                next.settled = true;
                next.settled_size = next.members.len();
                next.survivors.clone_from(&next.members);
            }
            self.view = next;
        }
        let delay = self.millis(20, 200);
        self.push(delay, Step::Control);
    }

    fn fault(&mut self) {
        let machines = self.machines();
        self.cut.clear();
        self.hidden.clear();
        if self.now >= FAULTS {
            self.restart_missing();
            return;
        }
        let machine = self.rng.random_range(0..machines);
        match self.rng.random_range(0..10) {
            0..2 => self.crash(machine),
            2 => {
                self.crash(machine);
                self.start(machine);
            }
            // A second machine is lost right after the first one is repaired.
            3 => {
                self.restart_missing();
                self.crash((machine + 1) % machines);
            }
            4 => {
                self.cut.insert(self.rng.random_range(0..=machines));
            }
            5 => {
                self.hidden.insert(machine);
            }
            _ => self.restart_missing(),
        }
        let delay = if self.chance(30) {
            self.millis(20, 400)
        } else {
            self.millis(400, 5000)
        };
        self.push(delay, Step::Fault);
    }

    fn crash(&mut self, machine: usize) {
        let before = self.nodes.len();
        self.nodes.retain(|_, node| node.machine != machine);
        self.figures.crashes += (before - self.nodes.len()) as u64;
    }

    fn restart_missing(&mut self) {
        for machine in 0..self.machines() {
            if !self.nodes.values().any(|node| node.machine == machine) {
                self.start(machine);
            }
        }
    }

    /// Checks that the calm part ends every doubt: nothing is under way, and all entries share one settled view.
    fn check_idle(&self) -> Result<(), String> {
        for (process, node) in &self.nodes {
            let member = node.register.view() == Some(&self.view) && self.view.members.contains(process);
            if !member || !self.view.settled {
                return Err(format!(
                    "entry {process} is not a member of a settled view at the end"
                ));
            }
            if !node.register.is_idle() {
                return Err(format!("entry {process} is not idle at the end"));
            }
        }
        Ok(())
    }
}

impl Figures {
    /// Adds the figures of another run.
    pub fn add(&mut self, other: &Self) {
        self.events += other.events;
        self.jobs += other.jobs;
        self.starts += other.starts;
        self.answers += other.answers;
        self.takeovers += other.takeovers;
        self.refusals += other.refusals;
        self.not_known += other.not_known;
        self.views += other.views;
        self.lost_registers += other.lost_registers;
        self.crashes += other.crashes;
    }
}

//! Randomised simulation of registers with crashes, partitions, message loss and resubmissions.
//!
//! The registers are real; control, the network and the callers are simulated. The simulation also replaces the entry
//! core: it starts a job when its claim is granted, records the answer, waits for owners and takes over jobs of lost
//! ones. It checks the outcomes by its own records of starts and answers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use chestnutfork_register::{Action, Event, PeerMessage, Register, View};
use chestnutfork_types::{Answer, Execution, JobId, ProcessId, Refusal, TaskStatus};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MILLI: Duration = Duration::from_millis(1);
const LEASE: Duration = Duration::from_secs(2);
/// Length of the phase in which faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(30);
/// Length of the phase without faults. It exceeds the retention, so that undecided jobs fall below the floor.
const RECOVERY_PHASE: Duration = Duration::from_secs(75);
const RETENTION: Duration = Duration::from_mins(1);
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
const ID_SHIFT: u32 = 80;
/// Digest of all submissions; resubmissions have the same content.
const DIGEST: u64 = 5;

/// Bug that a run injects to show that its checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// An entry that takes a job over runs it again without proof that it did not run.
    RunAfterTakeOver,
    /// Control commits every view as settled without waiting for members to copy the records.
    SettleWithoutCopies,
}

/// Counters of one or more runs.
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
    CheckOwner {
        process: ProcessId,
        job: JobId,
        owner: ProcessId,
    },
    UpdateView,
    Renew {
        process: ProcessId,
    },
    ReportSynced {
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

/// State of a run.
struct Sim {
    rng: ChaCha8Rng,
    bug: InjectedBug,
    origin: Instant,
    now: Duration,
    steps: BTreeMap<(Duration, u64), Step>,
    sequence: u64,
    nodes: BTreeMap<ProcessId, Node>,
    skew: Vec<i64>,
    /// Machines that are isolated from all others; control has the index after the last machine.
    isolated: BTreeSet<usize>,
    /// Machines that are isolated from control only.
    cut_from_control: BTreeSet<usize>,
    view: View,
    leases: BTreeMap<ProcessId, Duration>,
    synced: BTreeSet<(ProcessId, u64)>,
    starts: HashMap<JobId, ProcessId>,
    /// Lookups in progress, and whether the job had started when they began.
    lookups: HashMap<(ProcessId, JobId), bool>,
    answers: HashMap<JobId, Answer>,
    figures: Figures,
}

/// Runs one seed and returns its counters, or the first violated invariant.
pub fn run(seed: u64, bug: InjectedBug) -> Result<Figures, String> {
    let mut sim = Sim::new(seed, bug);
    sim.run().map_err(|message| format!("seed {seed}: {message}"))?;
    Ok(sim.figures)
}

impl Sim {
    fn new(seed: u64, bug: InjectedBug) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let machines = [3, 3, 4, 5][rng.random_range(0..4)];
        let skew = (0..=machines).map(|_| rng.random_range(-4000..4000)).collect();
        let mut sim = Self {
            rng,
            bug,
            origin: Instant::now(),
            now: Duration::ZERO,
            steps: BTreeMap::new(),
            sequence: 0,
            nodes: BTreeMap::new(),
            skew,
            isolated: BTreeSet::new(),
            cut_from_control: BTreeSet::new(),
            view: View::initial(1, Vec::new()),
            leases: BTreeMap::new(),
            synced: BTreeSet::new(),
            starts: HashMap::new(),
            lookups: HashMap::new(),
            answers: HashMap::new(),
            figures: Figures::default(),
        };
        let members: Vec<ProcessId> = (0..machines).map(|machine| sim.start_process(machine)).collect();
        sim.view = View::initial(1, members);
        sim.push(Duration::ZERO, Step::UpdateView);
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

    fn random_millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn start_process(&mut self, machine: usize) -> ProcessId {
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
            let at = self.random_millis(0, 30_000);
            // Most ids have a time before all clocks, some a time ahead of the slower clocks.
            let behind = self.random_millis(0, 8000);
            let time = (EPOCH + at + 2000 * MILLI).saturating_sub(behind);
            let job = self.job_id(time);
            let attempts = self.rng.random_range(1..6);
            self.push(at, Step::Submit { job, attempts });
        }
        self.figures.jobs = jobs;
        while let Some(((at, _), step)) = self.steps.pop_first() {
            if at > FAULT_PHASE + RECOVERY_PHASE {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            self.execute(step)?;
        }
        self.check_recovered()
    }

    fn job_id(&mut self, time: Duration) -> JobId {
        let low: u64 = self.rng.random();
        (time.as_millis() << ID_SHIFT) | JobId::from(low)
    }

    fn execute(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver { from, to, message } => {
                if self.nodes.contains_key(&from) && self.is_linked(from, to) {
                    self.handle_event(to, Event::FromPeer { peer: from, message })?;
                }
            }
            Step::Wake { process } => self.fire_timer(process)?,
            Step::Submit { job, attempts } => self.submit(job, attempts)?,
            Step::Finish { process, job } => {
                let output = format!("{process}").into();
                let answer = Answer::new(job, vec![TaskStatus::Completed { output }]);
                self.handle_event(
                    process,
                    Event::RecordAnswer {
                        job,
                        digest: DIGEST,
                        answer,
                    },
                )?;
            }
            Step::CheckOwner { process, job, owner } => self.check_owner(process, job, owner)?,
            Step::UpdateView => self.update_view(),
            Step::Renew { process } => self.renew(process),
            Step::ReportSynced { process, view } => {
                self.synced.insert((process, view));
            }
            Step::Install { process, view } => self.handle_event(process, Event::ViewInstalled(view))?,
            Step::Fault => self.inject_fault(),
        }
        Ok(())
    }

    fn is_linked(&self, from: ProcessId, to: ProcessId) -> bool {
        let (Some(from), Some(to)) = (self.nodes.get(&from), self.nodes.get(&to)) else {
            return false;
        };
        let isolated = self.isolated.contains(&from.machine) || self.isolated.contains(&to.machine);
        from.machine == to.machine || !isolated
    }

    fn reaches_control(&self, process: ProcessId) -> bool {
        let machine = self.nodes.get(&process).map(|node| node.machine);
        let isolated = |machine| self.isolated.contains(&machine) || self.cut_from_control.contains(&machine);
        machine.is_some_and(|machine| !isolated(machine)) && !self.isolated.contains(&self.machines())
    }

    fn handle_event(&mut self, process: ProcessId, event: Event) -> Result<(), String> {
        let (now, origin) = (self.now, self.origin);
        let Some(machine) = self.nodes.get(&process).map(|node| node.machine) else {
            return Ok(());
        };
        let wall = self.wall(machine);
        let node = self.nodes.get_mut(&process).expect("node was just found");
        let mut actions = Vec::new();
        node.register.handle(origin + now, wall, event, &mut actions);
        if let Some(violation) = node.register.verify().first() {
            return Err(violation.to_string());
        }
        let (view, floor) = (node.register.view_number().unwrap_or(0), node.register.floor());
        if view < node.view || floor < node.floor {
            return Err("the view number or the floor of an entry decreased".into());
        }
        (node.view, node.floor) = (view, floor);
        for action in actions {
            self.handle_action(process, action)?;
        }
        self.schedule_wake(process);
        Ok(())
    }

    fn schedule_wake(&mut self, process: ProcessId) {
        let Some(node) = self.nodes.get_mut(&process) else {
            return;
        };
        let next = node.register.next_wakeup();
        let at = next.map(|at| at.saturating_duration_since(self.origin).max(self.now));
        if at.is_some() && (node.wake.is_none() || at < node.wake) {
            node.wake = at;
            let delay = at.unwrap_or_default().saturating_sub(self.now);
            self.push(delay, Step::Wake { process });
        }
    }

    fn fire_timer(&mut self, process: ProcessId) -> Result<(), String> {
        if let Some(node) = self.nodes.get_mut(&process)
            && node.wake.is_some_and(|at| at <= self.now)
        {
            node.wake = None;
            return self.handle_event(process, Event::Tick);
        }
        Ok(())
    }

    fn handle_action(&mut self, process: ProcessId, action: Action) -> Result<(), String> {
        match action {
            Action::Send { peer, message } => self.send(process, peer, &message),
            Action::Claimed { job } => self.start_job(process, job)?,
            Action::OwnedBy { job, owner } => {
                self.lookups.remove(&(process, job));
                let delay = self.random_millis(1, 300);
                self.push(delay, Step::CheckOwner { process, job, owner });
            }
            Action::Answered { job, answer } | Action::Recorded { job, answer } => {
                self.lookups.remove(&(process, job));
                self.check_answer(process, job, answer)?;
            }
            Action::Refused { job, refusal } => {
                self.lookups.remove(&(process, job));
                self.check_refusal(job, &refusal)?;
            }
            Action::NotClaimed { job } => self.check_not_claimed(process, job)?,
            Action::Synced { view } => {
                let delay = self.random_millis(1, 50);
                if self.reaches_control(process) {
                    self.push(delay, Step::ReportSynced { process, view });
                }
            }
        }
        Ok(())
    }

    fn send(&mut self, from: ProcessId, to: ProcessId, message: &PeerMessage) {
        let fault_free = self.now > FAULT_PHASE;
        if !fault_free && self.chance(4) {
            return;
        }
        let copies = if !fault_free && self.chance(4) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = !fault_free && self.chance(3);
            let delay = if slow {
                self.random_millis(50, 4000)
            } else {
                self.random_millis(1, 6)
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
        let delay = self.random_millis(5, 2500);
        self.push(delay, Step::Finish { process, job });
        Ok(())
    }

    fn check_answer(&mut self, process: ProcessId, job: JobId, answer: Answer) -> Result<(), String> {
        answer.verify(1).map_err(|error| error.to_string())?;
        if self.bug == InjectedBug::RunAfterTakeOver && !answer.tasks[0].is_completed() {
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

    /// Checks that a job that a lookup reports as not claimed had not started before the lookup.
    fn check_not_claimed(&mut self, process: ProcessId, job: JobId) -> Result<(), String> {
        self.figures.not_known += 1;
        if self.lookups.remove(&(process, job)) == Some(true) {
            return Err(format!(
                "job {job:x} had started before a lookup of {process} reported it as not claimed"
            ));
        }
        Ok(())
    }

    fn check_refusal(&mut self, job: JobId, refusal: &Refusal) -> Result<(), String> {
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
                self.random_millis(0, 5)
            } else {
                self.random_millis(5, 6000)
            };
            let attempts = attempts - 1;
            self.push(delay, Step::Submit { job, attempts });
        }
        Ok(())
    }

    /// Claims a job, or looks it up as an entry does before it refuses a job.
    ///
    /// An entry has at most one claim or lookup of a job in progress.
    fn claim_or_look_up(&mut self, process: ProcessId, job: JobId) -> Result<(), String> {
        if self.nodes[&process].register.is_pending(job) {
            return Ok(());
        }
        let digest = DIGEST;
        if self.chance(20) {
            self.lookups
                .insert((process, job), self.starts.contains_key(&job));
            return self.handle_event(process, Event::Lookup { job, digest });
        }
        let at_most_once = true;
        self.handle_event(
            process,
            Event::Claim {
                job,
                digest,
                at_most_once,
            },
        )
    }

    /// Takes a job over if its owner is lost or is this entry itself, and sometimes although the owner is up.
    fn check_owner(&mut self, process: ProcessId, job: JobId, owner: ProcessId) -> Result<(), String> {
        let Some(node) = self.nodes.get(&process) else {
            return Ok(());
        };
        let is_member = node
            .register
            .view()
            .is_some_and(|view| view.members.contains(&owner));
        if process == owner || !is_member || self.chance(15) {
            self.figures.takeovers += 1;
            return self.handle_event(
                process,
                Event::TakeOver {
                    job,
                    digest: DIGEST,
                    tasks: 1,
                },
            );
        }
        if !self.answers.contains_key(&job) {
            let delay = self.random_millis(100, 900);
            self.push(delay, Step::CheckOwner { process, job, owner });
        }
        Ok(())
    }

    fn renew(&mut self, process: ProcessId) {
        if !self.nodes.contains_key(&process) {
            return;
        }
        if self.reaches_control(process) {
            self.leases.insert(process, self.now + LEASE);
            if let Some(view) = self.nodes[&process].register.synced_view() {
                self.synced.insert((process, view));
            }
            let view = self.view.clone();
            let delay = self.random_millis(1, 40);
            self.push(delay, Step::Install { process, view });
        }
        let delay = self.random_millis(100, 500);
        self.push(delay, Step::Renew { process });
    }

    fn update_view(&mut self) {
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
            if self.bug == InjectedBug::SettleWithoutCopies {
                next.settled = true;
                next.settled_size = next.members.len();
                next.survivors.clone_from(&next.members);
            }
            self.view = next;
        }
        let delay = self.random_millis(20, 200);
        self.push(delay, Step::UpdateView);
    }

    fn inject_fault(&mut self) {
        let machines = self.machines();
        self.isolated.clear();
        self.cut_from_control.clear();
        if self.now >= FAULT_PHASE {
            self.restart_missing();
            return;
        }
        let machine = self.rng.random_range(0..machines);
        match self.rng.random_range(0..10) {
            0..2 => self.crash(machine),
            2 => {
                self.crash(machine);
                self.start_process(machine);
            }
            // A second machine crashes right after the first one has restarted.
            3 => {
                self.restart_missing();
                self.crash((machine + 1) % machines);
            }
            4 => {
                self.isolated.insert(self.rng.random_range(0..=machines));
            }
            5 => {
                self.cut_from_control.insert(machine);
            }
            _ => self.restart_missing(),
        }
        let delay = if self.chance(30) {
            self.random_millis(20, 400)
        } else {
            self.random_millis(400, 5000)
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
                self.start_process(machine);
            }
        }
    }

    /// Checks that after the phase without faults nothing is in progress and all entries share one settled view.
    fn check_recovered(&self) -> Result<(), String> {
        for (process, node) in &self.nodes {
            let has_current_view =
                node.register.view() == Some(&self.view) && self.view.members.contains(process);
            if !has_current_view || !self.view.settled {
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
    /// Adds the counters of another run.
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

//! Plan of one soak: which faults are injected when, drawn from a seed.

use std::ops::Range;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fewest and most series of faults in ten seconds.
const SERIES: Range<u64> = 4..10;
/// Fewest and most series of restarts of workers in ten seconds.
const RESTARTS: Range<u64> = 2..7;
/// Shortest and longest fault.
const LENGTH_MS: Range<u64> = 150..3_000;
/// Time around the loss of a disk without other faults of control: one loss at a time is tolerated.
const DISK_MARGIN: Duration = Duration::from_secs(6);
/// Share of the plans in which a control process loses its disk.
const DISK_SHARE: f64 = 0.3;

/// Share of the restarts under the former name that take seconds.
const SLOW_RESTART_SHARE: f64 = 0.3;
/// Time that a worker is away at a quick and at a slow restart.
const QUICK_RESTART_MS: Range<u64> = 50..400;
const SLOW_RESTART_MS: Range<u64> = 1_000..5_000;
/// Share of the restarts whose first announcement is delayed, and its longest delay.
const SILENT_SHARE: f64 = 0.5;
const SILENT_MS: Range<u64> = 0..1_500;
/// Streams of random numbers for faults that came later, so that they leave the other faults of a seed as they are.
const RESTART_STREAM: u64 = 1;
const DEPARTURE_STREAM: u64 = 2;
/// Fewest and most departures of workers in ten seconds.
const DEPARTURES: Range<u64> = 1..4;
const CAPACITY_STREAM: u64 = 3;
const KILL_STREAM: u64 = 4;
const CROWD_STREAM: u64 = 5;
/// Fewest and most crowds of clients in ten seconds, and how long each stays.
const CROWDS: Range<u64> = 1..4;
const CROWD_MS: Range<u64> = 1_000..6_000;
/// Share of the crowds that stand while their process is stopped, restarted or reloaded.
const CROWDED_FAULT_SHARE: f64 = 0.7;
/// Share of the plans in which all entries or all agents are killed one after the other.
const KILL_SHARE: f64 = 0.5;
/// Time between two kills of such a series, and from a kill to the start.
const KILL_GAP_MS: Range<u64> = 50..700;
const KILL_DOWN_MS: Range<u64> = 100..1_500;
/// Fewest and most series of changes of a worker's capacity in ten seconds.
const CAPACITY_CHANGES: Range<u64> = 1..4;
/// Runs that fit on a worker, and that fit at least while its capacity is reduced.
pub(crate) const FULL_CAPACITY: usize = 6;
const LEAST_CAPACITY: usize = 1;
/// Time for which a capacity stays; most are longer than the bound on what shrinks.
const CAPACITY_MS: Range<u64> = 500..9_000;
/// Time from the beginning of a departure to a fault of the agent, which may lose the withdrawal.
const DEPARTURE_MS: Range<u64> = 1_000..4_500;

/// Number of processes of each role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Control processes; an odd number.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Agents, each with a worker.
    pub agents: usize,
}

impl Size {
    /// Draws the processes of a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let agents = rng.random_range(4..=12);
        Self {
            controls: if rng.random_bool(0.3) { 5 } else { 3 },
            entries: rng.random_range(2..=3),
            agents,
        }
    }

    fn processes(self) -> usize {
        self.controls + self.entries + self.agents
    }
}

/// How a crashed worker comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Whether it has the name that it had.
    pub same_name: bool,
    /// Time that it is away.
    pub down: Duration,
    /// Time that it answers calls before its first announcement.
    pub silent: Duration,
}

impl Restart {
    /// Draws a restart under the former name.
    pub(crate) fn random(rng: &mut ChaCha8Rng) -> Self {
        let down = if rng.random_bool(SLOW_RESTART_SHARE) {
            rng.random_range(SLOW_RESTART_MS)
        } else {
            rng.random_range(QUICK_RESTART_MS)
        };
        let silent = if rng.random_bool(SILENT_SHARE) {
            rng.random_range(SILENT_MS)
        } else {
            0
        };
        Self {
            same_name: true,
            down: Duration::from_millis(down),
            silent: Duration::from_millis(silent),
        }
    }
}

/// How the clients of a crowd send their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPattern {
    /// A byte at a time.
    Slow,
    /// All but the last byte at once.
    Stalled,
}

/// What is done to a process, to its connections or to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Stops the process until it is resumed.
    Pause,
    /// Resumes a paused process.
    Resume,
    /// Kills the process.
    Kill,
    /// Kills the process and leaves half a record at the end of its log.
    KillTorn,
    /// Kills the process and removes its files.
    KillWiped,
    /// Starts the process again if it does not run.
    Start,
    /// Asks the process to stop gracefully.
    Terminate,
    /// Asks the process to read its settings again.
    HangUp,
    /// Delays all bytes.
    Delay(Duration),
    /// Holds bytes towards the process.
    HoldInward,
    /// Holds bytes from the process.
    HoldOutward,
    /// Holds bytes in both directions.
    HoldAll,
    /// Lets held and later bytes through.
    Clear,
    /// Resets all open connections.
    Reset,
    /// Makes all open connections silent for good; new ones work.
    Silence,
    /// Clients hold the connections of the process with requests that they never complete.
    Crowd(SendPattern),
    /// Those clients leave.
    CrowdLeaves,
    /// The worker crashes and comes back as another incarnation.
    WorkerCrash,
    /// The worker crashes and comes back as given.
    WorkerRestart(Restart),
    /// The worker has room for as many runs of one core from now on.
    WorkerCapacity(usize),
    /// The worker says that it leaves, and does so.
    WorkerLeave,
    /// The worker fails all tasks.
    WorkerFail,
    /// The worker becomes slow.
    WorkerSlow,
    /// Tasks on the worker stand still.
    WorkerHang,
    /// The worker leaves orders unanswered and carries them out late.
    WorkerMute,
    /// The worker is sound again.
    WorkerSound,
    /// The operator sends the next configuration to the process.
    Configure,
}

/// Fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the first job.
    pub at: Duration,
    /// Position of the process: control processes first, then entries, then agents; or of the worker.
    pub target: usize,
    /// What is done.
    pub fault: Fault,
}

/// Faults of one soak in the order of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Processes.
    pub size: Size,
    /// Faults.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan; the same seed gives the same plan.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_soak::{Plan, Size};
    ///
    /// let size = Size { controls: 3, entries: 2, agents: 4 };
    /// let plan = Plan::draw(7, size, Duration::from_secs(10));
    /// assert_eq!(plan, Plan::draw(7, size, Duration::from_secs(10)));
    /// assert!(!plan.steps.is_empty());
    /// ```
    #[must_use]
    pub fn draw(seed: u64, size: Size, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut plan = Self {
            size,
            steps: Vec::new(),
        };
        let series = rng.random_range(SERIES) * length.as_secs().max(1) / 10 + 1;
        for _ in 0..series {
            plan.add_series(&mut rng, length);
        }
        for second in 1..length.as_secs() {
            plan.push(
                Duration::from_secs(second),
                rng.random_range(0..size.controls),
                Fault::Configure,
            );
        }
        if rng.random_bool(DISK_SHARE) {
            plan.add_lost_disk(&mut rng, length);
        }
        rng.set_stream(RESTART_STREAM);
        let restarts = rng.random_range(RESTARTS) * length.as_secs().max(1) / 10 + 1;
        for _ in 0..restarts {
            plan.add_restarts(&mut rng, length);
        }
        rng.set_stream(DEPARTURE_STREAM);
        let departures = rng.random_range(DEPARTURES) * length.as_secs().max(1) / 10;
        for _ in 0..departures {
            plan.add_departure(&mut rng, length);
        }
        rng.set_stream(CAPACITY_STREAM);
        let changes = rng.random_range(CAPACITY_CHANGES) * length.as_secs().max(1) / 10;
        for _ in 0..changes {
            plan.add_capacity_changes(&mut rng, length);
        }
        rng.set_stream(KILL_STREAM);
        if rng.random_bool(KILL_SHARE) {
            plan.add_kills(&mut rng, length);
        }
        rng.set_stream(CROWD_STREAM);
        let crowds = rng.random_range(CROWDS) * length.as_secs().max(1) / 10;
        for _ in 0..crowds {
            plan.add_crowd(&mut rng, length);
        }
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    fn push(&mut self, at: Duration, target: usize, fault: Fault) {
        self.steps.push(Step { at, target, fault });
    }

    /// Adds one to three faults of one kind; a series may overlap with others.
    fn add_series(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let kind = rng.random_range(0..18);
        let target = rng.random_range(0..self.size.processes());
        let worker = rng.random_range(0..self.size.agents);
        let mut at = length.mul_f64(rng.random_range(0.0..0.9));
        for _ in 0..rng.random_range(1..=3) {
            let until = at + Duration::from_millis(rng.random_range(LENGTH_MS));
            let delay = Duration::from_millis(rng.random_range(1..120));
            match kind {
                0 | 1 => self.pair(at, until, target, Fault::Pause, Fault::Resume),
                2 | 3 => self.pair(at, until, target, Fault::Kill, Fault::Start),
                4 => self.pair(at, until, target, Fault::Terminate, Fault::Start),
                5 => self.push(at, target, Fault::HangUp),
                6 => self.pair(at, until, target, Fault::Delay(delay), Fault::Clear),
                7 => self.pair(at, until, target, Fault::HoldInward, Fault::Clear),
                8 => self.pair(at, until, target, Fault::HoldOutward, Fault::Clear),
                9 => self.pair(at, until, target, Fault::HoldAll, Fault::Clear),
                10 => self.push(at, target, Fault::Reset),
                11 => self.push(at, target, Fault::Silence),
                12 => self.push(at, worker, Fault::WorkerCrash),
                13 => self.pair(at, until, worker, Fault::WorkerFail, Fault::WorkerSound),
                14 => self.pair(at, until, worker, Fault::WorkerSlow, Fault::WorkerSound),
                15 => self.pair(at, until, worker, Fault::WorkerHang, Fault::WorkerSound),
                16 => self.pair(at, until, worker, Fault::WorkerMute, Fault::WorkerSound),
                _ => self.all_controls(at, until, worker),
            }
            at = until + Duration::from_millis(rng.random_range(0..800));
        }
    }

    /// Restarts a worker one to three times under its name; it may have left orders unanswered before.
    fn add_restarts(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let worker = rng.random_range(0..self.size.agents);
        let mut at = length.mul_f64(rng.random_range(0.0..0.9));
        let mute = rng.random_bool(0.5);
        if mute {
            self.push(at, worker, Fault::WorkerMute);
        }
        for _ in 0..rng.random_range(1..=3) {
            at += Duration::from_millis(rng.random_range(LENGTH_MS));
            self.push(at, worker, Fault::WorkerRestart(Restart::random(rng)));
        }
        if mute {
            self.push(at, worker, Fault::WorkerSound);
        }
    }

    /// Makes a worker leave, half of the times with a pause or the death of its agent when it withdraws.
    fn add_departure(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let worker = rng.random_range(0..self.size.agents);
        let agent = self.size.controls + self.size.entries + worker;
        let at = length.mul_f64(rng.random_range(0.0..0.9));
        self.push(at, worker, Fault::WorkerLeave);
        let from = at + Duration::from_millis(rng.random_range(DEPARTURE_MS));
        let to = from + Duration::from_millis(rng.random_range(LENGTH_MS));
        match rng.random_range(0..4) {
            0 => self.pair(from, to, agent, Fault::Pause, Fault::Resume),
            1 => self.pair(from, to, agent, Fault::Kill, Fault::Start),
            _ => {}
        }
    }

    /// Reduces the capacity of a worker once or twice, and restores it.
    fn add_capacity_changes(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let worker = rng.random_range(0..self.size.agents);
        let mut at = length.mul_f64(rng.random_range(0.0..0.7));
        for _ in 0..rng.random_range(1..=2) {
            let slots = rng.random_range(LEAST_CAPACITY..FULL_CAPACITY);
            self.push(at, worker, Fault::WorkerCapacity(slots));
            at += Duration::from_millis(rng.random_range(CAPACITY_MS));
        }
        self.push(at, worker, Fault::WorkerCapacity(FULL_CAPACITY));
    }

    /// Kills all entries or all agents one after the other; some are down at the same time.
    fn add_kills(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let Size {
            controls,
            entries,
            agents,
        } = self.size;
        let (first, count) = if rng.random_bool(0.5) {
            (controls, entries)
        } else {
            (controls + entries, agents)
        };
        let mut at = length.mul_f64(rng.random_range(0.1..0.8));
        for target in first..first + count {
            let until = at + Duration::from_millis(rng.random_range(KILL_DOWN_MS));
            self.pair(at, until, target, Fault::Kill, Fault::Start);
            at += Duration::from_millis(rng.random_range(KILL_GAP_MS));
        }
    }

    /// Adds a crowd at a process, which is mostly stopped, killed or reloaded while the clients return again and again.
    fn add_crowd(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let target = rng.random_range(0..self.size.processes());
        let pattern = if rng.random_bool(0.5) {
            SendPattern::Slow
        } else {
            SendPattern::Stalled
        };
        let at = length.mul_f64(rng.random_range(0.0..0.7));
        let stay = Duration::from_millis(rng.random_range(CROWD_MS));
        self.pair(at, at + stay, target, Fault::Crowd(pattern), Fault::CrowdLeaves);
        if !rng.random_bool(CROWDED_FAULT_SHARE) {
            return;
        }
        let from = at + stay.mul_f64(rng.random_range(0.2..0.8));
        let to = from + Duration::from_millis(rng.random_range(LENGTH_MS));
        match rng.random_range(0..4) {
            0 => self.pair(from, to, target, Fault::Terminate, Fault::Start),
            1 => self.pair(from, to, target, Fault::Kill, Fault::Start),
            2 => self.pair(from, to, target, Fault::Pause, Fault::Resume),
            _ => self.push(from, target, Fault::HangUp),
        }
    }

    fn pair(&mut self, from: Duration, to: Duration, target: usize, begin: Fault, end: Fault) {
        self.push(from, target, begin);
        self.push(to, target, end);
    }

    /// Kills all control processes at a time, some of them in the middle of a write, while a worker leaves.
    fn all_controls(&mut self, at: Duration, until: Duration, worker: usize) {
        for control in 0..self.size.controls {
            let begin = if control % 2 == 0 {
                Fault::KillTorn
            } else {
                Fault::Kill
            };
            self.pair(at, until, control, begin, Fault::Start);
        }
        self.push(at, worker, Fault::WorkerLeave);
        self.push(until, worker, Fault::WorkerCrash);
    }

    /// Adds the loss of one disk, and takes away other faults of control around it.
    fn add_lost_disk(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let controls = self.size.controls;
        let at = length.mul_f64(rng.random_range(0.4..0.8));
        let near = |step: &Step| step.at + DISK_MARGIN > at && step.at < at + DISK_MARGIN;
        self.steps.retain(|step| {
            let of_control =
                step.target < controls && !is_of_worker(step.fault) && step.fault != Fault::Configure;
            !of_control || !near(step)
        });
        let target = rng.random_range(0..controls);
        let until = at + Duration::from_millis(rng.random_range(LENGTH_MS));
        // The removed faults may have left a process stopped or its connections held.
        let calm_from = at.saturating_sub(DISK_MARGIN);
        for control in 0..controls {
            self.push(calm_from, control, Fault::Resume);
            self.push(calm_from, control, Fault::Clear);
            self.push(calm_from, control, Fault::Start);
        }
        self.pair(at, until, target, Fault::KillWiped, Fault::Start);
    }
}

fn is_of_worker(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::WorkerCrash
            | Fault::WorkerRestart(_)
            | Fault::WorkerCapacity(_)
            | Fault::WorkerLeave
            | Fault::WorkerFail
            | Fault::WorkerSlow
            | Fault::WorkerHang
            | Fault::WorkerMute
            | Fault::WorkerSound
    )
}

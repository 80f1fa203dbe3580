//! Jobs, targets and faults of the simulation.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Slots of each target.
pub const SLOTS: u32 = 8;
/// Run time of each target relative to the average one.
pub const SLOWNESS: [f64; 11] = [0.6, 0.7, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.4, 1.7, 2.0];
/// Teams that submit jobs.
pub const TEAMS: usize = 10;
/// Largest number of tasks in a job.
const MAX_TASKS: f64 = 200.0;
/// Shortest and longest run time of most tasks on an average target, in seconds.
const TYPICAL_RUN_TIMES: (f64, f64) = (0.05, 1.0);
/// Shortest and longest run time of the few long tasks, in seconds.
const LONG_RUN_TIMES: (f64, f64) = (2.0, 6.0);
/// Share of long tasks.
const LONG_FRACTION: f64 = 0.01;

/// Task with its true and its declared run time.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Run time on an average target, in seconds.
    pub size: f64,
    /// Run time that the caller declares.
    pub declared: Option<Duration>,
}

/// Accuracy of the declared run times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declarations {
    /// Off by a factor of up to three, and one in ten unrelated to the task.
    Noisy,
    /// All unrelated to the task.
    Unrelated,
    /// No task declares a run time.
    Absent,
}

/// Job of a team.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time of arrival since the start, in seconds.
    pub arrival: f64,
    /// Number of the team.
    pub team: usize,
    /// Tasks of the job.
    pub tasks: Vec<Task>,
}

/// Effect of a fault on its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Tasks take this many times longer.
    Slow(f64),
    /// Tasks fail at once.
    FailAtOnce,
    /// Tasks never end.
    Hang,
    /// The target accepts no new tasks.
    Leaving,
}

/// Fault of one target between two times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Index of the target.
    pub target: usize,
    /// Start of the fault.
    pub from: f64,
    /// End of the fault.
    pub until: f64,
    /// Effect on the target.
    pub kind: FaultKind,
}

/// Load and faults of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line and in the report.
    pub name: &'static str,
    /// Load as a fraction of the capacity, from the given time in seconds on.
    pub load: Vec<(f64, f64)>,
    /// Deadline of every job.
    pub deadline: Duration,
    /// Faults during the run.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Returns the kind of a target's fault at a time in seconds, if it has one.
    pub fn fault_kind(&self, target: usize, at: f64) -> Option<FaultKind> {
        let active = |fault: &&Fault| fault.target == target && fault.from <= at && at < fault.until;
        self.faults.iter().find(active).map(|fault| fault.kind)
    }

    /// Returns the slowness of a target for a task that starts at a time in seconds, if the task then completes.
    pub fn slowness(&self, target: usize, at: f64) -> Option<f64> {
        match self.fault_kind(target, at) {
            None => Some(SLOWNESS[target]),
            Some(FaultKind::Slow(factor)) => Some(SLOWNESS[target] * factor),
            Some(_) => None,
        }
    }

    fn load_at(&self, at: f64) -> f64 {
        let current = self.load.iter().rev().find(|(from, _)| *from <= at);
        current.map_or(0.0, |(_, load)| *load)
    }
}

/// Returns the work in seconds on an average target that all targets complete per second.
pub fn capacity() -> f64 {
    SLOWNESS.iter().map(|slowness| f64::from(SLOTS) / slowness).sum()
}

/// Generates the jobs of a scenario until the given time in seconds.
pub fn jobs(scenario: &Scenario, declarations: Declarations, seconds: f64, seed: u64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mean_work = mean_log_uniform(1.0, MAX_TASKS)
        * ((1.0 - LONG_FRACTION) * mean_log_uniform(TYPICAL_RUN_TIMES.0, TYPICAL_RUN_TIMES.1)
            + LONG_FRACTION * mean_log_uniform(LONG_RUN_TIMES.0, LONG_RUN_TIMES.1));
    let full_rate = capacity() / mean_work;
    let mut jobs = Vec::new();
    let mut at = 0.0;
    loop {
        let rate = full_rate * scenario.load_at(at).max(0.01);
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= seconds {
            return jobs;
        }
        jobs.push(job(at, declarations, &mut rng));
    }
}

fn job(arrival: f64, declarations: Declarations, rng: &mut impl Rng) -> Job {
    let count = log_uniform(rng, 1.0, MAX_TASKS + 1.0).floor();
    let mut tasks = Vec::new();
    while tasks.len() < 200 && f64::from(u32::try_from(tasks.len()).unwrap_or(0)) < count {
        tasks.push(task(declarations, rng));
    }
    let team = rng.random_range(0..TEAMS);
    Job { arrival, team, tasks }
}

fn task(declarations: Declarations, rng: &mut impl Rng) -> Task {
    let (low, high) = if rng.random_bool(LONG_FRACTION) {
        LONG_RUN_TIMES
    } else {
        TYPICAL_RUN_TIMES
    };
    let size = log_uniform(rng, low, high);
    let error = log_uniform(rng, 1.0 / 3.0, 3.0);
    let unrelated = rng.random_bool(0.1) || declarations == Declarations::Unrelated;
    let declared = if unrelated {
        log_uniform(rng, TYPICAL_RUN_TIMES.0, LONG_RUN_TIMES.1)
    } else {
        size * error
    };
    Task {
        size,
        declared: (declarations != Declarations::Absent).then(|| Duration::from_secs_f64(declared)),
    }
}

fn log_uniform(rng: &mut impl Rng, low: f64, high: f64) -> f64 {
    (low.ln() + rng.random::<f64>() * (high / low).ln()).exp()
}

fn mean_log_uniform(low: f64, high: f64) -> f64 {
    (high - low) / (high / low).ln()
}

//! Value types that a scenario consists of.

use chestnutfork_standin::BehaviourChange;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Probability distribution of a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Distribution {
    /// Constant value.
    Fixed(f64),
    /// Uniform distribution between the bounds.
    Uniform {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// Log-uniform distribution: the logarithm is uniform between those of the bounds.
    LogUniform {
        /// Smallest value, above 0.
        min: f64,
        /// Largest value.
        max: f64,
    },
}

impl Distribution {
    /// Draws a sample.
    pub(crate) fn sample<R: Rng>(self, rng: &mut R) -> f64 {
        let u: f64 = rng.random();
        match self {
            Self::Fixed(value) => value,
            Self::Uniform { min, max } => min + u * (max - min),
            Self::LogUniform { min, max } => (min.ln() + u * (max / min).ln()).exp(),
        }
    }

    /// Returns the expected value.
    pub(crate) fn mean(self) -> f64 {
        match self {
            Self::Fixed(value) => value,
            Self::Uniform { min, max } => f64::midpoint(min, max),
            Self::LogUniform { min, max } if max > min => (max - min) / (max / min).ln(),
            Self::LogUniform { min, .. } => min,
        }
    }
}

/// Average arrival rate of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Rate {
    /// Jobs per second.
    JobsPerS(f64),
    /// Fraction of the capacity of the targets, which follows from their slots and speeds at the start of the run.
    Load(f64),
}

/// Arrival process of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Arrivals {
    /// Poisson process.
    Poisson(Rate),
    /// On-off Poisson process: all jobs of a period arrive within its first part, at a rate that is higher accordingly.
    Bursts {
        /// Average rate over whole periods.
        rate: Rate,
        /// Length of a period in milliseconds.
        every_ms: u64,
        /// Fraction of a period during which jobs arrive, above 0 and at most 1.
        packed_into: f64,
    },
    /// Arrivals at fixed intervals.
    Steady(Rate),
}

impl Arrivals {
    /// Returns the average rate.
    pub(crate) fn rate(self) -> Rate {
        match self {
            Self::Poisson(rate) | Self::Steady(rate) | Self::Bursts { rate, .. } => rate,
        }
    }
}

/// Tasks that run much longer than the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LongTasks {
    /// Fraction of all tasks.
    pub share: f64,
    /// Run time in milliseconds.
    pub run_ms: Distribution,
}

/// Tasks whose declared run time is far from the true one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WrongDeclarations {
    /// Fraction of all tasks.
    pub share: f64,
    /// Factor by which the declared run time is too large or too small.
    pub factor: f64,
}

/// Jobs that the caller resubmits with the same id to another entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resubmissions {
    /// Fraction of jobs that are resubmitted while they run.
    #[serde(default)]
    pub while_running: f64,
    /// Fraction of jobs that are resubmitted after they were answered.
    #[serde(default)]
    pub after_answer: f64,
    /// Delay in milliseconds after the submission or the answer.
    pub delay_ms: Distribution,
}

/// Jobs that the caller cancels.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancellations {
    /// Fraction of jobs.
    pub share: f64,
    /// Delay in milliseconds after the submission.
    pub delay_ms: Distribution,
    /// If set, cancellations are delayed to the next multiple of this time in milliseconds after the start of the run,
    /// so that many are sent at once.
    #[serde(default)]
    pub wave_every_ms: Option<u64>,
}

/// Change of a target's behaviour during the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time in milliseconds after the start of the run.
    pub at_ms: u64,
    /// Index of the target in the list of targets.
    pub target: usize,
    /// New values of the parts of the behaviour that change.
    pub change: BehaviourChange,
}

/// Group of local targets with the same parameters.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalTargetGroup {
    /// Number of targets.
    pub count: u32,
    /// Slots of each target.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Speed factor of each target.
    #[serde(default = "default_speed")]
    pub speed: f64,
    /// Largest fraction by which each target randomly lengthens a run time.
    #[serde(default)]
    pub jitter: f64,
}

fn default_quota() -> u32 {
    100_000
}

fn default_slots() -> u32 {
    8
}

fn default_speed() -> f64 {
    1.0
}

/// Processes that the command line starts for the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalProcesses {
    /// Number of entries.
    pub entries: u32,
    /// Further keys of the service in the configuration, in addition to its pool and whether it is at-most-once.
    #[serde(default)]
    pub policy: serde_json::Map<String, serde_json::Value>,
    /// Quota of the team as a number of tasks.
    #[serde(default = "default_quota")]
    pub quota: u32,
    /// Groups of targets. Each target has its own agent.
    pub targets: Vec<LocalTargetGroup>,
}

//! Parts of a scenario.

use chestnutfork_standin::BehaviourChange;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Random quantity.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Distribution {
    /// Always the same value.
    Fixed(f64),
    /// Every value between the bounds is equally likely.
    Uniform {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// Every order of magnitude between the bounds is equally likely.
    LogUniform {
        /// Smallest value, above 0.
        min: f64,
        /// Largest value.
        max: f64,
    },
}

impl Distribution {
    /// Draws a value.
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

/// How often jobs arrive.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Rate {
    /// Jobs per second.
    JobsPerS(f64),
    /// Fraction of the targets' capacity, from their slots and speeds at the start of the run.
    Load(f64),
}

/// Pattern of arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Arrivals {
    /// Independent arrivals.
    Poisson(Rate),
    /// Independent arrivals, with the whole rate of each period packed into its first part.
    Bursts {
        /// Average rate over time.
        rate: Rate,
        /// Length of a period in milliseconds.
        every_ms: u64,
        /// Part of a period during which jobs arrive, above 0 and at most 1.
        packed_into: f64,
    },
    /// Jobs at fixed intervals.
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

/// Declared run times that are far from the true ones.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WrongDeclarations {
    /// Fraction of all tasks.
    pub share: f64,
    /// Factor by which the declaration is too large or too small.
    pub factor: f64,
}

/// Jobs that the caller submits again, with the same id, to another entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resubmissions {
    /// Fraction of jobs that are resubmitted while they run.
    #[serde(default)]
    pub while_running: f64,
    /// Fraction of jobs that are resubmitted after their answer.
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
    /// If set, cancellations wait for the next multiple of this time, so that they come in waves.
    #[serde(default)]
    pub wave_every_ms: Option<u64>,
}

/// Change of a target's behaviour during the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time in milliseconds after the start of the run.
    pub at_ms: u64,
    /// Position of the target in the list of targets.
    pub target: usize,
    /// What changes.
    pub change: BehaviourChange,
}

/// Group of equal targets of a local set.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalTargetGroup {
    /// Number of targets.
    pub count: u32,
    /// Slots of each.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Speed of each.
    #[serde(default = "default_speed")]
    pub speed: f64,
    /// Jitter of each.
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

/// Set of processes that the command line starts for the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalProcesses {
    /// Number of entries.
    pub entries: u32,
    /// Keys of the service in the configuration, besides its pool and whether it is at-most-once.
    #[serde(default)]
    pub policy: serde_json::Map<String, serde_json::Value>,
    /// Quota of the team in tasks.
    #[serde(default = "default_quota")]
    pub quota: u32,
    /// Targets, with one agent each.
    pub targets: Vec<LocalTargetGroup>,
}

//! Scenario of a run: what is submitted, when, and which faults occur.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_standin::BehaviourChange;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use serde_yaml_ng::with::singleton_map_recursive;

use crate::arrivals::MAX_JOBS;
use crate::error::LoadError;

/// Longest run, so that a mistyped duration cannot load a machine for hours.
const MAX_DURATION_MS: u64 = 3_600_000;

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

    fn check(self, key: &'static str, least: f64, most: f64) -> Result<(), LoadError> {
        let (min, max) = match self {
            Self::Fixed(value) => (value, value),
            Self::Uniform { min, max } | Self::LogUniform { min, max } => (min, max),
        };
        let log = matches!(self, Self::LogUniform { .. });
        if min >= least && max <= most && min <= max && (!log || min > 0.0) {
            return Ok(());
        }
        Err(LoadError::BadKey {
            key,
            problem: format!("{min} to {max} is outside {least} to {most}, or empty"),
            remedy: "choose 0 < min <= max within the range",
        })
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
pub struct LocalTargets {
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

fn default_slots() -> u32 {
    8
}

fn default_speed() -> f64 {
    1.0
}

/// Set of processes that the command line starts for the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Local {
    /// Number of control processes.
    pub control: u32,
    /// Number of entries.
    pub entries: u32,
    /// Targets, with one agent each.
    pub targets: Vec<LocalTargets>,
}

/// Complete description of a run.
///
/// # Examples
///
/// ```
/// let text = "
/// seed: 1
/// duration_ms: 1000
/// service: desk
/// arrivals:
///   poisson:
///     jobs_per_s: 5
/// ";
/// let scenario = chestnutfork_load::Scenario::parse(text)?;
/// assert_eq!(scenario.service, "desk");
/// # Ok::<(), chestnutfork_load::LoadError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Seed of everything that is random on the caller's side.
    pub seed: u64,
    /// Time in milliseconds during which jobs arrive.
    pub duration_ms: u64,
    /// Pattern of arrivals.
    pub arrivals: Arrivals,
    /// If set, at most this many jobs arrive.
    pub max_jobs: Option<u64>,
    /// Service of all jobs.
    pub service: String,
    /// Whether the service is at-most-once by its policy.
    pub at_most_once: bool,
    /// Fraction of jobs that are marked non-idempotent.
    pub non_idempotent: f64,
    /// Number of tasks in a job.
    pub job_tasks: Distribution,
    /// Run time of a task in milliseconds at speed 1.
    pub run_ms: Distribution,
    /// Tasks that run much longer.
    pub long_tasks: Option<LongTasks>,
    /// Fraction of tasks that fail at their end.
    pub failing: f64,
    /// Declared run times that are far off.
    pub wrong_declarations: Option<WrongDeclarations>,
    /// Deadline of every job in milliseconds.
    pub deadline_ms: u64,
    /// Jobs submitted again.
    pub resubmissions: Option<Resubmissions>,
    /// Jobs cancelled.
    pub cancellations: Option<Cancellations>,
    /// Changes of targets during the run.
    pub faults: Vec<Fault>,
    /// Entries to submit to, unless the caller gives others.
    pub entries: Vec<SocketAddr>,
    /// Targets whose journals are compared, unless the caller gives others.
    pub targets: Vec<SocketAddr>,
    /// Bearer token of the team, unless the caller gives another.
    pub team_token: String,
    /// Set of processes to start for the run.
    pub local: Option<Local>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "load".to_owned(),
            seed: 1,
            duration_ms: 10_000,
            arrivals: Arrivals::Poisson(Rate::JobsPerS(1.0)),
            max_jobs: None,
            service: "main".to_owned(),
            at_most_once: true,
            non_idempotent: 0.0,
            job_tasks: Distribution::LogUniform { min: 1.0, max: 200.0 },
            run_ms: Distribution::LogUniform {
                min: 50.0,
                max: 1_000.0,
            },
            long_tasks: None,
            failing: 0.0,
            wrong_declarations: None,
            deadline_ms: 30_000,
            resubmissions: None,
            cancellations: None,
            faults: Vec::new(),
            entries: Vec::new(),
            targets: Vec::new(),
            team_token: String::new(),
            local: None,
        }
    }
}

impl Scenario {
    /// Parses and checks a scenario in YAML.
    ///
    /// # Errors
    ///
    /// Names the key that is unknown or has an unusable value, and the remedy.
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        // Enums are written as maps with one key, like everything else in the file, instead of as YAML tags.
        let document = serde_yaml_ng::Deserializer::from_str(text);
        let parsed: Result<Self, _> = singleton_map_recursive::deserialize(document);
        let scenario = parsed.map_err(|e| LoadError::Malformed {
            reason: e.to_string(),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Starts a builder with the defaults of the file format.
    #[must_use]
    pub fn builder(service: impl Into<String>) -> ScenarioBuilder {
        let scenario = Self {
            service: service.into(),
            ..Self::default()
        };
        ScenarioBuilder { scenario }
    }

    /// Returns the time during which jobs arrive.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Checks the ranges of all keys.
    ///
    /// # Errors
    ///
    /// Names the first key with an unusable value and the remedy.
    pub fn check(&self) -> Result<(), LoadError> {
        check_range("duration_ms", self.duration_ms, 1, MAX_DURATION_MS)?;
        check_range("deadline_ms", self.deadline_ms, 1, MAX_DURATION_MS)?;
        check_range("max_jobs", self.max_jobs.unwrap_or(1), 1, MAX_JOBS)?;
        self.check_arrivals()?;
        self.job_tasks.check("job_tasks", 1.0, 65_535.0)?;
        self.run_ms.check("run_ms", 0.0, 600_000.0)?;
        check_share("non_idempotent", self.non_idempotent)?;
        check_share("failing", self.failing)?;
        if let Some(long) = self.long_tasks {
            check_share("long_tasks.share", long.share)?;
            long.run_ms.check("long_tasks.run_ms", 0.0, 600_000.0)?;
        }
        if let Some(wrong) = self.wrong_declarations {
            check_share("wrong_declarations.share", wrong.share)?;
            check_positive("wrong_declarations.factor", wrong.factor)?;
        }
        self.check_caller()?;
        self.check_faults()
    }

    fn check_arrivals(&self) -> Result<(), LoadError> {
        match self.arrivals.rate() {
            Rate::JobsPerS(rate) => check_positive("arrivals.jobs_per_s", rate)?,
            Rate::Load(load) => check_positive("arrivals.load", load)?,
        }
        if let Arrivals::Bursts {
            every_ms,
            packed_into,
            ..
        } = self.arrivals
        {
            check_range("arrivals.every_ms", every_ms, 1, MAX_DURATION_MS)?;
            check_share("arrivals.packed_into", packed_into)?;
            check_positive("arrivals.packed_into", packed_into)?;
        }
        Ok(())
    }

    fn check_caller(&self) -> Result<(), LoadError> {
        if let Some(again) = self.resubmissions {
            check_share("resubmissions.while_running", again.while_running)?;
            check_share("resubmissions.after_answer", again.after_answer)?;
            again.delay_ms.check("resubmissions.delay_ms", 0.0, 600_000.0)?;
        }
        if let Some(cancel) = self.cancellations {
            check_share("cancellations.share", cancel.share)?;
            cancel.delay_ms.check("cancellations.delay_ms", 0.0, 600_000.0)?;
            let wave = cancel.wave_every_ms.unwrap_or(1);
            check_range("cancellations.wave_every_ms", wave, 1, MAX_DURATION_MS)?;
        }
        Ok(())
    }

    fn check_faults(&self) -> Result<(), LoadError> {
        for fault in &self.faults {
            check_range("faults.at_ms", fault.at_ms, 0, MAX_DURATION_MS)?;
            fault.change.check().map_err(|problem| LoadError::BadKey {
                key: "faults.change",
                problem,
                remedy: "use a value within the range",
            })?;
        }
        let Some(local) = &self.local else {
            return Ok(());
        };
        check_range("local.control", u64::from(local.control), 1, 9)?;
        check_range("local.entries", u64::from(local.entries), 1, 16)?;
        let count: u64 = local.targets.iter().map(|group| u64::from(group.count)).sum();
        check_range("local.targets", count, 1, 200)
    }
}

fn check_range(key: &'static str, value: u64, least: u64, most: u64) -> Result<(), LoadError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(LoadError::BadKey {
        key,
        problem: format!("{value} is outside {least} to {most}"),
        remedy: "choose a value within the range",
    })
}

fn check_share(key: &'static str, value: f64) -> Result<(), LoadError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(LoadError::BadKey {
        key,
        problem: format!("{value} is no fraction"),
        remedy: "choose a value from 0 to 1",
    })
}

fn check_positive(key: &'static str, value: f64) -> Result<(), LoadError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(LoadError::BadKey {
        key,
        problem: format!("{value} is not above 0"),
        remedy: "choose a finite number above 0",
    })
}

/// Builder of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioBuilder {
    scenario: Scenario,
}

/// Declares one chainable setter of the builder.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: $type) -> Self {
            self.scenario.$name = $name.into();
            self
        }
    };
}

impl ScenarioBuilder {
    setter!(
        /// Sets the name in reports.
        name: &str
    );
    setter!(
        /// Sets the seed.
        seed: u64
    );
    setter!(
        /// Sets the pattern of arrivals.
        arrivals: Arrivals
    );
    setter!(
        /// Sets the time in milliseconds during which jobs arrive.
        duration_ms: u64
    );
    setter!(
        /// Sets the largest number of jobs.
        max_jobs: u64
    );
    setter!(
        /// Sets whether the service is at-most-once by its policy.
        at_most_once: bool
    );
    setter!(
        /// Sets the number of tasks in a job.
        job_tasks: Distribution
    );
    setter!(
        /// Sets the run time of a task in milliseconds.
        run_ms: Distribution
    );
    setter!(
        /// Sets the deadline of every job in milliseconds.
        deadline_ms: u64
    );
    setter!(
        /// Sets the jobs that are submitted again.
        resubmissions: Resubmissions
    );
    setter!(
        /// Sets the jobs that are cancelled.
        cancellations: Cancellations
    );
    setter!(
        /// Sets the changes of targets during the run.
        faults: Vec<Fault>
    );

    /// Checks and returns the scenario.
    ///
    /// # Errors
    ///
    /// Names the first key with an unusable value and the remedy.
    pub fn build(self) -> Result<Scenario, LoadError> {
        self.scenario.check()?;
        Ok(self.scenario)
    }
}

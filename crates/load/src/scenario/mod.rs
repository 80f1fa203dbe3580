//! Scenario of a run: which jobs are submitted, when, and which faults are injected.

mod builder;
mod checks;
mod parts;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_yaml_ng::with::singleton_map_recursive;

use crate::error::LoadError;

pub use builder::ScenarioBuilder;
pub use parts::{
    Arrivals, Cancellations, Distribution, Fault, LocalProcesses, LocalTargetGroup, LongTasks, Rate,
    Resubmissions, WrongDeclarations,
};

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
    /// Name shown in reports.
    pub name: String,
    /// Seed of all random choices of the caller.
    pub seed: u64,
    /// Time in milliseconds during which jobs arrive.
    pub duration_ms: u64,
    /// Arrival process.
    pub arrivals: Arrivals,
    /// If set, at most this many jobs arrive.
    pub max_jobs: Option<u64>,
    /// Service that all jobs are submitted to.
    pub service: String,
    /// Whether the policy of the service is at-most-once.
    pub at_most_once: bool,
    /// Fraction of jobs that are marked non-idempotent.
    pub non_idempotent: f64,
    /// Number of tasks in a job.
    pub job_tasks: Distribution,
    /// Run time of a task in milliseconds at speed 1.
    pub run_ms: Distribution,
    /// Tasks that run much longer than the others.
    pub long_tasks: Option<LongTasks>,
    /// Fraction of tasks that fail when their run time has elapsed.
    pub failing: f64,
    /// Tasks whose declared run time is far from the true one.
    pub wrong_declarations: Option<WrongDeclarations>,
    /// Deadline of every job in milliseconds.
    pub deadline_ms: u64,
    /// Jobs that the caller resubmits.
    pub resubmissions: Option<Resubmissions>,
    /// Jobs that the caller cancels.
    pub cancellations: Option<Cancellations>,
    /// Changes of target behaviour during the run.
    pub faults: Vec<Fault>,
    /// Addresses of the entries to submit to; the command line overrides them.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the targets whose journals are compared with the answers; the command line overrides them.
    pub targets: Vec<SocketAddr>,
    /// Bearer token of the team; the command line overrides it.
    pub team_token: String,
    /// Processes to start for the run.
    pub local: Option<LocalProcesses>,
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
    /// Parses and validates a scenario in YAML.
    ///
    /// # Errors
    ///
    /// Returns the key that is unknown or whose value is invalid, with a hint on how to correct it.
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        // Represents enum variants as maps with one key instead of YAML tags, so that the file consists of plain maps.
        let document = serde_yaml_ng::Deserializer::from_str(text);
        let parsed: Result<Self, _> = singleton_map_recursive::deserialize(document);
        let scenario = parsed.map_err(|e| LoadError::InvalidScenario {
            reason: e.to_string(),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Creates a builder with the same defaults as the file format.
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
}

//! Builder for scenarios.

use super::{Arrivals, Cancellations, Distribution, Fault, Resubmissions, Scenario};
use crate::error::LoadError;

/// Builds a [`Scenario`] from defaults and checks it.
#[derive(Clone, Debug)]
pub struct ScenarioBuilder {
    pub(super) scenario: Scenario,
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
        /// Sets the name shown in reports.
        name: &str
    );
    setter!(
        /// Sets the seed of all random choices of the caller.
        seed: u64
    );
    setter!(
        /// Sets the arrival process.
        arrivals: Arrivals
    );
    setter!(
        /// Sets the time in milliseconds during which jobs arrive.
        duration_ms: u64
    );
    setter!(
        /// Sets the maximum number of jobs.
        max_jobs: u64
    );
    setter!(
        /// Sets whether the policy of the service is at-most-once.
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
        /// Sets which jobs are resubmitted.
        resubmissions: Resubmissions
    );
    setter!(
        /// Sets which jobs are cancelled.
        cancellations: Cancellations
    );
    setter!(
        /// Sets the changes of target behaviour during the run.
        faults: Vec<Fault>
    );

    /// Validates and returns the scenario.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value is invalid, with a hint on how to correct it.
    pub fn build(self) -> Result<Scenario, LoadError> {
        self.scenario.check()?;
        Ok(self.scenario)
    }
}

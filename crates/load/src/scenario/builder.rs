//! Builder of a scenario.

use super::{Arrivals, Cancellations, Distribution, Fault, Resubmissions, Scenario};
use crate::error::LoadError;

/// Builder of a scenario.
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

//! Configuration of the entry core.

use std::time::Duration;

use chestnutfork_types::FailureDomain;

/// Time for which a run continues after it was ordered to stop: a round trip, and the time that the worker takes.
const STOP_ALLOWANCE: Duration = Duration::from_millis(100);

/// Time by which a run ends before its caller can have submitted the job elsewhere.
const END_MARGIN: Duration = Duration::from_millis(20);

/// Limits, timing and location of the entry core.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerConfig {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) run_expiry: Duration,
    pub(crate) unverified_job_time: Duration,
    /// Time after a caller has left by which the runs of its job must have ended.
    pub(crate) run_end_time: Duration,
    pub(crate) stale_after: Duration,
    pub(crate) cross_domain_cost: Duration,
    pub(crate) remote_factor: f64,
    pub(crate) max_tasks: usize,
    pub(crate) max_jobs: usize,
    pub(crate) answer_retention: Duration,
    pub(crate) crash_retention: Duration,
    pub(crate) seed: u64,
    pub(crate) awaits_evacuations: bool,
    pub(crate) sharing: bool,
}

/// Builds a [`BrokerConfig`] from the defaults and overrides.
#[derive(Clone, Debug)]
pub struct BrokerConfigBuilder {
    cfg: BrokerConfig,
}

impl BrokerConfig {
    /// Maximum number of tasks of one job, unless the configuration sets another.
    pub const DEFAULT_MAX_TASKS: usize = 1_024;

    /// Returns a builder for an entry in a failure domain.
    ///
    /// `run_expiry` is the time after the last heartbeat of an agent by which all runs of this entry there have ended; it
    /// follows from the timing of the agents.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_broker::BrokerConfig;
    ///
    /// let cfg = BrokerConfig::builder("zone-a", Duration::from_millis(1_300)).max_jobs(100).build();
    /// assert!(format!("{cfg:?}").contains("zone-a"));
    /// ```
    #[must_use]
    pub fn builder(failure_domain: impl Into<FailureDomain>, run_expiry: Duration) -> BrokerConfigBuilder {
        let cfg = BrokerConfig {
            failure_domain: failure_domain.into(),
            run_expiry,
            unverified_job_time: Duration::from_millis(1_300).saturating_sub(STOP_ALLOWANCE),
            run_end_time: Duration::from_millis(1_300).saturating_sub(END_MARGIN),
            stale_after: Duration::from_millis(550),
            cross_domain_cost: Duration::from_millis(3),
            remote_factor: 1.5,
            max_tasks: Self::DEFAULT_MAX_TASKS,
            max_jobs: 4_096,
            answer_retention: Duration::from_secs(30),
            crash_retention: Duration::from_secs(30),
            seed: 0,
            awaits_evacuations: false,
            sharing: false,
        };
        BrokerConfigBuilder { cfg }
    }
}

/// Declares a chainable setter of the builder.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: $type) -> Self {
            self.cfg.$name = $name;
            self
        }
    };
}

impl BrokerConfigBuilder {
    setter!(
        /// Sets the time without a heartbeat after which an agent gets no more tasks; default 550 ms, more than two
        /// heartbeat intervals.
        stale_after: Duration
    );
    setter!(
        /// Sets the added latency of a start and its report across failure domains; default 3 ms, one round trip.
        cross_domain_cost: Duration
    );
    setter!(
        /// Sets the factor on the run time of a task that runs away from its data; default 1.5.
        remote_factor: f64
    );
    setter!(
        /// Sets the maximum number of tasks of one job; default 1,024.
        max_tasks: usize
    );
    setter!(
        /// Sets the maximum number of jobs in progress; further ones are refused. Default 4,096.
        max_jobs: usize
    );
    setter!(
        /// Sets how long answers are retained for resubmitted requests; default 30 s.
        answer_retention: Duration
    );
    setter!(
        /// Sets how long the loss of a worker counts against the tasks that it ran; default 30 s.
        crash_retention: Duration
    );
    setter!(
        /// Sets the seed for the random selection among similar workers; entries need different seeds. Default 0.
        seed: u64
    );
    setter!(
        /// Sets whether requests wait for the evacuations as they do for the first route table; default `false`.
        awaits_evacuations: bool
    );
    setter!(
        /// Sets whether placement keeps kinds of tasks apart that slow each other down; default `false`.
        sharing: bool
    );

    /// Sets the shortest time after which a caller that has lost its connection submits its job again; default 1.3 s.
    ///
    /// Jobs whose callers may have left while nothing reached this process end within it.
    #[must_use]
    pub fn resubmission_delay(mut self, resubmission_delay: Duration) -> Self {
        self.cfg.unverified_job_time = resubmission_delay.saturating_sub(STOP_ALLOWANCE);
        self.cfg.run_end_time = resubmission_delay.saturating_sub(END_MARGIN);
        self
    }

    /// Returns the configuration.
    #[must_use]
    pub fn build(self) -> BrokerConfig {
        self.cfg
    }
}

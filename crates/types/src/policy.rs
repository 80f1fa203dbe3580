//! Service policies, in the form that the decision crates use.

use std::time::Duration;

use crate::ids::PoolName;

/// Whether a service is optimised for few messages or for low latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OptimizationGoal {
    /// Fewer redundant messages: tasks are not hedged.
    Messages,
    /// Shorter response time: idempotent tasks are hedged within the retry budget.
    Latency,
}

/// Behaviour of a process whose configuration was not confirmed within the staleness bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnconfirmedPolicy {
    /// Accepts no new tasks of the service.
    Refuse,
    /// Continues with the last known configuration.
    Serve,
}

/// Rule that selects a target from those with an unused credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Placement {
    /// Uniformly random; the baseline for measurements.
    Random,
    /// Earliest expected completion, from the observed speed and health of the targets.
    Learned,
}

/// Retry policy of a service; it applies only to tasks that can be repeated safely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of attempts at one task, including the first.
    pub max_attempts: u32,
    /// Maximum number of retries and hedges as a fraction of recent starts.
    pub budget: f64,
}

/// Hedging policy of a service; it applies only to idempotent jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgePolicy {
    /// Whether tasks are hedged.
    pub enabled: bool,
    /// Multiple of the expected run time after which a second attempt starts.
    pub delay_factor: f64,
}

/// Outlier ejection policy of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Number of consecutive failures after which a target is ejected.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; it doubles with each further ejection.
    pub base_time: Duration,
    /// Maximum fraction of the pool that may be ejected at the same time.
    pub max_fraction: f64,
}

/// Limits, placement and failure handling of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Pool of targets that run the tasks of the service.
    pub pool: PoolName,
    /// Whether each task of every job may start at most once.
    pub at_most_once: bool,
    /// Optimisation goal.
    pub optimization_goal: OptimizationGoal,
    /// Maximum number of tasks in a job.
    pub max_tasks: u16,
    /// Maximum number of queued tasks at one entry.
    pub max_queue: u32,
    /// Deadline of a job that does not specify one.
    pub default_deadline: Duration,
    /// Longest deadline that a job may specify.
    pub max_deadline: Duration,
    /// Maximum number of tasks in flight from one entry.
    pub max_in_flight: u32,
    /// Behaviour while the configuration is unconfirmed.
    pub unconfirmed: UnconfirmedPolicy,
    /// Rule that selects a target.
    pub placement: Placement,
    /// Rules for repeated attempts.
    pub retry: RetryPolicy,
    /// Rules for a second attempt while the first is still running.
    pub hedge: HedgePolicy,
    /// Rules for the temporary exclusion of failing targets.
    pub ejection: EjectionPolicy,
}

impl ServicePolicy {
    /// Returns a builder whose defaults are safe for any workload: at-most-once, no hedging.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::ServicePolicy;
    ///
    /// let policy = ServicePolicy::builder("main").max_queue(100).build();
    /// assert!(policy.at_most_once);
    /// assert_eq!(policy.max_queue, 100);
    /// ```
    #[must_use]
    pub fn builder(pool: impl Into<PoolName>) -> ServicePolicyBuilder {
        ServicePolicyBuilder::new(pool.into())
    }
}

/// Builder of [`ServicePolicy`].
#[derive(Clone, Debug)]
pub struct ServicePolicyBuilder {
    policy: ServicePolicy,
}

/// Defines a setter of the builder.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: $type) -> Self {
            self.policy.$name = $name;
            self
        }
    };
}

impl ServicePolicyBuilder {
    fn new(pool: PoolName) -> Self {
        let policy = ServicePolicy {
            pool,
            at_most_once: true,
            optimization_goal: OptimizationGoal::Messages,
            max_tasks: 200,
            max_queue: 10_000,
            default_deadline: Duration::from_secs(30),
            max_deadline: Duration::from_mins(5),
            max_in_flight: 100_000,
            unconfirmed: UnconfirmedPolicy::Refuse,
            placement: Placement::Learned,
            retry: RetryPolicy {
                max_attempts: 3,
                budget: 0.1,
            },
            hedge: HedgePolicy {
                enabled: false,
                delay_factor: 3.0,
            },
            ejection: EjectionPolicy {
                consecutive_failures: 5,
                base_time: Duration::from_secs(1),
                max_fraction: 0.34,
            },
        };
        Self { policy }
    }

    setter!(
        /// Sets whether each task may start at most once.
        at_most_once: bool
    );
    setter!(
        /// Sets the optimisation goal.
        optimization_goal: OptimizationGoal
    );
    setter!(
        /// Sets the maximum number of tasks in a job.
        max_tasks: u16
    );
    setter!(
        /// Sets the maximum number of queued tasks at one entry.
        max_queue: u32
    );
    setter!(
        /// Sets the deadline of a job that does not specify one.
        default_deadline: Duration
    );
    setter!(
        /// Sets the longest deadline that a job may specify.
        max_deadline: Duration
    );
    setter!(
        /// Sets the maximum number of tasks in flight from one entry.
        max_in_flight: u32
    );
    setter!(
        /// Sets the behaviour while the configuration is unconfirmed.
        unconfirmed: UnconfirmedPolicy
    );
    setter!(
        /// Sets the rule that selects a target.
        placement: Placement
    );
    setter!(
        /// Sets the retry policy.
        retry: RetryPolicy
    );
    setter!(
        /// Sets the hedging policy.
        hedge: HedgePolicy
    );
    setter!(
        /// Sets the outlier ejection policy.
        ejection: EjectionPolicy
    );

    /// Returns the finished policy.
    #[must_use]
    pub fn build(self) -> ServicePolicy {
        self.policy
    }
}

//! Policy of a service, as the decision crates read it.

use std::time::Duration;

use crate::ids::PoolName;

/// What a service weighs more when both cannot be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OptimizationGoal {
    /// Fewer wasted messages: no hedging.
    Messages,
    /// Shorter response time: hedges idempotent tasks within the budget.
    Latency,
}

/// What a process does when its configuration is not confirmed within the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnconfirmedPolicy {
    /// Accepts no new work of the service.
    Refuse,
    /// Goes on with the last known configuration.
    Serve,
}

/// Rule that picks a target among those with a free credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Placement {
    /// Uniformly random, without learning; the baseline for measurements.
    Random,
    /// Smallest expected finish time by learned speed and health.
    Learned,
}

/// Retry rules of a service; they apply only where a repeat is safe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Largest number of attempts of one task, the first included.
    pub max_attempts: u32,
    /// Retries and hedges allowed as a fraction of recent starts.
    pub budget: f64,
}

/// Hedging rules of a service; they apply only to idempotent jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgePolicy {
    /// Whether tasks are hedged at all.
    pub enabled: bool,
    /// Multiple of the expected run time after which a second attempt starts.
    pub delay_factor: f64,
}

/// Outlier ejection rules of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Consecutive failures that eject a target.
    pub consecutive_failures: u32,
    /// First ejection time; it doubles with each repeat.
    pub base_time: Duration,
    /// Largest fraction of the pool that may be ejected at once.
    pub max_fraction: f64,
}

/// Policy of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Pool of targets that the service runs on.
    pub pool: PoolName,
    /// Whether every task of every job starts at most once.
    pub at_most_once: bool,
    /// What the service weighs more.
    pub optimization_goal: OptimizationGoal,
    /// Largest number of tasks in a job.
    pub max_tasks: u16,
    /// Largest number of tasks that wait at one entry.
    pub max_queue: u32,
    /// Deadline of a job that names none.
    pub default_deadline: Duration,
    /// Longest deadline that a job may name.
    pub max_deadline: Duration,
    /// Largest number of tasks in flight from one entry.
    pub max_in_flight: u32,
    /// Behaviour without a confirmed configuration.
    pub unconfirmed: UnconfirmedPolicy,
    /// Rule that picks a target.
    pub placement: Placement,
    /// Retry rules.
    pub retry: RetryPolicy,
    /// Hedging rules.
    pub hedge: HedgePolicy,
    /// Outlier ejection rules.
    pub ejection: EjectionPolicy,
}

impl ServicePolicy {
    /// Starts a policy with defaults that are safe for any workload: at-most-once, no hedging.
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

/// Declares one chainable setter of the builder.
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
        /// Sets whether every task starts at most once.
        at_most_once: bool
    );
    setter!(
        /// Sets what the service weighs more.
        optimization_goal: OptimizationGoal
    );
    setter!(
        /// Sets the largest number of tasks in a job.
        max_tasks: u16
    );
    setter!(
        /// Sets the largest number of tasks that wait at one entry.
        max_queue: u32
    );
    setter!(
        /// Sets the deadline of a job that names none.
        default_deadline: Duration
    );
    setter!(
        /// Sets the longest deadline that a job may name.
        max_deadline: Duration
    );
    setter!(
        /// Sets the largest number of tasks in flight from one entry.
        max_in_flight: u32
    );
    setter!(
        /// Sets the behaviour without a confirmed configuration.
        unconfirmed: UnconfirmedPolicy
    );
    setter!(
        /// Sets the rule that picks a target.
        placement: Placement
    );
    setter!(
        /// Sets the retry rules.
        retry: RetryPolicy
    );
    setter!(
        /// Sets the hedging rules.
        hedge: HedgePolicy
    );
    setter!(
        /// Sets the outlier ejection rules.
        ejection: EjectionPolicy
    );

    /// Returns the finished policy.
    #[must_use]
    pub fn build(self) -> ServicePolicy {
        self.policy
    }
}

//! Timing configuration of the agent core.

use std::time::Duration;

/// Leases, intervals and retention times of the agent core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerConfig {
    pub(crate) worker_lease: Duration,
    pub(crate) long_poll_wait: Duration,
    pub(crate) entry_lease: Duration,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) load_report_interval: Duration,
    pub(crate) retry_delay: Duration,
    pub(crate) ended_run_retention: Duration,
    pub(crate) orphan_grace_period: Duration,
    pub(crate) crash_retention: Duration,
    pub(crate) limit_returns: bool,
}

/// Builds a [`WorkerConfig`] from the defaults and overrides.
#[derive(Clone, Debug)]
pub struct WorkerConfigBuilder {
    cfg: WorkerConfig,
}

impl WorkerConfig {
    /// Returns a builder initialised with the defaults.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_worker::WorkerConfig;
    ///
    /// let cfg = WorkerConfig::builder().worker_lease(Duration::from_millis(400)).build();
    /// assert_eq!(cfg.run_expiry(), Duration::from_millis(1_108));
    /// ```
    #[must_use]
    pub fn builder() -> WorkerConfigBuilder {
        let cfg = Self {
            // The lease outlasts five unanswered calls in a row.
            worker_lease: Duration::from_millis(600),
            // A lost call delays the detection of ended runs by this time, and tasks of 60 ms have about 100 ms of slack.
            // On a busy worker a run ends sooner anyway.
            long_poll_wait: Duration::from_millis(40),
            // Together the entry lease and the worker lease stay near the 1.3 s after which a caller resends a lost
            // request.
            entry_lease: Duration::from_millis(600),
            // Three heartbeats fit into the lease. An entry with 62 agents would spend a sixth of 0.12 cores on ten
            // heartbeats a second from each.
            heartbeat_interval: Duration::from_millis(200),
            load_report_interval: Duration::from_millis(20),
            retry_delay: Duration::from_millis(40),
            ended_run_retention: Duration::from_secs(20),
            // Twice the time an agent needs to discover the entries through control.
            orphan_grace_period: Duration::from_millis(250),
            crash_retention: Duration::from_secs(30),
            limit_returns: false,
        };
        WorkerConfigBuilder { cfg }
    }

    /// Returns how long runs continue after the last call to the worker.
    #[must_use]
    pub fn worker_lease(&self) -> Duration {
        self.worker_lease
    }

    /// Returns the longest time for which a run can continue after the last heartbeat that its entry acknowledged was sent.
    ///
    /// Entries measure from the arrival of the heartbeat instead, which is later and therefore safe.
    #[must_use]
    pub fn run_expiry(&self) -> Duration {
        self.entry_lease + self.worker_lease_expiry()
    }

    /// Returns the longest time for which runs can continue after the last call to the worker.
    pub(crate) fn worker_lease_expiry(&self) -> Duration {
        lease_expiry_time(self.worker_lease)
    }
}

/// Returns the longest time for which runs can continue after a call that grants the worker a lease.
pub(crate) fn lease_expiry_time(lease: Duration) -> Duration {
    lease + lease / CLOCK_TOLERANCE_DIVISOR + TIMING_SLACK
}

/// Reciprocal of the largest fraction by which a worker's clock may be slow: 2%, rounded up to 1/40.
pub(crate) const CLOCK_TOLERANCE_DIVISOR: u32 = 40;
/// Allowance for timers that fire late and for calls in transit.
const TIMING_SLACK: Duration = Duration::from_millis(98);

/// Declares a chainable setter of the builder.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: Duration) -> Self {
            self.cfg.$name = $name;
            self
        }
    };
}

impl WorkerConfigBuilder {
    setter!(
        /// Sets how long runs continue after the last call to the worker; default 600 ms.
        worker_lease
    );
    setter!(
        /// Sets how long a lease renewal waits at the worker for a run to end; default 40 ms.
        long_poll_wait
    );
    setter!(
        /// Sets how long an entry's runs continue after the last heartbeat that it acknowledged; default 600 ms.
        entry_lease
    );
    setter!(
        /// Sets the interval of heartbeats to entries; default 200 ms.
        heartbeat_interval
    );
    setter!(
        /// Sets the minimum time between two reports of a changed load; default 20 ms.
        load_report_interval
    );
    setter!(
        /// Sets the delay before an order without effect is retried; default 40 ms.
        retry_delay
    );
    setter!(
        /// Sets how long after its start the agent lets runs of an earlier process continue that no entry has listed;
        /// default 250 ms.
        orphan_grace_period
    );
    setter!(
        /// Sets how long a loss of the worker is reported to entries that connect; default 30 s.
        crash_retention
    );
    setter!(
        /// Sets how long records of ended runs are retained; default 20 s.
        ended_run_retention
    );

    /// Sets whether a worker on which nothing has run yet is allocated to one entry while the entries connect, and the size of its
    /// last task still divides its capacity when it is empty; default false.
    #[must_use]
    pub fn limit_returns(mut self, limit_returns: bool) -> Self {
        self.cfg.limit_returns = limit_returns;
        self
    }

    /// Returns the configuration.
    #[must_use]
    pub fn build(self) -> WorkerConfig {
        self.cfg
    }
}

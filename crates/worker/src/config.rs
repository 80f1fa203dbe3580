//! Timing of the agent core.

use std::time::Duration;

/// Timing of the agent core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerConfig {
    pub(crate) worker_lease: Duration,
    pub(crate) long_poll_wait: Duration,
    pub(crate) entry_lease: Duration,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) load_report_interval: Duration,
    pub(crate) retry_delay: Duration,
    pub(crate) ended_run_retention: Duration,
    pub(crate) claim_window: Duration,
}

/// Builder of [`WorkerConfig`].
#[derive(Clone, Debug)]
pub struct WorkerConfigBuilder {
    cfg: WorkerConfig,
}

impl WorkerConfig {
    /// Starts a configuration with the defaults.
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
            // Five calls in a row may stay unanswered before the lease lapses.
            worker_lease: Duration::from_millis(600),
            // A lost call hides the ends of runs for this time, and tasks of 60 ms have about 100 ms to spare. A busy worker
            // has an end to report in less time anyway.
            long_poll_wait: Duration::from_millis(40),
            // Entry lease and worker lease together stay near the 1.3 s after which a caller sends a lost request again.
            entry_lease: Duration::from_millis(600),
            // Three heartbeats fit into the lease; an entry with 62 agents spends a sixth of 0.12 cores on ten a second each.
            heartbeat_interval: Duration::from_millis(200),
            load_report_interval: Duration::from_millis(20),
            retry_delay: Duration::from_millis(40),
            ended_run_retention: Duration::from_secs(20),
            // Twice what an agent takes to find the entries through control.
            claim_window: Duration::from_millis(250),
        };
        WorkerConfigBuilder { cfg }
    }

    /// Returns how long tasks run on after the last call to the worker.
    #[must_use]
    pub fn worker_lease(&self) -> Duration {
        self.worker_lease
    }

    /// Returns how long after a heartbeat was sent a run may go on that was ordered in answer to it, at most.
    ///
    /// An entry that counts from the arrival of the heartbeat errs on the safe side.
    #[must_use]
    pub fn run_expiry(&self) -> Duration {
        self.entry_lease + self.worker_lease_expiry()
    }

    /// Returns how long after the last call to the worker anything runs there, at most.
    pub(crate) fn worker_lease_expiry(&self) -> Duration {
        self.worker_lease + self.worker_lease / CLOCK_TOLERANCE + TIMING_SLACK
    }
}

/// Reciprocal of the largest share by which a worker's clock may be slow: 2%, rounded up to 1/40.
pub(crate) const CLOCK_TOLERANCE: u32 = 40;
/// Time for timers that fire late and calls that are on their way.
const TIMING_SLACK: Duration = Duration::from_millis(98);

/// Declares one chainable setter of the builder.
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
        /// Sets how long tasks run on after the last call to the worker; default 600 ms.
        worker_lease
    );
    setter!(
        /// Sets how long one call waits at the worker for a run to end; default 40 ms.
        long_poll_wait
    );
    setter!(
        /// Sets how long an entry's runs go on after the heartbeat that it acknowledged last; default 600 ms.
        entry_lease
    );
    setter!(
        /// Sets the interval between heartbeats to entries; default 200 ms.
        heartbeat_interval
    );
    setter!(
        /// Sets the shortest time between two reports of a changed load; default 20 ms.
        load_report_interval
    );
    setter!(
        /// Sets the delay before an order that had no effect is repeated; default 40 ms.
        retry_delay
    );
    setter!(
        /// Sets how long after its start the agent keeps runs of its predecessor for entries to claim; default 250 ms.
        claim_window
    );
    setter!(
        /// Sets how long ended runs are remembered; default 20 s.
        ended_run_retention
    );

    /// Returns the finished configuration.
    #[must_use]
    pub fn build(self) -> WorkerConfig {
        self.cfg
    }
}

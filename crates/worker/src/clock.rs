//! Bounds on the worker's monotonic clock, which may run slow.

use std::time::{Duration, Instant};

use crate::config::CLOCK_TOLERANCE_DIVISOR;

/// Longest lease that a worker accepts; it shortens a longer one.
pub(crate) const MAX_WORKER_LEASE: Duration = Duration::from_secs(1);

/// Latest reading of the worker's clock and latest lease end that was requested.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    read_at: Instant,
    value: Duration,
    latest_lease_end: Duration,
}

impl WorkerClock {
    /// Creates a clock from a reading that arrived at `read_at`.
    #[must_use]
    pub fn new(read_at: Instant, value: Duration) -> Self {
        Self {
            read_at,
            value,
            latest_lease_end: Duration::ZERO,
        }
    }

    /// Records that runs may have a lease that this process has not requested.
    pub(crate) fn assume_longest_lease(&mut self, now: Instant) {
        let until = self.estimate(now) + MAX_WORKER_LEASE;
        self.latest_lease_end = self.latest_lease_end.max(until);
    }

    /// Returns the latest reading.
    #[must_use]
    pub fn reading(&self) -> Duration {
        self.value
    }

    /// Records a reading; a delayed one that is older than the latest is ignored.
    pub fn observe(&mut self, read_at: Instant, value: Duration) {
        if value >= self.value {
            self.read_at = read_at;
            self.value = value;
        }
    }

    /// Estimates the current reading; the estimate never exceeds that of an exact clock, because delivery took time.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> Duration {
        self.value + now.saturating_duration_since(self.read_at)
    }

    /// Returns the end of a lease that begins now, and records it as requested.
    ///
    /// The lease is shorter if it could otherwise last beyond `limit`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_worker::WorkerClock;
    ///
    /// let now = Instant::now();
    /// let mut clock = WorkerClock::new(now, Duration::from_secs(5));
    /// let limit = now + Duration::from_millis(205);
    /// let until = clock.grant(now, Duration::from_millis(400), Some(limit));
    /// assert_eq!(until, Duration::from_millis(5_200));
    /// assert!(clock.latest_expiry() <= limit);
    /// ```
    pub fn grant(&mut self, now: Instant, lease: Duration, limit: Option<Instant>) -> Duration {
        let mut until = self.estimate(now) + lease;
        if let Some(limit) = limit {
            let left = limit.saturating_duration_since(self.read_at);
            let tolerance = left / (CLOCK_TOLERANCE_DIVISOR + 1);
            until = until.min(self.value + left.saturating_sub(tolerance));
        }
        self.latest_lease_end = self.latest_lease_end.max(until);
        until
    }

    /// Returns the time by which every requested lease has expired, no matter how late its order is carried out.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_worker::WorkerClock;
    ///
    /// let now = Instant::now();
    /// let mut clock = WorkerClock::new(now, Duration::from_secs(5));
    /// clock.grant(now, Duration::from_millis(400), None);
    /// assert_eq!(clock.latest_expiry(), now + Duration::from_millis(410));
    /// ```
    #[must_use]
    pub fn latest_expiry(&self) -> Instant {
        let left = self.latest_lease_end.saturating_sub(self.value);
        self.read_at + left + left / CLOCK_TOLERANCE_DIVISOR
    }
}

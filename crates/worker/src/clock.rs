//! Bounds on the worker's steady clock, which may run slow.

use std::time::{Duration, Instant};

use crate::config::CLOCK_TOLERANCE;

/// Latest reading of the worker's clock and the latest end of its lease that was asked for.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    read_at: Instant,
    value: Duration,
    granted: Duration,
}

impl WorkerClock {
    /// Starts from a reading that arrived at the given time.
    #[must_use]
    pub fn new(read_at: Instant, value: Duration) -> Self {
        Self {
            read_at,
            value,
            granted: Duration::ZERO,
        }
    }

    /// Takes in a later reading; an older one that was delayed is ignored.
    pub fn observe(&mut self, read_at: Instant, value: Duration) {
        if value >= self.value {
            self.read_at = read_at;
            self.value = value;
        }
    }

    /// Returns about what the clock shows, at most what it would show if it were exact.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> Duration {
        self.value + now.saturating_duration_since(self.read_at)
    }

    /// Returns the end of a lease that begins now, and notes that it was asked for.
    pub fn grant(&mut self, now: Instant, lease: Duration) -> Duration {
        let until = self.estimate(now) + lease;
        self.granted = self.granted.max(until);
        until
    }

    /// Returns the time by which every lease that was asked for has ended, however late its order is carried out.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_worker::WorkerClock;
    ///
    /// let now = Instant::now();
    /// let mut clock = WorkerClock::new(now, Duration::from_secs(5));
    /// clock.grant(now, Duration::from_millis(400));
    /// assert_eq!(clock.latest_expiry(), now + Duration::from_millis(410));
    /// ```
    #[must_use]
    pub fn latest_expiry(&self) -> Instant {
        let left = self.granted.saturating_sub(self.value);
        self.read_at + left + left / CLOCK_TOLERANCE
    }
}

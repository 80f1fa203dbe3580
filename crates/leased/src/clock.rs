//! Clock for leases, which goes on while the machine is suspended.

use std::time::{Duration, Instant};

use chestnutfork_net::now;
use rustix::time::{ClockId, clock_gettime};

/// Clock whose readings include the time that the machine was suspended.
///
/// The steady clock stands still meanwhile, so a lease measured by it would seem alive long after its end.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    started_at: Instant,
    boot_time_at_start: Duration,
}

impl Default for LeaseClock {
    fn default() -> Self {
        Self::new()
    }
}

impl LeaseClock {
    /// Starts at the present time.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_leased::LeaseClock;
    ///
    /// let clock = LeaseClock::new();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            started_at: now(),
            boot_time_at_start: time_since_boot(),
        }
    }

    /// Returns the present reading.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.started_at + time_since_boot().saturating_sub(self.boot_time_at_start)
    }

    /// Returns when a timer on the steady clock must fire for a reading of this clock.
    #[must_use]
    pub fn monotonic_deadline(&self, at: Instant) -> Instant {
        now() + at.saturating_duration_since(self.now())
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

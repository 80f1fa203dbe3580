//! Clock for leases that includes the time during which the machine is suspended.

use std::time::{Duration, Instant};

use chestnutfork_net::now;
use rustix::time::{ClockId, clock_gettime};

/// Clock based on the time since boot, including suspension of the machine.
///
/// The monotonic clock stops during suspension, so a lease measured by it would appear valid after it has expired.
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
    /// Creates a clock that starts at the current time.
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

    /// Returns the current reading.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.started_at + time_since_boot().saturating_sub(self.boot_time_at_start)
    }

    /// Converts a reading of this clock to the time on the monotonic clock at which a timer must fire.
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

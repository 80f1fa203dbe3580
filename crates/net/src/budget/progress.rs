//! Progress of an unfinished request, by which the budget compares connections.
//!
//! Plain data without a clock. Every byte that arrives is worth the time that it takes at a minimum rate, so a request
//! that is slower than that falls behind, however evenly its bytes arrive.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Rate in bytes per second below which a request falls behind. The largest body of a caller takes 4 s at this rate,
/// several times the deadline of any request, and a configuration would exceed the time limit on bodies.
const MIN_RATE: u32 = 64 * 1024;

/// Progress of one request, or of the wait for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    started_at: Instant,
    latest_at: Instant,
    /// Time that the received bytes take at [`MIN_RATE`].
    earned: Duration,
}

impl Progress {
    pub(crate) fn start(now: Instant) -> Self {
        Self {
            started_at: now,
            latest_at: now,
            earned: Duration::ZERO,
        }
    }

    pub(crate) fn started_at(self) -> Instant {
        self.started_at
    }

    /// Records bytes that have arrived.
    pub(crate) fn receive(&mut self, bytes: usize, now: Instant) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.earned += Duration::from_secs(1) * bytes / MIN_RATE;
        self.latest_at = now;
    }

    /// Returns the time up to which the request is on schedule: its latest progress, or an earlier time if it is slower
    /// than the minimum rate.
    pub(crate) fn on_schedule_until(self) -> Instant {
        self.latest_at.min(self.started_at + self.earned)
    }
}

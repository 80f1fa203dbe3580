//! Run times of a service, normalised to a target of average speed.

use std::time::Duration;

/// Smallest weight of one observation of the usual run time.
const MIN_WEIGHT: f64 = 0.01;
/// Initial mean absolute deviation of the logarithm, a factor of two.
const INITIAL_SPREAD: f64 = 0.7;
/// Smallest spread, so that a service with constant run times does not take every jitter for a change.
const MIN_SPREAD: f64 = 0.1;
/// Largest deviation that one observation counts with, in spreads.
const CLIP: f64 = 3.0;
/// Shortest run time that counts, in seconds; it keeps the logarithm finite.
const SHORTEST: f64 = 1e-6;

/// Learned run times of one service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RunTimes {
    /// Robust centre of the logarithm.
    centre: f64,
    /// Mean absolute deviation of the logarithm.
    spread: f64,
    /// Mean in seconds.
    mean: f64,
    count: u32,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            centre: 0.0,
            spread: INITIAL_SPREAD,
            mean: 0.0,
            count: 0,
        }
    }
}

impl RunTimes {
    /// Learns a run time on a target of the given logarithmic slowness and returns the deviation that concerns it.
    pub(crate) fn observe(&mut self, run_time: Duration, slowness_log: f64) -> f64 {
        let seconds = run_time.as_secs_f64().max(SHORTEST);
        let normal = seconds.ln() - slowness_log;
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        if self.count == 1 {
            self.centre = normal;
        }
        let deviation = normal - self.centre;
        let clipped = deviation.clamp(-CLIP * self.spread, CLIP * self.spread);
        self.centre += weight * clipped;
        let spread = self.spread + MIN_WEIGHT * (deviation.abs().min(CLIP) - self.spread);
        self.spread = spread.max(MIN_SPREAD);
        self.mean += weight * (normal.exp() - self.mean);
        deviation
    }

    /// Returns the mean absolute deviation of the logarithm.
    pub(crate) fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns the mean run time in seconds on a target of average speed, if any was observed.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }
}

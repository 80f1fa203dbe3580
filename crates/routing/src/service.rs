//! Run times of a service, normalised to a target of average speed.

use std::time::Duration;

/// Smallest weight of one observation of the usual run time.
const MIN_WEIGHT: f64 = 0.01;
/// Observations of similar declarations that count as much as those of the whole service.
const PRIOR: f64 = 10.0;
/// Initial mean absolute deviation of the logarithm, a factor of two.
const INITIAL_SPREAD: f64 = 0.7;
/// Smallest spread, so that a service with constant run times does not take every jitter for a change.
const MIN_SPREAD: f64 = 0.1;
/// Largest deviation that one observation counts with, in spreads.
const CLIP: f64 = 3.0;
/// Shortest run time that counts, in seconds; it keeps the logarithm finite.
const SHORTEST: f64 = 1e-6;
/// Declared run times are similar within half an octave.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Number of buckets of declared run times, from 1 ms to about 18 hours.
const BUCKETS: usize = 52;

/// Learned run times of some class of tasks.
#[derive(Clone, Debug, Default, PartialEq)]
struct Estimate {
    /// Robust centre of the logarithm.
    centre: f64,
    /// Mean in seconds.
    mean: f64,
    count: u32,
}

impl Estimate {
    fn observe(&mut self, normal: f64, limit: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        if self.count == 1 {
            self.centre = normal;
        }
        self.centre += weight * (normal - self.centre).clamp(-limit, limit);
        self.mean += weight * (normal.exp() - self.mean);
    }

    /// Returns how much this estimate counts against that of the whole service.
    fn trust(&self) -> f64 {
        let count = f64::from(self.count);
        count / (count + PRIOR)
    }
}

/// Learned run times of one service.
///
/// Declared run times are often far off, so they are not used as such: the run times of tasks with similar
/// declarations are learned. If declarations say nothing, all classes come to the same estimate.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RunTimes {
    all: Estimate,
    declared: Vec<Estimate>,
    /// Mean absolute deviation of the logarithm from its estimate.
    spread: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            all: Estimate::default(),
            declared: vec![Estimate::default(); BUCKETS],
            spread: INITIAL_SPREAD,
        }
    }
}

impl RunTimes {
    /// Learns a run time on a target of the given logarithmic slowness and returns the deviation that concerns it.
    pub(crate) fn observe(
        &mut self,
        run_time: Duration,
        declared: Option<Duration>,
        slowness_log: f64,
    ) -> f64 {
        let seconds = run_time.as_secs_f64().max(SHORTEST);
        let normal = seconds.ln() - slowness_log;
        let limit = CLIP * self.spread;
        self.all.observe(normal, limit);
        if let Some(declared) = declared {
            self.declared[bucket(declared)].observe(normal, limit);
        }
        let deviation = normal - self.centre(declared);
        let spread = self.spread + MIN_WEIGHT * (deviation.abs().min(CLIP) - self.spread);
        self.spread = spread.max(MIN_SPREAD);
        deviation
    }

    /// Returns by how much a logarithmic run time exceeds its estimate, without learning it.
    pub(crate) fn excess(&self, run_time: Duration, declared: Option<Duration>, slowness_log: f64) -> f64 {
        let seconds = run_time.as_secs_f64().max(SHORTEST);
        seconds.ln() - slowness_log - self.centre(declared)
    }

    /// Returns the mean absolute deviation of the logarithm.
    pub(crate) fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns the mean run time in seconds on a target of average speed, if any was observed.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.all.count > 0).then_some(self.all.mean)
    }

    /// Returns the mean run time in seconds of tasks with a similar declaration.
    pub(crate) fn expected(&self, declared: Option<Duration>) -> Option<f64> {
        let all = self.mean()?;
        let similar = declared.map(|declared| &self.declared[bucket(declared)]);
        Some(similar.map_or(all, |similar| all + similar.trust() * (similar.mean - all)))
    }

    fn centre(&self, declared: Option<Duration>) -> f64 {
        let all = self.all.centre;
        let similar = declared.map(|declared| &self.declared[bucket(declared)]);
        similar.map_or(all, |similar| all + similar.trust() * (similar.centre - all))
    }
}

/// Returns the bucket of a declared run time.
fn bucket(declared: Duration) -> usize {
    let millis = (declared.as_secs_f64() * 1e3).max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is not negative and far below the largest integer"
    )]
    let bucket = (millis.log2() * BUCKETS_PER_OCTAVE) as usize;
    bucket.min(BUCKETS - 1)
}

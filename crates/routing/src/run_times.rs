//! Learned run times of a service, normalised to a target of average speed.

use std::time::Duration;

/// Minimum weight of one observation in the moving averages.
const MIN_WEIGHT: f64 = 0.01;
/// Number of observations at which the estimate of a bucket has the same weight as that of the service.
const PRIOR_OBSERVATIONS: f64 = 10.0;
/// Initial mean absolute deviation of the logarithm, about a factor of two.
const INITIAL_SPREAD: f64 = 0.7;
/// Lower bound of the spread, so that jitter is not detected as a change of speed where run times are nearly constant.
const MIN_SPREAD: f64 = 0.1;
/// Largest deviation of one observation, in multiples of the spread; larger ones are clipped.
const MAX_DEVIATION: f64 = 3.0;
/// Lower bound of a run time in seconds, which makes its logarithm finite.
const MIN_RUN_TIME: f64 = 1e-6;
/// Buckets per doubling of the declared run time; declarations in the same bucket count as similar.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Number of buckets of declared run times, from 1 ms to about 18 hours.
const BUCKETS: usize = 52;

/// Estimate of the run times of one class of tasks.
#[derive(Clone, Debug, Default, PartialEq)]
struct Estimate {
    /// Robust moving average of the logarithm; deviations are clipped.
    centre: f64,
    /// Moving average in seconds.
    mean: f64,
    count: u32,
}

impl Estimate {
    fn observe(&mut self, log_run_time: f64, max_deviation: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        if self.count == 1 {
            self.centre = log_run_time;
        }
        self.centre += weight * (log_run_time - self.centre).clamp(-max_deviation, max_deviation);
        self.mean += weight * (log_run_time.exp() - self.mean);
    }

    /// Returns the weight of this estimate relative to that of the service, from 0 to 1.
    fn credibility(&self) -> f64 {
        let count = f64::from(self.count);
        count / (count + PRIOR_OBSERVATIONS)
    }
}

/// Learned run times of one service.
///
/// Declared run times are often far off, so a declaration is not used as an estimate: it selects a bucket, and the run
/// times of the tasks in that bucket are learned. If declarations are uninformative, all buckets converge to the same
/// estimate.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RunTimes {
    overall: Estimate,
    by_declaration: Vec<Estimate>,
    /// Mean absolute deviation of the logarithm from its estimate.
    spread: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            overall: Estimate::default(),
            by_declaration: vec![Estimate::default(); BUCKETS],
            spread: INITIAL_SPREAD,
        }
    }
}

impl RunTimes {
    /// Records a run time on a target of the given logarithmic slowness, and returns its deviation from the estimate.
    pub(crate) fn observe(
        &mut self,
        run_time: Duration,
        declared: Option<Duration>,
        log_slowness: f64,
    ) -> f64 {
        let seconds = run_time.as_secs_f64().max(MIN_RUN_TIME);
        let log_run_time = seconds.ln() - log_slowness;
        let max_deviation = MAX_DEVIATION * self.spread;
        self.overall.observe(log_run_time, max_deviation);
        if let Some(declared) = declared {
            self.by_declaration[bucket(declared)].observe(log_run_time, max_deviation);
        }
        let deviation = log_run_time - self.centre(declared);
        let spread = self.spread + MIN_WEIGHT * (deviation.abs().min(MAX_DEVIATION) - self.spread);
        self.spread = spread.max(MIN_SPREAD);
        deviation
    }

    /// Returns by how much a logarithmic run time exceeds its estimate, without recording it.
    pub(crate) fn excess(&self, run_time: Duration, declared: Option<Duration>, log_slowness: f64) -> f64 {
        let seconds = run_time.as_secs_f64().max(MIN_RUN_TIME);
        seconds.ln() - log_slowness - self.centre(declared)
    }

    pub(crate) fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns the mean run time in seconds on a target of average speed, if any was observed.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.overall.count > 0).then_some(self.overall.mean)
    }

    /// Returns the mean run time in seconds of tasks with a similar declaration.
    pub(crate) fn expected(&self, declared: Option<Duration>) -> Option<f64> {
        let overall = self.mean()?;
        let similar = declared.map(|declared| &self.by_declaration[bucket(declared)]);
        Some(similar.map_or(overall, |similar| {
            overall + similar.credibility() * (similar.mean - overall)
        }))
    }

    fn centre(&self, declared: Option<Duration>) -> f64 {
        let overall = self.overall.centre;
        let similar = declared.map(|declared| &self.by_declaration[bucket(declared)]);
        similar.map_or(overall, |similar| {
            overall + similar.credibility() * (similar.centre - overall)
        })
    }
}

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

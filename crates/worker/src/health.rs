//! Speed and failure rate of the worker, derived from its runs.

use std::time::{Duration, Instant};

/// Weight of the latest run in the moving averages, which then cover about ten runs.
const EWMA_WEIGHT: f64 = 0.1;
/// Time constant of the failure rate's decay, after which it has fallen to about a third. Without decay a worker that
/// entries avoid would never be used again.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(2);
/// Lower bound on declared run times; below it the ratio to the observed run time is meaningless.
const MIN_DECLARED_RUN_TIME: Duration = Duration::from_millis(5);
/// Factor on the ratio of a run in progress, because declared run times are often far too short.
const UNFINISHED_DISCOUNT: f64 = 0.5;
/// Minimum number of runs in progress for their median to be used.
const MIN_SAMPLES: usize = 3;

/// Moving averages over the runs of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Moving average of the logarithm of observed over declared run time.
    log_run_time_ratio: Option<f64>,
    failure_rate: f64,
    failure_rate_at: Option<Instant>,
}

impl Health {
    pub(crate) fn record_completion(&mut self, now: Instant, run_time: Duration, declared: Duration) {
        let log_ratio = run_time_ratio(run_time, declared).ln();
        let mean = self
            .log_run_time_ratio
            .map_or(log_ratio, |mean| mean + EWMA_WEIGHT * (log_ratio - mean));
        self.log_run_time_ratio = Some(mean);
        self.failure_rate = self.failure_rate(now) * (1.0 - EWMA_WEIGHT);
        self.failure_rate_at = Some(now);
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate(now) * (1.0 - 2.0 * EWMA_WEIGHT) + 2.0 * EWMA_WEIGHT;
        self.failure_rate_at = Some(now);
    }

    /// Returns observed over declared run time in thousandths, or zero before the first observation.
    ///
    /// Runs in progress count as soon as they last longer than ended runs did, so that a worker that slows down or hangs
    /// is detected before any run ends there.
    pub(crate) fn run_time_permille(&self, in_progress: &mut [f64]) -> u32 {
        let ended = self.log_run_time_ratio.map_or(0.0, f64::exp);
        in_progress.sort_by(f64::total_cmp);
        let median = in_progress.get(in_progress.len() / 2).copied().unwrap_or(0.0);
        let running = if in_progress.len() < MIN_SAMPLES {
            0.0
        } else {
            median * UNFINISHED_DISCOUNT
        };
        let known = if self.log_run_time_ratio.is_none() && running < 1.0 {
            0.0
        } else {
            ended.max(running)
        };
        permille(known)
    }

    pub(crate) fn failure_permille(&self, now: Instant) -> u32 {
        permille(self.failure_rate(now))
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let age = self
            .failure_rate_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.failure_rate * (-age.as_secs_f64() / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Returns the ratio of observed to declared run time.
pub(crate) fn run_time_ratio(run_time: Duration, declared: Duration) -> f64 {
    run_time.max(Duration::from_millis(1)).as_secs_f64() / declared.max(MIN_DECLARED_RUN_TIME).as_secs_f64()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the target type"
)]
fn permille(value: f64) -> u32 {
    (value * 1_000.0).clamp(0.0, f64::from(u32::MAX)) as u32
}

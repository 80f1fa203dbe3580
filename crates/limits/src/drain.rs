//! Drain rate of a queue, measured while tasks are queued.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay of the measurement.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Weight of the estimate from slots and run times relative to the measurement, as a time of backlog.
const PRIOR_WEIGHT: Duration = Duration::from_millis(500);

/// Measured rate of starts during a backlog.
///
/// This entry cannot use the slots that other entries use, and only the measurement shows how many those are.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DrainRate {
    starts: f64,
    /// Time of backlog in seconds during which `starts` were counted.
    backlog_time: f64,
    last_start: Option<Instant>,
    /// Start of the current backlog, if tasks are queued.
    backlog_since: Option<Instant>,
}

impl DrainRate {
    /// Records a start, and whether tasks are still queued after it.
    pub(crate) fn on_start(&mut self, now: Instant, backlog: bool) {
        let (starts, backlog_time) = self.decayed(now);
        // Starts at the beginning of a backlog use slots that were idle before, and are not counted.
        let is_counted = self.backlog_since.is_some_and(|since| now > since);
        self.starts = starts + if is_counted { 1.0 } else { 0.0 };
        self.backlog_time = backlog_time;
        self.last_start = Some(now);
        self.backlog_since = backlog.then(|| self.backlog_since.unwrap_or(now));
    }

    /// Returns the expected starts per second; `prior` is the estimate without a measurement.
    pub(crate) fn rate(&self, now: Instant, prior: f64) -> f64 {
        let (starts, backlog_time) = self.decayed(now);
        let weight = PRIOR_WEIGHT.as_secs_f64();
        (starts + prior * weight) / (backlog_time + weight)
    }

    /// Returns the starts and the time of backlog, decayed until `now`.
    fn decayed(&self, now: Instant) -> (f64, f64) {
        let elapsed = self.last_start.map_or(Duration::ZERO, |last_start| {
            now.saturating_duration_since(last_start)
        });
        let elapsed = elapsed.as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        let backlog = if self.backlog_since.is_some() {
            elapsed
        } else {
            0.0
        };
        (self.starts * decay, self.backlog_time * decay + backlog)
    }
}

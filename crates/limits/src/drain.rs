//! Rate at which a queue drains, measured while tasks wait.

use std::time::{Duration, Instant};

/// Time over which the rate is measured.
const MEMORY: Duration = Duration::from_secs(2);
/// Time for which the estimate from slots and run times counts against the measurement.
const PRIOR: Duration = Duration::from_millis(500);

/// Measured rate of starts during a backlog.
///
/// Slots that other entries use are no help to this one, and only the measurement shows how many those are.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DrainRate {
    starts: f64,
    /// Time of backlog in seconds that `starts` belongs to.
    time: f64,
    last: Option<Instant>,
    /// Since when tasks wait, if they do.
    backlog_since: Option<Instant>,
}

impl DrainRate {
    /// Records a start, and whether tasks still wait after it.
    pub(crate) fn on_start(&mut self, now: Instant, waiting: bool) {
        let (starts, time) = self.by(now);
        // The starts that begin a backlog use slots that were idle before.
        let counts = self.backlog_since.is_some_and(|since| now > since);
        self.starts = starts + if counts { 1.0 } else { 0.0 };
        self.time = time;
        self.last = Some(now);
        self.backlog_since = waiting.then(|| self.backlog_since.unwrap_or(now));
    }

    /// Returns the starts per second to expect; `prior` is the estimate without a measurement.
    pub(crate) fn rate(&self, now: Instant, prior: f64) -> f64 {
        let (starts, time) = self.by(now);
        let weight = PRIOR.as_secs_f64();
        (starts + prior * weight) / (time + weight)
    }

    /// Returns starts and time of backlog, decayed until `now`.
    fn by(&self, now: Instant) -> (f64, f64) {
        let gap = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let gap = gap.as_secs_f64();
        let decay = (-gap / MEMORY.as_secs_f64()).exp();
        let backlog = if self.backlog_since.is_some() { gap } else { 0.0 };
        (self.starts * decay, self.time * decay + backlog)
    }
}

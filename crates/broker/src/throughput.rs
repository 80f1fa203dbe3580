//! Work that this entry has completed recently, as a measure of its part of the workers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Period over which completed work is summed.
const WINDOW: Duration = Duration::from_secs(1);

/// Work completed within the last [`WINDOW`], in declared core-seconds times 1,000.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
    completed: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Throughput {
    pub(crate) fn record(&mut self, now: Instant, work: f64) {
        self.completed.push_back((now, work));
        self.sum += work;
        self.remove_expired(now);
    }

    /// Returns the work completed a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let expired = self.completed.iter().take_while(|(at, _)| now >= *at + WINDOW);
        let expired: f64 = expired.map(|(_, work)| work).sum();
        (self.sum - expired).max(0.0) / WINDOW.as_secs_f64()
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((_, work)) = self.completed.pop_front_if(|(at, _)| now >= *at + WINDOW) {
            self.sum -= work;
        }
    }
}

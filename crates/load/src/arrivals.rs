//! Arrival processes of jobs.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::number::len_to_f64;
use crate::scenario::Arrivals;

/// Maximum number of jobs in a run. It keeps a mistyped rate from exhausting the memory.
pub(crate) const MAX_JOBS: u64 = 1_000_000;

/// Draws the arrival times of a run and appends them to `times` in ascending order.
pub(crate) fn draw_times<R: Rng>(
    arrivals: Arrivals,
    jobs_per_s: f64,
    duration: Duration,
    max_jobs: u64,
    rng: &mut R,
    times: &mut Vec<Duration>,
) {
    let end = duration.as_secs_f64();
    let limit = usize::try_from(max_jobs.min(MAX_JOBS)).unwrap_or(usize::MAX);
    let mut active = 0.0;
    while times.len() < limit {
        let at = match arrivals {
            Arrivals::Steady(_) => len_to_f64(times.len()) / jobs_per_s,
            Arrivals::Poisson(_) => {
                active += exponential_interval(jobs_per_s, rng);
                active
            }
            Arrivals::Bursts {
                every_ms,
                packed_into,
                ..
            } => {
                active += exponential_interval(jobs_per_s / packed_into, rng);
                let period = Duration::from_millis(every_ms).as_secs_f64();
                active_to_run_time(active, period, packed_into)
            }
        };
        if at >= end {
            return;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Draws an exponentially distributed interval in seconds.
fn exponential_interval<R: Rng>(rate_per_s: f64, rng: &mut R) -> f64 {
    let u: f64 = rng.random();
    -(1.0 - u).ln() / rate_per_s
}

/// Converts the time that counts only the active first part of each period to the time since the start of the run.
fn active_to_run_time(active: f64, period: f64, packed_into: f64) -> f64 {
    let active_part = period * packed_into;
    let periods = (active / active_part).floor();
    periods * period + (active - periods * active_part)
}

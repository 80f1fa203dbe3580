//! Arrival times of jobs.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::number::length;
use crate::scenario::Arrivals;

/// Largest number of jobs in a run, so that a mistyped rate cannot exhaust memory.
pub(crate) const MAX_JOBS: u64 = 1_000_000;

/// Appends the arrival times of a run, in order.
pub(crate) fn draw<R: Rng>(
    arrivals: Arrivals,
    jobs_per_s: f64,
    duration: Duration,
    max_jobs: u64,
    rng: &mut R,
    times: &mut Vec<Duration>,
) {
    let end = duration.as_secs_f64();
    let most = usize::try_from(max_jobs.min(MAX_JOBS)).unwrap_or(usize::MAX);
    let mut busy = 0.0;
    while times.len() < most {
        let at = match arrivals {
            Arrivals::Steady(_) => length(times.len()) / jobs_per_s,
            Arrivals::Poisson(_) => {
                busy += gap(jobs_per_s, rng);
                busy
            }
            Arrivals::Bursts {
                every_ms,
                packed_into,
                ..
            } => {
                busy += gap(jobs_per_s / packed_into, rng);
                let period = Duration::from_millis(every_ms).as_secs_f64();
                unpack(busy, period, packed_into)
            }
        };
        if at >= end {
            return;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Draws an exponential gap.
fn gap<R: Rng>(per_s: f64, rng: &mut R) -> f64 {
    let u: f64 = rng.random();
    -(1.0 - u).ln() / per_s
}

/// Maps time within the busy parts of periods to time in the run.
fn unpack(busy: f64, period: f64, packed_into: f64) -> f64 {
    let part = period * packed_into;
    let periods = (busy / part).floor();
    periods * period + (busy - periods * part)
}

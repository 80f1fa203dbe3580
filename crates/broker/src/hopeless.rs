//! Waiting jobs that can no longer meet their latency objective, judged by the work that is served before them.

use std::time::{Duration, Instant};

/// Waiting job of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingJob {
    /// Declared work of its waiting tasks, in core-seconds times 1,000.
    pub(crate) work: f64,
    /// Shortest time from the start of its tasks to its end.
    pub(crate) run_time: Duration,
    pub(crate) objective_at: Instant,
    /// Whether nothing of it was ever ordered, so that it can be refused.
    pub(crate) is_refusable: bool,
}

/// Returns the positions of the jobs to refuse, given all waiting jobs in the order in which they are served and the rate at
/// which their work is completed.
///
/// A job counts as hopeless if the work ahead of it takes longer than its objective allows. The work of a refused job is not
/// ahead of the others.
pub(crate) fn hopeless_jobs(now: Instant, rate: f64, jobs: &[WaitingJob]) -> Vec<usize> {
    let mut ahead = 0.0;
    let mut hopeless = Vec::new();
    for (position, job) in jobs.iter().enumerate() {
        let wait = if rate > 0.0 {
            (ahead / rate).min(MAX_WAIT)
        } else {
            0.0
        };
        let end = now + Duration::from_secs_f64(wait) + job.run_time;
        if job.is_refusable && end > job.objective_at {
            hopeless.push(position);
        } else {
            ahead += job.work;
        }
    }
    hopeless
}

/// Longest wait that is estimated, in seconds; no objective is that far away.
const MAX_WAIT: f64 = 60.0;

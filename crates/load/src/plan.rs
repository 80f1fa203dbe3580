//! Plan of a run: all jobs are drawn from the seed before the run starts, so that a seed determines them.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::arrivals;
use crate::number::{from_millis, round_to_u64, to_millis};
use crate::scenario::{Rate, Scenario};

/// Task of a planned job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedTask {
    /// Run time in milliseconds at speed 1.
    pub run_ms: f64,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    /// Whether the task fails when its run time has elapsed.
    pub fails: bool,
}

/// Job of a plan, with its resubmissions and cancellation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedJob {
    /// Time of the first submission, since the start of the run.
    pub at: Duration,
    /// Tasks in order.
    pub tasks: Vec<PlannedTask>,
    /// Whether the request is marked non-idempotent.
    pub non_idempotent: bool,
    /// Delay after the first submission at which the job is resubmitted, even if it is still running.
    pub resubmit_while_running: Option<Duration>,
    /// Delay after the reply at which the job is resubmitted.
    pub resubmit_after_answer: Option<Duration>,
    /// Delay after the first submission at which the job is cancelled.
    pub cancel_after: Option<Duration>,
}

/// Returns the arrival rate of the scenario, given the capacity of the targets.
///
/// The capacity is the sum of slots times speed, which is the run time at speed 1, in seconds, that the targets execute
/// per second.
pub(crate) fn jobs_per_s(scenario: &Scenario, capacity: f64) -> f64 {
    match scenario.arrivals.rate() {
        Rate::JobsPerS(rate) => rate,
        Rate::Load(load) => load * capacity / mean_job_run_time_s(scenario),
    }
}

/// Returns the mean of the total run time of a job, in seconds at speed 1.
fn mean_job_run_time_s(scenario: &Scenario) -> f64 {
    let regular_ms = scenario.run_ms.mean();
    let run_ms = match scenario.long_tasks {
        Some(long) => regular_ms * (1.0 - long.share) + long.run_ms.mean() * long.share,
        None => regular_ms,
    };
    scenario.job_tasks.mean() * run_ms.max(0.001) / 1_000.0
}

/// Draws all jobs of a run in order of arrival.
pub(crate) fn draw_jobs(scenario: &Scenario, jobs_per_s: f64) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let max_jobs = scenario.max_jobs.unwrap_or(arrivals::MAX_JOBS);
    let mut times = Vec::new();
    arrivals::draw_times(
        scenario.arrivals,
        jobs_per_s,
        scenario.duration(),
        max_jobs,
        &mut rng,
        &mut times,
    );
    times
        .into_iter()
        .map(|at| draw_job(scenario, at, &mut rng))
        .collect()
}

fn draw_job<R: Rng>(scenario: &Scenario, at: Duration, rng: &mut R) -> PlannedJob {
    let size = round_to_u64(scenario.job_tasks.sample(rng)).max(1);
    let tasks = (0..size).map(|_| draw_task(scenario, rng)).collect();
    let resubmissions = scenario.resubmissions;
    let resubmit_while_running = resubmissions.and_then(|resubmissions| {
        sample_delay(
            resubmissions.while_running,
            resubmissions.delay_ms.sample(rng),
            rng,
        )
    });
    let resubmit_after_answer = resubmissions.and_then(|resubmissions| {
        sample_delay(
            resubmissions.after_answer,
            resubmissions.delay_ms.sample(rng),
            rng,
        )
    });
    PlannedJob {
        at,
        tasks,
        non_idempotent: rng.random::<f64>() < scenario.non_idempotent,
        resubmit_while_running,
        resubmit_after_answer,
        cancel_after: draw_cancellation(scenario, at, rng),
    }
}

fn draw_task<R: Rng>(scenario: &Scenario, rng: &mut R) -> PlannedTask {
    let long = scenario
        .long_tasks
        .filter(|long| rng.random::<f64>() < long.share);
    let run_ms = long.map_or(scenario.run_ms, |long| long.run_ms).sample(rng);
    let mut declared = run_ms;
    if let Some(wrong) = scenario.wrong_declarations
        && rng.random::<f64>() < wrong.share
    {
        let too_large = rng.random::<bool>();
        declared = if too_large {
            run_ms * wrong.factor
        } else {
            run_ms / wrong.factor
        };
    }
    PlannedTask {
        run_ms,
        declared_ms: round_to_u64(declared),
        fails: rng.random::<f64>() < scenario.failing,
    }
}

fn draw_cancellation<R: Rng>(scenario: &Scenario, at: Duration, rng: &mut R) -> Option<Duration> {
    let cancellations = scenario.cancellations?;
    let delay = sample_delay(cancellations.share, cancellations.delay_ms.sample(rng), rng)?;
    let Some(wave) = cancellations.wave_every_ms else {
        return Some(delay);
    };
    let wave = to_millis(Duration::from_millis(wave));
    let earliest = to_millis(at + delay);
    let next = from_millis((earliest / wave).ceil() * wave);
    Some(next.saturating_sub(at))
}

/// Returns the delay with probability `share`.
fn sample_delay<R: Rng>(share: f64, delay_ms: f64, rng: &mut R) -> Option<Duration> {
    (rng.random::<f64>() < share).then(|| from_millis(delay_ms))
}

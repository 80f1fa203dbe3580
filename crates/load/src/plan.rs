//! Plan of a run: every job, drawn from the seed before the run starts.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::arrivals;
use crate::number::{count, from_millis, to_millis};
use crate::scenario::{Rate, Scenario};

/// One task of a planned job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedTask {
    /// Run time in milliseconds at speed 1.
    pub run_ms: f64,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    /// Whether the task fails at its end.
    pub fails: bool,
}

/// One planned job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedJob {
    /// Time of the submission after the start of the run.
    pub at: Duration,
    /// Tasks in order.
    pub tasks: Vec<PlannedTask>,
    /// Whether the request is marked non-idempotent.
    pub non_idempotent: bool,
    /// Delay after which the job is submitted again while it runs.
    pub again_running: Option<Duration>,
    /// Delay after the answer at which the job is submitted again.
    pub again_answered: Option<Duration>,
    /// Delay after the submission at which the job is cancelled.
    pub cancel: Option<Duration>,
}

/// Returns the arrival rate that the scenario asks for, given the capacity of the targets.
///
/// The capacity is the sum of slots times speed: the seconds of run time at speed 1 that the targets work off in a
/// second.
pub(crate) fn jobs_per_s(scenario: &Scenario, capacity: f64) -> f64 {
    match scenario.arrivals.rate() {
        Rate::JobsPerS(rate) => rate,
        Rate::Load(load) => load * capacity / mean_work(scenario),
    }
}

/// Returns the mean run time of a whole job in seconds at speed 1.
fn mean_work(scenario: &Scenario) -> f64 {
    let plain = scenario.run_ms.mean();
    let run_ms = match scenario.long_tasks {
        Some(long) => plain * (1.0 - long.share) + long.run_ms.mean() * long.share,
        None => plain,
    };
    scenario.job_tasks.mean() * run_ms.max(0.001) / 1_000.0
}

/// Draws all jobs of a run in order of arrival.
pub(crate) fn draw(scenario: &Scenario, jobs_per_s: f64) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let most = scenario.max_jobs.unwrap_or(arrivals::MAX_JOBS);
    let mut times = Vec::new();
    arrivals::draw(
        scenario.arrivals,
        jobs_per_s,
        scenario.duration(),
        most,
        &mut rng,
        &mut times,
    );
    times
        .into_iter()
        .map(|at| draw_job(scenario, at, &mut rng))
        .collect()
}

fn draw_job<R: Rng>(scenario: &Scenario, at: Duration, rng: &mut R) -> PlannedJob {
    let size = count(scenario.job_tasks.sample(rng)).max(1);
    let tasks = (0..size).map(|_| draw_task(scenario, rng)).collect();
    let again = scenario.resubmissions;
    let again_running = again.and_then(|again| chance(again.while_running, again.delay_ms.sample(rng), rng));
    let again_answered = again.and_then(|again| chance(again.after_answer, again.delay_ms.sample(rng), rng));
    PlannedJob {
        at,
        tasks,
        non_idempotent: rng.random::<f64>() < scenario.non_idempotent,
        again_running,
        again_answered,
        cancel: draw_cancel(scenario, at, rng),
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
        declared_ms: count(declared),
        fails: rng.random::<f64>() < scenario.failing,
    }
}

fn draw_cancel<R: Rng>(scenario: &Scenario, at: Duration, rng: &mut R) -> Option<Duration> {
    let cancel = scenario.cancellations?;
    let delay = chance(cancel.share, cancel.delay_ms.sample(rng), rng)?;
    let Some(wave) = cancel.wave_every_ms else {
        return Some(delay);
    };
    let wave = to_millis(Duration::from_millis(wave));
    let wanted = to_millis(at + delay);
    let next = from_millis((wanted / wave).ceil() * wave);
    Some(next.saturating_sub(at))
}

fn chance<R: Rng>(share: f64, delay_ms: f64, rng: &mut R) -> Option<Duration> {
    (rng.random::<f64>() < share).then(|| from_millis(delay_ms))
}

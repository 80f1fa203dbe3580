//! Jobs of the callers, and the reference of a central queue that knows all run times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use chestnutfork_types::JobId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::scenario::Scenario;
use super::{CALL_DELAY, LINK_DELAY};

/// Kind of job: number of tasks, run time of each in milliseconds, and share of all jobs.
pub const KINDS: [(u16, u32, f64); 3] = [(8, 60, 0.244), (4, 900, 0.044), (2, 200, 0.712)];

/// Job as submitted.
#[derive(Clone, Debug)]
pub struct Job {
    pub kind: usize,
    pub submitted_at: Instant,
    pub run_times: Vec<Duration>,
}

/// Returns the time from the submission of a job to its latency objective.
pub fn objective(kind: usize) -> Duration {
    Duration::from_millis(u64::from(KINDS[kind].1)).mul_f64(1.6) + Duration::from_millis(60)
}

/// Draws jobs that use a share of all places on average; actual run times differ from the declared ones by up to a fifth.
pub fn draw_jobs(rng: &mut ChaCha8Rng, begin: Instant, scenario: &Scenario) -> BTreeMap<JobId, Job> {
    let work =
        |(tasks, millis, share): (u16, u32, f64)| f64::from(tasks) * f64::from(millis) / 1_000.0 * share;
    let mean_work: f64 = KINDS.into_iter().map(work).sum();
    let rate = scenario.load * f64::from(scenario.places()) / mean_work;
    let mut jobs = BTreeMap::new();
    let mut at = Duration::ZERO;
    let mut id = 0;
    while at < scenario.length {
        at += Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln() / rate);
        let drawn: f64 = rng.random();
        let kind = usize::from(drawn > KINDS[0].2) + usize::from(drawn > KINDS[0].2 + KINDS[1].2);
        let (tasks, millis, _) = KINDS[kind];
        let declared = Duration::from_millis(u64::from(millis));
        let run_times = (0..tasks).map(|_| declared.mul_f64(rng.random_range(0.8..1.2)));
        id += 1;
        let job = Job {
            kind,
            submitted_at: begin + at,
            run_times: run_times.collect(),
        };
        jobs.insert(id, job);
    }
    jobs
}

/// Returns the waits for the first start under a central queue in the order of arrival.
pub fn central_waits(jobs: &BTreeMap<JobId, Job>, places: u16) -> Vec<Duration> {
    let begin = jobs.values().next().expect("a job").submitted_at;
    let mut places: BinaryHeap<Reverse<Instant>> = (0..places).map(|_| Reverse(begin)).collect();
    let mut waits: Vec<Duration> = Vec::new();
    for job in jobs.values() {
        let mut first = None;
        for &run_time in &job.run_times {
            let Reverse(free_at) = places.pop().expect("a place");
            let start = free_at.max(job.submitted_at);
            first.get_or_insert(start);
            places.push(Reverse(start + run_time));
        }
        let started = first.expect("a job has tasks") + LINK_DELAY + CALL_DELAY;
        waits.push(started - job.submitted_at);
    }
    waits.sort_unstable();
    waits
}

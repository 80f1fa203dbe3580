//! Ideal schedule: a central queue without delay that knows every run time and every defect.

use crate::workload::{Job, SLOTS, SLOWNESS, Scenario};

/// Returns the response time of each job in seconds under greedy list scheduling.
///
/// Jobs are taken in order of arrival, the longest task of a job first, and each task gets the slot where it ends first.
pub fn response_times(jobs: &[&Job], scenario: &Scenario) -> Vec<f64> {
    let slots = usize::try_from(SLOTS).expect("the number of slots is small");
    let mut free_at = vec![vec![0.0_f64; slots]; SLOWNESS.len()];
    jobs.iter()
        .map(|job| schedule(job, scenario, &mut free_at) - job.arrival)
        .collect()
}

/// Places all tasks of a job and returns when the last one ends.
fn schedule(job: &Job, scenario: &Scenario, free_at: &mut [Vec<f64>]) -> f64 {
    let mut sizes: Vec<f64> = job.tasks.iter().map(|task| task.size).collect();
    sizes.sort_by(|a, b| b.total_cmp(a));
    let mut last = job.arrival;
    for size in sizes {
        let mut best: Option<(f64, usize, usize)> = None;
        for (target, slots) in free_at.iter().enumerate() {
            for (slot, &free) in slots.iter().enumerate() {
                let start = free.max(job.arrival);
                let Some(slowness) = scenario.slowness(target, start) else {
                    continue;
                };
                let end = start + size * slowness;
                if best.is_none_or(|(least, ..)| end < least) {
                    best = Some((end, target, slot));
                }
            }
        }
        let (end, target, slot) = best.expect("some target is always sound");
        free_at[target][slot] = end;
        last = last.max(end);
    }
    last
}

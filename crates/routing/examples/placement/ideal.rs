//! Ideal schedules: a central queue without delay and with full knowledge of run times and faults.

use crate::workload::{Job, SLOTS, SLOWNESS, Scenario};

/// Target speeds that an ideal schedule assumes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Speeds {
    /// Every target has average speed; the sum of the capacities is the same.
    Average,
    /// Every target has its true speed.
    True,
}

/// Returns the response time of each job in seconds under greedy list scheduling.
///
/// Jobs are scheduled in order of arrival, the longest task of a job first, each task in the slot where it ends first.
/// `sizes` are the run times of each job's tasks on an average target.
pub fn response_times(jobs: &[&Job], sizes: &[Vec<f64>], scenario: &Scenario, speeds: Speeds) -> Vec<f64> {
    let slots = usize::try_from(SLOTS).expect("the number of slots is small");
    let mut free_at = vec![vec![0.0_f64; slots]; SLOWNESS.len()];
    let each = jobs.iter().zip(sizes);
    each.map(|(job, sizes)| schedule(job.arrival, sizes, scenario, speeds, &mut free_at) - job.arrival)
        .collect()
}

/// Places all tasks of a job and returns when the last one ends.
fn schedule(
    arrival: f64,
    sizes: &[f64],
    scenario: &Scenario,
    speeds: Speeds,
    free_at: &mut [Vec<f64>],
) -> f64 {
    let mut sizes = sizes.to_vec();
    sizes.sort_by(|a, b| b.total_cmp(a));
    let mut last = arrival;
    for size in sizes {
        let mut best: Option<(f64, usize, usize)> = None;
        for (target, slots) in free_at.iter().enumerate() {
            let (slot, &free) = slots
                .iter()
                .enumerate()
                .min_by(|(_, a), (_, b)| a.total_cmp(b))
                .expect("a target has slots");
            let start = free.max(arrival);
            let Some(slowness) = slowness(target, start, scenario, speeds) else {
                continue;
            };
            let end = start + size * slowness;
            if best.is_none_or(|(least, ..)| end < least) {
                best = Some((end, target, slot));
            }
        }
        let (end, target, slot) = best.expect("at least one target is always healthy");
        free_at[target][slot] = end;
        last = last.max(end);
    }
    last
}

fn slowness(target: usize, at: f64, scenario: &Scenario, speeds: Speeds) -> Option<f64> {
    let slowness = scenario.slowness(target, at)?;
    match speeds {
        Speeds::Average => Some(slowness / SLOWNESS[target]),
        Speeds::True => Some(slowness),
    }
}

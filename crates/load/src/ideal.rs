//! Ideal schedule: a central queue without delay that knows the true run times and speeds.

use std::cmp::Ordering;

use crate::number::figure;
use crate::scenario::Fault;
use chestnutfork_standin::{Journal, Mode};

/// Target as the ideal schedule sees it; times are in seconds after the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct IdealTarget {
    /// Time at which each slot becomes free.
    free: Vec<f64>,
    /// Speed from each time on; speed 0 starts no tasks.
    speeds: Vec<(f64, f64)>,
}

impl IdealTarget {
    /// Creates the target at `position` from its journal at the start of the run and the faults of the scenario.
    pub fn new(position: usize, journal: &Journal, faults: &[Fault]) -> Self {
        let mut speed = journal.speed;
        let mut useful = true;
        let mut speeds = vec![(0.0, speed)];
        let mut own: Vec<&Fault> = faults.iter().filter(|fault| fault.target == position).collect();
        own.sort_by_key(|fault| fault.at_ms);
        for fault in own {
            speed = fault.change.speed.unwrap_or(speed);
            if let Some(mode) = fault.change.mode {
                useful = mode == Mode::Normal;
            }
            if let Some(leaving) = fault.change.leaving {
                useful = !leaving;
            }
            speeds.push((figure(fault.at_ms) / 1_000.0, if useful { speed } else { 0.0 }));
        }
        let slots = usize::try_from(journal.slots).unwrap_or_default();
        Self {
            free: vec![0.0; slots],
            speeds,
        }
    }

    /// Returns the slot on which a task that arrives at `at` ends earliest, and that end.
    fn offer(&self, at: f64, work: f64) -> Option<(usize, f64)> {
        let slot = (0..self.free.len()).min_by(|&a, &b| order(self.free[a], self.free[b]))?;
        let earliest = self.free[slot].max(at);
        let (start, speed) = self.usable_from(earliest)?;
        Some((slot, start + work / speed))
    }

    /// Returns the first time from `earliest` on at which tasks can start, and the speed at that time.
    fn usable_from(&self, earliest: f64) -> Option<(f64, f64)> {
        let current = self.speeds.iter().rposition(|&(from, _)| from <= earliest)?;
        let (_, speed) = self.speeds[current];
        if speed > 0.0 {
            return Some((earliest, speed));
        }
        let later = self.speeds[current + 1..].iter();
        later.copied().find(|&(_, speed)| speed > 0.0)
    }
}

/// Returns the response time in seconds of every job; a job without tasks has none.
///
/// Jobs are `(arrival, run times at speed 1)` in order of arrival, all in seconds. Each task goes to the slot on which
/// it ends earliest, given the tasks placed before it.
pub(crate) fn replay(targets: &mut [IdealTarget], jobs: &[(f64, Vec<f64>)]) -> Vec<Option<f64>> {
    let mut responses = Vec::with_capacity(jobs.len());
    for (at, tasks) in jobs {
        let mut last: Option<f64> = None;
        for &work in tasks {
            let Some(end) = place(targets, *at, work) else {
                continue;
            };
            last = Some(last.map_or(end, |last| last.max(end)));
        }
        responses.push(last.map(|end| end - at));
    }
    responses
}

fn place(targets: &mut [IdealTarget], at: f64, work: f64) -> Option<f64> {
    let offers = targets.iter().enumerate();
    let offers = offers.filter_map(|(position, target)| {
        let (slot, end) = target.offer(at, work)?;
        Some((position, slot, end))
    });
    let (position, slot, end) = offers.min_by(|a, b| order(a.2, b.2))?;
    targets[position].free[slot] = end;
    Some(end)
}

fn order(a: f64, b: f64) -> Ordering {
    a.total_cmp(&b)
}

//! Ideal schedule: a central queue without delay that knows the true run times and speeds.

use std::cmp::Ordering;
use std::time::Duration;

use crate::number::figure;
use crate::scenario::Fault;
use chestnutfork_standin::{Journal, Mode};

/// Target as the ideal schedule sees it; times are in seconds after the start of the run.
#[derive(Clone, Debug)]
struct IdealTarget {
    /// Time at which each slot becomes free.
    free: Vec<f64>,
    /// Speed from each time on; speed 0 starts no tasks.
    speeds: Vec<(f64, f64)>,
}

impl IdealTarget {
    /// Creates the target at `position` from its journal at the start of the run and the faults of the scenario.
    fn new(position: usize, journal: &Journal, faults: &[Fault]) -> Self {
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

/// Job in an ideal schedule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdealJob {
    /// Arrival after the start of the run.
    pub at: Duration,
    /// Run times of the tasks at speed 1.
    pub run_times: Vec<Duration>,
}

/// Returns the response time of every job in the ideal schedule; a job that cannot run has none.
///
/// The jobs are in order of arrival. Each task goes to the slot on which it ends earliest, given the tasks placed before
/// it. Slots and speeds come from the journals at the start of the run; a target takes no tasks while a fault makes it
/// useless.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutfork_load::{IdealJob, ideal_response_times};
///
/// let job = IdealJob { at: Duration::ZERO, run_times: vec![Duration::from_secs(1)] };
/// assert_eq!(ideal_response_times(&[], &[], &[job]), [None]);
/// ```
#[must_use]
pub fn ideal_response_times(
    targets: &[Journal],
    faults: &[Fault],
    jobs: &[IdealJob],
) -> Vec<Option<Duration>> {
    let targets = targets.iter().enumerate();
    let targets = targets.map(|(position, journal)| IdealTarget::new(position, journal, faults));
    let mut targets: Vec<IdealTarget> = targets.collect();
    let responses = jobs.iter().map(|job| {
        let at = job.at.as_secs_f64();
        let mut last: Option<f64> = None;
        for run_time in &job.run_times {
            let end = place(&mut targets, at, run_time.as_secs_f64())?;
            last = Some(last.map_or(end, |last| last.max(end)));
        }
        Duration::try_from_secs_f64(last? - at).ok()
    });
    responses.collect()
}

/// Returns the targets with the average speed of all slots, so that the total capacity stays the same.
///
/// A schedule over them depends neither on the policy nor on which target a task meets.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_load::average_targets(&[]).is_empty());
/// ```
#[must_use]
pub fn average_targets(targets: &[Journal]) -> Vec<Journal> {
    let slots: f64 = targets.iter().map(|target| f64::from(target.slots)).sum();
    let capacity: f64 = targets
        .iter()
        .map(|target| f64::from(target.slots) * target.speed)
        .sum();
    let average = |target: &Journal| Journal {
        speed: capacity / slots,
        ..target.clone()
    };
    targets.iter().map(average).collect()
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

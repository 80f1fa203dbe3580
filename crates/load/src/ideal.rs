//! Ideal schedule: greedy earliest-finish placement by a central queue without delay, given the true run times and
//! speeds.

use std::cmp::Ordering;
use std::time::Duration;

use crate::number::count_to_f64;
use crate::scenario::Fault;
use chestnutfork_standin::{Journal, Mode};

/// State of a target in the ideal schedule. Times are in seconds since the start of the run.
#[derive(Clone, Debug)]
struct IdealTarget {
    /// Time at which each slot becomes free.
    free_at: Vec<f64>,
    /// Start times and speeds of the intervals of constant speed. No task starts in an interval with speed 0.
    speeds: Vec<(f64, f64)>,
}

impl IdealTarget {
    /// Creates the state of the target at `position` from its journal at the start of the run and the faults of the
    /// scenario.
    fn new(position: usize, journal: &Journal, faults: &[Fault]) -> Self {
        let mut speed = journal.speed;
        let mut available = true;
        let mut speeds = vec![(0.0, speed)];
        let mut target_faults: Vec<&Fault> = faults.iter().filter(|fault| fault.target == position).collect();
        target_faults.sort_by_key(|fault| fault.at_ms);
        for fault in target_faults {
            speed = fault.change.speed.unwrap_or(speed);
            if let Some(mode) = fault.change.mode {
                available = mode == Mode::Normal;
            }
            if let Some(leaving) = fault.change.leaving {
                available = !leaving;
            }
            speeds.push((
                count_to_f64(fault.at_ms) / 1_000.0,
                if available { speed } else { 0.0 },
            ));
        }
        let slots = usize::try_from(journal.slots).unwrap_or_default();
        Self {
            free_at: vec![0.0; slots],
            speeds,
        }
    }

    /// Returns the slot on which a task that arrives at `at` finishes earliest, and its finish time.
    fn earliest_finish(&self, at: f64, work: f64) -> Option<(usize, f64)> {
        let slot =
            (0..self.free_at.len()).min_by(|&a, &b| compare_times(self.free_at[a], self.free_at[b]))?;
        let earliest = self.free_at[slot].max(at);
        let (start, speed) = self.next_start(earliest)?;
        Some((slot, start + work / speed))
    }

    /// Returns the first time not before `earliest` at which a task can start, and the speed at that time.
    fn next_start(&self, earliest: f64) -> Option<(f64, f64)> {
        let current = self.speeds.iter().rposition(|&(from, _)| from <= earliest)?;
        let (_, speed) = self.speeds[current];
        if speed > 0.0 {
            return Some((earliest, speed));
        }
        let later = self.speeds[current + 1..].iter();
        later.copied().find(|&(_, speed)| speed > 0.0)
    }
}

/// Job to place in an ideal schedule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdealJob {
    /// Arrival time since the start of the run.
    pub at: Duration,
    /// Run times of the tasks at speed 1.
    pub run_times: Vec<Duration>,
}

/// Returns the response time of every job in the ideal schedule, or `None` for a job that cannot run.
///
/// `jobs` must be in order of arrival. Each task is placed on the slot where it finishes earliest, given the tasks
/// placed before it. Slots and speeds come from the journals at the start of the run. A target receives no tasks while
/// a fault sets its mode to another than normal, or makes it leave.
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

/// Returns the targets with their speeds replaced by the average over all slots, which preserves the total capacity.
///
/// The response times of a schedule on these targets depend neither on the placement policy nor on the target that a
/// task is placed on.
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
    let candidates = targets.iter().enumerate();
    let candidates = candidates.filter_map(|(position, target)| {
        let (slot, end) = target.earliest_finish(at, work)?;
        Some((position, slot, end))
    });
    let (position, slot, end) = candidates.min_by(|a, b| compare_times(a.2, b.2))?;
    targets[position].free_at[slot] = end;
    Some(end)
}

fn compare_times(a: f64, b: f64) -> Ordering {
    a.total_cmp(&b)
}

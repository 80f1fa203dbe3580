//! Bounds on starts: of tasks that have crashed workers, and on workers whose capacity changes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chestnutfork_types::TaskKey;

use crate::seen::WorkerIncarnation;

/// Time after a reduction of a worker's capacity in which starts may still count on the former one.
const CAPACITY_BOUND: Duration = Duration::from_millis(4_500);

/// Crashes after which a task counts as one that crashes its workers.
const CRASH_LIMIT: u64 = 3;
/// Further starts of such a task that are too many.
const START_LIMIT: u64 = 3;

/// Crashes by each task, and its starts since it reached the limit.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    tasks: HashMap<TaskKey, Crashing>,
}

#[derive(Debug, Default)]
struct Crashing {
    crashes: u64,
    later_starts: u64,
}

impl Crashes {
    /// Records a crash by a task and returns how many there have been.
    pub(crate) fn record(&mut self, task: TaskKey) -> u64 {
        let crashing = self.tasks.entry(task).or_default();
        crashing.crashes += 1;
        crashing.crashes
    }

    /// Records a start and reports whether it is one too many.
    pub(crate) fn is_start_excessive(&mut self, task: TaskKey) -> bool {
        let Some(crashing) = self.tasks.get_mut(&task) else {
            return false;
        };
        crashing.later_starts += u64::from(crashing.crashes >= CRASH_LIMIT);
        crashing.later_starts >= START_LIMIT
    }
}

/// Capacity of each worker over time, and the runs in progress of each incarnation.
#[derive(Debug, Default)]
pub(crate) struct Capacities {
    /// Changes in the order of time, for each position of a worker.
    changes: HashMap<usize, Vec<(Instant, usize)>>,
    runs: HashMap<WorkerIncarnation, usize>,
}

impl Capacities {
    /// Records the capacity that a worker has from now on.
    pub(crate) fn change(&mut self, worker: usize, at: Instant, slots: usize) {
        self.changes.entry(worker).or_default().push((at, slots));
    }

    /// Records a start and returns by how much it exceeds what the worker's capacity has allowed.
    pub(crate) fn start(&mut self, worker: WorkerIncarnation, at: Instant) -> usize {
        let runs = self.runs.entry(worker).or_default();
        *runs += 1;
        let runs = *runs;
        runs.saturating_sub(self.allowed(worker.0, at))
    }

    /// Records the end of a run.
    pub(crate) fn end(&mut self, worker: WorkerIncarnation) {
        if let Some(runs) = self.runs.get_mut(&worker) {
            *runs = runs.saturating_sub(1);
        }
    }

    /// Returns the highest capacity within the bound; a worker that has told none is not bounded.
    fn allowed(&self, worker: usize, at: Instant) -> usize {
        let changes = self.changes.get(&worker).map_or(&[][..], Vec::as_slice);
        let outdated = |&(since, _): &(Instant, usize)| at > since + CAPACITY_BOUND;
        // The last change before the bound was in force when it began.
        let first = changes.partition_point(outdated).saturating_sub(1);
        let slots = changes[first..].iter().map(|&(_, slots)| slots);
        slots.max().unwrap_or(usize::MAX)
    }
}

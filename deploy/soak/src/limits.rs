//! Record of workers that crashed by a task, and the check on how often such a task is started again.

use std::collections::HashMap;

use chestnutfork_types::TaskKey;

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

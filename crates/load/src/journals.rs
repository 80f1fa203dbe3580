//! Comparison of answers with the journals of the targets.

use std::collections::HashMap;

use chestnutfork_standin::{Journal, JournalEntry, RunOutcome};
use chestnutfork_types::TaskIndex;
use uuid::Uuid;

/// Time after which a leaving target must receive no new work, in microseconds.
const LEAVING_BOUND_US: u64 = 3_000_000;

/// What the targets saw of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskRecord {
    /// Number of starts.
    pub starts: u64,
    /// Whether a start completed.
    pub completed: bool,
}

/// What all targets saw of the jobs of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    tasks: HashMap<(Uuid, TaskIndex), TaskRecord>,
    /// Number of starts.
    pub starts: u64,
    /// Number of dispatches that targets refused.
    pub refused: u64,
    /// Number of starts at a target more than 3 s after it began to leave.
    pub after_leaving: u64,
    /// Number of journal entries that targets dropped.
    pub dropped: u64,
    /// Times of all starts in microseconds since the Unix epoch, in no order.
    pub start_times_us: Vec<u64>,
}

impl Ledger {
    /// Collects what the journals say about the jobs for which `ours` is true.
    pub fn new(journals: &[Journal], ours: impl Fn(&Uuid) -> bool) -> Self {
        let mut ledger = Self::default();
        for journal in journals {
            ledger.dropped += journal.dropped;
            for entry in &journal.entries {
                if ours(&entry.job) {
                    ledger.add(journal, entry);
                }
            }
        }
        ledger
    }

    /// Returns what the targets saw of a task.
    pub fn task(&self, job: Uuid, task: usize) -> TaskRecord {
        let record = TaskIndex::try_from(task)
            .ok()
            .and_then(|task| self.tasks.get(&(job, task)));
        record.copied().unwrap_or_default()
    }

    fn add(&mut self, journal: &Journal, entry: &JournalEntry) {
        if !entry.started() {
            self.refused += 1;
            return;
        }
        self.starts += 1;
        self.start_times_us.push(entry.at_us);
        let bound = journal.leaving_since_us.map(|since| since + LEAVING_BOUND_US);
        if bound.is_some_and(|bound| entry.at_us > bound) {
            self.after_leaving += 1;
        }
        let record = self.tasks.entry((entry.job, entry.task)).or_default();
        record.starts += 1;
        record.completed |= entry.outcome == Some(RunOutcome::Completed);
    }
}

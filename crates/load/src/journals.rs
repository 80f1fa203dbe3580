//! Summary of the targets' journals, for comparison with the answers.

use std::collections::HashMap;

use chestnutfork_standin::{Journal, JournalEntry, RunOutcome};
use chestnutfork_types::TaskIndex;
use uuid::Uuid;

/// Time in microseconds after which a leaving target must no longer receive tasks.
const LEAVING_LIMIT_US: u64 = 3_000_000;

/// Starts of one task according to the journals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskRecord {
    /// Number of starts.
    pub starts: u64,
    /// Whether at least one start completed.
    pub completed: bool,
}

/// Summary of all journals, restricted to the jobs of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct JournalSummary {
    tasks: HashMap<(Uuid, TaskIndex), TaskRecord>,
    /// Number of starts.
    pub starts: u64,
    /// Number of dispatches that targets refused.
    pub refused_dispatches: u64,
    /// Number of starts at a target more than 3 s after it began to leave.
    pub starts_after_leaving: u64,
    /// Number of journal entries that targets dropped because their journal was full.
    pub dropped_entries: u64,
    /// Times of all starts in microseconds since the Unix epoch, unsorted.
    pub start_times_us: Vec<u64>,
}

impl JournalSummary {
    /// Summarizes the entries of the jobs for which `is_own_job` returns true.
    pub fn new(journals: &[Journal], is_own_job: impl Fn(&Uuid) -> bool) -> Self {
        let mut summary = Self::default();
        for journal in journals {
            summary.dropped_entries += journal.dropped;
            for entry in &journal.entries {
                if is_own_job(&entry.job) {
                    summary.add(journal, entry);
                }
            }
        }
        summary
    }

    /// Returns the record of a task, which is empty if no target started it.
    pub fn task(&self, job: Uuid, task: usize) -> TaskRecord {
        let record = TaskIndex::try_from(task)
            .ok()
            .and_then(|task| self.tasks.get(&(job, task)));
        record.copied().unwrap_or_default()
    }

    fn add(&mut self, journal: &Journal, entry: &JournalEntry) {
        if !entry.started() {
            self.refused_dispatches += 1;
            return;
        }
        self.starts += 1;
        self.start_times_us.push(entry.at_us);
        let limit = journal.leaving_since_us.map(|since| since + LEAVING_LIMIT_US);
        if limit.is_some_and(|limit| entry.at_us > limit) {
            self.starts_after_leaving += 1;
        }
        let record = self.tasks.entry((entry.job, entry.task)).or_default();
        record.starts += 1;
        record.completed |= entry.outcome == Some(RunOutcome::Completed);
    }
}

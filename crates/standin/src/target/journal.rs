//! Journal of a target: every start, end and refusal, the independent record of what ran.

use chestnutfork_types::{CreditId, TaskIndex};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Largest number of entries that a journal keeps; later ones are only counted.
const MAX_ENTRIES: usize = 2_000_000;

/// How a run ended, or why it did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task ran to its end.
    Completed,
    /// The task started and failed.
    Failed,
    /// The task started and was stopped on request.
    Stopped,
    /// The task did not start: no free slot, or told to stop before.
    Refused,
}

/// One dispatch as the target saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Job of the task.
    pub job: Uuid,
    /// Index of the task.
    pub task: TaskIndex,
    /// Credit that the dispatch named.
    pub credit: CreditId,
    /// Time of arrival in microseconds since the Unix epoch.
    pub at_us: u64,
    /// End of the run in microseconds since the Unix epoch, absent while it runs.
    pub end_us: Option<u64>,
    /// Outcome, absent while the task runs.
    pub outcome: Option<RunOutcome>,
}

impl JournalEntry {
    /// Reports whether the task started.
    #[must_use]
    pub fn started(&self) -> bool {
        self.outcome != Some(RunOutcome::Refused)
    }
}

/// Everything that a target saw since its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// Name of the target.
    pub target: String,
    /// Pool of the target.
    pub pool: String,
    /// Number of tasks that the target runs at once.
    pub slots: u32,
    /// Present speed of the target.
    pub speed: f64,
    /// Time at which the target began to leave, in microseconds since the Unix epoch.
    pub leaving_since_us: Option<u64>,
    /// Number of entries that were not kept because the journal was full.
    pub dropped: u64,
    /// Dispatches in order of arrival.
    pub entries: Vec<JournalEntry>,
}

impl Journal {
    /// Creates an empty journal.
    pub(crate) fn new(target: String, pool: String, slots: u32, speed: f64) -> Self {
        Self {
            target,
            pool,
            slots,
            speed,
            leaving_since_us: None,
            dropped: 0,
            entries: Vec::new(),
        }
    }

    /// Adds an entry and returns its position, unless the journal is full.
    pub(crate) fn push(&mut self, entry: JournalEntry) -> Option<usize> {
        if self.entries.len() >= MAX_ENTRIES {
            self.dropped += 1;
            return None;
        }
        self.entries.push(entry);
        Some(self.entries.len() - 1)
    }

    /// Records the end of the run at `position`.
    pub(crate) fn end(&mut self, position: Option<usize>, at_us: u64, outcome: RunOutcome) {
        if let Some(entry) = position.and_then(|at| self.entries.get_mut(at)) {
            entry.end_us = Some(at_us);
            entry.outcome = Some(outcome);
        }
    }
}

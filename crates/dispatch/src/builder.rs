//! Builder of the entry core.

use std::time::{Duration, Instant};

use chestnutfork_types::ProcessId;

use crate::core::EntryCore;

/// Builds an [`EntryCore`] from its settings.
#[derive(Clone, Debug)]
pub struct EntryCoreBuilder {
    pub(crate) process_id: ProcessId,
    pub(crate) seed: u64,
    pub(crate) retention: Duration,
    pub(crate) max_records: usize,
}

impl EntryCoreBuilder {
    pub(crate) fn new(process_id: ProcessId) -> Self {
        Self {
            process_id,
            seed: process_id,
            retention: Duration::from_mins(10),
            max_records: 1_000_000,
        }
    }

    /// Sets the seed of random choices; defaults to the process id.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets how long the register retains a job; defaults to 10 minutes.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the maximum number of jobs in the register; defaults to one million.
    #[must_use]
    pub fn max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records;
        self
    }

    /// Builds a core that has no services, agents or view yet.
    #[must_use]
    pub fn build(self, now: Instant) -> EntryCore {
        EntryCore::from_builder(&self, now)
    }
}

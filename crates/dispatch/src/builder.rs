//! Builder of the entry core.

use std::time::{Duration, Instant};

use chestnutfork_types::ProcessId;

use crate::core::EntryCore;

/// Builder of [`EntryCore`].
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

    /// Sets the seed of random choices; the default is the process id.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets how long a job is remembered; the default is 10 minutes.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets how many jobs the register holds at most; the default is one million.
    #[must_use]
    pub fn max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records;
        self
    }

    /// Returns a core without services, agents or view.
    #[must_use]
    pub fn build(self, now: Instant) -> EntryCore {
        EntryCore::from_builder(&self, now)
    }
}

//! Invariants of the agent core.

use std::collections::HashSet;

use chestnutfork_types::TaskKey;
use thiserror::Error;

use crate::core::WorkerCore;
use crate::run::Phase;

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// The started runs exceed the worker's capacity in at least one resource.
    #[error("started runs exceed the worker's capacity; they use {cpu_millis} thousandths of a core")]
    OverCapacity {
        /// Processor capacity used by the runs, in thousandths of a core.
        cpu_millis: u64,
    },
    /// A run waits for the reply to a call that is not in flight.
    #[error("task {0:?} waits for the reply to a call that is not in flight")]
    MissingCall(TaskKey),
    /// A run is stored under the key of another task.
    #[error("the run stored under task {0:?} belongs to another task")]
    KeyMismatch(TaskKey),
}

impl WorkerCore {
    /// Checks all invariants and returns the violations.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_worker::{WorkerConfig, WorkerCore};
    ///
    /// let core = WorkerCore::new(WorkerConfig::builder().build(), Instant::now());
    /// assert_eq!(core.verify(), []);
    /// ```
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let calls: HashSet<_> = self.calls.keys().copied().collect();
        for (&task, run) in &self.runs {
            if run.key.task != task {
                violations.push(Violation::KeyMismatch(task));
            }
            let call = match run.phase {
                Phase::Starting { call } => Some(call),
                Phase::Stopping(stop) => stop.call,
                _ => None,
            };
            if call.is_some_and(|call| !calls.contains(&call)) {
                violations.push(Violation::MissingCall(task));
            }
        }
        let used = self.used();
        // Runs continue when the capacity shrinks below what they use; until they end, nothing may start.
        if !used.fits_within(self.capacity().saturating_add(self.excess)) {
            let cpu_millis = used.cpu_millis;
            violations.push(Violation::OverCapacity { cpu_millis });
        }
        violations
    }
}

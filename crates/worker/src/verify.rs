//! Invariants of the agent core.

use std::collections::HashSet;

use chestnutfork_types::{Resources, TaskKey};
use thiserror::Error;

use crate::core::WorkerCore;
use crate::run::Phase;

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Runs together exceed the capacity of the worker.
    #[error("runs take {cpu_millis} thousandths of a core, more than the worker has")]
    OverCapacity {
        /// What the runs take.
        cpu_millis: u64,
    },
    /// A run waits for a reply to a call that is not on its way.
    #[error("task {0:?} waits for a reply that cannot come")]
    MissingCall(TaskKey),
    /// A run is kept under another task.
    #[error("task {0:?} is kept under another key")]
    KeyMismatch(TaskKey),
}

impl WorkerCore {
    /// Returns all violated invariants.
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
        let started = self.runs.values().filter(|run| !run.is_waiting());
        let used = started.fold(Resources::default(), |sum, run| sum.plus(run.resources));
        let capacity = self
            .session
            .as_ref()
            .map(|session| session.worker.description.capacity);
        if !used.fits(capacity.unwrap_or_default()) {
            let cpu_millis = used.cpu_millis;
            violations.push(Violation::OverCapacity { cpu_millis });
        }
        violations
    }
}

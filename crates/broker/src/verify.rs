//! Invariants of the entry core.

use chestnutfork_types::{JobId, TaskKey};
use thiserror::Error;

use crate::core::BrokerCore;
use crate::job::TaskState;

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A task has two outstanding attempts.
    #[error("task {0:?} has two outstanding attempts")]
    ConcurrentAttempts(TaskKey),
    /// A placed task has no outstanding attempt.
    #[error("task {0:?} is placed but has no outstanding attempt on any agent")]
    MissingAttempt(TaskKey),
    /// A job with waiting tasks is not queued for placement.
    #[error("job {0:016x} has waiting tasks but is not queued for placement")]
    NotQueued(JobId),
    /// A job in progress has no caller.
    #[error("job {0:016x} is in progress but has no caller")]
    NoCaller(JobId),
}

impl BrokerCore {
    /// Checks all invariants and returns the violations.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_broker::{BrokerConfig, BrokerCore};
    ///
    /// let cfg = BrokerConfig::builder("zone-a", Duration::from_millis(1_300)).build();
    /// assert_eq!(BrokerCore::new(cfg, Instant::now()).verify(), []);
    /// ```
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut seen = std::collections::HashSet::new();
        for (_, agent) in self.agents.iter() {
            for key in agent.outstanding.keys() {
                if !seen.insert(key.task) {
                    violations.push(Violation::ConcurrentAttempts(key.task));
                }
            }
        }
        for job in self.jobs.values() {
            for (at, task) in job.tasks.iter().enumerate() {
                if matches!(task.state, TaskState::Placed(_)) && !seen.contains(&job.key(at)) {
                    violations.push(Violation::MissingAttempt(job.key(at)));
                }
            }
            if job.has_waiting() && self.waiting.get(&job.order) != Some(&job.id) {
                violations.push(Violation::NotQueued(job.id));
            }
            if job.tickets.is_empty() {
                violations.push(Violation::NoCaller(job.id));
            }
        }
        violations
    }
}

//! Per-service state of an entry.

use chestnutfork_limits::{Admission, FairQueue};
use chestnutfork_routing::RetryBudget;
use chestnutfork_types::ServicePolicy;

use crate::job::QueuedTask;

/// Service with its policy, queue and admission state.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) policy: ServicePolicy,
    /// Whether the service is in the configuration in force.
    pub(crate) active: bool,
    pub(crate) queue: FairQueue<QueuedTask>,
    pub(crate) admission: Admission,
    pub(crate) budget: RetryBudget,
    /// Number of admitted tasks whose job waits for its claim; they count towards the queue limit.
    pub(crate) claiming_tasks: usize,
    /// Number of attempts whose end is not known.
    pub(crate) in_flight: u32,
}

impl Service {
    pub(crate) fn new(policy: ServicePolicy) -> Self {
        // Admission enforces the queue limit before a job is claimed, so a claimed job must never find the queue full.
        let queue = FairQueue::new(usize::MAX);
        let budget = RetryBudget::new(policy.retry.budget);
        Self {
            policy,
            active: true,
            queue,
            admission: Admission::new(),
            budget,
            claiming_tasks: 0,
            in_flight: 0,
        }
    }

    pub(crate) fn update(&mut self, policy: ServicePolicy) {
        if (policy.retry.budget - self.policy.retry.budget).abs() > f64::EPSILON {
            self.budget = RetryBudget::new(policy.retry.budget);
        }
        self.policy = policy;
        self.active = true;
    }
}

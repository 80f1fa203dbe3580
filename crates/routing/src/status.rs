//! Status of the targets, for status pages.

use std::time::Instant;

use chestnutfork_types::{FailureDomain, PoolName, TargetName};

use crate::health::HealthState;
use crate::router::Router;
use crate::target::Target;

/// Availability of a target for new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts tasks.
    Healthy,
    /// Accepts a single task at a time; a success makes the target healthy.
    Probation,
    /// Accepts no tasks until a given time, because of failures or slowness.
    Ejected {
        /// End of the ejection.
        until: Instant,
    },
    /// Accepts no new tasks because it is leaving.
    Leaving,
}

/// Status of a target as recorded by this entry.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// Name of the target.
    pub target: TargetName,
    /// Pool of the target.
    pub pool: PoolName,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Availability for new tasks.
    pub state: TargetState,
    /// Number of slots.
    pub slots: u32,
    /// Free credits at this entry.
    pub free_credits: u32,
    /// Attempts of this entry in flight.
    pub in_flight: u32,
    /// Learned speed; a target of speed 2.0 takes half the average run time.
    pub speed: f64,
    /// Share of recent attempts that failed.
    pub failure_rate: f64,
}

impl Router {
    /// Returns the status of all connected targets, in the order in which they were first added.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_routing::Router;
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// assert_eq!(router.target_statuses()[target].target, "runner-1");
    /// ```
    #[must_use]
    pub fn target_statuses(&self) -> Vec<TargetStatus> {
        let connected = self.targets.iter().filter(|(_, target)| target.connected);
        connected
            .map(|(name, target)| self.status(name, target))
            .collect()
    }

    fn status(&self, name: &TargetName, target: &Target) -> TargetStatus {
        let state = match target.health.state() {
            _ if target.leaving => TargetState::Leaving,
            HealthState::Healthy => TargetState::Healthy,
            HealthState::Probation { .. } => TargetState::Probation,
            HealthState::Ejected { until } => TargetState::Ejected { until },
        };
        TargetStatus {
            target: name.clone(),
            pool: self
                .pools
                .get_index(target.pool)
                .map_or_else(String::new, |(name, _)| name.clone()),
            failure_domain: self.domains[target.domain].clone(),
            state,
            slots: target.slots,
            free_credits: target.free_credits,
            in_flight: target.in_flight(),
            speed: 1.0 / target.speed.slowness(),
            failure_rate: target.health.failure_rate(),
        }
    }
}

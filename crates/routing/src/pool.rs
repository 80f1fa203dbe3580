//! State of a pool of interchangeable targets: its members, their index by cost, and counters for placement.

use std::time::Instant;

use chestnutfork_types::EjectionPolicy;

use crate::classes::CostClasses;
use crate::target::{DomainIndex, TargetIndex};

/// State of one pool; its name is the key in the router's table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Targets that are connected and not leaving.
    pub(crate) members: Vec<TargetIndex>,
    /// Index of the members by cost.
    pub(crate) classes: CostClasses,
    /// Sum of the members' slots.
    pub(crate) slots: u32,
    /// Attempts in flight by failure domain.
    domain_in_flight: Vec<u32>,
    /// Ejection policy of the service that last placed a task in the pool.
    pub(crate) ejection_policy: Option<EjectionPolicy>,
    /// Lower bound of the time at which the next deferral for a faster target ends.
    pub(crate) next_deferral_end: Option<Instant>,
}

impl Pool {
    /// Returns the maximum number of members that may be ejected at the same time.
    pub(crate) fn ejection_limit(&self) -> usize {
        let fraction = self.ejection_policy.map_or(0.0, |policy| policy.max_fraction);
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let limit = (f64::from(members) * fraction).clamp(0.0, f64::from(members));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value lies between zero and the number of members"
        )]
        let limit = limit as usize;
        limit
    }

    pub(crate) fn domain_in_flight(&self, domain: DomainIndex) -> u32 {
        self.domain_in_flight.get(domain).copied().unwrap_or(0)
    }

    pub(crate) fn add_in_flight(&mut self, domain: DomainIndex) {
        if self.domain_in_flight.len() <= domain {
            self.domain_in_flight.resize(domain + 1, 0);
        }
        self.domain_in_flight[domain] += 1;
    }

    pub(crate) fn remove_in_flight(&mut self, domain: DomainIndex, count: u32) {
        if let Some(in_flight) = self.domain_in_flight.get_mut(domain) {
            *in_flight = in_flight.saturating_sub(count);
        }
    }
}

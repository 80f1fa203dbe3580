//! Pool of interchangeable targets, with the lists and sums that placement reads.

use std::time::Instant;

use chestnutfork_types::EjectionPolicy;

use crate::classes::Classes;
use crate::target::{DomainIndex, TargetIndex};

/// State of one pool; its name is the key in the router's table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Targets that are connected and not leaving.
    pub(crate) members: Vec<TargetIndex>,
    /// Members by cost, with their free credits and attempts in flight.
    pub(crate) classes: Classes,
    /// Slots of the members.
    pub(crate) slots: u32,
    /// Attempts in flight by failure domain.
    domain_in_flight: Vec<u32>,
    /// Ejection rules of the service that last placed a task here.
    pub(crate) ejection: Option<EjectionPolicy>,
    /// When the next deliberate wait for a faster target ends, or earlier.
    pub(crate) held_until: Option<Instant>,
}

impl Pool {
    /// Returns how many members may be ejected at once.
    pub(crate) fn ejection_limit(&self) -> usize {
        let fraction = self.ejection.map_or(0.0, |policy| policy.max_fraction);
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

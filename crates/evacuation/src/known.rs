//! Evacuations as known to an entry or agent.

use std::collections::BTreeMap;
use std::time::Instant;

use chestnutfork_types::FailureDomain;

use crate::ramp::ReturnRamp;
use crate::state::Evacuations;

/// Effect of a newer state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated now and were not before.
    pub evacuated: Vec<FailureDomain>,
    /// Domains that were evacuated before and are not any more.
    pub returned: Vec<FailureDomain>,
}

/// Latest state that an entry or agent has received.
#[derive(Clone, Debug, Default)]
pub struct KnownEvacuations {
    latest: Option<Evacuations>,
    returns: BTreeMap<FailureDomain, ReturnRamp>,
}

impl KnownEvacuations {
    /// Puts a state in force unless one with the same or a higher revision is, and returns the effect.
    ///
    /// A control process that has just restarted may send an older state than another one before it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_evacuation::{Evacuations, KnownEvacuations};
    ///
    /// let mut known = KnownEvacuations::default();
    /// let state = Evacuations { revision: 3, domains: ["zone-a".to_owned()].into() };
    /// assert!(known.update(Instant::now(), state).is_some());
    /// assert!(known.update(Instant::now(), Evacuations::default()).is_none());
    /// assert!(known.is_evacuated("zone-a"));
    /// ```
    pub fn update(&mut self, now: Instant, state: Evacuations) -> Option<EvacuationChange> {
        if let Some(latest) = &self.latest
            && state.revision <= latest.revision
        {
            return None;
        }
        let former = self.latest.take().unwrap_or_default();
        let change = EvacuationChange {
            evacuated: state.domains.difference(&former.domains).cloned().collect(),
            returned: former.domains.difference(&state.domains).cloned().collect(),
        };
        self.returns
            .retain(|domain, ramp| !state.domains.contains(domain) && !ramp.is_complete(now));
        for domain in &change.returned {
            self.returns.insert(domain.clone(), ReturnRamp::new(now));
        }
        self.latest = Some(state);
        Some(change)
    }

    /// Returns the state in force, or `None` before the first one.
    #[must_use]
    pub fn latest(&self) -> Option<&Evacuations> {
        self.latest.as_ref()
    }

    /// Returns whether a domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.latest.as_ref().is_some_and(|state| state.contains(domain))
    }

    /// Returns the ramp of a domain that has returned; it may be complete.
    #[must_use]
    pub fn ramp(&self, domain: &str) -> Option<ReturnRamp> {
        self.returns.get(domain).copied()
    }
}

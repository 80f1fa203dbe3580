//! Replicated state of the evacuations.

use std::collections::BTreeSet;

use chestnutfork_types::FailureDomain;

/// Number of a state; it rises by one with each effective change.
pub type Revision = u64;

/// Evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Number of this state; zero before the first change.
    pub revision: Revision,
    /// Domains on whose workers nothing more is started.
    pub domains: BTreeSet<FailureDomain>,
}

impl Evacuations {
    /// Evacuates a domain or ends its evacuation, and returns whether that changed the state.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_evacuation::Evacuations;
    ///
    /// let mut evacuations = Evacuations::default();
    /// assert!(evacuations.set("zone-a", true));
    /// assert!(!evacuations.set("zone-a", true));
    /// assert_eq!(evacuations.revision, 1);
    /// ```
    pub fn set(&mut self, domain: &str, evacuated: bool) -> bool {
        let changed = if evacuated {
            self.domains.insert(domain.to_owned())
        } else {
            self.domains.remove(domain)
        };
        self.revision += u64::from(changed);
        changed
    }

    /// Returns whether a domain is evacuated.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_evacuation::Evacuations;
    ///
    /// assert!(!Evacuations::default().contains("zone-a"));
    /// ```
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }
}

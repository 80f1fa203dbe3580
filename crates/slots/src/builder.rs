//! Builder and settings of the agent core.

use std::time::Duration;

use chestnutfork_types::FailureDomain;

use crate::core::AgentCore;

/// Settings, which do not change after an agent core is built.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) credit_ttl: Duration,
    pub(crate) renew_interval: Duration,
    pub(crate) result_retention: Duration,
    pub(crate) announcement_lease: Duration,
    pub(crate) max_results: usize,
    pub(crate) max_ended: usize,
}

/// Builder of [`AgentCore`].
#[derive(Clone, Debug)]
pub struct AgentCoreBuilder {
    settings: Settings,
}

/// Defines a chainable setter of the builder.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: $type) -> Self {
            self.settings.$name = $name;
            self
        }
    };
}

impl AgentCoreBuilder {
    pub(crate) fn new(failure_domain: FailureDomain) -> Self {
        let settings = Settings {
            failure_domain,
            // Longer than the 3 s after which a link without heartbeats is closed, so that credits never expire while
            // their link is up.
            credit_ttl: Duration::from_secs(4),
            renew_interval: Duration::from_secs(1),
            result_retention: Duration::from_mins(1),
            announcement_lease: Duration::from_secs(3),
            max_results: 4096,
            max_ended: 16_384,
        };
        Self { settings }
    }

    setter!(
        /// Sets the time after which an idle credit expires unless it is renewed (default 4 s).
        credit_ttl: Duration
    );
    setter!(
        /// Sets the interval at which idle credits are renewed and rebalanced (default 1 s).
        renew_interval: Duration
    );
    setter!(
        /// Sets how long an unacknowledged result is retained (default 60 s).
        result_retention: Duration
    );
    setter!(
        /// Sets the time after which an announcement of the target expires (default 3 s).
        announcement_lease: Duration
    );
    setter!(
        /// Sets the largest number of unacknowledged results (default 4096).
        max_results: usize
    );
    setter!(
        /// Sets the largest number of ended tasks that stay recorded after their result is dropped (default 16384).
        max_ended: usize
    );

    /// Returns an agent core without a target and without entries.
    #[must_use]
    pub fn build(self) -> AgentCore {
        AgentCore::from_settings(self.settings)
    }
}

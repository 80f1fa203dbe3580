//! Read-only view of an entry for its status page.

use chestnutfork_types::{FailureDomain, PoolName, ServiceName, TargetName};

use crate::core::EntryCore;
use crate::placement::saturating_u32;

/// State of a service at this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Pool of the service.
    pub pool: PoolName,
    /// Tasks that wait.
    pub queued: u32,
    /// Attempts without a known end.
    pub in_flight: u32,
}

/// State of a target as this entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Name of the target.
    pub target: TargetName,
    /// Pool of the target.
    pub pool: PoolName,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Tasks that the target runs at once.
    pub slots: u32,
    /// Credits at hand.
    pub credits: u32,
    /// Attempts of this entry without a known end.
    pub in_flight: u32,
    /// Whether the link to its agent is open.
    pub linked: bool,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// State of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "a status page shows independent facts"
)]
pub struct EntryStatus {
    /// Configuration version in force.
    pub config: u64,
    /// Whether the configuration is confirmed.
    pub confirmed: bool,
    /// Whether the entry is shutting down.
    pub draining: bool,
    /// Number of the view, zero before the first.
    pub view: u64,
    /// Entries in the view.
    pub members: u32,
    /// Whether this entry is a full member of the view.
    pub member: bool,
    /// Whether every member has the whole register, so that the loss of a minority loses no record of a job.
    pub settled: bool,
    /// Jobs that this entry owns.
    pub jobs: u32,
    /// Submissions that wait for another entry or the register.
    pub waiting: u32,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Targets.
    pub targets: Vec<TargetStatus>,
}

impl EntryCore {
    /// Returns the present state for a status page.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_dispatch::EntryCore;
    ///
    /// let status = EntryCore::builder(7).build(Instant::now()).status();
    /// assert_eq!((status.jobs, status.confirmed), (0, false));
    /// ```
    #[must_use]
    pub fn status(&self) -> EntryStatus {
        let services = self.services.iter().filter(|(_, service)| service.active);
        let services = services.map(|(name, service)| ServiceStatus {
            service: name.clone(),
            pool: service.policy.pool.clone(),
            queued: saturating_u32(service.queue.len()),
            in_flight: service.in_flight,
        });
        let targets = self.agents.iter().map(|(_, agent)| TargetStatus {
            target: agent.announcement.target.clone(),
            pool: agent.announcement.pool.clone(),
            failure_domain: agent.announcement.failure_domain.clone(),
            slots: agent.announcement.slots,
            credits: saturating_u32(agent.credits.len()),
            in_flight: saturating_u32(agent.attempts.len()),
            linked: agent.linked,
            leaving: agent.announcement.leaving,
        });
        EntryStatus {
            config: self.policies_version,
            confirmed: self.confirmed,
            draining: self.draining,
            view: self.view.as_ref().map_or(0, |view| view.number),
            members: self
                .view
                .as_ref()
                .map_or(0, |view| saturating_u32(view.members.len())),
            member: self
                .view
                .as_ref()
                .is_some_and(|view| view.members.contains(&self.process_id)),
            settled: self.view.as_ref().is_some_and(|view| view.settled),
            jobs: saturating_u32(self.jobs.len()),
            waiting: saturating_u32(self.pending.len()),
            services: services.collect(),
            targets: targets.collect(),
        }
    }
}

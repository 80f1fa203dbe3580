//! Snapshot of an entry for its status page.

use chestnutfork_types::{FailureDomain, PoolName, ServiceName, TargetName};

use crate::core::EntryCore;
use crate::placement::saturating_u32;

/// State of a service at this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceStatus {
    /// Service that the status describes.
    pub service: ServiceName,
    /// Pool of the service.
    pub pool: PoolName,
    /// Number of queued tasks.
    pub queued: u32,
    /// Number of attempts whose end is not known.
    pub in_flight: u32,
}

/// State of a target as this entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Target that the status describes.
    pub target: TargetName,
    /// Pool of the target.
    pub pool: PoolName,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Number of tasks that the target runs concurrently.
    pub slots: u32,
    /// Number of unused credits.
    pub credits: u32,
    /// Number of attempts of this entry whose end is not known.
    pub in_flight: u32,
    /// Whether the link to its agent is open.
    pub linked: bool,
    /// Whether the target has announced that it is leaving.
    pub leaving: bool,
}

/// State of an entry at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags of a status page are independent"
)]
pub struct EntryStatus {
    /// Version of the configuration in force.
    pub config: u64,
    /// Whether control has confirmed the configuration.
    pub confirmed: bool,
    /// Whether the entry is shutting down.
    pub draining: bool,
    /// Number of the view; zero before the first one.
    pub view: u64,
    /// Number of voting members of the view.
    pub members: u32,
    /// Whether this entry is a voting member of the view.
    pub member: bool,
    /// Whether every member has a complete copy of the register, so that the loss of a minority loses no job record.
    pub settled: bool,
    /// Number of jobs that this entry owns.
    pub jobs: u32,
    /// Number of submissions that wait for another entry or for the register.
    pub waiting: u32,
    /// Status of each configured service.
    pub services: Vec<ServiceStatus>,
    /// Status of each target that has announced itself.
    pub targets: Vec<TargetStatus>,
}

impl EntryCore {
    /// Returns the current state for a status page.
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

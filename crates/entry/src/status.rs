//! JSON body of an entry's status response.

use chestnutfork_dispatch::{EntryStatus, ServiceStatus, TargetStatus};
use serde::Serialize;

/// Body of the status response.
#[derive(Debug, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent and part of the JSON interface"
)]
pub(crate) struct StatusBody {
    config: u64,
    confirmed: bool,
    draining: bool,
    view: u64,
    members: u32,
    member: bool,
    settled: bool,
    jobs: u32,
    waiting: u32,
    services: Vec<ServiceBody>,
    targets: Vec<TargetBody>,
}

#[derive(Debug, Serialize)]
struct ServiceBody {
    service: String,
    pool: String,
    queued: u32,
    in_flight: u32,
}

#[derive(Debug, Serialize)]
struct TargetBody {
    target: String,
    pool: String,
    failure_domain: String,
    slots: u32,
    credits: u32,
    in_flight: u32,
    linked: bool,
    leaving: bool,
}

impl From<EntryStatus> for StatusBody {
    fn from(status: EntryStatus) -> Self {
        Self {
            config: status.config,
            confirmed: status.confirmed,
            draining: status.draining,
            view: status.view,
            members: status.members,
            member: status.member,
            settled: status.settled,
            jobs: status.jobs,
            waiting: status.waiting,
            services: status.services.into_iter().map(ServiceBody::from).collect(),
            targets: status.targets.into_iter().map(TargetBody::from).collect(),
        }
    }
}

impl From<ServiceStatus> for ServiceBody {
    fn from(status: ServiceStatus) -> Self {
        Self {
            service: status.service,
            pool: status.pool,
            queued: status.queued,
            in_flight: status.in_flight,
        }
    }
}

impl From<TargetStatus> for TargetBody {
    fn from(status: TargetStatus) -> Self {
        Self {
            target: status.target,
            pool: status.pool,
            failure_domain: status.failure_domain,
            slots: status.slots,
            credits: status.credits,
            in_flight: status.in_flight,
            linked: status.linked,
            leaving: status.leaving,
        }
    }
}

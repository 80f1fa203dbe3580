//! Admission control, team quotas and bounded fair queues.
//!
//! All types are pure state machines: the time is an argument, and no call blocks. An entry decides with [`Admission`]
//! whether to accept a job, stores the accepted tasks in a [`FairQueue`], and acquires a unit of the team's quota from
//! [`Quotas`] for each task that it starts.

mod admission;
mod deferred;
mod drain;
mod fair_queue;
mod quotas;
mod removal;
mod team_queue;
mod violation;

pub use admission::{Admission, AdmissionRequest};
pub use fair_queue::{FairQueue, Queued};
pub use quotas::Quotas;
pub use violation::Violation;

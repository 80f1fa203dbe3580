//! Admission, team quotas and bounded fair queues.
//!
//! Everything here is a pure state machine: time comes in as an argument and nothing blocks. An entry asks
//! [`Admission`] whether to accept a job, keeps the accepted tasks in a [`FairQueue`], and takes a unit of the team's
//! quota from [`Quotas`] for each task that it starts.

mod admission;
mod drain;
mod fair_queue;
mod held;
mod quotas;
mod removal;
mod team_queue;
mod violation;

pub use admission::{Admission, AdmissionRequest};
pub use fair_queue::{FairQueue, Queued};
pub use quotas::Quotas;
pub use violation::Violation;

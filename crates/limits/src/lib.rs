//! Admission control, load shedding, team quotas and bounded fair queues.
//!
//! All types are pure state machines: the time is an argument, and no call blocks. An entry decides with [`Admission`]
//! whether to accept a job, stores the accepted tasks in a [`FairQueue`], and acquires a unit of the team's quota from
//! [`Quotas`] for each task that it starts.
//!
//! Where the routes of a service have different priorities, [`ServiceShedding`] decides which submissions an entry refuses
//! while the demand at all entries exceeds the capacity.

mod admission;
mod arrivals;
mod deferred;
mod drain;
mod fair_queue;
mod max_min;
mod quotas;
mod removal;
mod service_shedding;
mod shedding;
mod team_queue;
mod violation;

pub use admission::{Admission, AdmissionRequest};
pub use fair_queue::{FairQueue, Queued};
pub use quotas::Quotas;
pub use service_shedding::ServiceShedding;
pub use shedding::{MAX_DEMAND_AGE, SheddingPlan, median_demand};
pub use violation::Violation;

//! Randomized fault soak: runs the real programs as separate processes and injects faults from outside.
//!
//! [`soak`] plays one seed: it starts control, entries and agents on loopback addresses of their own, with a proxy before
//! each of them, stand-ins for workers, and callers that keep their connections. A [`Plan`] drawn from the seed delays,
//! holds and resets connections, and pauses, kills, stops and restarts processes. The ledger checks, from what callers and
//! workers see, that no task has two runs at a time, that refusals and answers are true, and that accepted configurations
//! stay in force. After the last fault the system must serve again.

mod announcements;
mod callers;
mod crowd;
mod dialect;
mod error;
mod ledger;
mod limits;
mod plan;
mod process;
mod proxy;
mod run;
mod seen;
mod worker_actor;
mod workers;

pub use error::SoakError;
pub use ledger::{Counts, Ledger, Report};
pub use plan::{Fault, Plan, Restart, SendPattern, Size, Step};
pub use run::{SoakConfig, soak};
pub use seen::{Answer, Seen, Timing, WorkerIncarnation};

//! Placement of tasks on targets by learned speed and health, and a budget for retries and hedges.
//!
//! [`Router`] is a pure state machine: it learns from the starts and ends of attempts that an entry reports, and
//! chooses a target for a task among those with free credits. The time is an argument of each call, and the same
//! sequence of calls with the same seed produces the same choices.

mod budget;
mod classes;
mod health;
mod learning;
mod membership;
mod placement;
mod pool;
mod router;
mod run_times;
mod speed;
mod status;
mod target;
mod verify;
mod violation;

pub use budget::RetryBudget;
pub use health::{AttemptEnd, AttemptEndKind};
pub use placement::{Choice, PlacementRequest, QueuePosition};
pub use router::Router;
pub use status::{TargetState, TargetStatus};
pub use target::TargetIndex;
pub use violation::Violation;

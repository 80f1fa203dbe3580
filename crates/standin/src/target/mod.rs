//! Simulated target: runs tasks for as long as their payload says and journals every start and end.

mod actor;
mod announce;
mod behaviour;
mod handle;
mod http;
mod journal;
mod payload;
mod state;

pub use behaviour::{Behaviour, BehaviourChange, Mode};
pub use handle::{Target, TargetBuilder, TargetHandle};
pub use journal::{Journal, JournalEntry, RunOutcome};
pub use payload::{TaskOutput, TaskPayload};

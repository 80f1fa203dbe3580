//! Agent core: slot credits, start records and drain.
//!
//! The agent of a target allocates the target's slots. It issues *slot credits* to entries, each the permission to
//! start one task, and limits the sum of idle credits and running tasks to the number of slots. A started task is
//! recorded until its result is acknowledged, so that an entry can find out after a lost link whether a task started.
//!
//! [`AgentCore`] is a state machine without I/O: it takes the time and an [`Event`] and pushes [`Action`]s.

mod balance;
mod builder;
mod core;
mod event;
mod ledger;
mod messages;
mod verify;

pub use builder::AgentCoreBuilder;
pub use core::AgentCore;
pub use event::{Action, Event};
pub use verify::Violation;

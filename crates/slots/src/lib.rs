//! Agent core: slot credits, start records and drain.
//!
//! The agent beside a target owns the target's slots. It hands out *slot credits*, each the permission to start one
//! task, and keeps the sum of outstanding credits and running tasks within the slots. A started task is recorded until
//! its result is acknowledged, so that a lost link never makes a start doubtful.
//!
//! [`AgentCore`] is a pure state machine: it takes the time and an [`Event`] and pushes [`Action`]s.

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

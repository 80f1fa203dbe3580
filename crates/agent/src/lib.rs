//! The agent role: one process per target, on the same VM.
//!
//! An agent receives the announcement of its target, dials the entries, issues slot credits to them, starts tasks at
//! the target over HTTP and reports their results. `chestnutfork-slots` makes the decisions; this crate owns the
//! sockets.

mod actor;
mod announce;
mod control;
mod links;
mod run;
mod target;

pub use run::{AgentConfig, AgentConfigBuilder, AgentError, RunningAgent, start};

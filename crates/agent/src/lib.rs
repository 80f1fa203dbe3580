//! The agent role: the one small process beside each target.
//!
//! An agent takes the announcement of its target, dials the entries, issues slot credits to them, starts tasks at the
//! target over HTTP and reports their results. The decisions are those of `chestnutfork-slots`; this crate owns the
//! sockets.

mod actor;
mod announce;
mod control;
mod links;
mod run;
mod target;

pub use run::{AgentConfig, AgentConfigBuilder, AgentError, RunningAgent, start};

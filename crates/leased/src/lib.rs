//! Entry and agent roles for leased runs: the actors around the pure cores.
//!
//! [`entry`](start_entry) and [`agent`](start_agent) processes find each other through the directory of control: both dial
//! the control processes named in their settings and all that these name, and agents dial all entries. An entry takes
//! requests through an [`EntryClient`], an agent hears of its worker through an [`AgentClient`] and calls it through a
//! [`WorkerClient`], so how callers, operators and workers write their messages is the business of the front end.

mod agent;
mod clock;
mod control;
mod entry;
mod error;
mod links;
mod notices;
mod run;
mod timer;

pub use agent::{AgentClient, WorkerClient};
pub use clock::LeaseClock;
pub use entry::{EntryClient, EntryStatus, RouteDecoder};
pub use error::LeasedError;
pub use run::{NodeConfig, NodeConfigBuilder, RunningAgent, RunningEntry, start_agent, start_entry};

//! Entry and agent roles for leased runs: the actors that drive the I/O-free cores.
//!
//! [`entry`](start_entry) and [`agent`](start_agent) processes discover each other through the directory that control
//! processes publish. Both connect to the control processes in their settings and to those listed in the directory; agents
//! also connect to all entries. An entry receives requests through an [`EntryClient`]. An agent receives the announcements
//! of its worker through an [`AgentClient`] and calls the worker through a [`WorkerClient`]. The encoding of messages from
//! callers, operators and workers is left to the front end.

mod agent;
mod clock;
mod configuration;
mod control;
mod entry;
mod error;
mod evacuations;
mod limits;
mod links;
mod notices;
mod run;
mod timer;

pub use agent::{AgentClient, WorkerClient};
pub use clock::LeaseClock;
pub use configuration::{Configuration, RouteDecoder};
pub use entry::{EntryClient, EntryStatus};
pub use error::LeasedError;
pub use limits::CallerLimits;
pub use run::{NodeConfig, NodeConfigBuilder, RunningAgent, RunningEntry, start_agent, start_entry};

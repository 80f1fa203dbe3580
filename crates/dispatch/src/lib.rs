//! Entry core: owns jobs, dispatches their tasks and assembles their answers.
//!
//! The core is a state machine that performs no I/O and reads no clock. It composes the job register, routing and
//! limits. The entry role feeds it events and performs its actions; tests and simulations do the same with fakes.

mod agents;
mod attempts;
mod builder;
mod core;
mod event;
mod finish;
mod job;
mod join;
mod maintenance;
mod pending;
mod placement;
mod retries;
mod service;
mod status;
mod submit;
mod timers;
mod verify;

pub use builder::EntryCoreBuilder;
pub use core::EntryCore;
pub use event::{Action, Event, JobResult, PeerMessage, PolicyTable, TeamQuota, TeamUsage, Ticket};
pub use status::{EntryStatus, ServiceStatus, TargetStatus};
pub use verify::Violation;

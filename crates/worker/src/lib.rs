//! Agent core of leased runs: starts, stops and monitors the tasks of one worker on behalf of several entries.
//!
//! [`WorkerCore`] is a pure state machine and the only component that calls the worker. Three mechanisms limit how long
//! a run can continue without supervision:
//!
//! - The worker's lease limits how long runs continue on the worker without a call from this process.
//! - Each entry has a lease on its runs, which acknowledged heartbeats renew. When it expires the runs are stopped, so
//!   the entry can start them on another worker after a time that it can compute without contacting the agent.
//! - The fencing token, taken from the worker's own clock, invalidates orders from an earlier agent process.

mod capacity;
mod clock;
mod config;
mod core;
mod crashes;
mod demand;
mod evacuation;
mod event;
mod health;
mod orders;
mod owners;
mod reconcile;
mod replacement;
mod replies;
mod report;
mod run;
mod session;
mod shares;
mod sharing;
mod stops;
mod verify;

pub use crate::core::WorkerCore;
pub use clock::WorkerClock;
pub use config::{WorkerConfig, WorkerConfigBuilder};
pub use event::{
    Action, Announcement, CallId, CallOutcome, Event, Evidence, FencingToken, GoneReason, ListedEnd,
    ListedRun, Notice, Order, Refusal, Reply, RunList,
};
pub use verify::Violation;

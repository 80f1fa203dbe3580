//! Agent core of leased runs: starts, stops and watches the tasks of one worker for several entries.
//!
//! [`WorkerCore`] is a pure state machine. It alone calls the worker, and it holds three leases. The worker's lease bounds
//! how long anything runs there without a call of this process. The lease of each entry on its runs is renewed by
//! acknowledged heartbeats; when it ends, the runs are stopped, so that the entry may start them elsewhere after a time that
//! it can compute alone. The fencing token, taken from the worker's own clock, keeps orders of a former agent process from
//! taking effect.

mod claims;
mod clock;
mod config;
mod core;
mod event;
mod health;
mod orders;
mod owners;
mod replies;
mod report;
mod run;
mod shares;
mod verify;

pub use crate::core::WorkerCore;
pub use clock::WorkerClock;
pub use config::{WorkerConfig, WorkerConfigBuilder};
pub use event::{
    Action, Announcement, CallId, Event, FencingToken, ListedEnd, ListedRun, Notice, Order, Outcome, Refusal,
    Reply, RunList,
};
pub use verify::Violation;

//! Entry core of leased runs: accepts jobs, places their tasks on workers and answers each request once.
//!
//! [`BrokerCore`] is a pure state machine. A job belongs to the requests that submitted it and is not persisted: if the
//! entry fails, the caller resubmits the job to another entry. A task may run several times, but never concurrently: the
//! next attempt begins only after the previous one was reported as ended, or after the leases behind it must have expired.

mod admission;
mod agents;
mod completion;
mod config;
mod core;
mod crashes;
mod delays;
mod event;
mod hopeless;
mod job;
mod order;
mod placement;
mod requests;
mod returns;
mod selection;
mod sharing;
mod shedding;
mod silence;
mod throughput;
mod timers;
mod verify;

pub use crate::core::BrokerCore;
pub use config::{BrokerConfig, BrokerConfigBuilder};
pub use event::{
    Action, Answer, Event, JobEnd, JobState, JobSubmission, Notice, RefusalReason, Request, RequestKind,
    StepSpec, Ticket,
};
pub use verify::Violation;

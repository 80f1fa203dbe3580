//! Entry core of leased runs: accepts jobs, places their tasks on workers and answers once each.
//!
//! [`BrokerCore`] is a pure state machine. A job belongs to the request that submits it, and nothing of it is stored: if the
//! entry is lost, the caller submits it again elsewhere. A task may run several times, but never twice at a time: the next
//! attempt begins only when the former one is reported as ended, or when the agent's lease on the worker must have ended.

mod admission;
mod agents;
mod completion;
mod config;
mod core;
mod event;
mod job;
mod placement;
mod requests;
mod selection;
mod timers;
mod verify;

pub use crate::core::BrokerCore;
pub use config::{BrokerConfig, BrokerConfigBuilder};
pub use event::{
    Action, Answer, Event, JobEnd, JobState, JobSubmission, Notice, RefusalReason, Request, RequestKind,
    StepSpec, Ticket,
};
pub use verify::Violation;

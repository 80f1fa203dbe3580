//! The entry role: takes jobs from callers over HTTP, dispatches their tasks and answers.
//!
//! The decisions are those of `chestnutfork-dispatch`; this crate owns the sockets. One actor owns the entry core;
//! HTTP tasks and links send it messages.

mod actor;
mod control;
mod front;
mod links;
mod run;
mod status;

pub use run::{EntryConfig, EntryConfigBuilder, EntryError, RunningEntry, start};

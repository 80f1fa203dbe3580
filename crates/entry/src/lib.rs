//! The entry role: takes jobs from callers over HTTP, dispatches their tasks and answers.
//!
//! The decisions are those of `chestnutfork-dispatch`; this crate owns the sockets. One actor owns the entry core;
//! HTTP tasks and links send it messages.

mod actor;
mod front;
mod links;
mod run;
mod status;
mod team;

pub use run::{EntryConfig, EntryConfigBuilder, EntryError, RunningEntry, start};
pub use team::{TeamTable, TeamTableError};

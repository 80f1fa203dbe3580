//! The entry role: accepts jobs from callers over HTTP, dispatches their tasks and returns the results.
//!
//! `chestnutfork-dispatch` makes the decisions; this crate owns the sockets. One actor owns the entry core and receives
//! messages from the HTTP tasks and the links.

mod actor;
mod control;
mod http;
mod links;
mod run;
mod status;

pub use run::{EntryConfig, EntryConfigBuilder, EntryError, RunningEntry, start};

//! Numbered log events of chestnutfork.
//!
//! Each event is declared once, with a stable number, a name, a severity, a constant message, typed fields, its meaning
//! and the remedy for the operator. Messages contain no data; data is in the fields. [`emit`] writes an event through
//! spdlog-rs as one line of text or JSON. `docs/EVENTS.md` lists all declarations; a test compares the two.
//!
//! # Examples
//!
//! ```
//! use chestnutfork_events::{LinkEvent, emit};
//!
//! emit(&LinkEvent::Opened { peer: "entry-1", role: "entry" });
//! ```

mod batch;
mod catalogue;
mod declaration;
mod format;
mod output;
mod page;
mod time;
mod writer;

pub use catalogue::{
    AgentEvent, ConfigEvent, ControlEvent, EntryEvent, GROUPS, Group, LinkEvent, ProcessEvent, RunsEvent,
    declarations,
};
pub use declaration::{Declaration, Event, Field, FieldKind, Severity};
pub use format::Format;
pub use output::{InitError, emit, init, init_stdout, init_with_writer};
pub use page::{alarm_table, catalogue_page};
pub use time::rfc3339;

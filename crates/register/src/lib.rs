//! Job register: claims and answers replicated in the memory of entries.
//!
//! The entries of the current [`View`] hold a record of every recent job. A job is claimed by one entry, its owner, with
//! the grants of a quorum, and gets one answer, written once under ballots. [`Register`] is one entry's part of this: a
//! replica that votes, and a proposer for the jobs of its own callers. It is a pure state machine.

mod answers;
mod builder;
mod claims;
mod event;
mod lookups;
mod message;
mod register;
mod sync;
mod table;
mod verify;
mod view;

pub use builder::RegisterBuilder;
pub use event::{Action, Event};
pub use message::{Ballot, Denial, PeerMessage, Record};
pub use register::Register;
pub use verify::Violation;
pub use view::View;

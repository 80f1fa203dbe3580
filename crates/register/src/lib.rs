//! Job register: claims and answers replicated in the memory of entries.
//!
//! Each member of the current [`View`] stores records of recent jobs. An entry becomes the owner of a job when a quorum
//! grants its claim, and the members agree on the job's single answer by ballots, as in Paxos. [`Register`] implements
//! the part of one entry: the replica that votes, and the proposer for jobs that were submitted to this entry. It is a
//! state machine without I/O: it takes the time and an [`Event`] and pushes [`Action`]s.

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

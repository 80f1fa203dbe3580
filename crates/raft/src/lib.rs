//! Raft consensus as a deterministic state machine without I/O.
//!
//! [`Raft`] has no clock, no sockets and no files. A driver passes it the current time and an [`Event`], and executes
//! the [`Action`]s that it returns, strictly in order. The driver must sync every persist action
//! (see [`Action::is_persist`]) before it executes any later action. It may batch the actions of several events and
//! sync their persist actions together. If persisting fails, the driver drops the failed action and all later ones,
//! and reports [`Event::StorageFailed`] with the state that is durable.

mod config;
mod election;
mod entry;
mod event;
mod follower;
mod leader;
mod log;
mod membership;
mod message;
mod peer;
mod raft;
mod requests;
mod verify;

pub use config::{Config, ConfigBuilder, ConfigError};
pub use entry::{DurableState, DurableStateError, Entry, HardState, Payload, Snapshot, SnapshotMeta};
pub use event::{Action, Event, Proposal, ReadId, RefusalReason, RequestId};
pub use membership::{Membership, MembershipChange, MembershipChangeError, VoterReplacement};
pub use message::{Message, MessageBody};
pub use raft::{Progress, Raft, Role};
pub use verify::{Verifier, Violation};

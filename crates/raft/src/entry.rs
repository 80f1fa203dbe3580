//! Log entries, snapshots and the durable state of a replica.

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};
use thiserror::Error;

use crate::membership::Membership;

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// No-op; a new leader first commits one such entry of its own term.
    Empty,
    /// Command of the replicated state machine.
    Command(Bytes),
    /// Membership that takes effect as soon as this entry is appended.
    Membership(Membership),
}

impl Payload {
    /// Returns the approximate encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(command) => command.len(),
            Self::Membership(members) => size_of::<ReplicaId>() * members.members().count(),
        }
    }
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Log index; the first entry has index 1.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Command, membership or no-op.
    pub payload: Payload,
}

/// Current term and vote, which must be durable before the replica acts on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Candidate that this replica voted for in this term.
    pub vote: Option<ReplicaId>,
}

/// Metadata of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot covers; 0 before the first snapshot.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
}

/// State of the state machine at a log index, which replaces the log up to that index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index, term and membership that the snapshot covers.
    pub meta: SnapshotMeta,
    /// Encoded state machine; its format is opaque to this crate.
    pub data: Bytes,
}

/// State that a replica recovers from its storage.
///
/// The initial membership of a new group is that of a snapshot at index 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Current term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Contiguous entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Inconsistency in the durable state of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DurableStateError {
    /// The log has a gap.
    #[error(
        "expected log entry {expected} but found entry {got}; format the data folder and replace this replica"
    )]
    Gap {
        /// Index of the missing entry.
        expected: LogIndex,
        /// Index of the entry found in its place.
        got: LogIndex,
    },
    /// The terms of the log decrease or exceed the current term.
    #[error("log entry {index} has an invalid term; format the data folder and replace this replica")]
    Term {
        /// Index of the entry.
        index: LogIndex,
    },
}

impl DurableState {
    /// Checks that the entries follow the snapshot contiguously and that terms never decrease.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub fn check(&self) -> Result<(), DurableStateError> {
        let mut index = self.snapshot.meta.index;
        let mut term = self.snapshot.meta.term;
        for entry in &self.entries {
            index += 1;
            if entry.index != index {
                let got = entry.index;
                return Err(DurableStateError::Gap { expected: index, got });
            }
            if entry.term < term {
                return Err(DurableStateError::Term { index });
            }
            term = entry.term;
        }
        if term > self.hard_state.term {
            return Err(DurableStateError::Term { index });
        }
        Ok(())
    }
}

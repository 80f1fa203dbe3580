//! Log entries, snapshots and the durable state of a replica.

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};
use thiserror::Error;

use crate::membership::Membership;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Nothing; a new leader commits one such entry of its own term first.
    Empty,
    /// Command for the replicated state machine.
    Command(Bytes),
    /// Member set in force from this entry on.
    Membership(Membership),
}

impl Payload {
    /// Returns the approximate size in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(command) => command.len(),
            Self::Membership(members) => size_of::<ReplicaId>() * members.members().count(),
        }
    }
}

/// One position of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position, starting at one.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Term and vote, which must be durable before a replica acts on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Candidate that got the replica's vote in this term.
    pub vote: Option<ReplicaId>,
}

/// Position and members of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Last log position that the snapshot covers; zero before the first one.
    pub index: LogIndex,
    /// Term of that position.
    pub term: Term,
    /// Members at that position.
    pub membership: Membership,
}

/// State machine at one log position, which stands for the log up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Position and members.
    pub meta: SnapshotMeta,
    /// State machine in the encoding of its owner.
    pub data: Bytes,
}

/// Everything that a replica finds in its storage.
///
/// The initial member set of a new group is the membership of a snapshot at position zero.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries behind the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Contradiction in the durable state of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DurableStateError {
    /// The log has a gap.
    #[error("log has entry {got} where {expected} follows; format the folder and replace this replica")]
    Gap {
        /// Position that should follow.
        expected: LogIndex,
        /// Position found.
        got: LogIndex,
    },
    /// Terms fall along the log or exceed the current term.
    #[error("log entry {index} has an impossible term; format the folder and replace this replica")]
    Term {
        /// Position of the entry.
        index: LogIndex,
    },
}

impl DurableState {
    /// Checks that the log follows the snapshot without gaps and that terms only rise.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction.
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

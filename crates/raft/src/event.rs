//! Events that drive a replica and actions that it asks for.

use std::time::Instant;

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{DurableState, Entry, HardState, Snapshot};
use crate::membership::{MembershipChange, MembershipChangeError};
use crate::message::Message;
use crate::raft::Role;

/// Number that the driver gives to a proposal, to recognise the outcome.
pub type RequestId = u64;
/// Number that the driver gives to a read, to recognise the outcome.
pub type ReadId = u64;

/// Command that is to be replicated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Number that comes back with the outcome.
    pub id: RequestId,
    /// Command for the state machine.
    pub command: Bytes,
}

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time passed to `handle` has reached `next_wakeup`.
    Tick,
    /// A message of another replica arrived.
    Message(Message),
    /// Commands to replicate; those of one event share one sync and one message to each peer.
    Propose(Vec<Proposal>),
    /// A change of the members.
    ProposeMembership {
        /// Number that comes back with the outcome.
        id: RequestId,
        /// The change.
        change: MembershipChange,
    },
    /// Asks for proof that this replica is still the leader.
    Read {
        /// Number that comes back with the outcome.
        id: ReadId,
    },
    /// Hands leadership over, for example before a shutdown.
    TransferLeadership {
        /// Voter to hand over to; the most caught up one if absent.
        to: Option<ReplicaId>,
    },
    /// Replaces the log up to a position by the state machine at that position.
    Compact {
        /// Last applied position that the data covers.
        index: LogIndex,
        /// State machine in the encoding of its owner.
        data: Bytes,
    },
    /// A persist action failed, and the actions from it on were dropped.
    StorageFailed {
        /// State that is durable.
        durable: DurableState,
        /// Last position that the driver has applied.
        applied: LogIndex,
    },
    /// The storage accepts writes again.
    StorageReady,
}

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// This replica does not lead.
    NotLeader {
        /// Leader as far as known.
        leader: Option<ReplicaId>,
    },
    /// Too many bytes of proposals are not committed yet.
    Overloaded,
    /// The command is larger than one may be.
    TooLarge,
    /// Leadership is being handed over.
    Transferring,
    /// The leader has not committed an entry of its own term yet.
    NotReady,
    /// The change of the members does not apply.
    Change(MembershipChangeError),
}

/// Output of a replica, to be executed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Persists term and vote.
    SaveHardState(HardState),
    /// Persists entries; they replace the log from the index of the first one on.
    AppendLog(Vec<Entry>),
    /// Persists a snapshot, which replaces the log up to its position.
    SaveSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether log entries behind the snapshot stay.
        keep_suffix: bool,
    },
    /// Sends a message; it may be lost.
    Send(Message),
    /// Applies committed entries to the state machine.
    Apply(Vec<Entry>),
    /// Replaces the state machine by a snapshot.
    Restore(Snapshot),
    /// Tells the position of a proposal; it is committed once an entry of this term is applied there.
    Proposed {
        /// Number of the proposal.
        id: RequestId,
        /// Position in the log.
        index: LogIndex,
        /// Term at that position.
        term: Term,
    },
    /// Reports that a proposal was not taken and will never be committed.
    Refused {
        /// Number of the proposal.
        id: RequestId,
        /// Why it was refused.
        reason: RefusalReason,
    },
    /// Reports that this replica was the leader after the read arrived.
    ReadReady {
        /// Number of the read.
        id: ReadId,
        /// Position that the state machine has reached or passed.
        index: LogIndex,
    },
    /// Reports that leadership is not proved.
    ReadRefused {
        /// Number of the read.
        id: ReadId,
        /// Why it was refused.
        reason: RefusalReason,
    },
    /// Reports that a quorum followed this leader at some time at or after `since`.
    QuorumConfirmed {
        /// Time at which the quorum check began.
        since: Instant,
        /// Commit index of the leader.
        commit_index: LogIndex,
    },
    /// Reports a new role, term or leader.
    RoleChanged {
        /// Role of this replica.
        role: Role,
        /// Current term.
        term: Term,
        /// Leader as far as known.
        leader: Option<ReplicaId>,
    },
}

impl Action {
    /// Reports whether the action must be synced before the actions behind it are executed.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_raft::{Action, HardState};
    ///
    /// assert!(Action::SaveHardState(HardState::default()).is_persist());
    /// ```
    #[must_use]
    pub fn is_persist(&self) -> bool {
        matches!(
            self,
            Self::SaveHardState(_) | Self::AppendLog(_) | Self::SaveSnapshot { .. }
        )
    }
}

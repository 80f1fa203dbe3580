//! Input events and output actions of a replica.

use std::time::Instant;

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{DurableState, Entry, HardState, Snapshot};
use crate::membership::{MembershipChange, MembershipChangeError};
use crate::message::Message;
use crate::raft::Role;

/// Id that the driver assigns to a proposal to match it with its outcome.
pub type RequestId = u64;
/// Id that the driver assigns to a linearizable read to match it with its outcome.
pub type ReadId = u64;

/// Command to replicate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Id that the outcome refers to.
    pub id: RequestId,
    /// Encoded command of the state machine.
    pub command: Bytes,
}

/// Input event of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time passed to [`Raft::handle`](crate::Raft::handle) has reached
    /// [`Raft::next_wakeup`](crate::Raft::next_wakeup).
    Tick,
    /// A message arrived from another replica.
    Message(Message),
    /// Commands to replicate. Those of one event share one sync and one message to each peer.
    Propose(Vec<Proposal>),
    /// Proposes a membership change.
    ProposeMembership {
        /// Id that the outcome refers to.
        id: RequestId,
        /// Requested change.
        change: MembershipChange,
    },
    /// Requests confirmation by a quorum that this replica is still the leader.
    Read {
        /// Id that the outcome refers to.
        id: ReadId,
    },
    /// A quorum of the voters is connected for the first time since this replica started.
    QuorumConnected,
    /// Transfers leadership, for example before a shutdown.
    TransferLeadership {
        /// Voter that takes over; if absent, the active voter with the most complete log.
        to: Option<ReplicaId>,
    },
    /// Compacts the log: a snapshot replaces it up to an index.
    Compact {
        /// Index of the last applied entry that the snapshot covers.
        index: LogIndex,
        /// Encoded state machine.
        data: Bytes,
    },
    /// A persist action failed; the driver dropped it and all later actions.
    StorageFailed {
        /// State that storage holds.
        durable: DurableState,
        /// Index of the last entry that the driver has applied.
        applied: LogIndex,
    },
    /// Storage accepts writes again.
    StorageReady,
}

/// Reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// This replica is not the leader.
    NotLeader {
        /// Leader, if this replica knows it.
        leader: Option<ReplicaId>,
    },
    /// The uncommitted proposals exceed the size limit.
    Overloaded,
    /// The command exceeds the size limit.
    TooLarge,
    /// A leadership transfer is in progress.
    Transferring,
    /// The leader has not committed an entry of its own term yet.
    NotReady,
    /// The membership change is not valid for the current membership.
    Change(MembershipChangeError),
}

/// Output action of a replica; the driver executes actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Persists the current term and vote.
    SaveHardState(HardState),
    /// Persists entries, which replace the log from the index of the first one on.
    AppendLog(Vec<Entry>),
    /// Persists a snapshot, which replaces the log up to its index.
    SaveSnapshot {
        /// Snapshot to persist.
        snapshot: Snapshot,
        /// Whether to keep the log entries after the snapshot.
        keep_suffix: bool,
    },
    /// Sends a message; delivery is not guaranteed.
    Send(Message),
    /// Applies committed entries to the state machine.
    Apply(Vec<Entry>),
    /// Restores the state machine from a snapshot.
    Restore(Snapshot),
    /// Reports the log index of a proposal. The proposal is committed once the entry applied at this index has
    /// this term.
    Proposed {
        /// Id of the proposal.
        id: RequestId,
        /// Log index of the proposal.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
    },
    /// Reports that a proposal was refused and will never be committed.
    Refused {
        /// Id of the proposal.
        id: RequestId,
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// Reports that a quorum confirmed this replica as the leader after the read arrived.
    ReadReady {
        /// Id of the read.
        id: ReadId,
        /// Index up to which the state machine has applied entries, at least.
        index: LogIndex,
    },
    /// Reports that leadership could not be confirmed for a read.
    ReadRefused {
        /// Id of the read.
        id: ReadId,
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// Reports that a quorum acknowledged this leader at or after `since`.
    QuorumConfirmed {
        /// Start time of the heartbeat round.
        since: Instant,
        /// Commit index of the leader.
        commit_index: LogIndex,
    },
    /// Reports a change of role, term or leader.
    RoleChanged {
        /// New role of this replica.
        role: Role,
        /// Current term.
        term: Term,
        /// Leader, if this replica knows it.
        leader: Option<ReplicaId>,
    },
}

impl Action {
    /// Returns whether the action must be synced before any later action is executed.
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

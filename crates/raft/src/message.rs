//! Messages between replicas, independent of their encoding.

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{Entry, SnapshotMeta};

/// Message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Recipient; a replica ignores messages addressed to another id.
    pub to: ReplicaId,
    /// Term of the sender; in a pre-vote request, the term that the sender would start.
    pub term: Term,
    /// Type and fields of the message.
    pub body: MessageBody,
}

/// Type-specific part of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Pre-vote request: whether the recipient would vote for the sender. It changes no term.
    PreVote {
        /// Index of the last entry of the sender's log.
        last_index: LogIndex,
        /// Term of the entry at that index.
        last_term: Term,
    },
    /// Reply to a pre-vote request.
    PreVoteReply {
        /// Whether the replying replica would grant its vote.
        granted: bool,
    },
    /// Vote request.
    Vote {
        /// Index of the last entry of the sender's log.
        last_index: LogIndex,
        /// Term of the entry at that index.
        last_term: Term,
        /// Whether the leader asked the sender to start this election, as it does in a leadership transfer.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Append request; one without entries is a heartbeat.
    Append {
        /// Index of the entry that precedes `entries`.
        prev_index: LogIndex,
        /// Term of the entry at that index.
        prev_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: LogIndex,
        /// Heartbeat round that the reply acknowledges.
        round: u64,
    },
    /// Successful reply: the follower's log matches the leader's up to an index.
    Accepted {
        /// Index of the last matching entry, which is durable at the follower.
        match_index: LogIndex,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Negative reply: the entry that precedes the new entries does not match.
    Rejected {
        /// Index of the entry that did not match.
        prev_index: LogIndex,
        /// Highest index at which the logs can match.
        hint_index: LogIndex,
        /// Term of the follower's entry at that index.
        hint_term: Term,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Chunk of a snapshot.
    SnapshotChunk {
        /// Index, term and membership of the snapshot.
        meta: SnapshotMeta,
        /// Offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// Size of the snapshot, in bytes.
        total: u64,
        /// Bytes of the chunk.
        chunk: Bytes,
        /// Heartbeat round that the reply acknowledges.
        round: u64,
    },
    /// Request for the next chunk of a snapshot.
    SnapshotNext {
        /// Log index of the snapshot.
        index: LogIndex,
        /// Number of bytes received so far.
        offset: u64,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Tells the recipient to start an election immediately.
    TimeoutNow,
}

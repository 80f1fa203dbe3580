//! Messages between replicas, as plain data.

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{Entry, SnapshotMeta};

/// Message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; a replica ignores messages to another id.
    pub to: ReplicaId,
    /// Term of the sender; for a pre-vote the term that the sender would start.
    pub term: Term,
    /// Content.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender; changes no term.
    PreVote {
        /// Last position of the sender's log.
        last_index: LogIndex,
        /// Term of that position.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last position of the sender's log.
        last_index: LogIndex,
        /// Term of that position.
        last_term: Term,
        /// Whether the leader itself asked the sender to take over.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the sender got the vote.
        granted: bool,
    },
    /// Appends entries; without entries it is a heartbeat.
    Append {
        /// Position before the entries.
        prev_index: LogIndex,
        /// Term of that position.
        prev_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: LogIndex,
        /// Quorum check that the reply counts for.
        round: u64,
    },
    /// Confirms that the receiver's log matches the leader's up to a position.
    Accepted {
        /// Last matching position, durable at the sender.
        match_index: LogIndex,
        /// Quorum check of the request.
        round: u64,
    },
    /// Reports that the position before the entries does not match.
    Rejected {
        /// Position that did not match.
        prev_index: LogIndex,
        /// Highest position that may match.
        hint_index: LogIndex,
        /// Term at that position.
        hint_term: Term,
        /// Quorum check of the request.
        round: u64,
    },
    /// Carries a part of a snapshot.
    SnapshotChunk {
        /// Position and members of the snapshot.
        meta: SnapshotMeta,
        /// Position of the part, in bytes.
        offset: u64,
        /// Size of the whole snapshot, in bytes.
        total: u64,
        /// The part.
        chunk: Bytes,
        /// Quorum check that the reply counts for.
        round: u64,
    },
    /// Asks for the next part of a snapshot.
    SnapshotNext {
        /// Position of the snapshot in the log.
        index: LogIndex,
        /// Number of bytes that have arrived.
        offset: u64,
        /// Quorum check of the request.
        round: u64,
    },
    /// Asks the receiver to start an election at once.
    TimeoutNow,
}

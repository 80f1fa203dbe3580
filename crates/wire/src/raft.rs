//! Wire types for the messages between control replicas and for the records that a replica stores.
//!
//! Variants and fields are encoded under one-letter names because CBOR repeats the names in every message.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_raft::{Entry, Membership, Message, MessageBody, Payload, SnapshotMeta, VoterReplacement};
use serde::{Deserialize, Serialize};

use crate::codec::{CodecError, decode, encode};
use crate::subscription::{EntryInfoWire, ViewWire};

/// Message between control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessageWire {
    /// Identifies the sender; the first message on every link, repeated after the group was formed.
    #[serde(rename = "h")]
    Hello(ReplicaHelloWire),
    /// Message of the replicated log.
    #[serde(rename = "r")]
    Raft(RaftWire),
    /// Requests a confirmation from the leader; contains a number that the confirmation repeats.
    #[serde(rename = "p")]
    Probe(u64),
    /// Answers a probe.
    #[serde(rename = "c")]
    Confirm(ReplicaConfirmWire),
    /// Forwards lease renewals of the sender's subscribers.
    #[serde(rename = "n")]
    Renewals(Vec<RenewalWire>),
    /// Forwards a request of an operator: request number, operator and request.
    #[serde(rename = "q")]
    Request(u64, String, OperatorRequestWire),
    /// Answers a request of an operator: request number, HTTP status and JSON body.
    #[serde(rename = "a")]
    Answer(u64, u16, Bytes),
    /// Lists the known addresses of control processes.
    #[serde(rename = "d")]
    Addresses(Vec<String>),
}

/// Identity of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaHelloWire {
    /// Id of the sender's data folder.
    #[serde(rename = "i")]
    pub replica: u64,
    /// Members of the group according to the sender; empty before the group is formed.
    #[serde(rename = "m")]
    pub members: Vec<u64>,
    /// Whether the members are those with which the group was formed.
    #[serde(rename = "f")]
    pub initial: bool,
    /// Address of the sender's operator interface.
    #[serde(rename = "o")]
    pub operator_address: String,
}

/// Confirmation by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaConfirmWire {
    /// Number of the probe.
    #[serde(rename = "p")]
    pub probe: u64,
    /// Configuration version that was current at the quorum check.
    #[serde(rename = "v")]
    pub version: u64,
    /// Time from the quorum check to the arrival of the probe, in microseconds.
    #[serde(rename = "u")]
    pub age_us: u64,
}

/// Lease renewal of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalWire {
    /// Identity of the subscriber.
    #[serde(rename = "e")]
    pub info: EntryInfoWire,
    /// Whether the subscriber is an entry rather than an agent.
    #[serde(rename = "r")]
    pub is_entry: bool,
    /// Configuration version in force at the subscriber.
    #[serde(rename = "v")]
    pub version: u64,
    /// Latest view for which the subscriber has copied the register.
    #[serde(rename = "s")]
    pub synced: u64,
    /// Time since the subscriber's renewal, in microseconds.
    #[serde(rename = "u")]
    pub age_us: u64,
    /// Whether the subscriber is shutting down.
    #[serde(rename = "l")]
    pub leaving: bool,
}

/// Request of an operator, forwarded by a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequestWire {
    /// Submits a patch: base version, id, reason, JSON body, and whether it is a dry run.
    #[serde(rename = "p")]
    Patch(u64, u128, String, Bytes, bool),
    /// Requests the status of the group and of its subscribers.
    #[serde(rename = "s")]
    Status,
    /// Requests the audit records after a version.
    #[serde(rename = "a")]
    Audit(u64),
    /// Requests the configuration document.
    #[serde(rename = "c")]
    Config,
    /// Replaces a member of the control group: old replica, new replica and reason.
    #[serde(rename = "r")]
    Replace(u64, u64, String),
    /// Submits a complete document: version and content.
    #[serde(rename = "d")]
    PutDocument(u64, Bytes),
    /// Requests the newest document.
    #[serde(rename = "g")]
    GetDocument,
    /// Evacuates a failure domain or ends its evacuation. Earlier versions do not know it.
    #[serde(rename = "e")]
    Evacuate(String, bool),
}

/// Wire form of [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftWire {
    #[serde(rename = "f")]
    from: u64,
    #[serde(rename = "t")]
    to: u64,
    #[serde(rename = "n")]
    term: u64,
    #[serde(rename = "b")]
    body: RaftBodyWire,
}

/// Wire form of [`MessageBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RaftBodyWire {
    #[serde(rename = "p")]
    PreVote(u64, u64),
    #[serde(rename = "q")]
    PreVoteReply(bool),
    #[serde(rename = "v")]
    Vote(u64, u64, bool),
    #[serde(rename = "w")]
    VoteReply(bool),
    #[serde(rename = "a")]
    Append {
        #[serde(rename = "i")]
        prev_index: u64,
        #[serde(rename = "t")]
        prev_term: u64,
        #[serde(rename = "e")]
        entries: Vec<EntryWire>,
        #[serde(rename = "c")]
        commit: u64,
        #[serde(rename = "r")]
        round: u64,
    },
    #[serde(rename = "o")]
    Accepted(u64, u64),
    #[serde(rename = "x")]
    Rejected(u64, u64, u64, u64),
    #[serde(rename = "s")]
    SnapshotChunk {
        #[serde(rename = "m")]
        meta: SnapshotMetaWire,
        #[serde(rename = "o")]
        offset: u64,
        #[serde(rename = "t")]
        total: u64,
        #[serde(rename = "d")]
        chunk: Bytes,
        #[serde(rename = "r")]
        round: u64,
    },
    #[serde(rename = "n")]
    SnapshotNext(u64, u64, u64),
    #[serde(rename = "z")]
    TimeoutNow,
}

/// Wire form of [`Entry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EntryWire(u64, u64, PayloadWire);

/// Wire form of [`Payload`], also used in the log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PayloadWire {
    /// No payload.
    #[serde(rename = "e")]
    Empty,
    /// Command for the state machine.
    #[serde(rename = "c")]
    Command(Bytes),
    /// Membership of the group.
    #[serde(rename = "m")]
    Membership(MembershipWire),
}

/// Wire form of [`Membership`], also used in the snapshot file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipWire {
    #[serde(rename = "v")]
    voters: Vec<u64>,
    #[serde(rename = "l")]
    learners: Vec<u64>,
    #[serde(rename = "s")]
    replacement: Option<(u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotMetaWire(u64, u64, MembershipWire);

/// Command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandWire {
    /// Configuration patch of an operator, encoded by the `config` crate.
    #[serde(rename = "p")]
    Patch(Bytes),
    /// Next entry view.
    #[serde(rename = "v")]
    View(ViewWire),
    /// Complete document: version and content.
    #[serde(rename = "d")]
    Document(u64, Bytes),
    /// Evacuates a failure domain or ends its evacuation. Earlier versions do not know it.
    #[serde(rename = "e")]
    Evacuate(String, bool),
}

/// State of the state machine in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateWire {
    /// Configuration, encoded by the `config` crate.
    #[serde(rename = "c")]
    pub config: Bytes,
    /// Entry view.
    #[serde(rename = "v")]
    pub view: Option<ViewWire>,
    /// Newest document: version and content.
    #[serde(rename = "d", default)]
    pub document: Option<(u64, Bytes)>,
    /// Revision of the evacuations and the evacuated domains. Earlier versions do not write this field, and ignore it.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<(u64, Vec<String>)>,
}

/// Implements the conversion of stored records to and from bytes.
macro_rules! impl_byte_codec {
    ($($name:ident),*) => {$(
        impl $name {
            /// Encodes the record for the log or snapshot file.
            ///
            /// # Errors
            ///
            /// Returns [`CodecError::Encode`] if the record cannot be encoded.
            pub fn to_bytes(&self) -> Result<Bytes, CodecError> {
                let mut buf = Vec::new();
                encode(self, &mut buf)?;
                Ok(buf.into())
            }

            /// Decodes a record from the log or snapshot file.
            ///
            /// # Errors
            ///
            /// Returns [`CodecError::Decode`] if the bytes are malformed.
            pub fn from_bytes(bytes: &[u8]) -> Result<Self, CodecError> {
                decode(bytes)
            }
        }
    )*};
}

impl_byte_codec!(PayloadWire, MembershipWire, CommandWire, StateWire);

/// Converts a duration to microseconds, saturating at `u64::MAX`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl From<Membership> for MembershipWire {
    fn from(members: Membership) -> Self {
        Self {
            voters: members.voters,
            learners: members.learners,
            replacement: members
                .replacement
                .map(|replacement| (replacement.remove, replacement.add)),
        }
    }
}

impl From<MembershipWire> for Membership {
    fn from(wire: MembershipWire) -> Self {
        let mut members = Self::from_voters(wire.voters);
        members.learners = wire.learners;
        members.learners.sort_unstable();
        members.replacement = wire
            .replacement
            .map(|(remove, add)| VoterReplacement { remove, add });
        members
    }
}

impl From<Payload> for PayloadWire {
    fn from(payload: Payload) -> Self {
        match payload {
            Payload::Empty => Self::Empty,
            Payload::Command(command) => Self::Command(command),
            Payload::Membership(members) => Self::Membership(members.into()),
        }
    }
}

impl From<PayloadWire> for Payload {
    fn from(wire: PayloadWire) -> Self {
        match wire {
            PayloadWire::Empty => Self::Empty,
            PayloadWire::Command(command) => Self::Command(command),
            PayloadWire::Membership(members) => Self::Membership(members.into()),
        }
    }
}

impl From<Entry> for EntryWire {
    fn from(entry: Entry) -> Self {
        Self(entry.index, entry.term, entry.payload.into())
    }
}

impl From<EntryWire> for Entry {
    fn from(EntryWire(index, term, payload): EntryWire) -> Self {
        Self {
            index,
            term,
            payload: payload.into(),
        }
    }
}

impl From<SnapshotMeta> for SnapshotMetaWire {
    fn from(meta: SnapshotMeta) -> Self {
        Self(meta.index, meta.term, meta.membership.into())
    }
}

impl From<SnapshotMetaWire> for SnapshotMeta {
    fn from(SnapshotMetaWire(index, term, members): SnapshotMetaWire) -> Self {
        Self {
            index,
            term,
            membership: members.into(),
        }
    }
}

impl From<Message> for RaftWire {
    fn from(message: Message) -> Self {
        Self {
            from: message.from,
            to: message.to,
            term: message.term,
            body: message.body.into(),
        }
    }
}

impl TryFrom<RaftWire> for Message {
    type Error = CodecError;

    fn try_from(wire: RaftWire) -> Result<Self, CodecError> {
        let body = MessageBody::from(wire.body);
        check_entries(&body)?;
        Ok(Self {
            from: wire.from,
            to: wire.to,
            term: wire.term,
            body,
        })
    }
}

/// Checks that the indexes of the entries in a message are consecutive; the log relies on this.
fn check_entries(body: &MessageBody) -> Result<(), CodecError> {
    let MessageBody::Append {
        prev_index, entries, ..
    } = body
    else {
        return Ok(());
    };
    let first = prev_index.checked_add(1);
    let follows = entries
        .iter()
        .zip(first.unwrap_or(u64::MAX)..)
        .all(|(entry, index)| entry.index == index);
    if follows && first.is_some() {
        return Ok(());
    }
    let reason = "entries of the replicated log have a gap".to_owned();
    Err(CodecError::Decode { reason })
}

impl From<MessageBody> for RaftBodyWire {
    fn from(body: MessageBody) -> Self {
        match body {
            MessageBody::PreVote {
                last_index,
                last_term,
            } => Self::PreVote(last_index, last_term),
            MessageBody::PreVoteReply { granted } => Self::PreVoteReply(granted),
            MessageBody::Vote {
                last_index,
                last_term,
                transfer,
            } => Self::Vote(last_index, last_term, transfer),
            MessageBody::VoteReply { granted } => Self::VoteReply(granted),
            MessageBody::Append {
                prev_index,
                prev_term,
                entries,
                commit_index,
                round,
            } => Self::Append {
                prev_index,
                prev_term,
                entries: entries.into_iter().map(Into::into).collect(),
                commit: commit_index,
                round,
            },
            MessageBody::Accepted { match_index, round } => Self::Accepted(match_index, round),
            MessageBody::Rejected {
                prev_index,
                hint_index,
                hint_term,
                round,
            } => Self::Rejected(prev_index, hint_index, hint_term, round),
            MessageBody::SnapshotChunk {
                meta,
                offset,
                total,
                chunk,
                round,
            } => Self::SnapshotChunk {
                meta: meta.into(),
                offset,
                total,
                chunk,
                round,
            },
            MessageBody::SnapshotNext { index, offset, round } => Self::SnapshotNext(index, offset, round),
            MessageBody::TimeoutNow => Self::TimeoutNow,
        }
    }
}

impl From<RaftBodyWire> for MessageBody {
    fn from(wire: RaftBodyWire) -> Self {
        match wire {
            RaftBodyWire::PreVote(last_index, last_term) => Self::PreVote {
                last_index,
                last_term,
            },
            RaftBodyWire::PreVoteReply(granted) => Self::PreVoteReply { granted },
            RaftBodyWire::Vote(last_index, last_term, transfer) => Self::Vote {
                last_index,
                last_term,
                transfer,
            },
            RaftBodyWire::VoteReply(granted) => Self::VoteReply { granted },
            RaftBodyWire::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => Self::Append {
                prev_index,
                prev_term,
                entries: entries.into_iter().map(Into::into).collect(),
                commit_index: commit,
                round,
            },
            RaftBodyWire::Accepted(match_index, round) => Self::Accepted { match_index, round },
            RaftBodyWire::Rejected(prev_index, hint_index, hint_term, round) => Self::Rejected {
                prev_index,
                hint_index,
                hint_term,
                round,
            },
            RaftBodyWire::SnapshotChunk {
                meta,
                offset,
                total,
                chunk,
                round,
            } => Self::SnapshotChunk {
                meta: meta.into(),
                offset,
                total,
                chunk,
                round,
            },
            RaftBodyWire::SnapshotNext(index, offset, round) => Self::SnapshotNext { index, offset, round },
            RaftBodyWire::TimeoutNow => Self::TimeoutNow,
        }
    }
}

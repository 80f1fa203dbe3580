//! Round trips of messages between control replicas through their encoding.

use bytes::Bytes;
use chestnutfork_raft::{Entry, Membership, Message, MessageBody, Payload, SnapshotMeta, VoterReplacement};
use chestnutfork_wire::{RaftWire, decode, encode};

fn membership() -> Membership {
    let mut members = Membership::from_voters([1, 2, 3]);
    members.learners = vec![4];
    members.replacement = Some(VoterReplacement { remove: 3, add: 4 });
    members
}

fn message(body: MessageBody) -> Message {
    Message {
        from: 1,
        to: 2,
        term: 7,
        body,
    }
}

fn append(indexes: [u64; 3]) -> MessageBody {
    let payloads = [
        Payload::Empty,
        Payload::Command(Bytes::from_static(b"command")),
        Payload::Membership(membership()),
    ];
    let entry = |(index, payload)| Entry {
        index,
        term: 6,
        payload,
    };
    MessageBody::Append {
        prev_index: 4,
        prev_term: 6,
        entries: indexes.into_iter().zip(payloads).map(entry).collect(),
        commit_index: 4,
        round: 9,
    }
}

fn bodies() -> Vec<MessageBody> {
    let meta = SnapshotMeta {
        index: 5,
        term: 2,
        membership: membership(),
    };
    vec![
        MessageBody::PreVote {
            last_index: 1,
            last_term: 2,
        },
        MessageBody::PreVoteReply { granted: true },
        MessageBody::Vote {
            last_index: 1,
            last_term: 2,
            transfer: true,
        },
        MessageBody::VoteReply { granted: false },
        append([5, 6, 7]),
        MessageBody::Accepted {
            match_index: 1,
            round: 2,
        },
        MessageBody::Rejected {
            prev_index: 1,
            hint_index: 2,
            hint_term: 3,
            round: 4,
        },
        MessageBody::SnapshotChunk {
            meta,
            offset: 1,
            total: 5,
            chunk: Bytes::from_static(b"part"),
            round: 4,
        },
        MessageBody::SnapshotNext {
            index: 1,
            offset: 2,
            round: 3,
        },
        MessageBody::TimeoutNow,
    ]
}

/// Guards against a field that is lost or swapped in a message between replicas.
#[test]
fn try_from_encoded_message_is_unchanged() {
    for body in bodies() {
        let sent = message(body);
        let mut buf = Vec::new();
        encode(&RaftWire::from(sent.clone()), &mut buf).unwrap();
        let wire: RaftWire = decode(&buf).unwrap();
        assert_eq!(Message::try_from(wire).unwrap(), sent);
    }
}

/// Guards against a malformed message that creates a gap in the log.
#[test]
fn try_from_entries_with_gap_is_refused() {
    let wire = RaftWire::from(message(append([5, 7, 8])));
    assert!(Message::try_from(wire).is_err());
}

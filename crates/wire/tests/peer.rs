//! Round trips of messages between entries through their encoding.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_dispatch::{PeerMessage, TeamUsage};
use chestnutfork_register::{Ballot, Denial, PeerMessage as Register, Record};
use chestnutfork_types::{Answer, Refusal, RefusalCode, TaskStatus};
use chestnutfork_wire::{PeerMessageWire, decode_frame, encode};

fn round_trip(message: &PeerMessage) {
    let mut buf = Vec::new();
    encode(&0_u64, &mut buf).unwrap();
    encode(&PeerMessageWire::from(message.clone()), &mut buf).unwrap();
    let mut messages = decode_frame::<PeerMessageWire>(&buf, 0).unwrap();
    assert_eq!(&PeerMessage::try_from(messages.remove(0)).unwrap(), message);
}

fn answer() -> Answer {
    let reason = String::from("reason");
    Answer::new(
        7,
        vec![
            TaskStatus::Completed {
                output: Bytes::from_static(&[0, 255]),
            },
            TaskStatus::Failed {
                reason: reason.clone(),
            },
            TaskStatus::MayHaveRun {
                reason: reason.clone(),
            },
            TaskStatus::NotRun { reason },
        ],
    )
}

/// Guards against a field that is lost or swapped in a message of the register.
#[test]
fn register_message_round_trips() {
    let (view, job, digest, owner) = (3, u128::MAX - 1, u64::MAX, 9);
    let (ballot, promised) = (
        Ballot {
            round: 2,
            proposer: 5,
        },
        Ballot {
            round: 4,
            proposer: 6,
        },
    );
    let accepted = Some((ballot, answer()));
    let record = Record {
        job,
        digest,
        owner,
        conflicting_owner: Some(8),
        promised,
        accepted: accepted.clone(),
    };
    for message in [
        Register::Claim { view, job, digest },
        Register::Granted { view, job },
        Register::OwnedBy { view, job, owner },
        Register::Denied {
            view,
            job,
            denial: Denial::BelowFloor,
        },
        Register::Denied {
            view,
            job,
            denial: Denial::Full,
        },
        Register::Denied {
            view,
            job,
            denial: Denial::DigestMismatch,
        },
        Register::Lookup {
            view,
            job,
            digest,
            lookup: 11,
        },
        Register::LookupReply {
            view,
            job,
            lookup: 11,
            owner: Some(owner),
            own_claim: false,
        },
        Register::LookupReply {
            view,
            job,
            lookup: 12,
            owner: None,
            own_claim: true,
        },
        Register::Prepare {
            view,
            job,
            digest,
            owner,
            ballot,
        },
        Register::Promise {
            view,
            job,
            ballot,
            accepted,
        },
        Register::Accept {
            view,
            job,
            digest,
            owner,
            ballot,
            answer: answer(),
        },
        Register::Accepted { view, job, ballot },
        Register::Rejected {
            view,
            job,
            ballot,
            promised,
        },
        Register::Pull { view, after: 13 },
        Register::Chunk {
            view,
            after: 13,
            up_to: 14,
            done: true,
            floor: Duration::from_millis(1_700_000_000_123),
            records: vec![record],
        },
    ] {
        round_trip(&PeerMessage::Register(message));
    }
}

/// Guards against an answer or refusal that changes between the owner and the entry of a joined caller.
#[test]
fn peer_message_round_trips() {
    for message in [
        PeerMessage::Join { job: 1, digest: 2 },
        PeerMessage::JoinResult {
            job: 1,
            result: Ok(answer()),
        },
        PeerMessage::NotOwner { job: 1 },
        PeerMessage::Cancel {
            job: 1,
            team: "setters".into(),
        },
        PeerMessage::Usage(vec![TeamUsage {
            team: "setters".into(),
            in_flight: 5,
        }]),
    ] {
        round_trip(&message);
    }
    for code in RefusalCode::ALL {
        let refusal = Refusal::not_run(code, "cause").retry_after(Duration::from_millis(20));
        round_trip(&PeerMessage::JoinResult {
            job: 1,
            result: Err(refusal),
        });
        round_trip(&PeerMessage::JoinResult {
            job: 1,
            result: Err(Refusal::unknown(code, "cause")),
        });
    }
}

/// Guards against an answer whose outcome contradicts its statuses and still reaches a caller.
#[test]
fn join_result_refuses_inconsistent_answer() {
    let mut inconsistent = answer();
    inconsistent.outcome = chestnutfork_types::JobOutcome::Completed;
    let wire = PeerMessageWire::from(PeerMessage::JoinResult {
        job: 7,
        result: Ok(inconsistent),
    });
    assert!(PeerMessage::try_from(wire).is_err());
}

/// Guards against a decoder that panics on arbitrary bytes.
#[test]
fn decode_survives_arbitrary_bytes() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(bytes: Vec<u8>) -> bool {
        let _ = decode_frame::<PeerMessageWire>(&bytes, 0);
        true
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}

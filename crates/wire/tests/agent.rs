//! Round trips of messages between entries and agents through their encoding.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    AgentToEntry, Announcement, AttemptOutcome, Dispatch, EntryToAgent, RefusalReason, Resolution, TaskResult,
};
use chestnutfork_wire::{AgentToEntryWire, EntryToAgentWire, decode, decode_frame, encode};

fn round_trip<T, W>(message: &T)
where
    T: Clone + PartialEq + std::fmt::Debug + From<W>,
    W: From<T> + serde::Serialize + serde::de::DeserializeOwned,
{
    let mut buf = Vec::new();
    encode(&3_u64, &mut buf).unwrap();
    encode(&W::from(message.clone()), &mut buf).unwrap();
    let mut messages = decode_frame::<W>(&buf, 3).unwrap();
    assert_eq!(&T::from(messages.remove(0)), message);
}

fn result(outcome: AttemptOutcome) -> TaskResult {
    TaskResult {
        credit: 9,
        outcome,
        run_time: Duration::from_micros(1_500),
        next_credit: Some(10),
    }
}

/// Guards against a field that is lost or swapped in a message to an agent.
#[test]
fn entry_to_agent_round_trips() {
    let dispatch = Dispatch {
        credit: 1,
        job: u128::MAX - 5,
        task: 199,
        service: "desk".into(),
        remaining: Duration::from_millis(250),
        payload: Bytes::from_static(&[0, 255, 7]),
    };
    for message in [
        EntryToAgent::Dispatch(dispatch),
        EntryToAgent::Demand { waiting: 200 },
        EntryToAgent::Return { credits: vec![1, 2] },
        EntryToAgent::Cancel { credit: 4 },
        EntryToAgent::Resolve { credits: vec![] },
        EntryToAgent::Ack {
            credits: vec![u64::MAX],
        },
    ] {
        round_trip::<EntryToAgent, EntryToAgentWire>(&message);
    }
}

/// Guards against a field that is lost or swapped in a message to an entry.
#[test]
fn agent_to_entry_round_trips() {
    let announcement = Announcement {
        target: "t1".into(),
        pool: "main".into(),
        failure_domain: "a".into(),
        slots: 8,
        leaving: true,
        config_version: 12,
    };
    let mut messages = vec![
        AgentToEntry::Announce(announcement),
        AgentToEntry::Grant {
            credits: vec![1, 2, 3],
            ttl: Duration::from_secs(4),
        },
        AgentToEntry::Renew {
            ttl: Duration::from_secs(4),
        },
        AgentToEntry::Recall { count: 2 },
        AgentToEntry::Result(result(AttemptOutcome::Completed {
            output: Bytes::from_static(b"ok"),
        })),
        AgentToEntry::Result(result(AttemptOutcome::Failed {
            reason: "bad grid".into(),
        })),
        AgentToEntry::Result(result(AttemptOutcome::Unknown {
            reason: "time-out".into(),
        })),
        AgentToEntry::Result(result(AttemptOutcome::NotStarted {
            reason: "refused".into(),
        })),
        AgentToEntry::Resolved {
            credit: 1,
            resolution: Resolution::Started,
        },
        AgentToEntry::Resolved {
            credit: 1,
            resolution: Resolution::NeverStarted,
        },
    ];
    let finished = result(AttemptOutcome::Completed { output: Bytes::new() });
    messages.push(AgentToEntry::Resolved {
        credit: 9,
        resolution: Resolution::Finished(finished),
    });
    for reason in [
        RefusalReason::InvalidCredit,
        RefusalReason::Leaving,
        RefusalReason::Expired,
        RefusalReason::Unconfirmed,
    ] {
        messages.push(AgentToEntry::Refused { credit: 5, reason });
    }
    for message in &messages {
        round_trip::<AgentToEntry, AgentToEntryWire>(message);
    }
}

/// Guards against a decoder that panics on arbitrary bytes.
#[test]
fn decode_survives_arbitrary_bytes() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(bytes: Vec<u8>) -> bool {
        let _ = decode_frame::<AgentToEntryWire>(&bytes, 0);
        let _ = decode::<EntryToAgentWire>(&bytes);
        true
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}

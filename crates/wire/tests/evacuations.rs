//! Compatibility of the messages and records about evacuations with earlier versions.

use bytes::Bytes;
use chestnutfork_wire::{CommandWire, ControlMessageWire, StateWire, SubscriberMessageWire, decode, encode};
use serde::{Deserialize, Serialize};

/// Snapshot as written and read by versions without evacuations.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerState {
    c: Bytes,
    v: Option<u8>,
    d: Option<(u64, Bytes)>,
}

/// Message to control as sent and read by versions without evacuations.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum FormerSubscriberMessage {
    #[serde(rename = "s")]
    Subscribe { v: u64, d: String },
}

fn round_trip<A: Serialize, B: serde::de::DeserializeOwned>(value: &A) -> B {
    let mut bytes = Vec::new();
    encode(value, &mut bytes).expect("encodes");
    decode(&bytes).expect("decodes")
}

/// Guards against a control process that cannot start on the snapshot of an earlier version, and against one that adds a field
/// to snapshots where nothing was ever evacuated.
#[test]
fn state_is_compatible_with_former_version() {
    let former = FormerState {
        c: Bytes::from_static(b"config"),
        v: None,
        d: Some((4, Bytes::from_static(b"routes"))),
    };
    let state: StateWire = round_trip(&former);
    assert_eq!(state.evacuations, None);
    assert_eq!(state.document, former.d);
    let mut expected = Vec::new();
    encode(&former, &mut expected).expect("encodes");
    assert_eq!(state.to_bytes().expect("encodes"), expected);
}

/// Guards against evacuations that a snapshot or the log does not keep.
#[test]
fn records_round_trip() {
    let state = StateWire {
        config: Bytes::from_static(b"config"),
        view: None,
        document: None,
        evacuations: Some((7, vec!["zone-a".to_owned(), "zone/ü".to_owned()])),
    };
    let bytes = state.to_bytes().expect("encodes");
    assert_eq!(StateWire::from_bytes(&bytes).expect("decodes"), state);
    let command = CommandWire::Evacuate("zone-a".to_owned(), true);
    let bytes = command.to_bytes().expect("encodes");
    assert_eq!(CommandWire::from_bytes(&bytes).expect("decodes"), command);
    let message = ControlMessageWire::Evacuations {
        revision: 7,
        domains: vec!["zone-a".to_owned()],
        age_us: 12,
    };
    assert_eq!(round_trip::<_, ControlMessageWire>(&message), message);
}

/// Guards against a subscription that an earlier control process cannot read, which would close the link, and against a
/// subscription of an earlier version that is taken for one to the evacuations.
#[test]
fn subscribe_is_compatible_with_former_version() {
    let message = SubscriberMessageWire::Subscribe {
        version: u64::MAX,
        failure_domain: "zone-a".to_owned(),
        evacuations: true,
    };
    assert_eq!(round_trip::<_, SubscriberMessageWire>(&message), message);
    let former: FormerSubscriberMessage = round_trip(&message);
    let FormerSubscriberMessage::Subscribe { v, .. } = &former;
    assert_eq!(*v, u64::MAX);
    let read: SubscriberMessageWire = round_trip(&former);
    assert!(matches!(
        read,
        SubscriberMessageWire::Subscribe {
            evacuations: false,
            ..
        }
    ));
}

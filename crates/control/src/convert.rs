//! Conversion between the messages of the core and their wire types.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_config::Patch;
use chestnutfork_documents::Document;
use chestnutfork_raft::Message;
use chestnutfork_register::View;
use chestnutfork_wire::{
    CodecError, ConfirmWire, ControlMessageWire, EntryInfoWire, OperatorRequestWire, RenewalWire,
    ReplicaConfirmWire, ReplicaHelloWire, ReplicaMessageWire, SubscriberMessageWire, ViewWire,
};

use crate::message::{
    Confirmation, ControlMessage, EntryInfo, OperatorRequest, PeerMessage, Renewal, ReplicaHello, Reply,
    SubscriberMessage, ViewRecord,
};

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl From<EntryInfo> for EntryInfoWire {
    fn from(info: EntryInfo) -> Self {
        Self {
            process: info.process,
            name: info.name,
            address: info.address,
            failure_domain: info.failure_domain,
        }
    }
}

impl From<EntryInfoWire> for EntryInfo {
    fn from(wire: EntryInfoWire) -> Self {
        Self {
            process: wire.process,
            name: wire.name,
            address: wire.address,
            failure_domain: wire.failure_domain,
        }
    }
}

impl From<Renewal> for RenewalWire {
    fn from(renewal: Renewal) -> Self {
        Self {
            info: renewal.info.into(),
            is_entry: renewal.is_entry,
            version: renewal.version,
            synced: renewal.synced,
            age_us: micros(renewal.age),
            leaving: renewal.leaving,
        }
    }
}

impl From<RenewalWire> for Renewal {
    fn from(wire: RenewalWire) -> Self {
        Self {
            info: wire.info.into(),
            is_entry: wire.is_entry,
            version: wire.version,
            synced: wire.synced,
            age: Duration::from_micros(wire.age_us),
            leaving: wire.leaving,
        }
    }
}

impl From<ViewRecord> for ViewWire {
    fn from(record: ViewRecord) -> Self {
        let view = record.view;
        Self {
            number: view.number,
            members: view.members,
            learners: view.learners,
            floor_ms: view
                .floor
                .map(|floor| u64::try_from(floor.as_millis()).unwrap_or(u64::MAX)),
            settled: view.settled,
            settled_size: view.settled_size as u64,
            survivors: view.survivors,
            entries: record.entries.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<ViewWire> for ViewRecord {
    fn from(wire: ViewWire) -> Self {
        let view = View {
            number: wire.number,
            members: wire.members,
            learners: wire.learners,
            floor: wire.floor_ms.map(Duration::from_millis),
            settled: wire.settled,
            settled_size: usize::try_from(wire.settled_size).unwrap_or(usize::MAX),
            survivors: wire.survivors,
        };
        let entries = wire.entries.into_iter().map(Into::into).collect();
        Self { view, entries }
    }
}

impl From<OperatorRequest> for OperatorRequestWire {
    fn from(request: OperatorRequest) -> Self {
        match request {
            OperatorRequest::Patch { patch, dry_run } => {
                let body = Bytes::from(patch.body.to_string());
                Self::Patch(patch.base, patch.id, patch.reason, body, dry_run)
            }
            OperatorRequest::Status => Self::Status,
            OperatorRequest::Audit { since } => Self::Audit(since),
            OperatorRequest::Config => Self::Config,
            OperatorRequest::Replace { remove, add, reason } => Self::Replace(remove, add, reason),
            OperatorRequest::PutDocument(document) => Self::PutDocument(document.version, document.content),
            OperatorRequest::GetDocument => Self::GetDocument,
            OperatorRequest::Evacuate { domain, evacuated } => Self::Evacuate(domain, evacuated),
        }
    }
}

/// Decodes a forwarded request. A patch on the wire lacks the operator, whose name is a field of the message.
fn operator_request(operator: &str, wire: OperatorRequestWire) -> Result<OperatorRequest, CodecError> {
    Ok(match wire {
        OperatorRequestWire::Patch(base, id, reason, body, dry_run) => {
            let body = serde_json::from_slice(&body).map_err(|error| CodecError::Decode {
                reason: error.to_string(),
            })?;
            let patch = Patch {
                base,
                id,
                operator: operator.to_owned(),
                reason,
                body,
            };
            OperatorRequest::Patch { patch, dry_run }
        }
        OperatorRequestWire::Status => OperatorRequest::Status,
        OperatorRequestWire::Audit(since) => OperatorRequest::Audit { since },
        OperatorRequestWire::Config => OperatorRequest::Config,
        OperatorRequestWire::Replace(remove, add, reason) => OperatorRequest::Replace { remove, add, reason },
        OperatorRequestWire::PutDocument(version, content) => {
            OperatorRequest::PutDocument(Document { version, content })
        }
        OperatorRequestWire::GetDocument => OperatorRequest::GetDocument,
        OperatorRequestWire::Evacuate(domain, evacuated) => OperatorRequest::Evacuate { domain, evacuated },
    })
}

impl From<PeerMessage> for ReplicaMessageWire {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Hello(hello) => Self::Hello(ReplicaHelloWire {
                replica: hello.replica,
                members: hello.members,
                initial: hello.initial,
                operator_address: hello.operator_address,
            }),
            PeerMessage::Raft(message) => Self::Raft(message.into()),
            PeerMessage::Probe(probe) => Self::Probe(probe),
            PeerMessage::Confirm(confirmation) => Self::Confirm(ReplicaConfirmWire {
                probe: confirmation.probe,
                version: confirmation.version,
                age_us: micros(confirmation.age),
            }),
            PeerMessage::Renewals(renewals) => Self::Renewals(renewals.into_iter().map(Into::into).collect()),
            PeerMessage::Request {
                id,
                operator,
                request,
            } => Self::Request(id, operator, request.into()),
            PeerMessage::Answer { id, reply } => Self::Answer(id, reply.status, reply.body),
            PeerMessage::Addresses(addresses) => Self::Addresses(addresses),
        }
    }
}

impl TryFrom<ReplicaMessageWire> for PeerMessage {
    type Error = CodecError;

    fn try_from(wire: ReplicaMessageWire) -> Result<Self, CodecError> {
        Ok(match wire {
            ReplicaMessageWire::Hello(hello) => Self::Hello(ReplicaHello {
                replica: hello.replica,
                members: hello.members,
                initial: hello.initial,
                operator_address: hello.operator_address,
            }),
            ReplicaMessageWire::Raft(message) => Self::Raft(Message::try_from(message)?),
            ReplicaMessageWire::Probe(probe) => Self::Probe(probe),
            ReplicaMessageWire::Confirm(confirm) => Self::Confirm(Confirmation {
                probe: confirm.probe,
                version: confirm.version,
                age: Duration::from_micros(confirm.age_us),
            }),
            ReplicaMessageWire::Renewals(renewals) => {
                Self::Renewals(renewals.into_iter().map(Into::into).collect())
            }
            ReplicaMessageWire::Request(id, operator, request) => Self::Request {
                id,
                request: operator_request(&operator, request)?,
                operator,
            },
            ReplicaMessageWire::Answer(id, status, body) => {
                let reply = Reply { status, body };
                Self::Answer { id, reply }
            }
            ReplicaMessageWire::Addresses(addresses) => Self::Addresses(addresses),
        })
    }
}

impl From<SubscriberMessageWire> for SubscriberMessage {
    fn from(wire: SubscriberMessageWire) -> Self {
        match wire {
            SubscriberMessageWire::Subscribe {
                evacuations: true, ..
            } => Self::WatchEvacuations,
            SubscriberMessageWire::Subscribe {
                version: have,
                failure_domain,
                ..
            } => Self::Subscribe { have, failure_domain },
            SubscriberMessageWire::Ack(version) => Self::Ack(version),
            SubscriberMessageWire::Renew {
                probe,
                version,
                synced,
            } => Self::Renew {
                probe,
                version,
                synced,
            },
            SubscriberMessageWire::Leaving => Self::Leaving,
            SubscriberMessageWire::Follow(have) => Self::Follow { have },
            SubscriberMessageWire::Watch => Self::Watch,
            SubscriberMessageWire::Fetch { version, offset } => Self::Fetch { version, offset },
        }
    }
}

impl From<ControlMessage> for ControlMessageWire {
    fn from(message: ControlMessage) -> Self {
        match message {
            ControlMessage::Update(update) => Self::Update(update),
            ControlMessage::Confirm(confirmation) => Self::Confirm(ConfirmWire::new(
                confirmation.probe,
                confirmation.version,
                confirmation.age,
            )),
            ControlMessage::View(record) => Self::View(record.into()),
            ControlMessage::Document(document) => Self::Document(document.version, document.content),
            ControlMessage::Directory { controls, entries } => Self::Directory(controls, entries),
            ControlMessage::Announce(version) => Self::Announce(version),
            ControlMessage::Part(part) => Self::Part(part.into()),
            ControlMessage::Evacuations { state, age } => Self::Evacuations {
                revision: state.revision,
                domains: state.domains.into_iter().collect(),
                age_us: micros(age),
            },
        }
    }
}

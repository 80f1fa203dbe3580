//! Handlers of links: hand their events to the actor.

use chestnutfork_events::{LinkEvent, emit};
use chestnutfork_net::{Identity, LinkError, LinkHandler, LinkId, LinkSender, Session};
use chestnutfork_wire::{ControlMessageWire, ReplicaMessageWire, Role, SubscriberMessageWire};
use ractor::ActorRef;

use crate::message::{EntryInfo, Event, PeerMessage, SubscriberIdentity, SubscriberMessage};
use crate::replica::ReplicaMessage;

/// Handler of links to other control processes.
#[derive(Clone, Debug)]
pub(crate) struct PeerLinks {
    pub(crate) actor: ActorRef<ReplicaMessage>,
}

impl LinkHandler for PeerLinks {
    type In = ReplicaMessageWire;
    type Out = ReplicaMessageWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<ReplicaMessageWire>) {
        // A stopped actor needs no events; the same holds below.
        drop(self.actor.cast(ReplicaMessage::PeerUp { link, peer, tx }));
    }

    fn received(&self, link: LinkId, messages: Vec<ReplicaMessageWire>) {
        let decoded = messages.into_iter().filter_map(decode);
        let messages: Vec<PeerMessage> = decoded.collect();
        let event = Event::FromPeer { link, messages };
        drop(self.actor.cast(ReplicaMessage::Event(event)));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(ReplicaMessage::PeerDown { link }));
    }
}

/// Converts a message; one that cannot be used is logged and dropped, which the protocol takes for a loss.
fn decode(wire: ReplicaMessageWire) -> Option<PeerMessage> {
    match PeerMessage::try_from(wire) {
        Ok(message) => Some(message),
        Err(error) => {
            let error = error.to_string();
            emit(&LinkEvent::ProtocolError {
                peer: "control",
                error: &error,
            });
            None
        }
    }
}

/// Handler of links from entries and agents.
#[derive(Clone, Debug)]
pub(crate) struct SubscriberLinks {
    pub(crate) actor: ActorRef<ReplicaMessage>,
}

impl LinkHandler for SubscriberLinks {
    type In = SubscriberMessageWire;
    type Out = ControlMessageWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<ControlMessageWire>) {
        let identity = SubscriberIdentity {
            is_entry: peer.role == Role::Entry,
            info: EntryInfo {
                process: peer.process,
                name: peer.name,
                address: peer.address,
                failure_domain: String::new(),
            },
        };
        drop(
            self.actor
                .cast(ReplicaMessage::SubscriberUp { link, identity, tx }),
        );
    }

    fn received(&self, link: LinkId, messages: Vec<SubscriberMessageWire>) {
        let messages = messages.into_iter().map(SubscriberMessage::from).collect();
        let event = Event::FromSubscriber { link, messages };
        drop(self.actor.cast(ReplicaMessage::Event(event)));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(ReplicaMessage::SubscriberDown { link }));
    }
}

/// Runs an accepted link with the handler for the peer's role.
pub(crate) async fn run_session(session: Session, actor: ActorRef<ReplicaMessage>) {
    match session.peer().role {
        Role::Control => session.run(PeerLinks { actor }).await,
        Role::Entry | Role::Agent => session.run(SubscriberLinks { actor }).await,
    }
}

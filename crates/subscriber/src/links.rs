//! Handler of the link to control.

use chestnutfork_net::{Identity, LinkError, LinkHandler, LinkId, LinkSender};
use chestnutfork_wire::{ControlMessageWire, SubscriberMessageWire};
use ractor::ActorRef;

use crate::actor::SubscriberMessage;

/// Handler of the link to one of the configured control processes; it forwards link events to the actor.
#[derive(Clone, Debug)]
pub(crate) struct ControlLink {
    pub(crate) actor: ActorRef<SubscriberMessage>,
    pub(crate) control_index: usize,
}

impl LinkHandler for ControlLink {
    type In = ControlMessageWire;
    type Out = SubscriberMessageWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<SubscriberMessageWire>) {
        // Casting fails only if the actor has stopped; the event is then irrelevant. The same applies below.
        let message = SubscriberMessage::LinkUp {
            link,
            control_index: self.control_index,
            name: peer.name,
            tx,
        };
        drop(self.actor.cast(message));
    }

    fn received(&self, link: LinkId, messages: Vec<ControlMessageWire>) {
        drop(self.actor.cast(SubscriberMessage::FromControl { link, messages }));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(SubscriberMessage::LinkDown { link }));
    }
}

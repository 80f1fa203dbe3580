//! Link handlers for agents and other entries, which forward link events to the entry's actor.

use chestnutfork_dispatch::PeerMessage;
use chestnutfork_net::{Identity, LinkError, LinkHandler, LinkId, LinkSender};
use chestnutfork_types::AgentToEntry;
use chestnutfork_wire::{AgentToEntryWire, EntryToAgentWire, PeerMessageWire};
use ractor::ActorRef;

use crate::actor::EntryMessage;

/// Handler of links from agents.
#[derive(Clone, Debug)]
pub(crate) struct AgentLinkHandler {
    pub(crate) actor: ActorRef<EntryMessage>,
}

impl LinkHandler for AgentLinkHandler {
    type In = AgentToEntryWire;
    type Out = EntryToAgentWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<EntryToAgentWire>) {
        // Events for a stopped actor are dropped, here and below.
        drop(self.actor.cast(EntryMessage::AgentUp {
            link,
            agent: peer.process,
            tx,
        }));
    }

    fn received(&self, link: LinkId, messages: Vec<AgentToEntryWire>) {
        let messages = messages.into_iter().map(AgentToEntry::from).collect();
        drop(self.actor.cast(EntryMessage::FromAgent { link, messages }));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(EntryMessage::AgentDown { link }));
    }
}

/// Handler of links between entries.
#[derive(Clone, Debug)]
pub(crate) struct PeerLinkHandler {
    pub(crate) actor: ActorRef<EntryMessage>,
}

impl LinkHandler for PeerLinkHandler {
    type In = PeerMessageWire;
    type Out = PeerMessageWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<PeerMessageWire>) {
        drop(self.actor.cast(EntryMessage::PeerUp {
            link,
            peer: peer.process,
            tx,
        }));
    }

    fn received(&self, link: LinkId, messages: Vec<PeerMessageWire>) {
        // A message that this version cannot represent is dropped; the register retransmits or times out.
        let messages = messages
            .into_iter()
            .filter_map(|wire| PeerMessage::try_from(wire).ok())
            .collect();
        drop(self.actor.cast(EntryMessage::FromPeer { link, messages }));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(EntryMessage::PeerDown { link }));
    }
}

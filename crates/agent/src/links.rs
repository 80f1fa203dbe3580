//! Link handler for entries, which forwards link events to the agent's actor.

use chestnutfork_net::{Identity, LinkError, LinkHandler, LinkId, LinkSender};
use chestnutfork_types::EntryToAgent;
use chestnutfork_wire::{AgentToEntryWire, EntryToAgentWire};
use ractor::ActorRef;

use crate::actor::{AgentMessage, EntryLink};

/// Handler of links to entries.
#[derive(Clone, Debug)]
pub(crate) struct EntryLinkHandler {
    pub(crate) actor: ActorRef<AgentMessage>,
}

impl LinkHandler for EntryLinkHandler {
    type In = EntryToAgentWire;
    type Out = AgentToEntryWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<AgentToEntryWire>) {
        let entry = EntryLink {
            process: peer.process,
            address: peer.address,
        };
        // Events for a stopped actor are dropped, here and below.
        drop(self.actor.cast(AgentMessage::LinkUp { link, entry, tx }));
    }

    fn received(&self, link: LinkId, messages: Vec<EntryToAgentWire>) {
        let messages = messages.into_iter().map(EntryToAgent::from).collect();
        drop(self.actor.cast(AgentMessage::FromEntry { link, messages }));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(AgentMessage::LinkDown { link }));
    }
}

//! Handlers of the links between entries and agents: hand their events to the actors.

use chestnutfork_net::{Identity, LinkError, LinkHandler, LinkId, LinkSender};
use chestnutfork_wire::{EntryToWorkerWire, WorkerToEntryWire};
use ractor::ActorRef;

use crate::agent::AgentMessage;
use crate::entry::EntryMessage;

/// Handler of an entry's links to agents.
#[derive(Clone, Debug)]
pub(crate) struct AgentLinkHandler {
    pub(crate) actor: ActorRef<EntryMessage>,
}

impl LinkHandler for AgentLinkHandler {
    type In = WorkerToEntryWire;
    type Out = EntryToWorkerWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<EntryToWorkerWire>) {
        // A stopped actor needs no events; the same holds below.
        drop(self.actor.cast(EntryMessage::AgentUp { link, peer, tx }));
    }

    fn received(&self, link: LinkId, messages: Vec<WorkerToEntryWire>) {
        drop(self.actor.cast(EntryMessage::FromAgent { link, messages }));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(EntryMessage::AgentDown { link }));
    }
}

/// Handler of an agent's links to entries.
#[derive(Clone, Debug)]
pub(crate) struct EntryLinkHandler {
    pub(crate) actor: ActorRef<AgentMessage>,
}

impl LinkHandler for EntryLinkHandler {
    type In = EntryToWorkerWire;
    type Out = WorkerToEntryWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<WorkerToEntryWire>) {
        drop(self.actor.cast(AgentMessage::EntryUp { link, peer, tx }));
    }

    fn received(&self, link: LinkId, messages: Vec<EntryToWorkerWire>) {
        drop(self.actor.cast(AgentMessage::FromEntry { link, messages }));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(AgentMessage::EntryDown { link }));
    }
}

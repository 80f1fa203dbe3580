//! Handlers of the links between entries and agents, which forward link events to the actors.

use chestnutfork_net::{Identity, LinkError, LinkHandler, LinkId, LinkSender};
use chestnutfork_wire::{EntryToWorkerWire, WorkerToEntryWire};
use ractor::ActorRef;

use crate::agent::AgentMessage;
use crate::entry::EntryMessage;

/// Forwards the events of links to agents to the actor of an entry.
#[derive(Clone, Debug)]
pub(crate) struct AgentLinkHandler {
    pub(crate) actor: ActorRef<EntryMessage>,
}

impl LinkHandler for AgentLinkHandler {
    type In = WorkerToEntryWire;
    type Out = EntryToWorkerWire;

    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<EntryToWorkerWire>) {
        // The cast fails only if the actor has stopped and needs no events; the same applies to the other casts here.
        drop(self.actor.cast(EntryMessage::AgentUp { link, peer, tx }));
    }

    fn received(&self, link: LinkId, messages: Vec<WorkerToEntryWire>) {
        drop(self.actor.cast(EntryMessage::FromAgent { link, messages }));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        drop(self.actor.cast(EntryMessage::AgentDown { link }));
    }
}

/// Forwards the events of links to entries to the actor of an agent.
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

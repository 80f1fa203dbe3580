//! Actor that owns the entry core, its links and the response channels of waiting callers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chestnutfork_dispatch::{
    Action, EntryCore, EntryStatus, Event, JobResult, PeerMessage, PolicyTable, Ticket,
};
use chestnutfork_net::{DialTemplate, Dialer, LinkId, LinkSender, Metrics, Wakeup, now};
use chestnutfork_register::View;
use chestnutfork_subscriber::Subscription;
use chestnutfork_types::{AgentToEntry, JobId, JobSpec, ProcessId, TeamName};
use chestnutfork_wire::{EntryToAgentWire, PeerMessageWire};
use indexmap::IndexMap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;

use crate::links::PeerLinkHandler;

/// Message to the entry's actor.
#[derive(Debug)]
pub(crate) enum EntryMessage {
    /// A caller submits a job.
    Submit {
        ticket: Ticket,
        job: JobSpec,
        fresh_id: bool,
        reply: oneshot::Sender<JobResult>,
    },
    /// A caller stopped waiting.
    Abandon { ticket: Ticket },
    /// A caller cancels a job.
    Cancel {
        ticket: Ticket,
        job: JobId,
        team: TeamName,
        reply: oneshot::Sender<JobResult>,
    },
    /// A link from an agent is open.
    AgentUp {
        link: LinkId,
        agent: ProcessId,
        tx: LinkSender<EntryToAgentWire>,
    },
    /// An agent sent messages.
    FromAgent {
        link: LinkId,
        messages: Vec<AgentToEntry>,
    },
    /// A link from an agent is closed.
    AgentDown { link: LinkId },
    /// A link to another entry is open.
    PeerUp {
        link: LinkId,
        peer: ProcessId,
        tx: LinkSender<PeerMessageWire>,
    },
    /// Another entry sent messages.
    FromPeer {
        link: LinkId,
        messages: Vec<PeerMessage>,
    },
    /// A link to another entry is closed.
    PeerDown { link: LinkId },
    /// The subscription to control has started.
    Subscribed(Subscription),
    /// Entries to dial, by link address.
    Peers(Vec<String>),
    /// Control committed a view.
    View(View),
    /// A configuration version was applied.
    Policies(PolicyTable),
    /// The configuration became confirmed or unconfirmed.
    Confirmed(bool),
    /// The timer fired.
    Tick,
    /// Requests the current status.
    Status(oneshot::Sender<EntryStatus>),
    /// Requests that new jobs are refused; the reply is sent once no job is left.
    Drain(oneshot::Sender<()>),
}

/// Actor that owns the entry core.
#[derive(Debug)]
pub(crate) struct EntryActor;

/// Arguments for starting the actor.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) core: EntryCore,
    pub(crate) dial: DialTemplate,
    pub(crate) metrics: Metrics,
}

/// Links of one kind, indexed by link and by peer.
#[derive(Debug)]
struct Links<Out> {
    peers: IndexMap<LinkId, ProcessId>,
    senders: IndexMap<ProcessId, (LinkId, LinkSender<Out>)>,
}

impl<Out> Default for Links<Out> {
    fn default() -> Self {
        Self {
            peers: IndexMap::new(),
            senders: IndexMap::new(),
        }
    }
}

impl<Out> Links<Out> {
    /// Adds a link and reports whether it replaces one to the same incarnation.
    fn open(&mut self, link: LinkId, peer: ProcessId, tx: LinkSender<Out>) -> bool {
        self.peers.insert(link, peer);
        self.senders.insert(peer, (link, tx)).is_some()
    }

    /// Removes a link and returns its peer if no newer link to it is open.
    fn close(&mut self, link: LinkId) -> Option<ProcessId> {
        let peer = self.peers.swap_remove(&link)?;
        let current = self
            .senders
            .get(&peer)
            .is_some_and(|&(current, _)| current == link);
        if !current {
            return None;
        }
        self.senders.swap_remove(&peer);
        Some(peer)
    }

    /// Returns the peer of a link if it is the current link to that peer.
    fn peer(&self, link: LinkId) -> Option<ProcessId> {
        let &peer = self.peers.get(&link)?;
        let current = self
            .senders
            .get(&peer)
            .is_some_and(|&(current, _)| current == link);
        current.then_some(peer)
    }

    fn send(&self, peer: ProcessId, message: Out) {
        if let Some((_, tx)) = self.senders.get(&peer) {
            tx.send(message);
        }
    }
}

/// State of the actor.
#[derive(Debug)]
pub(crate) struct State {
    core: EntryCore,
    myself: ActorRef<EntryMessage>,
    wakeup: Wakeup,
    agents: Links<EntryToAgentWire>,
    peers: Links<PeerMessageWire>,
    dial: DialTemplate,
    dialers: IndexMap<String, Dialer>,
    callers: IndexMap<Ticket, oneshot::Sender<JobResult>>,
    metrics: Metrics,
    /// Set right after the start; used to report to control for which view the register has been copied.
    subscription: Option<Subscription>,
    drain_waiters: Vec<oneshot::Sender<()>>,
    is_drained: bool,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Actor for EntryActor {
    type Msg = EntryMessage;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<EntryMessage>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let timer_target = myself.clone();
        let wakeup = Wakeup::start(move || drop(timer_target.cast(EntryMessage::Tick)));
        Ok(State {
            core: arguments.core,
            myself,
            wakeup,
            agents: Links::default(),
            peers: Links::default(),
            dial: arguments.dial,
            dialers: IndexMap::new(),
            callers: IndexMap::new(),
            metrics: arguments.metrics,
            subscription: None,
            drain_waiters: Vec::new(),
            is_drained: false,
            events: Vec::new(),
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<EntryMessage>,
        message: EntryMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.receive(message);
        state.process_events();
        Ok(())
    }
}

impl State {
    /// Translates a message into events for the core.
    fn receive(&mut self, message: EntryMessage) {
        match message {
            EntryMessage::Submit {
                ticket,
                job,
                fresh_id,
                reply,
            } => {
                self.callers.insert(ticket, reply);
                self.events.push(Event::Submit {
                    ticket,
                    job,
                    fresh_id,
                });
            }
            EntryMessage::Abandon { ticket } => {
                if self.callers.swap_remove(&ticket).is_some() {
                    self.events.push(Event::Abandon { ticket });
                }
            }
            EntryMessage::Cancel {
                ticket,
                job,
                team,
                reply,
            } => {
                self.callers.insert(ticket, reply);
                self.events.push(Event::Cancel { ticket, job, team });
            }
            EntryMessage::AgentUp { link, agent, tx } => {
                if self.agents.open(link, agent, tx) {
                    self.events.push(Event::AgentDown { agent });
                }
                self.events.push(Event::AgentUp { agent });
            }
            EntryMessage::FromAgent { link, messages } => {
                if let Some(agent) = self.agents.peer(link) {
                    let events = messages.into_iter();
                    self.events
                        .extend(events.map(|message| Event::AgentMessage { agent, message }));
                }
            }
            EntryMessage::AgentDown { link } => {
                self.events
                    .extend(self.agents.close(link).map(|agent| Event::AgentDown { agent }));
            }
            EntryMessage::PeerUp { link, peer, tx } => {
                if self.peers.open(link, peer, tx) {
                    self.events.push(Event::PeerDown { peer });
                }
                self.events.push(Event::PeerUp { peer });
            }
            EntryMessage::FromPeer { link, messages } => {
                if let Some(peer) = self.peers.peer(link) {
                    let events = messages.into_iter();
                    self.events
                        .extend(events.map(|message| Event::PeerMessage { peer, message }));
                }
            }
            EntryMessage::PeerDown { link } => {
                self.events
                    .extend(self.peers.close(link).map(|peer| Event::PeerDown { peer }));
            }
            EntryMessage::Subscribed(subscription) => self.subscription = Some(subscription),
            EntryMessage::Peers(addresses) => self.set_peers(&addresses),
            EntryMessage::View(view) => self.events.push(Event::ViewInstalled(view)),
            EntryMessage::Policies(table) => self.events.push(Event::Policies(table)),
            EntryMessage::Confirmed(confirmed) => self.events.push(Event::Confirmed(confirmed)),
            EntryMessage::Tick => self.events.push(Event::Tick),
            EntryMessage::Status(reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.core.status());
            }
            EntryMessage::Drain(done) => {
                self.drain_waiters.push(done);
                self.events.push(Event::Drain);
                if self.is_drained {
                    self.notify_drained();
                }
            }
        }
    }

    fn set_peers(&mut self, addresses: &[String]) {
        self.dialers.retain(|address, _| addresses.contains(address));
        for address in addresses {
            if self.dialers.contains_key(address) {
                continue;
            }
            let handler = PeerLinkHandler {
                actor: self.myself.clone(),
            };
            let dialer = self.dial.dial_entry(address, handler);
            self.dialers.insert(address.clone(), dialer);
        }
    }

    /// Passes the collected events to the core and performs the resulting actions.
    fn process_events(&mut self) {
        if self.events.is_empty() {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.core
            .handle_all(now(), unix_time(), self.events.drain(..), &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.wakeup.set(self.core.next_wakeup());
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::ToAgent { agent, message } => {
                if let chestnutfork_types::EntryToAgent::Dispatch(_) = message {
                    self.metrics.count("entry.dispatches", 1);
                }
                self.agents.send(agent, message.into());
            }
            Action::ToPeer { peer, message } => self.peers.send(peer, message.into()),
            Action::Reply { ticket, result } => {
                if let Err(refusal) = &result {
                    self.metrics.count(&format!("entry.refusals.{}", refusal.code), 1);
                }
                if let Some(caller) = self.callers.swap_remove(&ticket) {
                    // The caller may have disconnected.
                    let _ = caller.send(result);
                }
            }
            Action::Synced { view } => {
                if let Some(subscription) = &self.subscription {
                    subscription.report_synced(view);
                }
            }
            Action::Drained => {
                self.is_drained = true;
                self.notify_drained();
            }
        }
    }

    fn notify_drained(&mut self) {
        for done in self.drain_waiters.drain(..) {
            let _ = done.send(());
        }
    }
}

/// Returns the time since the Unix epoch, or zero if the clock is before the epoch.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

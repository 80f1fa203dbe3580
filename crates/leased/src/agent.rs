//! Actor that owns the agent core and the links to entries, and starts the calls to the worker.

use std::time::Duration;

use chestnutfork_events::{RunsEvent, emit};
use chestnutfork_net::{DialTemplate, Dialer, Identity, LinkId, LinkSender, Metrics};
use chestnutfork_types::{FailureDomain, WorkerName, WorkerToEntry};
use chestnutfork_wire::{
    ControlMessageWire, EntryToWorkerWire, Role, SubscriberMessageWire, WorkerToEntryWire,
};
use chestnutfork_worker::{Action, Announcement, CallId, Event, Notice, Order, Reply, WorkerCore};
use indexmap::IndexMap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;

use crate::clock::LeaseClock;
use crate::control::{ControlConnections, ControlEvent, ControlObserver};
use crate::evacuations::{ReceivedEvacuations, first_messages, received_evacuations};
use crate::links::EntryLinkHandler;
use crate::notices;
use crate::timer::LeaseTimer;

/// Client for the worker on the same machine as the agent.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Sends an order to the worker and returns the outcome within a bounded time.
    fn call(&self, address: &str, worker: &str, order: Order) -> impl Future<Output = Reply> + Send;
}

/// Message to the actor of an agent.
#[derive(Debug)]
pub(crate) enum AgentMessage {
    Control(ControlEvent),
    EntryUp {
        link: LinkId,
        peer: Identity,
        tx: LinkSender<WorkerToEntryWire>,
    },
    EntryDown {
        link: LinkId,
    },
    FromEntry {
        link: LinkId,
        messages: Vec<EntryToWorkerWire>,
    },
    /// The worker announced itself. The actor replies after the core has processed the announcement.
    Announced {
        announcement: Announcement,
        reply: oneshot::Sender<()>,
    },
    /// The worker withdrew its announcement.
    Withdrawn {
        worker: WorkerName,
        reply: oneshot::Sender<()>,
    },
    /// A call to the worker returned.
    Replied {
        call: CallId,
        reply: Reply,
    },
    /// The lease timer fired.
    Tick,
    /// Stops accepting tasks. The actor replies when no task is running.
    Drain(oneshot::Sender<()>),
}

/// Client that delivers announcements of the worker to a running agent.
#[derive(Clone, Debug)]
pub struct AgentClient {
    actor: ActorRef<AgentMessage>,
}

impl AgentClient {
    pub(crate) fn new(actor: ActorRef<AgentMessage>) -> Self {
        Self { actor }
    }

    /// Delivers an announcement. Returns `false` if the agent has stopped.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        let (reply, done) = oneshot::channel();
        let message = AgentMessage::Announced { announcement, reply };
        self.actor.cast(message).is_ok() && done.await.is_ok()
    }

    /// Withdraws the announcement of a worker. Returns `false` if the agent has stopped.
    pub async fn withdraw(&self, worker: WorkerName) -> bool {
        let (reply, done) = oneshot::channel();
        let message = AgentMessage::Withdrawn { worker, reply };
        self.actor.cast(message).is_ok() && done.await.is_ok()
    }
}

#[derive(Clone, Debug)]
pub(crate) struct AgentControlObserver {
    actor: ActorRef<AgentMessage>,
}

impl ControlObserver for AgentControlObserver {
    fn notify(&self, event: ControlEvent) {
        // The cast fails only if the actor has stopped and needs no events.
        drop(self.actor.cast(AgentMessage::Control(event)));
    }
}

/// Actor of an agent that calls its worker through `W`.
pub(crate) struct AgentActor<W> {
    pub(crate) worker: W,
}

/// Start-up arguments of the actor.
#[derive(Debug)]
pub(crate) struct AgentArguments {
    pub(crate) core: WorkerCore,
    pub(crate) clock: LeaseClock,
    pub(crate) dial_template: DialTemplate,
    pub(crate) seeds: Vec<String>,
    pub(crate) metrics: Metrics,
    pub(crate) failure_domain: FailureDomain,
    /// Whether to subscribe to the evacuations.
    pub(crate) evacuations: bool,
}

#[derive(Debug)]
pub(crate) struct AgentState {
    myself: ActorRef<AgentMessage>,
    core: WorkerCore,
    timer: LeaseTimer,
    dial_template: DialTemplate,
    control: ControlConnections<AgentControlObserver>,
    /// One dialer per entry address. An entry that leaves the directory keeps its dialer, because it may only be
    /// partitioned from control.
    dialers: IndexMap<String, Dialer>,
    entries: IndexMap<LinkId, LinkSender<WorkerToEntryWire>>,
    drain_replies: Vec<oneshot::Sender<()>>,
    metrics: Metrics,
    failure_domain: FailureDomain,
    evacuations: bool,
    actions: Vec<Action>,
}

impl<W: WorkerClient> Actor for AgentActor<W> {
    type Msg = AgentMessage;
    type State = AgentState;
    type Arguments = AgentArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<AgentMessage>,
        arguments: AgentArguments,
    ) -> Result<AgentState, ActorProcessingErr> {
        let tick_target = myself.clone();
        let notify = move || drop(tick_target.cast(AgentMessage::Tick));
        let timer = LeaseTimer::start(arguments.clock, notify);
        let observer = AgentControlObserver {
            actor: myself.clone(),
        };
        let mut control = ControlConnections::new(arguments.dial_template.clone(), observer);
        control.dial(arguments.seeds);
        let mut state = AgentState {
            myself,
            core: arguments.core,
            timer,
            dial_template: arguments.dial_template,
            control,
            dialers: IndexMap::new(),
            entries: IndexMap::new(),
            drain_replies: Vec::new(),
            metrics: arguments.metrics,
            failure_domain: arguments.failure_domain,
            evacuations: arguments.evacuations,
            actions: Vec::new(),
        };
        state.handle_event(Event::Tick, &self.worker);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<AgentMessage>,
        message: AgentMessage,
        state: &mut AgentState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle_message(message, &self.worker);
        Ok(())
    }
}

impl AgentState {
    fn handle_message<W: WorkerClient>(&mut self, message: AgentMessage, worker: &W) {
        match message {
            AgentMessage::Control(event) => self.on_control_event(event, worker),
            AgentMessage::EntryUp { link, peer, tx } => {
                self.entries.insert(link, tx);
                let entry = peer.process;
                self.handle_event(Event::EntryUp { link, entry }, worker);
            }
            AgentMessage::EntryDown { link } => {
                self.entries.swap_remove(&link);
                self.handle_event(Event::EntryDown { link }, worker);
            }
            AgentMessage::FromEntry { link, messages } => {
                for message in messages {
                    let message = message.into();
                    self.handle_event(Event::FromEntry { link, message }, worker);
                }
            }
            AgentMessage::Announced { announcement, reply } => {
                self.handle_event(Event::Announced(announcement), worker);
                // The sender of the request may have disconnected; the same applies to the reply below.
                let _ = reply.send(());
            }
            AgentMessage::Withdrawn { worker: name, reply } => {
                self.handle_event(Event::Withdrawn(name), worker);
                let _ = reply.send(());
            }
            AgentMessage::Replied { call, reply } => {
                self.handle_event(Event::Replied { call, reply }, worker);
            }
            AgentMessage::Tick => {
                self.timer.on_fired();
                self.handle_event(Event::Tick, worker);
            }
            AgentMessage::Drain(reply) => {
                self.drain_replies.push(reply);
                self.handle_event(Event::Drain, worker);
            }
        }
    }

    fn on_control_event<W: WorkerClient>(&mut self, event: ControlEvent, worker: &W) {
        match event {
            // Agents need no documents. Reporting the highest version keeps control from sending any.
            ControlEvent::LinkOpened { link, tx } => {
                let follow = SubscriberMessageWire::Follow(u64::MAX);
                let first = first_messages(self.evacuations, &self.failure_domain, follow);
                self.control.link_opened(link, tx, first);
            }
            ControlEvent::LinkClosed { link } => self.control.link_closed(link),
            ControlEvent::Messages { messages, .. } => {
                for message in messages {
                    if let Some(ReceivedEvacuations { state, age }) = received_evacuations(&message) {
                        self.handle_event(Event::Evacuations { state, age }, worker);
                    }
                    if let ControlMessageWire::Directory(controls, entries) = message {
                        self.control.dial(controls);
                        self.dial_entries(entries);
                    }
                }
            }
        }
    }

    fn dial_entries(&mut self, entries: Vec<String>) {
        for address in entries {
            let actor = self.myself.clone();
            let dial_template = &self.dial_template;
            self.dialers.entry(address).or_insert_with_key(|address| {
                emit(&RunsEvent::EntryDiscovered { address });
                dial_template.dial(address, Role::Entry, EntryLinkHandler { actor })
            });
        }
    }

    fn handle_event<W: WorkerClient>(&mut self, event: Event, worker: &W) {
        let now = self.timer.now();
        self.core.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.execute(action, worker);
        }
        self.timer.arm(self.core.next_wakeup());
        if self.core.is_drained() {
            for reply in self.drain_replies.drain(..) {
                let _ = reply.send(());
            }
        }
    }

    fn execute<W: WorkerClient>(&mut self, action: Action, worker: &W) {
        match action {
            Action::ToEntry(link, message) => {
                self.count_ended_runs(&message);
                if let Some(tx) = self.entries.get(&link) {
                    // If the link is closed, its handler reports that separately.
                    tx.send(message.into());
                }
            }
            Action::Call {
                call,
                address,
                worker: name,
                order,
            } => {
                let (actor, client) = (self.myself.clone(), worker.clone());
                tokio::spawn(async move {
                    let reply = client.call(&address, &name, order).await;
                    // The cast fails only if the actor has stopped and needs no replies.
                    drop(actor.cast(AgentMessage::Replied { call, reply }));
                });
            }
            Action::Notice(notice) => {
                self.count_notice(&notice);
                notices::log_worker_notice(&notice);
            }
        }
    }

    fn count_ended_runs(&self, message: &WorkerToEntry) {
        if let WorkerToEntry::Ended(ended, _) = message {
            for run in ended {
                self.metrics.count(&format!("runs.{}", run.outcome.as_str()), 1);
                if run.run_time > Duration::ZERO {
                    self.metrics.time("runs.ran", run.run_time);
                }
            }
        }
    }

    fn count_notice(&self, notice: &Notice) {
        match notice {
            Notice::StartRefused { .. } => self.metrics.count("starts.refused", 1),
            Notice::StartUnanswered { .. } => self.metrics.count("starts.unanswered", 1),
            Notice::WorkerLost { confirmed: true, .. } => self.metrics.count("workers.crashed", 1),
            Notice::WorkerLost { .. } => self.metrics.count("workers.lapsed", 1),
            Notice::EntryLapsed { .. } => self.metrics.count("entries.lapsed", 1),
            Notice::EvacuationsInForce { state, .. } => {
                self.metrics.gauge("evacuation.revision", state.revision);
                self.metrics
                    .gauge("evacuation.domains", state.domains.len() as u64);
            }
            _ => {}
        }
    }
}

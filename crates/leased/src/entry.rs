//! Actor that owns the entry core, the links to agents and the pending requests of callers.

use std::time::Instant;

use chestnutfork_broker::{Action, Answer, BrokerCore, Event, Notice, Request, Ticket};
use chestnutfork_net::{Identity, LinkId, LinkSender, Metrics};
use chestnutfork_routes::RouteTable;
use chestnutfork_types::ConfigVersion;
use chestnutfork_wire::{EntryToWorkerWire, WorkerToEntryWire};
use indexmap::IndexMap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;

use crate::clock::LeaseClock;
use crate::evacuations::ReceivedEvacuations;
use crate::notices;
use crate::timer::LeaseTimer;

/// Status of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Whether the entry accepts submissions, has routes and has at least one usable agent.
    pub ready: bool,
    /// Number of jobs that have not ended.
    pub jobs_in_progress: usize,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
}

/// Message to the actor of an entry.
#[derive(Debug)]
pub(crate) enum EntryMessage {
    /// A configuration was received.
    Routes(RouteTable),
    /// The number of entries that are connected to control changed.
    EntryCount(usize),
    /// Evacuations were received.
    Evacuations(ReceivedEvacuations),
    AgentUp {
        link: LinkId,
        peer: Identity,
        tx: LinkSender<EntryToWorkerWire>,
    },
    AgentDown {
        link: LinkId,
    },
    FromAgent {
        link: LinkId,
        messages: Vec<WorkerToEntryWire>,
    },
    Request {
        ticket: Ticket,
        request: Request,
        /// When the process had read the request.
        received_at: Instant,
        reply: oneshot::Sender<Answer>,
    },
    /// A caller disconnected before its request was answered.
    CallerDisconnected(Ticket),
    /// The lease timer fired.
    Tick,
    /// Requests the current status.
    Status(oneshot::Sender<EntryStatus>),
    /// Reports the entry as not ready from now on, because the process is about to stop.
    ReportUnready,
    /// Stops accepting submissions. The actor replies when no job is in progress.
    Drain(oneshot::Sender<()>),
}

/// Client that delivers requests to a running entry.
#[derive(Clone, Debug)]
pub struct EntryClient {
    actor: ActorRef<EntryMessage>,
    clock: LeaseClock,
}

/// Reports the caller as disconnected if its request is dropped before it is answered.
struct CallerGuard {
    actor: ActorRef<EntryMessage>,
    ticket: Option<Ticket>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            // The cast fails only if the actor has stopped, and then no job is left to cancel.
            drop(self.actor.cast(EntryMessage::CallerDisconnected(ticket)));
        }
    }
}

impl EntryClient {
    pub(crate) fn new(actor: ActorRef<EntryMessage>, clock: LeaseClock) -> Self {
        Self { actor, clock }
    }

    /// Serves a request. Dropping the future reports the caller as disconnected.
    ///
    /// Returns `None` if the entry has stopped.
    pub async fn request(&self, request: Request) -> Option<Answer> {
        let received_at = self.clock.now();
        let ticket = rand::random();
        let mut guard = CallerGuard {
            actor: self.actor.clone(),
            ticket: Some(ticket),
        };
        let (reply, answer) = oneshot::channel();
        let message = EntryMessage::Request {
            ticket,
            request,
            received_at,
            reply,
        };
        self.actor.cast(message).ok()?;
        let answer = answer.await.ok();
        guard.ticket = None;
        answer
    }

    /// Returns the status of the entry, or `None` if it has stopped.
    pub async fn status(&self) -> Option<EntryStatus> {
        let (reply, status) = oneshot::channel();
        self.actor.cast(EntryMessage::Status(reply)).ok()?;
        status.await.ok()
    }
}

/// Actor of an entry.
#[derive(Debug)]
pub(crate) struct EntryActor;

/// Start-up arguments of the actor.
#[derive(Debug)]
pub(crate) struct EntryArguments {
    pub(crate) core: BrokerCore,
    pub(crate) clock: LeaseClock,
    pub(crate) metrics: Metrics,
}

#[derive(Debug)]
pub(crate) struct EntryState {
    core: BrokerCore,
    timer: LeaseTimer,
    agents: IndexMap<LinkId, LinkSender<EntryToWorkerWire>>,
    pending_replies: IndexMap<Ticket, oneshot::Sender<Answer>>,
    version: ConfigVersion,
    reports_unready: bool,
    drain_replies: Vec<oneshot::Sender<()>>,
    metrics: Metrics,
    actions: Vec<Action>,
}

impl Actor for EntryActor {
    type Msg = EntryMessage;
    type State = EntryState;
    type Arguments = EntryArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<EntryMessage>,
        arguments: EntryArguments,
    ) -> Result<EntryState, ActorProcessingErr> {
        let notify = move || drop(myself.cast(EntryMessage::Tick));
        let timer = LeaseTimer::start(arguments.clock, notify);
        let mut state = EntryState {
            core: arguments.core,
            timer,
            agents: IndexMap::new(),
            pending_replies: IndexMap::new(),
            version: 0,
            reports_unready: false,
            drain_replies: Vec::new(),
            metrics: arguments.metrics,
            actions: Vec::new(),
        };
        state.handle_event(Event::Tick);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<EntryMessage>,
        message: EntryMessage,
        state: &mut EntryState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle_message(message);
        Ok(())
    }
}

impl EntryState {
    fn handle_message(&mut self, message: EntryMessage) {
        match message {
            EntryMessage::Routes(routes) => {
                self.version = self.version.max(routes.version);
                self.handle_event(Event::Routes(routes));
            }
            EntryMessage::EntryCount(entries) => self.handle_event(Event::EntryCount(entries)),
            EntryMessage::Evacuations(ReceivedEvacuations { state, age }) => {
                self.handle_event(Event::Evacuations { state, age });
            }
            EntryMessage::AgentUp { link, peer, tx } => {
                self.agents.insert(link, tx);
                let (agent, process) = (peer.name, peer.process);
                self.handle_event(Event::AgentUp { link, agent, process });
            }
            EntryMessage::AgentDown { link } => {
                self.agents.swap_remove(&link);
                self.handle_event(Event::AgentDown { link });
            }
            EntryMessage::FromAgent { link, messages } => {
                for message in messages {
                    let message = message.into();
                    self.handle_event(Event::FromAgent { link, message });
                }
            }
            EntryMessage::Request {
                ticket,
                request,
                received_at,
                reply,
            } => {
                self.pending_replies.insert(ticket, reply);
                let waited = self.timer.now().saturating_duration_since(received_at);
                self.metrics.time("requests.waited", waited);
                self.handle_event(Event::Request {
                    ticket,
                    request,
                    received_at,
                });
            }
            EntryMessage::CallerDisconnected(ticket) => {
                self.pending_replies.swap_remove(&ticket);
                self.handle_event(Event::CallerDisconnected { ticket });
            }
            EntryMessage::Tick => {
                self.timer.on_fired();
                self.handle_event(Event::Tick);
                let delay = self.core.processing_delay(self.timer.now());
                let delay = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
                self.metrics.gauge("entry.processing_delay_ms", delay);
                if let Some(pairs) = self.core.interfering_pairs() {
                    self.metrics.gauge("interference.pairs", pairs as u64);
                }
            }
            EntryMessage::Status(reply) => {
                // The requester may have dropped the receiver.
                let _ = reply.send(self.status());
            }
            EntryMessage::ReportUnready => self.reports_unready = true,
            EntryMessage::Drain(reply) => {
                self.reports_unready = true;
                self.drain_replies.push(reply);
                self.handle_event(Event::Drain);
            }
        }
    }

    fn status(&self) -> EntryStatus {
        let usable = self.core.usable_agents(self.timer.now());
        EntryStatus {
            ready: !self.reports_unready && self.core.has_routes() && usable > 0,
            jobs_in_progress: self.core.jobs_in_progress(),
            config_version: self.version,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.timer.now();
        self.core.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.execute(action);
        }
        self.timer.arm(self.core.next_wakeup());
        if self.core.jobs_in_progress() == 0 {
            for reply in self.drain_replies.drain(..) {
                let _ = reply.send(());
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::ToAgent(link, message) => {
                if let Some(tx) = self.agents.get(&link) {
                    // If the link is closed, its handler reports that separately.
                    tx.send(message.into());
                }
            }
            Action::Answer(ticket, answer) => {
                if let Some(reply) = self.pending_replies.swap_remove(&ticket) {
                    // The caller may have disconnected.
                    let _ = reply.send(answer);
                }
            }
            Action::Notice(notice) => {
                self.count_notice(&notice);
                notices::log_broker_notice(&notice);
            }
        }
    }

    fn count_notice(&self, notice: &Notice) {
        let metrics = &self.metrics;
        match notice {
            Notice::JobTaken { tasks, .. } => {
                metrics.count("jobs.taken", 1);
                metrics.count("tasks.taken", *tasks);
            }
            Notice::JobRefused { reason, .. } => {
                metrics.count(&format!("jobs.refused.{}", reason.as_str()), 1);
            }
            Notice::JobShed { priority, .. } => metrics.count(&format!("jobs.shed.priority_{priority}"), 1),
            Notice::JobEnded {
                took,
                waited,
                on_time,
                ..
            } => {
                let name = if *on_time {
                    "jobs.on_time"
                } else {
                    "jobs.not_on_time"
                };
                metrics.count(name, 1);
                metrics.time("jobs.took", *took);
                metrics.time("jobs.waited", *waited);
            }
            Notice::AttemptEnded { outcome, .. } => {
                metrics.count(&format!("attempts.{}", outcome.as_str()), 1);
            }
            Notice::ReturnBegan { .. } => metrics.count("returns.began", 1),
            Notice::ReturnEnded {
                lasted,
                beyond_share,
                refused,
            } => {
                metrics.time("returns.lasted", *lasted);
                metrics.count("returns.beyond_share", *beyond_share);
                metrics.count("returns.refused", *refused);
            }
            Notice::LossCounted { .. } => metrics.count("losses.counted", 1),
            Notice::JobGivenUp { .. } => metrics.count("jobs.given_up", 1),
            Notice::AttemptOverdue { .. } => metrics.count("attempts.overdue", 1),
            Notice::EvacuationsInForce { state, .. } => {
                metrics.gauge("evacuation.revision", state.revision);
                metrics.gauge("evacuation.domains", state.domains.len() as u64);
            }
            Notice::InterferenceAvoided { tasks, .. } => metrics.count("interference.avoided", *tasks),
            _ => {}
        }
    }
}

//! Actor that owns the entry core, the links to agents and the callers that wait.

use std::fmt::Display;

use chestnutfork_broker::{Action, Answer, BrokerCore, Event, Notice, Request, Ticket};
use chestnutfork_events::{RunsEvent, emit};
use chestnutfork_net::{Identity, LinkId, LinkSender, Metrics};
use chestnutfork_routes::RouteTable;
use chestnutfork_types::ConfigVersion;
use chestnutfork_wire::{ControlMessageWire, EntryToWorkerWire, WorkerToEntryWire};
use indexmap::IndexMap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;

use crate::alarm::Alarm;
use crate::clock::LeaseClock;
use crate::control::{ControlNews, Controls, Follow};
use crate::notices;

/// Reads documents of operators.
pub trait RouteDecoder: Send + Sync + 'static {
    /// Why a document cannot be used.
    type Error: Display;

    /// Returns the route table that a document describes.
    ///
    /// # Errors
    ///
    /// Returns an error if the document cannot be read in full or violates an invariant of the table.
    fn decode(&self, content: &[u8]) -> Result<RouteTable, Self::Error>;
}

/// State of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Whether it takes submissions and can serve them.
    pub ready: bool,
    /// Number of jobs that have not ended.
    pub jobs_in_progress: usize,
    /// Version of the routes in force.
    pub config_version: ConfigVersion,
}

/// Message to the entry's actor.
#[derive(Debug)]
pub(crate) enum EntryMessage {
    /// News from control.
    Control(ControlNews),
    /// A link to an agent is open.
    AgentUp {
        link: LinkId,
        peer: Identity,
        tx: LinkSender<EntryToWorkerWire>,
    },
    /// A link to an agent is closed.
    AgentDown { link: LinkId },
    /// An agent sent messages.
    FromAgent {
        link: LinkId,
        messages: Vec<WorkerToEntryWire>,
    },
    /// A caller sent a request.
    Request {
        ticket: Ticket,
        request: Request,
        reply: oneshot::Sender<Answer>,
    },
    /// A caller went away.
    CallerGone(Ticket),
    /// The timer fired.
    Tick,
    /// Asks for the present state.
    Status(oneshot::Sender<EntryStatus>),
    /// The process is about to stop and wants no new connections.
    ReportUnready,
    /// Take no more submissions; the reply comes when no job is in progress.
    Drain(oneshot::Sender<()>),
}

/// Hands requests to a running entry.
#[derive(Clone, Debug)]
pub struct EntryClient {
    actor: ActorRef<EntryMessage>,
}

/// Tells the entry that a caller is gone if its request is dropped unanswered.
struct CallerGuard {
    actor: ActorRef<EntryMessage>,
    ticket: Option<Ticket>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            // A stopped actor has no jobs.
            drop(self.actor.cast(EntryMessage::CallerGone(ticket)));
        }
    }
}

impl EntryClient {
    pub(crate) fn new(actor: ActorRef<EntryMessage>) -> Self {
        Self { actor }
    }

    /// Serves a request; dropping the future tells the entry that the caller is gone.
    ///
    /// Returns nothing if the entry has stopped.
    pub async fn request(&self, request: Request) -> Option<Answer> {
        let ticket = rand::random();
        let mut guard = CallerGuard {
            actor: self.actor.clone(),
            ticket: Some(ticket),
        };
        let (reply, answer) = oneshot::channel();
        let message = EntryMessage::Request {
            ticket,
            request,
            reply,
        };
        self.actor.cast(message).ok()?;
        let answer = answer.await.ok();
        guard.ticket = None;
        answer
    }

    /// Returns the state of the entry, or nothing if it has stopped.
    pub async fn status(&self) -> Option<EntryStatus> {
        let (reply, status) = oneshot::channel();
        self.actor.cast(EntryMessage::Status(reply)).ok()?;
        status.await.ok()
    }
}

#[derive(Clone, Debug)]
pub(crate) struct EntryFollow {
    actor: ActorRef<EntryMessage>,
}

impl Follow for EntryFollow {
    fn news(&self, news: ControlNews) {
        // A stopped actor needs no news.
        drop(self.actor.cast(EntryMessage::Control(news)));
    }
}

/// Actor of an entry that reads documents with `R`.
pub(crate) struct EntryActor<R> {
    pub(crate) decoder: R,
}

/// What the actor is started with.
#[derive(Debug)]
pub(crate) struct EntryArguments {
    pub(crate) core: BrokerCore,
    pub(crate) clock: LeaseClock,
    pub(crate) dial: chestnutfork_net::DialTemplate,
    pub(crate) seeds: Vec<String>,
    pub(crate) metrics: Metrics,
}

/// State of the actor.
#[derive(Debug)]
pub(crate) struct EntryState {
    core: BrokerCore,
    alarm: Alarm,
    controls: Controls<EntryFollow>,
    agents: IndexMap<LinkId, LinkSender<EntryToWorkerWire>>,
    callers: IndexMap<Ticket, oneshot::Sender<Answer>>,
    version: ConfigVersion,
    reports_unready: bool,
    drained: Vec<oneshot::Sender<()>>,
    metrics: Metrics,
    actions: Vec<Action>,
}

impl<R: RouteDecoder> Actor for EntryActor<R> {
    type Msg = EntryMessage;
    type State = EntryState;
    type Arguments = EntryArguments;

    async fn pre_start(
        &self,
        me: ActorRef<EntryMessage>,
        arguments: EntryArguments,
    ) -> Result<EntryState, ActorProcessingErr> {
        let ticker = me.clone();
        let notify = move || drop(ticker.cast(EntryMessage::Tick));
        let alarm = Alarm::start(arguments.clock, notify);
        let mut controls = Controls::new(arguments.dial, EntryFollow { actor: me });
        controls.dial(arguments.seeds);
        let mut state = EntryState {
            core: arguments.core,
            alarm,
            controls,
            agents: IndexMap::new(),
            callers: IndexMap::new(),
            version: 0,
            reports_unready: false,
            drained: Vec::new(),
            metrics: arguments.metrics,
            actions: Vec::new(),
        };
        state.event(Event::Tick);
        Ok(state)
    }

    async fn handle(
        &self,
        _me: ActorRef<EntryMessage>,
        message: EntryMessage,
        state: &mut EntryState,
    ) -> Result<(), ActorProcessingErr> {
        state.receive(message, &self.decoder);
        Ok(())
    }
}

impl EntryState {
    fn receive<R: RouteDecoder>(&mut self, message: EntryMessage, decoder: &R) {
        match message {
            EntryMessage::Control(news) => self.on_control(news, decoder),
            EntryMessage::AgentUp { link, peer, tx } => {
                self.agents.insert(link, tx);
                let (agent, process) = (peer.name, peer.process);
                self.event(Event::AgentUp { link, agent, process });
            }
            EntryMessage::AgentDown { link } => {
                self.agents.swap_remove(&link);
                self.event(Event::AgentDown { link });
            }
            EntryMessage::FromAgent { link, messages } => {
                for message in messages {
                    let message = message.into();
                    self.event(Event::FromAgent { link, message });
                }
            }
            EntryMessage::Request {
                ticket,
                request,
                reply,
            } => {
                self.callers.insert(ticket, reply);
                self.event(Event::Request { ticket, request });
            }
            EntryMessage::CallerGone(ticket) => {
                self.callers.swap_remove(&ticket);
                self.event(Event::CallerDisconnected { ticket });
            }
            EntryMessage::Tick => {
                self.alarm.fired();
                self.event(Event::Tick);
            }
            EntryMessage::Status(reply) => {
                // The asker may be gone.
                let _ = reply.send(self.status());
            }
            EntryMessage::ReportUnready => self.reports_unready = true,
            EntryMessage::Drain(reply) => {
                self.reports_unready = true;
                self.drained.push(reply);
                self.event(Event::Drain);
            }
        }
    }

    fn status(&self) -> EntryStatus {
        let usable = self.core.usable_agents(self.alarm.now());
        EntryStatus {
            ready: !self.reports_unready && self.core.has_routes() && usable > 0,
            jobs_in_progress: self.core.jobs_in_progress(),
            config_version: self.version,
        }
    }

    fn on_control<R: RouteDecoder>(&mut self, news: ControlNews, decoder: &R) {
        match news {
            ControlNews::Up { link, tx } => self.controls.up(link, tx, self.version),
            ControlNews::Down { link } => self.controls.down(link),
            ControlNews::Messages(messages) => {
                for message in messages {
                    self.on_control_message(message, decoder);
                }
            }
        }
    }

    fn on_control_message<R: RouteDecoder>(&mut self, message: ControlMessageWire, decoder: &R) {
        match message {
            ControlMessageWire::Document(version, content) if version > self.version => {
                match decoder.decode(&content) {
                    Ok(routes) => {
                        self.version = version;
                        self.event(Event::Routes(routes));
                    }
                    Err(error) => emit(&RunsEvent::DocumentUnreadable {
                        version,
                        error: &error.to_string(),
                    }),
                }
            }
            ControlMessageWire::Directory(controls, entries) => {
                self.controls.dial(controls);
                self.event(Event::EntryCount(entries.len()));
            }
            _ => {}
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.alarm.now();
        self.core.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.execute(action);
        }
        self.alarm.arm(self.core.next_wakeup());
        if self.core.jobs_in_progress() == 0 {
            for reply in self.drained.drain(..) {
                let _ = reply.send(());
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::ToAgent(link, message) => {
                if let Some(tx) = self.agents.get(&link) {
                    // A closed link is reported separately.
                    tx.send(message.into());
                }
            }
            Action::Answer(ticket, answer) => {
                if let Some(reply) = self.callers.swap_remove(&ticket) {
                    // The caller may be gone.
                    let _ = reply.send(answer);
                }
            }
            Action::Notice(notice) => {
                self.count(&notice);
                notices::log_broker(&notice);
            }
        }
    }

    fn count(&self, notice: &Notice) {
        let metrics = &self.metrics;
        match notice {
            Notice::JobTaken { tasks, .. } => {
                metrics.count("jobs.taken", 1);
                metrics.count("tasks.taken", *tasks);
            }
            Notice::JobRefused { reason, .. } => {
                metrics.count(&format!("jobs.refused.{}", reason.as_str()), 1);
            }
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
            Notice::AttemptEnded { end, .. } => {
                metrics.count(&format!("attempts.{}", end.as_str()), 1);
            }
            Notice::AttemptOverdue { .. } => metrics.count("attempts.overdue", 1),
            _ => {}
        }
    }
}

//! Actor that owns the links of an entry to control, and fetches and decodes its configuration.
//!
//! It has a mailbox of its own, so that requests that queue at an overloaded entry do not delay a transfer.

use std::fmt::Display;
use std::time::{Duration, Instant};

use chestnutfork_documents::{Document, FetchAction, Fetcher, Part};
use chestnutfork_events::{RunsEvent, emit};
use chestnutfork_net::{DialTemplate, HttpLimits, LinkId, Metrics};
use chestnutfork_routes::RouteTable;
use chestnutfork_types::FailureDomain;
use chestnutfork_wire::{ControlMessageWire, SubscriberMessageWire};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;

use crate::clock::LeaseClock;
use crate::control::{ControlConnections, ControlEvent, ControlObserver};
use crate::entry::EntryMessage;
use crate::evacuations::{first_messages, received_evacuations};
use crate::limits::CallerLimits;
use crate::timer::LeaseTimer;

/// Content of a document of operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Routes and services.
    pub routes: RouteTable,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

/// Decodes the documents of operators.
pub trait RouteDecoder: Send + Sync + 'static {
    /// Reason why a document cannot be used.
    type Error: Display;

    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// Returns an error if the document cannot be decoded or violates an invariant of the route table.
    fn decode(&self, content: &[u8]) -> Result<Configuration, Self::Error>;
}

/// Message to the actor.
#[derive(Debug)]
pub(crate) enum ConfigurationMessage {
    Control(ControlEvent),
    /// The timer of the transfer fired.
    Tick,
}

#[derive(Clone, Debug)]
struct ConfigurationObserver {
    actor: ActorRef<ConfigurationMessage>,
}

impl ControlObserver for ConfigurationObserver {
    fn notify(&self, event: ControlEvent) {
        // The cast fails only if the actor has stopped and needs no events.
        drop(self.actor.cast(ConfigurationMessage::Control(event)));
    }
}

/// Actor that decodes documents with `R` and passes the routes to the entry.
pub(crate) struct ConfigurationActor<R> {
    pub(crate) decoder: R,
}

/// Start-up arguments of the actor.
#[derive(Debug)]
pub(crate) struct ConfigurationArguments {
    pub(crate) clock: LeaseClock,
    pub(crate) dial_template: DialTemplate,
    pub(crate) seeds: Vec<String>,
    pub(crate) metrics: Metrics,
    pub(crate) entry: ActorRef<EntryMessage>,
    pub(crate) failure_domain: FailureDomain,
    /// Whether to subscribe to the evacuations.
    pub(crate) evacuations: bool,
    /// Limits in force; the first value holds the defaults.
    pub(crate) http_limits: watch::Sender<HttpLimits>,
}

#[derive(Debug)]
pub(crate) struct ConfigurationState {
    control: ControlConnections<ConfigurationObserver>,
    fetcher: Fetcher,
    timer: LeaseTimer,
    metrics: Metrics,
    entry: ActorRef<EntryMessage>,
    failure_domain: FailureDomain,
    evacuations: bool,
    http_limits: watch::Sender<HttpLimits>,
    default_limits: HttpLimits,
    actions: Vec<FetchAction>,
}

impl<R: RouteDecoder> Actor for ConfigurationActor<R> {
    type Msg = ConfigurationMessage;
    type State = ConfigurationState;
    type Arguments = ConfigurationArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ConfigurationMessage>,
        arguments: ConfigurationArguments,
    ) -> Result<ConfigurationState, ActorProcessingErr> {
        let tick_target = myself.clone();
        let notify = move || drop(tick_target.cast(ConfigurationMessage::Tick));
        let observer = ConfigurationObserver { actor: myself };
        let default_limits = *arguments.http_limits.borrow();
        let mut control = ControlConnections::new(arguments.dial_template, observer);
        control.dial(arguments.seeds);
        Ok(ConfigurationState {
            control,
            fetcher: Fetcher::default(),
            timer: LeaseTimer::start(arguments.clock, notify),
            metrics: arguments.metrics,
            entry: arguments.entry,
            failure_domain: arguments.failure_domain,
            evacuations: arguments.evacuations,
            default_limits,
            http_limits: arguments.http_limits,
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<ConfigurationMessage>,
        message: ConfigurationMessage,
        state: &mut ConfigurationState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.timer.now();
        match message {
            ConfigurationMessage::Control(event) => state.on_control_event(now, event),
            ConfigurationMessage::Tick => {
                state.timer.on_fired();
                state.fetcher.on_tick(now, &mut state.actions);
            }
        }
        state.execute_actions(&self.decoder);
        Ok(())
    }
}

impl ConfigurationState {
    fn on_control_event(&mut self, now: Instant, event: ControlEvent) {
        match event {
            ControlEvent::LinkOpened { link, tx } => {
                let first = first_messages(
                    self.evacuations,
                    &self.failure_domain,
                    SubscriberMessageWire::Watch,
                );
                self.control.link_opened(link, tx, first);
            }
            ControlEvent::LinkClosed { link } => {
                self.control.link_closed(link);
                self.fetcher.on_closed(now, link, &mut self.actions);
            }
            ControlEvent::Messages { link, messages } => {
                for message in messages {
                    self.on_control_message(now, link, message);
                }
            }
        }
    }

    fn on_control_message(&mut self, now: Instant, link: LinkId, message: ControlMessageWire) {
        match message {
            ControlMessageWire::Announce(version) => {
                self.fetcher.on_announced(now, link, version, &mut self.actions);
            }
            ControlMessageWire::Part(part) => {
                let part = Part::from(part);
                self.metrics.count("documents.bytes", part.content.len() as u64);
                self.fetcher.on_part(now, link, &part, &mut self.actions);
            }
            ControlMessageWire::Directory(controls, entries) => {
                self.control.dial(controls);
                self.notify_entry(EntryMessage::EntryCount(entries.len()));
            }
            message => {
                // The entry reads its mailbox in order, so it has the evacuations before routes that follow them.
                if let Some(received) = received_evacuations(&message) {
                    self.notify_entry(EntryMessage::Evacuations(received));
                }
            }
        }
    }

    fn execute_actions<R: RouteDecoder>(&mut self, decoder: &R) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                FetchAction::Request {
                    link,
                    version,
                    offset,
                } => {
                    self.metrics.count("documents.requests", 1);
                    let message = SubscriberMessageWire::Fetch { version, offset };
                    self.control.send(link, message);
                }
                FetchAction::Deliver { document, behind } => self.on_document(&document, behind, decoder),
            }
        }
        if let Some(at) = self.fetcher.next_wakeup() {
            self.timer.arm(at);
        }
    }

    fn on_document<R: RouteDecoder>(&mut self, document: &Document, behind: Duration, decoder: &R) {
        let version = document.version;
        self.metrics.count("documents.received", 1);
        self.metrics.time("documents.behind", behind);
        emit(&RunsEvent::DocumentReceived {
            version,
            bytes: document.content.len() as u64,
            behind,
        });
        match decoder.decode(&document.content) {
            Ok(Configuration { routes, limits }) => {
                // Without a server nothing needs the limits.
                let _ = self.http_limits.send(limits.or(self.default_limits));
                self.notify_entry(EntryMessage::Routes(routes));
            }
            Err(error) => emit(&RunsEvent::DocumentUnreadable {
                version,
                error: &error.to_string(),
            }),
        }
    }

    fn notify_entry(&self, message: EntryMessage) {
        // The cast fails only if the entry has stopped and needs no configuration.
        drop(self.entry.cast(message));
    }
}

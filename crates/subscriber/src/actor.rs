//! Actor that owns the state of a subscription and the link to control.

use std::sync::Arc;
use std::time::Duration;

use chestnutfork_config::{Confirmation, Document, Update};
use chestnutfork_events::{ConfigEvent, emit};
use chestnutfork_net::{
    ClusterSecret, DialConfig, Dialer, Identity, LinkId, LinkSender, Metrics, Wakeup, dial, now,
};
use chestnutfork_register::View;
use chestnutfork_types::{ConfigVersion, FailureDomain, NodeName, ViewNumber};
use chestnutfork_wire::{ControlMessageWire, Role, SubscriberMessageWire, ViewWire};
use ractor::{Actor, ActorProcessingErr, ActorRef, SpawnErr};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::core::SubscriberCore;
use crate::event::{Action, ControlView, EntryInfo, Event};
use crate::links::ControlLink;

/// Maximum wait for the leave message to be sent. If it is not sent, the lease expires by itself.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Receiver of the changes that a subscription delivers. The methods run in the subscription's actor and must not
/// block.
pub trait SubscriptionHandler: Send + Sync + 'static {
    /// Puts a configuration version in force.
    fn config_changed(&self, version: ConfigVersion, document: Arc<Document>);
    /// Reports whether the version in force is now confirmed.
    fn confirmation_changed(&self, confirmed: bool);
    /// Reports a new view of the entries.
    fn view_changed(&self, view: ControlView);
}

/// Configuration of a subscription.
#[derive(Clone, Debug)]
pub struct SubscriptionConfig {
    identity: Identity,
    secret: ClusterSecret,
    control_addresses: Vec<String>,
    failure_domain: FailureDomain,
    renew_interval: Duration,
    metrics: Metrics,
}

/// Builder for [`SubscriptionConfig`].
#[derive(Clone, Debug)]
pub struct SubscriptionConfigBuilder {
    cfg: SubscriptionConfig,
}

impl SubscriptionConfig {
    /// Returns a builder for a subscription of the process `identity` to one of the given control processes.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_net::{ClusterSecret, Identity};
    /// use chestnutfork_subscriber::SubscriptionConfig;
    /// use chestnutfork_wire::Role;
    ///
    /// let identity = Identity { role: Role::Agent, name: "a1".into(), process: 1, address: String::new() };
    /// let cfg = SubscriptionConfig::builder(identity, ClusterSecret::new("s"), vec!["127.0.0.1:7000".into()])
    ///     .renew_interval(Duration::from_secs(2))
    ///     .build();
    /// assert!(format!("{cfg:?}").contains("7000"));
    /// ```
    #[must_use]
    pub fn builder(
        identity: Identity,
        secret: ClusterSecret,
        control_addresses: Vec<String>,
    ) -> SubscriptionConfigBuilder {
        let renew_interval = Duration::from_secs(2);
        let cfg = Self {
            identity,
            secret,
            control_addresses,
            failure_domain: String::new(),
            renew_interval,
            metrics: Metrics::disabled(),
        };
        SubscriptionConfigBuilder { cfg }
    }
}

impl SubscriptionConfigBuilder {
    /// Sets the failure domain of this process.
    #[must_use]
    pub fn failure_domain(mut self, failure_domain: impl Into<FailureDomain>) -> Self {
        self.cfg.failure_domain = failure_domain.into();
        self
    }

    /// Sets the interval between renewals of the lease.
    #[must_use]
    pub fn renew_interval(mut self, interval: Duration) -> Self {
        self.cfg.renew_interval = interval;
        self
    }

    /// Sets the metrics that count the bytes of the link.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.cfg.metrics = metrics;
        self
    }

    /// Returns the configuration.
    #[must_use]
    pub fn build(self) -> SubscriptionConfig {
        self.cfg
    }
}

/// Message to the subscription's actor: link events, requests of the process, and ticks.
#[derive(Debug)]
pub(crate) enum SubscriberMessage {
    LinkUp {
        link: LinkId,
        control_index: usize,
        name: NodeName,
        tx: LinkSender<SubscriberMessageWire>,
    },
    FromControl {
        link: LinkId,
        messages: Vec<ControlMessageWire>,
    },
    LinkDown {
        link: LinkId,
    },
    Synced(ViewNumber),
    Leave(oneshot::Sender<()>),
    Tick,
}

/// Handle of a running subscription, which runs until [`leave`](Self::leave), [`kill`](Self::kill) or the end of the
/// process.
#[derive(Clone, Debug)]
pub struct Subscription {
    actor: ActorRef<SubscriberMessage>,
}

impl Subscription {
    /// Reports to control that this entry has copied the register for a view.
    pub fn report_synced(&self, view: ViewNumber) {
        drop(self.actor.cast(SubscriberMessage::Synced(view)));
    }

    /// Ends the lease immediately, so that control need not wait for it to expire.
    ///
    /// Returns once the leave message has been sent, because a process that exits earlier would lose it, or after 1 s.
    pub async fn leave(&self) {
        let (done, left) = oneshot::channel();
        if self.actor.cast(SubscriberMessage::Leave(done)).is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, left).await;
        }
    }

    /// Stops the subscription without notifying control, as a crash would.
    pub fn kill(&self) {
        self.actor.kill();
    }
}

/// Starts a subscription to control, which reconnects and renews its lease until it is left or killed.
///
/// # Errors
///
/// Returns an error if the actor cannot be started.
///
/// # Panics
///
/// Panics if the configuration names no control process.
pub async fn subscribe<H: SubscriptionHandler>(
    cfg: SubscriptionConfig,
    handler: H,
) -> Result<Subscription, SpawnErr> {
    let (actor, _) = Actor::spawn(None, SubscriberActor(std::marker::PhantomData), (cfg, handler)).await?;
    Ok(Subscription { actor })
}

struct SubscriberActor<H>(std::marker::PhantomData<fn(H)>);

struct State<H> {
    core: SubscriberCore,
    cfg: SubscriptionConfig,
    handler: H,
    myself: ActorRef<SubscriberMessage>,
    wakeup: Wakeup,
    dialer: Dialer,
    link: Option<(LinkId, LinkSender<SubscriberMessageWire>)>,
    /// Name of the control process in use; its address until the first link is open.
    control_name: NodeName,
    pending_leave: Option<PendingLeave>,
    actions: Vec<Action>,
}

/// Leave request that waits until its message has been sent.
struct PendingLeave {
    /// Link that closes once its send queue is drained.
    link: LinkId,
    done: oneshot::Sender<()>,
}

impl<H: SubscriptionHandler> Actor for SubscriberActor<H> {
    type Msg = SubscriberMessage;
    type State = State<H>;
    type Arguments = (SubscriptionConfig, H);

    async fn pre_start(
        &self,
        myself: ActorRef<SubscriberMessage>,
        (cfg, handler): Self::Arguments,
    ) -> Result<State<H>, ActorProcessingErr> {
        // The random process id spreads the processes over the control processes.
        let first_control =
            usize::try_from(cfg.identity.process % cfg.control_addresses.len() as u64).unwrap_or(0);
        let core = SubscriberCore::new(
            cfg.control_addresses.len(),
            first_control,
            cfg.renew_interval,
            now(),
        );
        let ticker = myself.clone();
        let wakeup = Wakeup::start(move || drop(ticker.cast(SubscriberMessage::Tick)));
        wakeup.set(core.next_wakeup());
        let dialer = dial_control(&cfg, core.current_control(), &myself);
        let control_name = cfg.control_addresses[core.current_control()].clone();
        Ok(State {
            core,
            cfg,
            handler,
            myself,
            wakeup,
            dialer,
            link: None,
            control_name,
            pending_leave: None,
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<SubscriberMessage>,
        message: SubscriberMessage,
        state: &mut State<H>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SubscriberMessage::Leave(done) => state.start_leaving(done, &myself),
            SubscriberMessage::LinkDown { link } if state.pending_leave.is_some() => {
                state.finish_leaving(link, &myself);
            }
            // After a leave request, all other messages are ignored.
            _ if state.pending_leave.is_some() => {}
            _ => {
                state.on_message(message);
                state.wakeup.set(state.core.next_wakeup());
            }
        }
        Ok(())
    }
}

fn dial_control(
    cfg: &SubscriptionConfig,
    control_index: usize,
    actor: &ActorRef<SubscriberMessage>,
) -> Dialer {
    let address = cfg.control_addresses[control_index].clone();
    let dial_cfg = DialConfig::builder(address, cfg.identity.clone(), cfg.secret.clone())
        .expected_role(Role::Control)
        .metrics(cfg.metrics.clone())
        .build();
    dial(
        dial_cfg,
        ControlLink {
            actor: actor.clone(),
            control_index,
        },
    )
}

impl<H: SubscriptionHandler> State<H> {
    fn on_message(&mut self, message: SubscriberMessage) {
        match message {
            SubscriberMessage::LinkUp {
                link,
                control_index,
                name,
                tx,
            } => {
                // Ignore a link to a control process that has been abandoned since.
                if control_index == self.core.current_control() {
                    self.link = Some((link, tx));
                    self.set_control_name(name);
                    self.handle_event(Event::LinkUp);
                }
            }
            SubscriberMessage::FromControl { link, messages } => {
                for message in messages {
                    if self.is_current(link) {
                        self.on_control_message(message);
                    }
                }
            }
            SubscriberMessage::LinkDown { link } => {
                if self.is_current(link) {
                    self.link = None;
                    self.handle_event(Event::LinkDown);
                }
            }
            SubscriberMessage::Synced(view) => self.handle_event(Event::Synced(view)),
            SubscriberMessage::Tick => self.handle_event(Event::Tick),
            // `SubscriberActor::handle` processes this message.
            SubscriberMessage::Leave(_) => {}
        }
    }

    /// Queues the leave message and drops the sender, which closes the link once its queue has been sent.
    fn start_leaving(&mut self, done: oneshot::Sender<()>, myself: &ActorRef<SubscriberMessage>) {
        self.send(SubscriberMessageWire::Leaving);
        if let Some((link, _)) = self.link.take() {
            self.pending_leave = Some(PendingLeave { link, done });
        } else {
            let _ = done.send(());
            myself.stop(None);
        }
    }

    fn finish_leaving(&mut self, closed: LinkId, myself: &ActorRef<SubscriberMessage>) {
        if let Some(pending_leave) = self
            .pending_leave
            .take_if(|pending_leave| pending_leave.link == closed)
        {
            let _ = pending_leave.done.send(());
            myself.stop(None);
        }
    }

    fn is_current(&self, link: LinkId) -> bool {
        self.link.as_ref().is_some_and(|&(current, _)| current == link)
    }

    fn set_control_name(&mut self, name: NodeName) {
        if self.control_name != name {
            emit(&ConfigEvent::ControlChanged {
                from: &self.control_name,
                to: &name,
            });
            self.control_name = name;
        }
    }

    fn on_control_message(&mut self, message: ControlMessageWire) {
        match message {
            ControlMessageWire::Update(bytes) => match Update::decode(&bytes) {
                Ok(update) => self.handle_event(Event::Update(update)),
                Err(error) => emit(&ConfigEvent::Unusable {
                    version: 0,
                    error: &error.to_string(),
                }),
            },
            ControlMessageWire::Confirm(confirm) => self.handle_event(Event::Confirm {
                probe: confirm.probe(),
                version: confirm.version(),
                age: confirm.age(),
            }),
            ControlMessageWire::View(view) => self.handle_event(Event::View(control_view(view))),
            // Control sends these only to followers and watchers.
            ControlMessageWire::Document(..)
            | ControlMessageWire::Directory(..)
            | ControlMessageWire::Announce(_)
            | ControlMessageWire::Part(_)
            | ControlMessageWire::Evacuations { .. } => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::DialControl(control_index) => {
                self.link = None;
                self.dialer = dial_control(&self.cfg, control_index, &self.myself);
            }
            Action::Subscribe(version) => self.send(SubscriberMessageWire::Subscribe {
                evacuations: false,
                version,
                failure_domain: self.cfg.failure_domain.clone(),
            }),
            Action::Ack(version) => self.send(SubscriberMessageWire::Ack(version)),
            Action::Renew {
                probe,
                version,
                synced,
            } => {
                self.send(SubscriberMessageWire::Renew {
                    probe,
                    version,
                    synced,
                });
            }
            Action::ApplyConfig { version, document } => {
                emit(&ConfigEvent::Applied {
                    version,
                    from: &self.control_name,
                    snapshot: false,
                });
                self.handler.config_changed(version, Arc::new(document));
            }
            Action::ReportConfirmation(state) => self.report_confirmation(state),
            Action::ReportView(view) => self.handler.view_changed(view),
            Action::ReportUnusable { version, reason } => emit(&ConfigEvent::Unusable {
                version,
                error: &reason,
            }),
        }
    }

    fn report_confirmation(&self, state: Confirmation) {
        let confirmed = state == Confirmation::Confirmed;
        let version = self.core.version();
        if confirmed {
            emit(&ConfigEvent::Confirmed {
                version,
                from: &self.control_name,
            });
        } else {
            let age = chestnutfork_config::CONFIRMATION_TTL;
            emit(&ConfigEvent::Unconfirmed {
                version,
                age,
                from: &self.control_name,
            });
        }
        self.handler.confirmation_changed(confirmed);
    }

    fn send(&self, message: SubscriberMessageWire) {
        if let Some((_, tx)) = &self.link {
            tx.send(message);
        }
    }
}

/// Converts a view from its wire representation.
fn control_view(wire: ViewWire) -> ControlView {
    let view = View {
        number: wire.number,
        members: wire.members,
        learners: wire.learners,
        floor: wire.floor_ms.map(Duration::from_millis),
        settled: wire.settled,
        settled_size: usize::try_from(wire.settled_size).unwrap_or(usize::MAX),
        survivors: wire.survivors,
    };
    let entries = wire.entries.into_iter();
    let entries = entries.map(|entry| EntryInfo {
        process: entry.process,
        name: entry.name,
        address: entry.address,
    });
    ControlView {
        view,
        entries: entries.collect(),
    }
}

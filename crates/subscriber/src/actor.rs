//! Actor that owns the subscription and the link to control.

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

/// Longest wait until control has been told that this process leaves; without it the lease expires by itself.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Receiver of what control says; the methods run in the subscription's actor and must not block.
pub trait SubscriptionHandler: Send + Sync + 'static {
    /// Puts a configuration version in force.
    fn config_changed(&self, version: ConfigVersion, document: Arc<Document>);
    /// Tells whether the version in force is confirmed.
    fn confirmation_changed(&self, confirmed: bool);
    /// Passes the view of the entries on.
    fn view_changed(&self, view: ControlView);
}

/// Configuration of a subscription.
#[derive(Clone, Debug)]
pub struct SubscriptionConfig {
    me: Identity,
    secret: ClusterSecret,
    controls: Vec<String>,
    failure_domain: FailureDomain,
    renew_interval: Duration,
    metrics: Metrics,
}

/// Builder of [`SubscriptionConfig`].
#[derive(Clone, Debug)]
pub struct SubscriptionConfigBuilder {
    cfg: SubscriptionConfig,
}

impl SubscriptionConfig {
    /// Starts the configuration of a subscription of this process to any of the given control processes.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_net::{ClusterSecret, Identity};
    /// use chestnutfork_subscriber::SubscriptionConfig;
    /// use chestnutfork_wire::Role;
    ///
    /// let me = Identity { role: Role::Agent, name: "a1".into(), process: 1, address: String::new() };
    /// let cfg = SubscriptionConfig::builder(me, ClusterSecret::new("s"), vec!["127.0.0.1:7000".into()])
    ///     .renew_interval(Duration::from_secs(2))
    ///     .build();
    /// assert!(format!("{cfg:?}").contains("7000"));
    /// ```
    #[must_use]
    pub fn builder(me: Identity, secret: ClusterSecret, controls: Vec<String>) -> SubscriptionConfigBuilder {
        let renew_interval = Duration::from_secs(2);
        let cfg = Self {
            me,
            secret,
            controls,
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

    /// Sets where bytes are counted.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.cfg.metrics = metrics;
        self
    }

    /// Returns the finished configuration.
    #[must_use]
    pub fn build(self) -> SubscriptionConfig {
        self.cfg
    }
}

/// Message to the subscription's actor.
#[derive(Debug)]
pub(crate) enum SubscriberMessage {
    LinkUp {
        link: LinkId,
        control: usize,
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

/// Running subscription; it ends when it is left or its process ends.
#[derive(Clone, Debug)]
pub struct Subscription {
    actor: ActorRef<SubscriberMessage>,
}

impl Subscription {
    /// Tells control that this entry has copied the register of a view.
    pub fn report_synced(&self, view: ViewNumber) {
        drop(self.actor.cast(SubscriberMessage::Synced(view)));
    }

    /// Ends the lease at once, so that control need not wait for it to expire.
    ///
    /// It resolves once the message has been sent, because a process that exits earlier would lose it.
    pub async fn leave(&self) {
        let (done, left) = oneshot::channel();
        if self.actor.cast(SubscriberMessage::Leave(done)).is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, left).await;
        }
    }

    /// Stops without a word, as a crash would.
    pub fn kill(&self) {
        self.actor.kill();
    }
}

/// Subscribes to control and keeps the subscription alive.
///
/// # Errors
///
/// Returns an error if the actor cannot start.
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
    me: ActorRef<SubscriberMessage>,
    wakeup: Wakeup,
    dialer: Dialer,
    link: Option<(LinkId, LinkSender<SubscriberMessageWire>)>,
    control: NodeName,
    leaving: Option<Leaving>,
    actions: Vec<Action>,
}

/// Departure that has been sent to control.
struct Leaving {
    /// Link that closes once its queue has been sent.
    link: LinkId,
    done: oneshot::Sender<()>,
}

impl<H: SubscriptionHandler> Actor for SubscriberActor<H> {
    type Msg = SubscriberMessage;
    type State = State<H>;
    type Arguments = (SubscriptionConfig, H);

    async fn pre_start(
        &self,
        me: ActorRef<SubscriberMessage>,
        (cfg, handler): Self::Arguments,
    ) -> Result<State<H>, ActorProcessingErr> {
        // Processes spread over the control processes by their random incarnation.
        let first = usize::try_from(cfg.me.process % cfg.controls.len() as u64).unwrap_or(0);
        let core = SubscriberCore::new(cfg.controls.len(), first, cfg.renew_interval, now());
        let ticker = me.clone();
        let wakeup = Wakeup::start(move || drop(ticker.cast(SubscriberMessage::Tick)));
        wakeup.set(core.next_wakeup());
        let dialer = dial_control(&cfg, core.current(), &me);
        let control = cfg.controls[core.current()].clone();
        Ok(State {
            core,
            cfg,
            handler,
            me,
            wakeup,
            dialer,
            link: None,
            control,
            leaving: None,
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        me: ActorRef<SubscriberMessage>,
        message: SubscriberMessage,
        state: &mut State<H>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SubscriberMessage::Leave(done) => state.leave(done, &me),
            SubscriberMessage::LinkDown { link } if state.leaving.is_some() => state.left(link, &me),
            // A process that leaves follows control no more.
            _ if state.leaving.is_some() => {}
            _ => {
                state.receive(message);
                state.wakeup.set(state.core.next_wakeup());
            }
        }
        Ok(())
    }
}

fn dial_control(cfg: &SubscriptionConfig, control: usize, actor: &ActorRef<SubscriberMessage>) -> Dialer {
    let address = cfg.controls[control].clone();
    let dial_cfg = DialConfig::builder(address, cfg.me.clone(), cfg.secret.clone())
        .expect(Role::Control)
        .metrics(cfg.metrics.clone())
        .build();
    dial(
        dial_cfg,
        ControlLink {
            actor: actor.clone(),
            control,
        },
    )
}

impl<H: SubscriptionHandler> State<H> {
    fn receive(&mut self, message: SubscriberMessage) {
        match message {
            SubscriberMessage::LinkUp {
                link,
                control,
                name,
                tx,
            } => {
                // A link to a control process that was given up may still have been on its way.
                if control == self.core.current() {
                    self.link = Some((link, tx));
                    self.note_control(name);
                    self.step(Event::LinkUp);
                }
            }
            SubscriberMessage::FromControl { link, messages } => {
                for message in messages {
                    if self.is_current(link) {
                        self.control_message(message);
                    }
                }
            }
            SubscriberMessage::LinkDown { link } => {
                if self.is_current(link) {
                    self.link = None;
                    self.step(Event::LinkDown);
                }
            }
            SubscriberMessage::Synced(view) => self.step(Event::Synced(view)),
            SubscriberMessage::Tick => self.step(Event::Tick),
            // Handled by the actor.
            SubscriberMessage::Leave(_) => {}
        }
    }

    /// Queues the departure and gives up the sending side, which closes the link after the queue has been sent.
    fn leave(&mut self, done: oneshot::Sender<()>, me: &ActorRef<SubscriberMessage>) {
        self.send(SubscriberMessageWire::Leaving);
        if let Some((link, _)) = self.link.take() {
            self.leaving = Some(Leaving { link, done });
        } else {
            let _ = done.send(());
            me.stop(None);
        }
    }

    fn left(&mut self, closed: LinkId, me: &ActorRef<SubscriberMessage>) {
        if let Some(leaving) = self.leaving.take_if(|leaving| leaving.link == closed) {
            let _ = leaving.done.send(());
            me.stop(None);
        }
    }

    fn is_current(&self, link: LinkId) -> bool {
        self.link.as_ref().is_some_and(|&(current, _)| current == link)
    }

    fn note_control(&mut self, name: NodeName) {
        if self.control != name {
            emit(&ConfigEvent::ControlChanged {
                from: &self.control,
                to: &name,
            });
            self.control = name;
        }
    }

    fn control_message(&mut self, message: ControlMessageWire) {
        match message {
            ControlMessageWire::Update(bytes) => match Update::decode(&bytes) {
                Ok(update) => self.step(Event::Update(update)),
                Err(error) => emit(&ConfigEvent::Unusable {
                    version: 0,
                    error: &error.to_string(),
                }),
            },
            ControlMessageWire::Confirm(confirm) => self.step(Event::Confirm {
                probe: confirm.probe(),
                version: confirm.version(),
                age: confirm.age(),
            }),
            ControlMessageWire::View(view) => self.step(Event::View(control_view(view))),
            // Only followers are sent these.
            ControlMessageWire::Document(..) | ControlMessageWire::Directory(..) => {}
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::DialControl(control) => {
                self.link = None;
                self.dialer = dial_control(&self.cfg, control, &self.me);
            }
            Action::Subscribe(version) => self.send(SubscriberMessageWire::Subscribe {
                have: version,
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
                    from: &self.control,
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
                from: &self.control,
            });
        } else {
            let age = chestnutfork_config::CONFIRMATION_BOUND;
            emit(&ConfigEvent::Unconfirmed {
                version,
                age,
                from: &self.control,
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

/// Converts a view from its wire form.
fn control_view(wire: ViewWire) -> ControlView {
    let view = View {
        number: wire.number,
        members: wire.members,
        learners: wire.learners,
        floor: wire.floor_ms.map(Duration::from_millis),
        settled: wire.settled,
        settled_size: usize::try_from(wire.base).unwrap_or(usize::MAX),
        survivors: wire.kept,
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

//! Actor that owns the agent core, the links to entries and the running tasks.

use std::time::Duration;

use chestnutfork_events::{AgentEvent, emit};
use chestnutfork_net::{DialTemplate, Dialer, LinkId, LinkSender, Metrics, Wakeup, now};
use chestnutfork_slots::{Action, AgentCore, Event};
use chestnutfork_subscriber::EntryInfo;
use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, ConfigVersion, CreditId, EntryToAgent, ProcessId, ServiceName,
};
use chestnutfork_wire::AgentToEntryWire;
use indexmap::IndexMap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;

use crate::announce::TargetAnnouncement;
use crate::links::EntryLinkHandler;
use crate::target::{TargetClient, TaskHandle};

/// Entry at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) struct EntryLink {
    pub(crate) process: ProcessId,
    /// Dialled address.
    pub(crate) address: String,
}

/// Message to the agent's actor.
#[derive(Debug)]
pub(crate) enum AgentMessage {
    /// The target sent an announcement.
    Target(TargetAnnouncement),
    /// A link to an entry is open.
    LinkUp {
        link: LinkId,
        entry: EntryLink,
        tx: LinkSender<AgentToEntryWire>,
    },
    /// An entry sent messages.
    FromEntry {
        link: LinkId,
        messages: Vec<EntryToAgent>,
    },
    /// A link to an entry is closed.
    LinkDown { link: LinkId },
    /// Entries of the current view.
    Entries(Vec<EntryInfo>),
    /// A configuration version was applied.
    Configured {
        version: ConfigVersion,
        refusing: Vec<ServiceName>,
    },
    /// The configuration became confirmed or unconfirmed.
    Confirmed(bool),
    /// A task ended at the target.
    TaskEnded {
        credit: CreditId,
        outcome: AttemptOutcome,
        run_time: Duration,
    },
    /// The timer fired.
    Tick,
    /// Requests the number of tasks that run at the target.
    Running(oneshot::Sender<u64>),
    /// Requests that no more work is accepted; the reply is sent once no task is running.
    Drain(oneshot::Sender<()>),
}

/// Actor that owns the agent core.
#[derive(Debug)]
pub(crate) struct AgentActor;

/// Arguments for starting the actor.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) core: AgentCore,
    pub(crate) dial: DialTemplate,
    pub(crate) target: TargetClient,
    pub(crate) metrics: Metrics,
}

/// Configuration state in the form that the core expects.
#[derive(Clone, Debug, Default)]
struct ConfigState {
    version: ConfigVersion,
    confirmed: bool,
    refusing: Vec<ServiceName>,
}

/// State of the actor.
#[derive(Debug)]
pub(crate) struct State {
    core: AgentCore,
    myself: ActorRef<AgentMessage>,
    wakeup: Wakeup,
    dial: DialTemplate,
    dialers: IndexMap<String, Dialer>,
    links: IndexMap<LinkId, EntryLink>,
    senders: IndexMap<ProcessId, (LinkId, LinkSender<AgentToEntryWire>)>,
    /// Entries of the current view.
    entries: Vec<EntryInfo>,
    config: ConfigState,
    target: TargetClient,
    /// Whether the target was leaving at its last announcement.
    announced_leaving: Option<bool>,
    tasks: IndexMap<CreditId, TaskHandle>,
    metrics: Metrics,
    drain_waiters: Vec<oneshot::Sender<()>>,
    is_drained: bool,
    actions: Vec<Action>,
}

impl Actor for AgentActor {
    type Msg = AgentMessage;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<AgentMessage>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let timer_target = myself.clone();
        let wakeup = Wakeup::start(move || drop(timer_target.cast(AgentMessage::Tick)));
        Ok(State {
            core: arguments.core,
            myself,
            wakeup,
            dial: arguments.dial,
            dialers: IndexMap::new(),
            links: IndexMap::new(),
            senders: IndexMap::new(),
            entries: Vec::new(),
            config: ConfigState::default(),
            target: arguments.target,
            announced_leaving: None,
            tasks: IndexMap::new(),
            metrics: arguments.metrics,
            drain_waiters: Vec::new(),
            is_drained: false,
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<AgentMessage>,
        message: AgentMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.receive(message);
        state.wakeup.set(state.core.next_wakeup());
        Ok(())
    }
}

impl State {
    fn receive(&mut self, message: AgentMessage) {
        match message {
            AgentMessage::Target(announcement) => self.on_announcement(announcement),
            AgentMessage::LinkUp { link, entry, tx } => self.on_link_up(link, entry, tx),
            AgentMessage::FromEntry { link, messages } => self.on_entry_messages(link, messages),
            AgentMessage::LinkDown { link } => self.on_link_down(link),
            AgentMessage::Entries(entries) => self.set_entries(entries),
            AgentMessage::Configured { version, refusing } => {
                self.config.version = version;
                self.config.refusing = refusing;
                self.update_core_config();
            }
            AgentMessage::Confirmed(confirmed) => {
                self.config.confirmed = confirmed;
                self.update_core_config();
            }
            AgentMessage::TaskEnded {
                credit,
                outcome,
                run_time,
            } => {
                self.tasks.swap_remove(&credit);
                self.handle_event(Event::TaskEnded {
                    credit,
                    outcome,
                    run_time,
                });
            }
            AgentMessage::Tick => self.handle_event(Event::Tick),
            AgentMessage::Running(reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.core.running_tasks() as u64);
            }
            AgentMessage::Drain(done) => {
                self.drain_waiters.push(done);
                self.handle_event(Event::Drain);
                self.notify_drained();
            }
        }
    }

    fn on_announcement(&mut self, announcement: TargetAnnouncement) {
        self.target.set_address(announcement.address);
        let TargetAnnouncement {
            target,
            pool,
            slots,
            leaving,
            ..
        } = announcement;
        if self.announced_leaving != Some(leaving) {
            self.announced_leaving = Some(leaving);
            if leaving {
                emit(&AgentEvent::TargetLeaving {
                    target: &target,
                    running: self.core.running_tasks() as u64,
                });
            } else {
                emit(&AgentEvent::TargetAnnounced {
                    target: &target,
                    pool: &pool,
                    slots: u64::from(slots),
                });
            }
        }
        self.handle_event(Event::TargetAnnounced {
            target,
            pool,
            slots,
            leaving,
        });
    }

    fn on_link_up(&mut self, link: LinkId, entry: EntryLink, tx: LinkSender<AgentToEntryWire>) {
        let process = entry.process;
        // A new link to the same incarnation replaces the old one, which may be unresponsive.
        if self.senders.contains_key(&process) {
            self.handle_event(Event::EntryDown { entry: process });
        }
        self.links.insert(link, entry);
        self.senders.insert(process, (link, tx));
        self.handle_event(Event::EntryUp { entry: process });
    }

    fn on_link_down(&mut self, link: LinkId) {
        let Some(EntryLink { process: entry, .. }) = self.links.swap_remove(&link) else {
            return;
        };
        if self
            .senders
            .get(&entry)
            .is_some_and(|&(current, _)| current == link)
        {
            self.senders.swap_remove(&entry);
            self.handle_event(Event::EntryDown { entry });
            if !self.entries.iter().any(|listed| listed.process == entry) {
                self.handle_event(Event::EntryLeaseEnded { entry });
            }
        }
        self.drop_unused_dialers();
    }

    fn on_entry_messages(&mut self, link: LinkId, messages: Vec<EntryToAgent>) {
        let Some(&EntryLink { process: entry, .. }) = self.links.get(&link) else {
            return;
        };
        // Messages from a replaced link are stale: the core has already treated that link as lost.
        if self
            .senders
            .get(&entry)
            .is_none_or(|&(current, _)| current != link)
        {
            return;
        }
        for message in messages {
            self.handle_event(Event::FromEntry { entry, message });
        }
    }

    fn update_core_config(&mut self) {
        let ConfigState {
            version,
            confirmed,
            refusing,
        } = self.config.clone();
        self.handle_event(Event::ConfigState {
            version,
            confirmed,
            refusing,
        });
    }

    /// Dials new entries and removes those that are no longer in the view.
    fn set_entries(&mut self, entries: Vec<EntryInfo>) {
        let removed = self.entries.iter().map(|entry| entry.process);
        let removed: Vec<_> = removed
            .filter(|&former| !entries.iter().any(|entry| entry.process == former))
            .collect();
        self.entries = entries;
        for entry in removed {
            self.handle_event(Event::EntryLeaseEnded { entry });
        }
        self.drop_unused_dialers();
        let addresses: Vec<_> = self.entries.iter().map(|entry| entry.address.clone()).collect();
        for address in addresses {
            if !self.dialers.contains_key(&address) {
                let handler = EntryLinkHandler {
                    actor: self.myself.clone(),
                };
                let dialer = self.dial.dial_entry(&address, handler);
                self.dialers.insert(address, dialer);
            }
        }
    }

    /// Stops dialling addresses that are not in the view, except those with an open link: an entry that has only lost
    /// its lease still waits for results.
    fn drop_unused_dialers(&mut self) {
        let Self {
            dialers,
            entries,
            links,
            ..
        } = self;
        dialers.retain(|address, _| {
            let listed = entries.iter().any(|entry| entry.address == *address);
            listed || links.values().any(|link| link.address == *address)
        });
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { entry, message } => {
                if let AgentToEntry::Refused { .. } = message {
                    self.metrics.count("agent.refused", 1);
                }
                if let Some((_, tx)) = self.senders.get(&entry) {
                    tx.send(message.into());
                }
            }
            Action::Start { dispatch, .. } => {
                self.metrics.count("agent.starts", 1);
                let credit = dispatch.credit;
                let actor = self.myself.clone();
                let task = self.target.start(dispatch, move |outcome, run_time| {
                    drop(actor.cast(AgentMessage::TaskEnded {
                        credit,
                        outcome,
                        run_time,
                    }));
                });
                self.tasks.insert(credit, task);
            }
            Action::Stop { credit } => {
                if let Some(task) = self.tasks.get_mut(&credit) {
                    task.stop();
                }
            }
            Action::Drained => {
                self.is_drained = true;
                self.notify_drained();
            }
        }
    }

    fn notify_drained(&mut self) {
        if self.is_drained {
            for done in self.drain_waiters.drain(..) {
                // The waiter may have stopped waiting.
                let _ = done.send(());
            }
        }
    }
}

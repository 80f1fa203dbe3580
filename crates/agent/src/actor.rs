//! Actor that owns the agent core, the links to entries and the tasks in progress.

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
use crate::links::EntryLinks;
use crate::target::{TargetClient, TaskHandle};

/// Entry at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) struct EntryLink {
    pub(crate) process: ProcessId,
    /// Address that was dialled.
    pub(crate) address: String,
}

/// Message to the agent's actor.
#[derive(Debug)]
pub(crate) enum AgentMessage {
    /// The target announced itself.
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
    /// A configuration version is in force.
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
    /// Ask for the number of tasks that run at the target.
    Running(oneshot::Sender<u64>),
    /// Stop taking work; the reply comes when nothing runs.
    Drain(oneshot::Sender<()>),
}

/// Actor that owns the agent core.
#[derive(Debug)]
pub(crate) struct AgentActor;

/// What the actor is started with.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) core: AgentCore,
    pub(crate) dial: DialTemplate,
    pub(crate) target: TargetClient,
    pub(crate) metrics: Metrics,
}

/// Configuration as the core needs it.
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
    me: ActorRef<AgentMessage>,
    wakeup: Wakeup,
    dial: DialTemplate,
    dialers: IndexMap<String, Dialer>,
    links: IndexMap<LinkId, EntryLink>,
    senders: IndexMap<ProcessId, (LinkId, LinkSender<AgentToEntryWire>)>,
    /// Entries of the current view.
    entries: Vec<EntryInfo>,
    config: ConfigState,
    target: TargetClient,
    /// Whether the target was leaving when it announced itself last.
    announced: Option<bool>,
    tasks: IndexMap<CreditId, TaskHandle>,
    metrics: Metrics,
    drained: Vec<oneshot::Sender<()>>,
    is_drained: bool,
    actions: Vec<Action>,
}

impl Actor for AgentActor {
    type Msg = AgentMessage;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        me: ActorRef<AgentMessage>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let ticker = me.clone();
        let wakeup = Wakeup::start(move || drop(ticker.cast(AgentMessage::Tick)));
        Ok(State {
            core: arguments.core,
            me,
            wakeup,
            dial: arguments.dial,
            dialers: IndexMap::new(),
            links: IndexMap::new(),
            senders: IndexMap::new(),
            entries: Vec::new(),
            config: ConfigState::default(),
            target: arguments.target,
            announced: None,
            tasks: IndexMap::new(),
            metrics: arguments.metrics,
            drained: Vec::new(),
            is_drained: false,
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _me: ActorRef<AgentMessage>,
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
            AgentMessage::Target(announcement) => self.target_announced(announcement),
            AgentMessage::LinkUp { link, entry, tx } => self.link_up(link, entry, tx),
            AgentMessage::FromEntry { link, messages } => self.entry_messages(link, messages),
            AgentMessage::LinkDown { link } => self.link_down(link),
            AgentMessage::Entries(entries) => self.set_entries(entries),
            AgentMessage::Configured { version, refusing } => {
                self.config.version = version;
                self.config.refusing = refusing;
                self.pass_config();
            }
            AgentMessage::Confirmed(confirmed) => {
                self.config.confirmed = confirmed;
                self.pass_config();
            }
            AgentMessage::TaskEnded {
                credit,
                outcome,
                run_time,
            } => {
                self.tasks.swap_remove(&credit);
                self.step(Event::TaskEnded {
                    credit,
                    outcome,
                    run_time,
                });
            }
            AgentMessage::Tick => self.step(Event::Tick),
            AgentMessage::Running(reply) => {
                // The asking side may have gone away.
                let _ = reply.send(self.core.running_tasks() as u64);
            }
            AgentMessage::Drain(done) => {
                self.drained.push(done);
                self.step(Event::Drain);
                self.report_drained();
            }
        }
    }

    fn target_announced(&mut self, announcement: TargetAnnouncement) {
        self.target.set_address(announcement.address);
        let TargetAnnouncement {
            target,
            pool,
            slots,
            leaving,
            ..
        } = announcement;
        if self.announced != Some(leaving) {
            self.announced = Some(leaving);
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
        self.step(Event::TargetAnnounced {
            target,
            pool,
            slots,
            leaving,
        });
    }

    fn link_up(&mut self, link: LinkId, entry: EntryLink, tx: LinkSender<AgentToEntryWire>) {
        let process = entry.process;
        // A new link to the same incarnation replaces the old one, which may have gone silent.
        if self.senders.contains_key(&process) {
            self.step(Event::EntryDown { entry: process });
        }
        self.links.insert(link, entry);
        self.senders.insert(process, (link, tx));
        self.step(Event::EntryUp { entry: process });
    }

    fn link_down(&mut self, link: LinkId) {
        let Some(EntryLink { process: entry, .. }) = self.links.swap_remove(&link) else {
            return;
        };
        if self
            .senders
            .get(&entry)
            .is_some_and(|&(current, _)| current == link)
        {
            self.senders.swap_remove(&entry);
            self.step(Event::EntryDown { entry });
            if !self.entries.iter().any(|listed| listed.process == entry) {
                self.step(Event::EntryLeaseEnded { entry });
            }
        }
        self.drop_unused_dialers();
    }

    fn entry_messages(&mut self, link: LinkId, messages: Vec<EntryToAgent>) {
        let Some(&EntryLink { process: entry, .. }) = self.links.get(&link) else {
            return;
        };
        // Messages of a replaced link are stale: the core has already treated that link as lost.
        if self
            .senders
            .get(&entry)
            .is_none_or(|&(current, _)| current != link)
        {
            return;
        }
        for message in messages {
            self.step(Event::FromEntry { entry, message });
        }
    }

    fn pass_config(&mut self) {
        let ConfigState {
            version,
            confirmed,
            refusing,
        } = self.config.clone();
        self.step(Event::ConfigState {
            version,
            confirmed,
            refusing,
        });
    }

    /// Dials new entries and forgets those that left the view.
    fn set_entries(&mut self, entries: Vec<EntryInfo>) {
        let gone = self.entries.iter().map(|entry| entry.process);
        let gone: Vec<_> = gone
            .filter(|&former| !entries.iter().any(|entry| entry.process == former))
            .collect();
        self.entries = entries;
        for entry in gone {
            self.step(Event::EntryLeaseEnded { entry });
        }
        self.drop_unused_dialers();
        let addresses: Vec<_> = self.entries.iter().map(|entry| entry.address.clone()).collect();
        for address in addresses {
            if !self.dialers.contains_key(&address) {
                let handler = EntryLinks {
                    actor: self.me.clone(),
                };
                let dialer = self.dial.dial_entry(&address, handler);
                self.dialers.insert(address, dialer);
            }
        }
    }

    /// Stops dialling addresses outside the view, but keeps open links: an entry that only lost its lease still waits
    /// for results.
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
                let actor = self.me.clone();
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
                self.report_drained();
            }
        }
    }

    fn report_drained(&mut self) {
        if self.is_drained {
            for done in self.drained.drain(..) {
                // The waiting side may have given up already.
                let _ = done.send(());
            }
        }
    }
}

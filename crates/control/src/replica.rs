//! Actor that owns the core, the senders of its links, and the reply channels of pending operator requests.

use std::marker::PhantomData;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant, SystemTime};

use chestnutfork_events::{ControlEvent, ProcessEvent, emit};
use chestnutfork_net::{DialTemplate, Dialer, Identity, LinkId, LinkSender, Metrics, Wakeup, now};
use chestnutfork_storage::{LogStore, StorageError, StoredState};
use chestnutfork_types::{ConfigVersion, NodeName, OperatorName};
use chestnutfork_wire::{ControlMessageWire, ReplicaMessageWire, Role};
use indexmap::IndexMap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::core::ControlCore;
use crate::disk::{self, DiskReply, DiskRequest};
use crate::error::ControlError;
use crate::links::PeerLinks;
use crate::message::{Event, Notice, OperatorRequest, Output, Reply, RequestId, SubscriberIdentity};
use crate::notices;

/// Interval between attempts to repair the store after a failed write.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between attempts to transfer leadership. The replicated log aborts an attempt after one election timeout.
const TRANSFER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Status of a replica, for tests and the quickstart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether the replica is the leader.
    pub is_leader: bool,
    /// Latest configuration version that the replica has applied.
    pub version: ConfigVersion,
    /// Id of the replica, stored in its data folder.
    pub replica: u64,
}

/// Message to the actor.
#[derive(Debug)]
pub(crate) enum ReplicaMessage {
    /// Event to pass to the core unchanged.
    Event(Event),
    /// A link to another control process opened.
    PeerUp {
        link: LinkId,
        peer: Identity,
        tx: LinkSender<ReplicaMessageWire>,
    },
    /// A link to another control process closed.
    PeerDown { link: LinkId },
    /// A link to an entry or agent opened.
    SubscriberUp {
        link: LinkId,
        identity: SubscriberIdentity,
        tx: LinkSender<ControlMessageWire>,
    },
    /// A link to an entry or agent closed.
    SubscriberDown { link: LinkId },
    /// A request arrived from an operator.
    Operator {
        operator: OperatorName,
        request: OperatorRequest,
        reply: oneshot::Sender<Reply>,
    },
    /// The disk thread replied.
    Disk(DiskReply),
    /// [`REPAIR_INTERVAL`] has passed since the last failed write or repair.
    Repair,
    /// The wakeup timer fired.
    Tick,
    /// Reads the current status.
    Status(oneshot::Sender<ReplicaStatus>),
    /// Transfers leadership; the reply is sent once there is no leadership to transfer.
    TransferLeadership(oneshot::Sender<()>),
}

/// Actor that owns the core; `S` is the type of the store that the disk thread owns.
pub(crate) struct ReplicaActor<S>(PhantomData<fn() -> S>);

impl<S> ReplicaActor<S> {
    pub(crate) fn new() -> Self {
        Self(PhantomData)
    }
}

/// Arguments for the start of the actor.
#[derive(Debug)]
pub(crate) struct Arguments<S> {
    pub(crate) name: NodeName,
    pub(crate) core: ControlCore,
    pub(crate) store: S,
    pub(crate) dial: DialTemplate,
    /// Addresses to dial at the start.
    ///
    /// Both sides dial, because a replacement VM may have a name that the settings of the others do not list.
    pub(crate) dial_addresses: Vec<String>,
    pub(crate) metrics: Metrics,
}

/// State of the actor.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    myself: ActorRef<ReplicaMessage>,
    name: NodeName,
    core: ControlCore,
    disk: Sender<DiskRequest>,
    write_in_progress: bool,
    wakeup: Wakeup,
    dial: DialTemplate,
    dialers: IndexMap<String, Dialer>,
    peers: IndexMap<LinkId, LinkSender<ReplicaMessageWire>>,
    subscribers: IndexMap<LinkId, LinkSender<ControlMessageWire>>,
    pending_replies: IndexMap<RequestId, oneshot::Sender<Reply>>,
    last_request_id: RequestId,
    transfer_waiters: Vec<oneshot::Sender<()>>,
    last_transfer_at: Instant,
    metrics: Metrics,
    outputs: Vec<Output>,
}

fn start_state<S>(myself: ActorRef<ReplicaMessage>, arguments: Arguments<S>) -> ReplicaState
where
    S: LogStore + Send + 'static,
{
    let timer_actor = myself.clone();
    let wakeup = Wakeup::start(move || drop(timer_actor.cast(ReplicaMessage::Tick)));
    let disk_actor = myself.clone();
    let disk = disk::start(arguments.store, move |reply| {
        drop(disk_actor.cast(ReplicaMessage::Disk(reply)));
    });
    ReplicaState {
        myself,
        name: arguments.name,
        core: arguments.core,
        disk,
        write_in_progress: false,
        wakeup,
        dial: arguments.dial,
        dialers: IndexMap::new(),
        peers: IndexMap::new(),
        subscribers: IndexMap::new(),
        pending_replies: IndexMap::new(),
        last_request_id: 0,
        transfer_waiters: Vec::new(),
        last_transfer_at: now(),
        metrics: arguments.metrics,
        outputs: Vec::new(),
    }
}

impl<S: LogStore + Send + 'static> Actor for ReplicaActor<S> {
    type Msg = ReplicaMessage;
    type State = ReplicaState;
    type Arguments = Arguments<S>;

    async fn pre_start(
        &self,
        myself: ActorRef<ReplicaMessage>,
        arguments: Arguments<S>,
    ) -> Result<ReplicaState, ActorProcessingErr> {
        let dial_addresses = arguments.dial_addresses.clone();
        let mut state = start_state(myself, arguments);
        for address in dial_addresses {
            state.dial(address);
        }
        state.run_batches()?;
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<ReplicaMessage>,
        message: ReplicaMessage,
        state: &mut ReplicaState,
    ) -> Result<(), ActorProcessingErr> {
        let result = state.handle_message(message).and_then(|()| state.run_batches());
        if let Err(error) = &result {
            emit(&ProcessEvent::ActorFailed {
                actor: "replica",
                error: &error.to_string(),
            });
        }
        Ok(result?)
    }
}

impl ReplicaState {
    fn handle_message(&mut self, message: ReplicaMessage) -> Result<(), ControlError> {
        match message {
            ReplicaMessage::Event(event) => self.handle_event(event),
            ReplicaMessage::Tick => {
                self.handle_event(Event::Tick);
                self.retry_transfer();
            }
            ReplicaMessage::PeerUp { link, peer, tx } => {
                self.peers.insert(link, tx);
                let Identity { name, address, .. } = peer;
                self.handle_event(Event::PeerUp { link, name, address });
            }
            ReplicaMessage::PeerDown { link } => {
                self.peers.swap_remove(&link);
                self.handle_event(Event::PeerDown { link });
            }
            ReplicaMessage::SubscriberUp { link, identity, tx } => {
                self.subscribers.insert(link, tx);
                self.handle_event(Event::SubscriberUp { link, identity });
            }
            ReplicaMessage::SubscriberDown { link } => {
                self.subscribers.swap_remove(&link);
                self.handle_event(Event::SubscriberDown { link });
            }
            ReplicaMessage::Operator {
                operator,
                request,
                reply,
            } => self.handle_operator(operator, request, reply),
            ReplicaMessage::Disk(reply) => self.on_disk_reply(reply)?,
            ReplicaMessage::Repair => self.send_to_disk(DiskRequest::Repair),
            ReplicaMessage::Status(reply) => {
                // The receiver may have been dropped.
                let _ = reply.send(self.status());
            }
            ReplicaMessage::TransferLeadership(reply) => {
                self.transfer_waiters.push(reply);
                self.transfer_leadership();
            }
        }
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        self.core.handle(now(), SystemTime::now(), event);
    }

    fn handle_operator(
        &mut self,
        operator: OperatorName,
        request: OperatorRequest,
        reply: oneshot::Sender<Reply>,
    ) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        self.pending_replies.insert(request_id, reply);
        self.handle_event(Event::Operator {
            request_id,
            operator,
            request,
        });
    }

    fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            is_leader: self.core.is_leader(),
            version: self.core.version(),
            replica: self.core.replica(),
        }
    }

    fn on_disk_reply(&mut self, reply: DiskReply) -> Result<(), ControlError> {
        match reply {
            DiskReply::Written => {
                self.write_in_progress = false;
                self.core
                    .finish_batch(now(), SystemTime::now(), &mut self.outputs)?;
            }
            DiskReply::Failed { error, stored } => {
                self.write_in_progress = false;
                self.on_write_failed(&error, stored)?;
            }
            DiskReply::Repaired => {
                emit(&ControlEvent::DiskResumed { path: "log" });
                self.handle_event(Event::StorageReady);
            }
            DiskReply::RepairFailed => self.schedule_repair(),
        }
        Ok(())
    }

    fn on_write_failed(
        &mut self,
        error: &StorageError,
        stored: Result<StoredState, StorageError>,
    ) -> Result<(), ControlError> {
        let reason = error.to_string();
        emit(&ControlEvent::DiskFull {
            path: "log",
            error: &reason,
        });
        self.core.fail_batch(now(), stored?, &mut self.outputs)?;
        self.schedule_repair();
        Ok(())
    }

    fn schedule_repair(&self) {
        let myself = self.myself.clone();
        tokio::spawn(async move {
            sleep(REPAIR_INTERVAL).await;
            drop(myself.cast(ReplicaMessage::Repair));
        });
    }

    fn send_to_disk(&self, request: DiskRequest) {
        // The thread runs until this sender is dropped.
        let _ = self.disk.send(request);
    }

    /// Processes batches until one has changes to write, then executes the outputs.
    fn run_batches(&mut self) -> Result<(), ControlError> {
        while !self.write_in_progress && self.core.has_work() {
            let changes = self.core.begin_batch(now());
            if changes.is_empty() {
                self.core
                    .finish_batch(now(), SystemTime::now(), &mut self.outputs)?;
            } else {
                self.write_in_progress = true;
                self.send_to_disk(DiskRequest::Write(changes));
            }
        }
        for output in std::mem::take(&mut self.outputs) {
            self.execute(output);
        }
        self.notify_transfer_waiters();
        // While a batch is written, a tick cannot start another one; the reply of the disk thread does.
        let wakeup = (!self.write_in_progress).then(|| self.core.next_wakeup());
        self.wakeup.set(wakeup);
        Ok(())
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::ToPeer(link, message) => {
                if let Some(tx) = self.peers.get(&link) {
                    tx.send(message.into());
                }
            }
            Output::ToSubscriber(link, message) => {
                if let Some(tx) = self.subscribers.get(&link) {
                    tx.send(message.into());
                }
            }
            Output::Reply(request_id, reply) => {
                if let Some(tx) = self.pending_replies.swap_remove(&request_id) {
                    // The operator may have disconnected.
                    let _ = tx.send(reply);
                }
            }
            Output::Dial(address) => self.dial(address),
            Output::Notice(notice) => {
                self.count_notice(&notice);
                notices::log(&self.name, self.core.replica(), &notice);
            }
        }
    }

    fn count_notice(&self, notice: &Notice) {
        if let Notice::EvacuationsApplied {
            revision, domains, ..
        } = notice
        {
            self.metrics.gauge("evacuation.revision", *revision);
            self.metrics.gauge("evacuation.domains", domains.len() as u64);
        }
    }

    /// Dials another control process and maintains a link to it.
    fn dial(&mut self, address: String) {
        if self.dialers.contains_key(&address) {
            return;
        }
        let actor = self.myself.clone();
        let dialer = self.dial.dial(&address, Role::Control, PeerLinks { actor });
        self.dialers.insert(address, dialer);
    }

    fn transfer_leadership(&mut self) {
        self.last_transfer_at = now();
        self.handle_event(Event::Shutdown);
    }

    /// Repeats a leadership transfer that a shutdown waits for, because the chosen successor may have stopped.
    fn retry_transfer(&mut self) {
        if !self.transfer_waiters.is_empty() && now() >= self.last_transfer_at + TRANSFER_RETRY_INTERVAL {
            self.transfer_leadership();
        }
    }

    fn notify_transfer_waiters(&mut self) {
        // Without another active voter a leader would wait forever, so it replies at once.
        if self.core.can_transfer_leadership(now()) {
            return;
        }
        for reply in self.transfer_waiters.drain(..) {
            let _ = reply.send(());
        }
    }
}

//! Core of control: the replicated log, its state machine, subscribers and operators, without I/O.
//!
//! The driver passes events to [`ControlCore::handle`], which queues inputs of the log.
//! [`ControlCore::begin_batch`] processes all queued inputs and returns the changes to persist.
//! [`ControlCore::finish_batch`] returns the outputs once these are durable. Events that arrive while a batch is
//! written are queued for the next one (group commit).

use std::time::{Duration, Instant, SystemTime};

use chestnutfork_documents::Publisher;
use chestnutfork_raft::{
    Action, Config, Entry, Event as RaftEvent, Membership, Message, Payload, Proposal, Raft, Role, Snapshot,
};
use chestnutfork_storage::{Change, StoredState};
use chestnutfork_types::{ConfigVersion, LogIndex, NodeName, ReplicaId, Term};

use crate::directory::Directory;
use crate::error::ControlError;
use crate::evacuations::EvacuationWatchers;
use crate::formation::Formation;
use crate::leases::Leases;
use crate::membership_repair::MembershipRepair;
use crate::message::{Event, Notice, Output, PeerMessage, ProbeId, ReplicaHello, SubscriberMessage};
use crate::peers::Peers;
use crate::persist;
use crate::requests::Requests;
use crate::state_machine::{Applied, StateMachine};
use crate::subscribers::Subscribers;

/// Interval of periodic work outside the log: probes, renewals, leases, views, member repair and request timeouts.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Applied entries after which the log is replaced by a snapshot.
const COMPACT_ENTRIES: u64 = 1_000;
/// Bytes of applied commands after which the log is replaced by a snapshot; patches may be large.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;

/// Version that was current at the time of a quorum check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfirmedVersion {
    pub(crate) version: ConfigVersion,
    pub(crate) at: Instant,
}

/// Configuration of [`ControlCore`].
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Name from the settings.
    pub name: NodeName,
    /// Control processes that form the replica set.
    pub initial_members: Vec<NodeName>,
    /// Address of the operator interface, to which other control processes redirect operators.
    pub operator_address: String,
    /// Address at which other processes reach this one for links.
    pub link_address: String,
    /// Number of voters that the leader maintains by admitting connected processes; `None` if only operators replace
    /// lost members.
    pub voter_count: Option<usize>,
    /// Timing and limits of the replicated log.
    pub raft: Config,
}

/// State and decisions of a control process, without I/O.
#[derive(Debug)]
pub struct ControlCore {
    pub(crate) cfg: CoreConfig,
    pub(crate) raft: Raft,
    pub(crate) state: StateMachine,
    pub(crate) peers: Peers,
    pub(crate) subscribers: Subscribers,
    pub(crate) leases: Leases,
    pub(crate) requests: Requests,
    /// Latest confirmed version, from this leader's own quorum check or from the leader's answer to a probe.
    pub(crate) confirmed: Option<ConfirmedVersion>,
    /// Latest probe sent to the leader and the time at which it was sent.
    pub(crate) last_probe: (ProbeId, Instant),
    next_maintenance: Instant,
    /// Inputs of the log for the next batch.
    raft_events: Vec<RaftEvent>,
    proposals: Vec<Proposal>,
    /// Initial member set to persist with the next batch.
    pub(crate) pending_formation: Option<Membership>,
    /// Actions to execute once the current batch is durable.
    pending_actions: Vec<Action>,
    /// Outputs that [`ControlCore::finish_batch`] returns next.
    pub(crate) outputs: Vec<Output>,
    /// Log index covered by the latest snapshot of the state machine.
    compacted_index: LogIndex,
    /// Size of the commands applied since that snapshot.
    bytes_since_compaction: usize,
    was_leader: bool,
    shutting_down: bool,
    pub(crate) formation: Option<Formation>,
    /// Whether a quorum of the voters has been connected since the start of the process.
    quorum_was_connected: bool,
    pub(crate) directory: Directory,
    pub(crate) publisher: Publisher,
    pub(crate) evacuation_watchers: EvacuationWatchers,
    /// Term of the last applied entry.
    pub(crate) applied_term: Term,
    /// Latest document version that was logged as applied.
    pub(crate) logged_document: ConfigVersion,
    pub(crate) membership_repair: MembershipRepair,
}

impl ControlCore {
    /// Creates a core from the stored state.
    ///
    /// # Errors
    ///
    /// Returns an error if the stored state was written by an incompatible version or is inconsistent.
    pub fn new(cfg: CoreConfig, stored: StoredState, now: Instant) -> Result<Self, ControlError> {
        let durable = persist::durable_state(stored)?;
        let meta = &durable.snapshot.meta;
        let (compacted_index, applied_term) = (meta.index, meta.term);
        let state = StateMachine::from_bytes(&durable.snapshot.data, compacted_index)?;
        let raft = Raft::new(cfg.raft.clone(), durable, now)?;
        Ok(Self {
            cfg,
            raft,
            state,
            peers: Peers::default(),
            subscribers: Subscribers::default(),
            leases: Leases::default(),
            requests: Requests::default(),
            confirmed: None,
            last_probe: (0, now),
            next_maintenance: now,
            raft_events: Vec::new(),
            proposals: Vec::new(),
            pending_formation: None,
            pending_actions: Vec::new(),
            outputs: Vec::new(),
            compacted_index,
            bytes_since_compaction: 0,
            was_leader: false,
            shutting_down: false,
            formation: None,
            quorum_was_connected: false,
            directory: Directory::default(),
            publisher: Publisher::default(),
            evacuation_watchers: EvacuationWatchers::new(now),
            applied_term,
            logged_document: 0,
            membership_repair: MembershipRepair::default(),
        })
    }

    /// Returns the id of this replica, which the data folder determines.
    #[must_use]
    pub fn replica(&self) -> ReplicaId {
        self.raft.id()
    }

    /// Reports whether this replica is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.raft.role() == Role::Leader
    }

    /// Reports whether this replica leads and another active voter could become leader.
    #[must_use]
    pub fn can_transfer_leadership(&self, now: Instant) -> bool {
        let members = self.raft.membership();
        let progress = self.raft.progress(now);
        progress
            .iter()
            .any(|peer| peer.recently_active && members.is_voter(peer.replica))
    }

    /// Returns the latest configuration version that this replica has applied.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.state.config.version()
    }

    /// Returns the replicated log for verification in tests.
    #[must_use]
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the time at which the driver must pass the next [`Event::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        self.raft.next_wakeup().min(self.next_maintenance)
    }

    /// Processes one event.
    pub fn handle(&mut self, now: Instant, wall: SystemTime, event: Event) {
        match event {
            Event::Tick => self.on_tick(now, wall),
            Event::PeerUp { link, name, address } => {
                self.peers.add(link, name, address);
                let hello = self.hello();
                self.outputs.push(Output::ToPeer(link, hello));
                self.share_addresses();
            }
            Event::PeerDown { link } => {
                self.peers.remove(link);
                self.distribute_directory();
            }
            Event::FromPeer { link, messages } => {
                for message in messages {
                    self.on_peer_message(now, wall, link, message);
                }
            }
            Event::SubscriberUp { link, identity } => self.subscribers.add(link, identity),
            Event::SubscriberDown { link } => {
                self.subscribers.remove(link);
                self.publisher.remove(link);
                self.evacuation_watchers.remove(link);
                if self.directory.remove_follower(link) {
                    self.distribute_directory();
                }
            }
            Event::FromSubscriber { link, messages } => {
                for message in messages {
                    self.on_subscriber_message(now, link, message);
                }
            }
            Event::Operator {
                request_id,
                operator,
                request,
            } => self.on_operator(now, wall, request_id, operator, request),
            Event::Shutdown => {
                self.shutting_down = true;
                self.transfer_leadership();
            }
            Event::StorageReady => self.raft_events.push(RaftEvent::StorageReady),
        }
    }

    /// Reports whether there is input or output for a batch.
    #[must_use]
    pub fn has_work(&self) -> bool {
        let queued = !(self.raft_events.is_empty() && self.proposals.is_empty() && self.outputs.is_empty());
        queued || self.pending_formation.is_some()
    }

    /// Processes the queued inputs and returns the changes to persist before [`ControlCore::finish_batch`].
    pub fn begin_batch(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(members) = self.pending_formation.take() {
            changes.extend(self.form(now, members));
        }
        let mut events = std::mem::take(&mut self.raft_events);
        if !self.proposals.is_empty() {
            events.push(RaftEvent::Propose(std::mem::take(&mut self.proposals)));
        }
        let mut actions = Vec::new();
        for event in events {
            self.raft.handle(now, event, &mut actions);
        }
        changes.extend(actions.iter().filter_map(persist::storage_change));
        actions.retain(|action| !action.is_persist());
        self.pending_actions.append(&mut actions);
        changes
    }

    /// Executes the actions of a batch whose changes are durable.
    ///
    /// # Errors
    ///
    /// Returns an error if a committed entry was written by an incompatible version; the process must then stop.
    pub fn finish_batch(
        &mut self,
        now: Instant,
        wall: SystemTime,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ControlError> {
        for action in std::mem::take(&mut self.pending_actions) {
            self.execute(now, wall, action)?;
        }
        self.distribute_evacuations(now);
        self.distribute_document();
        self.compact_if_due();
        debug_assert_eq!(self.raft.verify(), [], "the verifier finds no violation");
        outputs.append(&mut self.outputs);
        Ok(())
    }

    /// Reverts to the durable state after a failed write and discards the actions of the batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the stored state cannot be read.
    pub fn fail_batch(
        &mut self,
        now: Instant,
        stored: StoredState,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ControlError> {
        let durable = persist::durable_state(stored)?;
        let applied = self.state.index;
        self.pending_actions.clear();
        let mut actions = Vec::new();
        let event = RaftEvent::StorageFailed { durable, applied };
        self.raft.handle(now, event, &mut actions);
        self.pending_actions = actions;
        self.confirmed = None;
        self.formation = None;
        self.fail_requests();
        self.finish_batch(now, SystemTime::UNIX_EPOCH, outputs)
    }

    fn on_tick(&mut self, now: Instant, wall: SystemTime) {
        if now >= self.raft.next_wakeup() {
            self.raft_events.push(RaftEvent::Tick);
        }
        if now < self.next_maintenance {
            return;
        }
        self.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.check_formation();
        self.probe_leader(now);
        self.forward_renewals(now);
        self.expire_requests(now);
        if self.is_leader() {
            self.run_leader_maintenance(now, wall);
            self.repair_membership(now);
        }
        if self.shutting_down {
            self.transfer_leadership();
        }
    }

    /// Starts a leadership transfer. Callers repeat it, because the request or the successor's election may be lost.
    fn transfer_leadership(&mut self) {
        if self.is_leader() {
            self.raft_events.push(RaftEvent::TransferLeadership { to: None });
        }
    }

    /// Notes when a quorum of the voters is connected for the first time, so that the first election need not wait.
    pub(crate) fn check_quorum(&mut self) {
        let members = self.raft.membership();
        let connected = members.voters.iter().filter(|&&voter| {
            let formed = |hello: &ReplicaHello| !hello.members.is_empty();
            voter == self.replica() || self.peers.hello_of(voter).is_some_and(formed)
        });
        if !self.quorum_was_connected && !members.voters.is_empty() && connected.count() >= members.quorum() {
            self.quorum_was_connected = true;
            self.raft_events.push(RaftEvent::QuorumConnected);
        }
    }

    fn on_peer_message(&mut self, now: Instant, wall: SystemTime, link: u64, message: PeerMessage) {
        match message {
            PeerMessage::Hello(hello) => {
                self.peers.record_hello(link, hello);
                self.check_formation();
                self.check_quorum();
            }
            PeerMessage::Raft(message) => self.raft_events.push(RaftEvent::Message(message)),
            PeerMessage::Probe(probe) => self.on_probe(now, link, probe),
            PeerMessage::Confirm(confirmation) => self.on_confirm(confirmation),
            PeerMessage::Renewals(renewals) => {
                for renewal in renewals {
                    self.leases.renew(now, renewal);
                }
            }
            PeerMessage::Request {
                id,
                operator,
                request,
            } => self.on_forwarded_request(now, wall, link, id, operator, request),
            PeerMessage::Answer { id, reply } => self.on_forwarded_answer(id, reply),
            PeerMessage::Addresses(addresses) => self.on_addresses(addresses),
        }
    }

    fn on_subscriber_message(&mut self, now: Instant, link: u64, message: SubscriberMessage) {
        match message {
            SubscriberMessage::Subscribe { have, failure_domain } => {
                self.subscribers.set_failure_domain(link, failure_domain);
                self.subscribers
                    .subscribe(link, have, &self.state, &mut self.outputs);
            }
            SubscriberMessage::Ack(version) => self.subscribers.ack(link, version),
            SubscriberMessage::Renew {
                probe,
                version,
                synced,
            } => {
                self.subscribers.renew(now, link, version, synced);
                self.confirm_subscriber(now, link, probe);
            }
            SubscriberMessage::Leaving => self.subscribers.leave(now, link),
            SubscriberMessage::Follow { have } => self.on_follow(link, have),
            SubscriberMessage::Watch => self.on_watch(link),
            SubscriberMessage::WatchEvacuations => self.on_watch_evacuations(now, link),
            SubscriberMessage::Fetch { version, offset } => self.on_fetch(link, version, offset),
        }
    }

    /// Executes one action of the log once all changes before it are durable.
    fn execute(&mut self, now: Instant, wall: SystemTime, action: Action) -> Result<(), ControlError> {
        match action {
            Action::Send(message) => self.send(message),
            Action::Apply(entries) => {
                // After a failed write, the log may emit entries again that are already applied.
                let known = self.state.index;
                for entry in entries.into_iter().filter(|entry| entry.index > known) {
                    self.bytes_since_compaction += command_size(&entry);
                    let applied = self.state.apply(&entry)?;
                    self.applied_term = entry.term;
                    self.on_applied(now, entry.index, entry.term, applied);
                }
            }
            Action::Restore(snapshot) => self.restore(&snapshot)?,
            Action::Proposed { id, index, term } => self.requests.set_position(id, index, term),
            Action::ReadReady { id, .. } => self.on_read_ready(now, wall, id),
            Action::Refused { id, reason } | Action::ReadRefused { id, reason } => {
                self.on_refused(id, reason);
            }
            Action::QuorumConfirmed { since, .. } => {
                let version = self.version();
                self.confirmed = Some(ConfirmedVersion { version, at: since });
            }
            Action::RoleChanged { role, term, leader } => self.on_role_changed(now, role, term, leader),
            Action::SaveHardState(_) | Action::AppendLog(_) | Action::SaveSnapshot { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, message: Message) {
        if let Some(link) = self.peers.link(message.to) {
            self.outputs
                .push(Output::ToPeer(link, PeerMessage::Raft(message)));
        }
    }

    fn on_applied(&mut self, now: Instant, index: LogIndex, term: u64, applied: Applied) {
        match &applied {
            Applied::Verdict(verdict) => {
                // Entries of earlier terms are replayed after a restart; their rollout is not tracked again.
                let version = verdict.accepted_version().filter(|_| term == self.raft.term());
                if let Some(version) = version {
                    self.leases.start_rollout(now, version);
                }
                self.subscribers.distribute(&self.state, &mut self.outputs);
            }
            Applied::View => self.subscribers.distribute_view(&self.state, &mut self.outputs),
            // `finish_batch` sends only the newest state, after all entries of the batch are applied.
            Applied::Document | Applied::Evacuation | Applied::Nothing => {}
        }
        self.answer_applied(now, index, term, applied);
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), ControlError> {
        let index = snapshot.meta.index;
        self.state = StateMachine::from_bytes(&snapshot.data, index)?;
        self.applied_term = snapshot.meta.term;
        self.compacted_index = index;
        self.bytes_since_compaction = 0;
        self.subscribers.distribute(&self.state, &mut self.outputs);
        self.subscribers.distribute_view(&self.state, &mut self.outputs);
        Ok(())
    }

    fn compact_if_due(&mut self) {
        let index = self.state.index;
        let due =
            index >= self.compacted_index + COMPACT_ENTRIES || self.bytes_since_compaction >= COMPACT_BYTES;
        if !due {
            return;
        }
        self.compacted_index = index;
        self.bytes_since_compaction = 0;
        let data = self.state.to_bytes();
        self.raft_events.push(RaftEvent::Compact { index, data });
    }

    fn on_role_changed(&mut self, now: Instant, role: Role, term: u64, leader: Option<ReplicaId>) {
        let leads = role == Role::Leader;
        if self.was_leader && !leads {
            self.outputs.push(Output::Notice(Notice::LeadershipLost { term }));
        }
        if !self.was_leader && leads {
            let entries = self.state.view.as_ref().map_or(&[][..], |record| &record.entries);
            self.leases.start(now, entries);
        }
        self.was_leader = leads;
        if role == Role::Candidate {
            self.outputs
                .push(Output::Notice(Notice::ElectionStarted { term }));
        }
        if let Some(leader) = leader {
            let leader = self.name_of(leader);
            self.outputs
                .push(Output::Notice(Notice::LeaderChanged { term, leader }));
        }
    }

    /// Returns the name of a replica, or its id if the name is unknown.
    pub(crate) fn name_of(&self, replica: ReplicaId) -> String {
        if replica == self.replica() {
            return self.cfg.name.clone();
        }
        let name = self.peers.name(replica);
        name.map_or_else(|| format!("{replica:016x}"), str::to_owned)
    }

    pub(crate) fn queue_read(&mut self, id: u64) {
        self.raft_events.push(RaftEvent::Read { id });
    }

    /// Reports whether all entries of the log are applied and no proposal is queued.
    pub(crate) fn is_settled(&self) -> bool {
        self.proposals.is_empty() && self.state.index == self.raft.last_index()
    }

    pub(crate) fn propose(&mut self, proposal: Proposal) {
        self.proposals.push(proposal);
    }

    pub(crate) fn change_members(&mut self, id: u64, change: chestnutfork_raft::MembershipChange) {
        self.raft_events.push(RaftEvent::ProposeMembership { id, change });
    }
}

fn command_size(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Empty | Payload::Membership(_) => 0,
    }
}

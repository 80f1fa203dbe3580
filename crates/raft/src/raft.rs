//! State of a replica and dispatch of its events.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::config::Config;
use crate::entry::{DurableState, DurableStateError, Entry, HardState, Snapshot, SnapshotMeta};
use crate::event::{Action, Event, RefusalReason};
use crate::follower::IncomingSnapshot;
use crate::leader::LeaderState;
use crate::log::Log;
use crate::membership::Membership;
use crate::message::{Message, MessageBody};

/// Time until the next wakeup of a replica whose storage has failed; events are still handled as they arrive.
const STORAGE_RECOVERY_WAIT: Duration = Duration::from_hours(1);

/// Role of a replica in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Collects pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}

/// Replication progress of another member, as tracked by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Id of the member.
    pub replica: ReplicaId,
    /// Index of the last entry that the member has acknowledged.
    pub match_index: LogIndex,
    /// Whether the member replied within the last election timeout.
    pub recently_active: bool,
}

/// Replica of a Raft group.
#[derive(Debug)]
pub struct Raft {
    pub(crate) cfg: Config,
    pub(crate) rng: StdRng,
    pub(crate) hard_state: HardState,
    /// Term and vote in the latest persist action.
    saved_hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit_index: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// Time of the last message from the leader.
    pub(crate) last_leader_contact: Option<Instant>,
    pub(crate) election_deadline: Instant,
    /// Replicas that granted the current vote or pre-vote.
    pub(crate) votes: Vec<ReplicaId>,
    /// Present if and only if this replica is the leader.
    pub(crate) leader_state: Option<LeaderState>,
    /// Partially received snapshot.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) storage_ok: bool,
}

impl Raft {
    /// Creates a replica from its durable state.
    ///
    /// The driver restores the state machine from the snapshot. The entries after it are applied again once they are
    /// known to be committed.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency in the durable state.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_raft::{Config, DurableState, Membership, Raft, Role};
    ///
    /// let mut durable = DurableState::default();
    /// durable.snapshot.meta.membership = Membership::from_voters([1]);
    /// let cfg = Config::builder(1).build()?;
    /// let raft = Raft::new(cfg, durable, Instant::now())?;
    /// assert_eq!(raft.role(), Role::Follower);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(cfg: Config, durable: DurableState, now: Instant) -> Result<Self, DurableStateError> {
        durable.check()?;
        let rng = StdRng::seed_from_u64(cfg.seed);
        let commit_index = durable.snapshot.meta.index;
        let mut raft = Self {
            cfg,
            rng,
            hard_state: durable.hard_state,
            saved_hard_state: durable.hard_state,
            log: Log::new(durable.snapshot, durable.entries),
            commit_index,
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            votes: Vec::new(),
            leader_state: None,
            incoming_snapshot: None,
            storage_ok: true,
        };
        raft.reset_election_deadline(now);
        Ok(raft)
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        let before = (self.role, self.hard_state.term, self.leader);
        match event {
            Event::StorageFailed { durable, applied } => {
                self.on_storage_failed(now, durable, applied, actions);
            }
            Event::StorageReady => self.on_storage_ready(now),
            event if self.storage_ok => self.dispatch(now, event, actions),
            event => refuse_requests(event, RefusalReason::NotLeader { leader: None }, actions),
        }
        self.flush_hard_state(actions);
        let after = (self.role, self.hard_state.term, self.leader);
        if before != after {
            let (role, term, leader) = after;
            actions.push(Action::RoleChanged { role, term, leader });
        }
    }

    /// Returns the time at which the replica needs an [`Event::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        self.leader_state
            .as_ref()
            .map_or(self.election_deadline, |state| state.next_heartbeat_at)
    }

    /// Returns the id of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.cfg.id
    }

    /// Returns the role of this replica in the current term.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if this replica knows it.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the index of the last entry that this replica knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the index of the last log entry.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the latest membership, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the latest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// Returns the log entries after the latest snapshot.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// Returns the replication progress of each other member; empty if this replica is not the leader.
    #[must_use]
    pub fn progress(&self, now: Instant) -> Vec<Progress> {
        let peers = self.leader_state.iter().flat_map(|state| &state.peers);
        let progress = peers.map(|peer| Progress {
            replica: peer.id,
            match_index: peer.match_index,
            recently_active: self.is_recently_active(peer, now),
        });
        progress.collect()
    }

    /// Returns whether no storage failure is pending.
    #[must_use]
    pub fn storage_ok(&self) -> bool {
        self.storage_ok
    }

    /// Returns the state that storage holds once all persist actions so far are executed.
    #[must_use]
    pub fn durable_state(&self) -> DurableState {
        DurableState {
            hard_state: self.saved_hard_state,
            snapshot: self.log.snapshot().clone(),
            entries: self.log.entries().to_vec(),
        }
    }

    fn dispatch(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::Message(message) => self.on_message(now, message, actions),
            Event::Propose(proposals) => self.on_propose(now, proposals, actions),
            Event::ProposeMembership { id, change } => self.on_propose_membership(now, id, change, actions),
            Event::Read { id } => self.on_read(now, id, actions),
            Event::QuorumConnected => self.on_quorum_connected(now),
            Event::TransferLeadership { to } => self.on_transfer(now, to, actions),
            Event::Compact { index, data } => self.on_compact(index, data, actions),
            Event::StorageFailed { .. } | Event::StorageReady => {}
        }
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_wakeup() {
            return;
        }
        match self.role {
            Role::Leader => self.on_heartbeat_due(now, actions),
            _ => self.on_election_timeout(now, actions),
        }
    }

    fn on_message(&mut self, now: Instant, message: Message, actions: &mut Vec<Action>) {
        let from = message.from;
        if message.to != self.cfg.id || from == self.cfg.id {
            return;
        }
        match message.body {
            MessageBody::PreVote {
                last_index,
                last_term,
            } => {
                self.on_pre_vote(now, from, message.term, (last_term, last_index), actions);
            }
            MessageBody::PreVoteReply { granted } => {
                self.on_pre_vote_reply(now, from, message.term, granted, actions);
            }
            body => {
                if self.check_term(now, from, message.term, &body, actions) {
                    self.on_message_of_current_term(now, from, body, actions);
                }
            }
        }
    }

    /// Compares the term of a message with the current one, enters a higher term, and returns whether to process the
    /// message.
    fn check_term(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        body: &MessageBody,
        actions: &mut Vec<Action>,
    ) -> bool {
        if term < self.hard_state.term {
            self.reply_to_stale_message(from, body, actions);
            return false;
        }
        if term > self.hard_state.term {
            let forced = matches!(body, MessageBody::Vote { transfer: true, .. });
            let vote = matches!(body, MessageBody::Vote { .. });
            // A replica that rejoins with a higher term must not depose a leader that a quorum still follows.
            if vote && !forced && self.in_lease(now) {
                return false;
            }
            self.become_follower(now, term, None, actions);
        }
        true
    }

    /// Replies to a message of an earlier term with the current term, so that a stale leader steps down.
    fn reply_to_stale_message(&mut self, from: ReplicaId, body: &MessageBody, actions: &mut Vec<Action>) {
        let reply = match *body {
            MessageBody::Append {
                prev_index, round, ..
            } => MessageBody::Rejected {
                prev_index,
                hint_index: 0,
                hint_term: 0,
                round,
            },
            MessageBody::SnapshotChunk {
                ref meta,
                offset,
                round,
                ..
            } => MessageBody::SnapshotNext {
                index: meta.index,
                offset,
                round,
            },
            MessageBody::Vote { .. } => MessageBody::VoteReply { granted: false },
            _ => return,
        };
        self.send(from, reply, actions);
    }

    fn on_message_of_current_term(
        &mut self,
        now: Instant,
        from: ReplicaId,
        body: MessageBody,
        actions: &mut Vec<Action>,
    ) {
        match body {
            MessageBody::Vote {
                last_index,
                last_term,
                ..
            } => self.on_vote(now, from, (last_term, last_index), actions),
            MessageBody::VoteReply { granted } => self.on_vote_reply(now, from, granted, actions),
            MessageBody::TimeoutNow => self.on_timeout_now(now, actions),
            MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. } => {
                self.on_leader_message(now, from, body, actions);
            }
            MessageBody::Accepted { match_index, round } => {
                self.on_accepted(now, from, match_index, round, actions);
            }
            MessageBody::Rejected {
                prev_index,
                hint_index,
                hint_term,
                round,
            } => self.on_rejected(now, from, prev_index, (hint_index, hint_term), round, actions),
            MessageBody::SnapshotNext { index, offset, round } => {
                self.on_snapshot_next(now, from, index, offset, round, actions);
            }
            MessageBody::PreVote { .. } | MessageBody::PreVoteReply { .. } => {}
        }
    }

    /// Becomes a follower, after entering the given term if it is higher than the current one.
    pub(crate) fn become_follower(
        &mut self,
        now: Instant,
        term: Term,
        leader: Option<ReplicaId>,
        actions: &mut Vec<Action>,
    ) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.incoming_snapshot = None;
            self.last_leader_contact = None;
        }
        self.drop_leader_state(actions);
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reset_election_deadline(now);
    }

    /// Drops the leader state and refuses pending reads.
    fn drop_leader_state(&mut self, actions: &mut Vec<Action>) {
        let Some(state) = self.leader_state.take() else {
            return;
        };
        let reason = RefusalReason::NotLeader { leader: None };
        let reads = state.reads.into_iter();
        actions.extend(reads.map(|read| Action::ReadRefused { id: read.id, reason }));
    }

    /// Reverts to the durable state, steps down and waits for storage to recover.
    fn on_storage_failed(
        &mut self,
        now: Instant,
        durable: DurableState,
        applied: LogIndex,
        actions: &mut Vec<Action>,
    ) {
        let successor = self.most_caught_up_voter(now);
        let term = self.saved_hard_state.term;
        self.drop_leader_state(actions);
        self.hard_state = durable.hard_state;
        self.saved_hard_state = durable.hard_state;
        self.log = Log::new(durable.snapshot, durable.entries);
        self.commit_index = applied.max(self.log.base_index());
        self.role = Role::Follower;
        self.leader = None;
        self.last_leader_contact = None;
        self.votes.clear();
        self.incoming_snapshot = None;
        self.storage_ok = false;
        self.election_deadline = now + STORAGE_RECOVERY_WAIT;
        // A leadership transfer needs no write on this replica and spares the group an election timeout.
        if let Some(to) = successor.filter(|_| term == self.hard_state.term) {
            self.send(to, MessageBody::TimeoutNow, actions);
        }
    }

    fn on_storage_ready(&mut self, now: Instant) {
        if !self.storage_ok {
            self.storage_ok = true;
            self.reset_election_deadline(now);
        }
    }

    /// Replaces the log up to an applied index by a snapshot.
    fn on_compact(&mut self, index: LogIndex, data: Bytes, actions: &mut Vec<Action>) {
        if index <= self.log.base_index() || index > self.commit_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let membership = self.log.membership_at(index).clone();
        let meta = SnapshotMeta {
            index,
            term,
            membership,
        };
        let snapshot = Snapshot { meta, data };
        self.log.install_snapshot(snapshot.clone(), true);
        let keep_suffix = true;
        self.push(
            Action::SaveSnapshot {
                snapshot,
                keep_suffix,
            },
            actions,
        );
    }

    /// Raises the commit index and pushes an action that applies the newly committed entries.
    pub(crate) fn commit_to(&mut self, index: LogIndex, actions: &mut Vec<Action>) {
        if index <= self.commit_index {
            return;
        }
        let entries = self.log.range(self.commit_index + 1, index).to_vec();
        self.commit_index = index;
        self.push(Action::Apply(entries), actions);
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Instant) {
        let base = self.cfg.election_timeout;
        let spread = self.rng.random_range(Duration::ZERO..base);
        self.election_deadline = now + base + spread;
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: MessageBody, actions: &mut Vec<Action>) {
        let term = self.hard_state.term;
        self.send_at(to, term, body, actions);
    }

    pub(crate) fn send_at(
        &mut self,
        to: ReplicaId,
        term: Term,
        body: MessageBody,
        actions: &mut Vec<Action>,
    ) {
        let from = self.cfg.id;
        let message = Message { from, to, term, body };
        self.push(Action::Send(message), actions);
    }

    /// Pushes an action, preceded by a persist action if the term or vote has changed.
    pub(crate) fn push(&mut self, action: Action, actions: &mut Vec<Action>) {
        self.flush_hard_state(actions);
        actions.push(action);
    }

    fn flush_hard_state(&mut self, actions: &mut Vec<Action>) {
        if self.hard_state != self.saved_hard_state {
            self.saved_hard_state = self.hard_state;
            actions.push(Action::SaveHardState(self.hard_state));
        }
    }
}

/// Refuses the requests of an event; messages, ticks and other events are dropped.
fn refuse_requests(event: Event, reason: RefusalReason, actions: &mut Vec<Action>) {
    match event {
        Event::Propose(proposals) => {
            let refused = proposals.into_iter();
            actions.extend(refused.map(|proposal| Action::Refused {
                id: proposal.id,
                reason,
            }));
        }
        Event::ProposeMembership { id, .. } => actions.push(Action::Refused { id, reason }),
        Event::Read { id } => actions.push(Action::ReadRefused { id, reason }),
        _ => {}
    }
}

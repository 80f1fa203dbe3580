//! Replication by the leader: appends, heartbeats, snapshots and heartbeat rounds.

use std::collections::VecDeque;
use std::time::Instant;

use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{Entry, Payload};
use crate::event::{Action, ReadId};
use crate::message::MessageBody;
use crate::peer::{Mode, Peer};
use crate::raft::{Raft, Role};

/// Maximum number of unconfirmed heartbeat rounds whose start time is kept. Each read starts a round.
const MAX_PENDING_ROUNDS: usize = 1024;

/// Read that waits for a quorum to acknowledge its heartbeat round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) id: ReadId,
    pub(crate) round: u64,
}

/// Leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) to: ReplicaId,
    pub(crate) deadline: Instant,
}

/// State specific to the leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) peers: Vec<Peer>,
    /// Index of the first entry of this leader's term.
    pub(crate) first_index: LogIndex,
    pub(crate) next_heartbeat_at: Instant,
    /// Number of the latest heartbeat round.
    pub(crate) round: u64,
    /// Number and start time of each round that no quorum has acknowledged yet.
    pending_rounds: VecDeque<(u64, Instant)>,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) transfer: Option<Transfer>,
    /// Total payload size of the uncommitted entries.
    pub(crate) uncommitted_bytes: usize,
}

impl Raft {
    /// Becomes the leader of the current term and appends the term's first entry.
    pub(crate) fn become_leader(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        self.votes.clear();
        self.incoming_snapshot = None;
        let first_index = self.log.last_index() + 1;
        let uncommitted = self.log.range(self.commit_index + 1, self.log.last_index());
        self.leader_state = Some(LeaderState {
            peers: Vec::new(),
            first_index,
            next_heartbeat_at: now,
            round: 0,
            pending_rounds: VecDeque::new(),
            reads: VecDeque::new(),
            transfer: None,
            uncommitted_bytes: uncommitted.iter().map(|entry| entry.payload.size()).sum(),
        });
        self.update_peers(now, first_index);
        self.append_as_leader(now, vec![Payload::Empty], actions);
        self.start_heartbeat_round(now, actions);
    }

    /// Updates the list of peers to the latest membership.
    pub(crate) fn update_peers(&mut self, now: Instant, next: LogIndex) {
        let own = self.cfg.id;
        let members = self.log.membership();
        let Some(state) = self.leader_state.as_mut() else {
            return;
        };
        state.peers.retain(|peer| members.contains(peer.id));
        for id in members.members().filter(|&id| id != own) {
            if !state.peers.iter().any(|peer| peer.id == id) {
                state.peers.push(Peer::new(id, next, now));
            }
        }
    }

    /// Appends entries of the current term and sends them to the peers.
    pub(crate) fn append_as_leader(
        &mut self,
        now: Instant,
        payloads: Vec<Payload>,
        actions: &mut Vec<Action>,
    ) {
        let first = self.log.last_index() + 1;
        let term = self.hard_state.term;
        let entry = |(index, payload)| Entry { index, term, payload };
        let entries: Vec<Entry> = (first..).zip(payloads).map(entry).collect();
        let bytes: usize = entries.iter().map(|entry| entry.payload.size()).sum();
        if let Some(state) = self.leader_state.as_mut() {
            state.uncommitted_bytes += bytes;
        }
        self.log.append(&entries);
        self.push(Action::AppendLog(entries), actions);
        self.replicate_appended(now, actions);
    }

    /// Replicates newly appended entries; a group with a single voter commits them immediately.
    pub(crate) fn replicate_appended(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.send_entries_to_all(now, actions);
        self.advance_commit(now, actions);
    }

    /// Starts the next heartbeat round, or steps down if no quorum has replied within an election timeout.
    pub(crate) fn on_heartbeat_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.has_active_quorum(now) {
            self.become_follower(now, self.hard_state.term, None, actions);
            return;
        }
        if let Some(state) = self.leader_state.as_mut() {
            state.transfer.take_if(|transfer| now >= transfer.deadline);
        }
        self.start_heartbeat_round(now, actions);
        self.continue_transfer(actions);
        self.advance_replacement(now, actions);
    }

    /// Sends a heartbeat to every peer; a quorum of replies confirms leadership at some time after `now`.
    pub(crate) fn start_heartbeat_round(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let heartbeat = self.cfg.heartbeat;
        let Some(state) = self.leader_state.as_mut() else {
            return;
        };
        state.round += 1;
        state.next_heartbeat_at = now + heartbeat;
        state.pending_rounds.push_back((state.round, now));
        if state.pending_rounds.len() > MAX_PENDING_ROUNDS {
            state.pending_rounds.pop_front();
        }
        for peer_index in 0..state.peers.len() {
            self.send_heartbeat(peer_index, now, actions);
        }
        self.confirm_rounds(actions);
    }

    /// Sends the commit index to all peers without starting a heartbeat round.
    fn broadcast_commit_index(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let count = self.leader_state.as_ref().map_or(0, |state| state.peers.len());
        for peer_index in 0..count {
            let replicates = self
                .peer(peer_index)
                .is_some_and(|peer| peer.mode == Mode::Replicate);
            if replicates {
                self.send_heartbeat(peer_index, now, actions);
            }
        }
    }

    fn send_heartbeat(&mut self, peer_index: usize, now: Instant, actions: &mut Vec<Action>) {
        self.start_snapshot_if_compacted(peer_index, now);
        self.resend_chunk(peer_index, now, actions);
        let Some((state, peer)) = self
            .leader_state
            .as_ref()
            .and_then(|state| Some((state, state.peers.get(peer_index)?)))
        else {
            return;
        };
        let round = state.round;
        let to = peer.id;
        let prev = peer.next_index - 1;
        let prev_entry_term = self
            .log
            .term_at(prev)
            .filter(|_| !matches!(peer.mode, Mode::Snapshot { .. }));
        // Index 0 matches any log, so a peer that needs a snapshot replies with its commit index.
        let (prev_index, prev_term) = prev_entry_term.map_or((0, 0), |term| (prev, term));
        let commit_index = if prev_entry_term.is_some() {
            self.commit_index
        } else {
            0
        };
        let body = MessageBody::Append {
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit_index,
            round,
        };
        self.send(to, body, actions);
    }

    /// Switches to sending the snapshot to a peer whose next entries are compacted.
    ///
    /// A heartbeat to such a peer carries index 0 and is never rejected, so a window full of lost messages would
    /// otherwise never drain.
    fn start_snapshot_if_compacted(&mut self, peer_index: usize, now: Instant) {
        let resend_timeout = self.cfg.election_timeout;
        let base = self.log.base_index();
        let peer = self
            .leader_state
            .as_mut()
            .and_then(|state| state.peers.get_mut(peer_index));
        let compacted =
            |peer: &&mut Peer| peer.next_index <= base && !matches!(peer.mode, Mode::Snapshot { .. });
        if let Some(peer) = peer.filter(compacted) {
            let sent_at = now.checked_sub(resend_timeout).unwrap_or(now);
            peer.start_snapshot(base, sent_at);
        }
    }

    fn peer(&self, peer_index: usize) -> Option<&Peer> {
        self.leader_state.as_ref()?.peers.get(peer_index)
    }

    fn send_entries_to_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let count = self.leader_state.as_ref().map_or(0, |state| state.peers.len());
        for peer_index in 0..count {
            self.send_entries(peer_index, now, actions);
        }
    }

    /// Sends entries to a peer until its window is full or all are sent.
    pub(crate) fn send_entries(&mut self, peer_index: usize, now: Instant, actions: &mut Vec<Action>) {
        while let Some((to, body)) = self.next_append(peer_index, now) {
            self.send(to, body, actions);
        }
    }

    fn next_append(&mut self, peer_index: usize, now: Instant) -> Option<(ReplicaId, MessageBody)> {
        let state = self.leader_state.as_mut()?;
        let round = state.round;
        let peer = state.peers.get_mut(peer_index)?;
        if peer.next_index > self.log.last_index() || !peer.can_send(self.cfg.max_in_flight) {
            return None;
        }
        let prev_index = peer.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let index = self.log.base_index();
            peer.start_snapshot(index, now);
            return self.snapshot_chunk(peer_index);
        };
        let entries = self
            .log
            .batch(peer.next_index, self.cfg.max_message_bytes)
            .to_vec();
        peer.record_append(prev_index + entries.len() as u64);
        let body = MessageBody::Append {
            prev_index,
            prev_term,
            entries,
            commit_index: self.commit_index,
            round,
        };
        Some((peer.id, body))
    }

    /// Builds the next chunk of the snapshot for a peer.
    fn snapshot_chunk(&self, peer_index: usize) -> Option<(ReplicaId, MessageBody)> {
        let state = self.leader_state.as_ref()?;
        let peer = state.peers.get(peer_index)?;
        let Mode::Snapshot { offset, .. } = peer.mode else {
            return None;
        };
        let snapshot = self.log.snapshot();
        let total = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = start.saturating_add(self.cfg.max_message_bytes).min(total);
        let body = MessageBody::SnapshotChunk {
            meta: snapshot.meta.clone(),
            offset,
            total: total as u64,
            chunk: snapshot.data.slice(start..end),
            round: state.round,
        };
        Some((peer.id, body))
    }

    /// Resends a snapshot chunk that was not acknowledged within an election timeout.
    fn resend_chunk(&mut self, peer_index: usize, now: Instant, actions: &mut Vec<Action>) {
        let base = self.log.base_index();
        let resend_timeout = self.cfg.election_timeout;
        let peer = self
            .leader_state
            .as_mut()
            .and_then(|state| state.peers.get_mut(peer_index));
        let Some(peer) = peer else {
            return;
        };
        let Mode::Snapshot {
            index,
            offset,
            sent_at,
        } = &mut peer.mode
        else {
            return;
        };
        if now < *sent_at + resend_timeout {
            return;
        }
        if *index != base {
            *index = base;
            *offset = 0;
        }
        *sent_at = now;
        if let Some((to, body)) = self.snapshot_chunk(peer_index) {
            self.send(to, body, actions);
        }
    }

    /// Records a reply in this term and returns the position of the peer in the list.
    fn record_reply(&mut self, now: Instant, from: ReplicaId, round: u64) -> Option<usize> {
        let state = self.leader_state.as_mut()?;
        let peer_index = state.peers.iter().position(|peer| peer.id == from)?;
        let peer = &mut state.peers[peer_index];
        peer.last_reply_at = now;
        peer.round = peer.round.max(round);
        Some(peer_index)
    }

    pub(crate) fn on_accepted(
        &mut self,
        now: Instant,
        from: ReplicaId,
        match_index: LogIndex,
        round: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer_index) = self.record_reply(now, from, round) else {
            return;
        };
        let last = self.log.last_index();
        let peer = self
            .leader_state
            .as_mut()
            .and_then(|state| state.peers.get_mut(peer_index));
        let advanced = peer.is_some_and(|peer| peer.record_accepted(match_index.min(last)));
        self.confirm_rounds(actions);
        self.send_entries(peer_index, now, actions);
        if advanced {
            self.continue_transfer(actions);
            self.advance_commit(now, actions);
            self.advance_replacement(now, actions);
        }
    }

    pub(crate) fn on_rejected(
        &mut self,
        now: Instant,
        from: ReplicaId,
        prev_index: LogIndex,
        hint: (LogIndex, Term),
        round: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer_index) = self.record_reply(now, from, round) else {
            return;
        };
        let (hint_index, hint_term) = hint;
        let next = self.next_after_rejection(hint_index, hint_term);
        if let Some(peer) = self
            .leader_state
            .as_mut()
            .and_then(|state| state.peers.get_mut(peer_index))
            && peer.is_current_rejection(prev_index)
        {
            peer.start_probe(next);
        }
        self.confirm_rounds(actions);
        self.send_entries(peer_index, now, actions);
    }

    /// Returns the index of the first entry to send to a peer that rejected an append with a hint.
    ///
    /// The result is at or below the snapshot's index if the peer needs the snapshot.
    fn next_after_rejection(&self, hint_index: LogIndex, hint_term: Term) -> LogIndex {
        let base = self.log.base_index();
        if hint_index < base {
            return hint_index + 1;
        }
        let floor = self.log.last_index_with_term_up_to(hint_index, hint_term);
        let conflicts = self.log.term_at(floor).is_some_and(|term| term > hint_term);
        if conflicts { floor } else { floor + 1 }
    }

    pub(crate) fn on_snapshot_next(
        &mut self,
        now: Instant,
        from: ReplicaId,
        index: LogIndex,
        offset: u64,
        round: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer_index) = self.record_reply(now, from, round) else {
            return;
        };
        self.confirm_rounds(actions);
        let base = self.log.base_index();
        let peer = self
            .leader_state
            .as_mut()
            .and_then(|state| state.peers.get_mut(peer_index));
        let Some(peer) = peer else {
            return;
        };
        let Mode::Snapshot { index: current, .. } = peer.mode else {
            return;
        };
        if current != index {
            return;
        }
        // If compaction has replaced the snapshot since, the newer one is sent from its first byte.
        let offset = if index == base { offset } else { 0 };
        peer.mode = Mode::Snapshot {
            index: base,
            offset,
            sent_at: now,
        };
        if let Some((to, body)) = self.snapshot_chunk(peer_index) {
            self.send(to, body, actions);
        }
    }

    /// Commits the entries that a majority of the voters has, if the last of them is of this term.
    pub(crate) fn advance_commit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let index = self.quorum_value(self.log.last_index(), |peer| peer.match_index);
        let own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index <= self.commit_index || !own_term {
            return;
        }
        let committed = self.log.range(self.commit_index + 1, index);
        let bytes: usize = committed.iter().map(|entry| entry.payload.size()).sum();
        if let Some(state) = self.leader_state.as_mut() {
            state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(bytes);
        }
        self.commit_to(index, actions);
        self.broadcast_commit_index(now, actions);
        let removed = !self.membership().is_voter(self.cfg.id);
        if removed && self.log.membership_index() <= self.commit_index {
            self.step_down_after_removal(now, actions);
            return;
        }
        self.confirm_rounds(actions);
        self.advance_replacement(now, actions);
    }

    /// Steps down once the removal of this replica is committed.
    fn step_down_after_removal(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(to) = self.most_caught_up_voter(now) {
            self.send(to, MessageBody::TimeoutNow, actions);
        }
        self.become_follower(now, self.hard_state.term, None, actions);
    }

    /// Reports the latest heartbeat round that a majority has acknowledged, and completes the reads that waited for it.
    fn confirm_rounds(&mut self, actions: &mut Vec<Action>) {
        let Some(state) = self.leader_state.as_ref() else {
            return;
        };
        let round = self.quorum_value(state.round, |peer| peer.round);
        let commit_index = self.commit_index;
        // Until an entry of its own term is committed, a leader may not know the latest commit index.
        if commit_index < state.first_index {
            return;
        }
        let Some(state) = self.leader_state.as_mut() else {
            return;
        };
        let mut since = None;
        while let Some((_, started_at)) = state.pending_rounds.pop_front_if(|(number, _)| *number <= round) {
            since = Some(started_at);
        }
        while let Some(read) = state.reads.pop_front_if(|read| read.round <= round) {
            actions.push(Action::ReadReady {
                id: read.id,
                index: commit_index,
            });
        }
        if let Some(since) = since {
            actions.push(Action::QuorumConfirmed { since, commit_index });
        }
    }

    /// Returns the highest value that a majority of the voters has reached; `own` is the value of this replica.
    fn quorum_value(&self, own: u64, value: impl Fn(&Peer) -> u64) -> u64 {
        let Some(state) = self.leader_state.as_ref() else {
            return 0;
        };
        let members = self.log.membership();
        let voting = state.peers.iter().filter(|peer| members.is_voter(peer.id));
        let mut values: Vec<u64> = voting.map(value).collect();
        if members.is_voter(self.cfg.id) {
            values.push(own);
        }
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns whether a majority of the voters replied within the last election timeout.
    fn has_active_quorum(&self, now: Instant) -> bool {
        let active = |peer: &Peer| u64::from(self.is_recently_active(peer, now));
        self.quorum_value(1, active) == 1
    }

    pub(crate) fn is_recently_active(&self, peer: &Peer, now: Instant) -> bool {
        now < peer.last_reply_at + self.cfg.election_timeout
    }
}

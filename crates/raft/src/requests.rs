//! Requests to a leader: proposals, membership changes, reads and leadership transfer.

use std::time::Instant;

use chestnutfork_types::{LogIndex, ReplicaId};

use crate::entry::{Entry, Payload};
use crate::event::{Action, Proposal, ReadId, RefusalReason, RequestId};
use crate::leader::{PendingRead, Transfer};
use crate::membership::{Membership, MembershipChange};
use crate::message::MessageBody;
use crate::raft::{Raft, Role};

/// Liveness of a replica as judged by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// Replied within two heartbeat intervals.
    Active,
    /// Last replied less than an election timeout ago, or has not replied in this term yet.
    Uncertain,
    /// Has not replied for an election timeout.
    Inactive,
}

impl Raft {
    /// Appends a batch of commands, which share one sync and one message to each peer.
    pub(crate) fn on_propose(&mut self, now: Instant, proposals: Vec<Proposal>, actions: &mut Vec<Action>) {
        let term = self.hard_state.term;
        let first = self.last_index() + 1;
        let mut uncommitted = self
            .leader_state
            .as_ref()
            .map_or(0, |state| state.uncommitted_bytes);
        let mut payloads = Vec::new();
        let mut outcomes = Vec::new();
        for Proposal { id, command } in proposals {
            if let Err(reason) = self.admit(command.len(), uncommitted) {
                outcomes.push(Action::Refused { id, reason });
                continue;
            }
            uncommitted += command.len();
            let index = first + payloads.len() as u64;
            payloads.push(Payload::Command(command));
            outcomes.push(Action::Proposed { id, index, term });
        }
        // The driver must know the index of each proposal before it applies the entry.
        actions.append(&mut outcomes);
        if !payloads.is_empty() {
            self.append_as_leader(now, payloads, actions);
        }
    }

    fn admit(&self, size: usize, uncommitted: usize) -> Result<(), RefusalReason> {
        self.check_accepts_requests()?;
        if size > self.cfg.max_command_bytes {
            return Err(RefusalReason::TooLarge);
        }
        if uncommitted + size > self.cfg.max_uncommitted_bytes {
            return Err(RefusalReason::Overloaded);
        }
        Ok(())
    }

    fn check_accepts_requests(&self) -> Result<(), RefusalReason> {
        let leader = self.leader;
        let Some(state) = self.leader_state.as_ref() else {
            return Err(RefusalReason::NotLeader { leader });
        };
        if state.transfer.is_some() {
            return Err(RefusalReason::Transferring);
        }
        Ok(())
    }

    /// Appends a membership entry, unless an earlier one is uncommitted.
    pub(crate) fn on_propose_membership(
        &mut self,
        now: Instant,
        id: RequestId,
        change: MembershipChange,
        actions: &mut Vec<Action>,
    ) {
        if let Err(reason) = self.try_propose_membership(now, id, change, actions) {
            actions.push(Action::Refused { id, reason });
        }
    }

    fn try_propose_membership(
        &mut self,
        now: Instant,
        id: RequestId,
        change: MembershipChange,
        actions: &mut Vec<Action>,
    ) -> Result<(), RefusalReason> {
        self.check_accepts_requests()?;
        if !self.can_change_membership() {
            return Err(RefusalReason::NotReady);
        }
        let next = self
            .membership()
            .with_change(change)
            .map_err(RefusalReason::Change)?;
        let index = self.last_index() + 1;
        let term = self.hard_state.term;
        actions.push(Action::Proposed { id, index, term });
        self.append_membership(now, next, actions);
        Ok(())
    }

    /// Returns whether the latest membership and an entry of this term are committed.
    ///
    /// Two uncommitted memberships, or an uncommitted one of an earlier term, could have majorities that do not
    /// overlap.
    fn can_change_membership(&self) -> bool {
        let ready = |first_index| first_index <= self.commit_index;
        let own_term = self
            .leader_state
            .as_ref()
            .is_some_and(|state| ready(state.first_index));
        own_term && self.log.membership_index() <= self.commit_index
    }

    fn append_membership(&mut self, now: Instant, next: Membership, actions: &mut Vec<Action>) {
        // Replication to a new peer starts after the leader's snapshot; probing finds its match index.
        let start = self.log.base_index() + 1;
        let entry = Entry {
            index: self.last_index() + 1,
            term: self.hard_state.term,
            payload: Payload::Membership(next),
        };
        self.log.append(std::slice::from_ref(&entry));
        self.update_peers(now, start);
        self.push(Action::AppendLog(vec![entry]), actions);
        self.replicate_appended(now, actions);
    }

    /// Takes the next step of a voter replacement once its conditions are met.
    pub(crate) fn advance_replacement(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(replacement) = self.membership().replacement else {
            return;
        };
        if self.check_accepts_requests().is_err() || !self.can_change_membership() {
            return;
        }
        let added = self.liveness(now, replacement.add);
        let promotes = self.membership().learners.contains(&replacement.add);
        let caught_up = self.match_index_of(replacement.add) >= self.commit_index;
        if promotes && !(caught_up && added == Liveness::Active) {
            return;
        }
        let removed = self.liveness(now, replacement.remove);
        if removed == Liveness::Uncertain && self.membership().is_voter(replacement.remove) {
            return;
        }
        let remove_first = removed != Liveness::Active;
        if let Some(next) = self.membership().next_replacement_step(remove_first) {
            self.append_membership(now, next, actions);
        }
    }

    /// Derives the liveness of a replica from its replies in this term.
    fn liveness(&self, now: Instant, id: ReplicaId) -> Liveness {
        if id == self.cfg.id {
            return Liveness::Active;
        }
        let state = self.leader_state.as_ref();
        let Some(peer) = state.and_then(|state| state.peers.iter().find(|peer| peer.id == id)) else {
            return Liveness::Inactive;
        };
        if !self.is_recently_active(peer, now) {
            return Liveness::Inactive;
        }
        let replied = peer.round > 0 && now < peer.last_reply_at + self.cfg.heartbeat * 2;
        if replied {
            Liveness::Active
        } else {
            Liveness::Uncertain
        }
    }

    fn match_index_of(&self, id: ReplicaId) -> LogIndex {
        let peers = self.leader_state.iter().flat_map(|state| &state.peers);
        let mut found = peers.filter(|peer| peer.id == id);
        found.next().map_or(0, |peer| peer.match_index)
    }

    /// Starts a heartbeat round that confirms leadership for a read.
    pub(crate) fn on_read(&mut self, now: Instant, id: ReadId, actions: &mut Vec<Action>) {
        let leader = self.leader;
        let commit_index = self.commit_index;
        let Some(state) = self.leader_state.as_mut() else {
            let reason = RefusalReason::NotLeader { leader };
            actions.push(Action::ReadRefused { id, reason });
            return;
        };
        if commit_index < state.first_index {
            let reason = RefusalReason::NotReady;
            actions.push(Action::ReadRefused { id, reason });
            return;
        }
        let round = state.round + 1;
        state.reads.push_back(PendingRead { id, round });
        self.start_heartbeat_round(now, actions);
    }

    /// Starts a leadership transfer; proposals are refused until it ends.
    pub(crate) fn on_transfer(&mut self, now: Instant, to: Option<ReplicaId>, actions: &mut Vec<Action>) {
        let target = to.or_else(|| self.most_caught_up_voter(now));
        let voter = |id: &ReplicaId| *id != self.cfg.id && self.membership().is_voter(*id);
        let Some(to) = target.filter(voter) else {
            return;
        };
        let deadline = now + self.cfg.election_timeout;
        if let Some(state) = self.leader_state.as_mut() {
            state.transfer = Some(Transfer { to, deadline });
            self.continue_transfer(actions);
        }
    }

    /// Tells the transfer target to start an election once its log is up to date.
    pub(crate) fn continue_transfer(&mut self, actions: &mut Vec<Action>) {
        let Some(state) = self.leader_state.as_ref() else {
            return;
        };
        let Some(to) = state.transfer.as_ref().map(|transfer| transfer.to) else {
            return;
        };
        let last = self.last_index();
        let ready = state
            .peers
            .iter()
            .any(|peer| peer.id == to && peer.match_index == last);
        if ready {
            self.send(to, MessageBody::TimeoutNow, actions);
        }
    }

    /// Returns the recently active voter with the most complete log.
    pub(crate) fn most_caught_up_voter(&self, now: Instant) -> Option<ReplicaId> {
        let state = self.leader_state.as_ref().filter(|_| self.role == Role::Leader)?;
        let members = self.membership();
        let candidates = state.peers.iter().filter(|peer| members.is_voter(peer.id));
        let active = candidates.filter(|peer| self.is_recently_active(peer, now));
        active.max_by_key(|peer| peer.match_index).map(|peer| peer.id)
    }
}

//! Requests to a leader: proposals, membership changes, reads and hand-over.

use std::time::Instant;

use chestnutfork_types::{LogIndex, ReplicaId};

use crate::entry::{Entry, Payload};
use crate::event::{Action, Proposal, ReadId, RefusalReason, RequestId};
use crate::leader::{PendingRead, Transfer};
use crate::membership::{Membership, MembershipChange};
use crate::message::MessageBody;
use crate::raft::{Raft, Role};

/// Whether a replica runs, as far as its leader can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// It replied within two heartbeats.
    Alive,
    /// It was silent for less than an election timeout.
    Unclear,
    /// It was silent for an election timeout.
    Dead,
}

impl Raft {
    /// Appends the commands of one batch, so that they share a sync and a message to each peer.
    pub(crate) fn on_propose(&mut self, now: Instant, proposals: Vec<Proposal>, actions: &mut Vec<Action>) {
        let term = self.hard.term;
        let first = self.last_index() + 1;
        let mut uncommitted = self.leadership.as_ref().map_or(0, |lead| lead.uncommitted_bytes);
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
        // The driver learns the positions before it applies any of them.
        actions.append(&mut outcomes);
        if !payloads.is_empty() {
            self.append_as_leader(now, payloads, actions);
        }
    }

    fn admit(&self, size: usize, uncommitted: usize) -> Result<(), RefusalReason> {
        self.check_leading()?;
        if size > self.cfg.max_command_bytes {
            return Err(RefusalReason::TooLarge);
        }
        if uncommitted + size > self.cfg.max_uncommitted_bytes {
            return Err(RefusalReason::Overloaded);
        }
        Ok(())
    }

    fn check_leading(&self) -> Result<(), RefusalReason> {
        let leader = self.leader;
        let Some(lead) = self.leadership.as_ref() else {
            return Err(RefusalReason::NotLeader { leader });
        };
        if lead.transfer.is_some() {
            return Err(RefusalReason::Transferring);
        }
        Ok(())
    }

    /// Appends a new member set, unless another one is not committed yet.
    pub(crate) fn on_change(
        &mut self,
        now: Instant,
        id: RequestId,
        change: MembershipChange,
        actions: &mut Vec<Action>,
    ) {
        if let Err(reason) = self.try_change(now, id, change, actions) {
            actions.push(Action::Refused { id, reason });
        }
    }

    fn try_change(
        &mut self,
        now: Instant,
        id: RequestId,
        change: MembershipChange,
        actions: &mut Vec<Action>,
    ) -> Result<(), RefusalReason> {
        self.check_leading()?;
        if !self.may_change() {
            return Err(RefusalReason::NotReady);
        }
        let next = self
            .membership()
            .with_change(change)
            .map_err(RefusalReason::Change)?;
        let index = self.last_index() + 1;
        let term = self.hard.term;
        actions.push(Action::Proposed { id, index, term });
        self.append_membership(now, next, actions);
        Ok(())
    }

    /// Reports whether the latest member set and an entry of this term are committed.
    ///
    /// Two uncommitted member sets, or one of an earlier term, could have majorities that do not overlap.
    fn may_change(&self) -> bool {
        let ready = |first_index| first_index <= self.commit_index;
        let own_term = self
            .leadership
            .as_ref()
            .is_some_and(|lead| ready(lead.first_index));
        own_term && self.log.membership_index() <= self.commit_index
    }

    fn append_membership(&mut self, now: Instant, next: Membership, actions: &mut Vec<Action>) {
        // A new peer starts behind the leader's snapshot; probing finds out what it has.
        let start = self.log.base_index() + 1;
        let entry = Entry {
            index: self.last_index() + 1,
            term: self.hard.term,
            payload: Payload::Membership(next),
        };
        self.log.append(std::slice::from_ref(&entry));
        self.sync_peers(now, start);
        self.push(Action::AppendLog(vec![entry]), actions);
        self.after_append(now, actions);
    }

    /// Carries on the replacement of a voter when its next step is possible.
    pub(crate) fn advance_replacement(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(replacement) = self.membership().replacement else {
            return;
        };
        if self.check_leading().is_err() || !self.may_change() {
            return;
        }
        let added = self.contact(now, replacement.add);
        let promotes = self.membership().learners.contains(&replacement.add);
        let caught_up = self.match_index_of(replacement.add) >= self.commit_index;
        if promotes && !(caught_up && added == Contact::Alive) {
            return;
        }
        let removed = self.contact(now, replacement.remove);
        if removed == Contact::Unclear && self.membership().is_voter(replacement.remove) {
            return;
        }
        let remove_first = removed != Contact::Alive;
        if let Some(next) = self.membership().next_replacement_step(remove_first) {
            self.append_membership(now, next, actions);
        }
    }

    /// Judges whether a replica runs, from its replies in this term.
    fn contact(&self, now: Instant, id: ReplicaId) -> Contact {
        if id == self.cfg.id {
            return Contact::Alive;
        }
        let lead = self.leadership.as_ref();
        let Some(peer) = lead.and_then(|lead| lead.peers.iter().find(|peer| peer.id == id)) else {
            return Contact::Dead;
        };
        if !self.is_recently_active(peer, now) {
            return Contact::Dead;
        }
        let replied = peer.round > 0 && now < peer.heard_at + self.cfg.heartbeat * 2;
        if replied { Contact::Alive } else { Contact::Unclear }
    }

    fn match_index_of(&self, id: ReplicaId) -> LogIndex {
        let peers = self.leadership.iter().flat_map(|lead| &lead.peers);
        let mut found = peers.filter(|peer| peer.id == id);
        found.next().map_or(0, |peer| peer.match_index)
    }

    /// Starts a quorum check that proves leadership after this point.
    pub(crate) fn on_read(&mut self, now: Instant, id: ReadId, actions: &mut Vec<Action>) {
        let leader = self.leader;
        let commit_index = self.commit_index;
        let Some(lead) = self.leadership.as_mut() else {
            let reason = RefusalReason::NotLeader { leader };
            actions.push(Action::ReadRefused { id, reason });
            return;
        };
        if commit_index < lead.first_index {
            let reason = RefusalReason::NotReady;
            actions.push(Action::ReadRefused { id, reason });
            return;
        }
        let round = lead.round + 1;
        lead.reads.push_back(PendingRead { id, round });
        self.start_round(now, actions);
    }

    /// Starts to hand leadership over; proposals are refused until it ends.
    pub(crate) fn on_transfer(&mut self, now: Instant, to: Option<ReplicaId>, actions: &mut Vec<Action>) {
        let target = to.or_else(|| self.best_successor(now));
        let voter = |id: &ReplicaId| *id != self.cfg.id && self.membership().is_voter(*id);
        let Some(to) = target.filter(voter) else {
            return;
        };
        let deadline = now + self.cfg.election_timeout;
        if let Some(lead) = self.leadership.as_mut() {
            lead.transfer = Some(Transfer { to, deadline });
            self.continue_transfer(actions);
        }
    }

    /// Asks the successor to start its election once it has the whole log.
    pub(crate) fn continue_transfer(&mut self, actions: &mut Vec<Action>) {
        let Some(lead) = self.leadership.as_ref() else {
            return;
        };
        let Some(to) = lead.transfer.as_ref().map(|transfer| transfer.to) else {
            return;
        };
        let last = self.last_index();
        let ready = lead
            .peers
            .iter()
            .any(|peer| peer.id == to && peer.match_index == last);
        if ready {
            self.send(to, MessageBody::TimeoutNow, actions);
        }
    }

    /// Returns the live voter with the most complete log.
    pub(crate) fn best_successor(&self, now: Instant) -> Option<ReplicaId> {
        let lead = self.leadership.as_ref().filter(|_| self.role == Role::Leader)?;
        let members = self.membership();
        let candidates = lead.peers.iter().filter(|peer| members.is_voter(peer.id));
        let alive = candidates.filter(|peer| self.is_recently_active(peer, now));
        alive.max_by_key(|peer| peer.match_index).map(|peer| peer.id)
    }
}

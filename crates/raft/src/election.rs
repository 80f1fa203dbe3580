//! Leader election: pre-votes, votes and the start of a term.

use std::time::Instant;

use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::event::Action;
use crate::message::MessageBody;
use crate::raft::{Raft, Role};

/// Elections that fit into a heartbeat interval when all replicas have restarted. One takes two round trips and a synced write.
const ELECTIONS_PER_HEARTBEAT: u32 = 2;

/// Last term and last index of a log; the log with the larger pair is more up to date.
pub(crate) type LogEnd = (Term, LogIndex);

impl Raft {
    /// Returns whether this replica is the leader or had contact with the leader within the last election timeout.
    ///
    /// While it does, the replica refuses pre-votes and ignores vote requests of higher terms, except those of a
    /// leadership transfer.
    pub(crate) fn in_lease(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        let last_contact = self.last_leader_contact.filter(|_| self.leader.is_some());
        last_contact.is_some_and(|at| now < at + self.cfg.election_timeout)
    }

    /// Starts a pre-vote if this replica is a voter.
    pub(crate) fn on_election_timeout(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.leader = None;
        if !self.membership().is_voter(self.cfg.id) {
            self.reset_election_deadline(now);
            return;
        }
        self.role = Role::PreCandidate;
        self.votes = vec![self.cfg.id];
        self.reset_election_deadline(now);
        if self.has_won() {
            self.campaign(now, false, actions);
            return;
        }
        let (last_term, last_index) = self.log_end();
        let body = MessageBody::PreVote {
            last_index,
            last_term,
        };
        self.send_to_voters(self.hard_state.term + 1, &body, actions);
    }

    /// Shortens the wait for the first election if this replica has had no contact with a leader since it started.
    ///
    /// After a restart of all replicas nobody follows a leader, so there is nothing to wait for. A replica that restarts alone
    /// loses its pre-vote, because the others follow a leader. The voters start one after the other, in the order of their ids,
    /// so that they do not split the votes.
    pub(crate) fn on_quorum_connected(&mut self, now: Instant) {
        if self.role != Role::Follower || self.leader.is_some() || self.last_leader_contact.is_some() {
            return;
        }
        let members = self.membership();
        let rank = members.voters.iter().position(|&voter| voter == self.cfg.id);
        if let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) {
            let delay = self.cfg.heartbeat / ELECTIONS_PER_HEARTBEAT * rank;
            self.election_deadline = self.election_deadline.min(now + delay);
        }
    }

    /// Starts an election without a pre-vote, at the request of the leader.
    pub(crate) fn on_timeout_now(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let votes = self.membership().is_voter(self.cfg.id);
        if votes && self.role != Role::Leader {
            self.campaign(now, true, actions);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        end: LogEnd,
        actions: &mut Vec<Action>,
    ) {
        let granted =
            self.can_vote() && term > self.hard_state.term && !self.in_lease(now) && end >= self.log_end();
        let reply_term = if granted { term } else { self.hard_state.term };
        self.send_at(from, reply_term, MessageBody::PreVoteReply { granted }, actions);
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(now, term, None, actions);
            }
            return;
        }
        if self.role != Role::PreCandidate || term != self.hard_state.term + 1 {
            return;
        }
        self.count_vote(from);
        if self.has_won() {
            self.campaign(now, false, actions);
        }
    }

    pub(crate) fn on_vote(&mut self, now: Instant, from: ReplicaId, end: LogEnd, actions: &mut Vec<Action>) {
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from) || self.cfg.vote_twice;
        let granted = self.can_vote() && vote_available && end >= self.log_end();
        if granted {
            self.hard_state.vote = Some(from);
            self.reset_election_deadline(now);
        }
        self.send(from, MessageBody::VoteReply { granted }, actions);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.count_vote(from);
        if self.has_won() {
            self.become_leader(now, actions);
        }
    }

    fn campaign(&mut self, now: Instant, transfer: bool, actions: &mut Vec<Action>) {
        self.role = Role::Candidate;
        self.leader = None;
        self.incoming_snapshot = None;
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.cfg.id);
        self.votes = vec![self.cfg.id];
        self.reset_election_deadline(now);
        if self.has_won() {
            self.become_leader(now, actions);
            return;
        }
        let (last_term, last_index) = self.log_end();
        let body = MessageBody::Vote {
            last_index,
            last_term,
            transfer,
        };
        self.send_to_voters(self.hard_state.term, &body, actions);
    }

    /// Returns whether this replica is a member and so may grant votes.
    ///
    /// A replica whose disk was lost gets a new id that no membership contains, so it never votes. A learner votes
    /// on request because the entry that promotes it may not have reached it yet.
    fn can_vote(&self) -> bool {
        self.membership().contains(self.cfg.id)
    }

    fn count_vote(&mut self, from: ReplicaId) {
        if self.membership().is_voter(from) && !self.votes.contains(&from) {
            self.votes.push(from);
        }
    }

    fn has_won(&self) -> bool {
        let members = self.membership();
        let count = self.votes.iter().filter(|&&id| members.is_voter(id)).count();
        count >= members.quorum()
    }

    fn log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    fn send_to_voters(&mut self, term: Term, body: &MessageBody, actions: &mut Vec<Action>) {
        for to in self.membership().voters.clone() {
            if to != self.cfg.id {
                self.send_at(to, term, body.clone(), actions);
            }
        }
    }
}

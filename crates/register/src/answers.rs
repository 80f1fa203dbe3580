//! Agreement on the answer of each job (single-decree Paxos).
//!
//! The owner of a granted claim proposes at the smallest ballot, without a prepare phase. Any other proposer, and an
//! owner that was fenced, first prepares a larger ballot and adopts the accepted answer with the largest ballot among
//! the promises.

use std::time::{Duration, Instant};

use chestnutfork_types::{Answer, JobId, ProcessId, TaskIndex, TaskStatus};

use crate::claims::{ClaimOutcome, outcome_unknown};
use crate::event::Action;
use crate::message::{Ballot, Denial, PeerMessage};
use crate::register::{Register, Resend};
use crate::table::BallotVote;

/// Proposal of this entry that is not decided yet.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    digest: u64,
    owner: ProcessId,
    /// Answer to propose if no promise contains an accepted answer.
    value: Answer,
    pub(crate) ballot: Ballot,
    /// Answer in the accept phase; `None` in the prepare phase.
    accepting: Option<Answer>,
    /// Accepted answer with the largest ballot among the promises.
    highest_accepted: Option<(Ballot, Answer)>,
    voters: Vec<ProcessId>,
    denials: Vec<ProcessId>,
    resend: Resend,
}

impl Register {
    pub(crate) fn on_record_answer(
        &mut self,
        now: Instant,
        job: JobId,
        digest: u64,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let won = self.claim_outcomes.get(&job) == Some(&ClaimOutcome::Won);
        self.propose(now, job, digest, answer, won, actions);
    }

    /// Proposes that every task may have run; an answer that was accepted earlier takes precedence.
    pub(crate) fn on_take_over(
        &mut self,
        now: Instant,
        job: JobId,
        digest: u64,
        tasks: TaskIndex,
        actions: &mut Vec<Action>,
    ) {
        let status = TaskStatus::MayHaveRun {
            reason: "the entry that owned the job is gone".into(),
        };
        let answer = Answer::new(job, vec![status; usize::from(tasks)]);
        self.propose(now, job, digest, answer, false, actions);
    }

    fn propose(
        &mut self,
        now: Instant,
        job: JobId,
        digest: u64,
        value: Answer,
        as_owner: bool,
        actions: &mut Vec<Action>,
    ) {
        if let Some(answer) = self.table.decided(job) {
            let answer = answer.clone();
            actions.push(Action::Recorded { job, answer });
            return;
        }
        if self.table.is_below_floor(job) {
            let refusal = outcome_unknown();
            actions.push(Action::Refused { job, refusal });
            return;
        }
        if self.proposals.contains_key(&job) {
            return;
        }
        let me = self.settings.me;
        let resend = self.first_resend(now);
        let proposal = Proposal {
            digest,
            owner: self.table.record(job).map_or(me, |record| record.owner),
            accepting: as_owner.then(|| value.clone()),
            value,
            ballot: if as_owner {
                Ballot::OWNER
            } else {
                self.next_ballot(job, Ballot::OWNER)
            },
            highest_accepted: None,
            voters: Vec::new(),
            denials: Vec::new(),
            resend,
        };
        self.proposals.insert(job, proposal);
        self.request_votes(now, job, actions);
    }

    /// Returns a ballot of this entry above `other` and above the ballot that this replica promised.
    fn next_ballot(&self, job: JobId, other: Ballot) -> Ballot {
        let promised = self
            .table
            .record(job)
            .map_or(Ballot::OWNER, |record| record.promised);
        Ballot {
            round: promised.max(other).round + 1,
            proposer: self.settings.me,
        }
    }

    /// Requests votes on the current ballot from the members that have not voted, and votes at the own replica.
    fn request_votes(&mut self, now: Instant, job: JobId, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        if !self.is_member() {
            return;
        }
        let Some(proposal) = self.proposals.get(&job) else {
            return;
        };
        let (digest, owner, ballot) = (proposal.digest, proposal.owner, proposal.ballot);
        let accepting = proposal.accepting.clone();
        for peer in self.other_members(&proposal.voters) {
            let message = self.ballot_message(job, digest, owner, ballot, accepting.clone());
            actions.push(Action::Send { peer, message });
        }
        if !self.proposals[&job].voters.contains(&me) {
            let vote = match &accepting {
                Some(answer) => self.table.accept(job, digest, owner, ballot, answer),
                None => self.table.prepare(job, digest, owner, ballot),
            };
            self.on_vote(now, me, job, (ballot, accepting.is_some()), vote, actions);
        }
    }

    fn ballot_message(
        &self,
        job: JobId,
        digest: u64,
        owner: ProcessId,
        ballot: Ballot,
        accepting: Option<Answer>,
    ) -> PeerMessage {
        let view = self.view_number().unwrap_or_default();
        match accepting {
            Some(answer) => PeerMessage::Accept {
                view,
                job,
                digest,
                owner,
                ballot,
                answer,
            },
            None => PeerMessage::Prepare {
                view,
                job,
                digest,
                owner,
                ballot,
            },
        }
    }

    /// Votes on a ballot of another member, or counts its vote on a ballot of this entry.
    pub(crate) fn on_ballot_message(
        &mut self,
        now: Instant,
        peer: ProcessId,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Prepare {
                job,
                digest,
                owner,
                ballot,
                ..
            } => {
                let vote = self.table.prepare(job, digest, owner, ballot);
                self.send_vote(peer, job, (ballot, false), vote, actions);
            }
            PeerMessage::Accept {
                job,
                digest,
                owner,
                ballot,
                answer,
                ..
            } => {
                let vote = self.table.accept(job, digest, owner, ballot, &answer);
                self.send_vote(peer, job, (ballot, true), vote, actions);
            }
            PeerMessage::Promise {
                job,
                ballot,
                accepted,
                ..
            } => self.on_vote(
                now,
                peer,
                job,
                (ballot, false),
                BallotVote::Yes(accepted),
                actions,
            ),
            PeerMessage::Accepted { job, ballot, .. } => {
                self.on_vote(now, peer, job, (ballot, true), BallotVote::Yes(None), actions);
            }
            PeerMessage::Rejected {
                job,
                ballot,
                promised,
                ..
            } => self.on_rejected(now, job, ballot, promised),
            _ => {}
        }
    }

    /// Sends the vote on a ballot; `is_accept` distinguishes the accept phase from the prepare phase.
    fn send_vote(
        &self,
        peer: ProcessId,
        job: JobId,
        (ballot, is_accept): (Ballot, bool),
        vote: BallotVote,
        actions: &mut Vec<Action>,
    ) {
        let view = self.view_number().unwrap_or_default();
        let message = match vote {
            BallotVote::Yes(_) if is_accept => PeerMessage::Accepted { view, job, ballot },
            BallotVote::Yes(accepted) => PeerMessage::Promise {
                view,
                job,
                ballot,
                accepted,
            },
            BallotVote::Rejected(promised) => PeerMessage::Rejected {
                view,
                job,
                ballot,
                promised,
            },
            BallotVote::Denied(denial) => PeerMessage::Denied { view, job, denial },
        };
        actions.push(Action::Send { peer, message });
    }

    fn on_vote(
        &mut self,
        now: Instant,
        peer: ProcessId,
        job: JobId,
        (ballot, is_accept): (Ballot, bool),
        vote: BallotVote,
        actions: &mut Vec<Action>,
    ) {
        let accepted = match vote {
            BallotVote::Yes(accepted) => accepted,
            BallotVote::Rejected(promised) => return self.on_rejected(now, job, ballot, promised),
            BallotVote::Denied(denial) => return self.on_denied(peer, job, denial, actions),
        };
        let Some(proposal) = self.proposals.get_mut(&job) else {
            return;
        };
        if proposal.ballot != ballot || proposal.accepting.is_some() != is_accept {
            return;
        }
        if !proposal.voters.contains(&peer) {
            proposal.voters.push(peer);
        }
        if !is_accept && ballot_of(accepted.as_ref()) > ballot_of(proposal.highest_accepted.as_ref()) {
            proposal.highest_accepted = accepted;
        }
        if self
            .view
            .as_ref()
            .is_some_and(|view| view.is_quorum(&proposal.voters))
        {
            self.advance(now, job, actions);
        }
    }

    /// Moves a proposal with a quorum from the prepare to the accept phase, or decides it after the accept phase.
    fn advance(&mut self, now: Instant, job: JobId, actions: &mut Vec<Action>) {
        let proposal = &mut self.proposals[&job];
        if let Some(answer) = proposal.accepting.take() {
            self.proposals.swap_remove(&job);
            self.table.decide(job, &answer);
            actions.push(Action::Recorded { job, answer });
            return;
        }
        let highest_accepted = proposal.highest_accepted.take();
        let answer = highest_accepted.map_or_else(|| proposal.value.clone(), |(_, answer)| answer);
        proposal.accepting = Some(answer);
        proposal.voters.clear();
        let resend = self.first_resend(now);
        self.proposals[&job].resend = resend;
        self.request_votes(now, job, actions);
    }

    /// Schedules a larger ballot after a delay, so that two proposers do not preempt each other indefinitely.
    fn on_rejected(&mut self, now: Instant, job: JobId, ballot: Ballot, promised: Ballot) {
        let next = self.next_ballot(job, promised);
        let delay = self.contention_delay(next.round);
        let Some(proposal) = self.proposals.get_mut(&job) else {
            return;
        };
        if proposal.ballot != ballot {
            return;
        }
        proposal.restart_with_ballot(next);
        proposal.resend = Resend {
            at: now + delay,
            delay,
        };
        self.schedule_timer(now + delay);
    }

    /// Returns a delay that depends on the rank of this entry among the members, so that it differs between proposers.
    fn contention_delay(&self, round: u32) -> Duration {
        let me = self.settings.me;
        let members = self.view.iter().flat_map(|view| &view.members);
        let rank = members.filter(|&&member| member < me).count();
        let steps = u32::try_from(rank)
            .unwrap_or(u32::MAX)
            .saturating_mul(round.min(4));
        (self.settings.resend_min * steps.saturating_add(1)).min(self.settings.resend_max)
    }

    pub(crate) fn on_denied(
        &mut self,
        peer: ProcessId,
        job: JobId,
        denial: Denial,
        actions: &mut Vec<Action>,
    ) {
        self.on_claim_denied(peer, job, denial, actions);
        self.on_lookup_denied(job, denial, actions);
        if denial == Denial::DigestMismatch && self.proposals.swap_remove(&job).is_some() {
            actions.push(Action::Refused {
                job,
                refusal: denial.refusal(),
            });
        }
        let Some(proposal) = self.proposals.get_mut(&job) else {
            return;
        };
        if !proposal.denials.contains(&peer) {
            proposal.denials.push(peer);
        }
        let denials = proposal.denials.len();
        if self.cannot_reach_quorum(denials) {
            self.fail_proposal(job, actions);
        }
    }

    fn fail_proposal(&mut self, job: JobId, actions: &mut Vec<Action>) {
        self.proposals.swap_remove(&job);
        let refusal = outcome_unknown();
        actions.push(Action::Refused { job, refusal });
    }

    /// Refuses the proposals of jobs at or below the floor, whose records are discarded.
    pub(crate) fn fail_proposals_below_floor(&mut self, actions: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.proposals.keys().copied().collect();
        for job in jobs {
            if self.table.is_below_floor(job) {
                self.fail_proposal(job, actions);
            }
        }
    }

    /// Restarts all proposals in a new view, because votes of different views do not form a quorum.
    pub(crate) fn restart_proposals(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fail_proposals_below_floor(actions);
        let resend = self.first_resend(now);
        let jobs: Vec<JobId> = self.proposals.keys().copied().collect();
        for job in jobs {
            let ballot = self.proposals[&job].ballot;
            if ballot == Ballot::OWNER {
                self.proposals[&job].voters.clear();
            } else {
                let next = self.next_ballot(job, ballot);
                self.proposals[&job].restart_with_ballot(next);
            }
            self.proposals[&job].denials.clear();
            self.proposals[&job].resend = resend;
            self.request_votes(now, job, actions);
        }
    }

    pub(crate) fn run_proposal_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.proposals.keys().copied().collect();
        for job in jobs {
            let Some(proposal) = self.proposals.get(&job) else {
                continue;
            };
            let resend = proposal.resend;
            if resend.at <= now {
                let next = self.next_resend(now, resend);
                self.proposals[&job].resend = next;
                self.request_votes(now, job, actions);
            } else {
                self.schedule_timer(resend.at);
            }
        }
    }
}

impl Proposal {
    fn restart_with_ballot(&mut self, ballot: Ballot) {
        self.ballot = ballot;
        self.accepting = None;
        self.highest_accepted = None;
        self.voters.clear();
    }
}

fn ballot_of(accepted: Option<&(Ballot, Answer)>) -> Option<Ballot> {
    accepted.map(|(ballot, _)| *ballot)
}

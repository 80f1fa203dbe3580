//! Claims: requests of an entry to own a job, which it withdraws if a competing claim has precedence.

use std::time::{Duration, Instant};

use chestnutfork_types::{JobId, ProcessId, Refusal, RefusalCode, job_timestamp};

use crate::event::Action;
use crate::message::{Denial, PeerMessage};
use crate::register::{Register, Resend};
use crate::table::ClaimVote;

/// Claim of this entry that no quorum has granted yet.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    digest: u64,
    at_most_once: bool,
    deadline: Instant,
    pub(crate) grants: Vec<ProcessId>,
    denials: Vec<(ProcessId, Denial)>,
    resend: Resend,
}

/// Outcome of a claim of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// A quorum granted the claim, and the job may have been dispatched.
    Won,
    /// The claim was withdrawn in favour of another entry.
    Withdrawn(ProcessId),
}

impl Register {
    pub(crate) fn on_claim(
        &mut self,
        now: Instant,
        wall: Duration,
        job: JobId,
        digest: u64,
        at_most_once: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.claims.contains_key(&job) {
            return;
        }
        if let Some(action) = self.claim_result_without_vote(wall, job, digest) {
            actions.push(action);
            return;
        }
        let deadline = now + self.settings.claim_timeout;
        let resend = self.first_resend(now);
        let claim = Claim {
            digest,
            at_most_once,
            deadline,
            grants: Vec::new(),
            denials: Vec::new(),
            resend,
        };
        self.schedule_timer(deadline);
        self.claims.insert(job, claim);
        self.request_grants(job, actions);
    }

    /// Returns the result of a claim or a lookup if it is known without a vote.
    pub(crate) fn claim_result_without_vote(
        &self,
        wall: Duration,
        job: JobId,
        digest: u64,
    ) -> Option<Action> {
        let me = self.settings.me;
        if self
            .table
            .record(job)
            .is_some_and(|record| record.digest != digest)
        {
            let refusal = id_reused();
            return Some(Action::Refused { job, refusal });
        }
        if job_timestamp(job) > wall + self.settings.max_ahead {
            // The refusal is "unknown" because an entry with a faster clock may have accepted the job.
            let message = "the time in the job id is ahead of this entry's clock; synchronise the clocks";
            let refusal = Refusal::unknown(RefusalCode::BadJobId, message);
            return Some(Action::Refused { job, refusal });
        }
        if self.table.is_below_floor(job) {
            let refusal = outcome_unknown();
            return Some(Action::Refused { job, refusal });
        }
        if let Some(answer) = self.table.decided(job) {
            let answer = answer.clone();
            return Some(Action::Answered { job, answer });
        }
        match self.claim_outcomes.get(&job) {
            Some(ClaimOutcome::Won) => return Some(Action::OwnedBy { job, owner: me }),
            Some(&ClaimOutcome::Withdrawn(owner)) => return Some(Action::OwnedBy { job, owner }),
            None => {}
        }
        let is_full = self.claim_outcomes.len() + self.claims.len() >= self.settings.max_records;
        let record = self.table.record(job);
        if let Some(record) = record.filter(|record| record.owner != me) {
            let owner = record.owner;
            return Some(Action::OwnedBy { job, owner });
        }
        // A full record table is not checked here: only a vote can prove that no other entry runs the job.
        let refusal = register_full(Refusal::unknown);
        is_full.then_some(Action::Refused { job, refusal })
    }

    /// Requests grants from the members that have not granted the claim, starting with the own replica.
    fn request_grants(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if !self.is_member() {
            return;
        }
        self.vote_on_own_claim(job, actions);
        let Some(claim) = self.claims.get(&job) else {
            return;
        };
        let view = self.view_number().unwrap_or_default();
        for peer in self.other_members(&claim.grants) {
            let message = PeerMessage::Claim {
                view,
                job,
                digest: claim.digest,
            };
            actions.push(Action::Send { peer, message });
        }
    }

    /// Votes at the own replica on a claim of this entry.
    fn vote_on_own_claim(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        let Some(claim) = self.claims.get(&job) else {
            return;
        };
        match self.table.claim(job, claim.digest, me) {
            ClaimVote::Granted => self.on_granted(me, job, actions),
            ClaimVote::OwnedBy(owner) => self.on_owned_by(me, job, owner, actions),
            ClaimVote::Denied(denial) => self.on_claim_denied(me, job, denial, actions),
        }
    }

    /// Votes on the claim of another member.
    pub(crate) fn on_peer_claim(
        &mut self,
        peer: ProcessId,
        job: JobId,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        // Of two claimants without a quorum, the one with the smaller process id has precedence. Only a claimant can
        // withdraw its claim, because only it can tell that it has dispatched nothing.
        if !self.claims.contains_key(&job) {
            self.release_abandoned_claim(job, digest, peer, actions);
        } else if peer < self.settings.me {
            self.withdraw_claim(job, peer, actions);
        } else if let Some(owner) = self.recorded_other_owner(job) {
            // The reply below names the recorded owner, which releases the records of this entry's claim, so this entry
            // must not continue the claim.
            self.withdraw_claim(job, owner, actions);
        }
        let view = self.view_number().unwrap_or_default();
        let message = match self.table.claim(job, digest, peer) {
            ClaimVote::Granted => PeerMessage::Granted { view, job },
            ClaimVote::OwnedBy(owner) => PeerMessage::OwnedBy { view, job, owner },
            ClaimVote::Denied(denial) => PeerMessage::Denied { view, job, denial },
        };
        actions.push(Action::Send { peer, message });
    }

    pub(crate) fn on_granted(&mut self, peer: ProcessId, job: JobId, actions: &mut Vec<Action>) {
        let Some(claim) = self.claims.get_mut(&job) else {
            return;
        };
        if !claim.grants.contains(&peer) {
            claim.grants.push(peer);
        }
        let digest = claim.digest;
        if self
            .view
            .as_ref()
            .is_some_and(|view| view.is_quorum(&claim.grants))
        {
            self.claims.swap_remove(&job);
            self.claim_outcomes.insert(job, ClaimOutcome::Won);
            self.table.set_owner(job, digest, self.settings.me);
            actions.push(Action::Claimed { job });
        }
    }

    /// Withdraws a claim if the recorded owner has precedence, won its claim or is not a member that could withdraw.
    pub(crate) fn on_owned_by(
        &mut self,
        peer: ProcessId,
        job: JobId,
        owner: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        if !self.claims.contains_key(&job) {
            return;
        }
        let must_withdraw = owner == peer || owner <= self.settings.me || !self.has_member(owner);
        if must_withdraw {
            self.withdraw_claim(job, owner, actions);
        }
    }

    fn withdraw_claim(&mut self, job: JobId, owner: ProcessId, actions: &mut Vec<Action>) {
        self.claims.swap_remove(&job);
        self.claim_outcomes.insert(job, ClaimOutcome::Withdrawn(owner));
        self.release_records(job, owner, actions);
        actions.push(Action::OwnedBy { job, owner });
    }

    /// Returns the recorded owner of a job if it is another entry.
    fn recorded_other_owner(&self, job: JobId) -> Option<ProcessId> {
        let record = self.table.record(job)?;
        Some(record.owner).filter(|&owner| owner != self.settings.me)
    }

    /// Transfers the record of an abandoned claim of this entry to `peer`, so that the job can still run.
    fn release_abandoned_claim(
        &mut self,
        job: JobId,
        digest: u64,
        peer: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        let same_submission = self
            .table
            .record(job)
            .is_some_and(|record| record.digest == digest);
        if same_submission && !self.claim_outcomes.contains_key(&job) {
            self.release_records(job, peer, actions);
        }
    }

    /// Transfers the records of a withdrawn claim to another claimant, at this replica and at the other members.
    ///
    /// Otherwise the records that the withdrawn claim left at other members can keep the remaining claimant from a
    /// quorum.
    fn release_records(&mut self, job: JobId, owner: ProcessId, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        if owner == me || !self.table.transfer(job, me, owner) {
            return;
        }
        let view = self.view_number().unwrap_or_default();
        for peer in self.other_members(&[owner]) {
            let message = PeerMessage::OwnedBy { view, job, owner };
            actions.push(Action::Send { peer, message });
        }
    }

    /// Transfers the record of a withdrawn claim from `peer` to the owner that it names, and grants that owner's claim.
    ///
    /// A claimant names another owner only after it has withdrawn, and it never claims the job again.
    pub(crate) fn on_claim_released(
        &mut self,
        peer: ProcessId,
        job: JobId,
        owner: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        if owner == peer || !self.table.transfer(job, peer, owner) {
            return;
        }
        if owner == self.settings.me {
            self.reconsider_claim(job, actions);
        } else if self.has_member(owner) && self.table.would_grant(job, owner) {
            let view = self.view_number().unwrap_or_default();
            let message = PeerMessage::Granted { view, job };
            actions.push(Action::Send { peer: owner, message });
        }
    }

    pub(crate) fn on_claim_denied(
        &mut self,
        peer: ProcessId,
        job: JobId,
        denial: Denial,
        actions: &mut Vec<Action>,
    ) {
        let Some(claim) = self.claims.get_mut(&job) else {
            return;
        };
        if !claim.denials.iter().any(|(from, _)| *from == peer) {
            claim.denials.push((peer, denial));
        }
        let denials = claim.denials.len();
        let below_floor = claim
            .denials
            .iter()
            .any(|&(_, denial)| denial == Denial::BelowFloor);
        if denial == Denial::DigestMismatch {
            self.fail_claim(job, id_reused(), actions);
        } else if self.cannot_reach_quorum(denials) {
            // In a settled view, the denying members, which have no record, intersect every quorum. So no claim was
            // granted.
            let is_settled = self.view.as_ref().is_some_and(|view| view.settled);
            let refusal = match (below_floor, is_settled) {
                (true, _) => outcome_unknown(),
                (false, true) => register_full(Refusal::not_run),
                (false, false) => register_full(Refusal::unknown),
            };
            self.fail_claim(job, refusal, actions);
        }
    }

    /// Drops a claim and refuses an at-most-once job; other jobs do not wait for the claim.
    fn fail_claim(&mut self, job: JobId, refusal: Refusal, actions: &mut Vec<Action>) {
        let claim = self.claims.swap_remove(&job);
        if claim.is_some_and(|claim| claim.at_most_once) {
            actions.push(Action::Refused { job, refusal });
        }
    }

    /// Restarts all claims in a new view, because grants of different views do not form a quorum.
    pub(crate) fn restart_claims(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let resend = self.first_resend(now);
        let jobs: Vec<JobId> = self.claims.keys().copied().collect();
        for job in jobs {
            if let Some(claim) = self.claims.get_mut(&job) {
                claim.grants.clear();
                claim.denials.clear();
                claim.resend = resend;
            }
            self.request_grants(job, actions);
        }
    }

    /// Repeats the own replica's vote on a claim of this entry after the record has changed.
    pub(crate) fn reconsider_claim(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        let Some(claim) = self.claims.get_mut(&job) else {
            return;
        };
        claim.grants.retain(|&peer| peer != me);
        if self.is_member() {
            self.vote_on_own_claim(job, actions);
        }
    }

    pub(crate) fn run_claim_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.claims.keys().copied().collect();
        for job in jobs {
            let Some(claim) = self.claims.get(&job) else {
                continue;
            };
            let (deadline, resend) = (claim.deadline, claim.resend);
            if deadline <= now {
                self.fail_claim(job, no_quorum(), actions);
            } else if resend.at <= now {
                let next = self.next_resend(now, resend);
                self.claims[&job].resend = next;
                self.schedule_timer(deadline);
                self.request_grants(job, actions);
            } else {
                self.schedule_timer(deadline.min(resend.at));
            }
        }
    }
}

pub(crate) fn outcome_unknown() -> Refusal {
    let message =
        "the job id is older than the retention of the job register; submit new work under a new id";
    Refusal::unknown(RefusalCode::OutcomeUnknown, message)
}

/// Returns the refusal of a job whose id was used for a different submission.
pub(crate) fn id_reused() -> Refusal {
    let message = "the job id was used before with another content; use a new id for a new job";
    Refusal::unknown(RefusalCode::IdReused, message)
}

pub(crate) fn register_full(refuse: fn(RefusalCode, &'static str) -> Refusal) -> Refusal {
    let message = "the job register is full; retry later or raise `register.max_records`";
    refuse(RefusalCode::RegisterFull, message).retry_after(Duration::from_secs(1))
}

/// Returns the refusal of a claim or a lookup without a quorum; another entry may own and run the job.
pub(crate) fn no_quorum() -> Refusal {
    let message = "no majority of entries answered the claim; retry with the same job id";
    Refusal::unknown(RefusalCode::NoQuorum, message).retry_after(Duration::from_millis(500))
}

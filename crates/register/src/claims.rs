//! Claims: an entry asks for a job, and withdraws where another one has the better right.

use std::time::{Duration, Instant};

use chestnutfork_types::{JobId, ProcessId, Refusal, RefusalCode, job_time};

use crate::event::Action;
use crate::message::{Denial, PeerMessage};
use crate::register::{Register, Resend};
use crate::table::ClaimVote;

/// Claim of this entry that has no quorum yet.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    digest: u64,
    at_most_once: bool,
    until: Instant,
    pub(crate) grants: Vec<ProcessId>,
    denials: Vec<(ProcessId, Denial)>,
    resend: Resend,
}

/// How an own claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// A quorum granted the claim; the job was handed out to be run.
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
        if let Some(action) = self.settled_claim(wall, job, digest) {
            actions.push(action);
            return;
        }
        let until = now + self.settings.claim_timeout;
        let resend = self.first_resend(now);
        let claim = Claim {
            digest,
            at_most_once,
            until,
            grants: Vec::new(),
            denials: Vec::new(),
            resend,
        };
        self.note_due(until);
        self.claims.insert(job, claim);
        self.ask(job, actions);
    }

    /// Returns the result of a claim that needs no vote, if it has one.
    pub(crate) fn settled_claim(&self, wall: Duration, job: JobId, digest: u64) -> Option<Action> {
        let me = self.settings.me;
        if self
            .table
            .record(job)
            .is_some_and(|record| record.digest != digest)
        {
            let refusal = id_reused();
            return Some(Action::Refused { job, refusal });
        }
        if job_time(job) > wall + self.settings.max_ahead {
            // An entry with a faster clock may have accepted the job.
            let message = "the job id lies ahead of the clock; synchronise the clocks";
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
        match self.fates.get(&job) {
            Some(Fate::Won) => return Some(Action::OwnedBy { job, owner: me }),
            Some(&Fate::Withdrawn(owner)) => return Some(Action::OwnedBy { job, owner }),
            None => {}
        }
        let full = self.fates.len() + self.claims.len() >= self.settings.max_records;
        let record = self.table.record(job);
        if let Some(record) = record.filter(|record| record.owner != me) {
            let owner = record.owner;
            return Some(Action::OwnedBy { job, owner });
        }
        // A full table alone is left to the vote, which proves that no other entry runs the job.
        let refusal = register_full(Refusal::unknown);
        full.then_some(Action::Refused { job, refusal })
    }

    /// Asks the members that have not granted a claim, this entry first.
    fn ask(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if !self.is_member() {
            return;
        }
        self.vote_for_own(job, actions);
        let Some(claim) = self.claims.get(&job) else {
            return;
        };
        let view = self.view_number().unwrap_or_default();
        for peer in self.others(&claim.grants) {
            let message = PeerMessage::Claim {
                view,
                job,
                digest: claim.digest,
            };
            actions.push(Action::Send { peer, message });
        }
    }

    /// Lets this entry's replica vote on the own claim.
    fn vote_for_own(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        let Some(claim) = self.claims.get(&job) else {
            return;
        };
        match self.table.claim(job, claim.digest, me) {
            ClaimVote::Granted => self.on_granted(me, job, actions),
            ClaimVote::Known(owner) => self.on_known(me, job, owner, actions),
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
        // Of two claimants without a quorum the smaller one goes on. Only the claimant itself can withdraw, because
        // only it knows that it has dispatched nothing.
        if !self.claims.contains_key(&job) {
            self.release_abandoned(job, digest, peer, actions);
        } else if peer < self.settings.me {
            self.withdraw(job, peer, actions);
        } else if let Some(owner) = self.recorded_other(job) {
            // An answer that names another claimant releases the records of this one, so it must not go on.
            self.withdraw(job, owner, actions);
        }
        let view = self.view_number().unwrap_or_default();
        let message = match self.table.claim(job, digest, peer) {
            ClaimVote::Granted => PeerMessage::Granted { view, job },
            ClaimVote::Known(owner) => PeerMessage::OwnedBy { view, job, owner },
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
            self.fates.insert(job, Fate::Won);
            self.table.own(job, digest, self.settings.me);
            actions.push(Action::Claimed { job });
        }
    }

    /// Withdraws a claim if the known claimant has the better right or cannot withdraw itself.
    pub(crate) fn on_known(
        &mut self,
        peer: ProcessId,
        job: JobId,
        owner: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        if !self.claims.contains_key(&job) {
            return;
        }
        let decided = owner == peer || owner <= self.settings.me || !self.has_member(owner);
        if decided {
            self.withdraw(job, owner, actions);
        }
    }

    fn withdraw(&mut self, job: JobId, owner: ProcessId, actions: &mut Vec<Action>) {
        self.claims.swap_remove(&job);
        self.fates.insert(job, Fate::Withdrawn(owner));
        self.release(job, owner, actions);
        actions.push(Action::OwnedBy { job, owner });
    }

    /// Returns the claimant that this replica records, if it is another entry.
    fn recorded_other(&self, job: JobId) -> Option<ProcessId> {
        let record = self.table.record(job)?;
        Some(record.owner).filter(|&owner| owner != self.settings.me)
    }

    /// Hands over the record of a claim that was given up without a quorum, so that the job can still run.
    fn release_abandoned(&mut self, job: JobId, digest: u64, peer: ProcessId, actions: &mut Vec<Action>) {
        let same = self
            .table
            .record(job)
            .is_some_and(|record| record.digest == digest);
        if same && !self.fates.contains_key(&job) {
            self.release(job, peer, actions);
        }
    }

    /// Hands the own records of a job to another claimant, here and at the other members.
    ///
    /// Without this, records that a withdrawn claimant left at others keep the remaining one from a majority.
    fn release(&mut self, job: JobId, owner: ProcessId, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        if owner == me || !self.table.yield_to(job, me, owner) {
            return;
        }
        let view = self.view_number().unwrap_or_default();
        for peer in self.others(&[owner]) {
            let message = PeerMessage::OwnedBy { view, job, owner };
            actions.push(Action::Send { peer, message });
        }
    }

    /// Takes the word of a claimant that the job is not its own, and grants the claim that it names.
    ///
    /// A claimant names another one only after it has withdrawn, and never claims the job again.
    pub(crate) fn on_released(
        &mut self,
        peer: ProcessId,
        job: JobId,
        owner: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        if owner == peer || !self.table.yield_to(job, peer, owner) {
            return;
        }
        if owner == self.settings.me {
            self.reconsider_claim(job, actions);
        } else if self.has_member(owner) && self.table.is_granted(job, owner) {
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
        let below_floor = claim.denials.iter().any(|&(_, why)| why == Denial::BelowFloor);
        if denial == Denial::DigestMismatch {
            self.give_up_claim(job, id_reused(), actions);
        } else if self.is_hopeless(denials) {
            // In a settled view the members without a record intersect every quorum, so no claim was granted.
            let settled = self.view.as_ref().is_some_and(|view| view.settled);
            let refusal = match (below_floor, settled) {
                (true, _) => outcome_unknown(),
                (false, true) => register_full(Refusal::not_run),
                (false, false) => register_full(Refusal::unknown),
            };
            self.give_up_claim(job, refusal, actions);
        }
    }

    /// Drops a claim; only callers of at-most-once jobs wait for it.
    fn give_up_claim(&mut self, job: JobId, refusal: Refusal, actions: &mut Vec<Action>) {
        let claim = self.claims.swap_remove(&job);
        if claim.is_some_and(|claim| claim.at_most_once) {
            actions.push(Action::Refused { job, refusal });
        }
    }

    /// Asks again in a new view: grants of different views do not add up.
    pub(crate) fn restart_claims(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let resend = self.first_resend(now);
        let jobs: Vec<JobId> = self.claims.keys().copied().collect();
        for job in jobs {
            if let Some(claim) = self.claims.get_mut(&job) {
                claim.grants.clear();
                claim.denials.clear();
                claim.resend = resend;
            }
            self.ask(job, actions);
        }
    }

    /// Votes again on an own claim whose record was changed by a copy.
    pub(crate) fn reconsider_claim(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        let Some(claim) = self.claims.get_mut(&job) else {
            return;
        };
        claim.grants.retain(|&peer| peer != me);
        if self.is_member() {
            self.vote_for_own(job, actions);
        }
    }

    pub(crate) fn run_claim_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.claims.keys().copied().collect();
        for job in jobs {
            let Some(claim) = self.claims.get(&job) else {
                continue;
            };
            let (until, resend) = (claim.until, claim.resend);
            if until <= now {
                self.give_up_claim(job, no_quorum(), actions);
            } else if resend.at <= now {
                let later = self.later(now, resend);
                self.claims[&job].resend = later;
                self.note_due(until);
                self.ask(job, actions);
            } else {
                self.note_due(until.min(resend.at));
            }
        }
    }
}

pub(crate) fn outcome_unknown() -> Refusal {
    let message = "the job id is older than the register remembers; submit new work under a new id";
    Refusal::unknown(RefusalCode::OutcomeUnknown, message)
}

/// Builds the refusal of a job whose id was used for another submission.
pub(crate) fn id_reused() -> Refusal {
    let message = "the job id was used before with another content; use a new id for a new job";
    Refusal::unknown(RefusalCode::IdReused, message)
}

pub(crate) fn register_full(refuse: fn(RefusalCode, &'static str) -> Refusal) -> Refusal {
    let message = "the job register is full; retry later or raise `register.max_records`";
    refuse(RefusalCode::RegisterFull, message).retry_after(Duration::from_secs(1))
}

/// Builds the refusal of a claim without quorum; another entry may hold and run the job.
pub(crate) fn no_quorum() -> Refusal {
    let message = "no majority of entries answered the claim; retry with the same job id";
    Refusal::unknown(RefusalCode::NoQuorum, message).retry_after(Duration::from_millis(500))
}

//! Lookups: an entry asks whether a job is known before it calls a refused submission "not run".
//!
//! If a quorum has no record of the job, no claim of it has been granted, so nothing of it has started.

use std::time::{Duration, Instant};

use chestnutfork_types::{JobId, ProcessId, Refusal};

use crate::claims::{no_quorum, outcome_unknown};
use crate::event::Action;
use crate::message::{Denial, PeerMessage};
use crate::register::{Register, Resend};
use crate::table::LookupVote;

/// Lookup that no quorum has answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// Number that the answers must carry.
    number: u64,
    digest: u64,
    until: Instant,
    /// Members without a record of the job.
    clear: Vec<ProcessId>,
    resend: Resend,
}

impl Register {
    pub(crate) fn on_lookup(
        &mut self,
        now: Instant,
        wall: Duration,
        job: JobId,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        // A repeated lookup starts over: the answers so far are older than the submission that it is for.
        self.lookups.swap_remove(&job);
        if let Some(action) = self.settled_claim(wall, job, digest) {
            actions.push(action);
            return;
        }
        let until = now + self.settings.claim_timeout;
        let resend = self.first_resend(now);
        self.note_due(until);
        self.last_lookup += 1;
        let number = self.last_lookup;
        self.lookups.insert(
            job,
            Lookup {
                number,
                digest,
                until,
                clear: Vec::new(),
                resend,
            },
        );
        self.ask_lookup(job, actions);
    }

    /// Asks the members that have not answered, this entry first.
    fn ask_lookup(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if !self.is_member() {
            return;
        }
        self.look_up_own(job, actions);
        let Some(lookup) = self.lookups.get(&job) else {
            return;
        };
        let view = self.view_number().unwrap_or_default();
        for peer in self.others(&lookup.clear) {
            let message = PeerMessage::Lookup {
                view,
                job,
                digest: lookup.digest,
                lookup: lookup.number,
            };
            actions.push(Action::Send { peer, message });
        }
    }

    /// Answers an own lookup from this entry's table, which may have been copied since the lookup began.
    fn look_up_own(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let Some(&Lookup { number, digest, .. }) = self.lookups.get(&job) else {
            return;
        };
        let me = self.settings.me;
        match self.table.lookup(job, digest, me) {
            LookupVote::NotKnown => self.on_found(me, job, number, (None, false), actions),
            LookupVote::OwnClaim => self.on_found(me, job, number, (None, true), actions),
            LookupVote::Known(owner) => self.on_found(me, job, number, (Some(owner), false), actions),
            LookupVote::Denied(denial) => self.on_lookup_denied(job, denial, actions),
        }
    }

    pub(crate) fn on_peer_lookup(
        &self,
        peer: ProcessId,
        job: JobId,
        digest: u64,
        lookup: u64,
        actions: &mut Vec<Action>,
    ) {
        let view = self.view_number().unwrap_or_default();
        let found = |owner, own_claim| PeerMessage::LookupReply {
            view,
            job,
            lookup,
            owner,
            own_claim,
        };
        let message = match self.table.lookup(job, digest, peer) {
            LookupVote::NotKnown => found(None, false),
            LookupVote::OwnClaim => found(None, true),
            LookupVote::Known(owner) => found(Some(owner), false),
            LookupVote::Denied(denial) => PeerMessage::Denied { view, job, denial },
        };
        actions.push(Action::Send { peer, message });
    }

    /// Takes a member's answer to the lookup in progress; answers to earlier ones may be out of date.
    pub(crate) fn on_found(
        &mut self,
        peer: ProcessId,
        job: JobId,
        lookup: u64,
        (owner, own_claim): (Option<ProcessId>, bool),
        actions: &mut Vec<Action>,
    ) {
        if self
            .lookups
            .get(&job)
            .is_none_or(|current| current.number != lookup)
        {
            return;
        }
        // An own claim that was given up without a quorum has dispatched nothing; a won one is known.
        let won = own_claim && self.fates.contains_key(&job);
        let owner = owner.or(won.then_some(self.settings.me));
        if let Some(owner) = owner {
            self.lookups.swap_remove(&job);
            actions.push(Action::OwnedBy { job, owner });
        } else {
            self.on_clear(peer, job, actions);
        }
    }

    /// Counts a member that has no record of the job.
    fn on_clear(&mut self, peer: ProcessId, job: JobId, actions: &mut Vec<Action>) {
        let Some(lookup) = self.lookups.get_mut(&job) else {
            return;
        };
        if !lookup.clear.contains(&peer) {
            lookup.clear.push(peer);
        }
        if self
            .view
            .as_ref()
            .is_some_and(|view| view.is_quorum(&lookup.clear))
        {
            self.lookups.swap_remove(&job);
            actions.push(Action::NotClaimed { job });
        }
    }

    pub(crate) fn on_lookup_denied(&mut self, job: JobId, denial: Denial, actions: &mut Vec<Action>) {
        if self.lookups.swap_remove(&job).is_some() {
            let refusal = denial.refusal();
            actions.push(Action::Refused { job, refusal });
        }
    }

    /// Asks again in a new view: answers of different views do not add up.
    pub(crate) fn restart_lookups(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let resend = self.first_resend(now);
        let jobs: Vec<JobId> = self.lookups.keys().copied().collect();
        for job in jobs {
            if let Some(lookup) = self.lookups.get_mut(&job) {
                lookup.clear.clear();
                lookup.resend = resend;
            }
            self.ask_lookup(job, actions);
        }
    }

    pub(crate) fn run_lookup_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.lookups.keys().copied().collect();
        for job in jobs {
            let Some(lookup) = self.lookups.get(&job) else {
                continue;
            };
            let (until, resend) = (lookup.until, lookup.resend);
            if until <= now {
                self.lookups.swap_remove(&job);
                actions.push(Action::Refused {
                    job,
                    refusal: no_quorum(),
                });
            } else if resend.at <= now {
                let later = self.later(now, resend);
                self.lookups[&job].resend = later;
                self.note_due(until);
                self.ask_lookup(job, actions);
            } else {
                self.note_due(until.min(resend.at));
            }
        }
    }
}

impl Denial {
    /// Returns the refusal for a job that was denied for this reason.
    pub(crate) fn refusal(self) -> Refusal {
        match self {
            Self::BelowFloor => outcome_unknown(),
            Self::Full => crate::claims::register_full(Refusal::unknown),
            Self::DigestMismatch => crate::claims::id_reused(),
        }
    }
}

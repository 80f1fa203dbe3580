//! Lookups: queries whether a claim of a job was granted, made before a submission is refused as "not run".
//!
//! If a quorum has no record of the job, no claim of it has been granted, so none of its tasks has started.

use std::time::{Duration, Instant};

use chestnutfork_types::{JobId, ProcessId, Refusal};

use crate::claims::{no_quorum, outcome_unknown};
use crate::event::Action;
use crate::message::{Denial, PeerMessage};
use crate::register::{Register, Resend};
use crate::table::LookupResult;

/// Lookup in progress.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// Number that a reply must repeat.
    number: u64,
    digest: u64,
    deadline: Instant,
    /// Members without a record of the job, apart from a claim that this entry abandoned.
    without_record: Vec<ProcessId>,
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
        // A repeated lookup starts over, because the replies so far are older than the submission that it is made for.
        self.lookups.swap_remove(&job);
        if let Some(action) = self.claim_result_without_vote(wall, job, digest) {
            actions.push(action);
            return;
        }
        let deadline = now + self.settings.claim_timeout;
        let resend = self.first_resend(now);
        self.schedule_timer(deadline);
        self.last_lookup += 1;
        let number = self.last_lookup;
        self.lookups.insert(
            job,
            Lookup {
                number,
                digest,
                deadline,
                without_record: Vec::new(),
                resend,
            },
        );
        self.send_lookup(job, actions);
    }

    /// Sends the lookup to the members that have not replied, starting with the own replica.
    fn send_lookup(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if !self.is_member() {
            return;
        }
        self.look_up_locally(job, actions);
        let Some(lookup) = self.lookups.get(&job) else {
            return;
        };
        let view = self.view_number().unwrap_or_default();
        for peer in self.other_members(&lookup.without_record) {
            let message = PeerMessage::Lookup {
                view,
                job,
                digest: lookup.digest,
                lookup: lookup.number,
            };
            actions.push(Action::Send { peer, message });
        }
    }

    /// Answers a lookup of this entry from its own table, which may have changed by a copy since the lookup began.
    fn look_up_locally(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let Some(&Lookup { number, digest, .. }) = self.lookups.get(&job) else {
            return;
        };
        let me = self.settings.me;
        match self.table.lookup(job, digest, me) {
            LookupResult::NoRecord => self.on_lookup_reply(me, job, number, (None, false), actions),
            LookupResult::OwnClaim => self.on_lookup_reply(me, job, number, (None, true), actions),
            LookupResult::OwnedBy(owner) => {
                self.on_lookup_reply(me, job, number, (Some(owner), false), actions);
            }
            LookupResult::Denied(denial) => self.on_lookup_denied(job, denial, actions),
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
        let reply = |owner, own_claim| PeerMessage::LookupReply {
            view,
            job,
            lookup,
            owner,
            own_claim,
        };
        let message = match self.table.lookup(job, digest, peer) {
            LookupResult::NoRecord => reply(None, false),
            LookupResult::OwnClaim => reply(None, true),
            LookupResult::OwnedBy(owner) => reply(Some(owner), false),
            LookupResult::Denied(denial) => PeerMessage::Denied { view, job, denial },
        };
        actions.push(Action::Send { peer, message });
    }

    /// Handles a member's reply to the lookup in progress; replies to earlier lookups are ignored as outdated.
    pub(crate) fn on_lookup_reply(
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
        // A claim of this entry that was abandoned without a quorum has dispatched nothing, so it does not count.
        let has_outcome = own_claim && self.claim_outcomes.contains_key(&job);
        let owner = owner.or(has_outcome.then_some(self.settings.me));
        if let Some(owner) = owner {
            self.lookups.swap_remove(&job);
            actions.push(Action::OwnedBy { job, owner });
        } else {
            self.on_no_record(peer, job, actions);
        }
    }

    /// Counts a member without a record of the job, and ends the lookup if these members form a quorum.
    fn on_no_record(&mut self, peer: ProcessId, job: JobId, actions: &mut Vec<Action>) {
        let Some(lookup) = self.lookups.get_mut(&job) else {
            return;
        };
        if !lookup.without_record.contains(&peer) {
            lookup.without_record.push(peer);
        }
        if self
            .view
            .as_ref()
            .is_some_and(|view| view.is_quorum(&lookup.without_record))
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

    /// Restarts all lookups in a new view, because replies of different views do not form a quorum.
    pub(crate) fn restart_lookups(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let resend = self.first_resend(now);
        let jobs: Vec<JobId> = self.lookups.keys().copied().collect();
        for job in jobs {
            if let Some(lookup) = self.lookups.get_mut(&job) {
                lookup.without_record.clear();
                lookup.resend = resend;
            }
            self.send_lookup(job, actions);
        }
    }

    pub(crate) fn run_lookup_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.lookups.keys().copied().collect();
        for job in jobs {
            let Some(lookup) = self.lookups.get(&job) else {
                continue;
            };
            let (deadline, resend) = (lookup.deadline, lookup.resend);
            if deadline <= now {
                self.lookups.swap_remove(&job);
                actions.push(Action::Refused {
                    job,
                    refusal: no_quorum(),
                });
            } else if resend.at <= now {
                let next = self.next_resend(now, resend);
                self.lookups[&job].resend = next;
                self.schedule_timer(deadline);
                self.send_lookup(job, actions);
            } else {
                self.schedule_timer(deadline.min(resend.at));
            }
        }
    }
}

impl Denial {
    /// Returns the refusal of a job that was denied for this reason.
    pub(crate) fn refusal(self) -> Refusal {
        match self {
            Self::BelowFloor => outcome_unknown(),
            Self::Full => crate::claims::register_full(Refusal::unknown),
            Self::DigestMismatch => crate::claims::id_reused(),
        }
    }
}

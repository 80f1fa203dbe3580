//! Lookups: proof that no entry has started a job, for refusals that say so.

use std::time::{Duration, Instant};

use chestnutfork_types::{JobId, ProcessId, Refusal};

use crate::claims::{id_reused, no_quorum, outcome_unknown, register_full};
use crate::event::Action;
use crate::message::{Denial, Message};
use crate::register::{Register, Resend};
use crate::table::ClaimVote;

/// Lookup that has no quorum yet.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    digest: u64,
    until: Instant,
    /// Members that do not know the job.
    absent: Vec<ProcessId>,
    resend: Resend,
}

impl Register {
    pub(crate) fn on_lookup(
        &mut self,
        now: Instant,
        wall: Duration,
        (job, digest): (JobId, u64),
        actions: &mut Vec<Action>,
    ) {
        if self.lookups.contains_key(&job) {
            return;
        }
        if let Some(action) = self.known_outcome(wall, job, digest) {
            actions.push(action);
            return;
        }
        if self.lookups.len() >= self.settings.max_records {
            let refusal = register_full(Refusal::unknown);
            actions.push(Action::Refused { job, refusal });
            return;
        }
        let until = now + self.settings.claim_timeout;
        let resend = self.first_resend(now);
        self.note_due(until);
        let lookup = Lookup {
            digest,
            until,
            absent: Vec::new(),
            resend,
        };
        self.lookups.insert(job, lookup);
        self.ask_for(job, actions);
    }

    /// Asks the members that have not answered a lookup, this entry first.
    fn ask_for(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if !self.is_member() {
            return;
        }
        let me = self.settings.me;
        let Some(digest) = self.lookups.get(&job).map(|lookup| lookup.digest) else {
            return;
        };
        match self.table.lookup(job, digest, me) {
            ClaimVote::Granted => self.on_absent(me, job, actions),
            ClaimVote::Known(owner) => self.on_lookup_known(job, owner, actions),
            ClaimVote::Denied(denial) => self.on_lookup_denied(job, denial, actions),
        }
        let Some(lookup) = self.lookups.get(&job) else {
            return;
        };
        let view = self.view_number().unwrap_or_default();
        for peer in self.others(&lookup.absent) {
            let message = Message::Lookup { view, job, digest };
            actions.push(Action::Send { peer, message });
        }
    }

    /// Answers the lookup of another member; a claim that was given up here started nothing.
    pub(crate) fn on_peer_lookup(&self, peer: ProcessId, job: JobId, digest: u64, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        let view = self.view_number().unwrap_or_default();
        let message = match self.table.lookup(job, digest, peer) {
            ClaimVote::Granted => Message::Absent { view, job },
            ClaimVote::Known(owner) if owner == me && self.is_abandoned(job) => Message::Absent { view, job },
            ClaimVote::Known(owner) => Message::Known { view, job, owner },
            ClaimVote::Denied(denial) => Message::Denied { view, job, denial },
        };
        actions.push(Action::Send { peer, message });
    }

    pub(crate) fn on_absent(&mut self, peer: ProcessId, job: JobId, actions: &mut Vec<Action>) {
        let Some(lookup) = self.lookups.get_mut(&job) else {
            return;
        };
        if !lookup.absent.contains(&peer) {
            lookup.absent.push(peer);
        }
        if self
            .view
            .as_ref()
            .is_some_and(|view| view.decides(&lookup.absent))
        {
            self.lookups.swap_remove(&job);
            actions.push(Action::Unknown { job });
        }
    }

    pub(crate) fn on_lookup_known(&mut self, job: JobId, owner: ProcessId, actions: &mut Vec<Action>) {
        if self.lookups.swap_remove(&job).is_some() {
            actions.push(Action::Known { job, owner });
        }
    }

    pub(crate) fn on_lookup_denied(&mut self, job: JobId, denial: Denial, actions: &mut Vec<Action>) {
        let refusal = match denial {
            Denial::Reused => id_reused(),
            Denial::BelowFloor | Denial::Full => outcome_unknown(),
        };
        if self.lookups.swap_remove(&job).is_some() {
            actions.push(Action::Refused { job, refusal });
        }
    }

    /// Asks again in a new view: answers of different views do not add up.
    pub(crate) fn restart_lookups(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let resend = self.first_resend(now);
        let jobs: Vec<JobId> = self.lookups.keys().copied().collect();
        for job in jobs {
            if let Some(lookup) = self.lookups.get_mut(&job) {
                lookup.absent.clear();
                lookup.resend = resend;
            }
            self.ask_for(job, actions);
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
                let refusal = no_quorum();
                actions.push(Action::Refused { job, refusal });
            } else if resend.at <= now {
                let later = self.later(now, resend);
                self.lookups[&job].resend = later;
                self.note_due(until);
                self.ask_for(job, actions);
            } else {
                self.note_due(until.min(resend.at));
            }
        }
    }
}

//! State machine of the register.
//!
//! This module dispatches events and messages and runs the timers. The record table is in `table`; the protocols are in
//! `claims`, `lookups`, `answers` and `sync`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutfork_types::{Answer, JobId, ProcessId, ViewNumber, job_timestamp};
use indexmap::IndexMap;

use crate::answers::Proposal;
use crate::builder::{RegisterBuilder, Settings};
use crate::claims::{Claim, ClaimOutcome};
use crate::event::{Action, Event};
use crate::lookups::Lookup;
use crate::message::PeerMessage;
use crate::sync::SyncState;
use crate::table::{Bounds, Table};
use crate::view::View;

/// Interval at which records at or below the floor are discarded.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the next resend, with exponential backoff.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Resend {
    pub(crate) at: Instant,
    pub(crate) delay: Duration,
}

/// Register of one entry: its replica, and its own claims, lookups and proposals.
#[derive(Clone, Debug)]
pub struct Register {
    pub(crate) settings: Settings,
    pub(crate) view: Option<View>,
    pub(crate) table: Table,
    /// Outcomes of own claims. They outlive the record, so that a job is not claimed twice.
    pub(crate) claim_outcomes: BTreeMap<JobId, ClaimOutcome>,
    pub(crate) claims: IndexMap<JobId, Claim>,
    pub(crate) lookups: IndexMap<JobId, Lookup>,
    /// Number of the latest lookup.
    pub(crate) last_lookup: u64,
    pub(crate) proposals: IndexMap<JobId, Proposal>,
    pub(crate) sync: Option<SyncState>,
    pub(crate) synced: Option<ViewNumber>,
    /// Position in each survivor's change order up to which its records are copied.
    pub(crate) copied_up_to: IndexMap<ProcessId, u64>,
    /// Lower bound of the times at which a message is resent or a claim or lookup times out.
    next_timer: Option<Instant>,
    next_prune: Option<Instant>,
}

impl Register {
    /// Returns a builder for the register of the process `me`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_register::{Action, Event, Register, View};
    ///
    /// let mut register = Register::builder(10).build();
    /// let (now, wall) = (Instant::now(), Duration::from_secs(1_700_000_000));
    /// let mut actions = Vec::new();
    /// register.handle(now, wall, Event::ViewInstalled(View::initial(1, vec![10])), &mut actions);
    /// let job = 1_700_000_000_000 << 80;
    /// register.handle(now, wall, Event::Claim { job, digest: 5, at_most_once: true }, &mut actions);
    /// assert_eq!(actions, [Action::Claimed { job }]);
    /// ```
    #[must_use]
    pub fn builder(me: ProcessId) -> RegisterBuilder {
        RegisterBuilder::new(me)
    }

    pub(crate) fn from_settings(settings: Settings) -> Self {
        Self {
            table: Table::new(Bounds {
                records: settings.max_records,
                answer_bytes: settings.max_answer_bytes,
            }),
            settings,
            view: None,
            claim_outcomes: BTreeMap::new(),
            claims: IndexMap::new(),
            lookups: IndexMap::new(),
            last_lookup: 0,
            proposals: IndexMap::new(),
            sync: None,
            synced: None,
            copied_up_to: IndexMap::new(),
            next_timer: None,
            next_prune: None,
        }
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// `wall` is the time since the Unix epoch, on this entry's clock.
    pub fn handle(&mut self, now: Instant, wall: Duration, event: Event, actions: &mut Vec<Action>) {
        self.table
            .raise_floor(wall.saturating_sub(self.settings.retention));
        self.prune(now, actions);
        self.run_timers(now, actions);
        match event {
            Event::Claim {
                job,
                digest,
                at_most_once,
            } => {
                self.on_claim(now, wall, job, digest, at_most_once, actions);
            }
            Event::AbandonClaim { job } => drop(self.claims.swap_remove(&job)),
            Event::Lookup { job, digest } => self.on_lookup(now, wall, job, digest, actions),
            Event::RecordAnswer { job, digest, answer } => {
                self.on_record_answer(now, job, digest, answer, actions);
            }
            Event::TakeOver { job, digest, tasks } => self.on_take_over(now, job, digest, tasks, actions),
            Event::FromPeer { peer, message } => self.on_message(now, peer, message, actions),
            Event::ViewInstalled(view) => self.on_view(now, view, actions),
            // Timers resend unanswered messages, over any link that is up by then.
            Event::PeerDown { .. } | Event::Tick => {}
        }
    }

    /// Returns the time at which the next `Tick` is due, if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        [self.next_timer, self.next_prune].into_iter().flatten().min()
    }

    /// Returns the number of the installed view, if any.
    #[must_use]
    pub fn view_number(&self) -> Option<ViewNumber> {
        self.view.as_ref().map(|view| view.number)
    }

    /// Returns the installed view, if any.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Returns the number of the installed view if this entry has copied all records that the view requires.
    ///
    /// Each lease renewal reports it to control, because a single report of [`Action::Synced`] may be lost.
    #[must_use]
    pub fn synced_view(&self) -> Option<ViewNumber> {
        self.synced
    }

    /// Returns the floor: the time at or below which the outcome of job ids is unknown.
    #[must_use]
    pub fn floor(&self) -> Duration {
        self.table.floor
    }

    /// Returns the answer of a job if this entry learned that a quorum accepted it.
    #[must_use]
    pub fn answer(&self, job: JobId) -> Option<&Answer> {
        self.table.decided(job)
    }

    /// Returns the number of records at this replica.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.table.rows.len()
    }

    /// Reports whether a claim or a lookup of the job is in progress.
    #[must_use]
    pub fn is_pending(&self, job: JobId) -> bool {
        self.claims.contains_key(&job) || self.lookups.contains_key(&job)
    }

    /// Reports whether no claim, lookup, proposal or copy is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.lookups.is_empty() && self.proposals.is_empty() && self.sync.is_none()
    }

    pub(crate) fn is_member(&self) -> bool {
        self.has_member(self.settings.me)
    }

    pub(crate) fn has_member(&self, peer: ProcessId) -> bool {
        self.view
            .as_ref()
            .is_some_and(|view| view.members.contains(&peer))
    }

    /// Reports whether the members that have not denied a vote are too few for a majority.
    pub(crate) fn cannot_reach_quorum(&self, denials: usize) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.members.len().saturating_sub(denials) < view.quorum_size())
    }

    /// Returns the other members of the current view that are not in `except`.
    pub(crate) fn other_members(&self, except: &[ProcessId]) -> Vec<ProcessId> {
        let members = self.view.iter().flat_map(|view| &view.members).copied();
        members
            .filter(|peer| *peer != self.settings.me && !except.contains(peer))
            .collect()
    }

    pub(crate) fn first_resend(&mut self, now: Instant) -> Resend {
        let resend = Resend {
            at: now + self.settings.resend_min,
            delay: self.settings.resend_min,
        };
        self.schedule_timer(resend.at);
        resend
    }

    pub(crate) fn next_resend(&mut self, now: Instant, resend: Resend) -> Resend {
        let delay = (resend.delay * 2).min(self.settings.resend_max);
        let at = now + delay;
        self.schedule_timer(at);
        Resend { at, delay }
    }

    pub(crate) fn schedule_timer(&mut self, at: Instant) {
        self.next_timer = Some(self.next_timer.map_or(at, |due| due.min(at)));
    }

    fn on_view(&mut self, now: Instant, view: View, actions: &mut Vec<Action>) {
        if self.view_number().is_some_and(|number| number >= view.number) {
            return;
        }
        if let Some(floor) = view.floor {
            self.table.raise_floor(floor);
        }
        self.copied_up_to.retain(|peer, _| view.survivors.contains(peer));
        self.view = Some(view);
        self.start_sync(now, actions);
        self.restart_claims(now, actions);
        self.restart_lookups(now, actions);
        self.restart_proposals(now, actions);
    }

    /// Handles a message of the current view. Messages of other views or from entries outside the view are ignored.
    fn on_message(&mut self, now: Instant, peer: ProcessId, message: PeerMessage, actions: &mut Vec<Action>) {
        let Some(view) = &self.view else {
            return;
        };
        if message.view() != view.number {
            return;
        }
        let is_learner = view.learners.contains(&peer);
        match message {
            PeerMessage::Pull { after, .. } if is_learner || self.has_member(peer) => {
                self.on_pull(peer, after, actions);
            }
            PeerMessage::Chunk {
                after,
                up_to,
                done,
                floor,
                records,
                ..
            } if view.survivors.contains(&peer) => {
                self.table.raise_floor(floor);
                self.on_chunk(now, peer, (after, up_to, done), records, actions);
            }
            _ if !self.is_member() || !self.has_member(peer) => {}
            PeerMessage::Claim { job, digest, .. } => self.on_peer_claim(peer, job, digest, actions),
            PeerMessage::Lookup {
                job, digest, lookup, ..
            } => {
                self.on_peer_lookup(peer, job, digest, lookup, actions);
            }
            PeerMessage::LookupReply {
                job,
                lookup,
                owner,
                own_claim,
                ..
            } => {
                self.on_lookup_reply(peer, job, lookup, (owner, own_claim), actions);
            }
            PeerMessage::Granted { job, .. } => self.on_granted(peer, job, actions),
            PeerMessage::OwnedBy { job, owner, .. } => {
                self.on_claim_released(peer, job, owner, actions);
                self.on_owned_by(peer, job, owner, actions);
            }
            PeerMessage::Denied { job, denial, .. } => self.on_denied(peer, job, denial, actions),
            message => self.on_ballot_message(now, peer, message, actions),
        }
    }

    /// Resends unanswered messages and ends claims and lookups that have timed out.
    fn run_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.next_timer.is_none_or(|due| due > now) {
            return;
        }
        self.next_timer = None;
        self.run_claim_timers(now, actions);
        self.run_lookup_timers(now, actions);
        self.run_proposal_timers(now, actions);
        self.run_sync_timers(now, actions);
    }

    fn prune(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.next_prune.is_some_and(|at| at > now) {
            return;
        }
        self.table.prune();
        let floor = self.table.floor;
        while let Some(first) = self.claim_outcomes.first_entry()
            && job_timestamp(*first.key()) <= floor
        {
            first.remove();
        }
        self.fail_proposals_below_floor(actions);
        let has_state =
            !self.table.rows.is_empty() || !self.claim_outcomes.is_empty() || !self.proposals.is_empty();
        self.next_prune = has_state.then(|| now + PRUNE_INTERVAL);
    }
}

//! Sessions with incarnations of the worker: announcements, withdrawals and restarts.

use std::time::Instant;

use chestnutfork_types::{RunOutcome, TaskKey, WorkerName};

use crate::clock::WorkerClock;
use crate::core::WorkerCore;
use crate::event::{Action, Announcement, Evidence, FencingToken, GoneReason, ListedEnd, ListedRun, Notice};
use crate::health::Health;
use crate::run::Run;

/// State kept for one incarnation of the worker.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) worker: Announcement,
    pub(crate) clock: WorkerClock,
    pub(crate) token: FencingToken,
    /// Whether a lease renewal is in flight.
    pub(crate) renewal_pending: bool,
    pub(crate) renew_at: Instant,
    /// Number of the latest end that was processed.
    pub(crate) last_received_end: u64,
    /// When the first lease renewal of this process was answered, which lists all runs.
    pub(crate) synced_at: Option<Instant>,
    pub(crate) replied_at: Instant,
    /// Consecutive calls without an answer from this incarnation.
    pub(crate) unanswered: u32,
    pub(crate) available: bool,
    pub(crate) health: Health,
    /// Runs that an earlier agent process started and no entry has listed.
    pub(crate) orphans: Vec<ListedRun>,
    /// Ends of runs that an earlier agent process started.
    pub(crate) orphan_ends: Vec<ListedEnd>,
}

impl WorkerCore {
    pub(crate) fn on_announced(
        &mut self,
        now: Instant,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        let known = self.session.as_ref().map(|session| &session.worker);
        let age = |worker: &Announcement| (worker.started_at, worker.sequence);
        if known.is_some_and(|known| age(&announcement) <= age(known)) {
            return;
        }
        let same = known.is_some_and(|known| {
            known.started_at == announcement.started_at
                && known.description.worker == announcement.description.worker
        });
        if same {
            self.update_session(now, announcement, actions);
        } else {
            let renamed =
                known.is_some_and(|known| known.description.worker != announcement.description.worker);
            let reason = if renamed {
                GoneReason::Renamed
            } else {
                GoneReason::Restarted
            };
            self.end_session(now, reason, actions);
            self.begin_session(now, announcement, actions);
        }
    }

    fn update_session(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<Action>) {
        let Some(session) = self.session.as_mut() else {
            return;
        };
        session.clock.observe(now, announcement.clock);
        let changed = session.worker.description != announcement.description;
        let leaves = announcement.description.leaving && !session.worker.description.leaving;
        session.worker = announcement;
        if leaves {
            self.refuse_waiting(now, "the worker is leaving", actions);
            let running = self.runs.len() as u64;
            let worker = self.worker_name();
            actions.push(Action::Notice(Notice::WorkerLeaving { worker, running }));
        }
        if changed {
            self.broadcast_description(actions);
        }
    }

    fn begin_session(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<Action>) {
        let description = &announcement.description;
        actions.push(Action::Notice(Notice::WorkerJoined {
            worker: description.worker.clone(),
            pool: description.pool.clone(),
            cpu_millis: description.capacity.cpu_millis,
            started_at: announcement.started_at,
        }));
        let clock = announcement.clock;
        self.session = Some(Session {
            clock: WorkerClock::new(now, clock),
            // The worker's clock is monotonic, so a later process of this agent gets a higher token.
            token: u64::try_from(clock.as_millis()).unwrap_or(u64::MAX),
            worker: announcement,
            renewal_pending: false,
            renew_at: now,
            last_received_end: 0,
            synced_at: None,
            replied_at: now,
            unanswered: 0,
            available: true,
            health: Health::default(),
            orphans: Vec::new(),
            orphan_ends: Vec::new(),
        });
        self.broadcast_description(actions);
    }

    pub(crate) fn on_withdrawn(&mut self, now: Instant, worker: &WorkerName, actions: &mut Vec<Action>) {
        let current = self
            .session
            .as_ref()
            .map(|session| &session.worker.description.worker);
        if current == Some(worker) {
            self.end_session(now, GoneReason::Withdrawn, actions);
            self.broadcast_description(actions);
        }
    }

    /// Ends the session with an incarnation that has ended, and all its runs.
    fn end_session(&mut self, now: Instant, reason: GoneReason, actions: &mut Vec<Action>) {
        if self.session.is_none() {
            return;
        }
        self.calls.clear();
        let tasks: Vec<TaskKey> = self.runs.keys().copied().collect();
        let lost = tasks.len() as u64;
        for task in tasks {
            let waiting = self.runs.get(&task).is_some_and(Run::is_waiting);
            let (outcome, evidence) = match reason {
                _ if waiting => (RunOutcome::NotStarted, Evidence::NotOrdered),
                GoneReason::Withdrawn => (RunOutcome::Lost, Evidence::Withdrawn),
                GoneReason::Renamed | GoneReason::Restarted => (RunOutcome::Lost, Evidence::Restarted),
            };
            self.end_run(now, task, outcome, evidence, actions);
        }
        self.ended_runs.clear();
        let worker = self.worker_name();
        self.session = None;
        actions.push(Action::Notice(Notice::WorkerGone { worker, lost, reason }));
    }
}

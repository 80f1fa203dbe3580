//! Sessions with incarnations of the worker: announcements, withdrawals and restarts.

use std::time::{Duration, Instant};

use chestnutfork_types::{RunOutcome, TaskKey, WorkerName};

use crate::clock::WorkerClock;
use crate::core::WorkerCore;
use crate::event::{
    Action, Announcement, CallOutcome, Evidence, FencingToken, GoneReason, ListedEnd, ListedRun, Notice,
};
use crate::health::Health;
use crate::run::{Phase, Run, Stop};

/// Maximum number of former incarnations whose delayed announcements are recognised.
const MAX_FORMER_INCARNATIONS: usize = 16;

/// What an incarnation of the worker has told its agent about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// It has answered calls, but not announced its capacity.
    Unannounced,
    Announced,
    /// It has withdrawn; its runs continue until it ends.
    Withdrawn,
}

/// State kept for one incarnation of the worker.
#[derive(Debug)]
pub(crate) struct Session {
    /// Latest announcement; of the former incarnation of the same name until the current one announces itself.
    pub(crate) worker: Announcement,
    /// Start time of the incarnation, unless only its clock has shown that it is later than the announced one.
    pub(crate) started_at: Option<Duration>,
    pub(crate) presence: Presence,
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
    /// When the latest list of runs arrived.
    pub(crate) listed_at: Option<Instant>,
    /// When the worker first refused a connection, or another incarnation answered, since its latest reply.
    pub(crate) gone_at: Option<Instant>,
    /// Whether a worker at another address may have replaced this one, so that the next list has to show whether it answers.
    pub(crate) may_be_replaced: bool,
    /// Consecutive calls without an answer from this incarnation.
    pub(crate) unanswered: u32,
    pub(crate) available: bool,
    pub(crate) health: Health,
    /// Listed runs that belong to no attempt of an entry; most were started by an earlier agent process.
    pub(crate) orphans: Vec<ListedRun>,
    /// Ends of runs that an earlier agent process started.
    pub(crate) orphan_ends: Vec<ListedEnd>,
}

impl Session {
    fn new(now: Instant, worker: Announcement, clock: WorkerClock, former_token: FencingToken) -> Self {
        // The worker's clock is monotonic, so a later process of this agent gets a higher token. It also exceeds the tokens
        // for former incarnations, so that the worker rejects orders for those that it receives late.
        let token = u64::try_from(clock.reading().as_millis()).unwrap_or(u64::MAX);
        Self {
            clock,
            token: token.max(former_token.saturating_add(1)),
            started_at: Some(worker.started_at),
            presence: Presence::Announced,
            worker,
            renewal_pending: false,
            renew_at: now,
            last_received_end: 0,
            synced_at: None,
            replied_at: now,
            listed_at: None,
            gone_at: None,
            may_be_replaced: false,
            unanswered: 0,
            available: true,
            health: Health::default(),
            orphans: Vec::new(),
            orphan_ends: Vec::new(),
        }
    }

    pub(crate) fn is_announced(&self) -> bool {
        self.presence == Presence::Announced
    }

    pub(crate) fn is_withdrawn(&self) -> bool {
        self.presence == Presence::Withdrawn
    }
}

impl WorkerCore {
    pub(crate) fn on_announced(
        &mut self,
        now: Instant,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        let Some(session) = &self.session else {
            self.begin_session(now, announcement, actions);
            return;
        };
        let same_name = session.worker.description.worker == announcement.description.worker;
        let started_at = announcement.started_at;
        if same_name && session.started_at == Some(started_at) {
            if session.presence == Presence::Unannounced || announcement.sequence > session.worker.sequence {
                self.update_session(now, announcement, actions);
            }
        } else if self.is_former_incarnation(&announcement) {
            // A delayed announcement of an earlier incarnation.
        } else if same_name && session.started_at.is_none() {
            self.update_session(now, announcement, actions);
        } else if same_name {
            // The start time may be earlier, because the time of day has stepped back. If the announcement is a delayed one
            // instead, the next list of runs shows the incarnation that answers.
            self.restart_session(now, Some(started_at), announcement.clock, false, actions);
            self.update_session(now, announcement, actions);
        } else {
            self.consider_replacement(now, announcement);
        }
    }

    fn is_former_incarnation(&self, announcement: &Announcement) -> bool {
        let former = &self.former_incarnations;
        former.iter().any(|(name, started_at)| {
            *name == announcement.description.worker && *started_at == announcement.started_at
        })
    }

    fn update_session(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<Action>) {
        let Some(session) = self.session.as_mut() else {
            return;
        };
        session.clock.observe(now, announcement.clock);
        let changed = session.worker.description != announcement.description || session.is_withdrawn();
        let joined = session.presence == Presence::Unannounced;
        let leaves = announcement.description.leaving && !session.worker.description.leaving;
        let resized = session.worker.description.capacity != announcement.description.capacity;
        session.started_at = Some(announcement.started_at);
        // A withdrawal before this announcement was a delayed one of a former incarnation.
        session.presence = Presence::Announced;
        session.worker = announcement;
        if joined {
            let notice = joined_notice(&session.worker);
            actions.push(Action::Notice(notice));
        }
        if resized {
            self.record_excess();
        }
        if leaves {
            self.refuse_waiting(now, "the worker is leaving", actions);
            let running = self.runs.len() as u64;
            let worker = self.worker_name();
            actions.push(Action::Notice(Notice::WorkerLeaving { worker, running }));
        }
        if changed || joined {
            self.broadcast_description(now, actions);
        }
    }

    pub(crate) fn begin_session(
        &mut self,
        now: Instant,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        self.crashes.begin_incarnation();
        actions.push(Action::Notice(joined_notice(&announcement)));
        let clock = announcement.clock;
        let clock = WorkerClock::new(now, clock);
        self.session = Some(Session::new(now, announcement, clock, self.former_token));
        self.broadcast_description(now, actions);
    }

    pub(crate) fn on_withdrawn(&mut self, now: Instant, worker: &WorkerName, actions: &mut Vec<Action>) {
        let current = self.session.as_mut();
        let Some(session) = current.filter(|session| session.worker.description.worker == *worker) else {
            return;
        };
        session.presence = Presence::Withdrawn;
        self.refuse_waiting(now, "the worker is leaving", actions);
        self.broadcast_description(now, actions);
    }

    /// Ends the session with a withdrawn worker on which nothing runs any more.
    pub(crate) fn end_withdrawn_session(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let withdrawn = self.session.as_ref().is_some_and(Session::is_withdrawn);
        if withdrawn && self.runs.is_empty() {
            self.end_session(now, GoneReason::Withdrawn, actions);
            self.broadcast_description(now, actions);
        }
    }

    /// Ends the session with a withdrawn worker if a reply shows that it has ended.
    pub(crate) fn on_reply_after_withdrawal(
        &mut self,
        now: Instant,
        outcome: &CallOutcome,
        actions: &mut Vec<Action>,
    ) {
        let ended = matches!(outcome, CallOutcome::Unreachable | CallOutcome::OtherIncarnation);
        if ended && self.session.as_ref().is_some_and(Session::is_withdrawn) {
            self.end_session(now, GoneReason::Withdrawn, actions);
            self.broadcast_description(now, actions);
        }
    }

    /// Ends the session with an incarnation that has ended, and all its runs.
    pub(crate) fn end_session(&mut self, now: Instant, reason: GoneReason, actions: &mut Vec<Action>) {
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
                // A withdrawal is planned, so the worker has not been lost under these tasks.
                GoneReason::Withdrawn => (RunOutcome::Stopped, Evidence::Withdrawn),
                GoneReason::Renamed => (RunOutcome::Lost, Evidence::Renamed),
            };
            self.end_run(now, task, outcome, evidence, actions);
        }
        self.ended_runs.clear();
        let worker = self.worker_name();
        self.retain_token();
        self.retain_incarnation();
        self.session = None;
        actions.push(Action::Notice(Notice::WorkerGone { worker, lost, reason }));
    }

    /// Begins a session with a later incarnation of the same name.
    ///
    /// Orders name the worker and not its incarnation, so each one that was sent may have reached, or may still reach, the
    /// new incarnation. Its runs therefore end only once this incarnation has been ordered to stop them and does not
    /// list them.
    pub(crate) fn restart_session(
        &mut self,
        now: Instant,
        started_at: Option<Duration>,
        clock: Duration,
        unannounced: bool,
        actions: &mut Vec<Action>,
    ) {
        self.refuse_waiting(now, "the worker has restarted", actions);
        self.record_crash(now, actions);
        self.retain_token();
        self.retain_incarnation();
        let Some(former) = self.session.take() else {
            return;
        };
        self.calls.clear();
        for run in self.runs.values_mut() {
            run.former_incarnation = true;
            run.phase = match run.phase {
                Phase::Stopping(stop) => Phase::Stopping(Stop {
                    renew_until: stop.renew_until,
                    ..Stop::begin(now, RunOutcome::Lost)
                }),
                _ => Phase::Unconfirmed { since: now },
            };
        }
        actions.push(Action::Notice(Notice::WorkerRestarted {
            worker: former.worker.description.worker.clone(),
            unresolved: self.runs.len() as u64,
            unannounced,
        }));
        let mut clock = WorkerClock::new(now, clock);
        clock.assume_longest_lease(now);
        self.session = Some(Session {
            started_at,
            presence: Presence::Unannounced,
            ..Session::new(now, former.worker, clock, self.former_token)
        });
    }

    /// Records an incarnation that has ended, to recognise its delayed announcements.
    fn retain_incarnation(&mut self) {
        let Some(session) = self.session.as_ref() else {
            return;
        };
        let started_at = session.started_at.unwrap_or(session.worker.started_at);
        let name = session.worker.description.worker.clone();
        self.former_incarnations.push_back((name, started_at));
        if self.former_incarnations.len() > MAX_FORMER_INCARNATIONS {
            self.former_incarnations.pop_front();
        }
    }

    fn retain_token(&mut self) {
        let token = self.session.as_ref().map_or(0, |session| session.token);
        self.former_token = self.former_token.max(token);
    }
}

fn joined_notice(worker: &Announcement) -> Notice {
    let description = &worker.description;
    Notice::WorkerJoined {
        worker: description.worker.clone(),
        pool: description.pool.clone(),
        cpu_millis: description.capacity.cpu_millis,
        started_at: worker.started_at,
    }
}

//! Orders to the worker: starts by urgency, stops repeated until confirmed, and lease renewals.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, RecordedAttempt, Resources, RunOutcome, TaskKey};

use crate::clock::MAX_WORKER_LEASE;
use crate::config::lease_expiry_time;
use crate::core::WorkerCore;
use crate::event::{Action, CallId, Evidence, ListedRun, Notice, Order};
use crate::run::{NO_OWNER, Phase, Run};
use crate::session::Session;

/// Longest delay with which an order that got no answer is carried out.
const LATE_ORDER_LIMIT: Duration = Duration::from_secs(15);

/// Shortest time that the worker's lease can last for runs to start; a shorter one could end before the worker confirms them.
const MIN_START_LEASE: Duration = Duration::from_millis(100);

/// Call in flight to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Start(TaskKey),
    Stop(TaskKey),
    RenewLease {
        sent_at: Instant,
    },
    /// Shows whether an announced worker answers at its address.
    VerifyReplacement,
}

/// Call in flight, and the latest reading of the worker's clock when it was sent.
///
/// The worker's clock is monotonic, so a reply with a lower reading is from another incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    pub(crate) call: Call,
    pub(crate) clock: Duration,
}

impl WorkerCore {
    /// Starts waiting runs, most urgent first, while they fit into the worker's capacity.
    pub(crate) fn start_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.may_start(now) {
            return;
        }
        let ready = |session: &Session| session.available && session.is_announced();
        let ready = self.session.as_ref().is_some_and(ready);
        if !ready {
            return;
        }
        while let Some(task) = self.next_start(now) {
            if self.ends_in_time(task) {
                self.start(now, task, actions);
            } else {
                self.refuse_run(now, task, "the lease of the worker outlasts the run", actions);
            }
        }
    }

    /// Returns whether a run that starts now would end by its limit without a stop, although the worker has a lease already.
    fn ends_in_time(&self, task: TaskKey) -> bool {
        let run = self.runs.get(&task);
        let end_by = run.and_then(|run| run.end_by);
        let session = self.session.as_ref();
        let leased = session.map(|session| session.clock.latest_expiry());
        end_by.is_none_or(|end_by| leased.is_none_or(|leased| leased <= end_by))
    }

    /// Returns whether a task could start at once.
    pub(crate) fn can_start_now(&self, now: Instant, resources: Resources) -> bool {
        self.may_start(now) && resources.fits_within(self.free())
    }

    /// Returns the most urgent waiting run if it fits; smaller, less urgent runs do not overtake it.
    fn next_start(&self, now: Instant) -> Option<TaskKey> {
        let due = self
            .runs
            .values()
            .filter(|run| matches!(run.phase, Phase::Waiting { not_before } if not_before <= now));
        let run = due.min_by_key(|run| (run.objective_at, run.key))?;
        let capacity = self.session.as_ref()?.worker.description.capacity;
        let started = self.runs.values().filter(|run| !run.is_waiting());
        let used = started.fold(run.resources, |sum, other| sum.saturating_add(other.resources));
        used.fits_within(capacity).then_some(run.key.task)
    }

    fn start(&mut self, now: Instant, task: TaskKey, actions: &mut Vec<Action>) {
        let (lease, limit) = (self.cfg.worker_lease, self.lease_limit());
        self.observe_start(now, task);
        let call = self.begin_call(Call::Start(task));
        let (Some(session), Some(run)) = (self.session.as_mut(), self.runs.get_mut(&task)) else {
            return;
        };
        run.phase = Phase::Starting { call };
        run.confirmed = false;
        run.started_at = Some(now);
        let limit = [run.lease_limit(), limit].into_iter().flatten().min();
        let order = Order::Start {
            task,
            run: run.number,
            spec: run.spec.clone(),
            until: session.clock.grant(now, lease, limit),
            token: session.token,
        };
        push_call(session, call, order, actions);
    }

    /// Sends stop orders that are new or were not answered.
    pub(crate) fn send_stops(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = |run: &Run| match run.phase {
            Phase::Stopping(stop) => {
                stop.call.is_none() && stop.confirmed_at.is_none() && stop.retry_at <= now
            }
            _ => false,
        };
        let tasks = self
            .runs
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(&task, _)| task);
        let tasks: Vec<TaskKey> = tasks.collect();
        for task in tasks {
            let call = self.begin_call(Call::Stop(task));
            let (Some(session), Some(run)) = (self.session.as_ref(), self.runs.get_mut(&task)) else {
                return;
            };
            if let Phase::Stopping(stop) = &mut run.phase {
                stop.call = Some(call);
            }
            let order = Order::Stop {
                task,
                run: run.number,
                token: session.token,
            };
            push_call(session, call, order, actions);
        }
    }

    /// Returns whether the worker's run list is needed or its lease must be renewed.
    pub(crate) fn needs_renewal(&self) -> bool {
        let Some(session) = self.session.as_ref() else {
            return false;
        };
        let uncertain = session.synced_at.is_none() || !session.available || !session.orphans.is_empty();
        let uncertain = uncertain || session.may_be_replaced;
        uncertain || self.has_started()
    }

    /// Returns the latest end of a lease that may be granted.
    fn lease_limit(&self) -> Option<Instant> {
        self.runs.values().filter_map(Run::lease_limit).min()
    }

    /// Returns whether the worker's lease may be renewed.
    ///
    /// It covers everything on the worker, so a renewal would also prolong a run that has to end at a known time: one whose end is
    /// limited, whose stop is not confirmed, that no entry has listed, or whose worker is about to end.
    fn may_renew(&self, now: Instant) -> bool {
        let session = self.session.as_ref();
        let unknown = |session: &Session| session.synced_at.is_none() || !session.orphans.is_empty();
        if session.is_some_and(|session| session.is_withdrawn() || unknown(session)) {
            return false;
        }
        self.runs.values().all(|run| run.may_renew(now))
    }

    /// Returns whether runs may start. A start renews the lease of every run on the worker.
    ///
    /// While a stop is not confirmed, nothing starts that would probably end with the run to be stopped.
    fn may_start(&self, now: Instant) -> bool {
        let lease = self.cfg.worker_lease;
        let lasts = |run: &Run| {
            let needed = if run.is_stopping() { lease } else { MIN_START_LEASE };
            run.lease_limit().is_none_or(|limit| now + needed <= limit)
        };
        self.may_renew(now) && self.runs.values().all(lasts)
    }

    /// Renews the worker's lease with a long poll, which returns when a run ends.
    pub(crate) fn renew_lease(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let needed = self.needs_renewal();
        let idle = |session: &Session| !session.renewal_pending && session.renew_at <= now;
        if !needed || !self.session.as_ref().is_some_and(idle) {
            return;
        }
        // While the state of the worker or of a run is uncertain, request an immediate reply.
        let certain = self
            .session
            .as_ref()
            .is_some_and(|session| session.synced_at.is_some() && session.available);
        let unconfirmed = |run: &Run| matches!(run.phase, Phase::Unconfirmed { .. });
        let certain = certain && !self.runs.values().any(unconfirmed);
        let wait = if certain {
            self.cfg.long_poll_wait
        } else {
            Duration::ZERO
        };
        // A renewal that an unavailable worker receives late would only delay the time at which its runs count as lost.
        let available = self.session.as_ref().is_some_and(|session| session.available);
        let renews = available && self.may_renew(now);
        let lease = renews.then_some(self.cfg.worker_lease);
        let limit = self.lease_limit();
        let call = self.begin_call(Call::RenewLease { sent_at: now });
        let Some(session) = self.session.as_mut() else {
            return;
        };
        session.renewal_pending = true;
        let order = Order::RenewLease {
            until: lease.map(|lease| session.clock.grant(now, lease, limit)),
            last_received_end: session.last_received_end,
            wait,
            token: session.token,
        };
        push_call(session, call, order, actions);
    }

    /// Stops runs that belong to no attempt, those of an earlier agent process after a grace period.
    pub(crate) fn stop_orphans(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = self
            .session
            .as_ref()
            .and_then(|session| self.orphan_stop_time(session))
            .is_some_and(|at| at <= now);
        if !due {
            return;
        }
        let orphans = self
            .session
            .as_mut()
            .map(|session| std::mem::take(&mut session.orphans));
        let (blocked, free) = orphans
            .into_iter()
            .flatten()
            .partition(|listed: &ListedRun| self.runs.contains_key(&listed.task));
        if let Some(session) = self.session.as_mut() {
            session.orphans = blocked;
        }
        let free: Vec<ListedRun> = free;
        for listed in free {
            let task = listed.task;
            actions.push(Action::Notice(Notice::OrphanStopped { run: listed }));
            let unclaimed = RecordedAttempt {
                key: AttemptKey { task, attempt: 0 },
                resources: None,
            };
            self.adopt(now, NO_OWNER, unclaimed, listed);
            self.stop_expired(now, task, actions);
        }
    }

    /// Returns the time at which orphans are stopped, if there are any.
    pub(crate) fn orphan_stop_time(&self, session: &Session) -> Option<Instant> {
        let synced = session.synced_at.filter(|_| !session.orphans.is_empty())?;
        Some(synced.max(self.orphan_deadline))
    }

    /// Returns when a started run has certainly ended if the worker sends no further reply.
    ///
    /// A start without an answer may not have been carried out yet. A worker that has restarted unnoticed shortens its lease to
    /// the longest one on its own clock, and an order to a worker that has gone may reach its next incarnation seconds later,
    /// before the first order of a higher token.
    fn run_expiry(session: &Session, run: &Run) -> Instant {
        let lease_expiry = session.clock.latest_expiry();
        let Some(ordered_at) = run.started_at.filter(|_| !run.confirmed) else {
            return lease_expiry;
        };
        let may_arrive_later = run.former_incarnation || session.gone_at.is_some();
        let limit = if may_arrive_later {
            LATE_ORDER_LIMIT
        } else {
            lease_expiry_time(MAX_WORKER_LEASE)
        };
        lease_expiry.max(ordered_at + limit)
    }

    /// Returns when the next started run has certainly ended, if no further reply arrives.
    pub(crate) fn next_expiry(&self, session: &Session) -> Option<Instant> {
        let started = self.runs.values().filter(|run| !run.is_waiting());
        started.map(|run| Self::run_expiry(session, run)).min()
    }

    /// Reports started runs as lost once they have certainly ended without a reply of the worker.
    pub(crate) fn expire_worker_lease(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(session) = self.session.as_ref() else {
            return;
        };
        let expired = |run: &Run| !run.is_waiting() && Self::run_expiry(session, run) <= now;
        let expired = self.runs.iter().filter(|(_, run)| expired(run));
        let tasks: Vec<TaskKey> = expired.map(|(&task, _)| task).collect();
        if tasks.is_empty() {
            return;
        }
        // The runs of a worker that answers have ended because its lease was not renewed.
        let outcome = if self.record_lapse(now, &tasks, actions) {
            RunOutcome::Lost
        } else {
            RunOutcome::Stopped
        };
        for task in tasks {
            self.end_run(now, task, outcome, Evidence::LeaseExpired, actions);
        }
    }

    pub(crate) fn begin_call(&mut self, call: Call) -> CallId {
        self.next_call += 1;
        let clock = self.session.as_ref().map(|session| session.clock.reading());
        let clock = clock.unwrap_or_default();
        self.calls.insert(self.next_call, PendingCall { call, clock });
        self.next_call
    }

    /// Schedules another attempt to start a run after a refusal that a retry may overcome.
    pub(crate) fn retry_start(
        &mut self,
        now: Instant,
        task: TaskKey,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let delay = self.cfg.retry_delay;
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let key = run.key;
        actions.push(Action::Notice(Notice::StartRefused { key, reason }));
        run.refusals += 1;
        run.started_at = None;
        run.phase = Phase::Waiting {
            not_before: now + delay,
        };
    }
}

fn push_call(session: &Session, call: CallId, order: Order, actions: &mut Vec<Action>) {
    actions.push(Action::Call {
        call,
        address: session.worker.address.clone(),
        worker: session.worker.description.worker.clone(),
        order,
    });
}

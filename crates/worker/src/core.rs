//! State of the agent core, its event handlers and its timer.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_evacuation::KnownEvacuations;
use chestnutfork_types::{
    AttemptKey, EndedRun, EntryToWorker, LinkNumber, ProcessId, Resources, RunOutcome, StartOrder, TaskKey,
    WorkerName, WorkerToEntry,
};
use indexmap::IndexMap;

use crate::clock::MAX_WORKER_LEASE;
use crate::config::{WorkerConfig, lease_expiry_time};
use crate::crashes::Crashes;
use crate::demand::DemandSums;
use crate::evacuation::EVACUATED;
use crate::event::{Action, CallId, Event, Evidence, FencingToken, Notice};
use crate::orders::PendingCall;
use crate::owners::Owners;
use crate::reconcile::ListedAttempt;
use crate::replacement::Candidate;
use crate::run::{EndedRunRecord, NO_OWNER, Phase, Run, earliest};
use crate::session::Session;
use crate::sharing::Sharing;
use crate::stops::stop_time;

/// Interval at which expired records of runs and entries are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Agent core of one worker.
#[derive(Debug)]
pub struct WorkerCore {
    pub(crate) cfg: WorkerConfig,
    pub(crate) session: Option<Session>,
    /// Highest fencing token of the sessions that have ended.
    pub(crate) former_token: FencingToken,
    /// Names and start times of the latest incarnations that have ended.
    pub(crate) former_incarnations: VecDeque<(WorkerName, Duration)>,
    /// Announced worker that replaces the one in use once it answers.
    pub(crate) candidate: Option<Candidate>,
    pub(crate) owners: Owners,
    pub(crate) runs: IndexMap<TaskKey, Run>,
    pub(crate) ended_runs: IndexMap<TaskKey, EndedRunRecord>,
    pub(crate) calls: IndexMap<CallId, PendingCall>,
    pub(crate) next_call: CallId,
    /// Attempts listed by entries that cannot be reconciled before the worker has listed its runs.
    pub(crate) unreconciled: Vec<ListedAttempt>,
    /// When runs of an earlier agent process that no entry has listed are stopped.
    ///
    /// Their entry may have failed just before that process, in which case its callers resubmit their jobs.
    pub(crate) orphan_deadline: Instant,
    /// When all runs of an earlier agent process have certainly ended, even if the worker never announces itself.
    pub(crate) former_runs_expire_at: Instant,
    pub(crate) heartbeat_at: Instant,
    pub(crate) load_report_at: Instant,
    /// Free capacity in the latest report to all entries.
    pub(crate) reported_free: Resources,
    /// Number of reports to all entries; it rotates the units that remain when the free capacity does not divide evenly.
    pub(crate) share_rotation: u64,
    /// Amount by which started runs exceed the capacity, because it shrank while they were in progress or because it is not
    /// known what they use.
    pub(crate) excess: Resources,
    /// Recent losses of the worker.
    pub(crate) crashes: Crashes,
    /// Demand at the entries.
    pub(crate) demand: DemandSums,
    /// What ran side by side, and which kinds of tasks slowed each other down.
    pub(crate) sharing: Sharing,
    cleanup_at: Instant,
    /// Time of the last event.
    handled_at: Instant,
    pub(crate) draining: bool,
    pub(crate) evacuations: KnownEvacuations,
}

impl WorkerCore {
    /// Creates a core that has no worker yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_worker::{WorkerConfig, WorkerCore};
    ///
    /// let core = WorkerCore::new(WorkerConfig::builder().build(), Instant::now());
    /// assert_eq!(core.runs_in_progress(), 0);
    /// ```
    #[must_use]
    pub fn new(cfg: WorkerConfig, now: Instant) -> Self {
        Self {
            cfg,
            session: None,
            former_token: 0,
            former_incarnations: VecDeque::new(),
            candidate: None,
            owners: Owners::default(),
            runs: IndexMap::new(),
            ended_runs: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 0,
            unreconciled: Vec::new(),
            orphan_deadline: now + cfg.orphan_grace_period,
            former_runs_expire_at: now + lease_expiry_time(MAX_WORKER_LEASE),
            heartbeat_at: now,
            load_report_at: now,
            reported_free: Resources::default(),
            share_rotation: 0,
            excess: Resources::default(),
            crashes: Crashes::default(),
            demand: DemandSums::default(),
            sharing: Sharing::new(now),
            cleanup_at: now,
            handled_at: now,
            draining: false,
            evacuations: KnownEvacuations::default(),
        }
    }

    /// Returns the number of runs that have not ended.
    #[must_use]
    pub fn runs_in_progress(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether the process may exit: it is draining, nothing runs and every report has been sent.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let delivered = self
            .owners
            .iter()
            .all(|(_, owner)| owner.outbox.is_empty() || owner.link.is_none());
        self.draining && self.runs.is_empty() && delivered
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.handled_at = now;
        // After a pause of this process, expired leases must take effect before orders that waited in its buffers.
        self.expire_entry_leases(now, actions);
        match event {
            Event::Tick => {}
            Event::Announced(announcement) => self.on_announced(now, announcement, actions),
            Event::Withdrawn(worker) => self.on_withdrawn(now, &worker, actions),
            Event::EntryUp { link, entry } => self.on_entry_up(now, link, entry, actions),
            Event::EntryDown { link } => {
                self.owners.disconnect(link);
            }
            Event::FromEntry { link, message } => self.on_entry_message(now, link, message, actions),
            Event::Replied { call, reply } => self.on_reply(now, call, reply, actions),
            Event::Drain => self.drain(now, actions),
            Event::Evacuations { state, age } => self.on_evacuations(now, state, age, actions),
        }
        self.run_due_work(now, actions);
        debug_assert_eq!(self.verify(), [], "the verifier finds no violation");
    }

    /// Returns when the core needs the next [`Event::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        let report = self.load_changed().then_some(self.load_report_at);
        let runs = self.runs.values().filter_map(|run| match run.phase {
            Phase::Waiting { not_before } => Some(not_before),
            Phase::Stopping(stop) if stop.call.is_none() && stop.confirmed_at.is_none() => {
                Some(stop.retry_at)
            }
            _ => None,
        });
        let busy = !self.runs.is_empty();
        let limits = self.runs.values().filter(|run| !run.is_stopping());
        let limit = limits.filter_map(|run| run.stop_at).min();
        let leases = self.owners.iter().filter_map(|(_, owner)| owner.lease_until);
        let leases = leases.filter(|_| busy);
        let session = self.session.as_ref();
        let renewal = session.filter(|session| !session.renewal_pending && self.needs_renewal());
        let renewal = renewal.map(|session| session.renew_at);
        let expiry = session.and_then(|session| self.next_expiry(session));
        let orphans = session.and_then(|session| self.orphan_stop_time(session));
        let unreconciled = (!self.unreconciled.is_empty()).then_some(self.former_runs_expire_at);
        let due = runs.chain(leases).chain(report).chain(renewal);
        let due = due.chain(expiry).chain(orphans).chain(unreconciled);
        let due = due.chain(self.candidate_call_time()).chain(limit);
        // Work that was due at the last event is done, or waits for something other than time.
        let due = due.filter(|&at| at > self.handled_at);
        due.fold(self.heartbeat_at.min(self.cleanup_at), Instant::min)
    }

    pub(crate) fn has_started(&self) -> bool {
        self.runs.values().any(|run| !run.is_waiting())
    }

    fn on_entry_up(&mut self, now: Instant, link: LinkNumber, entry: ProcessId, actions: &mut Vec<Action>) {
        self.owners.connect(link, entry);
        actions.push(Action::ToEntry(link, self.describe(now)));
        let number = self.owners.next_heartbeat(now);
        let load = self.load(now, entry);
        actions.push(Action::ToEntry(link, WorkerToEntry::Heartbeat(number, load)));
    }

    fn on_entry_message(
        &mut self,
        now: Instant,
        link: LinkNumber,
        message: EntryToWorker,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.owners.entry_of(link) else {
            return;
        };
        match message {
            EntryToWorker::HeartbeatAck(beat, demand) => {
                self.owners.acknowledge(entry, beat, self.cfg.entry_lease);
                self.demand.record(now, entry, demand);
            }
            EntryToWorker::Start(order) => self.on_start(now, entry, &order, actions),
            EntryToWorker::Stop(keys) => {
                for key in keys {
                    self.stop_attempt(now, entry, key, actions);
                }
            }
            EntryToWorker::Reconcile { keep, stop } => {
                let listed = |keep| {
                    move |attempt| ListedAttempt {
                        entry,
                        attempt,
                        keep,
                        stop_at: None,
                        end_by: None,
                    }
                };
                self.unreconciled.extend(keep.into_iter().map(listed(true)));
                self.unreconciled.extend(stop.into_iter().map(listed(false)));
                self.reconcile_attempts(now, actions);
            }
            EntryToWorker::TimeLimits(limits) => {
                for (key, limit) in limits {
                    if let Some(stop_at) = now.checked_add(limit) {
                        self.limit_attempt(entry, key, stop_at);
                    }
                }
            }
            EntryToWorker::EndLimits(limits) => {
                for (key, limit) in limits {
                    let end_by = self.owners.end_of(now, limit);
                    self.limit_end(entry, key, end_by);
                    self.limit_attempt(entry, key, stop_time(now, end_by));
                }
            }
            EntryToWorker::Losses(losses) => self.crashes.store(now, losses),
        }
    }

    fn on_start(&mut self, now: Instant, entry: ProcessId, order: &StartOrder, actions: &mut Vec<Action>) {
        self.owners
            .acknowledge(entry, order.last_heartbeat, self.cfg.entry_lease);
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.last_order = owner.last_order.max(order.number);
            owner.last_order_at = Some(now);
            owner.report_interval = order.report_interval.unwrap_or_default();
            owner.reads_interference = !order.kinds.tasks.is_empty();
        }
        self.sharing.watch(now, &order.kinds.watched);
        let refusal = self.refusal(now, entry);
        for (position, &task) in order.tasks.iter().enumerate() {
            let busy = self.runs.contains_key(&task.key.task) || self.is_orphan(task.key.task);
            let busy = busy.then_some("another run of the task has not ended");
            let full = order.refuse_if_full && !self.can_start_now(now, task.resources);
            match refusal.or(busy).or(full.then_some("the worker is full")) {
                Some(reason) => self.refuse(entry, task.key, reason, actions),
                None => self.accept(now, entry, order, position),
            }
        }
    }

    fn is_orphan(&self, task: TaskKey) -> bool {
        let session = self.session.as_ref();
        session.is_some_and(|session| session.orphans.iter().any(|run| run.task == task))
    }

    /// Returns why start orders of an entry must be refused, if so.
    fn refusal(&self, now: Instant, entry: ProcessId) -> Option<&'static str> {
        let session = self.session.as_ref();
        if !self.owners.has_lease(entry, now) {
            return Some("the entry has no valid lease");
        }
        if self.draining {
            return Some("the agent is shutting down");
        }
        match session {
            None => Some("no worker is connected"),
            Some(session) if session.worker.description.leaving || session.is_withdrawn() => {
                Some("the worker is leaving")
            }
            Some(session) if !session.is_announced() => {
                Some("the worker has restarted and not announced itself")
            }
            Some(session) if !session.available => Some("the worker does not answer"),
            Some(_) if self.is_evacuated() => Some(EVACUATED),
            Some(_) => None,
        }
    }

    fn accept(&mut self, now: Instant, owner: ProcessId, order: &StartOrder, position: usize) {
        let task = order.tasks[position];
        let last = self
            .ended_runs
            .get(&task.key.task)
            .map_or(0, |record| record.number);
        let stop_at = order.time_limit.and_then(|limit| now.checked_add(limit));
        let end_by = order.end_limit.map(|limit| self.owners.end_of(now, limit));
        let run = Run {
            key: task.key,
            owner,
            number: u64::from(task.key.attempt).max(last.saturating_add(1)),
            resources: task.resources,
            declared_run_time: task.declared_run_time,
            objective_at: now + order.time_to_objective,
            stop_at: end_by.map(|at| earliest(stop_at, stop_time(now, at))).or(stop_at),
            end_by,
            spec: order.spec.clone(),
            phase: Phase::Waiting { not_before: now },
            started_at: None,
            confirmed: false,
            refusals: 0,
            former_incarnation: false,
            kind: order.kinds.kind_of(position),
        };
        self.runs.insert(task.key.task, run);
    }

    fn refuse(&mut self, entry: ProcessId, key: AttemptKey, reason: &'static str, actions: &mut Vec<Action>) {
        actions.push(Action::Notice(Notice::StartRefused { key, reason }));
        let ended = EndedRun {
            key,
            outcome: RunOutcome::NotStarted,
            run_time: Duration::ZERO,
        };
        self.report(entry, ended);
    }

    pub(crate) fn report(&mut self, entry: ProcessId, ended: EndedRun) {
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.outbox.push(ended);
        }
    }

    /// Ends a run and reports it to its owner.
    pub(crate) fn end_run(
        &mut self,
        now: Instant,
        task: TaskKey,
        outcome: RunOutcome,
        evidence: Evidence,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.swap_remove(&task) else {
            return;
        };
        self.lower_excess();
        self.sharing.on_end(now, task, outcome);
        let run_time = run.run_time(now);
        let ended = EndedRun {
            key: run.key,
            outcome,
            run_time,
        };
        if outcome != RunOutcome::Completed {
            let key = run.key;
            actions.push(Action::Notice(Notice::RunEnded {
                key,
                run: run.number,
                worker: self.worker_name(),
                outcome,
                run_time,
                evidence,
            }));
        }
        if !run.is_waiting() {
            let number = run.number;
            self.ended_runs.insert(
                task,
                EndedRunRecord {
                    number,
                    ended,
                    at: now,
                },
            );
        }
        if run.owner != NO_OWNER {
            self.report(run.owner, ended);
        }
    }

    pub(crate) fn refuse_waiting(&mut self, now: Instant, reason: &'static str, actions: &mut Vec<Action>) {
        let waiting = self.runs.values().filter(|run| run.is_waiting());
        let keys: Vec<AttemptKey> = waiting.map(|run| run.key).collect();
        for key in keys {
            self.refuse_run(now, key.task, reason, actions);
        }
    }

    /// Ends a waiting run without starting it.
    pub(crate) fn refuse_run(
        &mut self,
        now: Instant,
        task: TaskKey,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        if let Some(key) = self.runs.get(&task).map(|run| run.key) {
            actions.push(Action::Notice(Notice::StartRefused { key, reason }));
            self.end_run(now, task, RunOutcome::NotStarted, Evidence::NotOrdered, actions);
        }
    }

    /// Stops the runs of entries whose lease has expired.
    fn expire_entry_leases(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut expired: IndexMap<ProcessId, Vec<TaskKey>> = IndexMap::new();
        for (&task, run) in &mut self.runs {
            if run.owner == NO_OWNER || self.owners.has_lease(run.owner, now) {
                continue;
            }
            if run.is_stopping() {
                run.limit_end(now);
            } else {
                expired.entry(run.owner).or_default().push(task);
            }
        }
        for (entry, tasks) in expired {
            let runs = tasks.len() as u64;
            actions.push(Action::Notice(Notice::EntryLapsed { entry, runs }));
            for task in tasks {
                self.stop_expired(now, task, actions);
            }
        }
    }

    fn drain(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.draining = true;
        self.refuse_waiting(now, "the agent is shutting down", actions);
        self.broadcast_description(now, actions);
    }

    /// Performs the work that has become possible or due after an event.
    fn run_due_work(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.expire_worker_lease(now, actions);
        self.stop_expired_runs(now, actions);
        self.end_withdrawn_session(now, actions);
        self.reconcile_attempts(now, actions);
        self.stop_orphans(now, actions);
        self.refuse_oversized(now, actions);
        self.return_queued_if_evacuated(now, actions);
        self.start_waiting(now, actions);
        self.send_stops(now, actions);
        self.renew_lease(now, actions);
        self.call_candidate(now, actions);
        self.report_crashes(now, actions);
        self.send_reports(now, actions);
        self.send_heartbeats(now, actions);
        if now >= self.cleanup_at {
            self.cleanup_at = now + CLEANUP_INTERVAL;
            let retention = self.cfg.ended_run_retention;
            self.ended_runs.retain(|_, record| now < record.at + retention);
            self.owners.remove_idle(now, retention);
            self.crashes.remove_expired(now, self.cfg.crash_retention);
            self.demand.remove_expired(now);
        }
    }

    pub(crate) fn worker_name(&self) -> WorkerName {
        let session = self.session.as_ref();
        session.map_or_else(String::new, |session| session.worker.description.worker.clone())
    }
}

//! State of the agent core, its events from entries, and its timer.

use std::time::{Duration, Instant};

use chestnutfork_types::{
    AttemptKey, EndedRun, EntryToWorker, LinkNumber, ProcessId, Resources, RunEnd, StartOrder, TaskKey,
    TaskOrder, WorkerName, WorkerToEntry,
};
use indexmap::IndexMap;

use crate::claims::Claim;
use crate::clock::WorkerClock;
use crate::config::WorkerConfig;
use crate::event::{Action, Announcement, CallId, Event, FencingToken, ListedEnd, ListedRun, Notice};
use crate::health::Health;
use crate::orders::Call;
use crate::owners::Owners;
use crate::run::{Finished, NO_OWNER, Phase, Run, Stop};

/// Interval of the clean-up of what is remembered.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Conversation with one incarnation of the worker.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) worker: Announcement,
    pub(crate) clock: WorkerClock,
    pub(crate) token: FencingToken,
    /// Whether a hold is on its way.
    pub(crate) holding: bool,
    pub(crate) hold_at: Instant,
    /// Latest end that was taken in.
    pub(crate) seen: u64,
    /// When the first hold of this process was answered.
    pub(crate) synced_at: Option<Instant>,
    pub(crate) replied_at: Instant,
    pub(crate) unanswered: u32,
    pub(crate) available: bool,
    pub(crate) health: Health,
    /// Runs that a former agent process started.
    pub(crate) orphans: Vec<ListedRun>,
    /// Ends of runs that a former agent process started.
    pub(crate) orphan_ends: Vec<ListedEnd>,
}

/// Agent core of one worker.
#[derive(Debug)]
pub struct WorkerCore {
    pub(crate) cfg: WorkerConfig,
    pub(crate) session: Option<Session>,
    pub(crate) owners: Owners,
    pub(crate) runs: IndexMap<TaskKey, Run>,
    pub(crate) finished: IndexMap<TaskKey, Finished>,
    pub(crate) calls: IndexMap<CallId, Call>,
    pub(crate) next_call: CallId,
    /// Claims that wait until it is known what runs.
    pub(crate) claims: Vec<Claim>,
    /// When runs of a former agent process are stopped that no entry has claimed.
    ///
    /// Their entry may have been lost just before that process, and its callers send their jobs again.
    pub(crate) adopt_until: Instant,
    /// When the runs of a former agent process have certainly ended, even if the worker never announces itself.
    pub(crate) former_until: Instant,
    pub(crate) beat_at: Instant,
    pub(crate) report_at: Instant,
    pub(crate) reported: Resources,
    /// Number of reports to all entries, which decides whose turn it is to get a share that cannot be divided.
    pub(crate) turn: u64,
    cleanup_at: Instant,
    /// Time of the last event.
    handled_at: Instant,
    pub(crate) draining: bool,
}

impl WorkerCore {
    /// Starts without a worker.
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
            owners: Owners::default(),
            runs: IndexMap::new(),
            finished: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 0,
            claims: Vec::new(),
            adopt_until: now + cfg.claim_window,
            former_until: now + cfg.worker_lease_expiry(),
            beat_at: now,
            report_at: now,
            reported: Resources::default(),
            turn: 0,
            cleanup_at: now,
            handled_at: now,
            draining: false,
        }
    }

    /// Returns the number of runs that have not ended.
    #[must_use]
    pub fn runs_in_progress(&self) -> usize {
        self.runs.len()
    }

    /// Reports whether the process may end: it drains, nothing runs and every report is delivered.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let delivered = self
            .owners
            .iter()
            .all(|(_, owner)| owner.outbox.is_empty() || owner.link.is_none());
        self.draining && self.runs.is_empty() && delivered
    }

    /// Takes in one event.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.handled_at = now;
        // After a pause of this process, ended leases take effect before the orders that waited in its buffers.
        self.expire_leases(now, actions);
        match event {
            Event::Tick => {}
            Event::Announced(announcement) => self.on_announced(now, announcement, actions),
            Event::Withdrawn(worker) => self.on_withdrawn(now, &worker, actions),
            Event::EntryUp { link, entry } => self.on_entry_up(now, link, entry, actions),
            Event::EntryDown { link } => {
                self.owners.down(link);
            }
            Event::FromEntry { link, message } => self.on_entry_message(now, link, message, actions),
            Event::Replied { call, reply } => self.on_reply(now, call, reply, actions),
            Event::Drain => self.drain(now, actions),
        }
        self.settle(now, actions);
        debug_assert_eq!(self.verify(), [], "the verifier finds no violation");
    }

    /// Returns the time at which the core wants an [`Event::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        let report = self.load_changed().then_some(self.report_at);
        let runs = self.runs.values().filter_map(|run| match run.phase {
            Phase::Waiting { not_before } => Some(not_before),
            Phase::Stopping(stop) if stop.call.is_none() && stop.confirmed_at.is_none() => {
                Some(stop.retry_at)
            }
            _ => None,
        });
        let busy = !self.runs.is_empty();
        let leases = self.owners.iter().filter_map(|(_, owner)| owner.lease_until);
        let leases = leases.filter(|_| busy);
        let session = self.session.as_ref();
        let hold = session.filter(|session| !session.holding && self.needs_hold());
        let hold = hold.map(|session| session.hold_at);
        let lapse = session.filter(|_| self.has_started());
        let lapse = lapse.map(|session| session.clock.latest_expiry());
        let adoption = session.and_then(|session| self.adoption_ends(session));
        let claims = (!self.claims.is_empty()).then_some(self.former_until);
        let due = runs.chain(leases).chain(report).chain(hold);
        let due = due.chain(lapse).chain(adoption).chain(claims);
        // What was due at the last event has been done, or waits for something else than the time.
        let due = due.filter(|&at| at > self.handled_at);
        due.fold(self.beat_at.min(self.cleanup_at), Instant::min)
    }

    pub(crate) fn has_started(&self) -> bool {
        self.runs.values().any(|run| !run.is_waiting())
    }

    fn on_announced(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<Action>) {
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
            self.lose_worker(now, actions);
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
            self.describe_to_all(actions);
        }
    }

    fn begin_session(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<Action>) {
        let description = &announcement.description;
        actions.push(Action::Notice(Notice::WorkerJoined {
            worker: description.worker.clone(),
            pool: description.pool.clone(),
            cpu_millis: description.capacity.cpu_millis,
        }));
        let clock = announcement.clock;
        self.session = Some(Session {
            clock: WorkerClock::new(now, clock),
            // The worker's clock only rises, so a later process of this agent has a higher token.
            token: u64::try_from(clock.as_millis()).unwrap_or(u64::MAX),
            worker: announcement,
            holding: false,
            hold_at: now,
            seen: 0,
            synced_at: None,
            replied_at: now,
            unanswered: 0,
            available: true,
            health: Health::default(),
            orphans: Vec::new(),
            orphan_ends: Vec::new(),
        });
        self.describe_to_all(actions);
    }

    fn on_withdrawn(&mut self, now: Instant, worker: &WorkerName, actions: &mut Vec<Action>) {
        let current = self
            .session
            .as_ref()
            .map(|session| &session.worker.description.worker);
        if current == Some(worker) {
            self.lose_worker(now, actions);
            self.describe_to_all(actions);
        }
    }

    /// Ends everything that ran on an incarnation that is gone.
    fn lose_worker(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(session) = self.session.take() else {
            return;
        };
        self.calls.clear();
        let tasks: Vec<TaskKey> = self.runs.keys().copied().collect();
        let lost = tasks.len() as u64;
        for task in tasks {
            let waiting = self.runs.get(&task).is_some_and(Run::is_waiting);
            let end = if waiting { RunEnd::NotStarted } else { RunEnd::Lost };
            self.finish(now, task, end, actions);
        }
        self.finished.clear();
        let worker = session.worker.description.worker;
        actions.push(Action::Notice(Notice::WorkerGone { worker, lost }));
    }

    fn on_entry_up(&mut self, now: Instant, link: LinkNumber, entry: ProcessId, actions: &mut Vec<Action>) {
        self.owners.up(link, entry);
        actions.push(Action::ToEntry(link, WorkerToEntry::Describe(self.description())));
        let number = self.owners.beat(now);
        let load = self.load(now, entry);
        actions.push(Action::ToEntry(link, WorkerToEntry::Beat(number, load)));
    }

    fn on_entry_message(
        &mut self,
        now: Instant,
        link: LinkNumber,
        message: EntryToWorker,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.owners.behind(link) else {
            return;
        };
        match message {
            EntryToWorker::Heard(beat) => self.owners.heard(entry, beat, self.cfg.entry_lease),
            EntryToWorker::Start(order) => self.on_start(now, entry, &order, actions),
            EntryToWorker::Stop(keys) => {
                for key in keys {
                    self.stop_attempt(now, entry, key, actions);
                }
            }
            EntryToWorker::Claim { keep, stop } => {
                let claim = |wanted| move |key| Claim { entry, key, wanted };
                self.claims.extend(keep.into_iter().map(claim(true)));
                self.claims.extend(stop.into_iter().map(claim(false)));
                self.settle_claims(now, actions);
            }
        }
    }

    fn on_start(&mut self, now: Instant, entry: ProcessId, order: &StartOrder, actions: &mut Vec<Action>) {
        self.owners.heard(entry, order.heard, self.cfg.entry_lease);
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.ordered = owner.ordered.max(order.number);
            owner.ordered_at = Some(now);
        }
        let refusal = self.refusal(now, entry);
        for &task in &order.tasks {
            let busy = self.runs.contains_key(&task.key.task);
            match refusal.or(busy.then_some("another run of the task has not ended")) {
                Some(reason) => self.refuse(entry, task.key, reason, actions),
                None => self.accept(now, entry, order, task),
            }
        }
    }

    /// Returns why no order of an entry can be carried out now.
    fn refusal(&self, now: Instant, entry: ProcessId) -> Option<&'static str> {
        let session = self.session.as_ref();
        if !self.owners.has_lease(entry, now) {
            return Some("the order is older than the entry's lease");
        }
        if self.draining {
            return Some("the agent is stopping");
        }
        match session {
            None => Some("the worker is gone"),
            Some(session) if session.worker.description.leaving => Some("the worker is leaving"),
            Some(session) if !session.available => Some("the worker does not answer"),
            Some(_) => None,
        }
    }

    fn accept(&mut self, now: Instant, owner: ProcessId, order: &StartOrder, task: TaskOrder) {
        let last = self
            .finished
            .get(&task.key.task)
            .map_or(0, |finished| finished.number);
        let run = Run {
            key: task.key,
            owner,
            number: u64::from(task.key.attempt).max(last + 1),
            resources: task.resources,
            declared: task.declared,
            urgent_at: now + order.urgency,
            spec: order.spec.clone(),
            phase: Phase::Waiting { not_before: now },
            started_at: None,
            refused: 0,
        };
        self.runs.insert(task.key.task, run);
    }

    fn refuse(&mut self, entry: ProcessId, key: AttemptKey, reason: &'static str, actions: &mut Vec<Action>) {
        actions.push(Action::Notice(Notice::StartRefused { key, reason }));
        let ended = EndedRun {
            key,
            end: RunEnd::NotStarted,
            ran: Duration::ZERO,
        };
        self.report(entry, ended);
    }

    pub(crate) fn report(&mut self, entry: ProcessId, ended: EndedRun) {
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.outbox.push(ended);
        }
    }

    pub(crate) fn stop_attempt(
        &mut self,
        now: Instant,
        entry: ProcessId,
        key: AttemptKey,
        actions: &mut Vec<Action>,
    ) {
        let known = self
            .runs
            .get(&key.task)
            .is_some_and(|run| run.key == key && run.owner == entry);
        if known {
            self.stop(now, key.task, RunEnd::Stopped, actions);
        }
        let claims = self.claims.iter_mut();
        for claim in claims.filter(|claim| claim.entry == entry && claim.key == key) {
            claim.wanted = false;
        }
    }

    /// Stops a run; one that still waits ends at once.
    pub(crate) fn stop(&mut self, now: Instant, task: TaskKey, unlisted: RunEnd, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        match run.phase {
            Phase::Waiting { .. } => self.finish(now, task, RunEnd::NotStarted, actions),
            Phase::Stopping(_) => {}
            Phase::Starting { .. } | Phase::Unsure { .. } | Phase::Running { .. } => {
                run.phase = Phase::Stopping(Stop::begin(now, unlisted));
            }
        }
    }

    /// Ends a run and reports it to its owner.
    pub(crate) fn finish(&mut self, now: Instant, task: TaskKey, end: RunEnd, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.swap_remove(&task) else {
            return;
        };
        let ran = run.ran(now);
        let ended = EndedRun {
            key: run.key,
            end,
            ran,
        };
        if end != RunEnd::Completed {
            let key = run.key;
            actions.push(Action::Notice(Notice::RunEnded { key, end, ran }));
        }
        if !run.is_waiting() {
            let number = run.number;
            self.finished.insert(
                task,
                Finished {
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

    fn refuse_waiting(&mut self, now: Instant, reason: &'static str, actions: &mut Vec<Action>) {
        let waiting = self.runs.values().filter(|run| run.is_waiting());
        let keys: Vec<AttemptKey> = waiting.map(|run| run.key).collect();
        for key in keys {
            actions.push(Action::Notice(Notice::StartRefused { key, reason }));
            self.finish(now, key.task, RunEnd::NotStarted, actions);
        }
    }

    /// Stops the runs of entries whose lease has ended.
    fn expire_leases(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut lapsed: IndexMap<ProcessId, Vec<TaskKey>> = IndexMap::new();
        for (&task, run) in &self.runs {
            let stopping = run.is_stopping();
            if run.owner != NO_OWNER && !stopping && !self.owners.has_lease(run.owner, now) {
                lapsed.entry(run.owner).or_default().push(task);
            }
        }
        for (entry, tasks) in lapsed {
            let runs = tasks.len() as u64;
            actions.push(Action::Notice(Notice::EntryLapsed { entry, runs }));
            for task in tasks {
                self.stop(now, task, RunEnd::Stopped, actions);
            }
        }
    }

    fn drain(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.draining = true;
        self.refuse_waiting(now, "the agent is stopping", actions);
        self.describe_to_all(actions);
    }

    /// Does what has become possible or due after an event.
    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.lapse_runs(now, actions);
        self.settle_claims(now, actions);
        self.stop_orphans(now, actions);
        self.start_waiting(now, actions);
        self.repeat_stops(now, actions);
        self.hold(now, actions);
        self.deliver(now, actions);
        self.beat(now, actions);
        if now >= self.cleanup_at {
            self.cleanup_at = now + CLEANUP_INTERVAL;
            let memory = self.cfg.ended_run_retention;
            self.finished.retain(|_, finished| now < finished.at + memory);
            self.owners.forget_idle(now, memory);
        }
    }

    pub(crate) fn worker_name(&self) -> WorkerName {
        let session = self.session.as_ref();
        session.map_or_else(String::new, |session| session.worker.description.worker.clone())
    }
}

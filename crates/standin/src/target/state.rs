//! State machine of a simulated target, without sockets or a clock of its own.

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chestnutfork_types::{CreditId, TaskIndex};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use super::behaviour::{Behaviour, BehaviourChange, Mode};
use super::journal::{Journal, JournalEntry, RunOutcome};
use super::payload::TaskPayload;

/// Number of stopped tasks that are remembered, so that a late copy of their dispatch does not start.
const MAX_STOPPED: usize = 4_096;

/// Number of one run at this target.
pub(super) type RunId = u64;

/// Order to run one task.
#[derive(Debug)]
pub(super) struct Order {
    /// Job of the task.
    pub job: Uuid,
    /// Index of the task.
    pub task: TaskIndex,
    /// Credit that the dispatch named.
    pub credit: CreditId,
    /// Input of the task.
    pub payload: TaskPayload,
}

/// End of a run, for the caller of `POST /task`.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunEnd {
    /// The task completed; its output repeats the echo.
    Completed {
        /// Text from the payload.
        echo: String,
    },
    /// The task failed.
    Failed {
        /// Reason in words.
        reason: &'static str,
    },
    /// The task was stopped on request, or had been before it arrived.
    Stopped,
    /// Every slot is taken.
    NoSlot,
}

/// Answer to an order.
#[derive(Debug)]
pub(super) enum Started {
    /// The task runs; its end follows.
    Running(RunId),
    /// The task ended at once or did not start.
    Ended(RunEnd),
}

/// One running task.
#[derive(Debug)]
struct Run {
    order: Order,
    position: Option<usize>,
    due: Instant,
}

/// State of a simulated target.
#[derive(Debug)]
pub(super) struct State {
    behaviour: Behaviour,
    changed_at: Instant,
    rng: ChaCha8Rng,
    anchor: (Instant, Duration),
    next_run: RunId,
    running: IndexMap<RunId, Run>,
    due: BTreeSet<(Instant, RunId)>,
    stopped: IndexSet<(Uuid, TaskIndex)>,
    journal: Journal,
}

impl State {
    /// Creates the state of an idle target.
    pub fn new(now: Instant, seed: u64, behaviour: Behaviour, journal: Journal) -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            behaviour,
            changed_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            anchor: (now, epoch),
            next_run: 0,
            running: IndexMap::new(),
            due: BTreeSet::new(),
            stopped: IndexSet::new(),
            journal,
        }
    }

    /// Returns the journal.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the present behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.behaviour
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Changes the behaviour.
    pub fn change(&mut self, now: Instant, change: BehaviourChange) {
        let after = change.apply(self.behaviour);
        if after.leaving && !self.behaviour.leaving {
            self.journal.leaving_since_us = Some(self.micros(now));
        }
        if !after.leaving {
            self.journal.leaving_since_us = None;
        }
        self.journal.speed = after.speed;
        self.behaviour = after;
        self.changed_at = now;
    }

    /// Starts a task, unless every slot is taken or the task was stopped before.
    pub fn start(&mut self, now: Instant, order: Order) -> Started {
        if self.stopped.contains(&(order.job, order.task)) {
            self.record(now, &order, Some(RunOutcome::Refused));
            return Started::Ended(RunEnd::Stopped);
        }
        if self.running.len() >= usize::try_from(self.journal.slots).unwrap_or(usize::MAX) {
            self.record(now, &order, Some(RunOutcome::Refused));
            return Started::Ended(RunEnd::NoSlot);
        }
        if self.fails_at_once(now) {
            self.record(now, &order, Some(RunOutcome::Failed));
            let reason = "the target fails every task";
            return Started::Ended(RunEnd::Failed { reason });
        }
        let run_time = self.run_time(&order.payload);
        let hangs = self.behaviour.mode == Mode::Hang;
        if run_time.is_zero() && !hangs {
            let end = Self::natural_end(&order.payload);
            self.record(now, &order, Some(Self::outcome(&end)));
            return Started::Ended(end);
        }
        Started::Running(self.begin(now, order, run_time))
    }

    /// Stops every run of a task and returns the runs, whose ends follow from [`State::collect`].
    pub fn stop(&mut self, now: Instant, job: Uuid, task: TaskIndex, runs: &mut Vec<RunId>) {
        if self.stopped.len() >= MAX_STOPPED {
            self.stopped.shift_remove_index(0);
        }
        self.stopped.insert((job, task));
        for (&id, run) in &mut self.running {
            if run.order.job == job && run.order.task == task {
                self.due.remove(&(run.due, id));
                run.due = now;
                self.due.insert((now, id));
                runs.push(id);
            }
        }
    }

    /// Returns the time at which the next run ends.
    pub fn next_wakeup(&self) -> Option<Instant> {
        if self.behaviour.mode == Mode::Hang {
            return None;
        }
        self.due.first().map(|&(at, _)| at)
    }

    /// Ends the runs that are due and appends their ends.
    pub fn collect(&mut self, now: Instant, ends: &mut Vec<(RunId, Order, RunEnd)>) {
        if self.behaviour.mode == Mode::Hang {
            return;
        }
        while let Some(&(at, id)) = self.due.first() {
            if at > now {
                return;
            }
            self.due.pop_first();
            let Some(run) = self.running.swap_remove(&id) else {
                continue;
            };
            let end = self.end_of(&run.order);
            self.journal
                .end(run.position, self.micros(now), Self::outcome(&end));
            ends.push((id, run.order, end));
        }
    }

    fn begin(&mut self, now: Instant, order: Order, run_time: Duration) -> RunId {
        let position = self.record(now, &order, None);
        let id = self.next_run;
        self.next_run += 1;
        let due = now + run_time;
        self.due.insert((due, id));
        let run = Run { order, position, due };
        self.running.insert(id, run);
        id
    }

    fn end_of(&self, order: &Order) -> RunEnd {
        if self.stopped.contains(&(order.job, order.task)) {
            return RunEnd::Stopped;
        }
        Self::natural_end(&order.payload)
    }

    fn natural_end(payload: &TaskPayload) -> RunEnd {
        if payload.fail {
            let reason = "the payload asks for a failure";
            return RunEnd::Failed { reason };
        }
        let echo = payload.echo.clone();
        RunEnd::Completed { echo }
    }

    fn outcome(end: &RunEnd) -> RunOutcome {
        match end {
            RunEnd::Completed { .. } => RunOutcome::Completed,
            RunEnd::Failed { .. } => RunOutcome::Failed,
            RunEnd::Stopped => RunOutcome::Stopped,
            RunEnd::NoSlot => RunOutcome::Refused,
        }
    }

    fn record(&mut self, now: Instant, order: &Order, outcome: Option<RunOutcome>) -> Option<usize> {
        let at_us = self.micros(now);
        self.journal.push(JournalEntry {
            job: order.job,
            task: order.task,
            credit: order.credit,
            at_us,
            end_us: outcome.map(|_| at_us),
            outcome,
        })
    }

    fn run_time(&mut self, payload: &TaskPayload) -> Duration {
        let lengthened = 1.0 + self.behaviour.jitter * self.rng.random::<f64>();
        let seconds = payload.run_ms / 1_000.0 * lengthened / self.behaviour.speed;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    fn fails_at_once(&self, now: Instant) -> bool {
        match self.behaviour.mode {
            Mode::BlackHole => true,
            Mode::Flapping => {
                let period = Duration::from_millis(self.behaviour.flap_ms.max(1));
                let elapsed = now.saturating_duration_since(self.changed_at);
                (elapsed.as_nanos() / period.as_nanos()) % 2 == 1
            }
            Mode::Normal | Mode::Hang | Mode::Silent => false,
        }
    }

    fn micros(&self, now: Instant) -> u64 {
        let (start, epoch) = self.anchor;
        let since_epoch = epoch + now.saturating_duration_since(start);
        u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
    }
}

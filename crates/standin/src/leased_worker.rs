//! Model of a worker of leased runs: leases on its own clock, fencing, run numbers and lists of ends.
//!
//! It has no sockets and no clock of its own. Randomised runs drive it directly; the fault soak puts an HTTP server before
//! it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chestnutfork_types::{RunNumber, RunOutcome, TaskKey};
use chestnutfork_worker::{CallOutcome, ListedEnd, ListedRun, Order, Refusal, Reply, RunList};

/// Time that a stopped run goes on, at most.
const STOP_TIME: Duration = Duration::from_millis(50);
/// Longest lease that the worker grants.
const LONGEST_LEASE: Duration = Duration::from_secs(1);
/// Runs that fit.
const ROOM: usize = 6;

/// Run in progress.
#[derive(Clone, Copy, Debug)]
struct Active {
    number: RunNumber,
    ends_at: Instant,
    end: RunOutcome,
}

/// Run that has ended, for those who compare the runs of all workers.
#[derive(Clone, Copy, Debug)]
pub struct PastRun {
    /// The run.
    pub run: ListedRun,
    /// How it ended.
    pub end: RunOutcome,
    /// When it ended, which may be before the worker noticed.
    pub at: Instant,
}

/// Worker of one incarnation.
#[derive(Debug)]
pub struct LeasedWorker {
    /// Number of the incarnation.
    pub incarnation: u64,
    started_at: Instant,
    /// Share of real time that the clock shows, at least 0.98.
    rate: f64,
    lease_until: Duration,
    token: u64,
    active: HashMap<TaskKey, Active>,
    highest: HashMap<TaskKey, RunNumber>,
    ended: Vec<ListedEnd>,
    last_end: u64,
    past: Vec<PastRun>,
}

impl LeasedWorker {
    /// Starts an incarnation whose clock shows the given share of real time.
    #[must_use]
    pub fn new(now: Instant, incarnation: u64, rate: f64) -> Self {
        Self {
            incarnation,
            started_at: now,
            rate,
            lease_until: Duration::ZERO,
            token: 0,
            active: HashMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            past: Vec::new(),
        }
    }

    /// Returns what its clock shows.
    #[must_use]
    pub fn clock(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at).mul_f64(self.rate)
    }

    /// Ends what has ended by itself, by a stop or by the end of the lease.
    pub fn advance(&mut self, now: Instant) {
        let lapsed = self.clock(now) >= self.lease_until;
        let lapsed_at = self.started_at + self.lease_until.div_f64(self.rate);
        let over: Vec<TaskKey> = self
            .active
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(&task, _)| task)
            .collect();
        for task in over {
            if let Some(run) = self.active.remove(&task) {
                let in_time = run.ends_at <= now && (!lapsed || run.ends_at <= lapsed_at);
                let (end, at) = if in_time {
                    (run.end, run.ends_at)
                } else {
                    (RunOutcome::Lost, lapsed_at)
                };
                self.list_end(task, run.number, end, at);
            }
        }
    }

    /// Reports whether a run of a task is in progress.
    #[must_use]
    pub fn is_running(&self, task: TaskKey) -> bool {
        self.active.contains_key(&task)
    }

    /// Iterates over the tasks with a run in progress.
    pub fn running(&self) -> impl Iterator<Item = TaskKey> + '_ {
        self.active.keys().copied()
    }

    /// Carries out an order; a start runs for `work` and then ends as given.
    pub fn carry_out(&mut self, now: Instant, order: &Order, work: Duration, end: RunOutcome) -> Reply {
        self.advance(now);
        let outcome = match *order {
            Order::Start { token, .. } | Order::Stop { token, .. } | Order::RenewLease { token, .. }
                if token < self.token =>
            {
                CallOutcome::Refused(Refusal::Fenced)
            }
            Order::Start {
                task,
                run,
                until,
                token,
                ..
            } => {
                self.token = token;
                self.start(now, task, run, until, work, end)
            }
            Order::Stop { task, run, token } => {
                self.token = token;
                self.stop(now, task, run)
            }
            Order::RenewLease {
                until,
                last_received_end,
                token,
                ..
            } => {
                self.token = token;
                if let Some(until) = until {
                    self.extend(now, until);
                }
                self.ended.retain(|end| end.number > last_received_end);
                CallOutcome::LeaseRenewed(self.lists())
            }
        };
        Reply {
            clock: Some(self.clock(now)),
            started_at: None,
            outcome,
        }
    }

    fn extend(&mut self, now: Instant, until: Duration) {
        let longest = self.clock(now) + LONGEST_LEASE;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    fn start(
        &mut self,
        now: Instant,
        task: TaskKey,
        number: RunNumber,
        until: Duration,
        work: Duration,
        end: RunOutcome,
    ) -> CallOutcome {
        if self.active.get(&task).is_some_and(|run| run.number == number) {
            return CallOutcome::Done;
        }
        if until <= self.clock(now) {
            return CallOutcome::Refused(Refusal::LeaseExpired);
        }
        self.extend(now, until);
        if number <= self.highest.get(&task).copied().unwrap_or(0) {
            return CallOutcome::Refused(Refusal::StaleRun);
        }
        if self.active.len() >= ROOM {
            return CallOutcome::Refused(Refusal::InsufficientCapacity);
        }
        let ends_at = now + work;
        self.active.insert(task, Active { number, ends_at, end });
        CallOutcome::Done
    }

    fn stop(&mut self, now: Instant, task: TaskKey, number: RunNumber) -> CallOutcome {
        let highest = self.highest.entry(task).or_default();
        *highest = number.max(*highest);
        if let Some(run) = self.active.get_mut(&task).filter(|run| run.number <= number)
            && run.ends_at > now + STOP_TIME
        {
            run.ends_at = now + STOP_TIME;
            run.end = RunOutcome::Stopped;
        }
        CallOutcome::Done
    }

    /// Returns the runs that have ended since the last call.
    pub fn take_past(&mut self) -> Vec<PastRun> {
        std::mem::take(&mut self.past)
    }

    /// Lists the runs in progress and the ends that have not been acknowledged.
    #[must_use]
    pub fn lists(&self) -> RunList {
        let running = self.active.iter().map(|(&task, run)| ListedRun {
            task,
            number: run.number,
        });
        RunList {
            running: running.collect(),
            ended: self.ended.clone(),
            truncated: false,
        }
    }

    fn list_end(&mut self, task: TaskKey, number: RunNumber, end: RunOutcome, at: Instant) {
        let highest = self.highest.entry(task).or_default();
        *highest = number.max(*highest);
        self.last_end += 1;
        let run = ListedRun { task, number };
        self.past.push(PastRun { run, end, at });
        self.ended.push(ListedEnd {
            number: self.last_end,
            run,
            outcome: end,
        });
    }
}

//! Stops of runs, and the times at which runs are stopped or must have ended.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, ProcessId, RunOutcome, TaskKey};

use crate::core::WorkerCore;
use crate::event::{Action, Evidence};
use crate::reconcile::ListedAttempt;
use crate::run::{Phase, Run, Stop, earliest};

/// Time before the latest end of a run at which it is stopped: a call to the worker, and the 50 ms that a stop takes.
const STOP_LEAD_TIME: Duration = Duration::from_millis(80);

impl WorkerCore {
    /// Sets when an attempt, or the run that is yet to be found for it, is stopped at the latest.
    pub(crate) fn limit_attempt(&mut self, entry: ProcessId, key: AttemptKey, stop_at: Instant) {
        if let Some(run) = self.run_of(entry, key) {
            run.stop_at = Some(earliest(run.stop_at, stop_at));
        }
        for attempt in self.unreconciled_of(entry, key) {
            attempt.stop_at = Some(earliest(attempt.stop_at, stop_at));
        }
    }

    /// Sets when an attempt, or the run that is yet to be found for it, must have ended.
    pub(crate) fn limit_end(&mut self, entry: ProcessId, key: AttemptKey, end_by: Instant) {
        if let Some(run) = self.run_of(entry, key) {
            run.limit_end(end_by);
        }
        for attempt in self.unreconciled_of(entry, key) {
            attempt.end_by = Some(earliest(attempt.end_by, end_by));
        }
    }

    fn run_of(&mut self, entry: ProcessId, key: AttemptKey) -> Option<&mut Run> {
        let run = self.runs.get_mut(&key.task);
        run.filter(|run| run.key == key && run.owner == entry)
    }

    fn unreconciled_of(
        &mut self,
        entry: ProcessId,
        key: AttemptKey,
    ) -> impl Iterator<Item = &mut ListedAttempt> {
        let unreconciled = self.unreconciled.iter_mut();
        unreconciled.filter(move |attempt| attempt.entry == entry && attempt.attempt.key == key)
    }

    /// Stops the run of an attempt, or the run that is yet to be found for it.
    pub(crate) fn stop_attempt(
        &mut self,
        now: Instant,
        entry: ProcessId,
        key: AttemptKey,
        actions: &mut Vec<Action>,
    ) {
        if self.run_of(entry, key).is_some() {
            self.stop(now, key.task, actions);
        }
        for attempt in self.unreconciled_of(entry, key) {
            attempt.keep = false;
        }
    }

    /// Stops a run; a waiting run ends immediately.
    pub(crate) fn stop(&mut self, now: Instant, task: TaskKey, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.is_waiting() {
            self.end_run(now, task, RunOutcome::NotStarted, Evidence::NotOrdered, actions);
            return;
        }
        if !run.is_stopping() {
            run.phase = Phase::Stopping(Stop::begin(now, RunOutcome::Stopped));
        }
    }

    /// Stops a run whose time has expired, so that the worker's lease is not renewed before the stop is confirmed.
    pub(crate) fn stop_expired(&mut self, now: Instant, task: TaskKey, actions: &mut Vec<Action>) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.limit_end(now);
        }
        self.stop(now, task, actions);
    }

    /// Stops the runs whose time limit has passed; their entry may be paused, and their callers may have submitted elsewhere.
    ///
    /// Without a limit on its end, such a run has to end as soon as possible.
    pub(crate) fn stop_expired_runs(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let expired = self
            .runs
            .iter()
            .filter(|(_, run)| !run.is_stopping() && run.stop_at.is_some_and(|at| at <= now));
        let expired: Vec<TaskKey> = expired.map(|(&task, _)| task).collect();
        for task in expired {
            if let Some(run) = self.runs.get_mut(&task) {
                run.end_by.get_or_insert(now);
            }
            self.stop(now, task, actions);
        }
    }
}

/// Returns when a run is stopped that must have ended at the given time.
pub(crate) fn stop_time(now: Instant, end_by: Instant) -> Instant {
    end_by.checked_sub(STOP_LEAD_TIME).map_or(now, |at| at.max(now))
}

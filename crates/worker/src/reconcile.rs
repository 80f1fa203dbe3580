//! Reconciliation of the attempts that entries list with the runs on the worker, including runs started by an earlier
//! agent process.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, EndedRun, ProcessId, Resources, RunOutcome};

use crate::core::WorkerCore;
use crate::event::{Action, ListedRun};
use crate::run::{Phase, Run};

/// Attempt that an entry listed in an `EntryToWorker::Reconcile` message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedAttempt {
    pub(crate) entry: ProcessId,
    pub(crate) key: AttemptKey,
    /// Whether the entry wants the attempt to continue; otherwise it is stopped.
    pub(crate) keep: bool,
}

impl WorkerCore {
    /// Reconciles the attempts listed by entries, once the worker's runs are known.
    ///
    /// An attempt without a run is reported as ended, and one that its entry no longer wants is stopped.
    pub(crate) fn reconcile_attempts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let known = match &self.session {
            Some(session) => session.synced_at.is_some(),
            None => now >= self.former_runs_expire_at,
        };
        if !known {
            return;
        }
        for attempt in std::mem::take(&mut self.unreconciled) {
            self.reconcile_attempt(now, attempt.entry, attempt.key, actions);
            if !attempt.keep {
                self.stop_attempt(now, attempt.entry, attempt.key, actions);
            }
        }
    }

    fn reconcile_attempt(
        &mut self,
        now: Instant,
        entry: ProcessId,
        key: AttemptKey,
        actions: &mut Vec<Action>,
    ) {
        if self.runs.get(&key.task).is_some_and(|run| run.key == key) {
            return;
        }
        if let Some(record) = self
            .ended_runs
            .get(&key.task)
            .filter(|record| record.ended.key == key)
        {
            let ended = record.ended;
            self.report(entry, ended);
            return;
        }
        if let Some(session) = self.session.as_mut() {
            let orphan = session.orphans.iter().position(|run| run.task == key.task);
            if let Some(run) = orphan.map(|at| session.orphans.swap_remove(at)) {
                self.adopt(now, entry, key, run);
                return;
            }
            let listed = session
                .orphan_ends
                .iter()
                .position(|end| end.run.task == key.task);
            if let Some(listed) = listed.map(|at| session.orphan_ends.swap_remove(at)) {
                self.adopt(now, entry, key, listed.run);
                self.end_run(now, key.task, listed.outcome, actions);
                return;
            }
        }
        self.record_missing(now, key.task, actions);
        let ended = EndedRun {
            key,
            outcome: RunOutcome::Lost,
            run_time: Duration::ZERO,
        };
        self.report(entry, ended);
    }

    /// Takes over a run that an earlier agent process started.
    pub(crate) fn adopt(&mut self, now: Instant, owner: ProcessId, key: AttemptKey, listed: ListedRun) {
        let run = Run {
            key,
            owner,
            number: listed.number,
            resources: Resources::default(),
            declared_run_time: Duration::ZERO,
            objective_at: now,
            spec: bytes::Bytes::new(),
            phase: Phase::Running { since: now },
            started_at: Some(now),
            refusals: 0,
        };
        self.runs.insert(key.task, run);
    }
}

//! Reconciliation of the attempts that entries list with the runs on the worker, including runs started by an earlier
//! agent process.

use std::time::{Duration, Instant};

use chestnutfork_types::{EndedRun, ProcessId, RecordedAttempt, Resources, RunOutcome};

use crate::core::WorkerCore;
use crate::event::{Action, Evidence, ListedRun};
use crate::run::{NO_OWNER, Phase, Run};
use crate::session::Session;

/// Resources of a run that are not known; they exceed every capacity.
const UNKNOWN_RESOURCES: Resources = Resources {
    cpu_millis: u64::MAX,
    memory_mb: u64::MAX,
    gpus: u64::MAX,
};

/// Attempt that an entry listed in an `EntryToWorker::Reconcile` message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedAttempt {
    pub(crate) entry: ProcessId,
    pub(crate) attempt: RecordedAttempt,
    /// Whether the entry wants the attempt to continue; otherwise it is stopped.
    pub(crate) keep: bool,
    /// When the entry wants the run to be stopped, if it has said so.
    pub(crate) stop_at: Option<Instant>,
    /// When the run must have ended, if the entry has limited its end.
    pub(crate) end_by: Option<Instant>,
}

impl WorkerCore {
    /// Reconciles the attempts listed by entries, once the worker's runs are known.
    ///
    /// An attempt without a run is reported as ended, and one that its entry no longer wants is stopped.
    pub(crate) fn reconcile_attempts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let synced = |session: &Session| session.synced_at.is_some();
        // No lease is renewed before the first list, so the runs of an earlier process end even if no list arrives.
        let known = self.session.as_ref().is_some_and(synced) || now >= self.former_runs_expire_at;
        if !known {
            return;
        }
        for listed in std::mem::take(&mut self.unreconciled) {
            if !self.reconcile_attempt(now, listed.entry, listed.attempt, actions) {
                self.unreconciled.push(listed);
                continue;
            }
            let (entry, key) = (listed.entry, listed.attempt.key);
            if let Some(stop_at) = listed.stop_at {
                self.limit_attempt(entry, key, stop_at);
            }
            if let Some(end_by) = listed.end_by {
                self.limit_end(entry, key, end_by);
            }
            if !listed.keep {
                // The stop was ordered before this link opened, so its time may have expired.
                self.limit_end(entry, key, now);
                self.stop_attempt(now, entry, key, actions);
            }
        }
    }

    /// Returns whether the attempt is reconciled; it is not while another run of its task may be the attempt's.
    fn reconcile_attempt(
        &mut self,
        now: Instant,
        entry: ProcessId,
        attempt: RecordedAttempt,
        actions: &mut Vec<Action>,
    ) -> bool {
        let key = attempt.key;
        if let Some(run) = self.runs.get_mut(&key.task) {
            if run.owner == NO_OWNER {
                // The run is being stopped, because no entry had listed it in time. Its end is reported to this one.
                run.owner = entry;
                run.key = key;
                run.resources = attempt.resources.unwrap_or(run.resources);
            }
            return run.key == key && run.owner == entry;
        }
        if let Some(record) = self
            .ended_runs
            .get(&key.task)
            .filter(|record| record.ended.key == key)
        {
            let ended = record.ended;
            self.report(entry, ended);
            return true;
        }
        if let Some(session) = self.session.as_mut() {
            let orphan = session.orphans.iter().position(|run| run.task == key.task);
            if let Some(run) = orphan.map(|at| session.orphans.swap_remove(at)) {
                self.adopt(now, entry, attempt, run);
                return true;
            }
            let listed = session
                .orphan_ends
                .iter()
                .position(|end| end.run.task == key.task);
            if let Some(listed) = listed.map(|at| session.orphan_ends.swap_remove(at)) {
                self.adopt(now, entry, attempt, listed.run);
                self.end_run(now, key.task, listed.outcome, Evidence::Listed, actions);
                return true;
            }
        }
        self.record_missing(now, key.task, actions);
        let ended = EndedRun {
            key,
            outcome: RunOutcome::Lost,
            run_time: Duration::ZERO,
        };
        self.report(entry, ended);
        true
    }

    /// Takes over a run that an earlier agent process started.
    ///
    /// The list of the worker does not state what the run uses. Unless its entry does, nothing starts before its end.
    pub(crate) fn adopt(
        &mut self,
        now: Instant,
        owner: ProcessId,
        attempt: RecordedAttempt,
        listed: ListedRun,
    ) {
        let key = attempt.key;
        let run = Run {
            key,
            owner,
            number: listed.number,
            resources: attempt.resources.unwrap_or(UNKNOWN_RESOURCES),
            declared_run_time: Duration::ZERO,
            objective_at: now,
            stop_at: None,
            end_by: None,
            spec: bytes::Bytes::new(),
            phase: Phase::Running { since: now },
            started_at: Some(now),
            confirmed: true,
            refusals: 0,
            former_incarnation: false,
            kind: None,
        };
        self.runs.insert(key.task, run);
        self.record_excess();
    }
}

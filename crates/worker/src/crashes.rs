//! Losses of the worker, with the tasks that were on it, as reported to all entries.
//!
//! Each entry learns of all crashes, because the job of a task that crashes its workers may be submitted again anywhere. The
//! records are repeated on each new link, so that they outlive the processes of entries; entries keep them when this
//! process ends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{IncarnationNumber, TaskKey, WorkerCrash, WorkerName};

use crate::core::WorkerCore;
use crate::event::{Action, Notice};
use crate::run::Run;
use crate::session::Session;

/// Maximum number of incarnations with records; a worker that is back after 2 s crashes about as often in 30 s.
const MAX_RECORDS: usize = 16;
/// Maximum number of tasks in a record, which keeps a description below the size of a frame.
const MAX_TASKS: usize = 256;

/// Task that was on an incarnation when it was lost.
#[derive(Clone, Copy, Debug)]
struct LostTask {
    task: TaskKey,
    lost_at: Instant,
    /// Whether the incarnation has certainly crashed.
    confirmed: bool,
}

/// Losses of one incarnation of the worker.
#[derive(Clone, Debug)]
struct Record {
    incarnation: IncarnationNumber,
    worker: WorkerName,
    tasks: Vec<LostTask>,
}

/// Recent losses of the worker.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    records: VecDeque<Record>,
    /// Number of the current incarnation.
    incarnation: IncarnationNumber,
    /// Whether the entries have not been told of the latest change.
    changed: bool,
}

impl Crashes {
    /// Ends the record of the current incarnation.
    pub(crate) fn begin_incarnation(&mut self) {
        self.incarnation += 1;
    }

    fn record(&mut self, now: Instant, worker: WorkerName, tasks: Vec<TaskKey>, confirmed: bool) {
        if tasks.is_empty() {
            return;
        }
        self.changed = true;
        let incarnation = self.incarnation;
        if self.records.back().map(|record| record.incarnation) != Some(incarnation) {
            self.records.push_back(Record {
                incarnation,
                worker,
                tasks: Vec::new(),
            });
        }
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
        let Some(record) = self.records.back_mut() else {
            return;
        };
        for task in tasks {
            let lost = LostTask {
                task,
                lost_at: now,
                confirmed,
            };
            if let Some(known) = record.tasks.iter_mut().find(|known| known.task == task) {
                known.lost_at = now;
                known.confirmed |= confirmed;
            } else if record.tasks.len() < MAX_TASKS {
                record.tasks.push(lost);
            }
        }
    }

    /// Returns the tasks of the current incarnation that were lost after its last reply.
    fn unresolved(&self, replied_at: Instant) -> Vec<TaskKey> {
        let current = self
            .records
            .iter()
            .filter(|record| record.incarnation == self.incarnation);
        let tasks = current.flat_map(|record| &record.tasks);
        tasks
            .filter(|lost| lost.lost_at > replied_at)
            .map(|lost| lost.task)
            .collect()
    }

    /// Returns the records in the form in which entries receive them.
    pub(crate) fn reports(&self, now: Instant) -> Vec<WorkerCrash> {
        let mut reports = Vec::new();
        for record in &self.records {
            for confirmed in [true, false] {
                let tasks = record.tasks.iter().filter(|lost| lost.confirmed == confirmed);
                let Some(latest) = tasks.clone().map(|lost| lost.lost_at).max() else {
                    continue;
                };
                reports.push(WorkerCrash {
                    incarnation: record.incarnation,
                    worker: record.worker.clone(),
                    confirmed,
                    age: now.saturating_duration_since(latest),
                    tasks: tasks.map(|lost| lost.task).collect(),
                });
            }
        }
        reports
    }

    pub(crate) fn remove_expired(&mut self, now: Instant, retention: Duration) {
        for record in &mut self.records {
            record.tasks.retain(|lost| now < lost.lost_at + retention);
        }
        self.records.retain(|record| !record.tasks.is_empty());
    }

    /// Notes that all connected entries are told of the records.
    pub(crate) fn mark_reported(&mut self) {
        self.changed = false;
    }
}

impl WorkerCore {
    /// Records that the current incarnation has crashed: another one has shown itself without a withdrawal.
    pub(crate) fn record_crash(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(session) = self.session.as_ref().filter(|session| !session.is_withdrawn()) else {
            return;
        };
        // A crash is noticed only with the next announcement, and by then the leases of its tasks may have expired. If the
        // worker has answered since, it was alive, and those tasks were not on it.
        let mut tasks = self.crashes.unresolved(session.replied_at);
        tasks.extend(session.orphans.iter().map(|run| run.task));
        tasks.extend(self.started_tasks());
        self.record_loss(now, tasks, true, actions);
        self.crashes.begin_incarnation();
    }

    /// Records that the leases of all started runs have expired, if the worker did not answer; returns whether it is so.
    pub(crate) fn record_lapse(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        // A worker that answers is alive; its lease expires because it was not renewed.
        let limit = self.cfg.worker_lease / 2;
        let silent = |session: &Session| !session.is_withdrawn() && now >= session.replied_at + limit;
        if !self.session.as_ref().is_some_and(silent) {
            return false;
        }
        let tasks = self.started_tasks();
        self.record_loss(now, tasks, false, actions);
        true
    }

    /// Records that the run of an attempt which an entry listed is not on the worker.
    ///
    /// An earlier process of this agent was killed before it could report why. The worker may have crashed meanwhile, and the
    /// entry that listed the attempt may be the only process that knows of it.
    pub(crate) fn record_missing(&mut self, now: Instant, task: TaskKey, actions: &mut Vec<Action>) {
        self.record_loss(now, vec![task], false, actions);
    }

    /// Returns the tasks that may be on the current incarnation; those of a former one were recorded with its crash.
    fn started_tasks(&self) -> Vec<TaskKey> {
        let on_current = |run: &Run| !run.is_waiting() && !run.former_incarnation;
        let started = self.runs.iter().filter(|(_, run)| on_current(run));
        started.map(|(&task, _)| task).collect()
    }

    fn record_loss(&mut self, now: Instant, tasks: Vec<TaskKey>, confirmed: bool, actions: &mut Vec<Action>) {
        if tasks.is_empty() {
            return;
        }
        let worker = self.worker_name();
        actions.push(Action::Notice(Notice::WorkerLost {
            worker: worker.clone(),
            confirmed,
            tasks: tasks.clone(),
        }));
        self.crashes.record(now, worker, tasks, confirmed);
    }

    /// Reports new losses to all entries, before the ends of the runs that were lost.
    pub(crate) fn report_crashes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.crashes.changed {
            self.broadcast_description(now, actions);
        }
    }
}

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
use crate::run::{Phase, Run};
use crate::session::Session;

/// Maximum number of incarnations with records; a worker that is back after 2 s crashes about as often in 30 s.
const MAX_RECORDS: usize = 16;
/// Maximum number of tasks in a record, which keeps a description below the size of a frame.
const MAX_TASKS: usize = 256;
/// Maximum number of records of other workers that an agent stores; entries pass on only those of tasks that lost several
/// workers.
const MAX_STORED_LOSSES: usize = 128;
/// Longest time between the latest list of runs and the first sign that the worker has gone for which the listed runs count as
/// in progress at the crash. A list follows each end at once, and a lost call is repeated within this time.
const CRASH_WINDOW: Duration = Duration::from_millis(150);

/// Task that was on an incarnation when it was lost.
#[derive(Clone, Copy, Debug)]
struct LostTask {
    task: TaskKey,
    lost_at: Instant,
    /// Whether the incarnation has certainly crashed under the task.
    confirmed: bool,
    /// Whether the run was certainly in progress when the incarnation ended, if it did not end as planned.
    in_progress: bool,
}

/// Task that is recorded as lost, and whether its run was certainly in progress when the incarnation ended.
#[derive(Clone, Copy, Debug)]
struct LostRun {
    task: TaskKey,
    in_progress: bool,
}

/// Losses of one incarnation of the worker.
#[derive(Clone, Debug)]
struct Record {
    incarnation: IncarnationNumber,
    worker: WorkerName,
    tasks: Vec<LostTask>,
}

/// Loss that another agent process has noticed, and when.
#[derive(Clone, Debug)]
struct StoredLoss {
    loss: WorkerCrash,
    noticed_at: Instant,
}

/// Recent losses of the worker, and records of the losses of others.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    records: VecDeque<Record>,
    /// Number of the current incarnation.
    incarnation: IncarnationNumber,
    /// Losses of other workers, which entries have passed on.
    stored: Vec<StoredLoss>,
    /// Whether the entries have not been told of the latest change.
    changed: bool,
}

impl Crashes {
    /// Ends the record of the current incarnation.
    pub(crate) fn begin_incarnation(&mut self) {
        self.incarnation += 1;
    }

    /// Records lost runs; they count as crashes if the incarnation has crashed and they were in progress.
    fn record(&mut self, now: Instant, worker: WorkerName, runs: &[LostRun], crashed: bool) {
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
        for &LostRun { task, in_progress } in runs {
            let confirmed = crashed && in_progress;
            let lost = LostTask {
                task,
                lost_at: now,
                confirmed,
                in_progress,
            };
            if let Some(known) = record.tasks.iter_mut().find(|known| known.task == task) {
                known.lost_at = now;
                known.confirmed |= confirmed;
                known.in_progress |= in_progress;
            } else if record.tasks.len() < MAX_TASKS {
                record.tasks.push(lost);
            }
        }
    }

    /// Returns the runs of the current incarnation that were lost after its last reply.
    fn unresolved(&self, replied_at: Instant) -> Vec<LostRun> {
        let current = self
            .records
            .iter()
            .filter(|record| record.incarnation == self.incarnation);
        let tasks = current.flat_map(|record| &record.tasks);
        tasks
            .filter(|lost| lost.lost_at > replied_at)
            .map(|lost| LostRun {
                task: lost.task,
                in_progress: lost.in_progress,
            })
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
                    reporter: None,
                });
            }
        }
        reports.extend(self.stored.iter().map(|stored| WorkerCrash {
            age: now.saturating_duration_since(stored.noticed_at),
            ..stored.loss.clone()
        }));
        reports
    }

    /// Stores losses that other agent processes have noticed, so that they outlive those processes and the entries.
    pub(crate) fn store(&mut self, now: Instant, losses: Vec<WorkerCrash>) {
        for mut loss in losses {
            let same = |stored: &&StoredLoss| {
                let other = &stored.loss;
                (other.reporter, other.incarnation, other.confirmed)
                    == (loss.reporter, loss.incarnation, loss.confirmed)
            };
            let known = self
                .stored
                .iter()
                .filter(same)
                .flat_map(|stored| &stored.loss.tasks);
            let known: Vec<TaskKey> = known.copied().collect();
            loss.tasks.retain(|task| !known.contains(task));
            let noticed_at = now.checked_sub(loss.age).unwrap_or(now);
            let has_room = self.stored.len() < MAX_STORED_LOSSES;
            if loss.reporter.is_some() && !loss.tasks.is_empty() && has_room {
                self.changed = true;
                self.stored.push(StoredLoss { loss, noticed_at });
            }
        }
    }

    pub(crate) fn remove_expired(&mut self, now: Instant, retention: Duration) {
        for record in &mut self.records {
            record.tasks.retain(|lost| now < lost.lost_at + retention);
        }
        self.records.retain(|record| !record.tasks.is_empty());
        self.stored.retain(|stored| now < stored.noticed_at + retention);
    }

    /// Notes that all connected entries are told of the records.
    pub(crate) fn mark_reported(&mut self) {
        self.changed = false;
    }
}

impl WorkerCore {
    /// Records that the current incarnation has ended: another one has shown itself without a withdrawal.
    ///
    /// Only runs that were in progress then count as crashes under their tasks; the others may have ended before, or may
    /// never have begun.
    pub(crate) fn record_crash(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(session) = self.session.as_ref().filter(|session| !session.is_withdrawn()) else {
            return;
        };
        let crashed = !session.worker.description.leaving;
        // A crash is noticed only with the next announcement, and by then the leases of its tasks may have expired. If the
        // worker has answered since, it was alive, and those tasks were not on it.
        let mut runs = self.crashes.unresolved(session.replied_at);
        runs.extend(self.lost_orphans());
        runs.extend(self.lost_runs());
        self.record_loss(now, &runs, crashed, actions);
        self.crashes.begin_incarnation();
    }

    /// Records that the leases of started runs have expired, if the worker did not answer; returns whether it is so.
    pub(crate) fn record_lapse(
        &mut self,
        now: Instant,
        expired: &[TaskKey],
        actions: &mut Vec<Action>,
    ) -> bool {
        // A worker that answers is alive; its lease expires because it was not renewed.
        let limit = self.cfg.worker_lease / 2;
        let silent = |session: &Session| !session.is_withdrawn() && now >= session.replied_at + limit;
        if !self.session.as_ref().is_some_and(silent) {
            return false;
        }
        let runs = self.lost_runs().into_iter();
        let runs: Vec<LostRun> = runs.filter(|run| expired.contains(&run.task)).collect();
        self.record_loss(now, &runs, false, actions);
        true
    }

    /// Records that the run of an attempt which an entry listed is not on the worker.
    ///
    /// An earlier process of this agent was killed before it could report why. The worker may have crashed meanwhile, and the
    /// entry that listed the attempt may be the only process that knows of it.
    pub(crate) fn record_missing(&mut self, now: Instant, task: TaskKey, actions: &mut Vec<Action>) {
        let run = LostRun {
            task,
            in_progress: false,
        };
        self.record_loss(now, &[run], false, actions);
    }

    /// Returns the runs that may be on the current incarnation; those of a former one were recorded with its crash.
    fn lost_runs(&self) -> Vec<LostRun> {
        let listed = self.was_gone_after_list();
        let on_current = |run: &Run| !run.is_waiting() && !run.former_incarnation;
        let started = self.runs.iter().filter(|(_, run)| on_current(run));
        let lost = started.map(|(&task, run)| LostRun {
            task,
            in_progress: listed && matches!(run.phase, Phase::Running { .. }),
        });
        lost.collect()
    }

    fn lost_orphans(&self) -> Vec<LostRun> {
        let in_progress = self.was_gone_after_list();
        let orphans = self.session.iter().flat_map(|session| &session.orphans);
        let lost = orphans.map(|run| LostRun {
            task: run.task,
            in_progress,
        });
        lost.collect()
    }

    /// Returns whether the worker had gone shortly after its latest list of runs.
    fn was_gone_after_list(&self) -> bool {
        let session = self.session.as_ref();
        let times = session.and_then(|session| session.listed_at.zip(session.gone_at));
        times.is_some_and(|(listed_at, gone_at)| gone_at <= listed_at + CRASH_WINDOW)
    }

    fn record_loss(&mut self, now: Instant, runs: &[LostRun], crashed: bool, actions: &mut Vec<Action>) {
        if runs.is_empty() {
            return;
        }
        let worker = self.worker_name();
        for in_progress in [true, false] {
            let tasks = runs.iter().filter(|run| run.in_progress == in_progress);
            let tasks: Vec<TaskKey> = tasks.map(|run| run.task).collect();
            if !tasks.is_empty() {
                actions.push(Action::Notice(Notice::WorkerLost {
                    worker: worker.clone(),
                    confirmed: crashed && in_progress,
                    tasks,
                }));
            }
        }
        self.crashes.record(now, worker, runs, crashed);
    }

    /// Reports new losses to all entries, before the ends of the runs that were lost.
    pub(crate) fn report_crashes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.crashes.changed {
            self.broadcast_description(now, actions);
        }
    }
}

//! Tasks that crash every worker that starts them.

use std::time::Duration;

use chestnutfork_types::{JobId, TaskKey};
use rand::RngExt;

use super::{Rule, Scenario, ScheduledEvent, Sim};

/// Distance between the ids of jobs with a task that crashes its workers.
const JOB_INTERVAL: JobId = 40;
/// Crashes of one task after which its starts are counted.
const COUNTED_AFTER_CRASHES: u64 = 3;
/// Starts of a task after its third crash that break the rule.
const STARTS_TOO_MANY: u64 = 3;

/// Crashes under one task, and its starts after the third of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CrashingTask {
    crashes: u64,
    late_starts: u64,
}

impl Sim {
    /// Returns whether a job has a task that crashes the workers that start it.
    pub(super) fn is_crashing_job(&self, job: JobId) -> bool {
        self.scenarios.contains(Scenario::CrashingTasks) && job % JOB_INTERVAL == 7
    }

    fn is_crashing(&self, task: TaskKey) -> bool {
        task.index == 0 && self.is_crashing_job(task.job)
    }

    /// Counts the start of a task that crashes its workers, and schedules the crash.
    pub(super) fn observe_crashing_start(&mut self, agent: usize, incarnation: u64, task: TaskKey) {
        if !self.is_crashing(task) {
            return;
        }
        let record = self.crashing_tasks.entry(task).or_default();
        record.late_starts += u64::from(record.crashes >= COUNTED_AFTER_CRASHES);
        let CrashingTask { crashes, late_starts } = *record;
        if late_starts >= STARTS_TOO_MANY {
            let message =
                format!("{task:?} started {late_starts} times after {crashes} workers had crashed under it");
            self.violate(Rule::StartedAfterCrashes, Some(task), message);
        }
        let delay = Duration::from_millis(self.rng.random_range(1..30));
        self.schedule(delay, ScheduledEvent::CrashWorker(agent, incarnation));
    }

    /// Crashes a worker under its tasks; it is back after 1 to 4 s, under its former name in half of the cases.
    pub(super) fn crash_worker(&mut self, agent: usize, incarnation: u64) {
        let worker = &self.workers[agent];
        if worker.is_down() || worker.model.incarnation != incarnation {
            return;
        }
        self.counts.crashes += 1;
        let running: Vec<TaskKey> = worker.model.running().collect();
        for task in running {
            if self.is_crashing(task) {
                self.crashing_tasks.entry(task).or_default().crashes += 1;
            }
        }
        self.end_worker(agent);
        let down = Duration::from_millis(self.rng.random_range(1_000..4_000));
        let start = ScheduledEvent::StartWorker {
            agent,
            keep_name: self.rng.random_bool(0.5),
            announcement_delay: Duration::from_millis(self.rng.random_range(0..300)),
        };
        self.schedule(down, start);
    }
}

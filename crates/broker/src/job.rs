//! State of jobs in progress and of their tasks.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{AttemptNumber, JobId, RouteName, ServiceName, StepIndex, TaskIndex, TaskKey};

use crate::agents::AgentIndex;
use crate::event::{JobState, StepSpec, Ticket};
use crate::order::WaitingOrder;

/// Progress of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// A step that this task's step depends on has not completed.
    Blocked,
    /// The task waits to be placed on a worker.
    Waiting,
    /// An attempt was ordered and has not ended.
    Placed(AgentIndex),
    /// An attempt has completed.
    Completed,
}

/// Task of a job.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) step: StepIndex,
    pub(crate) index: TaskIndex,
    pub(crate) state: TaskState,
    /// Number of the latest attempt.
    pub(crate) attempt: AttemptNumber,
    /// Failed attempts that count towards the route's limit.
    pub(crate) failures: u32,
    /// Failed attempts on workers with a high failure rate, which do not count towards the route's limit.
    pub(crate) unhealthy_worker_failures: u32,
    /// Earliest time at which the task may be placed again.
    pub(crate) retry_at: Option<Instant>,
    /// Orders that agents have refused because their workers were full.
    pub(crate) refusals: u32,
    /// Attempts that were stopped as overdue.
    pub(crate) overdue_stops: u32,
    /// Agent of the latest attempt that did not complete.
    pub(crate) avoid: Option<AgentIndex>,
}

/// Job in progress.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) route: RouteName,
    pub(crate) service: ServiceName,
    pub(crate) max_attempts: u32,
    pub(crate) spec: Bytes,
    pub(crate) steps: Vec<StepSpec>,
    pub(crate) tasks: Vec<Task>,
    pub(crate) tickets: Vec<Ticket>,
    /// When the submission reached the process.
    pub(crate) received_at: Instant,
    pub(crate) objective_at: Instant,
    pub(crate) deadline: Instant,
    /// Since when the callers may have left without the knowledge of this process.
    pub(crate) unverified_since: Option<Instant>,
    /// When the first task was placed.
    pub(crate) placed_at: Option<Instant>,
    pub(crate) attempts: u64,
    /// Attempts that may have started: all but those that were reported as not started.
    pub(crate) possible_starts: u64,
    /// Key in the queue of waiting jobs.
    pub(crate) order: WaitingOrder,
    /// Position of the priority when the job was accepted, before ageing.
    pub(crate) band: u32,
}

impl Job {
    pub(crate) fn key(&self, task: usize) -> TaskKey {
        let task = &self.tasks[task];
        TaskKey {
            job: self.id,
            step: task.step,
            index: task.index,
        }
    }

    /// Returns the index of a task in `tasks`.
    pub(crate) fn task_position(&self, key: TaskKey) -> Option<usize> {
        self.tasks
            .iter()
            .position(|task| task.step == key.step && task.index == key.index)
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Waiting)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Completed)
    }

    pub(crate) fn state(&self) -> JobState {
        if self.placed_at.is_some() {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    /// Unblocks the tasks whose dependencies have completed.
    pub(crate) fn unblock(&mut self) {
        let open: Vec<bool> = self
            .steps
            .iter()
            .map(|step| self.dependencies_completed(step))
            .collect();
        for task in &mut self.tasks {
            if task.state == TaskState::Blocked && open[usize::from(task.step)] {
                task.state = TaskState::Waiting;
            }
        }
    }

    fn dependencies_completed(&self, step: &StepSpec) -> bool {
        let completed = |before: StepIndex| {
            let mut tasks = self.tasks.iter().filter(|task| task.step == before);
            tasks.all(|task| task.state == TaskState::Completed)
        };
        step.depends_on.iter().all(|&before| completed(before))
    }
}

/// Returns the declared run time of the critical path, the longest chain of dependent steps.
pub(crate) fn critical_path(steps: &[StepSpec]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step.depends_on.iter().filter_map(|&at| ends.get(usize::from(at)));
        let begin = before.max().copied().unwrap_or_default();
        ends.push(begin.saturating_add(step.declared_run_time));
    }
    ends.into_iter().max().unwrap_or_default()
}

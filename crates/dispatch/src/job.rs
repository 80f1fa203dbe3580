//! Jobs that this entry owns and the state of their tasks.

use std::time::Instant;

use chestnutfork_routing::TargetIndex;
use chestnutfork_types::{CreditId, JobId, JobSpec, ProcessId, ServiceName, TaskIndex, TaskStatus};

use crate::event::Ticket;

/// Reference to a task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskRef {
    pub(crate) job: JobId,
    pub(crate) task: TaskIndex,
}

/// Identifies one attempt by the agent's incarnation and the credit that the attempt consumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) agent: ProcessId,
    pub(crate) credit: CreditId,
}

/// Task in the queue of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedTask {
    pub(crate) task: TaskRef,
    /// Whether this is a second attempt, concurrent with a running one.
    pub(crate) hedge: bool,
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for a majority of the view to grant the claim; no task is queued yet.
    Claiming,
    /// Tasks are queued or dispatched.
    Running,
    /// All tasks are final; waiting for a majority to record the answer.
    Recording,
}

/// State of one task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Final status, if the task has ended.
    pub(crate) status: Option<TaskStatus>,
    /// Number of copies of the task in the queue.
    pub(crate) queued: u8,
    /// Attempts whose end is not known.
    pub(crate) in_flight: Vec<AttemptId>,
    /// Number of attempts, excluding those that provably did not start.
    pub(crate) attempts: u32,
    /// Number of attempts that provably did not start.
    pub(crate) not_started: u32,
    /// Targets of failed or slow attempts; later attempts avoid them if another target is available.
    pub(crate) avoid_targets: Vec<TargetIndex>,
    /// Final status if no later attempt completes: the outcome of the latest attempt that ran or may have run.
    pub(crate) fallback: Option<TaskStatus>,
}

impl Task {
    fn new() -> Self {
        Self {
            status: None,
            queued: 0,
            in_flight: Vec::new(),
            attempts: 0,
            not_started: 0,
            avoid_targets: Vec::new(),
            fallback: None,
        }
    }
}

/// Job that this entry owns.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) digest: u64,
    pub(crate) deadline: Instant,
    pub(crate) phase: Phase,
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks without a final status.
    pub(crate) unfinished: usize,
    pub(crate) cancelled: bool,
    /// Whether this entry claims the job and records its answer in the register. This is not needed for an id that this
    /// entry generated.
    pub(crate) registered: bool,
    /// Requests of this entry's callers that wait for the answer.
    pub(crate) tickets: Vec<Ticket>,
    /// Other entries that wait for the answer.
    pub(crate) joiners: Vec<ProcessId>,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, digest: u64, deadline: Instant) -> Self {
        let tasks = spec.tasks.iter().map(|_| Task::new()).collect::<Vec<_>>();
        let unfinished = tasks.len();
        Self {
            spec,
            digest,
            deadline,
            phase: Phase::Claiming,
            tasks,
            unfinished,
            cancelled: false,
            registered: false,
            tickets: Vec::new(),
            joiners: Vec::new(),
        }
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.spec.service
    }

    /// Sets the final status of a task. Later calls have no effect, so a late result never changes an answer.
    pub(crate) fn set_final_status(&mut self, task: TaskIndex, status: TaskStatus) {
        let task = &mut self.tasks[usize::from(task)];
        if task.status.is_none() {
            task.status = Some(status);
            self.unfinished -= 1;
        }
    }
}

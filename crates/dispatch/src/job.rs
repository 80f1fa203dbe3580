//! Jobs that this entry owns, and the state of their tasks.

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

/// Identity of one attempt: the agent's incarnation and the credit that it consumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) agent: ProcessId,
    pub(crate) credit: CreditId,
}

/// Task in the queue of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedTask {
    pub(crate) id: TaskRef,
    /// Whether this is a second attempt beside a running one.
    pub(crate) hedge: bool,
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits until a majority of the view has granted the claim; nothing is queued yet.
    Claiming,
    /// Tasks are queued or dispatched.
    Running,
    /// All tasks are final; waits until a majority holds the answer.
    Recording,
}

/// State of one task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Final status, once there is one.
    pub(crate) status: Option<TaskStatus>,
    /// Copies of the task in the queue.
    pub(crate) queued: u8,
    /// Attempts without a known end.
    pub(crate) in_flight: Vec<AttemptId>,
    /// Attempts made, those that provably did not start excluded.
    pub(crate) attempts: u32,
    /// Attempts that provably did not start.
    pub(crate) not_started: u32,
    /// Targets where an attempt failed; a repeat avoids them if it can.
    pub(crate) avoid_targets: Vec<TargetIndex>,
    /// Status to give if no later attempt completes: the end of the latest attempt that ran or may have run.
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
    /// Tasks without a final status.
    pub(crate) unfinished: usize,
    pub(crate) cancelled: bool,
    /// Whether the register knows the job; an id made by this entry needs no register.
    pub(crate) registered: bool,
    /// Callers that wait at this entry.
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

    /// Gives a task its final status; a later status is ignored, so a late result never changes an answer.
    pub(crate) fn set_final_status(&mut self, task: TaskIndex, status: TaskStatus) {
        let task = &mut self.tasks[usize::from(task)];
        if task.status.is_none() {
            task.status = Some(status);
            self.unfinished -= 1;
        }
    }
}

//! Jobs and tasks as submitted by callers.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::{JobId, ServiceName, TaskIndex, TeamName};

/// One unit of work inside a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// Opaque input that the target receives unchanged.
    pub payload: Bytes,
    /// Run time declared by the caller; a hint that is often inaccurate.
    pub declared_run_time: Option<Duration>,
}

/// Validated submission of a job by a team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Id of the job; a resubmission has the same id.
    pub id: JobId,
    /// Service that the job belongs to.
    pub service: ServiceName,
    /// Team whose quota the job counts against.
    pub team: TeamName,
    /// Time from the submission after which the answer is of no use to the caller.
    pub deadline: Duration,
    /// Whether each task may start at most once.
    ///
    /// Set if the service is at-most-once or the request is marked non-idempotent.
    pub at_most_once: bool,
    /// Tasks of the job; they are independent of each other.
    pub tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// Returns the indexes of the tasks in ascending order.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_types::{JobSpec, TaskSpec};
    ///
    /// let task = TaskSpec { payload: "x".into(), declared_run_time: None };
    /// let job = JobSpec {
    ///     id: 1,
    ///     service: "desk".into(),
    ///     team: "setters".into(),
    ///     deadline: Duration::from_secs(1),
    ///     at_most_once: true,
    ///     tasks: vec![task.clone(), task],
    /// };
    /// assert_eq!(job.task_indexes().collect::<Vec<_>>(), [0, 1]);
    /// ```
    pub fn task_indexes(&self) -> impl Iterator<Item = TaskIndex> + use<> {
        let count = TaskIndex::try_from(self.tasks.len()).unwrap_or(TaskIndex::MAX);
        0..count
    }
}

//! JSON bodies of the HTTP interface for callers, from the side of a caller.
//!
//! These types deliberately do not use the `wire` crate, because a mistake in shared types would go undetected.

use chestnutfork_standin::TaskPayload;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::plan::PlannedJob;

/// Body of a submission.
#[derive(Debug, Serialize)]
pub(crate) struct Submission {
    job_id: Uuid,
    deadline_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    idempotent: Option<bool>,
    tasks: Vec<Task>,
}

#[derive(Debug, Serialize)]
struct Task {
    payload: TaskPayload,
    declared_ms: u64,
}

impl Submission {
    /// Creates the body for a planned job.
    pub fn new(id: Uuid, deadline_ms: u64, job: &PlannedJob) -> Self {
        let task = |(index, task): (usize, &crate::plan::PlannedTask)| Task {
            payload: TaskPayload {
                run_ms: task.run_ms,
                declared_ms: None,
                fail: task.fails,
                echo: echo(id, index),
            },
            declared_ms: task.declared_ms,
        };
        Self {
            job_id: id,
            deadline_ms,
            idempotent: job.non_idempotent.then_some(false),
            tasks: job.tasks.iter().enumerate().map(task).collect(),
        }
    }
}

/// Returns the text that the output of a task must echo.
pub(crate) fn echo(id: Uuid, task: usize) -> String {
    format!("{id}/{task}")
}

/// Status of a task in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Status {
    /// The target completed the task.
    Completed,
    /// The target reported that the task failed.
    Failed,
    /// The task may have run.
    MayHaveRun,
    /// The task provably did not run.
    NotRun,
}

/// Status and output of a task in an answer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct TaskAnswer {
    /// Status of the task.
    pub status: Status,
    /// Output, if the task completed.
    #[serde(default)]
    pub output: Option<serde_json::Value>,
    /// Reason, if the task did not complete.
    #[serde(default)]
    pub reason: Option<String>,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// Every task completed.
    Completed,
    /// At least one task did not complete.
    Failed,
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct Answer {
    /// Job that the answer belongs to.
    pub job_id: Uuid,
    /// Outcome of the job.
    pub outcome: Outcome,
    /// Status of every task, in the order of the request.
    pub tasks: Vec<TaskAnswer>,
}

/// Whether tasks of a refused job may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Execution {
    /// The submission caused no task to start.
    NotRun,
    /// Tasks may have run.
    Unknown,
}

/// Body of a refusal.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Refusal {
    /// Code and outcome.
    pub error: RefusalContent,
}

/// Object under the key `error` in the body of a refusal.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RefusalContent {
    /// Machine-readable code, which is stable across versions.
    pub code: String,
    /// Whether tasks may have run.
    pub outcome: Execution,
}

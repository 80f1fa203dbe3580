//! Answers to jobs and the consistency rules for them.

use bytes::Bytes;
use thiserror::Error;

use crate::ids::{JobId, TaskIndex};

/// Final state of one task in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    /// The target completed the task.
    Completed {
        /// Output of the target, unchanged.
        output: Bytes,
    },
    /// The target ran the task and reported a failure.
    Failed {
        /// Reason to show to the caller.
        reason: String,
    },
    /// The task may have run, partly or completely; its result is lost.
    MayHaveRun {
        /// Reason to show to the caller.
        reason: String,
    },
    /// The task provably did not start.
    NotRun {
        /// Reason to show to the caller.
        reason: String,
    },
}

impl TaskStatus {
    /// Returns whether the task completed.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::TaskStatus;
    ///
    /// assert!(TaskStatus::Completed { output: "ok".into() }.is_completed());
    /// assert!(!TaskStatus::NotRun { reason: "deadline".into() }.is_completed());
    /// ```
    #[must_use]
    pub fn is_completed(&self) -> bool {
        matches!(self, Self::Completed { .. })
    }
}

/// Outcome of a job, which follows from the statuses of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Every task completed.
    Completed,
    /// At least one task did not complete.
    Failed,
}

/// Answer to a job, with one status for each task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Job that is answered.
    pub job: JobId,
    /// Outcome that matches the statuses.
    pub outcome: JobOutcome,
    /// Status of every task, by index.
    pub tasks: Vec<TaskStatus>,
}

/// Violation of a consistency rule for answers.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// The number of statuses differs from the number of tasks.
    #[error("answer has {got} task statuses, the job has {expected} tasks; report this as a bug")]
    TaskCountMismatch {
        /// Number of statuses in the answer.
        got: usize,
        /// Number of tasks in the job.
        expected: usize,
    },
    /// The outcome is `Completed` but at least one task did not complete.
    #[error("answer is marked completed but task {task} did not complete; report this as a bug")]
    FalseCompletion {
        /// First task that did not complete.
        task: TaskIndex,
    },
    /// The outcome is `Failed` but every task completed.
    #[error("answer is marked failed but every task completed; report this as a bug")]
    FalseFailure,
}

impl Answer {
    /// Builds an answer and derives its outcome from the statuses.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::{Answer, JobOutcome, TaskStatus};
    ///
    /// let answer = Answer::new(7, vec![TaskStatus::NotRun { reason: "cancelled".into() }]);
    /// assert_eq!(answer.outcome, JobOutcome::Failed);
    /// ```
    #[must_use]
    pub fn new(job: JobId, tasks: Vec<TaskStatus>) -> Self {
        let complete = tasks.iter().all(TaskStatus::is_completed);
        let outcome = if complete {
            JobOutcome::Completed
        } else {
            JobOutcome::Failed
        };
        Self { job, outcome, tasks }
    }

    /// Checks that the answer has one status for each task and that its outcome matches them.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::{Answer, TaskStatus};
    ///
    /// let answer = Answer::new(7, vec![TaskStatus::Completed { output: "ok".into() }]);
    /// assert!(answer.verify(1).is_ok());
    /// assert!(answer.verify(2).is_err());
    /// ```
    pub fn verify(&self, expected: usize) -> Result<(), AnswerError> {
        let got = self.tasks.len();
        if got != expected {
            return Err(AnswerError::TaskCountMismatch { got, expected });
        }
        let missing = self.tasks.iter().position(|status| !status.is_completed());
        match (self.outcome, missing) {
            (JobOutcome::Completed, Some(at)) => {
                let task = TaskIndex::try_from(at).unwrap_or(TaskIndex::MAX);
                Err(AnswerError::FalseCompletion { task })
            }
            (JobOutcome::Failed, None) => Err(AnswerError::FalseFailure),
            _ => Ok(()),
        }
    }
}

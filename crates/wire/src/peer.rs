//! Wire types for the messages between entries.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_dispatch::{JobResult, PeerMessage, TeamUsage};
use chestnutfork_types::{Answer, Execution, JobOutcome, Refusal, RefusalCode, TaskStatus};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::register::RegisterWire;

/// Error in a wire message that cannot be converted to its plain type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerWireError {
    /// The refusal has a code that is unknown in this version.
    #[error("refusal code {code} is unknown; upgrade this process to the version of its peer")]
    UnknownCode {
        /// Position of the code in [`RefusalCode::ALL`].
        code: u8,
    },
    /// The answer is inconsistent.
    #[error("the answer is malformed: {0}")]
    Answer(#[from] chestnutfork_types::AnswerError),
}

/// Wire form of [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessageWire {
    /// Message of the job register.
    #[serde(rename = "r")]
    Register(RegisterWire),
    /// Requests the answer from the owner: job and digest.
    #[serde(rename = "j")]
    Join(u128, u64),
    /// Answer or refusal for a job.
    #[serde(rename = "d")]
    JoinResult(u128, JobResultWire),
    /// The sender is not the owner of the job.
    #[serde(rename = "n")]
    NotOwner(u128),
    /// Cancels a job of a team.
    #[serde(rename = "c")]
    Cancel(u128, String),
    /// Number of tasks in flight by team.
    #[serde(rename = "u")]
    Usage(Vec<(String, u32)>),
}

/// Wire form of an answer or a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobResultWire {
    /// Answer to the job.
    #[serde(rename = "a")]
    Answer(AnswerWire),
    /// Refusal of the job.
    #[serde(rename = "r")]
    Refusal(RefusalWire),
}

/// Wire form of [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerWire {
    #[serde(rename = "j")]
    job: u128,
    #[serde(rename = "c")]
    completed: bool,
    #[serde(rename = "t")]
    tasks: Vec<TaskStatusWire>,
}

/// Wire form of [`TaskStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatusWire {
    /// The target completed the task.
    #[serde(rename = "c")]
    Completed(Bytes),
    /// The target reported a failure.
    #[serde(rename = "f")]
    Failed(String),
    /// The task may have run.
    #[serde(rename = "m")]
    MayHaveRun(String),
    /// The task did not start.
    #[serde(rename = "n")]
    NotRun(String),
}

/// Wire form of [`Refusal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalWire {
    #[serde(rename = "c")]
    code: u8,
    #[serde(rename = "n")]
    not_run: bool,
    #[serde(rename = "m")]
    message: String,
    #[serde(rename = "r")]
    retry_after_us: Option<u64>,
}

impl From<TaskStatus> for TaskStatusWire {
    fn from(status: TaskStatus) -> Self {
        match status {
            TaskStatus::Completed { output } => Self::Completed(output),
            TaskStatus::Failed { reason } => Self::Failed(reason),
            TaskStatus::MayHaveRun { reason } => Self::MayHaveRun(reason),
            TaskStatus::NotRun { reason } => Self::NotRun(reason),
        }
    }
}

impl From<TaskStatusWire> for TaskStatus {
    fn from(wire: TaskStatusWire) -> Self {
        match wire {
            TaskStatusWire::Completed(output) => Self::Completed { output },
            TaskStatusWire::Failed(reason) => Self::Failed { reason },
            TaskStatusWire::MayHaveRun(reason) => Self::MayHaveRun { reason },
            TaskStatusWire::NotRun(reason) => Self::NotRun { reason },
        }
    }
}

impl From<Answer> for AnswerWire {
    fn from(answer: Answer) -> Self {
        Self {
            job: answer.job,
            completed: answer.outcome == JobOutcome::Completed,
            tasks: answer.tasks.into_iter().map(TaskStatusWire::from).collect(),
        }
    }
}

impl TryFrom<AnswerWire> for Answer {
    type Error = PeerWireError;

    fn try_from(wire: AnswerWire) -> Result<Self, PeerWireError> {
        let outcome = if wire.completed {
            JobOutcome::Completed
        } else {
            JobOutcome::Failed
        };
        let tasks: Vec<_> = wire.tasks.into_iter().map(TaskStatus::from).collect();
        let answer = Self {
            job: wire.job,
            outcome,
            tasks,
        };
        answer.verify(answer.tasks.len())?;
        Ok(answer)
    }
}

impl From<Refusal> for RefusalWire {
    fn from(refusal: Refusal) -> Self {
        let code = RefusalCode::ALL.iter().position(|&code| code == refusal.code);
        Self {
            code: code.and_then(|code| u8::try_from(code).ok()).unwrap_or(u8::MAX),
            not_run: refusal.execution == Execution::NotRun,
            message: refusal.message,
            retry_after_us: refusal
                .retry_after
                .map(|delay| u64::try_from(delay.as_micros()).unwrap_or(u64::MAX)),
        }
    }
}

impl TryFrom<RefusalWire> for Refusal {
    type Error = PeerWireError;

    fn try_from(wire: RefusalWire) -> Result<Self, PeerWireError> {
        let code = RefusalCode::ALL.get(usize::from(wire.code));
        Ok(Self {
            code: *code.ok_or(PeerWireError::UnknownCode { code: wire.code })?,
            execution: if wire.not_run {
                Execution::NotRun
            } else {
                Execution::Unknown
            },
            message: wire.message,
            retry_after: wire.retry_after_us.map(Duration::from_micros),
        })
    }
}

impl From<JobResult> for JobResultWire {
    fn from(result: JobResult) -> Self {
        match result {
            Ok(answer) => Self::Answer(answer.into()),
            Err(refusal) => Self::Refusal(refusal.into()),
        }
    }
}

impl TryFrom<JobResultWire> for JobResult {
    type Error = PeerWireError;

    fn try_from(wire: JobResultWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            JobResultWire::Answer(answer) => Ok(answer.try_into()?),
            JobResultWire::Refusal(refusal) => Err(refusal.try_into()?),
        })
    }
}

impl From<PeerMessage> for PeerMessageWire {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Register(message) => Self::Register(message.into()),
            PeerMessage::Join { job, digest } => Self::Join(job, digest),
            PeerMessage::JoinResult { job, result } => Self::JoinResult(job, result.into()),
            PeerMessage::NotOwner { job } => Self::NotOwner(job),
            PeerMessage::Cancel { job, team } => Self::Cancel(job, team),
            PeerMessage::Usage(usage) => Self::Usage(
                usage
                    .into_iter()
                    .map(|usage| (usage.team, usage.in_flight))
                    .collect(),
            ),
        }
    }
}

impl TryFrom<PeerMessageWire> for PeerMessage {
    type Error = PeerWireError;

    fn try_from(wire: PeerMessageWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            PeerMessageWire::Register(message) => Self::Register(message.try_into()?),
            PeerMessageWire::Join(job, digest) => Self::Join { job, digest },
            PeerMessageWire::JoinResult(job, result) => Self::JoinResult {
                job,
                result: result.try_into()?,
            },
            PeerMessageWire::NotOwner(job) => Self::NotOwner { job },
            PeerMessageWire::Cancel(job, team) => Self::Cancel { job, team },
            PeerMessageWire::Usage(usage) => {
                let usage = usage
                    .into_iter()
                    .map(|(team, in_flight)| TeamUsage { team, in_flight });
                Self::Usage(usage.collect())
            }
        })
    }
}

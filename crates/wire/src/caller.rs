//! JSON bodies of the requests from callers and of the responses to them.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    Answer, Execution, JobId, JobOutcome, JobSpec, Refusal, RefusalCode, ServiceName, ServicePolicy,
    TaskSpec, TaskStatus, TeamName,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;
use uuid::{Uuid, Version};

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Id of the job, a `UUIDv7` in text form.
    #[serde(default)]
    job_id: Option<String>,
    /// Deadline in milliseconds from the receipt of the request.
    #[serde(default)]
    deadline_ms: Option<u64>,
    /// `false` marks the request as non-idempotent: each task starts at most once.
    #[serde(default)]
    idempotent: Option<bool>,
    /// Tasks of the job.
    tasks: Vec<TaskBody>,
}

/// One task of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody {
    payload: Box<RawValue>,
    #[serde(default)]
    declared_ms: Option<u64>,
}

/// Parsed submission, before the service's policy is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Job id in the request, if any.
    pub id: Option<JobId>,
    /// Deadline in the request, if any.
    pub deadline: Option<Duration>,
    /// Whether the caller marked the request as non-idempotent.
    pub non_idempotent: bool,
    /// Tasks in the order of the request.
    pub tasks: Vec<TaskSpec>,
}

/// Error in the body of a submission.
#[derive(Debug, Error)]
pub enum SubmitError {
    /// The body is not JSON or does not match the schema.
    #[error("the body is not a valid submission: {reason}; see docs/API.md for the form")]
    Malformed {
        /// Error message of the parser.
        reason: String,
    },
    /// The job id is not a valid `UUIDv7`.
    #[error("job_id `{text}` is not a UUIDv7; generate one with a UUIDv7 library or omit the field")]
    BadJobId {
        /// Text in the request.
        text: String,
    },
}

impl SubmitError {
    /// Converts the error to a refusal for the caller.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::RefusalCode;
    /// use chestnutfork_wire::SubmitBody;
    ///
    /// let error = SubmitBody::parse(b"{}").unwrap_err();
    /// assert_eq!(error.refusal().code, RefusalCode::BadJob);
    /// ```
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        let code = match self {
            Self::Malformed { .. } => RefusalCode::BadJob,
            Self::BadJobId { .. } => RefusalCode::BadJobId,
        };
        Refusal::not_run(code, self.to_string())
    }
}

/// Parses a job id in the text form of a `UUIDv7`.
///
/// # Errors
///
/// Returns [`SubmitError::BadJobId`] if the text is not a UUID or has another version.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_wire::parse_job_id("018f0000-0000-7000-8000-000000000001").is_ok());
/// assert!(chestnutfork_wire::parse_job_id("not-an-id").is_err());
/// ```
pub fn parse_job_id(text: &str) -> Result<JobId, SubmitError> {
    let invalid = || SubmitError::BadJobId {
        text: text.chars().take(64).collect(),
    };
    let id = Uuid::try_parse(text).map_err(|_| invalid())?;
    if id.get_version() != Some(Version::SortRand) {
        return Err(invalid());
    }
    Ok(id.as_u128())
}

impl SubmitBody {
    /// Parses the body of a submission.
    ///
    /// # Errors
    ///
    /// Returns an error if the body does not match the schema or its job id is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// let body = br#"{"deadline_ms": 500, "tasks": [{"payload": {"run_ms": 50}}]}"#;
    /// let submission = chestnutfork_wire::SubmitBody::parse(body)?;
    /// assert_eq!(submission.tasks.len(), 1);
    /// # Ok::<(), chestnutfork_wire::SubmitError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Submission, SubmitError> {
        let body: Self = serde_json::from_slice(bytes).map_err(|error| SubmitError::Malformed {
            reason: error.to_string(),
        })?;
        let id = body.job_id.as_deref().map(parse_job_id).transpose()?;
        let tasks = body.tasks.into_iter().map(TaskSpec::from).collect();
        Ok(Submission {
            id,
            deadline: body.deadline_ms.map(Duration::from_millis),
            non_idempotent: body.idempotent == Some(false),
            tasks,
        })
    }
}

impl From<TaskBody> for TaskSpec {
    fn from(body: TaskBody) -> Self {
        let text: Box<str> = body.payload.into();
        Self {
            payload: Bytes::from(String::from(text)),
            declared_run_time: body.declared_ms.map(Duration::from_millis),
        }
    }
}

impl Submission {
    /// Applies the policy of the service: the default and maximum deadline, and at-most-once execution.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::ServicePolicy;
    ///
    /// let body = br#"{"tasks": [{"payload": 1}]}"#;
    /// let submission = chestnutfork_wire::SubmitBody::parse(body)?;
    /// let job = submission.into_job(7, "desk".into(), "setters".into(), &ServicePolicy::builder("main").build());
    /// assert!(job.at_most_once);
    /// # Ok::<(), chestnutfork_wire::SubmitError>(())
    /// ```
    #[must_use]
    pub fn into_job(
        self,
        id: JobId,
        service: ServiceName,
        team: TeamName,
        policy: &ServicePolicy,
    ) -> JobSpec {
        JobSpec {
            id,
            service,
            team,
            deadline: self
                .deadline
                .unwrap_or(policy.default_deadline)
                .min(policy.max_deadline),
            at_most_once: policy.at_most_once || self.non_idempotent,
            tasks: self.tasks,
        }
    }
}

/// JSON form of [`Answer`].
#[derive(Debug, Serialize)]
pub struct AnswerBody {
    job_id: String,
    outcome: &'static str,
    tasks: Vec<StatusBody>,
}

/// Status of one task in an answer.
#[derive(Debug, Serialize)]
struct StatusBody {
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    output: Option<Box<RawValue>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

impl From<&Answer> for AnswerBody {
    fn from(answer: &Answer) -> Self {
        let outcome = match answer.outcome {
            JobOutcome::Completed => "completed",
            JobOutcome::Failed => "failed",
        };
        Self {
            job_id: Uuid::from_u128(answer.job).to_string(),
            outcome,
            tasks: answer.tasks.iter().map(StatusBody::from).collect(),
        }
    }
}

impl From<&TaskStatus> for StatusBody {
    fn from(status: &TaskStatus) -> Self {
        let failed = |status, reason: &String| Self {
            status,
            output: None,
            reason: Some(reason.clone()),
        };
        match status {
            TaskStatus::Completed { output } => Self {
                status: "completed",
                output: Some(output_as_json(output)),
                reason: None,
            },
            TaskStatus::Failed { reason } => failed("failed", reason),
            TaskStatus::MayHaveRun { reason } => failed("may_have_run", reason),
            TaskStatus::NotRun { reason } => failed("not_run", reason),
        }
    }
}

/// Converts an output to JSON: valid JSON is embedded unchanged, anything else becomes a JSON string.
fn output_as_json(output: &Bytes) -> Box<RawValue> {
    if let Ok(raw) = serde_json::from_slice::<Box<RawValue>>(output) {
        return raw;
    }
    let text = String::from_utf8_lossy(output);
    serde_json::value::to_raw_value(&text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// JSON form of [`Refusal`] and of other errors.
#[derive(Debug, Serialize)]
pub struct RefusalBody {
    error: ErrorBody,
}

/// Content of a refusal.
#[derive(Debug, Serialize)]
struct ErrorBody {
    code: &'static str,
    message: String,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl RefusalBody {
    /// Builds the body of an error that is not a job refusal; no task ran.
    ///
    /// # Examples
    ///
    /// ```
    /// let body = chestnutfork_wire::RefusalBody::not_run("not_found", "no such path; see docs/API.md");
    /// assert!(serde_json::to_string(&body).unwrap().contains("not_run"));
    /// ```
    #[must_use]
    pub fn not_run(code: &'static str, message: impl Into<String>) -> Self {
        let error = ErrorBody {
            code,
            message: message.into(),
            outcome: "not_run",
            retry_after_ms: None,
        };
        Self { error }
    }
}

impl From<&Refusal> for RefusalBody {
    fn from(refusal: &Refusal) -> Self {
        let outcome = match refusal.execution {
            Execution::NotRun => "not_run",
            Execution::Unknown => "unknown",
        };
        let retry_after_ms = refusal
            .retry_after
            .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        let error = ErrorBody {
            code: refusal.code.as_str(),
            message: refusal.message.clone(),
            outcome,
            retry_after_ms,
        };
        Self { error }
    }
}

//! Refusals of submissions: a stable code, and whether tasks may have run.

use std::fmt;
use std::time::Duration;

use thiserror::Error;

/// Whether any task of a refused submission may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// Provably, this submission started no task of the job.
    NotRun,
    /// Tasks of the job may have run.
    Unknown,
}

/// Code of a refusal; the codes and their names are a stable interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalCode {
    /// The service is not in the configuration.
    UnknownService,
    /// The team is not allowed to submit jobs to the service.
    NotAllowed,
    /// The job has no tasks, too many tasks or another invalid field.
    BadJob,
    /// The job id is not a `UUIDv7` or its timestamp is too far ahead of the entry's clock.
    BadJobId,
    /// No target can ever run the job.
    CanNeverRun,
    /// The deadline cannot be met.
    DeadlineUnmeetable,
    /// The queue of the service is full.
    QueueFull,
    /// The team has exhausted its quota.
    QuotaExceeded,
    /// The register has reached its maximum number of jobs.
    RegisterFull,
    /// The outcome is unknown, for example because the register may have discarded the record of so old a job.
    OutcomeUnknown,
    /// The register has no majority, so a new job cannot be claimed.
    NoQuorum,
    /// The configuration in force is unconfirmed.
    Unconfirmed,
    /// The entry is shutting down.
    Draining,
    /// The content of the job differs from that of an earlier job with the same id.
    IdReused,
}

impl RefusalCode {
    /// All codes, in the documented order.
    ///
    /// The wire types encode a code as its position here, so the order is part of the protocol.
    pub const ALL: [Self; 14] = [
        Self::UnknownService,
        Self::NotAllowed,
        Self::BadJob,
        Self::BadJobId,
        Self::CanNeverRun,
        Self::DeadlineUnmeetable,
        Self::QueueFull,
        Self::QuotaExceeded,
        Self::RegisterFull,
        Self::OutcomeUnknown,
        Self::NoQuorum,
        Self::Unconfirmed,
        Self::Draining,
        Self::IdReused,
    ];

    /// Returns the stable name of the code in answers to callers.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::RefusalCode;
    ///
    /// assert_eq!(RefusalCode::QueueFull.as_str(), "queue_full");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::NotAllowed => "not_allowed",
            Self::BadJob => "bad_job",
            Self::BadJobId => "bad_job_id",
            Self::CanNeverRun => "can_never_run",
            Self::DeadlineUnmeetable => "deadline_unmeetable",
            Self::QueueFull => "queue_full",
            Self::QuotaExceeded => "quota_exceeded",
            Self::RegisterFull => "register_full",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::NoQuorum => "no_quorum",
            Self::Unconfirmed => "unconfirmed",
            Self::Draining => "draining",
            Self::IdReused => "id_reused",
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Refusal of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Whether any task may have run.
    pub execution: Execution,
    /// Cause and remedy, in one sentence.
    pub message: String,
    /// Time after which the caller may submit the job again.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal of a job of which provably no task ran.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::{Execution, Refusal, RefusalCode};
    ///
    /// let refusal = Refusal::not_run(RefusalCode::QueueFull, "raise `max_queue` or slow the caller");
    /// assert_eq!(refusal.execution, Execution::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Builds a refusal of a job of which tasks may have run.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::{Execution, Refusal, RefusalCode};
    ///
    /// let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, "the job id is too old");
    /// assert_eq!(refusal.execution, Execution::Unknown);
    /// ```
    #[must_use]
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            execution: Execution::Unknown,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may submit the job again.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_types::{Refusal, RefusalCode};
    ///
    /// let refusal = Refusal::not_run(RefusalCode::Draining, "use another entry")
    ///     .retry_after(Duration::from_millis(100));
    /// assert_eq!(refusal.retry_after, Some(Duration::from_millis(100)));
    /// ```
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

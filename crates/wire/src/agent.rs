//! Wire types for the messages between entries and agents.
//!
//! Variants and fields are encoded under one-letter names because CBOR repeats the names in every message.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    AgentToEntry, Announcement, AttemptOutcome, Dispatch, EntryToAgent, RefusalReason, Resolution, TaskResult,
};
use serde::{Deserialize, Serialize};

/// Wire form of [`EntryToAgent`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryToAgentWire {
    /// Starts a task.
    #[serde(rename = "d")]
    Dispatch(DispatchWire),
    /// Reports the number of queued tasks.
    #[serde(rename = "w")]
    Demand(u32),
    /// Returns recalled credits.
    #[serde(rename = "r")]
    Return(Vec<u64>),
    /// Stops a task.
    #[serde(rename = "c")]
    Cancel(u64),
    /// Requests the status of dispatches.
    #[serde(rename = "q")]
    Resolve(Vec<u64>),
    /// Acknowledges results.
    #[serde(rename = "a")]
    Ack(Vec<u64>),
}

/// Wire form of [`Dispatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchWire {
    #[serde(rename = "c")]
    credit: u64,
    #[serde(rename = "j")]
    job: u128,
    #[serde(rename = "t")]
    task: u16,
    #[serde(rename = "s")]
    service: String,
    #[serde(rename = "m")]
    remaining_us: u64,
    #[serde(rename = "p")]
    payload: Bytes,
}

/// Wire form of [`AgentToEntry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentToEntryWire {
    /// Announces the target.
    #[serde(rename = "a")]
    Announce(AnnouncementWire),
    /// Issues credits with a lifetime in microseconds.
    #[serde(rename = "g")]
    Grant(Vec<u64>, u64),
    /// Sets a new lifetime in microseconds for unused credits.
    #[serde(rename = "n")]
    Renew(u64),
    /// Requests the return of credits.
    #[serde(rename = "k")]
    Recall(u32),
    /// Reports a result.
    #[serde(rename = "r")]
    Result(TaskResultWire),
    /// Reports a refused dispatch.
    #[serde(rename = "x")]
    Refused(u64, RefusalReasonWire),
    /// Reports the status of a dispatch.
    #[serde(rename = "v")]
    Resolved(u64, ResolutionWire),
}

/// Wire form of [`Announcement`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementWire {
    #[serde(rename = "t")]
    target: String,
    #[serde(rename = "p")]
    pool: String,
    #[serde(rename = "f")]
    failure_domain: String,
    #[serde(rename = "s")]
    slots: u32,
    #[serde(rename = "l")]
    leaving: bool,
    #[serde(rename = "c")]
    config_version: u64,
}

/// Wire form of [`TaskResult`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResultWire {
    #[serde(rename = "c")]
    credit: u64,
    #[serde(rename = "o")]
    outcome: AttemptOutcomeWire,
    #[serde(rename = "u")]
    run_time_us: u64,
    #[serde(rename = "n")]
    next_credit: Option<u64>,
}

/// Wire form of [`AttemptOutcome`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcomeWire {
    /// The target completed the task.
    #[serde(rename = "c")]
    Completed(Bytes),
    /// The target reported a failure.
    #[serde(rename = "f")]
    Failed(String),
    /// The outcome of the task is unknown.
    #[serde(rename = "u")]
    Unknown(String),
    /// The task never reached the target.
    #[serde(rename = "n")]
    NotStarted(String),
}

/// Wire form of [`RefusalReason`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReasonWire {
    /// The credit is not valid.
    #[serde(rename = "c")]
    InvalidCredit,
    /// The target is being drained.
    #[serde(rename = "l")]
    Leaving,
    /// The deadline has passed.
    #[serde(rename = "e")]
    Expired,
    /// The configuration is unconfirmed.
    #[serde(rename = "u")]
    Unconfirmed,
}

/// Wire form of [`Resolution`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResolutionWire {
    /// The task is still running.
    #[serde(rename = "s")]
    Started,
    /// The task ended.
    #[serde(rename = "f")]
    Finished(TaskResultWire),
    /// The task never started.
    #[serde(rename = "n")]
    NeverStarted,
}

/// Converts a duration to microseconds, saturating at `u64::MAX`.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl From<Dispatch> for DispatchWire {
    fn from(dispatch: Dispatch) -> Self {
        Self {
            credit: dispatch.credit,
            job: dispatch.job,
            task: dispatch.task,
            service: dispatch.service,
            remaining_us: micros(dispatch.remaining),
            payload: dispatch.payload,
        }
    }
}

impl From<DispatchWire> for Dispatch {
    fn from(wire: DispatchWire) -> Self {
        Self {
            credit: wire.credit,
            job: wire.job,
            task: wire.task,
            service: wire.service,
            remaining: Duration::from_micros(wire.remaining_us),
            payload: wire.payload,
        }
    }
}

impl From<EntryToAgent> for EntryToAgentWire {
    fn from(message: EntryToAgent) -> Self {
        match message {
            EntryToAgent::Dispatch(dispatch) => Self::Dispatch(dispatch.into()),
            EntryToAgent::Demand { waiting } => Self::Demand(waiting),
            EntryToAgent::Return { credits } => Self::Return(credits),
            EntryToAgent::Cancel { credit } => Self::Cancel(credit),
            EntryToAgent::Resolve { credits } => Self::Resolve(credits),
            EntryToAgent::Ack { credits } => Self::Ack(credits),
        }
    }
}

impl From<EntryToAgentWire> for EntryToAgent {
    fn from(wire: EntryToAgentWire) -> Self {
        match wire {
            EntryToAgentWire::Dispatch(dispatch) => Self::Dispatch(dispatch.into()),
            EntryToAgentWire::Demand(waiting) => Self::Demand { waiting },
            EntryToAgentWire::Return(credits) => Self::Return { credits },
            EntryToAgentWire::Cancel(credit) => Self::Cancel { credit },
            EntryToAgentWire::Resolve(credits) => Self::Resolve { credits },
            EntryToAgentWire::Ack(credits) => Self::Ack { credits },
        }
    }
}

impl From<Announcement> for AnnouncementWire {
    fn from(announcement: Announcement) -> Self {
        Self {
            target: announcement.target,
            pool: announcement.pool,
            failure_domain: announcement.failure_domain,
            slots: announcement.slots,
            leaving: announcement.leaving,
            config_version: announcement.config_version,
        }
    }
}

impl From<AnnouncementWire> for Announcement {
    fn from(wire: AnnouncementWire) -> Self {
        Self {
            target: wire.target,
            pool: wire.pool,
            failure_domain: wire.failure_domain,
            slots: wire.slots,
            leaving: wire.leaving,
            config_version: wire.config_version,
        }
    }
}

impl From<AttemptOutcome> for AttemptOutcomeWire {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Completed { output } => Self::Completed(output),
            AttemptOutcome::Failed { reason } => Self::Failed(reason),
            AttemptOutcome::Unknown { reason } => Self::Unknown(reason),
            AttemptOutcome::NotStarted { reason } => Self::NotStarted(reason),
        }
    }
}

impl From<AttemptOutcomeWire> for AttemptOutcome {
    fn from(wire: AttemptOutcomeWire) -> Self {
        match wire {
            AttemptOutcomeWire::Completed(output) => Self::Completed { output },
            AttemptOutcomeWire::Failed(reason) => Self::Failed { reason },
            AttemptOutcomeWire::Unknown(reason) => Self::Unknown { reason },
            AttemptOutcomeWire::NotStarted(reason) => Self::NotStarted { reason },
        }
    }
}

impl From<TaskResult> for TaskResultWire {
    fn from(result: TaskResult) -> Self {
        Self {
            credit: result.credit,
            outcome: result.outcome.into(),
            run_time_us: micros(result.run_time),
            next_credit: result.next_credit,
        }
    }
}

impl From<TaskResultWire> for TaskResult {
    fn from(wire: TaskResultWire) -> Self {
        Self {
            credit: wire.credit,
            outcome: wire.outcome.into(),
            run_time: Duration::from_micros(wire.run_time_us),
            next_credit: wire.next_credit,
        }
    }
}

impl From<RefusalReason> for RefusalReasonWire {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::InvalidCredit => Self::InvalidCredit,
            RefusalReason::Leaving => Self::Leaving,
            RefusalReason::Expired => Self::Expired,
            RefusalReason::Unconfirmed => Self::Unconfirmed,
        }
    }
}

impl From<RefusalReasonWire> for RefusalReason {
    fn from(wire: RefusalReasonWire) -> Self {
        match wire {
            RefusalReasonWire::InvalidCredit => Self::InvalidCredit,
            RefusalReasonWire::Leaving => Self::Leaving,
            RefusalReasonWire::Expired => Self::Expired,
            RefusalReasonWire::Unconfirmed => Self::Unconfirmed,
        }
    }
}

impl From<Resolution> for ResolutionWire {
    fn from(resolution: Resolution) -> Self {
        match resolution {
            Resolution::Started => Self::Started,
            Resolution::Finished(result) => Self::Finished(result.into()),
            Resolution::NeverStarted => Self::NeverStarted,
        }
    }
}

impl From<ResolutionWire> for Resolution {
    fn from(wire: ResolutionWire) -> Self {
        match wire {
            ResolutionWire::Started => Self::Started,
            ResolutionWire::Finished(result) => Self::Finished(result.into()),
            ResolutionWire::NeverStarted => Self::NeverStarted,
        }
    }
}

impl From<AgentToEntry> for AgentToEntryWire {
    fn from(message: AgentToEntry) -> Self {
        match message {
            AgentToEntry::Announce(announcement) => Self::Announce(announcement.into()),
            AgentToEntry::Grant { credits, ttl } => Self::Grant(credits, micros(ttl)),
            AgentToEntry::Renew { ttl } => Self::Renew(micros(ttl)),
            AgentToEntry::Recall { count } => Self::Recall(count),
            AgentToEntry::Result(result) => Self::Result(result.into()),
            AgentToEntry::Refused { credit, reason } => Self::Refused(credit, reason.into()),
            AgentToEntry::Resolved { credit, resolution } => Self::Resolved(credit, resolution.into()),
        }
    }
}

impl From<AgentToEntryWire> for AgentToEntry {
    fn from(wire: AgentToEntryWire) -> Self {
        match wire {
            AgentToEntryWire::Announce(announcement) => Self::Announce(announcement.into()),
            AgentToEntryWire::Grant(credits, ttl_us) => Self::Grant {
                credits,
                ttl: Duration::from_micros(ttl_us),
            },
            AgentToEntryWire::Renew(ttl_us) => Self::Renew {
                ttl: Duration::from_micros(ttl_us),
            },
            AgentToEntryWire::Recall(count) => Self::Recall { count },
            AgentToEntryWire::Result(result) => Self::Result(result.into()),
            AgentToEntryWire::Refused(credit, reason) => Self::Refused {
                credit,
                reason: reason.into(),
            },
            AgentToEntryWire::Resolved(credit, resolution) => Self::Resolved {
                credit,
                resolution: resolution.into(),
            },
        }
    }
}

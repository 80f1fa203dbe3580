//! Messages between entries and agents, as plain data.
//!
//! The `wire` crate defines their encoding. Decision crates use only the types here.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::{
    ConfigVersion, CreditId, FailureDomain, JobId, PoolName, ServiceName, TargetName, TaskIndex,
};

/// Description of a target, sent by its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the target.
    pub target: TargetName,
    /// Pool that the target belongs to; a service runs on the targets of one pool.
    pub pool: PoolName,
    /// Failure domain of the target's worker.
    pub failure_domain: FailureDomain,
    /// Number of tasks that the target can run concurrently.
    pub slots: u32,
    /// Whether the target is being drained and accepts no new tasks.
    pub leaving: bool,
    /// Configuration version in force at the agent.
    pub config_version: ConfigVersion,
}

/// Request to start one task, which consumes one slot credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Credit that the start consumes.
    pub credit: CreditId,
    /// Job of the task.
    pub job: JobId,
    /// Index of the task in the job.
    pub task: TaskIndex,
    /// Service of the job.
    pub service: ServiceName,
    /// Time left until the deadline of the job.
    pub remaining: Duration,
    /// Input of the task.
    pub payload: Bytes,
}

/// Message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryToAgent {
    /// Starts a task.
    Dispatch(Dispatch),
    /// Reports how many tasks for the target's pool are queued at the entry.
    Demand {
        /// Number of queued tasks.
        waiting: u32,
    },
    /// Returns credits that the agent recalled.
    Return {
        /// Credits that the entry will not use.
        credits: Vec<CreditId>,
    },
    /// Requests that a task be stopped.
    Cancel {
        /// Credit that started the task.
        credit: CreditId,
    },
    /// Requests the status of dispatches after a link failure, and voids those that never started.
    Resolve {
        /// Credits of the dispatches.
        credits: Vec<CreditId>,
    },
    /// Acknowledges results, so that the agent can discard them.
    Ack {
        /// Credits of the tasks whose results were received.
        credits: Vec<CreditId>,
    },
}

/// Outcome of an attempt at the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target completed the task.
    Completed {
        /// Output of the target.
        output: Bytes,
    },
    /// The target ran the task and reported a failure.
    Failed {
        /// Reason for the caller.
        reason: String,
    },
    /// The task reached the target and its outcome is unknown, for example after a time-out.
    Unknown {
        /// Reason for the caller.
        reason: String,
    },
    /// The task provably never reached the target.
    NotStarted {
        /// Reason for the caller.
        reason: String,
    },
}

/// Result of a started task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskResult {
    /// Credit that started the task.
    pub credit: CreditId,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt at the target to its end.
    pub run_time: Duration,
    /// New credit for the freed slot, if the agent grants it to the same entry.
    pub next_credit: Option<CreditId>,
}

/// Reason for which an agent refused a dispatch without starting it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The credit was never issued to this entry, or is used, expired or voided.
    InvalidCredit,
    /// The target is being drained.
    Leaving,
    /// The deadline has passed.
    Expired,
    /// The agent's configuration is unconfirmed and the service requires confirmation.
    Unconfirmed,
}

/// Status of a dispatch after a link failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The task started and is still running.
    Started,
    /// The task ended; contains its result again.
    Finished(TaskResult),
    /// The task never started, and its credit has been voided.
    NeverStarted,
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentToEntry {
    /// Announces the target; the first message on every link, repeated after every change.
    ///
    /// Voids the credits of the link on both sides, unless only the configuration version changed.
    Announce(Announcement),
    /// Issues credits.
    Grant {
        /// New credits.
        credits: Vec<CreditId>,
        /// Lifetime of the credits on the agent's clock.
        ttl: Duration,
    },
    /// Extends the lifetime of all unused credits that were issued on this link.
    Renew {
        /// New lifetime, from the time of sending on the agent's clock.
        ttl: Duration,
    },
    /// Requests the return of unused credits.
    Recall {
        /// Number of credits to return.
        count: u32,
    },
    /// Reports the result of a task.
    Result(TaskResult),
    /// Reports that a dispatch was refused and did not start.
    Refused {
        /// Credit of the dispatch.
        credit: CreditId,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// Answers a `Resolve` for one credit.
    Resolved {
        /// Credit of the dispatch.
        credit: CreditId,
        /// Status of the dispatch.
        resolution: Resolution,
    },
}

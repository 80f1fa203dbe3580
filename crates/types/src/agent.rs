//! Messages between entries and agents, as plain data.
//!
//! The `wire` crate mirrors these types in its own encoding. Decision crates use only the types here.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::{
    ConfigVersion, CreditId, FailureDomain, JobId, PoolName, ServiceName, TargetName, TaskIndex,
};

/// What an agent tells about its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the target.
    pub target: TargetName,
    /// Pool that the target belongs to; a service names the pool that it runs on.
    pub pool: PoolName,
    /// Failure domain of the target's worker.
    pub failure_domain: FailureDomain,
    /// Number of tasks that the target runs at once.
    pub slots: u32,
    /// Whether the target is leaving and takes no new work.
    pub leaving: bool,
    /// Configuration version in force at the agent.
    pub config_version: ConfigVersion,
}

/// Order to start one task, paid for with one slot credit.
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
    /// Tells how many tasks of the target's pool wait at the entry.
    Demand {
        /// Number of waiting tasks.
        waiting: u32,
    },
    /// Gives back credits that the agent recalled.
    Return {
        /// Credits that the entry will not use any more.
        credits: Vec<CreditId>,
    },
    /// Asks to stop a task.
    Cancel {
        /// Credit that started the task.
        credit: CreditId,
    },
    /// Asks what became of dispatches after a lost link, and voids those that never started.
    Resolve {
        /// Credits of the dispatches in question.
        credits: Vec<CreditId>,
    },
    /// Confirms results, so that the agent can forget them.
    Ack {
        /// Credits of the tasks whose results arrived.
        credits: Vec<CreditId>,
    },
}

/// How an attempt ended at the agent.
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
    /// The task reached the target and its fate is unknown, for example after a time-out.
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
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start at the target to its end.
    pub run_time: Duration,
    /// New credit for the freed slot, if the entry is to have it.
    pub next_credit: Option<CreditId>,
}

/// Why an agent refused a dispatch without starting it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The credit was never issued to this entry, is used, expired or voided.
    InvalidCredit,
    /// The target is leaving.
    Leaving,
    /// The deadline has passed.
    Expired,
    /// The agent's configuration is unconfirmed and the service requires confirmation.
    Unconfirmed,
}

/// What became of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The task started and still runs.
    Started,
    /// The task ended; the result follows again.
    Finished(TaskResult),
    /// The task never started, and its credit is now void.
    NeverStarted,
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentToEntry {
    /// Announces the target, first on every link and after every change.
    ///
    /// It voids the credits of the link on both sides, unless only the configuration version changed.
    Announce(Announcement),
    /// Issues credits.
    Grant {
        /// New credits.
        credits: Vec<CreditId>,
        /// Lifetime of the credits on the agent's clock.
        ttl: Duration,
    },
    /// Extends all credits that were issued on this link and are unused.
    Renew {
        /// New lifetime, counted from now on the agent's clock.
        ttl: Duration,
    },
    /// Asks for unused credits back.
    Recall {
        /// Number of credits wanted back.
        count: u32,
    },
    /// Reports the result of a task.
    Result(TaskResult),
    /// Reports that a dispatch was refused and did not start.
    Refused {
        /// Credit named in the dispatch.
        credit: CreditId,
        /// Why the dispatch was refused.
        reason: RefusalReason,
    },
    /// Answers one credit of a `Resolve`.
    Resolved {
        /// Credit in question.
        credit: CreditId,
        /// What became of the dispatch.
        resolution: Resolution,
    },
}

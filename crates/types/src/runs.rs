//! Leased runs: messages between entries and the agents of workers, as plain data.
//!
//! A run is one start of a task on a worker. Two runs of one task must never overlap. Therefore an agent starts runs
//! only for an entry that has acknowledged a recent heartbeat, and an entry orders the next run only once the previous
//! one has provably ended. The `wire` crate defines the encoding of these types.

use std::time::Duration;

use bytes::Bytes;

use crate::crashes::WorkerCrash;
use crate::demand::{Demand, DemandSum};
use crate::ids::{FailureDomain, JobId, PoolName, StepIndex, TaskIndex};
use crate::interference::{InterferenceReport, OrderKinds};

/// Number of a run on one worker; it increases with each start there.
pub type RunNumber = u64;
/// Number of an attempt at a task by one entry, counted from one.
pub type AttemptNumber = u32;
/// Number of a start order from an entry to one agent; it increases with each order.
pub type OrderNumber = u64;
/// Number of a heartbeat of an agent process; it increases with each heartbeat.
pub type HeartbeatNumber = u64;
/// Name of one incarnation of a worker.
pub type WorkerName = String;
/// Label of a worker, such as its kind or its rack.
pub type Label = String;
/// Number of a link session, local to one process.
pub type LinkNumber = u64;

/// Amount of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor capacity in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether this amount is at most the available amount in every dimension.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::Resources;
    ///
    /// let task = Resources { cpu_millis: 500, memory_mb: 64, gpus: 0 };
    /// let worker = Resources { cpu_millis: 16_000, memory_mb: 65_536, gpus: 0 };
    /// assert!(task.fits_within(worker) && !worker.fits_within(task));
    /// ```
    #[must_use]
    pub fn fits_within(self, available: Self) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mb <= available.memory_mb
            && self.gpus <= available.gpus
    }

    /// Adds another amount, saturating at the largest value in each dimension.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Subtracts another amount, saturating at zero in each dimension.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Identity of a task, the same for all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobId,
    /// Index of the step in the job.
    pub step: StepIndex,
    /// Index of the task in the step.
    pub index: TaskIndex,
}

/// Identity of one attempt at a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Task that is attempted.
    pub task: TaskKey,
    /// Number of the attempt at this task.
    pub attempt: AttemptNumber,
}

/// Task of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskOrder {
    /// Attempt to start.
    pub key: AttemptKey,
    /// Capacity that the task occupies while it runs.
    pub resources: Resources,
    /// Run time declared by the caller.
    pub declared_run_time: Duration,
}

/// Order to start tasks of one job on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Number of the order, larger than that of any earlier order to the agent.
    pub number: OrderNumber,
    /// Latest heartbeat that the entry had received; the agent refuses the order if it is too old.
    pub last_heartbeat: HeartbeatNumber,
    /// Time left until the latency objective of the job.
    pub time_to_objective: Duration,
    /// Input of the tasks.
    pub spec: Bytes,
    /// Time left until the runs are stopped, also if the entry sends no stop; `None` from entries of earlier versions.
    pub time_limit: Option<Duration>,
    /// When the runs must have ended, if their callers may have left already; `None` also from entries of earlier versions.
    pub end_limit: Option<EndLimit>,
    /// Shortest time between two reports of the load to the entry, other than heartbeats; `None` from entries of earlier
    /// versions.
    pub report_interval: Option<Duration>,
    /// Tasks to start.
    pub tasks: Vec<TaskOrder>,
    /// Whether the agent refuses tasks that cannot start at once; otherwise they wait for capacity.
    pub refuse_if_full: bool,
    /// Kinds of the tasks, for the agent to learn which of them slow each other down; empty if that is not enabled, and from
    /// entries of earlier versions.
    pub kinds: OrderKinds,
}

/// Time by which a run must have ended, because its caller may submit the job elsewhere from then on.
///
/// It counts from the sending of a heartbeat by the agent, so that a message that is delayed on its way does not prolong the
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndLimit {
    /// Heartbeat of the agent, or `None` to count from the arrival of the message, if the entry has received none.
    pub heartbeat: Option<HeartbeatNumber>,
    /// Time from the heartbeat to the limit.
    pub after: Duration,
}

/// Attempt that an entry has recorded for an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedAttempt {
    /// The attempt.
    pub key: AttemptKey,
    /// Capacity that the task occupies while it runs; `None` in messages from or to earlier versions.
    pub resources: Option<Resources>,
}

/// Message from an entry to the agent of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryToWorker {
    /// Starts tasks.
    Start(StartOrder),
    /// Requests that attempts be stopped.
    Stop(Vec<AttemptKey>),
    /// Acknowledges a heartbeat, which renews the entry's lease on its runs, and states the demand for the worker's service at
    /// the entry. The demand is only sent to agents that read it, and only where priorities differ.
    HeartbeatAck(HeartbeatNumber, Option<Demand>),
    /// Lists the attempts that the entry has recorded for this agent; follows the first description on each link.
    Reconcile {
        /// Attempts to continue.
        keep: Vec<RecordedAttempt>,
        /// Attempts to stop; an earlier stop message may have been lost with the previous link.
        stop: Vec<RecordedAttempt>,
    },
    /// Sets the time left until attempts are stopped, also if the entry sends no stop. A limit is never extended.
    TimeLimits(Vec<(AttemptKey, Duration)>),
    /// Sets when attempts must have ended, also if the worker confirms no stop. A limit is never extended.
    EndLimits(Vec<(AttemptKey, EndLimit)>),
    /// Records of lost workers that other agents have reported, which the agent passes on to the entries.
    Losses(Vec<WorkerCrash>),
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The task completed.
    Completed,
    /// The task failed, because of the task itself or of the worker.
    Failed,
    /// The run was stopped on request, or its lease expired on a worker that goes on.
    Stopped,
    /// The run ended without a result: its worker was lost.
    Lost,
    /// The run did not start and never will.
    NotStarted,
}

impl RunOutcome {
    /// Returns the name of the outcome in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lost => "lost",
            Self::NotStarted => "not_started",
        }
    }
}

/// Ended attempt: proof that it is not running and will not run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Attempt that ended.
    pub key: AttemptKey,
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Time from the start to the end, or zero if the run did not start.
    pub run_time: Duration,
}

/// Properties of a worker that placement depends on.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag states a property that the others do not imply"
)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerDescription {
    /// Name of the worker's incarnation.
    pub worker: WorkerName,
    /// Pool that the worker belongs to.
    pub pool: PoolName,
    /// Failure domain of the worker.
    pub failure_domain: FailureDomain,
    /// Labels of the worker.
    pub labels: Vec<Label>,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Whether the worker is being drained and accepts no new tasks.
    pub leaving: bool,
    /// Whether the agent accepts records of the losses of other workers.
    pub stores_losses: bool,
    /// Whether the agent reads the resources of recorded attempts.
    pub reads_resources: bool,
    /// Whether the agent accepts time limits of attempts that it has started.
    pub reads_time_limits: bool,
    /// Whether the agent accepts limits on the ends of attempts.
    pub reads_end_limits: bool,
    /// Whether the agent reads the demand in acknowledgements of heartbeats.
    pub reads_demand: bool,
}

/// Load and health of a worker as observed by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Capacity that is not allocated to running or queued tasks.
    pub free: Resources,
    /// Part of the free capacity that is reserved for the receiving entry while several entries compete for it.
    pub share: Resources,
    /// Number of tasks that are queued at the agent for capacity.
    pub waiting: u32,
    /// Ratio of observed to declared run time in thousandths; zero before the first observation.
    pub run_time_permille: u32,
    /// Fraction of recent runs that failed, in thousandths.
    pub failure_permille: u32,
    /// Whether the worker responds and accepts tasks.
    pub available: bool,
    /// Latest start order of the receiving entry that is included in these figures.
    pub last_order: OrderNumber,
    /// Sum of the demand at all entries; only in heartbeats to entries that state theirs.
    pub demand: Option<DemandSum>,
}

/// Message from the agent of a worker to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerToEntry {
    /// Describes the worker and lists its recent crashes; the first message on each link, repeated after every change.
    Describe(WorkerDescription, Vec<WorkerCrash>),
    /// Numbered heartbeat with the current load; the entry acknowledges it.
    Heartbeat(HeartbeatNumber, WorkerLoad),
    /// Reports the load between heartbeats.
    Load(WorkerLoad),
    /// Reports ended attempts, and the load without them.
    Ended(Vec<EndedRun>, WorkerLoad),
    /// Reports interference between kinds of tasks; sent only to entries that state the kinds of their tasks.
    Interference(InterferenceReport),
}

impl WorkerToEntry {
    /// Returns whether the message reports the load, or interference, and nothing else.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::{WorkerDescription, WorkerToEntry};
    ///
    /// assert!(!WorkerToEntry::Describe(WorkerDescription::default(), Vec::new()).is_load_report());
    /// ```
    #[must_use]
    pub fn is_load_report(&self) -> bool {
        matches!(self, Self::Heartbeat(..) | Self::Load(_) | Self::Interference(_))
    }
}

//! Leased runs: what entries and the agents of workers tell each other, as plain data.
//!
//! A run is one start of a task on a worker. Two runs of one task never overlap, so a run is ordered only by an entry that
//! the agent has heard from recently, and an entry orders the next one only when the former has provably ended. The `wire`
//! crate mirrors these types in its own encoding.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::{FailureDomain, JobId, PoolName, StepIndex, TaskIndex};

/// Number of a start of a task on one worker; it rises with each start there.
pub type RunNumber = u64;
/// Number of an attempt at a task by one entry, starting at one.
pub type AttemptNumber = u32;
/// Number of a start order of an entry to one agent; it rises with each order.
pub type OrderNumber = u64;
/// Number of a heartbeat of an agent process; it rises with each heartbeat.
pub type HeartbeatNumber = u64;
/// Name of one incarnation of a worker.
pub type WorkerName = String;
/// Label of a worker, such as its kind or its rack.
pub type Label = String;
/// Number of one session of a link in this process.
pub type LinkNumber = u64;

/// Amount of a worker's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Reports whether this amount fits into another.
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
    pub fn fits_within(self, room: Self) -> bool {
        self.cpu_millis <= room.cpu_millis && self.memory_mb <= room.memory_mb && self.gpus <= room.gpus
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns what is left of this amount without another, at least nothing.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Identity of a task over all its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobId,
    /// Step of the job.
    pub step: StepIndex,
    /// Position in the step.
    pub index: TaskIndex,
}

/// One attempt at a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
}

/// Task of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskOrder {
    /// The attempt.
    pub key: AttemptKey,
    /// Capacity that the task takes while it runs.
    pub resources: Resources,
    /// Declared run time.
    pub declared_run_time: Duration,
}

/// Order to start tasks of one job on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Number of the order.
    pub number: OrderNumber,
    /// Latest heartbeat that the entry had received; the order is void once that heartbeat is too old.
    pub last_heartbeat: HeartbeatNumber,
    /// Time left until the latency objective of the job.
    pub time_to_objective: Duration,
    /// Input of the tasks.
    pub spec: Bytes,
    /// The tasks.
    pub tasks: Vec<TaskOrder>,
}

/// Message from an entry to the agent of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryToWorker {
    /// Starts tasks.
    Start(StartOrder),
    /// Stops attempts.
    Stop(Vec<AttemptKey>),
    /// Acknowledges a heartbeat, which renews the entry's lease on its runs.
    HeartbeatAck(HeartbeatNumber),
    /// Names the attempts that the entry believes to be there, first on each link.
    Reconcile {
        /// Attempts that go on.
        keep: Vec<AttemptKey>,
        /// Attempts that the entry wants stopped; the order may have been lost with the former link.
        stop: Vec<AttemptKey>,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The task did its work.
    Completed,
    /// The task failed, by its own fault or the worker's.
    Failed,
    /// The run was stopped by order.
    Stopped,
    /// The run ended otherwise: its lease lapsed, or its worker restarted.
    Lost,
    /// The run never began and never will.
    NotStarted,
}

impl RunOutcome {
    /// Returns the name in logs.
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

/// Proof that an attempt does not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The attempt.
    pub key: AttemptKey,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Time from the start to the end, zero if it never began.
    pub run_time: Duration,
}

/// What a worker is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerDescription {
    /// Name of the incarnation.
    pub worker: WorkerName,
    /// Pool that the worker belongs to.
    pub pool: PoolName,
    /// Failure domain of the worker.
    pub failure_domain: FailureDomain,
    /// Labels of the worker.
    pub labels: Vec<Label>,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Whether it takes no new tasks.
    pub leaving: bool,
}

/// State of a worker as its agent knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Capacity that neither running nor waiting tasks take.
    pub free: Resources,
    /// Part of the free capacity that is set aside for the receiving entry while several compete for it.
    pub share: Resources,
    /// Tasks that wait at the agent for capacity.
    pub waiting: u32,
    /// Observed over declared run time, in thousandths; zero before the first observation.
    pub run_time_permille: u32,
    /// Share of recent runs that failed, in thousandths.
    pub failure_permille: u32,
    /// Whether the worker answers and takes tasks.
    pub available: bool,
    /// Latest start order of the receiving entry that the amounts include.
    pub last_order: OrderNumber,
}

/// Message from the agent of a worker to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerToEntry {
    /// Describes the worker, first on each link and on every change.
    Describe(WorkerDescription),
    /// Carries a numbered heartbeat, to be acknowledged.
    Heartbeat(HeartbeatNumber, WorkerLoad),
    /// Tells the load between heartbeats.
    Load(WorkerLoad),
    /// Reports attempts that ended, and the load without them.
    Ended(Vec<EndedRun>, WorkerLoad),
}

impl WorkerToEntry {
    /// Reports whether the message tells the load and nothing else.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::{WorkerDescription, WorkerToEntry};
    ///
    /// assert!(!WorkerToEntry::Describe(WorkerDescription::default()).is_load_report());
    /// ```
    #[must_use]
    pub fn is_load_report(&self) -> bool {
        matches!(self, Self::Heartbeat(..) | Self::Load(_))
    }
}

//! Input events and output actions of the entry core.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_evacuation::{EvacuationChange, Evacuations};
use chestnutfork_routes::RouteTable;
use chestnutfork_types::{
    AttemptKey, ConfigVersion, EntryToWorker, JobId, Label, LinkNumber, NodeName, ProcessId, Resources,
    RouteName, RunOutcome, StepIndex, TaskKey, TaskOrder, WorkerName, WorkerToEntry,
};

use crate::agents::{AgentIndex, Outstanding};
use crate::config::BrokerConfig;
use crate::job::Task;

/// Memory of a task and of its attempt: its state, an outstanding attempt, an entry of the index of outstanding tasks, and
/// the task in a start order. The two tables have up to twice the capacity that they need.
const TASK_STATE_BYTES: usize = size_of::<Task>()
    + 2 * size_of::<(AttemptKey, Outstanding)>()
    + 2 * size_of::<(TaskKey, AgentIndex)>()
    + size_of::<TaskOrder>();

/// Identifies a request that waits for its answer.
pub type Ticket = u64;

/// Step of a submitted job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u16,
    /// Capacity that each task uses.
    pub resources: Resources,
    /// Run time of one task as declared by the caller.
    pub declared_run_time: Duration,
    /// Steps that must complete before this one starts.
    pub depends_on: Vec<StepIndex>,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<Label>,
    /// Label of the workers near the data; tasks take longer on other workers.
    pub data_label: Option<Label>,
    /// Maximum number of tasks of the step on one worker at a time.
    pub max_per_worker: Option<u16>,
    /// Whether all tasks must run at the same time.
    pub gang: bool,
    /// Image that the tasks run. Steps without one are told apart by their route.
    pub image: Option<String>,
}

/// Job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSubmission {
    /// Input of the tasks.
    pub spec: Bytes,
    /// Steps in an order in which each follows those that it depends on.
    pub steps: Vec<StepSpec>,
    /// Whether the job must outlive its request.
    pub durable: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the job runs repeatedly at set times.
    pub recurring: bool,
}

impl JobSubmission {
    /// Returns an upper bound on the memory of the job's tasks and their attempts, which does not follow from the size of
    /// the submission.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_broker::{JobSubmission, StepSpec};
    ///
    /// let step = StepSpec { tasks: 8, ..StepSpec::default() };
    /// let job = JobSubmission { steps: vec![step], ..JobSubmission::default() };
    /// assert!(job.state_bytes() > 0);
    /// ```
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let tasks = self
            .steps
            .iter()
            .map(|step| usize::from(step.tasks))
            .sum::<usize>();
        // A job with more tasks is refused before any state is built.
        tasks.min(BrokerConfig::DEFAULT_MAX_TASKS) * TASK_STATE_BYTES
    }
}

/// Operation that a request performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submits a job and waits for its end.
    Submit(JobSubmission),
    /// Queries the state of a job, or of the queue if no job is named.
    Lookup,
    /// Cancels a job.
    Cancel,
}

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Host that the request names.
    pub host: String,
    /// Path of the queue.
    pub queue: String,
    /// Job that the request names.
    pub job: Option<JobId>,
    /// How long the caller waits; the default is the timeout of the route.
    pub timeout: Option<Duration>,
    /// Operation to perform.
    pub kind: RequestKind,
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has been placed.
    Queued,
    /// At least one task has been placed.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task failed too often.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// All tasks have completed.
    Completed,
    /// A task failed as often as the route allows, or lost too many workers.
    Failed,
    /// A caller cancelled the job, or all its callers disconnected.
    Cancelled,
    /// The job's deadline passed.
    TimedOut,
}

impl JobEnd {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::TimedOut => "timed_out",
        }
    }

    pub(crate) fn answer(self) -> Answer {
        match self {
            Self::Completed => Answer::State(JobState::Completed),
            Self::Failed => Answer::State(JobState::Failed),
            Self::Cancelled => Answer::State(JobState::Cancelled),
            Self::TimedOut => Answer::TimedOut,
        }
    }
}

/// Why a submission was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No route table has arrived yet.
    NoRoutes,
    /// The process is shutting down.
    Draining,
    /// The job needs a feature that this system does not offer, such as durability.
    Unsupported,
    /// The job has no tasks, a run time that is too long, or inconsistent dependencies.
    Malformed,
    /// The job has more tasks than an entry accepts in one job.
    TooManyTasks,
    /// No worker of the pool could ever run one of the tasks.
    NeverFits,
    /// Too many jobs are in progress.
    TooManyJobs,
    /// The backlog would make the job miss its objective, or it missed the objective while it waited.
    Overloaded,
    /// This process sends orders and reads reports so late that the job would miss its objective.
    Behind,
    /// Nothing reached this process for a while, and the caller may have submitted the job to another entry meanwhile.
    Silence,
    /// Only workers in evacuated failure domains could run one of the tasks.
    Evacuated,
}

impl RefusalReason {
    /// Returns the name used in logs and answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoutes => "no_routes",
            Self::Draining => "draining",
            Self::Unsupported => "unsupported",
            Self::Malformed => "malformed",
            Self::TooManyTasks => "too_many_tasks",
            Self::NeverFits => "never_fits",
            Self::TooManyJobs => "too_many",
            Self::Overloaded => "overloaded",
            Self::Behind => "behind",
            Self::Silence => "silence",
            Self::Evacuated => "evacuated",
        }
    }

    /// Returns whether the job is at fault, so that it would be refused again whatever the state of the system.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_broker::RefusalReason;
    ///
    /// assert!(RefusalReason::TooManyTasks.is_permanent());
    /// assert!(!RefusalReason::Overloaded.is_permanent());
    /// ```
    #[must_use]
    pub fn is_permanent(self) -> bool {
        matches!(self, Self::Malformed | Self::TooManyTasks)
    }
}

/// Answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// State of the job; the answer to a submission is a final state.
    State(JobState),
    /// Number of the queue's jobs of which no task has been placed.
    Pending(u64),
    /// The job is not known.
    Unknown,
    /// The job was cancelled.
    Cancelled,
    /// The job's deadline passed before all tasks had completed; tasks still running are stopped.
    TimedOut,
    /// No route matches the request.
    NoRoute,
    /// The submission was refused, and none of its tasks ran or will run.
    Refused {
        /// Cause of the refusal.
        reason: RefusalReason,
        /// How long the caller should wait before it resubmits the job.
        retry_after: Duration,
    },
}

/// Input of the entry core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time passed to `handle` has reached `next_wakeup`.
    Tick,
    /// A route table arrived.
    Routes(RouteTable),
    /// The number of entries that share the workers changed.
    EntryCount(usize),
    /// A link to an agent opened.
    AgentUp {
        /// Link that opened.
        link: LinkNumber,
        /// Name of the agent, which is the same after a restart.
        agent: NodeName,
        /// Incarnation of the agent.
        process: ProcessId,
    },
    /// A link to an agent closed.
    AgentDown {
        /// Link that closed.
        link: LinkNumber,
    },
    /// A message arrived from an agent.
    FromAgent {
        /// Link on which it arrived.
        link: LinkNumber,
        /// Content of the message.
        message: WorkerToEntry,
    },
    /// A request arrived from a caller.
    Request {
        /// Identifier that the answer must carry.
        ticket: Ticket,
        /// Content of the request.
        request: Request,
        /// When the request reached the process. Its objective and its deadline count from then, because it may wait
        /// before the core reads it.
        received_at: Instant,
    },
    /// A caller disconnected before it was answered.
    CallerDisconnected {
        /// Identifier of its request.
        ticket: Ticket,
    },
    /// The process shuts down and accepts no more submissions.
    Drain,
    /// Evacuations arrived from control.
    Evacuations {
        /// Evacuated domains and their revision.
        state: Evacuations,
        /// Time for which the state had been in force at its sender.
        age: Duration,
    },
}

/// Output of the entry core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to an agent.
    ToAgent(LinkNumber, EntryToWorker),
    /// Answers a request.
    Answer(Ticket, Answer),
    /// Reports a decision for the log.
    Notice(Notice),
}

/// Decision or state change to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Nothing reached the process for a while, and it places no tasks until it has read what arrived meanwhile.
    Paused {
        /// How late its timer was.
        paused: Duration,
    },
    /// The process has begun to send orders and read reports late.
    Behind {
        /// Delay of the latest attempts beyond their run time.
        delay: Duration,
        /// Number of jobs in progress.
        jobs: u64,
        /// Number of jobs with tasks that wait for capacity.
        waiting: u64,
    },
    /// The process sends orders and reads reports in time again.
    CaughtUp {
        /// Time since it fell behind.
        lasted: Duration,
    },
    /// A route table came into force.
    RoutesInForce {
        /// Version of the table.
        version: ConfigVersion,
        /// Number of routes.
        routes: u64,
    },
    /// No route matched a request.
    RouteMissing {
        /// Host of the request.
        host: String,
        /// Path of the request up to the id of the job.
        queue: String,
        /// Version of the route table that was used.
        version: ConfigVersion,
        /// Time since that version came into force.
        in_force: Duration,
    },
    /// A submitted job was accepted.
    JobTaken {
        /// Job that was accepted.
        job: JobId,
        /// Route that the request matched.
        route: RouteName,
        /// Version of the route table that was used.
        version: ConfigVersion,
        /// Number of tasks.
        tasks: u64,
        /// Time until its latency objective.
        objective: Duration,
        /// Number of jobs with tasks that wait for capacity.
        waiting: u64,
    },
    /// A submitted job was refused.
    JobRefused {
        /// Job that was refused.
        job: JobId,
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time that the job waited.
        waited: Duration,
        /// Number of jobs with tasks that wait for capacity.
        waiting: u64,
    },
    /// A submitted job was shed, because demand at all entries exceeds the capacity; [`Self::JobRefused`] follows.
    JobShed {
        /// Job that was refused.
        job: JobId,
        /// Route that the request matched.
        route: RouteName,
        /// Priority as which the job counts.
        priority: u32,
        /// Fraction of the jobs of the priority that is admitted.
        fraction: f64,
        /// Work of the submissions of a second at all entries, in thousandths of a core-second.
        demand: u64,
        /// Capacity of the usable workers in thousandths of a core.
        capacity: f64,
        /// Age of the demand when the decision was made.
        age: Duration,
    },
    /// A job ended and its callers were answered.
    JobEnded {
        /// Job that ended.
        job: JobId,
        /// How the job ended.
        end: JobEnd,
        /// Time since its submission.
        took: Duration,
        /// Time from its submission until its first task was placed.
        waited: Duration,
        /// Number of attempts over all its tasks.
        attempts: u64,
        /// Whether the job met its objective.
        on_time: bool,
    },
    /// An attempt ended without completing; its task is retried, or its job fails.
    AttemptEnded {
        /// Attempt that ended.
        key: AttemptKey,
        /// Agent of the worker.
        agent: NodeName,
        /// How the attempt ended.
        outcome: RunOutcome,
        /// Run time.
        run_time: Duration,
    },
    /// A worker was lost under a task.
    LossCounted {
        /// Task that the worker ran.
        task: TaskKey,
        /// Agent of the worker.
        agent: NodeName,
        /// Worker that was lost.
        worker: WorkerName,
        /// Number of workers that have certainly crashed under the task.
        confirmed: u64,
        /// Number of workers lost under the task for an unknown cause.
        possible: u64,
    },
    /// A job is answered as failed, because one of its tasks has lost too many workers.
    JobGivenUp {
        /// Task that has lost too many workers.
        task: TaskKey,
        /// Number of workers that have certainly crashed under the task.
        confirmed: u64,
        /// Number of workers lost under the task for an unknown cause.
        possible: u64,
        /// Whether this submission of the job was in progress; otherwise it was answered on arrival.
        ordered: bool,
    },
    /// Tasks of a job were placed away from runs that slow them down, or that they slow down.
    InterferenceAvoided {
        /// Job of the tasks.
        job: JobId,
        /// Number of the tasks.
        tasks: u64,
        /// Agent of the worker that the first of them would have been placed on.
        agent: NodeName,
        /// Kind that is slowed down: its image or its route.
        slowed: String,
        /// Kind beside it.
        beside: String,
        /// Factor on the run time of the slowed kind, in thousandths.
        slowdown_permille: u64,
        /// Number of runs that show the slowdown.
        runs: u64,
        /// Time since the latest of these runs.
        age: Duration,
    },
    /// An attempt takes much longer than expected and is stopped.
    AttemptOverdue {
        /// Attempt that is stopped.
        key: AttemptKey,
        /// Agent of the worker.
        agent: NodeName,
        /// Time since the attempt was ordered.
        elapsed: Duration,
    },
    /// A new incarnation of a worker can be used through its agent.
    AgentJoined {
        /// Agent of the worker.
        agent: NodeName,
        /// Pool that the worker belongs to.
        pool: String,
        /// Number of attempts that this entry listed in its `Reconcile` message on the link.
        outstanding: u64,
    },
    /// The link to an agent closed.
    AgentLost {
        /// Agent behind the link.
        agent: NodeName,
        /// Number of attempts whose end is not known.
        outstanding: u64,
    },
    /// An agent sent no heartbeat for so long that all its leases have expired.
    AgentLapsed {
        /// Agent without heartbeats.
        agent: NodeName,
        /// Time since its last heartbeat.
        silent: Duration,
        /// Number of attempts that ended with the leases.
        attempts: u64,
    },
    /// Evacuations with a higher revision came into force.
    EvacuationsInForce {
        /// Evacuated domains and their revision.
        state: Evacuations,
        /// Domains whose state changed.
        change: EvacuationChange,
        /// Number of jobs that were refused because they fit only there.
        refused: u64,
        /// Time for which the state had been in force at its sender.
        age: Duration,
    },
}

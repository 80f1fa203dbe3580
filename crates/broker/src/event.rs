//! Events that drive the entry core and actions that it asks for.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_routes::RouteTable;
use chestnutfork_types::{
    AttemptKey, ConfigVersion, EntryToWorker, JobId, Label, LinkNumber, NodeName, ProcessId, Resources,
    RouteName, RunEnd, StepIndex, WorkerToEntry,
};

/// Number of a request that waits for its answer.
pub type Ticket = u64;

/// Step of a submitted job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u16,
    /// Capacity that each task takes.
    pub resources: Resources,
    /// Declared run time of a task.
    pub declared_run_time: Duration,
    /// Steps that must have completed before.
    pub depends_on: Vec<StepIndex>,
    /// Label that the worker must have.
    pub required_label: Option<Label>,
    /// Label of the workers near the data.
    pub data_label: Option<Label>,
    /// Largest number of tasks of the step on one worker at a time.
    pub max_per_worker: Option<u16>,
    /// Whether the tasks work only together.
    pub gang: bool,
}

/// Submitted job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSubmission {
    /// Input of the tasks.
    pub spec: Bytes,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Whether the job must outlive its request.
    pub durable: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the job runs at set times.
    pub recurring: bool,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Runs a job.
    Submit(JobSubmission),
    /// Asks for the state of a job, or of the queue if no job is named.
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
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// What it asks for.
    pub kind: RequestKind,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// A task has begun.
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
    /// A task failed as often as the route allows.
    Failed,
    /// The caller cancelled it, or all callers have gone.
    Cancelled,
    /// The time that the caller waits was over.
    TimedOut,
}

impl JobEnd {
    /// Returns the name in logs.
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

/// Why a submission was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No route table has arrived yet.
    NoRoutes,
    /// The process is stopping.
    Draining,
    /// The job asks for what this system does not offer, such as being stored.
    Unsupported,
    /// The job is empty, too large, or contradicts itself.
    Malformed,
    /// No worker could ever run one of the tasks.
    NeverFits,
    /// Too many jobs are in progress.
    TooManyJobs,
    /// The objective could not be met with what waits already, or was missed while the job waited.
    Overloaded,
}

impl RefusalReason {
    /// Returns the name in logs and answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoutes => "no_routes",
            Self::Draining => "draining",
            Self::Unsupported => "unsupported",
            Self::Malformed => "malformed",
            Self::NeverFits => "never_fits",
            Self::TooManyJobs => "too_many",
            Self::Overloaded => "overloaded",
        }
    }
}

/// Answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// State of the job; to a submission, that it has ended.
    State(JobState),
    /// Number of the queue's jobs of which no task has begun.
    Pending(u64),
    /// The job is not known.
    Unknown,
    /// The job was cancelled.
    Cancelled,
    /// The time for the job was over before all tasks had completed; what still ran of it is stopped.
    TimedOut,
    /// No route matches.
    NoRoute,
    /// The submission was not taken, and nothing of it ran or will run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to try again.
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
    /// Number of entries that share the workers.
    EntryCount(usize),
    /// A link to an agent is open.
    AgentUp {
        /// The link.
        link: LinkNumber,
        /// Name of the agent, which survives restarts.
        agent: NodeName,
        /// Incarnation of the agent.
        process: ProcessId,
    },
    /// A link to an agent is closed.
    AgentDown {
        /// The link.
        link: LinkNumber,
    },
    /// An agent sent a message.
    FromAgent {
        /// The link.
        link: LinkNumber,
        /// The message.
        message: WorkerToEntry,
    },
    /// A caller sent a request.
    Request {
        /// Number for the answer.
        ticket: Ticket,
        /// The request.
        request: Request,
    },
    /// A caller went away before its answer.
    CallerDisconnected {
        /// Number of its request.
        ticket: Ticket,
    },
    /// The process takes no more submissions.
    Drain,
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

/// Decision or change of belief, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A route table came into force.
    RoutesInForce {
        /// Its version.
        version: ConfigVersion,
        /// Number of routes.
        routes: u64,
    },
    /// A job was taken.
    JobTaken {
        /// The job.
        job: JobId,
        /// Its route.
        route: RouteName,
        /// Version of the route table that decided.
        version: ConfigVersion,
        /// Number of tasks.
        tasks: u64,
        /// Time until its latency objective.
        objective: Duration,
        /// Jobs that wait for capacity.
        waiting: u64,
    },
    /// A job was refused.
    JobRefused {
        /// The job.
        job: JobId,
        /// Why.
        reason: RefusalReason,
        /// Time that it waited.
        waited: Duration,
        /// Jobs that wait for capacity.
        waiting: u64,
    },
    /// A job was answered.
    JobEnded {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
        /// Time from its submission.
        took: Duration,
        /// Time until its first task was placed.
        waited: Duration,
        /// Attempts at its tasks.
        attempts: u64,
        /// Whether it met its objective.
        on_time: bool,
    },
    /// An attempt ended without completing, and the task is placed again or given up.
    AttemptEnded {
        /// The attempt.
        key: AttemptKey,
        /// Agent of the worker.
        agent: NodeName,
        /// How it ended.
        end: RunEnd,
        /// Time that it ran.
        ran: Duration,
    },
    /// An attempt lasts much longer than expected and is stopped.
    AttemptOverdue {
        /// The attempt.
        key: AttemptKey,
        /// Agent of the worker.
        agent: NodeName,
        /// Time since it was ordered.
        elapsed: Duration,
    },
    /// An agent became usable.
    AgentJoined {
        /// The agent.
        agent: NodeName,
        /// Pool of its worker.
        pool: String,
        /// Attempts that it is asked about.
        claimed: u64,
    },
    /// The link to an agent closed.
    AgentLost {
        /// The agent.
        agent: NodeName,
        /// Attempts whose end is not known.
        outstanding: u64,
    },
    /// The leases behind a silent agent have ended.
    AgentLapsed {
        /// The agent.
        agent: NodeName,
        /// Time since its last heartbeat.
        silent: Duration,
        /// Attempts that have ended by that.
        attempts: u64,
    },
}

//! Events that drive the agent core and actions that it asks for.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, EntryToWorker, LinkNumber, ProcessId, RunEnd, RunNumber, TaskKey, WorkerDescription,
    WorkerName, WorkerToEntry,
};

/// Number of a call to the worker, to match its reply.
pub type CallId = u64;
/// Number that rises with each agent process; a worker ignores orders with a lower one than it has seen.
pub type FencingToken = u64;

/// What a worker tells about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// What the worker is.
    pub description: WorkerDescription,
    /// Address that takes calls.
    pub address: String,
    /// Start of the incarnation since 1970; it tells incarnations of one name apart.
    pub started_at: Duration,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// Reading of the worker's steady clock.
    pub clock: Duration,
}

/// Order to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Input of the task.
        spec: Bytes,
        /// End of the worker's lease, on its clock.
        until: Duration,
        /// Token of this process.
        token: FencingToken,
    },
    /// Stops a run, or keeps it from starting.
    Stop {
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Token of this process.
        token: FencingToken,
    },
    /// Renews the worker's lease and asks what runs and what has ended.
    RenewLease {
        /// End of the worker's lease, on its clock.
        until: Duration,
        /// Latest end that need not be listed again.
        last_seen: u64,
        /// How long the worker waits for an end before it replies.
        wait: Duration,
        /// Token of this process.
        token: FencingToken,
    },
}

/// Run that a worker lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
}

/// End of a run that a worker lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Number of the end.
    pub number: u64,
    /// The run.
    pub run: ListedRun,
    /// How it ended.
    pub end: RunEnd,
}

/// What a worker runs and what has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunList {
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<ListedEnd>,
    /// Whether the worker may have more ends to list.
    pub truncated: bool,
}

/// Why a worker did not carry out an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has seen this or a higher number of a run of the task.
    StaleRun,
    /// The end of the lease has passed.
    LeaseExpired,
    /// The task does not fit.
    InsufficientCapacity,
    /// Another reason, which will not change.
    Other,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The order was carried out.
    Done,
    /// The lease was renewed.
    LeaseRenewed(RunList),
    /// The worker did nothing.
    Refused(Refusal),
    /// The address belongs to another incarnation, which did nothing.
    OtherIncarnation,
    /// The worker did nothing for want of health.
    Unhealthy,
    /// No connection could be opened, so the order never arrived.
    Unreachable,
    /// The order may have been carried out, or may be later.
    NoAnswer,
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Reading of the worker's clock, if it replied.
    pub clock: Option<Duration>,
    /// What became of the call.
    pub outcome: Outcome,
}

/// Input of the agent core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time passed to `handle` has reached `next_wakeup`.
    Tick,
    /// The worker announced itself.
    Announced(Announcement),
    /// The worker left.
    Withdrawn(WorkerName),
    /// A link to an entry is open.
    EntryUp {
        /// The link.
        link: LinkNumber,
        /// Incarnation of the entry.
        entry: ProcessId,
    },
    /// A link to an entry is closed.
    EntryDown {
        /// The link.
        link: LinkNumber,
    },
    /// An entry sent a message.
    FromEntry {
        /// The link.
        link: LinkNumber,
        /// The message.
        message: EntryToWorker,
    },
    /// A call ended.
    Replied {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Reply,
    },
    /// The process takes no more tasks.
    Drain,
}

/// Output of the agent core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an entry.
    ToEntry(LinkNumber, WorkerToEntry),
    /// Calls the worker.
    Call {
        /// Number that comes back with the reply.
        call: CallId,
        /// Address of the worker.
        address: String,
        /// Incarnation that the order is for.
        worker: WorkerName,
        /// The order.
        order: Order,
    },
    /// Reports a decision for the log.
    Notice(Notice),
}

/// Decision or change of belief, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A new incarnation of the worker announced itself.
    WorkerJoined {
        /// The worker.
        worker: WorkerName,
        /// Its pool.
        pool: String,
        /// Capacity in thousandths of a core.
        cpu_millis: u64,
    },
    /// The worker takes no new tasks.
    WorkerLeaving {
        /// The worker.
        worker: WorkerName,
        /// Tasks that still run.
        running: u64,
    },
    /// The worker left or was replaced.
    WorkerGone {
        /// The worker.
        worker: WorkerName,
        /// Runs that ended with it.
        lost: u64,
    },
    /// The worker does not answer.
    WorkerSilent {
        /// The worker.
        worker: WorkerName,
        /// Time since its last reply.
        silent: Duration,
    },
    /// The worker answers again.
    WorkerAnswers {
        /// The worker.
        worker: WorkerName,
    },
    /// The lease of an entry on its runs ended.
    EntryLapsed {
        /// Incarnation of the entry.
        entry: ProcessId,
        /// Runs that are stopped.
        runs: u64,
    },
    /// A start was refused.
    StartRefused {
        /// The attempt.
        key: AttemptKey,
        /// Why.
        reason: &'static str,
    },
    /// A start got no answer and is being ruled out.
    StartUnanswered {
        /// The attempt.
        key: AttemptKey,
        /// Number of the run.
        run: RunNumber,
    },
    /// A run ended in another way than by completing.
    RunEnded {
        /// The attempt.
        key: AttemptKey,
        /// How it ended.
        end: RunEnd,
        /// Time that it ran.
        ran: Duration,
    },
    /// A run without a known owner is stopped.
    OrphanStopped {
        /// The run.
        run: ListedRun,
    },
}

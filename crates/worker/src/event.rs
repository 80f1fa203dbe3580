//! Input events and output actions of the agent core.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_evacuation::{EvacuationChange, Evacuations};
use chestnutfork_types::{
    AttemptKey, EntryToWorker, LinkNumber, ProcessId, RunNumber, RunOutcome, TaskKey, WorkerDescription,
    WorkerName, WorkerToEntry,
};

/// Identifies a call to the worker and its reply.
pub type CallId = u64;
/// Increases with each agent process; a worker refuses orders with a lower token than the highest it has seen.
pub type FencingToken = u64;

/// Announcement of a worker's state to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Identity, capacity and labels of the worker.
    pub description: WorkerDescription,
    /// Address at which the worker accepts calls.
    pub address: String,
    /// Start time of the incarnation since the Unix epoch; distinguishes incarnations with the same name.
    pub started_at: Duration,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Reading of the worker's monotonic clock.
    pub clock: Duration,
}

/// Order sent to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Task to run.
        task: TaskKey,
        /// Number of the new run.
        run: RunNumber,
        /// Input of the task.
        spec: Bytes,
        /// End of the worker's lease, on the worker's clock.
        until: Duration,
        /// Fencing token of this process.
        token: FencingToken,
    },
    /// Stops a run, or prevents it from starting if it has not started yet.
    Stop {
        /// Task whose run is stopped.
        task: TaskKey,
        /// Number of the run; the worker then refuses starts with this or a lower number.
        run: RunNumber,
        /// Fencing token of this process.
        token: FencingToken,
    },
    /// Requests the list of current and ended runs, and renews the worker's lease.
    RenewLease {
        /// End of the worker's lease, on the worker's clock; without it the order only requests the list.
        until: Option<Duration>,
        /// Number of the last end received; the worker need not list it or earlier ones again.
        last_received_end: u64,
        /// How long the worker waits for a run to end before it replies.
        wait: Duration,
        /// Fencing token of this process.
        token: FencingToken,
    },
}

/// Run listed by a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub number: RunNumber,
}

/// Ended run listed by a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Position in the worker's sequence of ends, used to acknowledge it.
    pub number: u64,
    /// Run that ended.
    pub run: ListedRun,
    /// How the run ended.
    pub outcome: RunOutcome,
}

/// Current and ended runs of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunList {
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<ListedEnd>,
    /// Whether the worker may have more ends than it listed.
    pub truncated: bool,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has seen this or a higher run number for the task.
    StaleRun,
    /// The lease end given in the order has passed.
    LeaseExpired,
    /// The task does not fit into the free capacity.
    InsufficientCapacity,
    /// Another, permanent reason.
    Other,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The order was carried out.
    Done,
    /// The lease was renewed.
    LeaseRenewed(RunList),
    /// The worker refused the order and did nothing.
    Refused(Refusal),
    /// The address belongs to another incarnation, which did nothing.
    OtherIncarnation,
    /// The worker did nothing because it is not healthy.
    Unhealthy,
    /// No connection could be opened, so the order never arrived.
    Unreachable,
    /// The order may have been carried out, or may still be carried out later.
    NoAnswer,
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Reading of the worker's clock, if the worker replied.
    pub clock: Option<Duration>,
    /// Start time of the incarnation that replied, if the reply states it.
    pub started_at: Option<Duration>,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// Input of the agent core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time passed to `handle` has reached `next_wakeup`.
    Tick,
    /// The worker announced itself.
    Announced(Announcement),
    /// The worker shut down.
    Withdrawn(WorkerName),
    /// A link to an entry opened.
    EntryUp {
        /// Link that opened.
        link: LinkNumber,
        /// Incarnation of the entry.
        entry: ProcessId,
    },
    /// A link to an entry closed.
    EntryDown {
        /// Link that closed.
        link: LinkNumber,
    },
    /// A message arrived from an entry.
    FromEntry {
        /// Link on which it arrived.
        link: LinkNumber,
        /// Message of the entry.
        message: EntryToWorker,
    },
    /// A call to the worker completed.
    Replied {
        /// Call that completed.
        call: CallId,
        /// Reply of the worker, or how the call failed.
        reply: Reply,
    },
    /// The process shuts down and accepts no more tasks.
    Drain,
    /// Evacuations arrived from control.
    Evacuations {
        /// Evacuated domains and their revision.
        state: Evacuations,
        /// Time for which the state had been in force at its sender.
        age: Duration,
    },
}

/// Output of the agent core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an entry.
    ToEntry(LinkNumber, WorkerToEntry),
    /// Calls the worker.
    Call {
        /// Identifier that the reply must carry.
        call: CallId,
        /// Address of the worker.
        address: String,
        /// Incarnation that the order is for.
        worker: WorkerName,
        /// Order to deliver.
        order: Order,
    },
    /// Reports a decision for the log.
    Notice(Notice),
}

/// What proves that a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The worker listed the end.
    Listed,
    /// A list requested after the start or the stop was confirmed does not include the run.
    Unlisted,
    /// No start order was sent.
    NotOrdered,
    /// The worker rejected the start order, or it could not be delivered.
    Rejected,
    /// Every lease that was requested from the worker has expired.
    LeaseExpired,
    /// A worker of another name, which rejects orders for the former one, answers at its address.
    Renamed,
    /// The worker withdrew its announcement and accepts no more calls.
    Withdrawn,
}

impl Evidence {
    /// Returns the name of the evidence in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Unlisted => "unlisted",
            Self::NotOrdered => "not_ordered",
            Self::Rejected => "rejected",
            Self::LeaseExpired => "lease",
            Self::Renamed => "renamed",
            Self::Withdrawn => "withdrawal",
        }
    }
}

/// How the agent learned that an incarnation of the worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GoneReason {
    /// The worker withdrew its announcement.
    Withdrawn,
    /// A worker of another name announced itself and answers.
    Renamed,
}

impl GoneReason {
    /// Returns the name of the reason in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::Renamed => "renamed",
        }
    }
}

/// Decision or state change to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A new incarnation of the worker announced itself.
    WorkerJoined {
        /// Name of the new incarnation.
        worker: WorkerName,
        /// Pool that the worker belongs to.
        pool: String,
        /// Capacity in thousandths of a core.
        cpu_millis: u64,
        /// Start time of the incarnation since the Unix epoch.
        started_at: Duration,
    },
    /// An announcement under another name than that of the worker in use has no effect.
    AnnouncementRejected {
        /// Name in the announcement.
        worker: WorkerName,
        /// Pool in the announcement.
        pool: String,
        /// Cause of the rejection.
        reason: &'static str,
    },
    /// The worker accepts no new tasks.
    WorkerLeaving {
        /// Worker that is leaving.
        worker: WorkerName,
        /// Number of runs still in progress.
        running: u64,
    },
    /// The worker restarted under its name, and its new incarnation has to list the runs of the former one.
    WorkerRestarted {
        /// Name of both incarnations.
        worker: WorkerName,
        /// Number of runs that may be on either incarnation.
        unresolved: u64,
        /// Whether a reply showed the restart before an announcement did.
        unannounced: bool,
    },
    /// The worker shut down or was replaced.
    WorkerGone {
        /// Worker that ended.
        worker: WorkerName,
        /// Number of runs that ended with it.
        lost: u64,
        /// How the agent learned of the end.
        reason: GoneReason,
    },
    /// The worker was lost with tasks on it, which is reported to all entries.
    WorkerLost {
        /// Worker that was lost.
        worker: WorkerName,
        /// Whether it has certainly crashed; otherwise the leases of the tasks expired while it did not answer.
        confirmed: bool,
        /// Tasks that were on it.
        tasks: Vec<TaskKey>,
    },
    /// The worker does not answer calls.
    WorkerSilent {
        /// Worker that does not answer.
        worker: WorkerName,
        /// Time since its last reply.
        silent: Duration,
    },
    /// The worker answers calls again.
    WorkerAnswers {
        /// Worker that answered.
        worker: WorkerName,
    },
    /// An entry's lease on its runs expired.
    EntryLapsed {
        /// Incarnation of the entry.
        entry: ProcessId,
        /// Number of runs that are stopped.
        runs: u64,
    },
    /// The agent or the worker refused to start an attempt.
    StartRefused {
        /// Attempt that was refused.
        key: AttemptKey,
        /// Cause of the refusal.
        reason: &'static str,
    },
    /// The worker did not answer a start, so the agent checks whether the run began.
    StartUnanswered {
        /// Attempt that may have begun.
        key: AttemptKey,
        /// Run number in the unanswered order.
        run: RunNumber,
    },
    /// A run ended without completing.
    RunEnded {
        /// Attempt that ended.
        key: AttemptKey,
        /// Number of the run.
        run: RunNumber,
        /// Worker of the run.
        worker: WorkerName,
        /// How the run ended.
        outcome: RunOutcome,
        /// Run time.
        run_time: Duration,
        /// What proves the end.
        evidence: Evidence,
    },
    /// A run of an earlier agent process that no entry listed is stopped.
    OrphanStopped {
        /// Run that is stopped.
        run: ListedRun,
    },
    /// Evacuations with a higher revision came into force.
    EvacuationsInForce {
        /// Evacuated domains and their revision.
        state: Evacuations,
        /// Domains whose state changed.
        change: EvacuationChange,
        /// Number of queued tasks that were returned as not started.
        refused: u64,
        /// Time for which the state had been in force at its sender.
        age: Duration,
    },
}

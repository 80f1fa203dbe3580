//! Input events and output actions of the agent core.

use std::time::Duration;

use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, ConfigVersion, CreditId, Dispatch, EntryToAgent, PoolName, ProcessId,
    ServiceName, TargetName,
};

/// Input of the agent core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The target announced itself, which it repeats every second.
    TargetAnnounced {
        /// Name of the target.
        target: TargetName,
        /// Pool that the target belongs to.
        pool: PoolName,
        /// Number of tasks that the target runs concurrently.
        slots: u32,
        /// Whether the target accepts no new tasks.
        leaving: bool,
    },
    /// A link to an entry is up.
    EntryUp {
        /// Entry at the other end.
        entry: ProcessId,
    },
    /// The link to an entry is lost; the entry may reconnect.
    EntryDown {
        /// Entry at the other end.
        entry: ProcessId,
    },
    /// The lease of an entry ended, so its state may be dropped once its link is lost.
    ///
    /// The agent role repeats this event while the entry has no lease, because an entry without a lease may reconnect
    /// and lose its link again.
    EntryLeaseEnded {
        /// Entry whose lease ended.
        entry: ProcessId,
    },
    /// An entry sent a message.
    FromEntry {
        /// Sender.
        entry: ProcessId,
        /// Message.
        message: EntryToAgent,
    },
    /// A task that was started at the target has ended.
    TaskEnded {
        /// Credit that started the task.
        credit: CreditId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Time from start to end.
        run_time: Duration,
    },
    /// The configuration in force or its confirmation changed.
    ConfigState {
        /// Configuration version in force.
        version: ConfigVersion,
        /// Whether control confirmed the version within the allowed time.
        confirmed: bool,
        /// Services that must not start tasks while the version is unconfirmed.
        refusing: Vec<ServiceName>,
    },
    /// The process was requested to shut down.
    Drain,
    /// The time returned by `next_wakeup` is reached.
    Tick,
}

/// Output of the agent core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to a connected entry.
    Send {
        /// Receiver.
        entry: ProcessId,
        /// Message.
        message: AgentToEntry,
    },
    /// Starts a task at the target, with the remaining time as its deadline.
    Start {
        /// Entry that dispatched the task.
        entry: ProcessId,
        /// Dispatch of the task.
        dispatch: Dispatch,
    },
    /// Stops a running task at the target; `TaskEnded` still reports its end.
    Stop {
        /// Credit that started the task.
        credit: CreditId,
    },
    /// No task is running and no result is unacknowledged, so the process may exit.
    Drained,
}

//! Events that the agent core takes and actions that it asks for.

use std::time::Duration;

use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, ConfigVersion, CreditId, Dispatch, EntryToAgent, PoolName, ProcessId,
    ServiceName, TargetName,
};

/// Input of the agent core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The target announced itself; it repeats this every second.
    TargetAnnounced {
        /// Name of the target.
        target: TargetName,
        /// Pool that the target belongs to.
        pool: PoolName,
        /// Number of tasks that the target runs at once.
        slots: u32,
        /// Whether the target takes no new work.
        leaving: bool,
    },
    /// A link to an entry is up.
    EntryUp {
        /// Entry at the other end.
        entry: ProcessId,
    },
    /// The link to an entry is lost; the entry may come back.
    EntryDown {
        /// Entry at the other end.
        entry: ProcessId,
    },
    /// The lease of an entry ended, so its state may be dropped once its link is down.
    ///
    /// The role repeats this for an entry that stays away: its link may come and go without a lease.
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
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Time from start to end.
        run_time: Duration,
    },
    /// The configuration in force or its confirmation changed.
    ConfigState {
        /// Version in force.
        version: ConfigVersion,
        /// Whether control confirmed the version within the bound.
        confirmed: bool,
        /// Services that must not start tasks while the version is unconfirmed.
        refusing: Vec<ServiceName>,
    },
    /// The process is asked to shut down.
    Drain,
    /// The time named by `next_wakeup` has come.
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
    /// Runs a task at the target, with the remaining time as its deadline.
    Start {
        /// Entry that ordered the start.
        entry: ProcessId,
        /// Order.
        dispatch: Dispatch,
    },
    /// Stops a running task at the target; its end is still reported by `TaskEnded`.
    Stop {
        /// Credit that started the task.
        credit: CreditId,
    },
    /// No task runs and no result waits; the process may exit.
    Drained,
}

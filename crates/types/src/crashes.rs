//! Crashes of workers, as their agents report them to all entries.

use std::time::Duration;

use crate::ids::ProcessId;
use crate::runs::{TaskKey, WorkerName};

/// Number of an incarnation of a worker, as counted by one process of its agent.
pub type IncarnationNumber = u64;

/// Loss of one incarnation of a worker, with tasks that were on it.
///
/// The process of the agent and the number identify the incarnation, so a report that arrives several times counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerCrash {
    /// Process of the agent that noticed the loss, unless the agent that sends the record noticed it itself.
    pub reporter: Option<ProcessId>,
    /// Number of the incarnation.
    pub incarnation: IncarnationNumber,
    /// Name of the worker.
    pub worker: WorkerName,
    /// Whether the incarnation has certainly crashed while the tasks ran. Otherwise they may have ended before, or not begun.
    pub confirmed: bool,
    /// Time since the loss was noticed.
    pub age: Duration,
    /// Tasks that were on the worker.
    pub tasks: Vec<TaskKey>,
}

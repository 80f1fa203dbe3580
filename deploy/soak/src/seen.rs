//! What callers and workers see, as they tell the ledger.

use std::time::Instant;

use bytes::Bytes;
use chestnutfork_types::{JobId, RunNumber, RunOutcome, TaskKey};
use tokio::sync::oneshot;

use crate::ledger::Report;

/// One incarnation of a worker: its position and the number of the incarnation.
pub type WorkerIncarnation = (usize, u64);

/// When a worker carried out an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timing {
    /// While its caller waited for the answer.
    InTime,
    /// After its caller had given up.
    Late,
    /// After its caller had given up, and by a later incarnation than the one that had received it.
    LateAfterRestart,
}

/// What a submission was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks have completed.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Nothing of it ran or will run.
    Refused,
    /// It may have run, and may be sent again.
    Unclear,
    /// No route matches.
    NoRoute,
}

/// What was seen.
#[derive(Debug)]
pub enum Seen {
    /// A caller begins to submit a job.
    Submitted {
        /// The job.
        job: JobId,
        /// Its input.
        spec: String,
        /// Number of its tasks.
        tasks: u16,
    },
    /// A submission was answered, or nothing stands for a lost answer.
    Answered {
        /// The job.
        job: JobId,
        /// The answer.
        answer: Option<Answer>,
    },
    /// A caller gives a job up.
    Finished {
        /// The job.
        job: JobId,
    },
    /// A worker began a run.
    Started {
        /// Where.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Input that it was given.
        spec: Bytes,
        /// When the order was carried out, as its caller sees it.
        timing: Timing,
        /// When.
        at: Instant,
    },
    /// A run ended.
    Ended {
        /// Where.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// How it ended.
        end: RunOutcome,
        /// When.
        at: Instant,
    },
    /// A worker crashed or left.
    WorkerEnded {
        /// Where.
        worker: WorkerIncarnation,
        /// The task that crashed it, if one did.
        cause: Option<TaskKey>,
        /// How it ended, and how it comes back.
        note: String,
        /// When.
        at: Instant,
    },
    /// A worker has another capacity from now on.
    CapacityChanged {
        /// Position of the worker, whatever its incarnation.
        worker: usize,
        /// Runs that fit.
        slots: usize,
        /// When.
        at: Instant,
    },
    /// A start was turned away that the worker has no room for at any capacity.
    Overfilled {
        /// Where.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// When the order was carried out, as its caller sees it.
        timing: Timing,
        /// When.
        at: Instant,
    },
    /// An agent acknowledged that its worker leaves.
    Leaving {
        /// The worker.
        worker: WorkerIncarnation,
        /// When.
        at: Instant,
    },
    /// A configuration was acknowledged.
    ConfigurationTaken {
        /// Its version.
        version: u64,
        /// When.
        at: Instant,
    },
    /// A configuration was read; nothing stands for one that nobody sent.
    ConfigurationRead {
        /// When it was asked for.
        asked_at: Instant,
        /// Its version.
        version: Option<u64>,
    },
    /// A promise was broken as seen elsewhere.
    Violated(String),
    /// The end phase begins, in which every job must be served.
    Calm,
    /// Asks for the result.
    Report(oneshot::Sender<Report>),
}

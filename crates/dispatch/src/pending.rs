//! Submissions whose job this entry does not own, or not yet know to be new.

use std::time::Instant;

use chestnutfork_types::{JobSpec, ProcessId, Refusal};

use crate::event::Ticket;

/// What a submission waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WaitFor {
    /// Whether the job is known; if it is not, the callers get the refusal, which is then proved to be true.
    Lookup(Refusal),
    /// The answer of the owner.
    Owner(ProcessId),
    /// The register's answer after the loss of the owner.
    Takeover,
}

/// Submission that waits for another entry or for the register.
#[derive(Debug)]
pub(crate) struct PendingSubmission {
    pub(crate) spec: JobSpec,
    pub(crate) digest: u64,
    pub(crate) deadline: Instant,
    pub(crate) tickets: Vec<Ticket>,
    /// Other entries that take this one for the owner; the answer is relayed to them.
    pub(crate) joiners: Vec<ProcessId>,
    pub(crate) state: WaitFor,
}

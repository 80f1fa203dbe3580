//! Submissions of jobs that this entry does not own, or that a register lookup has not yet classified.

use std::time::Instant;

use chestnutfork_types::{JobSpec, ProcessId, Refusal};

use crate::event::Ticket;

/// Event that a pending submission waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WaitFor {
    /// Result of a register lookup; if no entry has claimed the job, the callers get this refusal.
    Lookup(Refusal),
    /// Answer of the owning entry.
    Owner(ProcessId),
    /// Answer that the register records after the loss of the owner.
    Takeover,
}

/// Submission that waits for another entry or for the register.
#[derive(Debug)]
pub(crate) struct PendingSubmission {
    pub(crate) spec: JobSpec,
    pub(crate) digest: u64,
    pub(crate) deadline: Instant,
    pub(crate) tickets: Vec<Ticket>,
    /// Other entries that joined the job here; the answer is relayed to them.
    pub(crate) joiners: Vec<ProcessId>,
    pub(crate) wait_for: WaitFor,
}

//! Events that the entry core handles and actions that it requests.

use chestnutfork_register as register;
use chestnutfork_register::View;
use chestnutfork_types::{
    AgentToEntry, Answer, ConfigVersion, EntryToAgent, JobId, JobSpec, ProcessId, Refusal, ServiceName,
    ServicePolicy, TeamName,
};
use indexmap::IndexMap;

/// Identifies one pending request of a caller; assigned by the entry role.
pub type Ticket = u64;

/// Reply to a caller: the complete answer of its job, or a refusal.
pub type JobResult = Result<Answer, Refusal>;

/// Quota of a team, summed over all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// Team that the quota limits.
    pub team: TeamName,
    /// Maximum number of tasks in flight.
    pub quota: u32,
}

/// Number of tasks of a team that an entry has in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamUsage {
    /// Team that the tasks belong to.
    pub team: TeamName,
    /// Number of tasks in flight.
    pub in_flight: u32,
}

/// Part of the configuration that the entry core uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyTable {
    /// Version of the configuration that the table was taken from.
    pub version: ConfigVersion,
    /// Service policies by service name.
    pub services: IndexMap<ServiceName, ServicePolicy>,
    /// Team quotas; a team without one has a quota of zero.
    pub quotas: Vec<TeamQuota>,
}

/// Message between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Message of the job register.
    Register(register::PeerMessage),
    /// Asks the owner of a job to send the answer once the job ends.
    Join {
        /// Job in question.
        job: JobId,
        /// Digest of the caller's submission; it must equal the digest of the owner's job.
        digest: u64,
    },
    /// Returns the result of a job to an entry that joined it.
    JoinResult {
        /// Job in question.
        job: JobId,
        /// Answer or refusal from the owner.
        result: JobResult,
    },
    /// Replies to a `Join` that the sender does not own the job.
    NotOwner {
        /// Job in question.
        job: JobId,
    },
    /// Asks the owner to cancel a job.
    Cancel {
        /// Job in question.
        job: JobId,
        /// Team of the caller; it must equal the team of the job.
        team: TeamName,
    },
    /// Reports the number of tasks in flight by team.
    Usage(Vec<TeamUsage>),
}

/// Input of the entry core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job.
    Submit {
        /// Request that the reply belongs to.
        ticket: Ticket,
        /// Submitted job.
        job: JobSpec,
        /// Whether this entry generated the job id, which rules out a resubmission.
        fresh_id: bool,
    },
    /// A caller disconnected before its reply.
    Abandon {
        /// Request that needs no reply.
        ticket: Ticket,
    },
    /// A caller cancels a job and waits for its answer.
    Cancel {
        /// Request that the reply belongs to.
        ticket: Ticket,
        /// Job to cancel.
        job: JobId,
        /// Team of the caller.
        team: TeamName,
    },
    /// A link to an agent opened.
    AgentUp {
        /// Incarnation of the agent.
        agent: ProcessId,
    },
    /// An agent sent a message.
    AgentMessage {
        /// Incarnation of the agent.
        agent: ProcessId,
        /// Message from the agent.
        message: AgentToEntry,
    },
    /// The link to an agent closed.
    AgentDown {
        /// Incarnation of the agent.
        agent: ProcessId,
    },
    /// A link to another entry opened.
    PeerUp {
        /// Incarnation of the entry.
        peer: ProcessId,
    },
    /// Another entry sent a message.
    PeerMessage {
        /// Incarnation of the entry.
        peer: ProcessId,
        /// Message from the entry.
        message: PeerMessage,
    },
    /// The link to another entry closed.
    PeerDown {
        /// Incarnation of the entry.
        peer: ProcessId,
    },
    /// Control committed a view.
    ViewInstalled(View),
    /// A configuration version is in force.
    Policies(PolicyTable),
    /// The configuration became confirmed or unconfirmed.
    Confirmed(bool),
    /// The process is shutting down: refuse new jobs and finish those in progress.
    Drain,
    /// The time returned by [`EntryCore::next_wakeup`](crate::EntryCore::next_wakeup) has been reached.
    Tick,
}

/// Output of the entry core, which the entry role performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to an agent.
    ToAgent {
        /// Incarnation of the agent.
        agent: ProcessId,
        /// Message to the agent.
        message: EntryToAgent,
    },
    /// Sends a message to another entry.
    ToPeer {
        /// Incarnation of the entry.
        peer: ProcessId,
        /// Message to the entry.
        message: PeerMessage,
    },
    /// Replies to a caller; each ticket gets exactly one reply unless it was abandoned.
    Reply {
        /// Request that the reply belongs to.
        ticket: Ticket,
        /// Answer or refusal.
        result: JobResult,
    },
    /// This entry has copied the register and may become a voting member of the view.
    Synced {
        /// View that the register was copied for.
        view: chestnutfork_types::ViewNumber,
    },
    /// Draining is complete: no job or pending submission is left.
    Drained,
}

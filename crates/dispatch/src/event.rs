//! Events that drive the entry core and actions that it asks for.

use chestnutfork_register as register;
use chestnutfork_register::View;
use chestnutfork_types::{
    AgentToEntry, Answer, ConfigVersion, EntryToAgent, JobId, JobSpec, ProcessId, Refusal, ServiceName,
    ServicePolicy, TeamName,
};
use indexmap::IndexMap;

/// Number that the role gives to a waiting caller.
pub type Ticket = u64;

/// What a caller gets: the whole answer of its job, or a refusal.
pub type JobResult = Result<Answer, Refusal>;

/// Quota of a team over all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// Name of the team.
    pub team: TeamName,
    /// Tasks that the team may have in flight.
    pub quota: u32,
}

/// Tasks of a team that an entry has in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: TeamName,
    /// Number of tasks in flight.
    pub in_flight: u32,
}

/// Part of the configuration that the entry core needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Policies of the services.
    pub services: IndexMap<ServiceName, ServicePolicy>,
    /// Quotas of the teams.
    pub quotas: Vec<TeamQuota>,
}

/// Message between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Message of the job register.
    Register(register::PeerMessage),
    /// Asks the owner of a job for its answer when it is there.
    Join {
        /// Job in question.
        job: JobId,
        /// Digest of the caller's submission; it must be that of the owner's job.
        digest: u64,
    },
    /// Hands over the answer of a joined job.
    JoinResult {
        /// Job in question.
        job: JobId,
        /// Answer or refusal of the owner.
        result: JobResult,
    },
    /// Tells that the receiver of a `Join` does not run the job.
    NotOwner {
        /// Job in question.
        job: JobId,
    },
    /// Asks the owner to cancel a job.
    Cancel {
        /// Job in question.
        job: JobId,
        /// Team of the caller; it must be that of the job.
        team: TeamName,
    },
    /// Tells the tasks in flight by team.
    Usage(Vec<TeamUsage>),
}

/// Event for the entry core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job.
    Submit {
        /// Number of the waiting caller.
        ticket: Ticket,
        /// Job.
        job: JobSpec,
        /// Whether the entry has made the job id itself, so that it cannot be a resubmission.
        fresh_id: bool,
    },
    /// A caller stopped waiting.
    Abandon {
        /// Number of the caller.
        ticket: Ticket,
    },
    /// A caller cancels a job and waits for its answer.
    Cancel {
        /// Number of the waiting caller.
        ticket: Ticket,
        /// Job to cancel.
        job: JobId,
        /// Team of the caller.
        team: TeamName,
    },
    /// A link to an agent is open.
    AgentUp {
        /// Incarnation of the agent.
        agent: ProcessId,
    },
    /// An agent sent a message.
    AgentMessage {
        /// Incarnation of the agent.
        agent: ProcessId,
        /// Message.
        message: AgentToEntry,
    },
    /// The link to an agent is lost.
    AgentDown {
        /// Incarnation of the agent.
        agent: ProcessId,
    },
    /// A link to another entry is open.
    PeerUp {
        /// Incarnation of the entry.
        peer: ProcessId,
    },
    /// Another entry sent a message.
    PeerMessage {
        /// Incarnation of the entry.
        peer: ProcessId,
        /// Message.
        message: PeerMessage,
    },
    /// The link to another entry is lost.
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
    /// The process shuts down: refuse new jobs, finish the known ones.
    Drain,
    /// A wake-up time has come.
    Tick,
}

/// Action that the role carries out for the entry core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to an agent.
    ToAgent {
        /// Incarnation of the agent.
        agent: ProcessId,
        /// Message.
        message: EntryToAgent,
    },
    /// Sends a message to another entry.
    ToPeer {
        /// Incarnation of the entry.
        peer: ProcessId,
        /// Message.
        message: PeerMessage,
    },
    /// Answers a caller; each ticket gets exactly one reply.
    Reply {
        /// Number of the caller.
        ticket: Ticket,
        /// Answer or refusal.
        result: JobResult,
    },
    /// This entry has copied the register and may become a full member of the view.
    Synced {
        /// Number of the view.
        view: chestnutfork_types::ViewNumber,
    },
    /// Draining is complete: no job is left.
    Drained,
}

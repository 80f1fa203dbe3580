//! Messages between control and its peers, subscribers and operators, independent of their encoding.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_config::Patch;
use chestnutfork_documents::{Document, Part};
use chestnutfork_evacuation::{Evacuations, Revision};
use chestnutfork_net::LinkId;
use chestnutfork_raft::{MembershipChange, Message};
use chestnutfork_register::View;
use chestnutfork_types::{
    ConfigVersion, FailureDomain, NodeName, OperatorName, ProcessId, ReplicaId, ViewNumber,
};

/// Request number, unique within one control process.
pub type RequestId = u64;
/// Probe number, echoed in the confirmation.
pub type ProbeId = u64;

/// Introduction that a control replica sends when a link opens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaHello {
    /// Id of the sender's replica, stored in its data folder.
    pub replica: ReplicaId,
    /// Voters of the sender's member set; empty before the formation.
    pub members: Vec<ReplicaId>,
    /// Whether the member set is the one from the formation.
    pub initial: bool,
    /// Address of the sender's operator interface.
    pub operator_address: String,
}

/// Name and addresses of an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryInfo {
    /// Id of this incarnation of the process.
    pub process: ProcessId,
    /// Name from the settings.
    pub name: NodeName,
    /// Address for links; empty for agents.
    pub address: String,
    /// Failure domain from the settings.
    pub failure_domain: FailureDomain,
}

/// Lease renewal of an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Process that holds the lease.
    pub info: EntryInfo,
    /// Whether the process is an entry; otherwise it is an agent.
    pub is_entry: bool,
    /// Configuration version in force at the process.
    pub version: ConfigVersion,
    /// Latest view for which the process has a complete copy of the register.
    pub synced: ViewNumber,
    /// Time since the subscriber's renewal arrived.
    pub age: Duration,
    /// Whether the process ends its lease before a shutdown.
    pub leaving: bool,
}

/// Operator request.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Submits a patch.
    Patch {
        /// Change against its base version.
        patch: Patch,
        /// Whether to return the verdict without applying the patch.
        dry_run: bool,
    },
    /// Reads the state of the replica set and of its subscribers.
    Status,
    /// Reads the audit records above a version.
    Audit {
        /// Version below the first record.
        since: ConfigVersion,
    },
    /// Reads the configuration document.
    Config,
    /// Replaces a control member.
    Replace {
        /// Current member to remove.
        remove: ReplicaId,
        /// Replica that becomes a member in its place.
        add: ReplicaId,
        /// Reason given by the operator.
        reason: String,
    },
    /// Submits a document; the one with the highest version is in force.
    PutDocument(Document),
    /// Reads the newest document.
    GetDocument,
    /// Evacuates a failure domain, or ends its evacuation.
    Evacuate {
        /// Domain on whose workers nothing more is started.
        domain: FailureDomain,
        /// Whether the domain is evacuated from now on; otherwise its evacuation ends.
        evacuated: bool,
    },
}

/// Encoded reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Bytes,
}

/// Statement, backed by a quorum check of the leader, that a version was current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Probe that this confirmation answers.
    pub probe: ProbeId,
    /// Version that was current at the quorum check.
    pub version: ConfigVersion,
    /// Time from the quorum check to the arrival of the probe.
    pub age: Duration,
}

/// Message between control replicas.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Introduces the sender.
    Hello(ReplicaHello),
    /// Message of the replicated log.
    Raft(Message),
    /// Requests a confirmation from the leader.
    Probe(ProbeId),
    /// Answers a probe.
    Confirm(Confirmation),
    /// Forwards lease renewals of the sender's subscribers to the leader.
    Renewals(Vec<Renewal>),
    /// Forwards an operator request to the leader.
    Request {
        /// Number assigned by the sender, echoed in the answer.
        id: RequestId,
        /// Operator who sent the request to the follower.
        operator: OperatorName,
        /// Request to execute.
        request: OperatorRequest,
    },
    /// Answers a forwarded request.
    Answer {
        /// Number from the forwarded request.
        id: RequestId,
        /// Reply to pass on to the operator.
        reply: Reply,
    },
    /// Link addresses of the sender and of the control processes that it has links to.
    Addresses(Vec<String>),
}

/// Message from an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberMessage {
    /// Subscribes to configuration updates above a version, and to views.
    Subscribe {
        /// Version in force at the sender.
        have: ConfigVersion,
        /// Failure domain from the sender's settings.
        failure_domain: FailureDomain,
    },
    /// Acknowledges that a version is in force at the sender.
    Ack(ConfigVersion),
    /// Renews the lease and requests a confirmation.
    Renew {
        /// Number echoed in the confirmation.
        probe: ProbeId,
        /// Version in force at the sender.
        version: ConfigVersion,
        /// Latest view for which the sender has a complete copy of the register.
        synced: ViewNumber,
    },
    /// Ends the lease before a shutdown.
    Leaving,
    /// Subscribes to documents above a version, and to the directory of processes.
    Follow {
        /// Version of the document in force at the sender.
        have: ConfigVersion,
    },
    /// Subscribes to announcements of document versions, and to the directory of processes.
    Watch,
    /// Requests the parts of the newest document.
    Fetch {
        /// Version of which the sender has the bytes before the offset.
        version: ConfigVersion,
        /// Position of the first byte.
        offset: u64,
    },
    /// Subscribes to the evacuations. On the link of an entry it precedes [`Self::Watch`].
    WatchEvacuations,
}

/// View with the names and addresses of its entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewRecord {
    /// Numbered list of members and learners.
    pub view: View,
    /// Info of all members and learners.
    pub entries: Vec<EntryInfo>,
}

/// Message to an entry or agent.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlMessage {
    /// Encoded configuration update.
    Update(Bytes),
    /// Confirms that a version was current.
    Confirm(Confirmation),
    /// Entry view in force.
    View(ViewRecord),
    /// Newest document in full.
    Document(Document),
    /// Addresses of the processes to dial.
    Directory {
        /// Addresses of control processes.
        controls: Vec<String>,
        /// Addresses of entries.
        entries: Vec<String>,
    },
    /// Version of the newest document at this process.
    Announce(ConfigVersion),
    /// Part of a document.
    Part(Part),
    /// Evacuated failure domains.
    Evacuations {
        /// Domains and their revision.
        state: Evacuations,
        /// Time for which the state has been in force at this process.
        age: Duration,
    },
}

/// Process at the other end of a subscriber's link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberIdentity {
    /// Incarnation, name and address of the process.
    pub info: EntryInfo,
    /// Whether the process is an entry; otherwise it is an agent.
    pub is_entry: bool,
}

/// Input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The current time has reached [`crate::ControlCore::next_wakeup`].
    Tick,
    /// A link to another control process opened.
    PeerUp {
        /// Id of the new link.
        link: LinkId,
        /// Name of the other process.
        name: NodeName,
        /// Address at which the other process accepts links.
        address: String,
    },
    /// A link to another control process closed.
    PeerDown {
        /// Id of the closed link.
        link: LinkId,
    },
    /// Messages arrived from another control process.
    FromPeer {
        /// Link on which they arrived.
        link: LinkId,
        /// Messages in the order of their arrival.
        messages: Vec<PeerMessage>,
    },
    /// A link to an entry or agent opened.
    SubscriberUp {
        /// Id of the new link.
        link: LinkId,
        /// Process at the other end.
        identity: SubscriberIdentity,
    },
    /// A link to an entry or agent closed.
    SubscriberDown {
        /// Id of the closed link.
        link: LinkId,
    },
    /// Messages arrived from an entry or agent.
    FromSubscriber {
        /// Link on which they arrived.
        link: LinkId,
        /// Messages in the order of their arrival.
        messages: Vec<SubscriberMessage>,
    },
    /// A request arrived from an operator.
    Operator {
        /// Number echoed in [`Output::Reply`].
        request_id: RequestId,
        /// Authenticated operator.
        operator: OperatorName,
        /// Request to execute or to forward to the leader.
        request: OperatorRequest,
    },
    /// The process shuts down; a leader transfers leadership.
    Shutdown,
    /// The storage accepts writes again.
    StorageReady,
}

/// Output of the core, to be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a message to another control process.
    ToPeer(LinkId, PeerMessage),
    /// Sends a message to an entry or agent.
    ToSubscriber(LinkId, ControlMessage),
    /// Replies to an operator.
    Reply(RequestId, Reply),
    /// Logs an event.
    Notice(Notice),
    /// Dials another control process and maintains a link to it.
    Dial(String),
}

/// Event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The replica set was formed.
    Formed {
        /// Number of members.
        members: u64,
    },
    /// Some initial members have not introduced themselves.
    Forming {
        /// Number of members that have introduced themselves, including this one.
        known: u64,
        /// Number of initial members.
        members: u64,
        /// Names of the missing members.
        missing: Vec<NodeName>,
    },
    /// This replica is not a member of the existing replica set.
    NotMember,
    /// The leader proposes a membership change without an operator request.
    MemberChange {
        /// Proposed change.
        change: MembershipChange,
    },
    /// This replica started an election.
    ElectionStarted {
        /// Term of the candidate.
        term: u64,
    },
    /// This replica learned of a newly elected leader.
    LeaderChanged {
        /// Term of the leader.
        term: u64,
        /// Name of the leader, or its id if the name is unknown.
        leader: String,
    },
    /// This replica is no longer the leader.
    LeadershipLost {
        /// Current term of this replica.
        term: u64,
    },
    /// The replacement of a member was accepted.
    MemberReplaced {
        /// Member that is removed.
        remove: ReplicaId,
        /// Replica that becomes a member in its place.
        add: ReplicaId,
        /// Operator who requested the replacement.
        operator: OperatorName,
    },
    /// A patch was accepted, refused, or conflicted with another patch.
    Verdict {
        /// Submitted patch.
        patch: Patch,
        /// Outcome of applying it.
        verdict: chestnutfork_config::Verdict,
    },
    /// A committed document was applied.
    DocumentApplied {
        /// Version of the document.
        version: ConfigVersion,
        /// Size of its content.
        bytes: u64,
        /// Number of entries to which it is sent or announced.
        followers: u64,
    },
    /// A committed change of the evacuations was applied, or the evacuations were recovered from the disk.
    EvacuationsApplied {
        /// Revision in force.
        revision: Revision,
        /// Evacuated domains.
        domains: Vec<FailureDomain>,
        /// Number of entries and agents to which it is sent.
        watchers: u64,
    },
    /// The leader proposed a view.
    ViewProposed {
        /// Number of the proposed view.
        view: ViewNumber,
        /// Number of members.
        members: u64,
    },
    /// The leader proposed a view with a raised floor, because too many entries were lost.
    ViewFloorRaised {
        /// Number of the proposed view.
        view: ViewNumber,
        /// Survivors of the last settled view that still have a lease.
        survivors: u64,
        /// Smallest number of survivors that would have preserved the register.
        needed: u64,
        /// Floor of the job ids in milliseconds since the Unix epoch.
        floor_ms: u64,
    },
    /// The lease of an entry or agent expired.
    NodeLost {
        /// Name of the process.
        name: NodeName,
        /// Whether the process was an entry; otherwise it was an agent.
        is_entry: bool,
    },
    /// A version is not in force at all processes within the rollout bound.
    RolloutLate {
        /// Accepted version.
        version: ConfigVersion,
        /// Number of processes with an older version.
        behind: u64,
        /// Name of one of these processes.
        first: NodeName,
    },
}

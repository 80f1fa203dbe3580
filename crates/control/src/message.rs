//! Messages of control with its peers, its subscribers and operators, as plain data.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_config::Patch;
use chestnutfork_net::LinkId;
use chestnutfork_raft::{MembershipChange, Message};
use chestnutfork_register::View;
use chestnutfork_types::{
    ConfigVersion, FailureDomain, NodeName, OperatorName, ProcessId, ReplicaId, ViewNumber,
};

/// Number of a request within one control process.
pub type RequestId = u64;
/// Number of a probe, which comes back in the confirmation.
pub type ProbeId = u64;

/// Identity of a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaHello {
    /// Id of the sender's data folder.
    pub replica: ReplicaId,
    /// Members that the sender knows; empty before the formation.
    pub members: Vec<ReplicaId>,
    /// Whether the members are those of the formation.
    pub initial: bool,
    /// Address of the sender's operator interface.
    pub operator_address: String,
}

/// Entry or agent as control lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryInfo {
    /// Incarnation.
    pub process: ProcessId,
    /// Name from the settings.
    pub name: NodeName,
    /// Address for links; empty for agents.
    pub address: String,
    /// Failure domain from the settings.
    pub failure_domain: FailureDomain,
}

/// Renewal of the lease of an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The entry or agent.
    pub info: EntryInfo,
    /// Whether it is an entry.
    pub is_entry: bool,
    /// Version in force there.
    pub version: ConfigVersion,
    /// Latest view whose register it has copied.
    pub synced: ViewNumber,
    /// Time since it renewed.
    pub age: Duration,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Submits a patch.
    Patch {
        /// The patch.
        patch: Patch,
        /// Whether only the verdict is wanted.
        dry_run: bool,
    },
    /// Asks for the state of the group and of its subscribers.
    Status,
    /// Asks for the audit records above a version.
    Audit {
        /// The version.
        since: ConfigVersion,
    },
    /// Asks for the configuration document.
    Config,
    /// Replaces a control member.
    Replace {
        /// Replica that leaves.
        remove: ReplicaId,
        /// Replica that takes its place.
        add: ReplicaId,
        /// Reason for the log.
        reason: String,
    },
    /// Submits a whole document; the highest version is in force.
    PutDocument(Document),
    /// Asks for the newest document.
    GetDocument,
}

/// Whole document of an operator, which control stores without reading it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Version that the operator gave it.
    pub version: ConfigVersion,
    /// Content.
    pub content: Bytes,
}

/// Encoded answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Bytes,
}

/// Confirmation by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Number of the probe.
    pub probe: ProbeId,
    /// Version that was current at the quorum check.
    pub version: ConfigVersion,
    /// Time from the quorum check to the arrival of the probe.
    pub age: Duration,
}

/// Message between control replicas.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Tells who the sender is.
    Hello(ReplicaHello),
    /// Carries a message of the replicated log.
    Raft(Message),
    /// Asks the leader for a confirmation.
    Probe(ProbeId),
    /// Answers a probe.
    Confirm(Confirmation),
    /// Passes on lease renewals of the sender's subscribers.
    Renewals(Vec<Renewal>),
    /// Passes on a request of an operator.
    Request {
        /// Number that comes back with the answer.
        id: RequestId,
        /// The operator.
        operator: OperatorName,
        /// The request.
        request: OperatorRequest,
    },
    /// Answers a request of an operator.
    Answer {
        /// Number of the request.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Names the addresses of control processes that the sender knows.
    Addresses(Vec<String>),
}

/// Message from an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberMessage {
    /// Asks for everything newer than a version.
    Subscribe {
        /// Version in force.
        have: ConfigVersion,
        /// Failure domain of the sender.
        failure_domain: FailureDomain,
    },
    /// Tells which version is in force.
    Ack(ConfigVersion),
    /// Renews the lease and asks for a confirmation.
    Renew {
        /// Number that comes back in the confirmation.
        probe: ProbeId,
        /// Version in force.
        version: ConfigVersion,
        /// Latest view whose register the sender has copied.
        synced: ViewNumber,
    },
    /// Ends the lease before a shutdown.
    Leaving,
    /// Asks for documents above a version and for the directory of processes, from then on.
    Follow {
        /// Version in force.
        have: ConfigVersion,
    },
}

/// View with the entries to dial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewRecord {
    /// The view.
    pub view: View,
    /// Members and learners of the view.
    pub entries: Vec<EntryInfo>,
}

/// Message to an entry or agent.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlMessage {
    /// Configuration update, encoded.
    Update(Bytes),
    /// Confirms that a version was current.
    Confirm(Confirmation),
    /// View of the entries.
    View(ViewRecord),
    /// Newest document.
    Document(Document),
    /// Processes to dial.
    Directory {
        /// Addresses of control processes.
        controls: Vec<String>,
        /// Addresses of entries.
        entries: Vec<String>,
    },
}

/// Process at the other end of a subscriber's link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberIdentity {
    /// Incarnation, name and address.
    pub info: EntryInfo,
    /// Whether it is an entry.
    pub is_entry: bool,
}

/// Input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time passed has reached `next_wakeup`.
    Tick,
    /// A link to another control process is open.
    PeerUp {
        /// The link.
        link: LinkId,
        /// Name of the process.
        name: NodeName,
        /// Address of the process for links.
        address: String,
    },
    /// A link to another control process is closed.
    PeerDown {
        /// The link.
        link: LinkId,
    },
    /// Another control process sent messages.
    FromPeer {
        /// The link.
        link: LinkId,
        /// The messages.
        messages: Vec<PeerMessage>,
    },
    /// A link to an entry or agent is open.
    SubscriberUp {
        /// The link.
        link: LinkId,
        /// The entry or agent.
        identity: SubscriberIdentity,
    },
    /// A link to an entry or agent is closed.
    SubscriberDown {
        /// The link.
        link: LinkId,
    },
    /// An entry or agent sent messages.
    FromSubscriber {
        /// The link.
        link: LinkId,
        /// The messages.
        messages: Vec<SubscriberMessage>,
    },
    /// An operator sent a request.
    Operator {
        /// Number that comes back with the reply.
        request_id: RequestId,
        /// The operator.
        operator: OperatorName,
        /// The request.
        request: OperatorRequest,
    },
    /// Hand over leadership.
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
    /// Answers an operator.
    Reply(RequestId, Reply),
    /// Logs an event.
    Notice(Notice),
    /// Dials another control process, and keeps the link open from then on.
    Dial(String),
}

/// Event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The replica set is formed.
    Formed {
        /// Number of members.
        members: u64,
    },
    /// Not all initial members have answered.
    Forming {
        /// Number of members that answered, this one included.
        known: u64,
        /// Number of initial members.
        members: u64,
        /// Names of the missing members.
        missing: Vec<NodeName>,
    },
    /// This replica is not a member of the existing set.
    NotMember,
    /// The leader changes the member set by itself.
    MemberChange {
        /// The change.
        change: MembershipChange,
    },
    /// An election started here.
    ElectionStarted {
        /// Its term.
        term: u64,
    },
    /// The group has another leader.
    LeaderChanged {
        /// Its term.
        term: u64,
        /// Name or id of the leader.
        leader: String,
    },
    /// This replica stopped leading.
    LeadershipLost {
        /// Term in which it led.
        term: u64,
    },
    /// The replacement of a member was accepted.
    MemberReplaced {
        /// Replica that leaves.
        remove: ReplicaId,
        /// Replica that takes its place.
        add: ReplicaId,
        /// Operator who asked for it.
        operator: OperatorName,
    },
    /// A patch was accepted, refused or conflicted.
    Verdict {
        /// The patch.
        patch: Patch,
        /// The verdict.
        verdict: chestnutfork_config::Verdict,
    },
    /// A view was proposed.
    ViewProposed {
        /// Its number.
        view: ViewNumber,
        /// Number of members.
        members: u64,
    },
    /// A view was proposed whose floor is raised, because too many entries were lost.
    ViewFloorRaised {
        /// Its number.
        view: ViewNumber,
        /// Members of the last settled view that are left.
        survivors: u64,
        /// Members that were needed.
        needed: u64,
        /// Floor of the job ids in milliseconds since the Unix epoch.
        floor_ms: u64,
    },
    /// A lease ended.
    NodeLost {
        /// Name of the process.
        name: NodeName,
        /// Whether it was an entry.
        is_entry: bool,
    },
    /// A version is not in force everywhere within its bound.
    RolloutLate {
        /// The version.
        version: ConfigVersion,
        /// Number of processes behind it.
        behind: u64,
        /// Name of one of them.
        first: NodeName,
    },
}

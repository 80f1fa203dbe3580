//! Wire types and codecs for the messages between processes, and the JSON bodies of requests and responses.
//!
//! Messages are encoded only here. Wire types convert with `From` and `TryFrom` to and from the plain types that the
//! decision crates use, so that decisions are independent of the encoding.

mod agent;
mod caller;
mod codec;
mod demand;
mod handshake;
mod interference;
mod peer;
mod raft;
mod register;
mod runs;
mod subscription;

pub use agent::{AgentToEntryWire, EntryToAgentWire};
pub use caller::{AnswerBody, RefusalBody, Submission, SubmitBody, SubmitError, parse_job_id};
pub use codec::{CodecError, decode, decode_frame, encode};
pub use demand::{DemandSumWire, DemandWire};
pub use handshake::{Challenge, Hello, PROTOCOL_VERSION, Proof, Role, Welcome};
pub use interference::PairEvidenceWire;
pub use peer::{PeerMessageWire, PeerWireError};
pub use raft::{
    CommandWire, MembershipWire, OperatorRequestWire, PayloadWire, RaftWire, RenewalWire, ReplicaConfirmWire,
    ReplicaHelloWire, ReplicaMessageWire, StateWire,
};
pub use runs::{
    EndLimitWire, EntryToWorkerWire, LoadWire, RunOutcomeWire, WorkerCrashWire, WorkerToEntryWire,
};
pub use subscription::{
    ConfirmWire, ControlMessageWire, EntryInfoWire, PartWire, SubscriberMessageWire, ViewWire,
};

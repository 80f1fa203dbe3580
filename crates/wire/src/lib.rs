//! Wire types and codecs between the processes of chestnutfork, and the JSON bodies of callers.
//!
//! This is the only crate that knows an encoding. Every wire type mirrors a plain type of a decision crate and converts
//! with `From` and `TryFrom`, so that decisions stay independent of the encoding.

mod agent;
mod caller;
mod codec;
mod handshake;
mod peer;
mod raft;
mod register;
mod runs;
mod subscription;

pub use agent::{AgentToEntryWire, EntryToAgentWire};
pub use caller::{AnswerBody, RefusalBody, Submission, SubmitBody, SubmitError, parse_job_id};
pub use codec::{CodecError, decode, decode_frame, encode};
pub use handshake::{Challenge, Hello, PROTOCOL_VERSION, Proof, Role, Welcome};
pub use peer::{PeerMessageWire, PeerWireError};
pub use raft::{
    CommandWire, MembershipWire, OperatorRequestWire, PayloadWire, RaftWire, RenewalWire, ReplicaConfirmWire,
    ReplicaHelloWire, ReplicaMessageWire, StateWire,
};
pub use runs::{EntryToWorkerWire, LoadWire, RunOutcomeWire, WorkerToEntryWire};
pub use subscription::{ConfirmWire, ControlMessageWire, EntryInfoWire, SubscriberMessageWire, ViewWire};

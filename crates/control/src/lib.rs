//! The control role: replication, operators, subscribers.
//!
//! [`ControlCore`] makes all decisions and performs no I/O. One actor owns the core and the links, one thread owns the
//! data folder, and HTTP tasks forward operator requests to the actor.

mod answer;
mod bootstrap;
mod confirm;
mod convert;
mod core;
mod directory;
mod disk;
mod documents;
mod error;
mod evacuations;
mod formation;
mod http;
mod leader;
mod leases;
mod links;
mod membership_repair;
mod message;
mod notices;
mod operators;
mod peers;
mod persist;
mod replica;
mod report;
mod requests;
mod run;
mod state_machine;
mod subscribers;

pub use crate::core::{ControlCore, CoreConfig};
pub use chestnutfork_documents::Document;
pub use chestnutfork_evacuation::Evacuations;
pub use documents::{DocumentClient, DocumentReply};
pub use error::ControlError;
pub use http::Operator;
pub use message::{
    Confirmation, ControlMessage, EntryInfo, Event, Notice, OperatorRequest, Output, PeerMessage, ProbeId,
    Renewal, ReplicaHello, Reply, RequestId, SubscriberIdentity, SubscriberMessage, ViewRecord,
};
pub use replica::ReplicaStatus;
pub use run::{ControlConfig, ControlConfigBuilder, Member, RunningControl, start};

//! Configuration documents of operators: proposals, reads and distribution.

use bytes::Bytes;
use chestnutfork_documents::{Document, parts};
use chestnutfork_net::LinkId;
use chestnutfork_raft::Proposal;
use chestnutfork_types::{ConfigVersion, FailureDomain};
use ractor::ActorRef;
use tokio::sync::oneshot;

use crate::core::ControlCore;
use crate::message::{ControlMessage, Notice, OperatorRequest, Output, Reply, RequestId};
use crate::replica::ReplicaMessage;
use crate::state_machine::Command;

/// Operator name recorded for documents, because their interface does not identify operators.
const DOCUMENT_OPERATOR: &str = "documents";
const HTTP_OK: u16 = 200;

/// Client that submits documents to a running control process and reads them from it.
#[derive(Clone, Debug)]
pub struct DocumentClient {
    actor: ActorRef<ReplicaMessage>,
}

/// Result of a document read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentReply {
    /// Newest document, confirmed by a quorum.
    Newest(Bytes),
    /// No document has been submitted, as confirmed by a quorum.
    Absent,
    /// The process could not obtain confirmation from a quorum; another process may be able to.
    Unavailable,
}

impl DocumentClient {
    pub(crate) fn new(actor: ActorRef<ReplicaMessage>) -> Self {
        Self { actor }
    }

    /// Submits a document and reports whether it or a higher version is durable on a quorum.
    ///
    /// If this returns `false`, the document may still take effect later; submitting it again is safe.
    pub async fn put(&self, document: Document) -> bool {
        let reply = self.ask(OperatorRequest::PutDocument(document)).await;
        reply.is_some_and(|reply| reply.status == HTTP_OK)
    }

    /// Reads the newest document.
    pub async fn get(&self) -> DocumentReply {
        match self.ask(OperatorRequest::GetDocument).await {
            Some(Reply {
                status: HTTP_OK,
                body,
            }) => DocumentReply::Newest(body),
            Some(Reply { status: 404, .. }) => DocumentReply::Absent,
            _ => DocumentReply::Unavailable,
        }
    }

    /// Evacuates a failure domain, or ends its evacuation, and reports whether that is durable on a quorum.
    ///
    /// If this returns `false`, the request may still take effect later; sending it again is safe.
    pub async fn set_evacuation(&self, domain: FailureDomain, evacuated: bool) -> bool {
        let reply = self.ask(OperatorRequest::Evacuate { domain, evacuated }).await;
        reply.is_some_and(|reply| reply.status == HTTP_OK)
    }

    async fn ask(&self, request: OperatorRequest) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        let message = ReplicaMessage::Operator {
            operator: DOCUMENT_OPERATOR.to_owned(),
            request,
            reply,
        };
        // If the actor stops, the channel closes without a reply.
        self.actor.cast(message).ok()?;
        answer.await.ok()
    }
}

impl ControlCore {
    pub(crate) fn propose_document(&mut self, id: RequestId, document: Document) {
        let command = Command::Document(document).to_bytes();
        self.propose(Proposal { id, command });
    }

    /// Subscribes a process to announcements and to the directory.
    pub(crate) fn on_watch(&mut self, link: LinkId) {
        // Otherwise the link is added once the evacuations have been sent on it.
        if !self.evacuation_watchers.hold_announcements(link) {
            self.publisher.watch(link);
        }
        // Reporting the highest version keeps control from pushing documents, which this process fetches.
        self.on_follow(link, ConfigVersion::MAX);
    }

    /// Sends the requested parts of the document in force.
    pub(crate) fn on_fetch(&mut self, link: LinkId, version: ConfigVersion, offset: u64) {
        let Some(document) = &self.state.document else {
            return;
        };
        let messages = parts(document, version, offset).map(ControlMessage::Part);
        self.outputs
            .extend(messages.map(|message| Output::ToSubscriber(link, message)));
    }

    /// Announces the document in force to all watchers, and sends it to the followers with an older one.
    pub(crate) fn distribute_document(&mut self) {
        let Some(document) = &self.state.document else {
            return;
        };
        let version = document.version;
        let watchers = self.publisher.announce(version);
        let followers = self.directory.take_outdated(version);
        if version > self.logged_document {
            self.logged_document = version;
            self.outputs.push(Output::Notice(Notice::DocumentApplied {
                version,
                bytes: document.content.len() as u64,
                followers: (watchers.len() + followers.len()) as u64,
            }));
        }
        for link in watchers {
            let message = ControlMessage::Announce(version);
            self.outputs.push(Output::ToSubscriber(link, message));
        }
        for link in followers {
            let message = ControlMessage::Document(document.clone());
            self.outputs.push(Output::ToSubscriber(link, message));
        }
    }
}

//! Whole documents of operators: proposals and distribution.

use bytes::Bytes;
use chestnutfork_raft::Proposal;
use ractor::ActorRef;
use tokio::sync::oneshot;

use crate::core::ControlCore;
use crate::message::{ControlMessage, Document, OperatorRequest, Output, Reply, RequestId};
use crate::replica::ReplicaMessage;
use crate::state_machine::Command;

/// Operator that documents are logged under; the interface that they come through knows no others.
const DOCUMENT_OPERATOR: &str = "documents";
/// HTTP status of a request that was done.
const HTTP_OK: u16 = 200;

/// Submits and reads whole documents at a running control process.
#[derive(Clone, Debug)]
pub struct DocumentClient {
    actor: ActorRef<ReplicaMessage>,
}

/// What became of a request for a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentReply {
    /// The newest document, proved by a quorum.
    Newest(Bytes),
    /// No document was submitted yet, proved by a quorum.
    Absent,
    /// The process cannot be sure; another one may be.
    Unavailable,
}

impl DocumentClient {
    pub(crate) fn new(actor: ActorRef<ReplicaMessage>) -> Self {
        Self { actor }
    }

    /// Submits a document and reports whether it, or a higher version, is durable on a quorum.
    ///
    /// After `false` the document may still come into force; it can be submitted again.
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

    async fn ask(&self, request: OperatorRequest) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        let message = ReplicaMessage::Operator {
            operator: DOCUMENT_OPERATOR.to_owned(),
            request,
            reply,
        };
        // A stopped actor drops the channel, which is no answer.
        self.actor.cast(message).ok()?;
        answer.await.ok()
    }
}

impl ControlCore {
    pub(crate) fn propose_document(&mut self, id: RequestId, document: Document) {
        let command = Command::Document(document).to_bytes();
        self.propose(Proposal { id, command });
    }

    /// Sends the document in force to the followers that have an older one.
    pub(crate) fn distribute_document(&mut self) {
        let Some(document) = &self.state.document else {
            return;
        };
        for link in self.directory.take_outdated(document.version) {
            let message = ControlMessage::Document(document.clone());
            self.outputs.push(Output::ToSubscriber(link, message));
        }
    }
}

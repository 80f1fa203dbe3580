//! Answers to operators and their encoding as HTTP status and JSON body.

use bytes::Bytes;
use chestnutfork_config::Verdict;
use chestnutfork_documents::Document;
use chestnutfork_operator::body::{
    AuditBody, ConfigBody, ErrorBody, OUTCOME_UNKNOWN, StatusBody, VerdictBody,
};
use chestnutfork_raft::RefusalReason;
use serde::Serialize;

use crate::message::Reply;

/// Answer to an operator request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    Verdict(Verdict),
    Status(StatusBody),
    Audit(AuditBody),
    Config(ConfigBody),
    /// A document with this version or a higher one is durable on a quorum.
    DocumentStored,
    /// The evacuation, or its end, is durable on a quorum.
    EvacuationStored,
    Document(Option<Document>),
    /// The request had no effect and can be sent again.
    Unavailable {
        message: &'static str,
        /// Operator address of the leader, if known.
        leader: Option<String>,
    },
    /// The request may have taken effect; resending a patch under the same id returns its verdict.
    OutcomeUnknown,
    /// The request was rejected for the given reason and had no effect.
    Refused(String),
}

impl Answer {
    /// Builds the answer to a request that the replicated log refused.
    pub(crate) fn from_refusal(reason: RefusalReason, leader: Option<String>) -> Self {
        let message = match reason {
            RefusalReason::NotLeader { .. } => {
                "this process knows no leader; send the request again in a second"
            }
            RefusalReason::Overloaded => {
                "too many changes are in progress; send the request again in a second"
            }
            RefusalReason::Transferring => {
                "a leadership transfer is in progress; send the request again in a second"
            }
            RefusalReason::NotReady => {
                "the leader was elected just now and is not ready; send the request again in a second"
            }
            RefusalReason::TooLarge => return Self::Refused("the patch is too large; split it".to_owned()),
            RefusalReason::Change(error) => return Self::Refused(error.to_string()),
        };
        Self::Unavailable { message, leader }
    }

    pub(crate) fn into_reply(self) -> Reply {
        match self {
            Self::Verdict(verdict) => {
                let body = VerdictBody::from(verdict);
                reply(body.status(), &body)
            }
            Self::Status(status) => reply(200, &status),
            Self::Audit(records) => reply(200, &records),
            Self::Config(config) => reply(200, &config),
            Self::DocumentStored | Self::EvacuationStored => Reply {
                status: 200,
                body: Bytes::new(),
            },
            Self::Document(Some(document)) => Reply {
                status: 200,
                body: document.content,
            },
            Self::Document(None) => error(
                404,
                "no_document",
                "no document has been submitted yet; submit one",
            ),
            Self::Unavailable { message, leader } => unavailable(message, leader),
            Self::OutcomeUnknown => {
                let message = "the outcome is not known yet; send the request again with the same patch id";
                error(503, OUTCOME_UNKNOWN, message)
            }
            Self::Refused(message) => error(409, "refused", message),
        }
    }
}

fn unavailable(message: &str, leader: Option<String>) -> Reply {
    let body = ErrorBody::new("unavailable", message);
    // The body holds a socket address, so an operator address with a host name is left out.
    let leader = leader.and_then(|leader| leader.parse().ok());
    let body = match leader {
        Some(leader) => body.with_leader(leader),
        None => body,
    };
    reply(503, &body)
}

pub(crate) fn error(status: u16, code: &str, message: impl Into<String>) -> Reply {
    reply(status, &ErrorBody::new(code, message))
}

fn reply<T: Serialize>(status: u16, body: &T) -> Reply {
    let body = serde_json::to_vec(body).expect("bodies have string keys only");
    let body = Bytes::from(body);
    Reply { status, body }
}

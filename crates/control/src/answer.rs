//! Answers to operators, as HTTP status and JSON body.

use bytes::Bytes;
use chestnutfork_config::Verdict;
use chestnutfork_raft::RefusedBecause;
use chestnutfork_wire::{
    AcceptedBody, AuditBody, ConfigBody, OperatorErrorBody, StatusBody, VerdictBody, operator_json,
};

use crate::message::Reply;

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    Verdict(Verdict),
    Status(StatusBody),
    Audit(Vec<AuditBody>),
    Config(ConfigBody),
    /// A replacement began.
    Replacing,
    /// Nothing was done; the request can be sent again.
    Unavailable {
        reason: &'static str,
        leader: Option<String>,
    },
    /// The request may have been done; the same patch id tells.
    Unknown,
    /// The request cannot be done.
    Refused(String),
}

impl Answer {
    /// Builds the answer to a request that the replicated log did not take.
    pub(crate) fn refused(because: RefusedBecause, leader: Option<String>) -> Self {
        let reason = match because {
            RefusedBecause::NotLeader { .. } => "no leader is known here; send the request again in a second",
            RefusedBecause::Overloaded => {
                "too many changes are in progress; send the request again in a second"
            }
            RefusedBecause::Transferring => {
                "leadership is being handed over; send the request again in a second"
            }
            RefusedBecause::NotReady => "the leader has just started; send the request again in a second",
            RefusedBecause::TooLarge => return Self::Refused("the patch is too large; split it".to_owned()),
            RefusedBecause::Change(error) => return Self::Refused(error.to_string()),
        };
        Self::Unavailable { reason, leader }
    }

    pub(crate) fn into_reply(self) -> Reply {
        match self {
            Self::Verdict(verdict) => {
                let status = match verdict {
                    Verdict::Accepted { .. } => 200,
                    Verdict::Conflict { .. } => 409,
                    Verdict::Invalid { .. } => 422,
                };
                reply(status, operator_json(&VerdictBody::from(verdict)))
            }
            Self::Status(status) => reply(200, operator_json(&status)),
            Self::Audit(records) => reply(200, operator_json(&records)),
            Self::Config(config) => reply(200, operator_json(&config)),
            Self::Replacing => {
                let message = "replacement begun; `chestnutfork status` shows its progress".to_owned();
                reply(202, operator_json(&AcceptedBody { message }))
            }
            Self::Unavailable { reason, leader } => error(503, "unavailable", reason.to_owned(), leader),
            Self::Unknown => {
                let message = "the outcome is not known yet; send the request again with the same patch id";
                error(504, "outcome_unknown", message.to_owned(), None)
            }
            Self::Refused(message) => error(409, "refused", message, None),
        }
    }
}

fn reply(status: u16, body: Vec<u8>) -> Reply {
    let body = Bytes::from(body);
    Reply { status, body }
}

pub(crate) fn error(status: u16, code: &str, message: String, leader: Option<String>) -> Reply {
    let code = code.to_owned();
    let body = OperatorErrorBody {
        code,
        message,
        leader,
    };
    reply(status, operator_json(&body))
}

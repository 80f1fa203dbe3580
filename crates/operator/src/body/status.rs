//! Bodies of the system status, replica replacement and errors.

use std::net::SocketAddr;

use chestnutfork_types::{ConfigVersion, LogIndex, ReplicaId, Term, ViewNumber};
use serde::{Deserialize, Serialize};

/// Status of the control replicas and of all processes with an unexpired lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name of the control process that answered.
    pub node: String,
    /// Name of the leader, if one is known.
    pub leader: Option<String>,
    /// Current term.
    pub term: Term,
    /// Current configuration version.
    pub version: ConfigVersion,
    /// Members and candidates of the replica set.
    pub replicas: Vec<ReplicaBody>,
    /// Current entry view.
    pub view: ViewBody,
    /// Processes with an unexpired lease.
    pub processes: Vec<ProcessBody>,
}

/// State of one control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaBody {
    /// Name of the process.
    pub name: String,
    /// Replica id, which identifies its data directory.
    #[serde(with = "decimal")]
    pub replica: ReplicaId,
    /// Address at which its peers reach it.
    pub address: Option<SocketAddr>,
    /// `leader`, `follower`, `learner`, `candidate` (not a member) or `lost`.
    pub state: String,
    /// Last log index that it has acknowledged.
    #[serde(default)]
    pub log_index: LogIndex,
}

/// Entry view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewBody {
    /// Number of the view.
    pub number: ViewNumber,
    /// Names of the entries in the view.
    pub entries: Vec<String>,
}

/// State of one entry or agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessBody {
    /// Name of the process.
    pub name: String,
    /// Role of the process.
    pub role: String,
    /// Failure domain of the process.
    pub failure_domain: String,
    /// Configuration version in force in the process.
    pub version: ConfigVersion,
    /// Time since the last lease renewal in milliseconds.
    pub silent_ms: u64,
}

/// Request to replace a lost replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplaceBody {
    /// Id of the replica to remove.
    #[serde(with = "decimal")]
    pub old: ReplicaId,
    /// Id of the replica to add.
    #[serde(with = "decimal")]
    pub new: ReplicaId,
    /// Reason for the log.
    pub reason: String,
}

/// Response to a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Code and message of the error.
    pub error: ErrorDetail,
    /// Operator address of the leader, with status 421 or 503.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
}

/// Code and message of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable error code.
    pub code: String,
    /// Cause and remedy.
    pub message: String,
}

impl ErrorBody {
    /// Creates an error without a leader address.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_operator::body::ErrorBody;
    ///
    /// let body = ErrorBody::new("no_leader", "no leader is known; try again");
    /// assert_eq!(body.error.code, "no_leader");
    /// ```
    #[must_use]
    pub fn new(code: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            error: ErrorDetail {
                code: code.into(),
                message: message.into(),
            },
            leader: None,
        }
    }

    /// Adds the operator address of the leader.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_operator::body::ErrorBody;
    ///
    /// let leader = "127.0.0.1:7100".parse()?;
    /// let body = ErrorBody::new("not_leader", "send this to the leader").with_leader(leader);
    /// assert_eq!(body.leader, Some(leader));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn with_leader(mut self, leader: SocketAddr) -> Self {
        self.leader = Some(leader);
        self
    }
}

/// Encodes 64-bit ids as decimal strings, because many JSON tools round integers above 2^53.
mod decimal {
    use serde::{Deserialize as _, Deserializer, Serializer};

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde prescribes the signature")]
    pub(super) fn serialize<S: Serializer>(id: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&id.to_string())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

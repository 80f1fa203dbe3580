//! JSON bodies that operators exchange with control.

use std::time::{Duration, SystemTime};

use chestnutfork_config::{AuditRecord, Difference, Verdict};
use chestnutfork_types::PatchId;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;
use uuid::Uuid;

/// Reason why a request body of an operator cannot be used.
#[derive(Debug, Error)]
pub enum OperatorBodyError {
    /// The body is not JSON of the expected form.
    #[error("the body has another form: {reason}; see docs/API.md")]
    Malformed {
        /// What the parser reported.
        reason: String,
    },
    /// The patch id is not a UUID.
    #[error("`{text}` is not a UUID; choose a new UUID for each patch and keep it for resends")]
    BadPatchId {
        /// What stands in the body.
        text: String,
    },
    /// A replica id is not a hexadecimal number.
    #[error("`{text}` is not a replica id; copy it from `chestnutfork status`")]
    BadReplica {
        /// What stands in the body.
        text: String,
    },
}

/// Returns the JSON of a body for operators.
///
/// # Examples
///
/// ```
/// use chestnutfork_wire::{AcceptedBody, operator_json};
///
/// let json = operator_json(&AcceptedBody { message: "begun".into() });
/// assert_eq!(json, br#"{"message":"begun"}"#);
/// ```
#[must_use]
pub fn operator_json<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("bodies have string keys only")
}

/// Body of a patch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchBody {
    /// Version that the operator has seen.
    pub base: u64,
    /// Id of the patch, a UUID.
    pub patch_id: String,
    /// Reason for the audit trail.
    pub reason: String,
    /// JSON merge patch over the document.
    pub body: Value,
    /// Whether only the verdict is wanted.
    #[serde(default)]
    pub dry_run: bool,
}

impl PatchBody {
    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    ///
    /// # Examples
    ///
    /// ```
    /// let json = br#"{"base":0,"patch_id":"018f0000-0000-7000-8000-000000000001","reason":"r","body":{}}"#;
    /// let body = chestnutfork_wire::PatchBody::parse(json)?;
    /// assert!(!body.dry_run);
    /// assert!(body.id().is_ok());
    /// # Ok::<(), chestnutfork_wire::OperatorBodyError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, OperatorBodyError> {
        serde_json::from_slice(bytes).map_err(|error| malformed(&error))
    }

    /// Returns the id of the patch.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorBodyError::BadPatchId`] if it is not a UUID.
    pub fn id(&self) -> Result<PatchId, OperatorBodyError> {
        let id = Uuid::try_parse(&self.patch_id);
        id.map(|id| id.as_u128())
            .map_err(|_| OperatorBodyError::BadPatchId {
                text: self.patch_id.chars().take(64).collect(),
            })
    }
}

/// Body of a replacement of a control member.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplaceBody {
    /// Replica that leaves, in hexadecimal digits.
    pub remove: String,
    /// Replica that takes its place, in hexadecimal digits.
    pub add: String,
}

impl ReplaceBody {
    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    pub fn parse(bytes: &[u8]) -> Result<Self, OperatorBodyError> {
        serde_json::from_slice(bytes).map_err(|error| malformed(&error))
    }

    /// Returns the ids of both replicas.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorBodyError::BadReplica`] if one is not a hexadecimal number.
    pub fn replicas(&self) -> Result<(u64, u64), OperatorBodyError> {
        Ok((parse_replica(&self.remove)?, parse_replica(&self.add)?))
    }
}

fn parse_replica(text: &str) -> Result<u64, OperatorBodyError> {
    u64::from_str_radix(text, 16).map_err(|_| OperatorBodyError::BadReplica {
        text: text.chars().take(64).collect(),
    })
}

fn malformed(error: &serde_json::Error) -> OperatorBodyError {
    OperatorBodyError::Malformed {
        reason: error.to_string(),
    }
}

/// Difference of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DifferenceBody {
    /// Path of the key.
    pub path: String,
    /// Value before as JSON.
    pub old: Option<String>,
    /// Value after as JSON.
    pub new: Option<String>,
}

impl From<Difference> for DifferenceBody {
    fn from(difference: Difference) -> Self {
        Self {
            path: difference.path,
            old: difference.old,
            new: difference.new,
        }
    }
}

/// One error of a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationBody {
    /// Path of the key.
    pub path: String,
    /// What is wrong and what to do.
    pub message: String,
}

/// Verdict on a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum VerdictBody {
    /// The patch won its base version.
    Accepted {
        /// New version.
        version: u64,
        /// What the patch changed.
        differences: Vec<DifferenceBody>,
    },
    /// Another patch won the base version.
    Conflict {
        /// Current version.
        current: u64,
        /// What has changed since the base.
        differences: Vec<DifferenceBody>,
    },
    /// The patch is not valid.
    Invalid {
        /// All errors.
        errors: Vec<ViolationBody>,
    },
}

impl From<Verdict> for VerdictBody {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted { version, differences } => Self::Accepted {
                version,
                differences: differences.into_iter().map(Into::into).collect(),
            },
            Verdict::Conflict { current, differences } => Self::Conflict {
                current,
                differences: differences.into_iter().map(Into::into).collect(),
            },
            Verdict::Invalid { errors } => Self::Invalid {
                errors: errors
                    .into_iter()
                    .map(|error| ViolationBody {
                        path: error.path,
                        message: error.message,
                    })
                    .collect(),
            },
        }
    }
}

/// Audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Version that the patch made.
    pub version: u64,
    /// Version that the patch was made against.
    pub base: u64,
    /// Id of the patch.
    pub patch_id: String,
    /// Operator who sent the patch.
    pub operator: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// Time of the patch in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What the patch changed.
    pub differences: Vec<DifferenceBody>,
    /// Number of live subscribers with this version or a later one in force.
    pub in_force: u64,
    /// Number of live subscribers.
    pub subscribers: u64,
}

impl From<AuditRecord> for AuditBody {
    fn from(record: AuditRecord) -> Self {
        let since_epoch = record.time.duration_since(SystemTime::UNIX_EPOCH);
        let since_epoch = since_epoch.unwrap_or(Duration::ZERO);
        Self {
            version: record.version,
            base: record.base,
            patch_id: Uuid::from_u128(record.patch).to_string(),
            operator: record.operator,
            reason: record.reason,
            time_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            differences: record.differences.into_iter().map(Into::into).collect(),
            in_force: 0,
            subscribers: 0,
        }
    }
}

/// Configuration document with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Version.
    pub version: u64,
    /// Document with secrets redacted.
    pub document: Value,
}

/// State of control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name of the leader.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Last committed position of the log.
    pub commit: u64,
    /// Accepted version of the configuration.
    pub version: u64,
    /// Number of the entry view.
    pub view: u64,
    /// Control members.
    pub members: Vec<MemberBody>,
    /// Replacement in progress: old and new replica.
    pub replacing: Option<SwapBody>,
    /// Entries and agents with a live lease.
    pub subscribers: Vec<SubscriberBody>,
}

/// Replacement in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwapBody {
    /// Replica that leaves, in hexadecimal digits.
    pub remove: String,
    /// Replica that takes its place, in hexadecimal digits.
    pub add: String,
}

/// Control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Replica id in hexadecimal digits.
    pub replica: String,
    /// Name, if a link to the replica is open.
    pub name: Option<String>,
    /// Whether the replica votes.
    pub voter: bool,
    /// Whether the replica is a member; others may be admitted with a replacement.
    pub member: bool,
}

/// Entry or agent with a live lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberBody {
    /// Name from the settings.
    pub name: String,
    /// Role.
    pub role: String,
    /// Version in force.
    pub version: u64,
}

/// Acceptance of a replacement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// What was accepted, and where its progress is shown.
    pub message: String,
}

/// Error of the operator interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorErrorBody {
    /// Stable code.
    pub code: String,
    /// Cause and remedy.
    pub message: String,
    /// Operator address of the leader as far as known.
    pub leader: Option<String>,
}

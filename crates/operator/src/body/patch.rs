//! Bodies of patches, the audit trail and the configuration document.

use std::time::{Duration, SystemTime};

use chestnutfork_config::{AuditRecord, Difference, Patch, Verdict, Violation};
use chestnutfork_types::{ConfigVersion, OperatorName};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;

/// Patch sent by an operator's client; the control process adds the operator's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchBody {
    /// Version that the patch is made against.
    pub base: ConfigVersion,
    /// Id of the patch; resends use the same id.
    pub patch_id: Uuid,
    /// Reason for the audit trail.
    pub reason: String,
    /// JSON merge patch over the document.
    pub body: Value,
    /// Whether to return the verdict without applying the patch.
    #[serde(default)]
    pub dry_run: bool,
}

impl PatchBody {
    /// Converts the body to a patch of an authenticated operator.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_operator::body::PatchBody;
    ///
    /// let text = r#"{"base":1,"patch_id":"00000000-0000-0000-0000-000000000007","reason":"r","body":{}}"#;
    /// let body: PatchBody = serde_json::from_str(text)?;
    /// assert_eq!(body.into_patch("ann".into()).id, 7);
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    #[must_use]
    pub fn into_patch(self, operator: OperatorName) -> Patch {
        Patch {
            base: self.base,
            id: self.patch_id.as_u128(),
            operator,
            reason: self.reason,
            body: self.body,
        }
    }
}

/// Change of the value of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DifferenceBody {
    /// Path of the key.
    pub path: String,
    /// Previous value as JSON text, or null if the key was absent.
    pub old: Option<String>,
    /// New value as JSON text, or null if the key is absent.
    pub new: Option<String>,
}

/// Error in a patch or in the resulting document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationBody {
    /// Path of the key.
    pub path: String,
    /// Problem, allowed values and remedy.
    pub message: String,
}

/// Verdict on a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum VerdictBody {
    /// The patch was based on the current version and has been accepted.
    Accepted {
        /// New version.
        version: ConfigVersion,
        /// Changes made by the patch.
        differences: Vec<DifferenceBody>,
    },
    /// The base version is no longer current.
    Conflict {
        /// Current version.
        version: ConfigVersion,
        /// Changes since the base version.
        differences: Vec<DifferenceBody>,
    },
    /// The patch or the resulting document is not valid.
    Invalid {
        /// All errors of the patch and of the resulting document.
        errors: Vec<ViolationBody>,
    },
}

impl VerdictBody {
    /// Returns the HTTP status of a response with the verdict.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_operator::body::VerdictBody;
    ///
    /// assert_eq!(VerdictBody::Invalid { errors: vec![] }.status(), 422);
    /// ```
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Invalid { .. } => 422,
        }
    }
}

impl From<Verdict> for VerdictBody {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted { version, differences } => Self::Accepted {
                version,
                differences: differences.into_iter().map(Into::into).collect(),
            },
            Verdict::Conflict { current, differences } => Self::Conflict {
                version: current,
                differences: differences.into_iter().map(Into::into).collect(),
            },
            Verdict::Invalid { errors } => Self::Invalid {
                errors: errors.into_iter().map(Into::into).collect(),
            },
        }
    }
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

impl From<Violation> for ViolationBody {
    fn from(violation: Violation) -> Self {
        Self {
            path: violation.path,
            message: violation.message,
        }
    }
}

/// Page of the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Records in ascending order of version.
    pub records: Vec<AuditRecordBody>,
    /// Whether later records exist; request the next page with `since` set to the last version.
    #[serde(default)]
    pub more: bool,
}

/// Record of one accepted patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecordBody {
    /// Version created by the patch.
    pub version: ConfigVersion,
    /// Version that the patch was made against.
    pub base: ConfigVersion,
    /// Id of the patch.
    pub patch_id: Uuid,
    /// Name of the operator that sent the patch.
    pub operator: String,
    /// Reason given by the operator.
    pub reason: String,
    /// Time of the patch in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Changes made by the patch.
    pub differences: Vec<DifferenceBody>,
    /// Number of processes that currently run this or a later version.
    #[serde(default)]
    pub in_force: usize,
    /// Number of processes with an unexpired lease.
    #[serde(default)]
    pub processes: usize,
}

impl AuditRecordBody {
    /// Converts a record; `in_force` of `processes` live processes run its version or a later one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::SystemTime;
    /// use chestnutfork_config::AuditRecord;
    /// use chestnutfork_operator::body::AuditRecordBody;
    ///
    /// let record = AuditRecord {
    ///     version: 8,
    ///     base: 7,
    ///     patch: 1,
    ///     operator: "ann".into(),
    ///     reason: "more queue".into(),
    ///     time: SystemTime::UNIX_EPOCH,
    ///     differences: vec![],
    /// };
    /// let body = AuditRecordBody::new(&record, 3, 4);
    /// assert_eq!((body.version, body.in_force, body.processes), (8, 3, 4));
    /// ```
    #[must_use]
    pub fn new(record: &AuditRecord, in_force: usize, processes: usize) -> Self {
        let since_epoch = record
            .time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self {
            version: record.version,
            base: record.base,
            patch_id: Uuid::from_u128(record.patch),
            operator: record.operator.clone(),
            reason: record.reason.clone(),
            time_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            differences: record.differences.iter().cloned().map(Into::into).collect(),
            in_force,
            processes,
        }
    }
}

/// Current document with secrets redacted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Current version.
    pub version: ConfigVersion,
    /// Document of the current version.
    pub document: Value,
}

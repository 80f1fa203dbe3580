//! Operator patches and the verdicts on them.

use std::time::SystemTime;

use chestnutfork_schema::Violation;
use chestnutfork_types::{ConfigVersion, OperatorName, PatchId};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::difference::Difference;

/// Maximum length of the reason in bytes.
const REASON_MAX_LENGTH: usize = 1_000;
/// Maximum size of the body as JSON in bytes.
const BODY_MAX_LENGTH: usize = 1024 * 1024;

/// Configuration change that an operator requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Patch {
    /// Version that the patch is made against.
    pub base: ConfigVersion,
    /// Id assigned by the operator's client; a retransmission has the same id.
    pub id: PatchId,
    /// Operator who sent the patch.
    pub operator: OperatorName,
    /// Reason for the audit trail.
    pub reason: String,
    /// JSON merge patch over the document.
    pub body: Value,
}

/// Hash of all fields of a patch except its id.
pub(crate) type Fingerprint = [u8; 16];

impl Patch {
    /// Returns the violations that do not depend on the document.
    ///
    /// The messages are stored in the replicated verdicts.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut push = |path: &str, message: String| violations.push(Violation::inconsistent(path, message));
        if self.reason.trim().is_empty() || self.reason.len() > REASON_MAX_LENGTH {
            push(
                "reason",
                format!("is not usable; give a reason of 1 to {REASON_MAX_LENGTH} bytes"),
            );
        }
        if self.operator.is_empty() {
            push("operator", "is missing; authenticate as an operator".to_owned());
        }
        if !self.body.is_object() {
            push(
                "body",
                "is not an object; give a JSON merge patch of the document".to_owned(),
            );
        }
        if self.body.to_string().len() > BODY_MAX_LENGTH {
            push(
                "body",
                format!("is larger than {BODY_MAX_LENGTH} bytes; split the patch"),
            );
        }
        violations
    }

    /// Returns a hash that distinguishes a retransmission from a different patch with the same id.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update(self.base.to_le_bytes());
        for text in [&self.operator, &self.reason, &self.body.to_string()] {
            hasher.update(text.len().to_le_bytes());
            hasher.update(text.as_bytes());
        }
        let hash: [u8; 32] = hasher.finalize().into();
        let mut fingerprint = Fingerprint::default();
        fingerprint.copy_from_slice(&hash[..16]);
        fingerprint
    }
}

/// Patch as it is written to the replicated log.
#[derive(Clone, Debug, PartialEq)]
pub struct PatchCommand {
    /// Patch to apply.
    pub patch: Patch,
    /// Time on the leader when it proposed the patch, for the audit trail.
    pub time: SystemTime,
}

/// Verdict on a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The patch was the first valid one against its base version.
    Accepted {
        /// Version that the patch created.
        version: ConfigVersion,
        /// What the patch changed.
        differences: Vec<Difference>,
    },
    /// The base is not the current version, for example because another patch was accepted first; nothing was changed.
    Conflict {
        /// Version that was current at the time of the verdict.
        current: ConfigVersion,
        /// Changes since the base version, at most those of the last [`HISTORY_LIMIT`](crate::HISTORY_LIMIT) versions.
        differences: Vec<Difference>,
    },
    /// The patch or the resulting document is not valid; nothing was changed.
    Invalid {
        /// Errors found, truncated to a maximum number.
        errors: Vec<Violation>,
    },
}

impl Verdict {
    /// Returns the version that an accepted patch created.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::Verdict;
    ///
    /// let verdict = Verdict::Accepted { version: 7, differences: vec![] };
    /// assert_eq!(verdict.accepted_version(), Some(7));
    /// ```
    #[must_use]
    pub fn accepted_version(&self) -> Option<ConfigVersion> {
        match self {
            Self::Accepted { version, .. } => Some(*version),
            _ => None,
        }
    }
}

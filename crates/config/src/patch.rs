//! Patches of operators and the verdicts on them.

use std::time::SystemTime;

use chestnutfork_schema::Violation;
use chestnutfork_types::{ConfigVersion, OperatorName, PatchId};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::difference::Difference;

/// Largest length of the reason in bytes.
const REASON_MAX_LENGTH: usize = 1_000;
/// Largest size of the body as JSON in bytes.
const BODY_MAX_LENGTH: usize = 1024 * 1024;

/// Change of the configuration that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Patch {
    /// Version that the operator has seen.
    pub base: ConfigVersion,
    /// Id chosen by the operator's client; a resend has the same.
    pub id: PatchId,
    /// Operator who sent the patch.
    pub operator: OperatorName,
    /// Reason for the audit trail.
    pub reason: String,
    /// JSON merge patch over the document.
    pub body: Value,
}

/// Hash over all of a patch but its id.
pub(crate) type Fingerprint = [u8; 16];

impl Patch {
    /// Returns the violations of the patch itself, whatever the document.
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

    /// Returns a hash that tells a resend from another patch with the same id.
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

/// Patch as it goes through the replicated log.
#[derive(Clone, Debug, PartialEq)]
pub struct PatchCommand {
    /// The patch.
    pub patch: Patch,
    /// Time at the leader that proposed it, for the audit trail.
    pub time: SystemTime,
}

/// Verdict on a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The patch won its base version.
    Accepted {
        /// New version.
        version: ConfigVersion,
        /// What the patch changed.
        differences: Vec<Difference>,
    },
    /// Another patch won the base version; nothing was changed.
    Conflict {
        /// Current version.
        current: ConfigVersion,
        /// What has changed since the base, as far back as the audit trail goes.
        differences: Vec<Difference>,
    },
    /// The patch or the document that it would make is not valid; nothing was changed.
    Invalid {
        /// All errors, up to a limit.
        errors: Vec<Violation>,
    },
}

impl Verdict {
    /// Returns the version that an accepted patch made.
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

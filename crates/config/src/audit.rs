//! Audit records of accepted patches.

use std::time::SystemTime;

use chestnutfork_types::{ConfigVersion, OperatorName, PatchId};

use crate::difference::Difference;

/// Record of one accepted patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRecord {
    /// Version that the patch created.
    pub version: ConfigVersion,
    /// Version that the patch was made against.
    pub base: ConfigVersion,
    /// Id that the operator's client assigned to the patch.
    pub patch: PatchId,
    /// Operator who sent the patch.
    pub operator: OperatorName,
    /// Reason that the operator gave.
    pub reason: String,
    /// Time on the leader when it proposed the patch.
    pub time: SystemTime,
    /// What the patch changed, with secrets redacted.
    pub differences: Vec<Difference>,
}

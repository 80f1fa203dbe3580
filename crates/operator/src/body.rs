//! JSON bodies of the operator interface.
//!
//! `POST /v1/patches` takes a [`PatchBody`] and answers a [`VerdictBody`]. `GET /v1/status`, `GET /v1/audit?since=VERSION`
//! and `GET /v1/config` answer a [`StatusBody`], an [`AuditBody`] and a [`ConfigBody`]. `POST /v1/replace` takes a
//! [`ReplaceBody`] and answers a [`StatusBody`]. Any other answer is an [`ErrorBody`].

mod patch;
mod status;

pub use patch::{
    AuditBody, AuditRecordBody, ConfigBody, DifferenceBody, PatchBody, VerdictBody, ViolationBody,
};
pub use status::{ErrorBody, ErrorDetail, ProcessBody, ReplaceBody, ReplicaBody, StatusBody, ViewBody};

/// Code of an error after which the change may still be made, for example when a leader lost its quorum meanwhile.
pub const OUTCOME_UNKNOWN: &str = "outcome_unknown";

/// Path of patches.
pub const PATCHES_PATH: &str = "/v1/patches";
/// Path of the status.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the audit trail.
pub const AUDIT_PATH: &str = "/v1/audit";
/// Path of the configuration.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of member replacements.
pub const REPLACE_PATH: &str = "/v1/replace";

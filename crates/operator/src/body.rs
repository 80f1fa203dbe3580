//! JSON bodies of the operator interface.
//!
//! `POST /v1/patches` accepts a [`PatchBody`] and returns a [`VerdictBody`]. `GET /v1/status`, `GET /v1/audit?since=VERSION`
//! and `GET /v1/config` return a [`StatusBody`], an [`AuditBody`] and a [`ConfigBody`]. `POST /v1/replace` accepts a
//! [`ReplaceBody`] and returns a [`StatusBody`]. Any other response carries an [`ErrorBody`].

mod patch;
mod status;

pub use patch::{
    AuditBody, AuditRecordBody, ConfigBody, DifferenceBody, PatchBody, VerdictBody, ViolationBody,
};
pub use status::{ErrorBody, ErrorDetail, ProcessBody, ReplaceBody, ReplicaBody, StatusBody, ViewBody};

/// Error code of a change that may still be applied, for example because the leader lost its quorum before the commit.
pub const OUTCOME_UNKNOWN: &str = "outcome_unknown";

/// Request path of patches.
pub const PATCHES_PATH: &str = "/v1/patches";
/// Request path of the status.
pub const STATUS_PATH: &str = "/v1/status";
/// Request path of the audit trail.
pub const AUDIT_PATH: &str = "/v1/audit";
/// Request path of the configuration.
pub const CONFIG_PATH: &str = "/v1/config";
/// Request path of replica replacements.
pub const REPLACE_PATH: &str = "/v1/replace";

//! Versioned configuration of chestnutfork: patches, validation, deltas, audit records.
//!
//! [`ConfigStore`] is the deterministic state machine that control replicates. [`AppliedConfig`] is the configuration in
//! force in an entry or agent. Both are pure: time comes with each call, and nothing here reads a clock or a socket.

mod applied;
mod audit;
mod confirmation;
mod difference;
mod document;
mod encoding;
mod error;
mod keys;
mod merge;
mod model;
mod page;
mod patch;
mod store;
mod token;
mod update;
mod validate;

pub use applied::{AppliedConfig, ApplyOutcome};
pub use audit::AuditRecord;
pub use chestnutfork_schema::{Violation, ViolationKind};
pub use confirmation::{CONFIRMATION_TTL, CONTROL_SWITCH_TIMEOUT, Confirmation, ConfirmationTracker};
pub use difference::{Difference, differences};
pub use document::{Document, Team};
pub use error::{ConfigError, ErrorKind};
pub use keys::KEYS;
pub use merge::{merge_patch, patch_between};
pub use page::reference_page;
pub use patch::{Patch, PatchCommand, Verdict};
pub use store::{AUDIT_LIMIT, ConfigStore, HISTORY_LIMIT, VERDICT_LIMIT};
pub use token::TokenHash;
pub use update::{DeltaStep, Update};
pub use validate::validate;

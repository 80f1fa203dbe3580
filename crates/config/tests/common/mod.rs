//! Builders shared by the tests of this crate.

use std::time::{Duration, SystemTime};

use chestnutfork_config::{Patch, PatchCommand};
use chestnutfork_types::{ConfigVersion, PatchId};
use serde_json::Value;

/// Returns a command with a deterministic time, derived from its id.
pub fn command(base: ConfigVersion, id: PatchId, body: Value) -> PatchCommand {
    let offset = u64::try_from(id % 1_000_000).unwrap_or(0);
    let patch = Patch {
        base,
        id,
        operator: "ann".into(),
        reason: "test".into(),
        body,
    };
    PatchCommand {
        patch,
        time: SystemTime::UNIX_EPOCH + Duration::from_secs(offset),
    }
}

//! The replicated state machine of the configuration.

use std::collections::VecDeque;

use chestnutfork_schema::{Violation, redact};
use chestnutfork_types::{ConfigVersion, PatchId};
use indexmap::IndexMap;
use serde_json::{Map, Value};

use crate::audit::AuditRecord;
use crate::difference::{Difference, differences, join};
use crate::document::Document;
use crate::keys::KEYS;
use crate::merge::{merge_patch, patch_between};
use crate::patch::{Fingerprint, Patch, PatchCommand, Verdict};
use crate::update::{DeltaStep, Update};
use crate::validate::validate;

/// Number of steps that are kept; a subscriber further behind gets a snapshot.
pub const HISTORY_LIMIT: usize = 256;
/// Number of patch ids whose verdict is remembered.
pub const VERDICT_LIMIT: usize = 4_096;
/// Number of audit records that are kept: ten days at 980 changes a day.
pub const AUDIT_LIMIT: usize = 10_000;
/// Largest number of errors in a verdict.
const ERROR_LIMIT: usize = 100;

/// A remembered verdict takes its differences from the audit trail, up to a history's length before it.
const _: () = assert!(AUDIT_LIMIT >= VERDICT_LIMIT + HISTORY_LIMIT);

/// Verdict as it is remembered, without the differences that the audit trail holds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Remembered {
    Accepted {
        version: ConfigVersion,
    },
    Conflict {
        base: ConfigVersion,
        current: ConfigVersion,
    },
    Invalid {
        errors: Vec<Violation>,
    },
}

/// First verdict on a patch id, with the hash of the patch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Memory {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) verdict: Remembered,
}

/// Document that a patch would make.
struct Candidate {
    value: Value,
    document: Document,
}

/// Versioned configuration with its history, audit trail and remembered verdicts.
///
/// The same commands in the same order give the same state and the same verdicts on every replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigStore {
    pub(crate) version: ConfigVersion,
    pub(crate) value: Value,
    pub(crate) document: Document,
    pub(crate) history: VecDeque<DeltaStep>,
    pub(crate) audit: VecDeque<AuditRecord>,
    pub(crate) memory: IndexMap<PatchId, Memory>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            version: 0,
            value: Value::Object(Map::new()),
            document: Document::default(),
            history: VecDeque::new(),
            audit: VecDeque::new(),
            memory: IndexMap::new(),
        }
    }
}

impl ConfigStore {
    /// Returns the current version; 0 is the empty document.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_config::ConfigStore::default().version(), 0);
    /// ```
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the current document.
    ///
    /// # Examples
    ///
    /// ```
    /// let store = chestnutfork_config::ConfigStore::default();
    /// assert_eq!(store.document().services().count(), 0);
    /// ```
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the current document as JSON with secrets redacted, to show to operators.
    ///
    /// # Examples
    ///
    /// ```
    /// let store = chestnutfork_config::ConfigStore::default();
    /// assert_eq!(store.redacted(), serde_json::json!({}));
    /// ```
    #[must_use]
    pub fn redacted(&self) -> Value {
        redact(KEYS, &self.value)
    }

    /// Returns the verdict that a patch would get now, without changing anything.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::{ConfigStore, Patch, Verdict};
    /// use serde_json::json;
    ///
    /// let body = json!({ "services": { "desk": { "pool": "main" } } });
    /// let patch = Patch { base: 0, id: 1, operator: "ann".into(), reason: "desk".into(), body };
    /// let store = ConfigStore::default();
    /// assert_eq!(store.dry_run(&patch).accepted_version(), Some(1));
    /// assert_eq!(store.version(), 0);
    /// ```
    #[must_use]
    pub fn dry_run(&self, patch: &Patch) -> Verdict {
        if let Some(verdict) = self.known(patch) {
            return verdict;
        }
        match self.evaluate(patch) {
            Ok(candidate) => Verdict::Accepted {
                version: self.version + 1,
                differences: differences(&self.value, &candidate.value),
            },
            Err(verdict) => self.expand(&verdict),
        }
    }

    /// Applies a committed patch and returns its verdict; a known patch id gets its first verdict again.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::SystemTime;
    /// use chestnutfork_config::{ConfigStore, Patch, PatchCommand};
    /// use serde_json::json;
    ///
    /// let body = json!({ "services": { "desk": { "pool": "main" } } });
    /// let patch = Patch { base: 0, id: 1, operator: "ann".into(), reason: "desk".into(), body };
    /// let command = PatchCommand { patch, time: SystemTime::UNIX_EPOCH };
    /// let mut store = ConfigStore::default();
    /// let verdict = store.apply(&command);
    /// assert_eq!(verdict.accepted_version(), Some(1));
    /// assert_eq!(store.apply(&command), verdict);
    /// assert_eq!(store.version(), 1);
    /// ```
    pub fn apply(&mut self, command: &PatchCommand) -> Verdict {
        let patch = &command.patch;
        if let Some(verdict) = self.known(patch) {
            return verdict;
        }
        let remembered = match self.evaluate(patch) {
            Ok(candidate) => self.accept(command, candidate),
            Err(verdict) => verdict,
        };
        let verdict = self.expand(&remembered);
        self.remember(patch, remembered);
        verdict
    }

    /// Returns the update for a subscriber that has a version, or `None` if it is not behind.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_config::ConfigStore::default().update_since(0), None);
    /// ```
    #[must_use]
    pub fn update_since(&self, have: ConfigVersion) -> Option<Update> {
        if have >= self.version {
            return None;
        }
        let oldest = self.history.front().map(|step| step.version);
        if oldest.is_none_or(|oldest| have + 1 < oldest) {
            return Some(self.full_update());
        }
        let steps = self.history.iter().filter(|step| step.version > have);
        Some(Update::Delta {
            steps: steps.cloned().collect(),
        })
    }

    /// Returns the whole document as an update.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_config::ConfigStore::default().full_update().version(), 0);
    /// ```
    #[must_use]
    pub fn full_update(&self) -> Update {
        Update::Snapshot {
            version: self.version,
            document: self.value.clone(),
        }
    }

    /// Iterates over the audit records of versions above `version`, the oldest first.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_config::ConfigStore::default().audit_since(0).count(), 0);
    /// ```
    pub fn audit_since(&self, version: ConfigVersion) -> impl Iterator<Item = &AuditRecord> {
        let start = self.audit.partition_point(|record| record.version <= version);
        self.audit.range(start..)
    }

    /// Returns the first verdict on the patch's id, if the id is known.
    fn known(&self, patch: &Patch) -> Option<Verdict> {
        let memory = self.memory.get(&patch.id)?;
        if memory.fingerprint == patch.fingerprint() {
            return Some(self.expand(&memory.verdict));
        }
        let message = "was used for another patch; send this patch with a new id";
        Some(Verdict::Invalid {
            errors: vec![Violation::inconsistent("patch_id", message)],
        })
    }

    fn evaluate(&self, patch: &Patch) -> Result<Candidate, Remembered> {
        if patch.base != self.version {
            return Err(Remembered::Conflict {
                base: patch.base,
                current: self.version,
            });
        }
        let violations = patch.violations();
        if !violations.is_empty() {
            return Err(Remembered::Invalid { errors: violations });
        }
        let mut value = self.value.clone();
        merge_patch(&mut value, &patch.body);
        match validate(&value) {
            Ok(document) => Ok(Candidate { value, document }),
            Err(mut errors) => {
                errors.truncate(ERROR_LIMIT);
                Err(Remembered::Invalid { errors })
            }
        }
    }

    fn accept(&mut self, command: &PatchCommand, candidate: Candidate) -> Remembered {
        let version = self.version + 1;
        let record = AuditRecord {
            version,
            base: self.version,
            patch: command.patch.id,
            operator: command.patch.operator.clone(),
            reason: command.patch.reason.clone(),
            time: command.time,
            differences: differences(&self.value, &candidate.value),
        };
        let patch = patch_between(&self.value, &candidate.value);
        push_bounded(&mut self.audit, record, AUDIT_LIMIT);
        push_bounded(&mut self.history, DeltaStep { version, patch }, HISTORY_LIMIT);
        self.version = version;
        self.value = candidate.value;
        self.document = candidate.document;
        Remembered::Accepted { version }
    }

    fn remember(&mut self, patch: &Patch, verdict: Remembered) {
        let memory = Memory {
            fingerprint: patch.fingerprint(),
            verdict,
        };
        if self.memory.len() >= VERDICT_LIMIT {
            // Takes linear time, which is little against the synced write of each patch.
            self.memory.shift_remove_index(0);
        }
        self.memory.insert(patch.id, memory);
    }

    fn expand(&self, verdict: &Remembered) -> Verdict {
        match verdict {
            Remembered::Accepted { version } => Verdict::Accepted {
                version: *version,
                differences: self.differences_between(version - 1, *version),
            },
            Remembered::Conflict { base, current } => {
                let reach = current.saturating_sub(HISTORY_LIMIT as ConfigVersion);
                Verdict::Conflict {
                    current: *current,
                    differences: self.differences_between((*base).max(reach), *current),
                }
            }
            Remembered::Invalid { errors } => Verdict::Invalid {
                errors: errors.clone(),
            },
        }
    }

    fn differences_between(&self, above: ConfigVersion, until: ConfigVersion) -> Vec<Difference> {
        let records = self
            .audit_since(above)
            .take_while(|record| record.version <= until);
        join(records.flat_map(|record| &record.differences))
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, limit: usize) {
    if queue.len() >= limit {
        queue.pop_front();
    }
    queue.push_back(item);
}

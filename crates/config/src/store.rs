//! Replicated state machine of the configuration.

use std::collections::VecDeque;

use chestnutfork_schema::{Violation, redact};
use chestnutfork_types::{ConfigVersion, PatchId};
use indexmap::IndexMap;
use serde_json::{Map, Value};

use crate::audit::AuditRecord;
use crate::difference::{Difference, differences, merge_consecutive};
use crate::document::Document;
use crate::keys::KEYS;
use crate::merge::{merge_patch, patch_between};
use crate::patch::{Fingerprint, Patch, PatchCommand, Verdict};
use crate::update::{DeltaStep, Update};
use crate::validate::validate;

/// Number of retained steps; a subscriber that is further behind gets a snapshot.
pub const HISTORY_LIMIT: usize = 256;
/// Number of patch ids whose verdicts are retained.
pub const VERDICT_LIMIT: usize = 4_096;
/// Number of retained audit records: ten days at 980 changes a day.
pub const AUDIT_LIMIT: usize = 10_000;
/// Maximum number of errors in a verdict.
const ERROR_LIMIT: usize = 100;

/// The differences of a stored verdict come from the audit trail and reach back up to [`HISTORY_LIMIT`] versions before
/// it, so the trail must cover both limits.
const _: () = assert!(AUDIT_LIMIT >= VERDICT_LIMIT + HISTORY_LIMIT);

/// Verdict without its differences, which are in the audit trail.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StoredVerdict {
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

/// Verdict on the first patch with an id, and the hash of that patch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct VerdictRecord {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) verdict: StoredVerdict,
}

/// Document that would result from a patch.
struct Candidate {
    value: Value,
    document: Document,
}

/// Versioned configuration with its history, audit trail and the verdicts on recent patches.
///
/// The same commands in the same order produce the same state and the same verdicts on every replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigStore {
    pub(crate) version: ConfigVersion,
    pub(crate) value: Value,
    pub(crate) document: Document,
    pub(crate) history: VecDeque<DeltaStep>,
    pub(crate) audit: VecDeque<AuditRecord>,
    pub(crate) verdicts: IndexMap<PatchId, VerdictRecord>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            version: 0,
            value: Value::Object(Map::new()),
            document: Document::default(),
            history: VecDeque::new(),
            audit: VecDeque::new(),
            verdicts: IndexMap::new(),
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

    /// Returns the current document as JSON with secrets redacted, for display to operators.
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
        if let Some(verdict) = self.known_verdict(patch) {
            return verdict;
        }
        match self.evaluate(patch) {
            Ok(candidate) => Verdict::Accepted {
                version: self.version + 1,
                differences: differences(&self.value, &candidate.value),
            },
            Err(verdict) => self.expand_verdict(&verdict),
        }
    }

    /// Applies a committed patch and returns its verdict; a patch with a known id gets the earlier verdict again.
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
        if let Some(verdict) = self.known_verdict(patch) {
            return verdict;
        }
        let stored = match self.evaluate(patch) {
            Ok(candidate) => self.accept(command, candidate),
            Err(verdict) => verdict,
        };
        let verdict = self.expand_verdict(&stored);
        self.record_verdict(patch, stored);
        verdict
    }

    /// Returns the update for a subscriber with version `have`, or `None` if it is up to date.
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

    /// Returns an update with the full document.
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

    /// Returns the verdict for the patch's id if the id is known, and an error if the id was used for another patch.
    fn known_verdict(&self, patch: &Patch) -> Option<Verdict> {
        let record = self.verdicts.get(&patch.id)?;
        if record.fingerprint == patch.fingerprint() {
            return Some(self.expand_verdict(&record.verdict));
        }
        let message = "was used for another patch; send this patch with a new id";
        Some(Verdict::Invalid {
            errors: vec![Violation::inconsistent("patch_id", message)],
        })
    }

    fn evaluate(&self, patch: &Patch) -> Result<Candidate, StoredVerdict> {
        if patch.base != self.version {
            return Err(StoredVerdict::Conflict {
                base: patch.base,
                current: self.version,
            });
        }
        let violations = patch.violations();
        if !violations.is_empty() {
            return Err(StoredVerdict::Invalid { errors: violations });
        }
        let mut value = self.value.clone();
        merge_patch(&mut value, &patch.body);
        match validate(&value) {
            Ok(document) => Ok(Candidate { value, document }),
            Err(mut errors) => {
                errors.truncate(ERROR_LIMIT);
                Err(StoredVerdict::Invalid { errors })
            }
        }
    }

    fn accept(&mut self, command: &PatchCommand, candidate: Candidate) -> StoredVerdict {
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
        StoredVerdict::Accepted { version }
    }

    fn record_verdict(&mut self, patch: &Patch, verdict: StoredVerdict) {
        let record = VerdictRecord {
            fingerprint: patch.fingerprint(),
            verdict,
        };
        if self.verdicts.len() >= VERDICT_LIMIT {
            // Takes linear time, which is negligible compared with the synced write of each patch.
            self.verdicts.shift_remove_index(0);
        }
        self.verdicts.insert(patch.id, record);
    }

    fn expand_verdict(&self, verdict: &StoredVerdict) -> Verdict {
        match verdict {
            StoredVerdict::Accepted { version } => Verdict::Accepted {
                version: *version,
                differences: self.differences_between(version - 1, *version),
            },
            StoredVerdict::Conflict { base, current } => {
                let oldest = current.saturating_sub(HISTORY_LIMIT as ConfigVersion);
                Verdict::Conflict {
                    current: *current,
                    differences: self.differences_between((*base).max(oldest), *current),
                }
            }
            StoredVerdict::Invalid { errors } => Verdict::Invalid {
                errors: errors.clone(),
            },
        }
    }

    fn differences_between(&self, above: ConfigVersion, until: ConfigVersion) -> Vec<Difference> {
        let records = self
            .audit_since(above)
            .take_while(|record| record.version <= until);
        merge_consecutive(records.flat_map(|record| &record.differences))
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, limit: usize) {
    if queue.len() >= limit {
        queue.pop_front();
    }
    queue.push_back(item);
}

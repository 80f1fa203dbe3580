//! Encoding of the store, of commands and of updates as bytes, by serde types of their own.

use std::time::{Duration, SystemTime};

use chestnutfork_schema::{Violation, ViolationKind};
use chestnutfork_types::{ConfigVersion, PatchId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::audit::AuditRecord;
use crate::difference::Difference;
use crate::error::{ConfigError, ErrorKind};
use crate::patch::{Fingerprint, Patch, PatchCommand};
use crate::store::{ConfigStore, Memory, Remembered};
use crate::update::{DeltaStep, Update};
use crate::validate::validate;

/// Format of commands and snapshots; it rises with each change of the rules by which patches are judged.
///
/// A replica that judged a patch by older rules than the others would drift apart from them without notice, so it must
/// refuse the command instead.
const FORMAT: u32 = 1;

/// Reads only the format, which all formats have.
#[derive(Deserialize)]
struct FormatModel {
    format: u32,
}

#[derive(Serialize, Deserialize)]
struct StoreModel {
    format: u32,
    version: ConfigVersion,
    document: Value,
    history: Vec<DeltaStepModel>,
    audit: Vec<AuditModel>,
    memory: Vec<MemoryModel>,
}

#[derive(Serialize, Deserialize)]
struct DeltaStepModel {
    version: ConfigVersion,
    patch: Value,
}

#[derive(Serialize, Deserialize)]
struct AuditModel {
    version: ConfigVersion,
    base: ConfigVersion,
    patch: PatchId,
    operator: String,
    reason: String,
    time_ms: u64,
    differences: Vec<DifferenceModel>,
}

#[derive(Serialize, Deserialize)]
struct DifferenceModel {
    path: String,
    old: Option<String>,
    new: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct MemoryModel {
    patch: PatchId,
    fingerprint: Fingerprint,
    verdict: VerdictModel,
}

#[derive(Serialize, Deserialize)]
enum VerdictModel {
    Accepted {
        version: ConfigVersion,
    },
    Conflict {
        base: ConfigVersion,
        current: ConfigVersion,
    },
    Invalid {
        errors: Vec<ViolationModel>,
    },
}

#[derive(Serialize, Deserialize)]
struct ViolationModel {
    path: String,
    kind: KindModel,
    message: String,
}

#[derive(Serialize, Deserialize)]
enum KindModel {
    UnknownKey,
    Missing,
    NotAllowed,
    Inconsistent,
}

#[derive(Serialize, Deserialize)]
struct CommandModel {
    format: u32,
    base: ConfigVersion,
    patch: PatchId,
    operator: String,
    reason: String,
    body: Value,
    time_ms: u64,
}

#[derive(Serialize, Deserialize)]
enum UpdateModel {
    Delta { steps: Vec<DeltaStepModel> },
    Snapshot { version: ConfigVersion, document: Value },
}

impl ConfigStore {
    /// Returns the whole state as bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::ConfigStore;
    ///
    /// let store = ConfigStore::default();
    /// assert_eq!(ConfigStore::restore(&store.snapshot()), Ok(store));
    /// ```
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&StoreModel {
            format: FORMAT,
            version: self.version,
            document: self.value.clone(),
            history: self.history.iter().cloned().map(Into::into).collect(),
            audit: self.audit.iter().cloned().map(Into::into).collect(),
            memory: self.memory.iter().map(memory_model).collect(),
        })
    }

    /// Reads a state that [`ConfigStore::snapshot`] wrote.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are damaged or of a newer format, or the document is not valid for this process.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_config::ConfigStore::restore(b"no snapshot").is_err());
    /// ```
    pub fn restore(bytes: &[u8]) -> Result<Self, ConfigError> {
        check_format(bytes)?;
        let model: StoreModel = decode(bytes)?;
        let version = model.version;
        let document = validate(&model.document).map_err(|errors| ErrorKind::Invalid { version, errors })?;
        Ok(Self {
            version,
            value: model.document,
            document,
            history: model.history.into_iter().map(Into::into).collect(),
            audit: model.audit.into_iter().map(Into::into).collect(),
            memory: model.memory.into_iter().map(memory_entry).collect(),
        })
    }
}

impl PatchCommand {
    /// Returns the command as bytes for the replicated log.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::SystemTime;
    /// use chestnutfork_config::{Patch, PatchCommand};
    ///
    /// let body = serde_json::json!({});
    /// let patch = Patch { base: 0, id: 1, operator: "ann".into(), reason: "test".into(), body };
    /// let command = PatchCommand { patch, time: SystemTime::UNIX_EPOCH };
    /// assert_eq!(PatchCommand::decode(&command.encode()), Ok(command));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(&CommandModel {
            format: FORMAT,
            base: self.patch.base,
            patch: self.patch.id,
            operator: self.patch.operator.clone(),
            reason: self.patch.reason.clone(),
            body: self.patch.body.clone(),
            time_ms: milliseconds(self.time),
        })
    }

    /// Reads a command that [`PatchCommand::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are damaged or of a newer format. A replica must then stop, not skip the command.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_config::PatchCommand::decode(b"").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, ConfigError> {
        check_format(bytes)?;
        let model: CommandModel = decode(bytes)?;
        let patch = Patch {
            base: model.base,
            id: model.patch,
            operator: model.operator,
            reason: model.reason,
            body: model.body,
        };
        Ok(Self {
            patch,
            time: time(model.time_ms),
        })
    }
}

impl Update {
    /// Returns the update as bytes for a subscriber.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::{ConfigStore, Update};
    ///
    /// let update = ConfigStore::default().full_update();
    /// assert_eq!(Update::decode(&update.encode()), Ok(update));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(&UpdateModel::from(self.clone()))
    }

    /// Reads an update that [`Update::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are damaged.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_config::Update::decode(b"").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, ConfigError> {
        let model: UpdateModel = decode(bytes)?;
        Ok(model.into())
    }
}

fn encode<T: Serialize>(model: &T) -> Vec<u8> {
    serde_json::to_vec(model).expect("the types have string keys only and no failing serializer")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ConfigError> {
    serde_json::from_slice(bytes).map_err(|error| ErrorKind::Encoding(error.to_string()).into())
}

fn check_format(bytes: &[u8]) -> Result<(), ConfigError> {
    let model: FormatModel = decode(bytes)?;
    if model.format <= FORMAT {
        return Ok(());
    }
    let found = model.format;
    Err(ErrorKind::NewerFormat {
        found,
        supported: FORMAT,
    }
    .into())
}

fn milliseconds(time: SystemTime) -> u64 {
    let since = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a point in time; one beyond the range of the clock becomes the epoch.
fn time(ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH
        .checked_add(Duration::from_millis(ms))
        .unwrap_or(SystemTime::UNIX_EPOCH)
}

fn memory_model((patch, memory): (&PatchId, &Memory)) -> MemoryModel {
    MemoryModel {
        patch: *patch,
        fingerprint: memory.fingerprint,
        verdict: memory.verdict.clone().into(),
    }
}

fn memory_entry(model: MemoryModel) -> (PatchId, Memory) {
    let memory = Memory {
        fingerprint: model.fingerprint,
        verdict: model.verdict.into(),
    };
    (model.patch, memory)
}

impl From<DeltaStep> for DeltaStepModel {
    fn from(step: DeltaStep) -> Self {
        Self {
            version: step.version,
            patch: step.patch,
        }
    }
}

impl From<DeltaStepModel> for DeltaStep {
    fn from(model: DeltaStepModel) -> Self {
        Self {
            version: model.version,
            patch: model.patch,
        }
    }
}

impl From<Update> for UpdateModel {
    fn from(update: Update) -> Self {
        match update {
            Update::Delta { steps } => Self::Delta {
                steps: steps.into_iter().map(Into::into).collect(),
            },
            Update::Snapshot { version, document } => Self::Snapshot { version, document },
        }
    }
}

impl From<UpdateModel> for Update {
    fn from(model: UpdateModel) -> Self {
        match model {
            UpdateModel::Delta { steps } => Self::Delta {
                steps: steps.into_iter().map(Into::into).collect(),
            },
            UpdateModel::Snapshot { version, document } => Self::Snapshot { version, document },
        }
    }
}

impl From<AuditRecord> for AuditModel {
    fn from(record: AuditRecord) -> Self {
        Self {
            version: record.version,
            base: record.base,
            patch: record.patch,
            operator: record.operator,
            reason: record.reason,
            time_ms: milliseconds(record.time),
            differences: record.differences.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<AuditModel> for AuditRecord {
    fn from(model: AuditModel) -> Self {
        Self {
            version: model.version,
            base: model.base,
            patch: model.patch,
            operator: model.operator,
            reason: model.reason,
            time: time(model.time_ms),
            differences: model.differences.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Difference> for DifferenceModel {
    fn from(difference: Difference) -> Self {
        Self {
            path: difference.path,
            old: difference.old,
            new: difference.new,
        }
    }
}

impl From<DifferenceModel> for Difference {
    fn from(model: DifferenceModel) -> Self {
        Self {
            path: model.path,
            old: model.old,
            new: model.new,
        }
    }
}

impl From<Remembered> for VerdictModel {
    fn from(verdict: Remembered) -> Self {
        match verdict {
            Remembered::Accepted { version } => Self::Accepted { version },
            Remembered::Conflict { base, current } => Self::Conflict { base, current },
            Remembered::Invalid { errors } => Self::Invalid {
                errors: errors.into_iter().map(Into::into).collect(),
            },
        }
    }
}

impl From<VerdictModel> for Remembered {
    fn from(model: VerdictModel) -> Self {
        match model {
            VerdictModel::Accepted { version } => Self::Accepted { version },
            VerdictModel::Conflict { base, current } => Self::Conflict { base, current },
            VerdictModel::Invalid { errors } => Self::Invalid {
                errors: errors.into_iter().map(Into::into).collect(),
            },
        }
    }
}

impl From<Violation> for ViolationModel {
    fn from(violation: Violation) -> Self {
        let kind = match violation.kind {
            ViolationKind::UnknownKey => KindModel::UnknownKey,
            ViolationKind::Missing => KindModel::Missing,
            ViolationKind::NotAllowed => KindModel::NotAllowed,
            ViolationKind::Inconsistent => KindModel::Inconsistent,
        };
        Self {
            path: violation.path,
            kind,
            message: violation.message,
        }
    }
}

impl From<ViolationModel> for Violation {
    fn from(model: ViolationModel) -> Self {
        let kind = match model.kind {
            KindModel::UnknownKey => ViolationKind::UnknownKey,
            KindModel::Missing => ViolationKind::Missing,
            KindModel::NotAllowed => ViolationKind::NotAllowed,
            KindModel::Inconsistent => ViolationKind::Inconsistent,
        };
        Self {
            path: model.path,
            kind,
            message: model.message,
        }
    }
}

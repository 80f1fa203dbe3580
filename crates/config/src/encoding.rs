//! Byte encoding of the store, of commands and of updates, through separate serde types.

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
use crate::store::{ConfigStore, StoredVerdict, VerdictRecord};
use crate::update::{DeltaStep, Update};
use crate::validate::validate;

/// Format of commands and snapshots, incremented with each change of the rules for validating patches.
///
/// A replica that validated a patch by older rules than the others would silently diverge from them, so it must refuse
/// the command instead.
const FORMAT: u32 = 1;

/// Format field, which the models of all formats have.
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
    memory: Vec<VerdictRecordModel>,
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
struct VerdictRecordModel {
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
    kind: ViolationKindModel,
    message: String,
}

#[derive(Serialize, Deserialize)]
enum ViolationKindModel {
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
    /// Encodes the full state.
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
            memory: self.verdicts.iter().map(verdict_record_model).collect(),
        })
    }

    /// Decodes a state that [`ConfigStore::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are corrupt or of a newer format, or the document is not valid for this process.
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
            verdicts: model.memory.into_iter().map(verdict_record).collect(),
        })
    }
}

impl PatchCommand {
    /// Encodes the command for the replicated log.
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
            time_ms: unix_milliseconds(self.time),
        })
    }

    /// Decodes a command that [`PatchCommand::encode`] encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are corrupt or of a newer format. A replica must then stop, not skip the command.
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
            time: system_time(model.time_ms),
        })
    }
}

impl Update {
    /// Encodes the update for a subscriber.
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

    /// Decodes an update that [`Update::encode`] encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are corrupt.
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
    serde_json::to_vec(model).expect("the models have only string keys and infallible serializers")
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

fn unix_milliseconds(time: SystemTime) -> u64 {
    let since = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Converts milliseconds since the Unix epoch; a time beyond the range of [`SystemTime`] becomes the epoch.
fn system_time(ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH
        .checked_add(Duration::from_millis(ms))
        .unwrap_or(SystemTime::UNIX_EPOCH)
}

fn verdict_record_model((patch, record): (&PatchId, &VerdictRecord)) -> VerdictRecordModel {
    VerdictRecordModel {
        patch: *patch,
        fingerprint: record.fingerprint,
        verdict: record.verdict.clone().into(),
    }
}

fn verdict_record(model: VerdictRecordModel) -> (PatchId, VerdictRecord) {
    let record = VerdictRecord {
        fingerprint: model.fingerprint,
        verdict: model.verdict.into(),
    };
    (model.patch, record)
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
            time_ms: unix_milliseconds(record.time),
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
            time: system_time(model.time_ms),
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

impl From<StoredVerdict> for VerdictModel {
    fn from(verdict: StoredVerdict) -> Self {
        match verdict {
            StoredVerdict::Accepted { version } => Self::Accepted { version },
            StoredVerdict::Conflict { base, current } => Self::Conflict { base, current },
            StoredVerdict::Invalid { errors } => Self::Invalid {
                errors: errors.into_iter().map(Into::into).collect(),
            },
        }
    }
}

impl From<VerdictModel> for StoredVerdict {
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
            ViolationKind::UnknownKey => ViolationKindModel::UnknownKey,
            ViolationKind::Missing => ViolationKindModel::Missing,
            ViolationKind::InvalidValue => ViolationKindModel::NotAllowed,
            ViolationKind::Inconsistent => ViolationKindModel::Inconsistent,
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
            ViolationKindModel::UnknownKey => ViolationKind::UnknownKey,
            ViolationKindModel::Missing => ViolationKind::Missing,
            ViolationKindModel::NotAllowed => ViolationKind::InvalidValue,
            ViolationKindModel::Inconsistent => ViolationKind::Inconsistent,
        };
        Self {
            path: model.path,
            kind,
            message: model.message,
        }
    }
}

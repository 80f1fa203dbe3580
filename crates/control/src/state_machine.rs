//! Replicated state machine: the configuration, the entry view, the document and the evacuations.

use bytes::Bytes;
use chestnutfork_config::{ConfigStore, PatchCommand, Verdict};
use chestnutfork_documents::Document;
use chestnutfork_evacuation::Evacuations;
use chestnutfork_raft::{Entry, Payload};
use chestnutfork_types::{ConfigVersion, FailureDomain, LogIndex};
use chestnutfork_wire::{CommandWire, StateWire, ViewWire};

use crate::error::ControlError;
use crate::message::ViewRecord;

/// Command of the replicated log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Applies a patch of an operator.
    Patch(PatchCommand),
    /// Installs the next entry view.
    View(ViewRecord),
    /// Replaces the document if the new version is higher.
    Document(Document),
    /// Evacuates a failure domain, or ends its evacuation if `evacuated` is `false`.
    Evacuate { domain: FailureDomain, evacuated: bool },
}

/// Effect of a committed entry.
#[derive(Debug)]
pub(crate) enum Applied {
    /// No visible effect.
    Nothing,
    /// A patch was decided.
    Verdict(Verdict),
    /// A new view is in force.
    View,
    /// The proposed document, or another one with the same or a higher version, is in force.
    Document,
    /// The proposed evacuation, or end of one, is in force.
    Evacuation,
}

/// Replicated state and its position in the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct StateMachine {
    pub(crate) config: ConfigStore,
    pub(crate) view: Option<ViewRecord>,
    pub(crate) document: Option<Document>,
    pub(crate) evacuations: Evacuations,
    /// Index of the last applied entry.
    pub(crate) index: LogIndex,
}

impl Command {
    pub(crate) fn to_bytes(&self) -> Bytes {
        let wire = match self {
            Self::Patch(command) => CommandWire::Patch(command.encode().into()),
            Self::View(record) => CommandWire::View(ViewWire::from(record.clone())),
            Self::Document(document) => CommandWire::Document(document.version, document.content.clone()),
            Self::Evacuate { domain, evacuated } => CommandWire::Evacuate(domain.clone(), *evacuated),
        };
        wire.to_bytes()
            .expect("numbers, strings and bytes have an encoding")
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, ControlError> {
        Ok(match CommandWire::from_bytes(bytes)? {
            CommandWire::Patch(command) => Self::Patch(PatchCommand::decode(&command)?),
            CommandWire::View(view) => Self::View(view.into()),
            CommandWire::Document(version, content) => Self::Document(Document { version, content }),
            CommandWire::Evacuate(domain, evacuated) => Self::Evacuate { domain, evacuated },
        })
    }
}

impl StateMachine {
    /// Applies a committed entry. The replica must stop if this version cannot decode the entry.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Result<Applied, ControlError> {
        self.index = entry.index;
        let Payload::Command(bytes) = &entry.payload else {
            return Ok(Applied::Nothing);
        };
        Ok(match Command::from_bytes(bytes)? {
            Command::Patch(command) => {
                let verdict = self.config.apply(&command);
                Applied::Verdict(verdict)
            }
            Command::View(record) => self.apply_view(record),
            Command::Document(document) => self.apply_document(document),
            Command::Evacuate { domain, evacuated } => {
                self.evacuations.set(&domain, evacuated);
                Applied::Evacuation
            }
        })
    }

    /// Installs a view if it directly follows the current one, because two leaders may have proposed the same number.
    fn apply_view(&mut self, record: ViewRecord) -> Applied {
        if record.view.number != self.view_number() + 1 {
            return Applied::Nothing;
        }
        self.view = Some(record);
        Applied::View
    }

    /// Installs a document if its version is higher; of two documents with the same version the first remains.
    fn apply_document(&mut self, document: Document) -> Applied {
        if document.version > self.document_version() {
            self.document = Some(document);
        }
        Applied::Document
    }

    /// Returns the version of the document in force, or zero if there is none.
    pub(crate) fn document_version(&self) -> ConfigVersion {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    pub(crate) fn view_number(&self) -> u64 {
        self.view.as_ref().map_or(0, |record| record.view.number)
    }

    pub(crate) fn to_bytes(&self) -> Bytes {
        let document = self.document.clone();
        let Evacuations { revision, domains } = &self.evacuations;
        let wire = StateWire {
            config: self.config.snapshot().into(),
            view: self.view.clone().map(ViewWire::from),
            document: document.map(|document| (document.version, document.content)),
            evacuations: (*revision > 0).then(|| (*revision, domains.iter().cloned().collect())),
        };
        wire.to_bytes()
            .expect("numbers, strings and bytes have an encoding")
    }

    /// Decodes a snapshot; empty data denotes the initial state.
    pub(crate) fn from_bytes(bytes: &[u8], index: LogIndex) -> Result<Self, ControlError> {
        if bytes.is_empty() {
            return Ok(Self {
                index,
                ..Self::default()
            });
        }
        let wire = StateWire::from_bytes(bytes)?;
        Ok(Self {
            config: ConfigStore::restore(&wire.config)?,
            view: wire.view.map(Into::into),
            document: wire
                .document
                .map(|(version, content)| Document { version, content }),
            evacuations: wire
                .evacuations
                .map(|(revision, domains)| Evacuations {
                    revision,
                    domains: domains.into_iter().collect(),
                })
                .unwrap_or_default(),
            index,
        })
    }
}

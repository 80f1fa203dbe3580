//! Error of the crate.

use chestnutfork_schema::Violation;
use chestnutfork_types::ConfigVersion;
use thiserror::Error;

/// Error while stored or received configuration is read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("configuration cannot be read: {kind}")]
pub struct ConfigError {
    /// What is wrong.
    pub kind: ErrorKind,
}

/// Type of a [`ConfigError`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The bytes are not an encoding of the expected type.
    #[error("{0}; check that both processes run compatible versions")]
    Encoding(String),
    /// A later version of the program wrote the bytes.
    #[error("format {found} is newer than the supported format {supported}; update this process")]
    NewerFormat {
        /// Format of the bytes.
        found: u32,
        /// Latest format that this process can read.
        supported: u32,
    },
    /// Steps between the applied version and those of the update are missing.
    #[error("the update lacks the steps between versions {previous} and {next}; subscribe again")]
    Gap {
        /// Last version before the missing steps.
        previous: ConfigVersion,
        /// First version after the missing steps.
        next: ConfigVersion,
    },
    /// The document has errors, for example keys that this process does not know.
    #[error("version {version} has {} errors, the first: {}; update this process", errors.len(), first(errors))]
    Invalid {
        /// Version of the document.
        version: ConfigVersion,
        /// All errors.
        errors: Vec<Violation>,
    },
}

fn first(errors: &[Violation]) -> String {
    errors.first().map_or_else(String::new, ToString::to_string)
}

impl From<ErrorKind> for ConfigError {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

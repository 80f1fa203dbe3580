//! Updates that bring a subscriber to a later version.

use chestnutfork_types::ConfigVersion;
use serde_json::Value;

/// Change from one version to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaStep {
    /// Version that the step leads to.
    pub version: ConfigVersion,
    /// Merge patch over the version before.
    pub patch: Value,
}

/// Update of a subscriber's configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// Steps in the order of their versions, without gaps.
    Delta {
        /// The steps.
        steps: Vec<DeltaStep>,
    },
    /// The whole document.
    Snapshot {
        /// Version of the document.
        version: ConfigVersion,
        /// The document.
        document: Value,
    },
}

impl Update {
    /// Returns the version that the update leads to.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::Update;
    ///
    /// let update = Update::Snapshot { version: 7, document: serde_json::json!({}) };
    /// assert_eq!(update.version(), 7);
    /// ```
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        match self {
            Self::Delta { steps } => steps.last().map_or(0, |step| step.version),
            Self::Snapshot { version, .. } => *version,
        }
    }
}

//! Error of the crate.

use std::io;

use chestnutfork_config::ConfigError;
use chestnutfork_raft::{ConfigError as TimingError, DurableStateError};
use chestnutfork_storage::StorageError;
use chestnutfork_wire::CodecError;
use thiserror::Error;

/// Failure to start or run a control process.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The stored log contradicts itself.
    #[error(transparent)]
    Durable(#[from] DurableStateError),
    /// The timing of the replicated log is not usable.
    #[error(transparent)]
    Timing(#[from] TimingError),
    /// A stored record is of another version.
    #[error("a stored record cannot be read: {0}; start the version that wrote the data folder")]
    Record(#[from] CodecError),
    /// The stored configuration is of another version.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address cannot be bound.
    #[error("cannot listen on `{address}`: {source}; correct the address or stop the process that uses it")]
    Listen {
        /// Address from the settings.
        address: String,
        /// What the system reported.
        source: io::Error,
    },
    /// The actor did not start.
    #[error("control's actor did not start: {reason}; report this as a bug")]
    Actor {
        /// What the runtime reported.
        reason: String,
    },
}

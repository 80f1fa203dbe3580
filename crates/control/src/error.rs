//! Errors of a control process.

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
    /// The stored log is inconsistent.
    #[error(transparent)]
    Durable(#[from] DurableStateError),
    /// The timing parameters of the replicated log are invalid.
    #[error(transparent)]
    Timing(#[from] TimingError),
    /// A stored record was written by an incompatible version.
    #[error("cannot decode a stored record: {0}; start the version that wrote the data folder")]
    Record(#[from] CodecError),
    /// The stored configuration was written by an incompatible version.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address cannot be bound.
    #[error("cannot listen on `{address}`: {source}; correct the address or stop the process that uses it")]
    Listen {
        /// Address from the settings.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The actor did not start.
    #[error("the actor of control did not start: {reason}; report this as a bug")]
    Actor {
        /// Error of the actor runtime.
        reason: String,
    },
}

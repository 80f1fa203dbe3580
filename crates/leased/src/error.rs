//! Errors on the start of a role.

use thiserror::Error;

/// Error on the start of a role.
#[derive(Debug, Error)]
pub enum LeasedError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}; free the address or change it in the settings")]
    Listen {
        /// Address from the configuration.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An actor could not be spawned.
    #[error("cannot start the actor: {reason}; report this as a bug")]
    Actor {
        /// Error message of the actor library.
        reason: String,
    },
}

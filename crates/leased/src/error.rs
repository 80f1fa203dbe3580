//! Errors while a role starts.

use thiserror::Error;

/// Error while a role starts.
#[derive(Debug, Error)]
pub enum LeasedError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}; free the address or change it in the settings")]
    Listen {
        /// The address.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An actor did not start.
    #[error("cannot start the actor: {reason}; report this as a bug")]
    Actor {
        /// Reason given by the actor library.
        reason: String,
    },
}

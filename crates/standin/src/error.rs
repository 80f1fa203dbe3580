//! Errors of the simulated counterparts.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Failure of a simulated target or platform.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The listening address could not be bound.
    #[error("cannot listen on {address}: {source}; choose a free port or use port 0")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The simulated process has stopped and answers no messages.
    #[error("the simulated process has stopped; start a new one")]
    Stopped,
}

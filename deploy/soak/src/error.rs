//! Errors of the soak itself; broken promises are violations, not errors.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Error of the soak itself.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The binary cannot be started.
    #[error("cannot start {}: {source}; build it first or name it with --binary", path.display())]
    Binary {
        /// The binary.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A loopback address cannot be used.
    #[error("cannot listen on {address}: {source}; free the address or choose another --network")]
    Listen {
        /// The address.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}; free space or choose another folder", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The system did not become ready before the first fault.
    #[error("the system was not ready after {0} s; read the logs of its processes")]
    NotReady(u64),
}

//! Error types of the crate.

use std::net::SocketAddr;

use thiserror::Error;

/// Error of an operator command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind}")]
pub struct OperatorError {
    /// Type of the error, with details.
    pub kind: ErrorKind,
}

/// Type of an [`OperatorError`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The patch file cannot be read or is not a valid patch.
    #[error("{file}: {problem}")]
    File {
        /// Path of the file.
        file: String,
        /// Problem and remedy.
        problem: String,
    },
    /// A command-line option is invalid.
    #[error("--{option}: {problem}")]
    Option {
        /// Name of the option.
        option: String,
        /// Problem and remedy.
        problem: String,
    },
    /// The control process refused the request without applying any change.
    #[error("control refused the request ({status} {code}): {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable error code.
        code: String,
        /// Cause and remedy.
        message: String,
    },
    /// No control process served the request.
    #[error(
        "no control process served the request; check that a majority of them is running ({})",
        format_attempts(attempts)
    )]
    NotServed {
        /// Addresses that were tried, each with the cause of its last failure.
        attempts: Vec<(SocketAddr, String)>,
    },
    /// The request was sent, but no response arrived, so the change may have been applied.
    #[error(
        "the outcome is unknown; repeat the command with {remedy} to determine it ({})",
        format_attempts(attempts)
    )]
    OutcomeUnknown {
        /// Options that make repeating the command safe.
        remedy: String,
        /// Addresses that were tried, each with the cause of its last failure.
        attempts: Vec<(SocketAddr, String)>,
    },
}

fn format_attempts(attempts: &[(SocketAddr, String)]) -> String {
    let causes: Vec<String> = attempts
        .iter()
        .map(|(address, problem)| format!("{address}: {problem}"))
        .collect();
    causes.join("; ")
}

impl From<ErrorKind> for OperatorError {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

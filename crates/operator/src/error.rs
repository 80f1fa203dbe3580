//! Error of the crate.

use std::net::SocketAddr;

use thiserror::Error;

/// Error of an operator command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind}")]
pub struct OperatorError {
    /// What went wrong.
    pub kind: ErrorKind,
}

/// Type of an [`OperatorError`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The file cannot be read or is no patch.
    #[error("{file}: {problem}")]
    File {
        /// Path of the file.
        file: String,
        /// What is wrong and what to do.
        problem: String,
    },
    /// An option is not usable.
    #[error("--{option}: {problem}")]
    Option {
        /// Name of the option.
        option: String,
        /// What is wrong and what to do.
        problem: String,
    },
    /// Control refused the request, so it changed nothing.
    #[error("control refused the request ({status} {code}): {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code.
        code: String,
        /// Cause and remedy.
        message: String,
    },
    /// No control process served the request.
    #[error(
        "no control process served the request; check that a majority runs ({})",
        format_attempts(attempts)
    )]
    NotServed {
        /// Addresses that were tried, each with the cause of its last failure.
        attempts: Vec<(SocketAddr, String)>,
    },
    /// The request was sent, but no answer arrived, so the change may have been made.
    #[error(
        "the outcome is unknown; repeat the command with {remedy} to learn it ({})",
        format_attempts(attempts)
    )]
    OutcomeUnknown {
        /// Options that make the repeat safe.
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

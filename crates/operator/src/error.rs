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
        attempts(tried)
    )]
    NotServed {
        /// Addresses that were tried, with what happened there last.
        tried: Vec<(SocketAddr, String)>,
    },
    /// The request was sent, but no answer arrived, so the change may have been made.
    #[error(
        "the outcome is unknown; repeat the command with {remedy} to learn it ({})",
        attempts(tried)
    )]
    Unknown {
        /// Options that make the repeat safe.
        remedy: String,
        /// Addresses that were tried, with what happened there last.
        tried: Vec<(SocketAddr, String)>,
    },
}

fn attempts(tried: &[(SocketAddr, String)]) -> String {
    let attempts: Vec<String> = tried
        .iter()
        .map(|(address, problem)| format!("{address}: {problem}"))
        .collect();
    attempts.join("; ")
}

impl From<ErrorKind> for OperatorError {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

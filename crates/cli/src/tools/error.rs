//! Errors of the tools.

use std::io;

use chestnutfork_events::InitError;
use chestnutfork_load::LoadError;
use chestnutfork_local::LocalError;
use chestnutfork_standin::StandinError;
use thiserror::Error;

/// Failure of a tool.
#[derive(Debug, Error)]
pub(crate) enum ToolError {
    /// A file cannot be read or written.
    #[error("cannot {action} {path}: {source}; check the path and its permissions")]
    File {
        /// Attempted operation.
        action: &'static str,
        /// Path as given.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// The report cannot be printed.
    #[error("cannot print the report: {source}; check where standard output goes")]
    Print {
        /// Cause.
        source: io::Error,
    },
    /// The load generator failed.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The log output cannot be set up.
    #[error(transparent)]
    Log(#[from] InitError),
    /// A local cluster failed.
    #[error(transparent)]
    Local(#[from] LocalError),
    /// A simulated target or platform failed.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A document cannot be read or encoded as JSON.
    #[error("{document}: {source}; correct the document")]
    Json {
        /// Path or name of the document.
        document: String,
        /// Cause.
        source: serde_json::Error,
    },
}

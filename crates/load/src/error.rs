//! Errors of the load generator.

use thiserror::Error;

/// Reason why a run could not be performed or evaluated.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The scenario cannot be parsed.
    #[error("scenario: {reason}; see examples/scenarios/ for valid files")]
    InvalidScenario {
        /// Error of the parser, with key and line.
        reason: String,
    },
    /// The value of a key of the scenario is invalid.
    #[error("scenario key `{key}`: {problem}; {remedy}")]
    InvalidValue {
        /// Path of the key.
        key: &'static str,
        /// Why the value is invalid.
        problem: String,
        /// How to correct the value.
        remedy: &'static str,
    },
    /// Neither the command line nor the scenario names an entry.
    #[error("no entry address is given; add `--entry` or the key `entries`")]
    NoEntries,
    /// The journal of a target cannot be read, so the run cannot be evaluated.
    #[error(
        "cannot read the journal of target {target}: {reason}; check that the target runs and is reachable"
    )]
    JournalUnavailable {
        /// Address or name of the target.
        target: String,
        /// Cause.
        reason: String,
    },
    /// A fault of the scenario could not be applied.
    #[error("cannot apply a fault to target {target}: {reason}; check that the target runs and is reachable")]
    FaultNotApplied {
        /// Address or name of the target.
        target: String,
        /// Cause.
        reason: String,
    },
    /// An earlier report cannot be parsed.
    #[error("report: {reason}; give a file written by `--report json`")]
    InvalidReport {
        /// Error of the parser.
        reason: String,
    },
    /// The plots cannot be drawn.
    #[error("plot: {reason}; report this as a bug")]
    Plot {
        /// Error of the plotting library.
        reason: String,
    },
}

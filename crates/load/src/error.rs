//! Errors of the load generator.

use thiserror::Error;

/// Reason why a run could not be made or judged.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The scenario cannot be read.
    #[error("scenario: {reason}; see examples/scenarios/ for valid files")]
    InvalidScenario {
        /// What the parser reported, with key and line.
        reason: String,
    },
    /// A key of the scenario has an unusable value.
    #[error("scenario key `{key}`: {problem}; {remedy}")]
    InvalidValue {
        /// Path of the key.
        key: &'static str,
        /// What is wrong with its value.
        problem: String,
        /// How to repair it.
        remedy: &'static str,
    },
    /// There is nothing to send to.
    #[error("no entry address is given; add `--entry` or the key `entries`")]
    NoEntries,
    /// A target gave no journal, so the run cannot be judged.
    #[error("target {target} gave no journal: {reason}; check that it runs and is reachable")]
    JournalUnavailable {
        /// Address or name of the target.
        target: String,
        /// Cause.
        reason: String,
    },
    /// A fault of the scenario could not be applied.
    #[error("target {target} did not take a fault: {reason}; check that it runs and is reachable")]
    FaultNotApplied {
        /// Address or name of the target.
        target: String,
        /// Cause.
        reason: String,
    },
    /// An earlier report cannot be read.
    #[error("report: {reason}; give a file written by `--report json`")]
    InvalidReport {
        /// What the parser reported.
        reason: String,
    },
    /// The plot could not be drawn.
    #[error("plot: {reason}; report this as a bug")]
    Plot {
        /// What the plotter reported.
        reason: String,
    },
}

//! Error of the crate.

use std::fmt;

use chestnutfork_schema::Violation;
use thiserror::Error;

/// Settings that cannot be used, with all problems.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// File of the settings, or where they were built.
    pub file: String,
    /// All problems, each with its key path and remedy.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, violation) in self.violations.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {violation}", self.file)?;
        }
        Ok(())
    }
}

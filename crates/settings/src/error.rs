//! Error type of the crate.

use std::fmt;

use chestnutfork_schema::Violation;
use thiserror::Error;

/// Error that lists all problems of invalid settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// Path of the settings file, or a fixed text for settings built in code.
    pub file: String,
    /// All violations, each with its key path and remedy.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, violation) in self.violations.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {violation}", self.file)?;
        }
        Ok(())
    }
}

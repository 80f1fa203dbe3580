//! Process roles and their settings.

use std::path::Path;

use crate::error::SettingsError;
use crate::roles::{AgentSettings, ControlSettings, EntrySettings, TargetSettings};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts jobs and dispatches tasks.
    Entry,
    /// Runs on the same machine as a target and forwards tasks to it.
    Agent,
    /// Replicates the configuration.
    Control,
    /// Simulated target for tests and experiments.
    Target,
}

impl Role {
    /// All roles, in their documented order.
    pub const ALL: [Self; 4] = [Self::Control, Self::Entry, Self::Agent, Self::Target];

    /// Returns the name used on the command line.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_settings::Role::Entry.as_str(), "entry");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Control => "control",
            Self::Target => "target",
        }
    }

    /// Returns the role with the given command-line name.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_settings::Role;
    ///
    /// assert_eq!(Role::from_name("agent"), Some(Role::Agent));
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|role| role.as_str() == name)
    }
}

/// Settings of a process of any role.
#[derive(Clone, Debug, PartialEq)]
pub enum Settings {
    /// Settings of an entry.
    Entry(EntrySettings),
    /// Settings of an agent.
    Agent(AgentSettings),
    /// Settings of a control process.
    Control(ControlSettings),
    /// Settings of a simulated target.
    Target(TargetSettings),
}

impl Settings {
    /// Reads and validates the settings file of a role.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file at once.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::path::Path;
    /// use chestnutfork_settings::{Role, Settings};
    ///
    /// let error = Settings::load(Role::Entry, Path::new("absent.yaml")).unwrap_err();
    /// assert!(error.to_string().starts_with("absent.yaml: "));
    /// ```
    pub fn load(role: Role, path: &Path) -> Result<Self, SettingsError> {
        Ok(match role {
            Role::Entry => Self::Entry(EntrySettings::load(path)?),
            Role::Agent => Self::Agent(AgentSettings::load(path)?),
            Role::Control => Self::Control(ControlSettings::load(path)?),
            Role::Target => Self::Target(TargetSettings::load(path)?),
        })
    }
}

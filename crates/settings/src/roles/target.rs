//! Settings of a simulated target.

use std::net::SocketAddr;
use std::path::Path;

use chestnutfork_schema::Violation;
use chestnutfork_types::PoolName;
use serde::Deserialize;

use crate::builder::TargetBuilder;
use crate::error::SettingsError;
use crate::process::ProcessSettings;
use crate::read::{RoleModel, load};
use crate::role::Role;
use crate::roles::check_advertised;
use crate::secret::Secret;

/// Settings of a simulated target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSettings {
    /// Settings common to all roles.
    pub process: ProcessSettings,
    /// Listen address for tasks from the agent.
    pub listen: SocketAddr,
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Token that the target presents to the agent.
    pub target_token: Secret,
    /// Pool that the target belongs to.
    pub pool: PoolName,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Execution speed relative to declared run times.
    pub speed: f64,
}

impl TargetSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file at once.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_settings::TargetSettings::load("absent.yaml".as_ref()).is_err());
    /// ```
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load::<TargetModel>(path)
    }

    /// Returns a builder; built settings have the same defaults and validation as a file.
    ///
    /// # Examples
    ///
    /// ```
    /// let error = chestnutfork_settings::TargetSettings::builder("target-1").build().unwrap_err();
    /// assert!(error.violations.iter().any(|violation| violation.path == "pool"));
    /// ```
    #[must_use]
    pub fn builder(name: &str) -> TargetBuilder {
        TargetBuilder::new(name)
    }
}

#[derive(Deserialize)]
pub(crate) struct TargetModel {
    listen: SocketAddr,
    agent: SocketAddr,
    target_token: String,
    pool: String,
    slots: u32,
    speed: f64,
}

impl RoleModel for TargetModel {
    type Settings = TargetSettings;

    const ROLE: Role = Role::Target;

    fn inconsistencies(&self, _process: &ProcessSettings) -> Vec<Violation> {
        check_advertised("listen", self.listen, None)
            .into_iter()
            .collect()
    }

    fn into_settings(self, process: ProcessSettings, _base_dir: &Path) -> TargetSettings {
        TargetSettings {
            process,
            listen: self.listen,
            agent: self.agent,
            target_token: Secret::new(self.target_token),
            pool: self.pool,
            slots: self.slots,
            speed: self.speed,
        }
    }
}

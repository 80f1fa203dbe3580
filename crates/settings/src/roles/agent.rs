//! Settings of an agent.

use std::net::SocketAddr;
use std::path::Path;

use chestnutfork_schema::Violation;
use chestnutfork_types::FailureDomain;
use serde::Deserialize;

use crate::builder::AgentBuilder;
use crate::error::SettingsError;
use crate::process::{LimitModel, LimitSettings, ProcessSettings};
use crate::read::{RoleModel, load};
use crate::role::Role;
use crate::secret::Secret;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings common to all roles.
    pub process: ProcessSettings,
    /// Failure domain of the worker.
    pub failure_domain: FailureDomain,
    /// Loopback listen address for announcements from the target.
    pub listen: SocketAddr,
    /// Addresses of control processes.
    pub control: Vec<SocketAddr>,
    /// Secret shared by all processes.
    pub cluster_secret: Secret,
    /// Token that the target presents to the agent.
    pub target_token: Secret,
    /// Limits of the process.
    pub limits: LimitSettings,
}

impl AgentSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file at once.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_settings::AgentSettings::load("absent.yaml".as_ref()).is_err());
    /// ```
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load::<AgentModel>(path)
    }

    /// Returns a builder; built settings have the same defaults and validation as a file.
    ///
    /// # Examples
    ///
    /// ```
    /// let error = chestnutfork_settings::AgentSettings::builder("agent-1", "fd-a").build().unwrap_err();
    /// assert!(error.violations.iter().any(|violation| violation.path == "target_token"));
    /// ```
    #[must_use]
    pub fn builder(name: &str, failure_domain: &str) -> AgentBuilder {
        AgentBuilder::new(name, failure_domain)
    }
}

#[derive(Deserialize)]
pub(crate) struct AgentModel {
    failure_domain: String,
    listen: SocketAddr,
    control: Vec<SocketAddr>,
    cluster_secret: String,
    target_token: String,
    limits: LimitModel,
}

impl RoleModel for AgentModel {
    type Settings = AgentSettings;

    const ROLE: Role = Role::Agent;

    fn inconsistencies(&self, _process: &ProcessSettings) -> Vec<Violation> {
        if self.listen.ip().is_loopback() {
            return Vec::new();
        }
        let message = format!(
            "{} is reachable from other machines; set it to a loopback address",
            self.listen
        );
        vec![Violation::inconsistent("listen", message)]
    }

    fn into_settings(self, process: ProcessSettings, _base_dir: &Path) -> AgentSettings {
        AgentSettings {
            process,
            failure_domain: self.failure_domain,
            listen: self.listen,
            control: self.control,
            limits: self.limits.into(),
            cluster_secret: Secret::new(self.cluster_secret),
            target_token: Secret::new(self.target_token),
        }
    }
}

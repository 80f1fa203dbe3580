//! Settings of an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use chestnutfork_schema::Violation;
use chestnutfork_types::FailureDomain;
use serde::Deserialize;

use crate::builder::EntryBuilder;
use crate::error::SettingsError;
use crate::process::{LimitModel, LimitSettings, ProcessSettings};
use crate::read::{RoleModel, load};
use crate::role::Role;
use crate::roles::check_advertised;
use crate::secret::Secret;

/// Limits of the job register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisterSettings {
    /// Maximum number of job records.
    pub max_records: usize,
    /// Retention time of job ids.
    pub retention: Duration,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Settings common to all roles.
    pub process: ProcessSettings,
    /// Failure domain of the machine.
    pub failure_domain: FailureDomain,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for links from other processes.
    pub peer_listen: SocketAddr,
    /// Address at which other processes reach this one.
    pub advertise_peers: SocketAddr,
    /// Addresses of control processes.
    pub control: Vec<SocketAddr>,
    /// Secret shared by all processes.
    pub cluster_secret: Secret,
    /// Limits of the job register.
    pub register: RegisterSettings,
    /// Limits of the process.
    pub limits: LimitSettings,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file at once.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_settings::EntrySettings::load("absent.yaml".as_ref()).is_err());
    /// ```
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load::<EntryModel>(path)
    }

    /// Returns a builder; built settings have the same defaults and validation as a file.
    ///
    /// # Examples
    ///
    /// ```
    /// let error = chestnutfork_settings::EntrySettings::builder("entry-1", "fd-a").build().unwrap_err();
    /// assert!(error.violations.iter().any(|violation| violation.path == "listen"));
    /// ```
    #[must_use]
    pub fn builder(name: &str, failure_domain: &str) -> EntryBuilder {
        EntryBuilder::new(name, failure_domain)
    }
}

#[derive(Deserialize)]
pub(crate) struct EntryModel {
    failure_domain: String,
    listen: SocketAddr,
    peer_listen: SocketAddr,
    advertise: AdvertiseModel,
    control: Vec<SocketAddr>,
    cluster_secret: String,
    register: RegisterModel,
    limits: LimitModel,
}

#[derive(Deserialize)]
struct AdvertiseModel {
    peers: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct RegisterModel {
    max_records: usize,
    retention_s: u64,
}

impl RoleModel for EntryModel {
    type Settings = EntrySettings;

    const ROLE: Role = Role::Entry;

    fn inconsistencies(&self, _process: &ProcessSettings) -> Vec<Violation> {
        let peers = check_advertised("advertise.peers", self.peer_listen, self.advertise.peers);
        peers.into_iter().collect()
    }

    fn into_settings(self, process: ProcessSettings, _base_dir: &Path) -> EntrySettings {
        EntrySettings {
            process,
            failure_domain: self.failure_domain,
            listen: self.listen,
            peer_listen: self.peer_listen,
            advertise_peers: self.advertise.peers.unwrap_or(self.peer_listen),
            control: self.control,
            limits: self.limits.into(),
            cluster_secret: Secret::new(self.cluster_secret),
            register: RegisterSettings {
                max_records: self.register.max_records,
                retention: Duration::from_secs(self.register.retention_s),
            },
        }
    }
}

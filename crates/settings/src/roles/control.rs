//! Settings of a control process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use chestnutfork_schema::Violation;
use chestnutfork_types::{FailureDomain, NodeName, OperatorName};
use serde::Deserialize;

use crate::builder::ControlBuilder;
use crate::error::SettingsError;
use crate::process::{LimitModel, LimitSettings, ProcessSettings};
use crate::read::{RoleModel, load};
use crate::role::Role;
use crate::roles::check_advertised;
use crate::secret::Secret;

/// Initial member of the replica set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMember {
    /// Name of the process.
    pub name: NodeName,
    /// Address at which its peers reach it.
    pub address: SocketAddr,
}

/// Operator that may change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: OperatorName,
    /// SHA-256 of the bearer token in hexadecimal.
    pub token_sha256: Secret,
}

/// Settings of a control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Settings common to all roles.
    pub process: ProcessSettings,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Listen address for operators.
    pub listen: SocketAddr,
    /// Listen address for links from other processes.
    pub peer_listen: SocketAddr,
    /// Address at which operators reach this process.
    pub advertise_operators: SocketAddr,
    /// Address at which other processes reach this one.
    pub advertise_peers: SocketAddr,
    /// Secret shared by all processes.
    pub cluster_secret: Secret,
    /// Directory of the durable state.
    pub data_dir: PathBuf,
    /// Initial members of the replica set, sorted by name.
    pub initial_members: Vec<InitialMember>,
    /// Operators, sorted by name.
    pub operators: Vec<Operator>,
    /// Limits of the process.
    pub limits: LimitSettings,
}

impl ControlSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file at once.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_settings::ControlSettings::load("absent.yaml".as_ref()).is_err());
    /// ```
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load::<ControlModel>(path)
    }

    /// Returns a builder; built settings have the same defaults and validation as a file.
    ///
    /// # Examples
    ///
    /// ```
    /// let error = chestnutfork_settings::ControlSettings::builder("control-1", "fd-a").build().unwrap_err();
    /// assert!(error.violations.iter().any(|violation| violation.path == "data_dir"));
    /// ```
    #[must_use]
    pub fn builder(name: &str, failure_domain: &str) -> ControlBuilder {
        ControlBuilder::new(name, failure_domain)
    }
}

#[derive(Deserialize)]
pub(crate) struct ControlModel {
    failure_domain: String,
    listen: SocketAddr,
    peer_listen: SocketAddr,
    advertise: AdvertiseModel,
    cluster_secret: String,
    data_dir: PathBuf,
    initial_members: BTreeMap<String, SocketAddr>,
    operators: BTreeMap<String, OperatorModel>,
    limits: LimitModel,
}

#[derive(Deserialize)]
struct AdvertiseModel {
    peers: Option<SocketAddr>,
    operators: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct OperatorModel {
    token_sha256: String,
}

impl RoleModel for ControlModel {
    type Settings = ControlSettings;

    const ROLE: Role = Role::Control;

    fn inconsistencies(&self, process: &ProcessSettings) -> Vec<Violation> {
        let mut violations = Vec::new();
        violations.extend(check_advertised(
            "advertise.peers",
            self.peer_listen,
            self.advertise.peers,
        ));
        violations.extend(check_advertised(
            "advertise.operators",
            self.listen,
            self.advertise.operators,
        ));
        if !self.initial_members.contains_key(&process.name) {
            let message = format!("does not contain this process; add {}", process.name);
            violations.push(Violation::inconsistent("initial_members", message));
        }
        violations.extend(self.duplicate_addresses());
        violations.extend(self.duplicate_tokens());
        violations
    }

    fn into_settings(self, process: ProcessSettings, base_dir: &Path) -> ControlSettings {
        let members = self.initial_members.into_iter();
        let operators = self.operators.into_iter();
        ControlSettings {
            process,
            failure_domain: self.failure_domain,
            listen: self.listen,
            peer_listen: self.peer_listen,
            advertise_operators: self.advertise.operators.unwrap_or(self.listen),
            advertise_peers: self.advertise.peers.unwrap_or(self.peer_listen),
            limits: self.limits.into(),
            cluster_secret: Secret::new(self.cluster_secret),
            data_dir: base_dir.join(self.data_dir),
            initial_members: members
                .map(|(name, address)| InitialMember { name, address })
                .collect(),
            operators: operators
                .map(|(name, operator)| Operator {
                    name,
                    token_sha256: Secret::new(operator.token_sha256),
                })
                .collect(),
        }
    }
}

impl ControlModel {
    fn duplicate_addresses(&self) -> Vec<Violation> {
        let mut seen = BTreeSet::new();
        let duplicates = self
            .initial_members
            .iter()
            .filter(|(_, address)| !seen.insert(**address));
        duplicates
            .map(|(name, address)| {
                let message =
                    format!("{address} is also the address of another member; give each member its own");
                Violation::inconsistent(format!("initial_members.{name}"), message)
            })
            .collect()
    }

    fn duplicate_tokens(&self) -> Vec<Violation> {
        let mut seen = BTreeSet::new();
        let token = |operator: &OperatorModel| operator.token_sha256.to_ascii_lowercase();
        let duplicates = self
            .operators
            .iter()
            .filter(|(_, operator)| !seen.insert(token(operator)));
        duplicates
            .map(|(name, _)| {
                let path = format!("operators.{name}.token_sha256");
                Violation::inconsistent(
                    path,
                    "is also the token of another operator; give each operator its own",
                )
            })
            .collect()
    }
}

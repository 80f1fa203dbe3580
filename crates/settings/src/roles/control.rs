//! Settings of a control process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use chestnutfork_schema::Violation;
use chestnutfork_types::{FailureDomain, NodeName, OperatorName};
use serde::Deserialize;

use crate::builder::ControlBuilder;
use crate::error::SettingsError;
use crate::process::ProcessSettings;
use crate::read::{RoleModel, load};
use crate::role::Role;
use crate::roles::undialable;
use crate::secret::Secret;

/// Control process that forms the replica set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMember {
    /// Name of the process.
    pub name: NodeName,
    /// Address for its peers.
    pub address: SocketAddr,
}

/// Operator who may change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: OperatorName,
    /// SHA-256 of the bearer token as hexadecimal digits.
    pub token_sha256: Secret,
}

/// Settings of a control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Settings that every role has.
    pub process: ProcessSettings,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address for operators.
    pub listen: SocketAddr,
    /// Address for links of other processes.
    pub peer_listen: SocketAddr,
    /// Address under which operators reach this process.
    pub advertise_operators: SocketAddr,
    /// Address under which other processes reach this one.
    pub advertise_peers: SocketAddr,
    /// Secret shared by all processes.
    pub cluster_secret: Secret,
    /// Folder for the durable state.
    pub data_dir: PathBuf,
    /// Control processes that form the replica set, in the order of their names.
    pub initial_members: Vec<InitialMember>,
    /// Operators in the order of their names.
    pub operators: Vec<Operator>,
}

impl ControlSettings {
    /// Reads and checks a settings file.
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

    /// Starts settings in code; they have the same defaults and checks as a file.
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

    fn contradictions(&self, process: &ProcessSettings) -> Vec<Violation> {
        let mut found = Vec::new();
        found.extend(undialable(
            "advertise.peers",
            self.peer_listen,
            self.advertise.peers,
        ));
        found.extend(undialable(
            "advertise.operators",
            self.listen,
            self.advertise.operators,
        ));
        if !self.initial_members.contains_key(&process.name) {
            let message = format!("does not name this process; add {}", process.name);
            found.push(Violation::inconsistent("initial_members", message));
        }
        found.extend(self.shared_addresses());
        found.extend(self.shared_tokens());
        found
    }

    fn settings(self, process: ProcessSettings, folder: &Path) -> ControlSettings {
        let members = self.initial_members.into_iter();
        let operators = self.operators.into_iter();
        ControlSettings {
            process,
            failure_domain: self.failure_domain,
            listen: self.listen,
            peer_listen: self.peer_listen,
            advertise_operators: self.advertise.operators.unwrap_or(self.listen),
            advertise_peers: self.advertise.peers.unwrap_or(self.peer_listen),
            cluster_secret: Secret::new(self.cluster_secret),
            data_dir: folder.join(self.data_dir),
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
    fn shared_addresses(&self) -> Vec<Violation> {
        let mut seen = BTreeSet::new();
        let shared = self
            .initial_members
            .iter()
            .filter(|(_, address)| !seen.insert(**address));
        shared
            .map(|(name, address)| {
                let message = format!("{address} is also the address of another member; give each its own");
                Violation::inconsistent(format!("initial_members.{name}"), message)
            })
            .collect()
    }

    fn shared_tokens(&self) -> Vec<Violation> {
        let mut seen = BTreeSet::new();
        let token = |operator: &OperatorModel| operator.token_sha256.to_ascii_lowercase();
        let shared = self
            .operators
            .iter()
            .filter(|(_, operator)| !seen.insert(token(operator)));
        shared
            .map(|(name, _)| {
                let path = format!("operators.{name}.token_sha256");
                Violation::inconsistent(path, "is also the token of another operator; give each their own")
            })
            .collect()
    }
}

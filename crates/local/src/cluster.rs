//! Starts and stops a complete cluster inside the current process.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_agent::{AgentConfig, AgentError, RunningAgent};
use chestnutfork_config::TokenHash;
use chestnutfork_control::{ControlConfig, ControlError, Member, Operator, RunningControl};
use chestnutfork_entry::{EntryConfig, EntryError, RunningEntry};
use chestnutfork_net::ClusterSecret;
use chestnutfork_operator::body::{PatchBody, VerdictBody};
use chestnutfork_operator::{OperatorClient, OperatorError};
use chestnutfork_standin::{Behaviour, StandinError, Target, TargetHandle};
use chestnutfork_storage::{DiskFolder, StorageError};
use serde_json::Value;
use tempfile::TempDir;
use thiserror::Error;
use tokio::net::TcpListener;
use uuid::Uuid;

/// Time that each role has to finish its work on shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(10);
/// Time limit for all entries to see all targets after the start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Token of the operator of a local cluster.
const OPERATOR_TOKEN: &str = "local-operator-token";
/// Token that simulated targets present to their agents.
const TARGET_TOKEN: &str = "local-target-token";

/// Failure to start or configure a local cluster.
#[derive(Debug, Error)]
pub enum LocalError {
    /// An entry did not start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// An agent did not start.
    #[error(transparent)]
    Agent(#[from] AgentError),
    /// A simulated target did not start.
    #[error(transparent)]
    Target(#[from] StandinError),
    /// A control process did not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The data folder of a control process cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The operator interface of control does not answer.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A listening socket or the temporary folder cannot be created.
    #[error(
        "cannot prepare the local cluster: {0}; check the limits on open files and the space for temporary files"
    )]
    Prepare(#[from] std::io::Error),
    /// A configuration patch was not accepted.
    #[error("the configuration was not accepted: {verdict:?}")]
    Refused {
        /// Verdict of control.
        verdict: Box<VerdictBody>,
    },
    /// The entries did not see all targets in time.
    #[error("targets did not become available at all entries within {} s; check the machine's load", READY_TIMEOUT.as_secs())]
    NotReady,
}

/// Slots and speed of one simulated target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSpec {
    /// Tasks that run at once.
    pub slots: u32,
    /// Divisor of the run time in the payload; 2 is twice as fast.
    pub speed: f64,
    /// Largest fraction by which a run time is lengthened.
    pub jitter: f64,
}

/// Configuration of a local cluster.
#[derive(Clone, Debug)]
pub struct LocalConfig {
    controls: u32,
    entries: u32,
    targets: Vec<TargetSpec>,
    document: Value,
    seed: u64,
}

/// Builder of [`LocalConfig`].
#[derive(Clone, Debug)]
pub struct LocalConfigBuilder {
    cfg: LocalConfig,
}

impl LocalConfig {
    /// Returns a builder for a cluster that starts with the given configuration document.
    ///
    /// # Examples
    ///
    /// ```
    /// let cfg = chestnutfork_local::LocalConfig::builder(serde_json::json!({})).entries(2).build();
    /// assert!(format!("{cfg:?}").contains("entries: 2"));
    /// ```
    #[must_use]
    pub fn builder(document: Value) -> LocalConfigBuilder {
        let cfg = Self {
            controls: 3,
            entries: 2,
            targets: Vec::new(),
            document,
            seed: 1,
        };
        LocalConfigBuilder { cfg }
    }
}

impl LocalConfigBuilder {
    /// Sets the number of control processes.
    #[must_use]
    pub fn controls(mut self, controls: u32) -> Self {
        self.cfg.controls = controls;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, entries: u32) -> Self {
        self.cfg.entries = entries;
        self
    }

    /// Sets the targets; a separate agent is started for each.
    #[must_use]
    pub fn targets(mut self, targets: Vec<TargetSpec>) -> Self {
        self.cfg.targets = targets;
        self
    }

    /// Sets the seed of the simulated targets.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.cfg.seed = seed;
        self
    }

    /// Returns the finished configuration.
    #[must_use]
    pub fn build(self) -> LocalConfig {
        self.cfg
    }
}

/// Running cluster.
#[derive(Debug)]
pub struct LocalCluster {
    controls: Vec<RunningControl>,
    entries: Vec<RunningEntry>,
    agents: Vec<RunningAgent>,
    targets: Vec<TargetHandle>,
    /// Data folders of the control processes, removed on drop.
    _data: TempDir,
}

impl LocalCluster {
    /// Starts a cluster, applies the configuration document, and waits until every entry can use every target.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot start, the document is rejected, or the cluster is not ready in time.
    pub async fn start(cfg: LocalConfig) -> Result<Self, LocalError> {
        let secret = ClusterSecret::new("local-cluster-secret");
        let data = TempDir::new()?;
        let controls = start_controls(cfg.controls, &secret, &data).await?;
        let addresses: Vec<_> = controls
            .iter()
            .map(|control| control.link_address().to_owned())
            .collect();
        let mut entries = Vec::new();
        for index in 0..cfg.entries {
            entries.push(start_entry(index, &secret, addresses.clone()).await?);
        }
        let mut agents = Vec::new();
        let mut targets = Vec::new();
        for (index, spec) in cfg.targets.iter().enumerate() {
            let agent = start_agent(index, &secret, addresses.clone()).await?;
            targets.push(start_target(index, *spec, cfg.seed, agent.address()).await?);
            agents.push(agent);
        }
        let cluster = Self {
            controls,
            entries,
            agents,
            targets,
            _data: data,
        };
        cluster.apply(cfg.document, "initial configuration").await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Returns the addresses at which the entries serve callers.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(RunningEntry::address).collect()
    }

    /// Returns the addresses at which control serves operators.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(RunningControl::address).collect()
    }

    /// Returns the simulated targets.
    #[must_use]
    pub fn targets(&self) -> &Vec<TargetHandle> {
        &self.targets
    }

    /// Returns the operator token, which is the same for every local cluster.
    #[must_use]
    pub fn operator_token() -> &'static str {
        OPERATOR_TOKEN
    }

    /// Applies a merge patch against the current version.
    ///
    /// # Errors
    ///
    /// Returns an error if control does not answer or does not accept the patch.
    pub async fn apply(&self, body: Value, reason: &str) -> Result<(), LocalError> {
        let client = OperatorClient::builder(&self.control_addresses(), OPERATOR_TOKEN).build()?;
        let base = client.config().await?.version;
        let reason = reason.to_owned();
        let patch = PatchBody {
            base,
            patch_id: Uuid::new_v4(),
            reason,
            body,
            dry_run: false,
        };
        match client.patch(&patch).await? {
            VerdictBody::Accepted { .. } => Ok(()),
            verdict => Err(LocalError::Refused {
                verdict: Box::new(verdict),
            }),
        }
    }

    async fn wait_ready(&self) -> Result<(), LocalError> {
        let ready = async {
            for entry in &self.entries {
                while !entry.is_ready(self.targets.len()).await {
                    tokio::time::sleep(READY_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| LocalError::NotReady)
    }

    /// Stops all processes gracefully: entries first, so that requests in flight are answered.
    pub async fn shutdown(self) {
        for entry in self.entries {
            entry.shutdown(SHUTDOWN_GRACE).await;
        }
        for target in self.targets {
            // Fails only if the target has already stopped; a task that outlives the grace period ends with this process.
            let _ = target.shutdown().await;
        }
        for agent in self.agents {
            agent.shutdown(SHUTDOWN_GRACE).await;
        }
        for control in self.controls {
            control.shutdown(SHUTDOWN_GRACE).await;
        }
    }
}

async fn start_controls(
    count: u32,
    secret: &ClusterSecret,
    data: &TempDir,
) -> Result<Vec<RunningControl>, LocalError> {
    let mut members = Vec::new();
    let mut sockets = Vec::new();
    for index in 1..=count {
        let socket = TcpListener::bind("127.0.0.1:0").await?;
        members.push(Member {
            name: format!("control-{index}"),
            address: socket.local_addr()?.to_string(),
        });
        sockets.push(socket);
    }
    let operator = Operator {
        name: "local".to_owned(),
        token: TokenHash::of(OPERATOR_TOKEN),
    };
    let mut controls = Vec::new();
    for (member, socket) in members.iter().zip(sockets) {
        let cfg = ControlConfig::builder(member.name.clone(), secret.clone())
            .link_socket(socket)
            .members(members.clone())
            .operators(vec![operator.clone()])
            .build();
        let folder = DiskFolder::open(data.path().join(&member.name))?;
        controls.push(chestnutfork_control::start(cfg, folder).await?);
    }
    Ok(controls)
}

async fn start_entry(
    index: u32,
    secret: &ClusterSecret,
    controls: Vec<String>,
) -> Result<RunningEntry, LocalError> {
    let cfg = EntryConfig::builder(format!("entry-{}", index + 1), secret.clone())
        .failure_domain(failure_domain(index as usize))
        .control_addresses(controls)
        .build();
    Ok(chestnutfork_entry::start(cfg).await?)
}

async fn start_agent(
    index: usize,
    secret: &ClusterSecret,
    controls: Vec<String>,
) -> Result<RunningAgent, LocalError> {
    let cfg = AgentConfig::builder(format!("agent-{}", index + 1), secret.clone())
        .failure_domain(failure_domain(index))
        .target_token(TARGET_TOKEN)
        .control_addresses(controls)
        .build();
    Ok(chestnutfork_agent::start(cfg).await?)
}

async fn start_target(
    index: usize,
    spec: TargetSpec,
    seed: u64,
    agent: SocketAddr,
) -> Result<TargetHandle, LocalError> {
    let behaviour = Behaviour {
        speed: spec.speed,
        jitter: spec.jitter,
        ..Behaviour::default()
    };
    let target = Target::builder(format!("target-{}", index + 1))
        .slots(spec.slots)
        .behaviour(behaviour)
        .seed(seed.wrapping_add(index as u64))
        .agent(agent)
        .token(TARGET_TOKEN);
    Ok(target.start().await?)
}

/// Assigns processes to three failure domains in rotation.
fn failure_domain(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

//! Starts and stops a complete set of processes inside this one.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_agent::{AgentConfig, AgentError, RunningAgent};
use chestnutfork_config::{Document, validate};
use chestnutfork_dispatch::{PolicyTable, TeamQuota};
use chestnutfork_entry::{EntryConfig, EntryError, RunningEntry, TeamTable};
use chestnutfork_net::{ClusterSecret, Metrics};
use chestnutfork_register::View;
use chestnutfork_standin::{Behaviour, StandinError, Target, TargetHandle};
use serde_json::Value;
use thiserror::Error;

/// Time that each process gets to finish its work on shutdown.
const GRACE: Duration = Duration::from_secs(10);
/// Time for the targets to reach all entries after the start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which readiness is checked.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Token that simulated targets present to their agents.
const TARGET_TOKEN: &str = "local-target-token";

/// Failure to start a local set.
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
    /// The configuration document is not valid.
    #[error("the configuration is not valid: {0}")]
    Config(String),
    /// The targets did not reach the entries in time.
    #[error("the targets did not reach all entries within {} s; check the machine's load", READY_TIMEOUT.as_secs())]
    NotReady,
}

/// Size and speed of one simulated target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetShape {
    /// Tasks that run at once.
    pub slots: u32,
    /// Speed relative to the payload's run time.
    pub speed: f64,
    /// Relative spread of run times.
    pub jitter: f64,
}

/// Configuration of a local set.
#[derive(Clone, Debug)]
pub struct LocalConfig {
    entries: u32,
    targets: Vec<TargetShape>,
    document: Value,
    seed: u64,
}

/// Builder of [`LocalConfig`].
#[derive(Clone, Debug)]
pub struct LocalConfigBuilder {
    cfg: LocalConfig,
}

impl LocalConfig {
    /// Starts the configuration of a set with the given configuration document.
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
            entries: 2,
            targets: Vec::new(),
            document,
            seed: 1,
        };
        LocalConfigBuilder { cfg }
    }
}

impl LocalConfigBuilder {
    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, entries: u32) -> Self {
        self.cfg.entries = entries;
        self
    }

    /// Sets the targets; each gets an agent of its own.
    #[must_use]
    pub fn targets(mut self, targets: Vec<TargetShape>) -> Self {
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

/// Running set of processes.
#[derive(Debug)]
pub struct LocalSet {
    entries: Vec<RunningEntry>,
    agents: Vec<RunningAgent>,
    targets: Vec<TargetHandle>,
}

impl LocalSet {
    /// Starts a set and waits until every target has reached every entry.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot start or the set is not ready in time.
    pub async fn start(cfg: LocalConfig) -> Result<Self, LocalError> {
        let document = validate(&cfg.document).map_err(|errors| {
            LocalError::Config(
                errors
                    .iter()
                    .map(ToString::to_string)
                    .collect::<Vec<_>>()
                    .join("; "),
            )
        })?;
        let secret = ClusterSecret::new("local-cluster-secret");
        let entries = start_entries(cfg.entries, &secret).await?;
        configure(&entries, &document)?;
        let addresses: Vec<_> = entries
            .iter()
            .map(|entry| entry.link_address().to_owned())
            .collect();
        let mut agents = Vec::new();
        let mut targets = Vec::new();
        for (index, shape) in cfg.targets.iter().enumerate() {
            let agent = start_agent(index, &secret, addresses.clone()).await?;
            agent.set_config(1, true, Vec::new());
            targets.push(start_target(index, *shape, cfg.seed, agent.address()).await?);
            agents.push(agent);
        }
        let set = Self {
            entries,
            agents,
            targets,
        };
        set.wait_ready().await?;
        Ok(set)
    }

    /// Returns the addresses for callers.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(RunningEntry::address).collect()
    }

    /// Returns the simulated targets.
    #[must_use]
    pub fn targets(&self) -> &Vec<TargetHandle> {
        &self.targets
    }

    async fn wait_ready(&self) -> Result<(), LocalError> {
        let ready = async {
            for entry in &self.entries {
                while entry.linked_targets().await < self.targets.len() {
                    tokio::time::sleep(READY_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| LocalError::NotReady)
    }

    /// Stops all processes gracefully: entries first, so that no request in flight is cut off.
    pub async fn shutdown(self) {
        for entry in self.entries {
            entry.shutdown(GRACE).await;
        }
        for target in self.targets {
            // A task that outlives the grace period ends with this process.
            let _ = target.shutdown().await;
        }
        for agent in self.agents {
            agent.shutdown(GRACE).await;
        }
    }
}

async fn start_entries(count: u32, secret: &ClusterSecret) -> Result<Vec<RunningEntry>, LocalError> {
    let mut entries = Vec::new();
    for index in 1..=count {
        let cfg = EntryConfig::builder(format!("entry-{index}"), secret.clone())
            .metrics(Metrics::disabled())
            .build();
        entries.push(chestnutfork_entry::start(cfg).await?);
    }
    Ok(entries)
}

/// Puts the document in force and installs a view of all entries.
fn configure(entries: &[RunningEntry], document: &Document) -> Result<(), LocalError> {
    let services = document
        .services()
        .map(|(name, policy)| (name.clone(), policy.clone()))
        .collect();
    let quotas = document.teams().map(|team| TeamQuota {
        team: team.name.clone(),
        quota: team.quota,
    });
    let policies = PolicyTable {
        version: 1,
        services,
        quotas: quotas.collect(),
    };
    let mut teams = TeamTable::new(policies.services.clone());
    for team in document.teams() {
        teams
            .add_team(team.name.clone(), &team.token.to_hex(), team.services.clone())
            .map_err(|error| LocalError::Config(error.to_string()))?;
    }
    let view = View::first(1, entries.iter().map(RunningEntry::process).collect());
    for (index, entry) in entries.iter().enumerate() {
        let dial = entries[index + 1..]
            .iter()
            .map(|other| other.link_address().to_owned())
            .collect();
        entry.set_policies(policies.clone(), teams.clone());
        entry.set_confirmed(true);
        entry.set_view(view.clone(), dial);
    }
    Ok(())
}

async fn start_agent(
    index: usize,
    secret: &ClusterSecret,
    entries: Vec<String>,
) -> Result<RunningAgent, LocalError> {
    let cfg = AgentConfig::builder(format!("agent-{}", index + 1), secret.clone())
        .failure_domain(failure_domain(index))
        .target_token(TARGET_TOKEN)
        .entries(entries)
        .build();
    Ok(chestnutfork_agent::start(cfg).await?)
}

async fn start_target(
    index: usize,
    shape: TargetShape,
    seed: u64,
    agent: SocketAddr,
) -> Result<TargetHandle, LocalError> {
    let behaviour = Behaviour {
        speed: shape.speed,
        jitter: shape.jitter,
        ..Behaviour::default()
    };
    let target = Target::builder(format!("target-{}", index + 1))
        .slots(shape.slots)
        .behaviour(behaviour)
        .seed(seed.wrapping_add(index as u64))
        .agent(agent)
        .token(TARGET_TOKEN);
    Ok(target.start().await?)
}

/// Spreads processes over three failure domains.
fn failure_domain(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

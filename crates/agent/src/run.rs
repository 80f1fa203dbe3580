//! Starts an agent and stops it gracefully.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_net::{ClusterSecret, HttpServer, Identity, Metrics, http_client, random_process_id};
use chestnutfork_slots::AgentCore;
use chestnutfork_types::{ConfigVersion, FailureDomain, NodeName, ProcessId, ServiceName};
use chestnutfork_wire::Role;
use ractor::{Actor, ActorRef};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::actor::{AgentActor, AgentMessage, Arguments, DialTemplate};
use crate::announce::{AnnounceEndpoint, TargetToken};
use crate::target::TargetClient;

/// Time to open a connection to the target on the same VM.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure to start an agent.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The listening address cannot be bound.
    #[error("cannot listen on `{address}`: {source}; correct `listen` or stop the process that uses it")]
    Listen {
        /// Address from the settings.
        address: String,
        /// What the system reported.
        source: io::Error,
    },
    /// The actor did not start.
    #[error("the agent's actor did not start: {reason}; report this as a bug")]
    Actor {
        /// What the runtime reported.
        reason: String,
    },
}

/// Configuration of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    name: NodeName,
    failure_domain: FailureDomain,
    listen: String,
    secret: ClusterSecret,
    target_token: String,
    entries: Vec<String>,
    metrics: Metrics,
}

/// Builder of [`AgentConfig`].
#[derive(Clone, Debug)]
pub struct AgentConfigBuilder {
    cfg: AgentConfig,
}

impl AgentConfig {
    /// Starts the configuration of the agent with the given name.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_agent::AgentConfig;
    /// use chestnutfork_net::ClusterSecret;
    ///
    /// let cfg = AgentConfig::builder("agent-1", ClusterSecret::new("s")).failure_domain("a").build();
    /// assert!(format!("{cfg:?}").contains("agent-1"));
    /// ```
    #[must_use]
    pub fn builder(name: impl Into<NodeName>, secret: ClusterSecret) -> AgentConfigBuilder {
        let cfg = Self {
            name: name.into(),
            failure_domain: String::new(),
            listen: "127.0.0.1:0".to_owned(),
            secret,
            target_token: String::new(),
            entries: Vec::new(),
            metrics: Metrics::disabled(),
        };
        AgentConfigBuilder { cfg }
    }
}

impl AgentConfigBuilder {
    /// Sets the failure domain of the worker.
    #[must_use]
    pub fn failure_domain(mut self, failure_domain: impl Into<FailureDomain>) -> Self {
        self.cfg.failure_domain = failure_domain.into();
        self
    }

    /// Sets the address on which the target announces itself.
    #[must_use]
    pub fn listen(mut self, listen: impl Into<String>) -> Self {
        self.cfg.listen = listen.into();
        self
    }

    /// Sets the token that the target must present.
    #[must_use]
    pub fn target_token(mut self, token: impl Into<String>) -> Self {
        self.cfg.target_token = token.into();
        self
    }

    /// Sets the link addresses of entries to dial before control has named any.
    #[must_use]
    pub fn entries(mut self, entries: Vec<String>) -> Self {
        self.cfg.entries = entries;
        self
    }

    /// Sets where metrics are counted.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.cfg.metrics = metrics;
        self
    }

    /// Returns the finished configuration.
    #[must_use]
    pub fn build(self) -> AgentConfig {
        self.cfg
    }
}

/// Running agent.
#[derive(Debug)]
pub struct RunningAgent {
    process: ProcessId,
    server: HttpServer,
    actor: ActorRef<AgentMessage>,
}

impl RunningAgent {
    /// Returns the address on which the target announces itself.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the incarnation of the agent.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Replaces the link addresses of the entries to dial.
    pub fn set_entries(&self, entries: Vec<String>) {
        drop(self.actor.cast(AgentMessage::Entries(entries)));
    }

    /// Tells the configuration version in force, whether it is confirmed, and the services that need confirmation.
    pub fn set_config(&self, version: ConfigVersion, confirmed: bool, refusing: Vec<ServiceName>) {
        drop(self.actor.cast(AgentMessage::Config {
            version,
            confirmed,
            refusing,
        }));
    }

    /// Refuses new work, waits until running tasks have ended and their results are confirmed, and stops.
    ///
    /// After `grace` it stops in any case; results that are not confirmed by then are lost.
    pub async fn shutdown(self, grace: Duration) {
        let (done, drained) = oneshot::channel();
        if self.actor.cast(AgentMessage::Drain(done)).is_ok() {
            let _ = timeout(grace, drained).await;
        }
        self.server.shutdown(Duration::from_secs(1)).await;
        self.actor.stop(None);
    }

    /// Stops at once, as a crash would.
    pub fn kill(self) {
        self.actor.kill();
    }
}

/// Starts an agent.
///
/// # Errors
///
/// Returns an error if the listening address cannot be bound.
pub async fn start(cfg: AgentConfig) -> Result<RunningAgent, AgentError> {
    let socket = TcpListener::bind(&cfg.listen)
        .await
        .map_err(|source| AgentError::Listen {
            address: cfg.listen.clone(),
            source,
        })?;
    let process = random_process_id();
    let me = Identity {
        role: Role::Agent,
        name: cfg.name.clone(),
        process,
        address: String::new(),
    };
    let arguments = Arguments {
        core: AgentCore::builder(cfg.failure_domain).build(),
        dial: DialTemplate {
            me,
            secret: cfg.secret,
            metrics: cfg.metrics.clone(),
        },
        target: TargetClient::new(http_client(TARGET_CONNECT_TIMEOUT)),
        metrics: cfg.metrics,
    };
    let (actor, _) = Actor::spawn(None, AgentActor, arguments)
        .await
        .map_err(|error| AgentError::Actor {
            reason: error.to_string(),
        })?;
    drop(actor.cast(AgentMessage::Entries(cfg.entries)));
    let endpoint = AnnounceEndpoint {
        actor: actor.clone(),
        token: TargetToken(cfg.target_token),
    };
    let server = HttpServer::builder(socket)
        .serve(endpoint)
        .map_err(|source| AgentError::Listen {
            address: cfg.listen,
            source,
        })?;
    Ok(RunningAgent {
        process,
        server,
        actor,
    })
}

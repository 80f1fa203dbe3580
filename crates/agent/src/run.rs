//! Start-up and graceful shutdown of an agent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_config::TokenHash;
use chestnutfork_net::{
    ClusterSecret, DialTemplate, HttpServer, Identity, Metrics, ProcessLimits, RequestBudget, http_client,
    random_process_id,
};
use chestnutfork_slots::AgentCore;
use chestnutfork_subscriber::{Subscription, SubscriptionConfig, subscribe};
use chestnutfork_types::{FailureDomain, NodeName, ProcessId};
use chestnutfork_wire::Role;
use ractor::{Actor, ActorRef};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::actor::{AgentActor, AgentMessage, Arguments};
use crate::announce::AnnouncementHandler;
use crate::control::ControlHandler;
use crate::target::TargetClient;

/// Time-out for opening a connection to the target, which is on the same VM.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between renewals of the lease, each of which also requests a confirmation of the configuration.
///
/// Two lost renewals must fit into the 5 s before a switch to another control process. At 1,100 agents, a longer
/// interval would save control little.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time for pending announcements to be answered at the end of a shutdown.
const HTTP_GRACE: Duration = Duration::from_secs(1);

/// Failure to start an agent.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The listening address cannot be bound.
    #[error("cannot listen on `{address}`: {source}; correct `listen` or stop the process that uses it")]
    Listen {
        /// Address from the settings.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The configuration has no control process.
    #[error("no control process is configured; set `control` to the link addresses of the control processes")]
    NoControl,
    /// The actor did not start.
    #[error("the agent's actor did not start: {reason}; report this as a bug")]
    Actor {
        /// Error of the actor runtime.
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
    target_token: TokenHash,
    control_addresses: Vec<String>,
    metrics: Metrics,
    budget: Option<RequestBudget>,
}

/// Builder of [`AgentConfig`], created by [`AgentConfig::builder`].
#[derive(Clone, Debug)]
pub struct AgentConfigBuilder {
    cfg: AgentConfig,
}

impl AgentConfig {
    /// Returns a builder for the configuration of the agent with the given name.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_agent::AgentConfig;
    /// use chestnutfork_net::ClusterSecret;
    ///
    /// let cfg = AgentConfig::builder("agent-1", ClusterSecret::new("s")).failure_domain("a").build();
    /// assert!(format!("{cfg:?}").contains("agent-1"));
    /// assert!(format!("{cfg:?}").contains("[redacted]"));
    /// ```
    #[must_use]
    pub fn builder(name: impl Into<NodeName>, secret: ClusterSecret) -> AgentConfigBuilder {
        let cfg = Self {
            name: name.into(),
            failure_domain: String::new(),
            listen: "127.0.0.1:0".to_owned(),
            secret,
            target_token: TokenHash::of(""),
            control_addresses: Vec::new(),
            metrics: Metrics::disabled(),
            budget: None,
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

    /// Sets the listening address for the announcements of the target.
    #[must_use]
    pub fn listen(mut self, listen: impl Into<String>) -> Self {
        self.cfg.listen = listen.into();
        self
    }

    /// Sets the token that the target must present.
    #[must_use]
    pub fn target_token(mut self, token: impl AsRef<str>) -> Self {
        self.cfg.target_token = TokenHash::of(token.as_ref());
        self
    }

    /// Sets the link addresses of the control processes, at least one.
    #[must_use]
    pub fn control_addresses(mut self, addresses: Vec<String>) -> Self {
        self.cfg.control_addresses = addresses;
        self
    }

    /// Sets the recorder of the metrics.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.cfg.metrics = metrics;
        self
    }

    /// Sets the budget for the connections and unfinished requests of the process; the default has default limits.
    #[must_use]
    pub fn budget(mut self, budget: RequestBudget) -> Self {
        self.cfg.budget = Some(budget);
        self
    }

    /// Builds the configuration.
    #[must_use]
    pub fn build(self) -> AgentConfig {
        self.cfg
    }
}

/// Handle of a running agent.
#[derive(Debug)]
pub struct RunningAgent {
    process: ProcessId,
    server: HttpServer,
    actor: ActorRef<AgentMessage>,
    subscription: Subscription,
}

impl RunningAgent {
    /// Returns the address for the announcements of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the process id, which is new with every start of the agent.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Refuses new work, waits until running tasks have ended and their results are confirmed, and stops.
    ///
    /// Stops after `grace` in any case; results that are not confirmed by then are lost. Returns the number of tasks
    /// that were still running.
    pub async fn shutdown(self, grace: Duration) -> u64 {
        let (done, drained) = oneshot::channel();
        let drained = async { self.actor.cast(AgentMessage::Drain(done)).is_ok() && drained.await.is_ok() };
        let finished = timeout(grace, drained).await.is_ok();
        let unfinished = if finished { 0 } else { self.running_tasks().await };
        self.subscription.leave().await;
        self.server.shutdown(HTTP_GRACE).await;
        self.actor.stop(None);
        unfinished
    }

    /// Returns the number of tasks that run at the target.
    async fn running_tasks(&self) -> u64 {
        let (reply, running) = oneshot::channel();
        drop(self.actor.cast(AgentMessage::Running(reply)));
        running.await.unwrap_or(0)
    }

    /// Stops immediately without draining or giving up the lease, like a crash.
    pub fn kill(self) {
        self.subscription.kill();
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
    let budget = cfg
        .budget
        .unwrap_or_else(|| RequestBudget::start(ProcessLimits::default(), cfg.metrics.clone()));
    let process = random_process_id();
    let identity = Identity {
        role: Role::Agent,
        name: cfg.name.clone(),
        process,
        address: String::new(),
    };
    if cfg.control_addresses.is_empty() {
        return Err(AgentError::NoControl);
    }
    let arguments = Arguments {
        core: AgentCore::builder(cfg.failure_domain.clone()).build(),
        dial: DialTemplate::new(identity.clone(), cfg.secret.clone(), cfg.metrics.clone()),
        target: TargetClient::new(http_client(TARGET_CONNECT_TIMEOUT)),
        metrics: cfg.metrics.clone(),
    };
    let (actor, _) = Actor::spawn(None, AgentActor, arguments)
        .await
        .map_err(|error| AgentError::Actor {
            reason: error.to_string(),
        })?;
    let subscription = SubscriptionConfig::builder(identity, cfg.secret, cfg.control_addresses)
        .failure_domain(cfg.failure_domain)
        .renew_interval(RENEW_INTERVAL)
        .metrics(cfg.metrics)
        .build();
    let subscription = subscribe(subscription, ControlHandler { actor: actor.clone() })
        .await
        .map_err(|error| AgentError::Actor {
            reason: error.to_string(),
        })?;
    let handler = AnnouncementHandler {
        actor: actor.clone(),
        token: cfg.target_token,
    };
    let server = HttpServer::builder(socket)
        .budget(budget)
        .serve(handler)
        .map_err(|source| AgentError::Listen {
            address: cfg.listen,
            source,
        })?;
    Ok(RunningAgent {
        process,
        server,
        actor,
        subscription,
    })
}

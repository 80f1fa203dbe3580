//! Start and graceful shutdown of entries and agents for leased runs.

use std::time::Duration;

use chestnutfork_broker::{BrokerConfig, BrokerCore};
use chestnutfork_net::{
    ClusterSecret, DialTemplate, HttpLimits, Identity, LinkTiming, Listener, Metrics, ProcessLimits, listen,
    random_process_id,
};
use chestnutfork_types::{FailureDomain, NodeName, ProcessId};
use chestnutfork_wire::Role;
use chestnutfork_worker::{WorkerConfig, WorkerCore};
use ractor::{Actor, ActorRef};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::agent::{AgentActor, AgentArguments, AgentClient, AgentMessage, WorkerClient};
use crate::clock::LeaseClock;
use crate::configuration::{ConfigurationActor, ConfigurationArguments, ConfigurationMessage, RouteDecoder};
use crate::entry::{EntryActor, EntryArguments, EntryClient, EntryMessage};
use crate::error::LeasedError;
use crate::links::AgentLinkHandler;

/// Configuration of an entry or agent.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    name: NodeName,
    secret: ClusterSecret,
    failure_domain: FailureDomain,
    listen: String,
    advertise: String,
    seeds: Vec<String>,
    timing: LinkTiming,
    worker: WorkerConfig,
    remote_factor: f64,
    resubmission_delay: Duration,
    metrics: Metrics,
    evacuations: bool,
    limits: ProcessLimits,
    caller_limits: HttpLimits,
    sharing: bool,
}

/// Builder of [`NodeConfig`].
#[derive(Clone, Debug)]
pub struct NodeConfigBuilder {
    cfg: NodeConfig,
}

impl NodeConfig {
    /// Returns a builder with defaults for the process with the given name.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_leased::NodeConfig;
    /// use chestnutfork_net::ClusterSecret;
    ///
    /// let cfg = NodeConfig::builder("entry-1", ClusterSecret::new("s")).failure_domain("zone-a").build();
    /// assert!(format!("{cfg:?}").contains("zone-a"));
    /// ```
    #[must_use]
    pub fn builder(name: impl Into<NodeName>, secret: ClusterSecret) -> NodeConfigBuilder {
        let cfg = NodeConfig {
            name: name.into(),
            secret,
            failure_domain: FailureDomain::new(),
            listen: "127.0.0.1:0".to_owned(),
            advertise: String::new(),
            seeds: Vec::new(),
            timing: LinkTiming::fast_reconnect(),
            worker: WorkerConfig::builder().build(),
            remote_factor: 1.5,
            resubmission_delay: Duration::from_millis(1_300),
            metrics: Metrics::disabled(),
            evacuations: false,
            limits: ProcessLimits::default(),
            caller_limits: HttpLimits::default(),
            sharing: false,
        };
        NodeConfigBuilder { cfg }
    }
}

/// Declares a setter of the builder.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: impl Into<$type>) -> Self {
            self.cfg.$name = $name.into();
            self
        }
    };
}

impl NodeConfigBuilder {
    setter!(
        /// Sets the failure domain of the process.
        failure_domain: FailureDomain
    );
    setter!(
        /// Sets the address to listen on for links. Agents do not listen.
        listen: String
    );
    setter!(
        /// Sets the address that other processes connect to, if it differs from the one to listen on.
        advertise: String
    );
    setter!(
        /// Sets the addresses of the control processes to connect to at the start.
        seeds: Vec<String>
    );
    setter!(
        /// Sets the timing of links.
        timing: LinkTiming
    );
    setter!(
        /// Sets the timing of agents. Entries derive from it when the runs of a lost agent have expired.
        worker: WorkerConfig
    );
    setter!(
        /// Sets the factor on the run time of a task that is placed away from its data.
        remote_factor: f64
    );
    setter!(
        /// Sets the shortest time after which a caller that has lost its connection submits its job again.
        resubmission_delay: Duration
    );
    setter!(
        /// Sets the destination of metrics.
        metrics: Metrics
    );
    setter!(
        /// Sets whether operators may evacuate failure domains. An entry then places nothing before it has received the
        /// evacuations from control.
        evacuations: bool
    );

    setter!(
        /// Sets the limits on links that are not authenticated.
        limits: ProcessLimits
    );
    setter!(
        /// Sets the limits on the requests of callers that the configuration does not state.
        caller_limits: HttpLimits
    );
    setter!(
        /// Sets whether entries keep kinds of tasks apart that slow each other down; default `false`.
        sharing: bool
    );

    /// Returns the configuration.
    #[must_use]
    pub fn build(self) -> NodeConfig {
        self.cfg
    }
}

/// Handle to a running entry.
#[derive(Debug)]
pub struct RunningEntry {
    process: ProcessId,
    address: String,
    actor: ActorRef<EntryMessage>,
    clock: LeaseClock,
    configuration: ActorRef<ConfigurationMessage>,
    caller_limits: watch::Receiver<HttpLimits>,
    _listener: Listener,
}

impl RunningEntry {
    /// Returns the id of this incarnation of the process.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Returns the address that other processes connect to.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns a client for requests.
    #[must_use]
    pub fn client(&self) -> EntryClient {
        EntryClient::new(self.actor.clone(), self.clock)
    }

    /// Returns the limits on the requests of callers that are in force, which change with the configuration.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_leased::{Configuration, NodeConfig, RouteDecoder, start_entry};
    /// use chestnutfork_net::{ClusterSecret, HttpLimits};
    ///
    /// struct Decoder;
    ///
    /// impl RouteDecoder for Decoder {
    ///     type Error = std::convert::Infallible;
    ///
    ///     fn decode(&self, _content: &[u8]) -> Result<Configuration, Self::Error> {
    ///         Ok(Configuration::default())
    ///     }
    /// }
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let cfg = NodeConfig::builder("entry-1", ClusterSecret::new("s")).build();
    /// let entry = start_entry(cfg, Decoder).await?;
    /// assert_eq!(*entry.caller_limits().borrow(), HttpLimits::default());
    /// # Ok::<(), chestnutfork_leased::LeasedError>(())
    /// # }).unwrap();
    /// ```
    #[must_use]
    pub fn caller_limits(&self) -> watch::Receiver<HttpLimits> {
        self.caller_limits.clone()
    }

    /// Reports the entry as not ready and continues to serve for `duration`, so that callers can be routed to
    /// other entries.
    pub async fn report_unready(&self, duration: Duration) {
        if self.actor.cast(EntryMessage::ReportUnready).is_ok() {
            sleep(duration).await;
        }
    }

    /// Refuses new submissions and waits until all jobs in progress are answered or `grace` has elapsed.
    pub async fn drain(&self, grace: Duration) {
        let (done, drained) = oneshot::channel();
        if self.actor.cast(EntryMessage::Drain(done)).is_ok() {
            // `stop` returns the number of jobs that are left after a time-out.
            let _ = timeout(grace, drained).await;
        }
    }

    /// Stops the entry and returns the number of unfinished jobs.
    pub async fn stop(self) -> u64 {
        let status = self.client().status().await;
        self.configuration.stop(None);
        self.actor.stop(None);
        status.map_or(0, |status| status.jobs_in_progress as u64)
    }
}

/// Handle to a running agent.
#[derive(Debug)]
pub struct RunningAgent {
    process: ProcessId,
    actor: ActorRef<AgentMessage>,
}

impl RunningAgent {
    /// Returns the id of this incarnation of the process.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Returns a client for announcements of the worker.
    #[must_use]
    pub fn client(&self) -> AgentClient {
        AgentClient::new(self.actor.clone())
    }

    /// Stops accepting tasks, waits until the running ones have ended or `grace` has elapsed, and stops the agent.
    ///
    /// Returns 1 if the agent did not drain in time, otherwise 0.
    pub async fn shutdown(self, grace: Duration) -> u64 {
        let (done, drained) = oneshot::channel();
        let sent = self.actor.cast(AgentMessage::Drain(done)).is_ok();
        let finished = sent && timeout(grace, drained).await.is_ok();
        self.actor.stop(None);
        u64::from(!finished)
    }
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if the address for links cannot be bound or the actor cannot be spawned.
pub async fn start_entry<R: RouteDecoder>(cfg: NodeConfig, decoder: R) -> Result<RunningEntry, LeasedError> {
    let listen_failed = |source| LeasedError::Listen {
        address: cfg.listen.clone(),
        source,
    };
    let socket = TcpListener::bind(&cfg.listen).await.map_err(listen_failed)?;
    let bound = socket.local_addr().map_err(listen_failed)?.to_string();
    let address = if cfg.advertise.is_empty() {
        bound
    } else {
        cfg.advertise.clone()
    };
    let identity = identity(&cfg, Role::Entry, address.clone());
    let process = identity.process;
    let clock = LeaseClock::new();
    let broker = BrokerConfig::builder(cfg.failure_domain.clone(), cfg.worker.run_expiry())
        .remote_factor(cfg.remote_factor)
        .resubmission_delay(cfg.resubmission_delay)
        .awaits_evacuations(cfg.evacuations)
        .seed(process)
        .sharing(cfg.sharing)
        .build();
    let arguments = EntryArguments {
        core: BrokerCore::new(broker, clock.now()),
        clock,
        metrics: cfg.metrics.clone(),
    };
    let (actor, _) = Actor::spawn(None, EntryActor, arguments)
        .await
        .map_err(|error| actor_error(&error))?;
    let (http_limits, caller_limits) = watch::channel(cfg.caller_limits);
    let arguments = ConfigurationArguments {
        clock,
        dial_template: dial_template(&cfg, &identity),
        seeds: cfg.seeds.clone(),
        metrics: cfg.metrics.clone(),
        entry: actor.clone(),
        failure_domain: cfg.failure_domain.clone(),
        evacuations: cfg.evacuations,
        http_limits,
    };
    let (configuration, _) = Actor::spawn(None, ConfigurationActor { decoder }, arguments)
        .await
        .map_err(|error| actor_error(&error))?;
    let links = AgentLinkHandler { actor: actor.clone() };
    let timing = cfg.timing;
    let listener = listen(
        socket,
        identity,
        cfg.secret,
        cfg.metrics,
        cfg.limits,
        move |session| session.timing(timing).run(links.clone()),
    );
    Ok(RunningEntry {
        process,
        address,
        actor,
        clock,
        configuration,
        caller_limits,
        _listener: listener,
    })
}

/// Starts an agent.
///
/// # Errors
///
/// Returns an error if the actor cannot be spawned.
pub async fn start_agent<W: WorkerClient>(cfg: NodeConfig, worker: W) -> Result<RunningAgent, LeasedError> {
    let identity = identity(&cfg, Role::Agent, String::new());
    let process = identity.process;
    let clock = LeaseClock::new();
    let arguments = AgentArguments {
        core: WorkerCore::new(cfg.worker, clock.now()),
        clock,
        dial_template: dial_template(&cfg, &identity),
        seeds: cfg.seeds,
        metrics: cfg.metrics,
        failure_domain: cfg.failure_domain,
        evacuations: cfg.evacuations,
    };
    let (actor, _) = Actor::spawn(None, AgentActor { worker }, arguments)
        .await
        .map_err(|error| actor_error(&error))?;
    Ok(RunningAgent { process, actor })
}

fn identity(cfg: &NodeConfig, role: Role, address: String) -> Identity {
    Identity {
        role,
        name: cfg.name.clone(),
        process: random_process_id(),
        address,
    }
}

fn dial_template(cfg: &NodeConfig, identity: &Identity) -> DialTemplate {
    DialTemplate::new(identity.clone(), cfg.secret.clone(), cfg.metrics.clone()).timing(cfg.timing)
}

fn actor_error(error: &ractor::SpawnErr) -> LeasedError {
    LeasedError::Actor {
        reason: error.to_string(),
    }
}

//! Configuration, start and graceful shutdown of a control process.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_config::TokenHash;
use chestnutfork_events::{ControlEvent, emit};
use chestnutfork_net::{
    ClusterSecret, DialTemplate, HttpServer, Identity, LinkTiming, Listener, Metrics, ProcessLimits,
    RequestBudget, listen, now, random_process_id,
};
use chestnutfork_raft::Config;
use chestnutfork_settings::ControlSettings;
use chestnutfork_storage::{FileStore, Folder, LogStore, StorageError};
use chestnutfork_types::{NodeName, ProcessId};
use chestnutfork_wire::Role;
use ractor::{Actor, ActorRef};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::core::{ControlCore, CoreConfig};
use crate::documents::DocumentClient;
use crate::error::ControlError;
use crate::http::{Operator, OperatorHandler};
use crate::links::run_session;
use crate::replica::{Arguments, ReplicaActor, ReplicaMessage, ReplicaStatus};

/// Initial member of the replica set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name from the member's settings.
    pub name: NodeName,
    /// Address at which the member accepts links.
    pub address: String,
}

/// Configuration of a control process.
#[derive(Debug)]
pub struct ControlConfig {
    name: NodeName,
    secret: ClusterSecret,
    listen: String,
    link_socket: Option<TcpListener>,
    peer_listen: String,
    advertise_peers: String,
    advertise_operators: String,
    members: Vec<Member>,
    seeds: Vec<String>,
    voter_count: Option<usize>,
    timing: LinkTiming,
    operators: Vec<Operator>,
    heartbeat: Duration,
    election_timeout: Duration,
    metrics: Metrics,
    budget: Option<RequestBudget>,
}

/// Builder of [`ControlConfig`].
#[derive(Debug)]
pub struct ControlConfigBuilder {
    cfg: ControlConfig,
}

impl ControlConfig {
    /// Returns a builder for the configuration of the control process with the given name.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_control::ControlConfig;
    /// use chestnutfork_net::ClusterSecret;
    ///
    /// let cfg = ControlConfig::builder("control-1", ClusterSecret::new("s")).build();
    /// assert!(format!("{cfg:?}").contains("control-1"));
    /// ```
    #[must_use]
    pub fn builder(name: impl Into<NodeName>, secret: ClusterSecret) -> ControlConfigBuilder {
        let cfg = Self {
            name: name.into(),
            secret,
            listen: "127.0.0.1:0".to_owned(),
            link_socket: None,
            peer_listen: "127.0.0.1:0".to_owned(),
            advertise_peers: String::new(),
            advertise_operators: String::new(),
            members: Vec::new(),
            seeds: Vec::new(),
            voter_count: None,
            timing: LinkTiming::default(),
            operators: Vec::new(),
            heartbeat: Duration::from_millis(200),
            election_timeout: Duration::from_secs(1),
            metrics: Metrics::disabled(),
            budget: None,
        };
        ControlConfigBuilder { cfg }
    }
}

/// Declares a chainable setter of the builder.
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

impl ControlConfig {
    /// Sets the metrics of a configuration made from settings.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the budget of a configuration made from settings.
    #[must_use]
    pub fn with_budget(mut self, budget: RequestBudget) -> Self {
        self.budget = Some(budget);
        self
    }
}

impl From<&ControlSettings> for ControlConfig {
    fn from(settings: &ControlSettings) -> Self {
        let members = settings.initial_members.iter().map(|member| Member {
            name: member.name.clone(),
            address: member.address.to_string(),
        });
        // The settings are validated, so every hash can be parsed.
        let operators = settings.operators.iter().filter_map(|operator| {
            Some(Operator {
                name: operator.name.clone(),
                token: TokenHash::from_hex(operator.token_sha256.expose())?,
            })
        });
        let secret = ClusterSecret::new(settings.cluster_secret.expose());
        Self::builder(settings.process.name.clone(), secret)
            .listen(settings.listen.to_string())
            .peer_listen(settings.peer_listen.to_string())
            .advertise_peers(settings.advertise_peers.to_string())
            .advertise_operators(settings.advertise_operators.to_string())
            .members(members.collect::<Vec<_>>())
            .operators(operators.collect::<Vec<_>>())
            .build()
    }
}

impl ControlConfigBuilder {
    setter!(
        /// Sets the address on which the process accepts operator requests.
        listen: String
    );
    setter!(
        /// Sets the address on which the process accepts links.
        peer_listen: String
    );
    setter!(
        /// Sets the address at which other processes reach this one; the default is the bound address.
        advertise_peers: String
    );
    setter!(
        /// Sets the address at which operators reach this process; the default is the bound address.
        advertise_operators: String
    );
    setter!(
        /// Sets the control processes that form the replica set, including this one.
        members: Vec<Member>
    );
    setter!(
        /// Sets the addresses of control processes to dial in addition to the members.
        seeds: Vec<String>
    );
    setter!(
        /// Sets the number of voters that the leader maintains; by default only operators replace lost members.
        voter_count: Option<usize>
    );
    setter!(
        /// Sets the timing of links.
        timing: LinkTiming
    );
    setter!(
        /// Sets the operators that may send requests.
        operators: Vec<Operator>
    );
    setter!(
        /// Sets the interval of the leader's heartbeats.
        heartbeat: Duration
    );
    setter!(
        /// Sets the minimum time without a leader before an election starts.
        election_timeout: Duration
    );
    setter!(
        /// Sets the metrics that the process records.
        metrics: Metrics
    );

    /// Sets a bound socket on which the process accepts links, in place of the address.
    #[must_use]
    pub fn link_socket(mut self, socket: TcpListener) -> Self {
        self.cfg.link_socket = Some(socket);
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
    pub fn build(self) -> ControlConfig {
        self.cfg
    }
}

/// Handle of a running control process.
#[derive(Debug)]
pub struct RunningControl {
    process: ProcessId,
    server: HttpServer,
    listener: Listener,
    link_address: String,
    actor: ActorRef<ReplicaMessage>,
}

impl RunningControl {
    /// Returns the address of the operator interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address at which other processes reach this one for links.
    #[must_use]
    pub fn link_address(&self) -> &str {
        &self.link_address
    }

    /// Returns the id of this incarnation of the process.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Returns a client that submits and reads documents through this process.
    #[must_use]
    pub fn documents(&self) -> DocumentClient {
        DocumentClient::new(self.actor.clone())
    }

    /// Returns the status of the replica, or `None` if it has stopped.
    pub async fn status(&self) -> Option<ReplicaStatus> {
        let (reply, status) = oneshot::channel();
        self.actor.cast(ReplicaMessage::Status(reply)).ok()?;
        status.await.ok()
    }

    /// Transfers leadership, answers pending operator requests, and stops.
    ///
    /// The leadership transfer and the stop of the actor each take at most `grace`, the HTTP requests at most 1 s.
    pub async fn shutdown(self, grace: Duration) {
        let (done, transferred) = oneshot::channel();
        if self.actor.cast(ReplicaMessage::TransferLeadership(done)).is_ok() {
            let _ = timeout(grace, transferred).await;
        }
        self.server.shutdown(Duration::from_secs(1)).await;
        drop(self.listener);
        // An error means that the actor has already stopped.
        let _ = self.actor.stop_and_wait(None, Some(grace)).await;
    }

    /// Stops immediately, like a crash.
    pub fn kill(self) {
        self.actor.kill();
    }
}

/// Starts a control process on a data folder, which is formatted if it is empty.
///
/// # Errors
///
/// Returns an error if the folder cannot be used or an address cannot be bound.
pub async fn start<F>(cfg: ControlConfig, folder: F) -> Result<RunningControl, ControlError>
where
    F: Folder + Send + 'static,
{
    let operator_socket = bind(&cfg.listen).await?;
    let link_socket = match cfg.link_socket {
        Some(socket) => socket,
        None => bind(&cfg.peer_listen).await?,
    };
    let link_address = advertised_address(&cfg.advertise_peers, &link_socket, &cfg.peer_listen)?;
    let operator_address = advertised_address(&cfg.advertise_operators, &operator_socket, &cfg.listen)?;
    let mut store = open_store(folder)?;
    let raft = Config::builder(store.replica_id())
        .seed(rand::random())
        .heartbeat(cfg.heartbeat)
        .election_timeout(cfg.election_timeout)
        .build()?;
    let core = CoreConfig {
        name: cfg.name.clone(),
        initial_members: cfg.members.iter().map(|member| member.name.clone()).collect(),
        operator_address,
        link_address: link_address.clone(),
        voter_count: cfg.voter_count,
        raft,
    };
    let core = ControlCore::new(core, store.load()?, now())?;
    let process = random_process_id();
    let identity = Identity {
        role: Role::Control,
        name: cfg.name.clone(),
        process,
        address: link_address.clone(),
    };
    let dial =
        DialTemplate::new(identity.clone(), cfg.secret.clone(), cfg.metrics.clone()).timing(cfg.timing);
    let member_addresses = cfg.members.iter().map(|member| member.address.clone());
    let dial_addresses = member_addresses
        .chain(cfg.seeds)
        .filter(|address| *address != link_address)
        .collect();
    let arguments = Arguments {
        name: cfg.name.clone(),
        core,
        store,
        dial,
        dial_addresses,
        metrics: cfg.metrics.clone(),
    };
    let (actor, _) = Actor::spawn(None, ReplicaActor::new(), arguments)
        .await
        .map_err(|error| ControlError::Actor {
            reason: error.to_string(),
        })?;
    let budget = cfg
        .budget
        .unwrap_or_else(|| RequestBudget::start(ProcessLimits::default(), cfg.metrics.clone()));
    let session_actor = actor.clone();
    let listener = listen(
        link_socket,
        identity,
        cfg.secret,
        cfg.metrics,
        budget.limits(),
        move |session| run_session(session.timing(cfg.timing), session_actor.clone()),
    );
    let handler = OperatorHandler {
        actor: actor.clone(),
        operators: cfg.operators,
    };
    let server = HttpServer::builder(operator_socket).budget(budget).serve(handler);
    let server = server.map_err(|source| ControlError::Listen {
        address: cfg.listen,
        source,
    })?;
    Ok(RunningControl {
        process,
        server,
        listener,
        link_address,
        actor,
    })
}

/// Opens the data folder and logs any damage found in it.
fn open_store<F: Folder>(folder: F) -> Result<FileStore<F>, ControlError> {
    let store = FileStore::open_or_format(folder, rand::random());
    if let Err(error @ StorageError::Corrupt { file, offset }) = &store {
        emit(&ControlEvent::CorruptRecord {
            path: file,
            offset: *offset,
            error: &error.to_string(),
        });
    }
    let store = store?;
    if store.truncated_bytes() > 0 {
        emit(&ControlEvent::TailTruncated {
            path: &store.log_file_name(),
            bytes: store.truncated_bytes(),
        });
    }
    Ok(store)
}

fn advertised_address(setting: &str, socket: &TcpListener, address: &str) -> Result<String, ControlError> {
    if !setting.is_empty() {
        return Ok(setting.to_owned());
    }
    let local = socket.local_addr().map_err(|source| ControlError::Listen {
        address: address.to_owned(),
        source,
    })?;
    Ok(local.to_string())
}

async fn bind(address: &str) -> Result<TcpListener, ControlError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ControlError::Listen {
            address: address.to_owned(),
            source,
        })
}

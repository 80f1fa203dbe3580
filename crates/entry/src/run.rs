//! Start-up and graceful shutdown of an entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use chestnutfork_config::Document;
use chestnutfork_dispatch::EntryCore;
use chestnutfork_net::{
    ClusterSecret, DialTemplate, HttpLimits, HttpServer, Identity, Listener, Metrics, ProcessLimits,
    RequestBudget, Session, listen, now, random_process_id,
};
use chestnutfork_subscriber::{Subscription, SubscriptionConfig, subscribe};
use chestnutfork_types::{FailureDomain, NodeName, ProcessId};
use chestnutfork_wire::Role;
use ractor::{Actor, ActorRef};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::actor::{Arguments, EntryActor, EntryMessage};
use crate::control::ControlHandler;
use crate::http::CallerHandler;
use crate::links::{AgentLinkHandler, PeerLinkHandler};

/// Interval between renewals of the entry's 2 s lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time for the last responses to reach their callers, also when the grace period is over.
const MIN_HTTP_GRACE: Duration = Duration::from_secs(1);

/// Failure to start an entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listening address cannot be bound.
    #[error(
        "cannot listen on `{address}`: {source}; correct `listen` or `peer_listen`, or stop the process that uses it"
    )]
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
    #[error("the entry's actor did not start: {reason}; report this as a bug")]
    Actor {
        /// Error of the actor runtime.
        reason: String,
    },
}

/// Configuration of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    name: NodeName,
    listen: String,
    peer_listen: String,
    advertise: String,
    failure_domain: FailureDomain,
    control_addresses: Vec<String>,
    secret: ClusterSecret,
    retention: Duration,
    max_records: usize,
    http_limits: HttpLimits,
    metrics: Metrics,
    budget: Option<RequestBudget>,
}

/// Builder of [`EntryConfig`], created by [`EntryConfig::builder`].
#[derive(Clone, Debug)]
pub struct EntryConfigBuilder {
    cfg: EntryConfig,
}

impl EntryConfig {
    /// Returns a builder for the configuration of the entry with the given name.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_entry::EntryConfig;
    /// use chestnutfork_net::ClusterSecret;
    ///
    /// let cfg = EntryConfig::builder("entry-1", ClusterSecret::new("s")).listen("127.0.0.1:0").build();
    /// assert!(format!("{cfg:?}").contains("entry-1"));
    /// ```
    #[must_use]
    pub fn builder(name: impl Into<NodeName>, secret: ClusterSecret) -> EntryConfigBuilder {
        let cfg = Self {
            name: name.into(),
            listen: "127.0.0.1:0".to_owned(),
            peer_listen: "127.0.0.1:0".to_owned(),
            advertise: String::new(),
            failure_domain: String::new(),
            control_addresses: Vec::new(),
            secret,
            retention: Duration::from_mins(10),
            max_records: 1_000_000,
            http_limits: HttpLimits::default(),
            metrics: Metrics::disabled(),
            budget: None,
        };
        EntryConfigBuilder { cfg }
    }
}

impl EntryConfigBuilder {
    /// Sets the address for callers.
    #[must_use]
    pub fn listen(mut self, listen: impl Into<String>) -> Self {
        self.cfg.listen = listen.into();
        self
    }

    /// Sets the address for links of agents and entries.
    #[must_use]
    pub fn peer_listen(mut self, listen: impl Into<String>) -> Self {
        self.cfg.peer_listen = listen.into();
        self
    }

    /// Sets the link address that other processes use; the default is the listening address.
    #[must_use]
    pub fn advertise(mut self, address: impl Into<String>) -> Self {
        self.cfg.advertise = address.into();
        self
    }

    /// Sets the failure domain of the entry's VM.
    #[must_use]
    pub fn failure_domain(mut self, failure_domain: impl Into<FailureDomain>) -> Self {
        self.cfg.failure_domain = failure_domain.into();
        self
    }

    /// Sets the link addresses of the control processes, at least one.
    #[must_use]
    pub fn control_addresses(mut self, addresses: Vec<String>) -> Self {
        self.cfg.control_addresses = addresses;
        self
    }

    /// Sets how long the register retains a job.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.cfg.retention = retention;
        self
    }

    /// Sets the maximum number of jobs in the register.
    #[must_use]
    pub fn max_records(mut self, max_records: usize) -> Self {
        self.cfg.max_records = max_records;
        self
    }

    /// Sets the limits on the requests of callers.
    #[must_use]
    pub fn http_limits(mut self, limits: HttpLimits) -> Self {
        self.cfg.http_limits = limits;
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
    pub fn build(self) -> EntryConfig {
        self.cfg
    }
}

/// Handle of a running entry.
#[derive(Debug)]
pub struct RunningEntry {
    process: ProcessId,
    server: HttpServer,
    links: Listener,
    link_address: String,
    actor: ActorRef<EntryMessage>,
    subscription: Subscription,
}

impl RunningEntry {
    /// Returns the address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for links of agents and entries.
    #[must_use]
    pub fn link_address(&self) -> &str {
        &self.link_address
    }

    /// Returns the process id, which is new with every start of the entry.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Reports whether the configuration is confirmed, this entry is a member of the view, and at least `targets`
    /// targets have issued credits to it.
    pub async fn is_ready(&self, targets: usize) -> bool {
        let (reply, status) = oneshot::channel();
        drop(self.actor.cast(EntryMessage::Status(reply)));
        status.await.is_ok_and(|status| {
            // A target without a credit yet belongs to an agent whose configuration is not confirmed.
            let usable = status.targets.iter().filter(|target| target.credits > 0).count();
            status.confirmed && status.member && !status.services.is_empty() && usable >= targets
        })
    }

    /// Refuses new jobs, waits until the accepted ones are answered, and stops.
    ///
    /// Stops after `grace` in any case. Returns the number of jobs that were not answered by then.
    pub async fn shutdown(self, grace: Duration) -> u64 {
        let deadline = now() + grace;
        let (done, drained) = oneshot::channel();
        let drained = async { self.actor.cast(EntryMessage::Drain(done)).is_ok() && drained.await.is_ok() };
        let finished = timeout(grace, drained).await.is_ok();
        let unfinished = if finished { 0 } else { self.unanswered_jobs().await };
        // Responses may still be in transit to slow callers.
        let remaining = deadline.saturating_duration_since(now()).max(MIN_HTTP_GRACE);
        self.server.shutdown(remaining).await;
        self.subscription.leave().await;
        drop(self.links);
        self.actor.stop(None);
        unfinished
    }

    /// Returns the number of jobs without an answer.
    async fn unanswered_jobs(&self) -> u64 {
        let (reply, status) = oneshot::channel();
        drop(self.actor.cast(EntryMessage::Status(reply)));
        let status = status.await;
        status.map_or(0, |status| u64::from(status.jobs) + u64::from(status.waiting))
    }

    /// Stops immediately without draining or giving up the lease, like a crash.
    pub fn kill(self) {
        self.subscription.kill();
        self.actor.kill();
    }
}

/// Starts an entry.
///
/// The entry refuses jobs until it has policies that are confirmed and, for at-most-once jobs, a view.
///
/// # Errors
///
/// Returns an error if a listening address cannot be bound.
pub async fn start(cfg: EntryConfig) -> Result<RunningEntry, EntryError> {
    if cfg.control_addresses.is_empty() {
        return Err(EntryError::NoControl);
    }
    let budget = cfg
        .budget
        .unwrap_or_else(|| RequestBudget::start(ProcessLimits::default(), cfg.metrics.clone()));
    let caller_socket = bind(&cfg.listen).await?;
    let link_socket = bind(&cfg.peer_listen).await?;
    let local_address = link_socket.local_addr().map_err(|source| EntryError::Listen {
        address: cfg.peer_listen.clone(),
        source,
    })?;
    let link_address = if cfg.advertise.is_empty() {
        local_address.to_string()
    } else {
        cfg.advertise.clone()
    };
    let process = random_process_id();
    let identity = Identity {
        role: Role::Entry,
        name: cfg.name.clone(),
        process,
        address: link_address.clone(),
    };
    let core = EntryCore::builder(process)
        .retention(cfg.retention)
        .max_records(cfg.max_records)
        .build(now());
    let dial = DialTemplate::new(identity.clone(), cfg.secret.clone(), cfg.metrics.clone());
    let arguments = Arguments {
        core,
        dial,
        metrics: cfg.metrics.clone(),
    };
    let (actor, _) = Actor::spawn(None, EntryActor, arguments)
        .await
        .map_err(|error| EntryError::Actor {
            reason: error.to_string(),
        })?;
    let links = listen(
        link_socket,
        identity.clone(),
        cfg.secret.clone(),
        cfg.metrics.clone(),
        budget.limits(),
        {
            let actor = actor.clone();
            move |session| run_session(session, actor.clone())
        },
    );
    let (documents, documents_rx) = watch::channel(Arc::new(Document::default()));
    let control_handler = ControlHandler {
        name: cfg.name,
        process,
        actor: actor.clone(),
        documents,
    };
    let subscription =
        SubscriptionConfig::builder(identity.clone(), cfg.secret.clone(), cfg.control_addresses)
            .failure_domain(cfg.failure_domain)
            .renew_interval(RENEW_INTERVAL)
            .metrics(cfg.metrics.clone())
            .build();
    let subscription = subscribe(subscription, control_handler)
        .await
        .map_err(|error| EntryError::Actor {
            reason: error.to_string(),
        })?;
    drop(actor.cast(EntryMessage::Subscribed(subscription.clone())));
    let handler = CallerHandler {
        actor: actor.clone(),
        documents: documents_rx,
        next_ticket: Arc::new(AtomicU64::new(0)),
    };
    let server = HttpServer::builder(caller_socket)
        .limits(cfg.http_limits)
        .budget(budget)
        .serve(handler)
        .map_err(|source| EntryError::Listen {
            address: cfg.listen,
            source,
        })?;
    Ok(RunningEntry {
        process,
        server,
        links,
        link_address,
        actor,
        subscription,
    })
}

async fn bind(address: &str) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| EntryError::Listen {
            address: address.to_owned(),
            source,
        })
}

/// Runs an accepted link with the handler for the role of the peer.
async fn run_session(session: Session, actor: ActorRef<EntryMessage>) {
    match session.peer().role {
        Role::Agent => session.run(AgentLinkHandler { actor }).await,
        Role::Entry => session.run(PeerLinkHandler { actor }).await,
        // Control never dials an entry.
        Role::Control => {}
    }
}

//! Maintains a link to one address and reconnects with exponential backoff.

use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_tungstenite::client_async_with_config;

use chestnutfork_events::{LinkEvent, emit};
use chestnutfork_wire::Role;

use crate::handshake;
use crate::identity::{ClusterSecret, Identity};
use crate::link::{LinkError, LinkHandler, Session, socket_config};
use crate::metrics::Metrics;
use crate::staggered::first_result;
use crate::timing::LinkTiming;

/// Lifetime after which a link counts as stable and resets the backoff.
const STABLE_AFTER: Duration = Duration::from_secs(5);

/// Configuration of a dialled link.
#[derive(Clone, Debug)]
pub struct DialConfig {
    address: String,
    identity: Identity,
    secret: ClusterSecret,
    expected_role: Role,
    metrics: Metrics,
    timing: LinkTiming,
}

/// Builder of [`DialConfig`].
#[derive(Clone, Debug)]
pub struct DialConfigBuilder {
    cfg: DialConfig,
}

impl DialConfig {
    /// Returns a builder for a link to `address` (IP address and port).
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{ClusterSecret, DialConfig, Identity};
    /// use chestnutfork_wire::Role;
    ///
    /// let identity = Identity { role: Role::Agent, name: "a1".into(), process: 1, address: String::new() };
    /// let secret = ClusterSecret::new("s");
    /// let cfg = DialConfig::builder("127.0.0.1:7000", identity, secret).expected_role(Role::Entry).build();
    /// assert!(format!("{cfg:?}").contains("127.0.0.1:7000"));
    /// ```
    #[must_use]
    pub fn builder(
        address: impl Into<String>,
        identity: Identity,
        secret: ClusterSecret,
    ) -> DialConfigBuilder {
        let cfg = Self {
            address: address.into(),
            identity,
            secret,
            expected_role: Role::Entry,
            metrics: Metrics::disabled(),
            timing: LinkTiming::default(),
        };
        DialConfigBuilder { cfg }
    }
}

impl DialConfigBuilder {
    /// Sets the role that the peer must have; the default is [`Role::Entry`].
    #[must_use]
    pub fn expected_role(mut self, role: Role) -> Self {
        self.cfg.expected_role = role;
        self
    }

    /// Sets the metrics that count the bytes of the link.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.cfg.metrics = metrics;
        self
    }

    /// Sets the timing of the link.
    #[must_use]
    pub fn timing(mut self, timing: LinkTiming) -> Self {
        self.cfg.timing = timing;
        self
    }

    /// Returns the finished configuration.
    #[must_use]
    pub fn build(self) -> DialConfig {
        self.cfg
    }
}

/// Configuration that the dialled links of a process share; the address, the peer's role and the handler are given for
/// each link.
#[derive(Clone, Debug)]
pub struct DialTemplate {
    identity: Identity,
    secret: ClusterSecret,
    metrics: Metrics,
    timing: LinkTiming,
}

impl DialTemplate {
    /// Creates a template for the links of this process.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{ClusterSecret, DialTemplate, Identity, Metrics};
    /// use chestnutfork_wire::Role;
    ///
    /// let identity = Identity { role: Role::Agent, name: "a1".into(), process: 1, address: String::new() };
    /// let template = DialTemplate::new(identity, ClusterSecret::new("s"), Metrics::disabled());
    /// assert!(format!("{template:?}").contains("a1"));
    /// ```
    #[must_use]
    pub fn new(identity: Identity, secret: ClusterSecret, metrics: Metrics) -> Self {
        Self {
            identity,
            secret,
            metrics,
            timing: LinkTiming::default(),
        }
    }

    /// Sets the timing of the links.
    #[must_use]
    pub fn timing(mut self, timing: LinkTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Dials an entry, and reconnects whenever the link closes, until the returned [`Dialer`] is dropped.
    pub fn dial_entry<H: LinkHandler>(&self, address: &str, handler: H) -> Dialer {
        self.dial(address, Role::Entry, handler)
    }

    /// Dials a process of the given role, and reconnects whenever the link closes, until the returned [`Dialer`] is
    /// dropped.
    pub fn dial<H: LinkHandler>(&self, address: &str, role: Role, handler: H) -> Dialer {
        let cfg = DialConfig::builder(address, self.identity.clone(), self.secret.clone())
            .expected_role(role)
            .metrics(self.metrics.clone())
            .timing(self.timing)
            .build();
        dial(cfg, handler)
    }
}

/// Handle to the task that maintains a dialled link; dropping it closes the link.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Dials an address, and reconnects whenever the link closes, until the returned [`Dialer`] is dropped.
///
/// Failed attempts are logged; the handler is called only for links that were established.
pub fn dial<H: LinkHandler>(cfg: DialConfig, handler: H) -> Dialer {
    Dialer {
        task: tokio::spawn(maintain_link(cfg, handler)),
    }
}

async fn maintain_link<H: LinkHandler>(cfg: DialConfig, handler: H) {
    let mut backoff = cfg.timing.initial_backoff();
    loop {
        let attempt_start = Instant::now();
        match timeout(cfg.timing.connect_timeout, connect(&cfg)).await {
            Ok(Ok(session)) => session.run(handler.clone()).await,
            Ok(Err(error)) => log_failure(&cfg, &error, backoff),
            Err(_) => log_failure(&cfg, &LinkError::TimedOut, backoff),
        }
        if attempt_start.elapsed() >= STABLE_AFTER {
            backoff = cfg.timing.initial_backoff();
        }
        // Jitter prevents many agents from dialling a restarted entry simultaneously.
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(cfg.timing.max_backoff);
    }
}

fn log_failure(cfg: &DialConfig, error: &LinkError, retry: Duration) {
    let reason = error.to_string();
    if error.is_unauthenticated() {
        emit(&LinkEvent::AuthenticationFailed {
            address: &cfg.address,
            reason: &reason,
        });
    } else {
        emit(&LinkEvent::DialFailed {
            address: &cfg.address,
            error: &reason,
            retry,
        });
    }
}

async fn connect(cfg: &DialConfig) -> Result<Session, LinkError> {
    let stream = first_result(|| TcpStream::connect(cfg.address.clone())).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{}/link", cfg.address);
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
    let peer = handshake::initiate(&mut socket, &cfg.identity, &cfg.secret).await?;
    if peer.role != cfg.expected_role {
        return Err(LinkError::WrongRole {
            role: peer.role.as_str(),
        });
    }
    let peer = Identity {
        address: cfg.address.clone(),
        ..peer
    };
    Ok(Session::new(peer, socket, cfg.metrics.clone()).timing(cfg.timing))
}

//! Keeps a link to one address open, with exponential backoff between attempts.

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
use crate::timing::LinkTiming;

/// A link that lasted this long resets the backoff.
const STABLE_AFTER: Duration = Duration::from_secs(5);

/// What a dialled link needs to know.
#[derive(Clone, Debug)]
pub struct DialConfig {
    address: String,
    me: Identity,
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
    /// Starts the configuration of a link to `address` (IP address and port).
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{ClusterSecret, DialConfig, Identity};
    /// use chestnutfork_wire::Role;
    ///
    /// let me = Identity { role: Role::Agent, name: "a1".into(), process: 1, address: String::new() };
    /// let cfg = DialConfig::builder("127.0.0.1:7000", me, ClusterSecret::new("s")).expected_role(Role::Entry).build();
    /// assert!(format!("{cfg:?}").contains("127.0.0.1:7000"));
    /// ```
    #[must_use]
    pub fn builder(address: impl Into<String>, me: Identity, secret: ClusterSecret) -> DialConfigBuilder {
        let cfg = Self {
            address: address.into(),
            me,
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

    /// Sets where bytes are counted.
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

/// Everything of a dialled link but its address and its handler.
#[derive(Clone, Debug)]
pub struct DialTemplate {
    me: Identity,
    secret: ClusterSecret,
    metrics: Metrics,
    timing: LinkTiming,
}

impl DialTemplate {
    /// Creates a template for links of this process to entries.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{ClusterSecret, DialTemplate, Identity, Metrics};
    /// use chestnutfork_wire::Role;
    ///
    /// let me = Identity { role: Role::Agent, name: "a1".into(), process: 1, address: String::new() };
    /// let template = DialTemplate::new(me, ClusterSecret::new("s"), Metrics::disabled());
    /// assert!(format!("{template:?}").contains("a1"));
    /// ```
    #[must_use]
    pub fn new(me: Identity, secret: ClusterSecret, metrics: Metrics) -> Self {
        Self {
            me,
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

    /// Dials an entry at an address and keeps the link to it open until the returned dialler is dropped.
    pub fn dial_entry<H: LinkHandler>(&self, address: &str, handler: H) -> Dialer {
        self.dial(address, Role::Entry, handler)
    }

    /// Dials a process of the given role, and keeps the link to it open until the returned dialler is dropped.
    pub fn dial<H: LinkHandler>(&self, address: &str, role: Role, handler: H) -> Dialer {
        let cfg = DialConfig::builder(address, self.me.clone(), self.secret.clone())
            .expected_role(role)
            .metrics(self.metrics.clone())
            .timing(self.timing)
            .build();
        dial(cfg, handler)
    }
}

/// Running dialler; dropping it ends the link.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Dials an address and keeps a link to it open until the returned dialler is dropped.
///
/// Failed attempts are logged; the handler hears only of links that were open.
pub fn dial<H: LinkHandler>(cfg: DialConfig, handler: H) -> Dialer {
    Dialer {
        task: tokio::spawn(keep_open(cfg, handler)),
    }
}

async fn keep_open<H: LinkHandler>(cfg: DialConfig, handler: H) {
    let mut backoff = cfg.timing.first_backoff();
    loop {
        let started = Instant::now();
        match timeout(cfg.timing.connect_timeout, open(&cfg)).await {
            Ok(Ok(session)) => session.run(handler.clone()).await,
            Ok(Err(error)) => report_failure(&cfg, &error, backoff),
            Err(_) => report_failure(&cfg, &LinkError::TimedOut, backoff),
        }
        if started.elapsed() >= STABLE_AFTER {
            backoff = cfg.timing.first_backoff();
        }
        // Jitter keeps many agents from dialling a restarted entry at the same moment.
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(cfg.timing.max_backoff);
    }
}

fn report_failure(cfg: &DialConfig, error: &LinkError, retry: Duration) {
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

async fn open(cfg: &DialConfig) -> Result<Session, LinkError> {
    let stream = TcpStream::connect(&cfg.address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{}/link", cfg.address);
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
    let peer = handshake::dialling(&mut socket, &cfg.me, &cfg.secret).await?;
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

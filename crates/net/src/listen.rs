//! Accepts incoming links and passes the authenticated sessions to a callback.
//!
//! The accepting task owns the connections that are not authenticated yet. Their number, time and message size are
//! limited; beyond the number, the oldest of them is dropped.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::accept_async_with_config;

use chestnutfork_events::{LinkEvent, emit};

use crate::budget::{Occurrences, ProcessLimits};
use crate::handshake;
use crate::identity::{ClusterSecret, Identity};
use crate::link::{LinkError, Session, allow_link_messages, handshake_config};
use crate::metrics::Metrics;
use crate::wakeup::now;

/// Limit on the time to authenticate a connection, so that unauthenticated peers cannot keep sockets open.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handle to the accepting task; dropping it stops accepting connections and leaves open links running.
#[derive(Debug)]
pub struct Listener {
    task: JoinHandle<()>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts links on a socket and calls `on_session` with each authenticated session.
///
/// `on_session` is called in a separate task for each connection, and usually runs the session with the handler for
/// its role. The limits bound the connections that are not authenticated.
pub fn listen<F, Fut>(
    socket: TcpListener,
    identity: Identity,
    secret: ClusterSecret,
    metrics: Metrics,
    limits: ProcessLimits,
    on_session: F,
) -> Listener
where
    F: Fn(Session) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let handshakes = Handshakes {
        identity,
        secret,
        metrics,
        max: limits.max_unauthenticated_links(),
        running: JoinSet::new(),
        oldest_first: VecDeque::new(),
        dropped: Occurrences::default(),
    };
    let task = tokio::spawn(accept_loop(socket, handshakes, on_session));
    Listener { task }
}

async fn accept_loop<F, Fut>(socket: TcpListener, mut handshakes: Handshakes, on_session: F)
where
    F: Fn(Session) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    loop {
        tokio::select! {
            accepted = socket.accept() => match accepted {
                Ok((stream, remote)) => handshakes.start(stream, remote, now()),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(ended) = handshakes.running.join_next() => {
                if let Ok(Some(session)) = ended {
                    let on_session = on_session.clone();
                    tokio::spawn(async move { on_session(session).await });
                }
            }
        }
    }
}

/// Connections that are not authenticated yet.
#[derive(Debug)]
struct Handshakes {
    identity: Identity,
    secret: ClusterSecret,
    metrics: Metrics,
    max: usize,
    running: JoinSet<Option<Session>>,
    oldest_first: VecDeque<AbortHandle>,
    dropped: Occurrences,
}

impl Handshakes {
    /// Starts the handshake of a connection, and drops the oldest other one if there are too many.
    fn start(&mut self, stream: TcpStream, remote: SocketAddr, now: Instant) {
        if self.running.len() >= self.max {
            self.oldest_first.retain(|handshake| !handshake.is_finished());
            if let Some(oldest) = self.oldest_first.pop_front() {
                oldest.abort();
                self.metrics.count("link.handshakes_dropped", 1);
                if let Some(count) = self.dropped.add(now) {
                    emit(&LinkEvent::HandshakesDropped { count });
                }
            }
        }
        let (identity, secret) = (self.identity.clone(), self.secret.clone());
        let metrics = self.metrics.clone();
        let handshake = self.running.spawn(async move {
            let session = authenticate(stream, &identity, &secret, metrics);
            match timeout(HANDSHAKE_TIMEOUT, session).await {
                Ok(Ok(session)) => Some(session),
                Ok(Err(error)) => {
                    if error.is_unauthenticated() {
                        let (address, reason) = (remote.to_string(), error.to_string());
                        emit(&LinkEvent::AuthenticationFailed {
                            address: &address,
                            reason: &reason,
                        });
                    }
                    None
                }
                Err(_) => None,
            }
        });
        // The queue is at most twice as long as the limit.
        if self.oldest_first.len() >= self.max * 2 {
            self.oldest_first.retain(|handshake| !handshake.is_finished());
        }
        self.oldest_first.push_back(handshake);
    }
}

async fn authenticate(
    stream: TcpStream,
    identity: &Identity,
    secret: &ClusterSecret,
    metrics: Metrics,
) -> Result<Session, LinkError> {
    stream.set_nodelay(true)?;
    let mut socket = accept_async_with_config(stream, Some(handshake_config())).await?;
    let peer = handshake::respond(&mut socket, identity, secret).await?;
    let socket = allow_link_messages(socket).await;
    Ok(Session::new(peer, socket, metrics))
}

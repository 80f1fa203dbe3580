//! Accepts links and hands over authenticated sessions.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::accept_async_with_config;

use chestnutfork_events::{LinkEvent, emit};

use crate::handshake;
use crate::identity::{ClusterSecret, Identity};
use crate::link::{LinkError, Session, socket_config};
use crate::metrics::Metrics;

/// Time within which a connection must be authenticated, so that strangers cannot hold sockets.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Running listener; dropping it stops accepting and leaves open links alone.
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
/// `on_session` runs on the connection's own task and usually runs the session with the handler for its role.
pub fn listen<F, Fut>(
    socket: TcpListener,
    me: Identity,
    secret: ClusterSecret,
    metrics: Metrics,
    on_session: F,
) -> Listener
where
    F: Fn(Session) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = ()> + Send,
{
    let task = tokio::spawn(async move {
        loop {
            let Ok((stream, from)) = socket.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let (me, secret) = (me.clone(), secret.clone());
            let (metrics, on_session) = (metrics.clone(), on_session.clone());
            tokio::spawn(async move {
                match timeout(ACCEPT_TIMEOUT, open(stream, &me, &secret, metrics)).await {
                    Ok(Ok(session)) => on_session(session).await,
                    Ok(Err(error)) if error.is_unauthenticated() => {
                        let (address, reason) = (from.to_string(), error.to_string());
                        emit(&LinkEvent::AuthenticationFailed {
                            address: &address,
                            reason: &reason,
                        });
                    }
                    Ok(Err(_)) | Err(_) => {}
                }
            });
        }
    });
    Listener { task }
}

async fn open(
    stream: TcpStream,
    me: &Identity,
    secret: &ClusterSecret,
    metrics: Metrics,
) -> Result<Session, LinkError> {
    stream.set_nodelay(true)?;
    let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
    let peer = handshake::accepting(&mut socket, me, secret).await?;
    Ok(Session::new(peer, socket, metrics))
}

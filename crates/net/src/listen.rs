//! Accepts incoming links and passes the authenticated sessions to a callback.

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
/// its role.
pub fn listen<F, Fut>(
    socket: TcpListener,
    identity: Identity,
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
            let Ok((stream, remote)) = socket.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let (identity, secret) = (identity.clone(), secret.clone());
            let (metrics, on_session) = (metrics.clone(), on_session.clone());
            tokio::spawn(async move {
                match timeout(
                    HANDSHAKE_TIMEOUT,
                    authenticate(stream, &identity, &secret, metrics),
                )
                .await
                {
                    Ok(Ok(session)) => on_session(session).await,
                    Ok(Err(error)) if error.is_unauthenticated() => {
                        let (address, reason) = (remote.to_string(), error.to_string());
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

async fn authenticate(
    stream: TcpStream,
    identity: &Identity,
    secret: &ClusterSecret,
    metrics: Metrics,
) -> Result<Session, LinkError> {
    stream.set_nodelay(true)?;
    let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
    let peer = handshake::respond(&mut socket, identity, secret).await?;
    Ok(Session::new(peer, socket, metrics))
}

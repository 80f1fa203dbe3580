//! Clients that hold the connections of a process with requests that they never complete.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::plan::SendPattern;

/// Clients of a crowd; a process has fewer connections under the limits in its settings.
const CLIENTS: usize = 160;
/// Pause between two bytes of a client, and before it connects again.
const PAUSE: Duration = Duration::from_millis(100);
/// Length of a body, within the limits of every process.
const BODY_BYTES: usize = 200_000;

/// Crowd of clients; dropping it ends them.
#[derive(Debug)]
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts the clients, which connect again whenever their connection is closed.
    pub(crate) fn start(address: SocketAddr, line: &str, pattern: SendPattern) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..CLIENTS {
            let head =
                format!("{line} HTTP/1.1\r\nhost: desk.example\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            clients.spawn(async move {
                loop {
                    // The process may be down or may close the connection at any time.
                    let _ = send(address, &head, pattern).await;
                    sleep(PAUSE).await;
                }
            });
        }
        Self { _clients: clients }
    }
}

/// Sends a request without its last byte, and keeps the connection until it is closed.
async fn send(address: SocketAddr, head: &str, pattern: SendPattern) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(head.as_bytes()).await?;
    if pattern == SendPattern::Stalled {
        stream.write_all(&vec![b' '; BODY_BYTES - 1]).await?;
        // Only the server ends this wait.
        return stream.readable().await;
    }
    for _ in 1..BODY_BYTES {
        stream.write_all(b" ").await?;
        sleep(PAUSE).await;
    }
    Ok(())
}

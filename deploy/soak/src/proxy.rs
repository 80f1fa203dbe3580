//! Loopback proxy before one process: delays, holds and resets its connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::error::SoakError;

/// Bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time for an address to become free, and the interval at which it is tried.
const FREE_WITHIN: Duration = Duration::from_secs(5);
const FREE_POLL: Duration = Duration::from_millis(50);

/// What happens to the bytes of all connections to a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Weather {
    /// Delay of each chunk.
    pub(crate) delay: Duration,
    /// Whether bytes towards the process are held.
    pub(crate) hold_inward: bool,
    /// Whether bytes from the process are held.
    pub(crate) hold_outward: bool,
    /// Connections of earlier generations are reset.
    pub(crate) reset_below: u64,
    /// Connections of earlier generations stay silent for good.
    pub(crate) silent_below: u64,
    /// Generation of new connections.
    pub(crate) generation: u64,
}

impl Weather {
    /// Makes all open connections end with a reset.
    pub(crate) fn reset(&mut self) {
        self.generation += 1;
        self.reset_below = self.generation;
    }

    fn holds(&self, direction: Direction, generation: u64) -> bool {
        let held = match direction {
            Direction::Inward => self.hold_inward,
            Direction::Outward => self.hold_outward,
        };
        held || generation < self.silent_below
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Inward,
    Outward,
}

/// Proxy before one port of a process; it ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Proxy {
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Listens on the address that others know and forwards to the one that the process listens on.
    pub(crate) async fn start(
        public: SocketAddr,
        local: SocketAddr,
        weather: watch::Receiver<Weather>,
    ) -> Result<Self, SoakError> {
        let listener = listen(public).await?;
        let task = tokio::spawn(async move {
            loop {
                // A failed accept concerns one connection only.
                if let Ok((client, _)) = listener.accept().await {
                    tokio::spawn(forward(client, local, weather.clone()));
                }
            }
        });
        Ok(Self { task })
    }
}

/// Listens on an address; listeners of an earlier seed close a moment after its end.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, SoakError> {
    let begun = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(_) if begun.elapsed() < FREE_WITHIN => sleep(FREE_POLL).await,
            Err(source) => {
                let address = address.to_string();
                return Err(SoakError::Listen { address, source });
            }
        }
    }
}

/// Forwards one connection in both directions until either side closes or a reset is due.
async fn forward(client: TcpStream, local: SocketAddr, mut weather: watch::Receiver<Weather>) {
    let generation = weather.borrow().generation;
    let Ok(server) = TcpStream::connect(local).await else {
        reset(&client);
        return;
    };
    // Failures only cost latency.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut inward = tokio::spawn(pump(
        client_read,
        server_write,
        Direction::Inward,
        generation,
        weather.clone(),
    ));
    let mut outward = tokio::spawn(pump(
        server_read,
        client_write,
        Direction::Outward,
        generation,
        weather.clone(),
    ));
    tokio::select! {
        // A closed direction leaves the other one open until it closes as well.
        () = async { let _ = (&mut inward).await; let _ = (&mut outward).await; } => {}
        _ = weather.wait_for(|weather| generation < weather.reset_below) => {
            inward.abort();
            outward.abort();
        }
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    generation: u64,
    mut weather: watch::Receiver<Weather>,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let open = weather
            .wait_for(|weather| !weather.holds(direction, generation))
            .await;
        let Ok(delay) = open.map(|weather| weather.delay) else {
            return;
        };
        sleep(delay).await;
        if to.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    // The other side may be gone already.
    let _ = to.shutdown().await;
}

/// Makes the connection end with a reset, as one to a port without a listener does.
fn reset(stream: &TcpStream) {
    // A failure means that the connection is gone already.
    let _ = stream.set_zero_linger();
}

//! Builder and handle of the simulated platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use super::actor::{self, MAILBOX, Message};
use super::http;
use super::model::{TaskAction, TaskRef, Worker};
use super::state::State;
use crate::error::StandinError;

/// Lag of usage reports by default.
const DEFAULT_LAG: Duration = Duration::from_secs(5);

/// Simulated platform.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Starts a builder without workers, with a lag of 5 s and a free port on loopback.
    ///
    /// # Examples
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), chestnutfork_standin::StandinError> {
    /// let platform = chestnutfork_standin::Platform::builder().start().await?;
    /// assert!(platform.actions().await?.is_empty());
    /// platform.shutdown().await;
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn builder() -> PlatformBuilder {
        PlatformBuilder {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            lag: DEFAULT_LAG,
            workers: Vec::new(),
        }
    }
}

/// Builder of a simulated platform.
#[derive(Clone, Debug)]
pub struct PlatformBuilder {
    listen: SocketAddr,
    lag: Duration,
    workers: Vec<Worker>,
}

impl PlatformBuilder {
    /// Sets the listening address.
    #[must_use]
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the lag of usage reports.
    #[must_use]
    pub fn lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Adds a worker.
    #[must_use]
    pub fn worker(mut self, worker: Worker) -> Self {
        self.workers.push(worker);
        self
    }

    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// Fails if the listening address cannot be bound.
    pub async fn start(self) -> Result<PlatformHandle, StandinError> {
        let bound = async {
            let listener = TcpListener::bind(self.listen).await?;
            let address = listener.local_addr()?;
            Ok((listener, address))
        };
        let (listener, address) = bound.await.map_err(|source| StandinError::Bind {
            address: self.listen,
            source,
        })?;
        let state = State::new(Instant::now(), self.lag, self.workers);
        let (core, inbox) = mpsc::channel(MAILBOX);
        tokio::spawn(actor::run(state, inbox));
        let (stop, stopped) = oneshot::channel();
        let server = tokio::spawn(http::serve(listener, core.clone(), stopped));
        Ok(PlatformHandle {
            address,
            core,
            stop,
            server,
        })
    }
}

/// Handle of a running platform.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    core: mpsc::Sender<Message>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl PlatformHandle {
    /// Returns the address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces that a worker leaves; an unknown worker is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the platform has stopped.
    pub async fn leave(&self, worker: &str, leaves_in: Duration) -> Result<(), StandinError> {
        let worker = worker.to_owned();
        let answer = self.ask(|reply| Message::Leave(worker, leaves_in, reply)).await;
        answer.map(drop)
    }

    /// Returns the actions on tasks so far.
    ///
    /// # Errors
    ///
    /// Fails if the platform has stopped.
    pub async fn actions(&self) -> Result<Vec<(TaskRef, TaskAction)>, StandinError> {
        self.ask(Message::Actions).await
    }

    /// Stops accepting connections.
    pub async fn shutdown(self) {
        // A server that has already ended needs no message.
        self.stop.send(()).ok();
        self.server.await.ok();
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Result<T, StandinError> {
        let (tx, rx) = oneshot::channel();
        let sent = self.core.send(message(tx)).await;
        sent.map_err(|_| StandinError::Stopped)?;
        rx.await.map_err(|_| StandinError::Stopped)
    }
}

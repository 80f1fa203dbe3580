//! Builder and handle of a simulated target.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::actor::{Actor, MAILBOX, Message, Outside};
use super::announce::Announcer;
use super::behaviour::{Behaviour, BehaviourChange};
use super::http::{self, Shared};
use super::journal::Journal;
use super::state::State;
use crate::error::StandinError;

/// Time that a shutdown waits for running tasks and open requests by default.
const DEFAULT_GRACE: Duration = Duration::from_secs(30);

/// Simulated target.
#[derive(Debug)]
pub struct Target;

impl Target {
    /// Starts a builder with 8 slots, speed 1 and a free port on loopback.
    ///
    /// # Examples
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), chestnutfork_standin::StandinError> {
    /// let target = chestnutfork_standin::Target::builder("t1").slots(4).start().await?;
    /// assert!(target.journal().await?.entries.is_empty());
    /// target.shutdown().await?;
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn builder(name: impl Into<String>) -> TargetBuilder {
        TargetBuilder {
            name: name.into(),
            pool: "main".to_owned(),
            slots: 8,
            seed: 0,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            agent: None,
            token: String::new(),
            grace: DEFAULT_GRACE,
            behaviour: Behaviour::default(),
        }
    }
}

/// Builder of a simulated target.
#[derive(Clone, Debug)]
pub struct TargetBuilder {
    name: String,
    pool: String,
    slots: u32,
    seed: u64,
    listen: SocketAddr,
    agent: Option<SocketAddr>,
    token: String,
    grace: Duration,
    behaviour: Behaviour,
}

impl TargetBuilder {
    /// Sets the pool that the target announces.
    #[must_use]
    pub fn pool(mut self, pool: impl Into<String>) -> Self {
        self.pool = pool.into();
        self
    }

    /// Sets the number of tasks that run at once.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the divisor of run times.
    #[must_use]
    pub fn speed(mut self, speed: f64) -> Self {
        self.behaviour.speed = speed;
        self
    }

    /// Sets the whole behaviour at the start.
    #[must_use]
    pub fn behaviour(mut self, behaviour: Behaviour) -> Self {
        self.behaviour = behaviour;
        self
    }

    /// Sets the seed of the jitter.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the listening address.
    #[must_use]
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the agent to which the target announces itself; without one it announces nothing.
    #[must_use]
    pub fn agent(mut self, address: SocketAddr) -> Self {
        self.agent = Some(address);
        self
    }

    /// Sets the bearer token of announcements.
    #[must_use]
    pub fn token(mut self, token: impl Into<String>) -> Self {
        self.token = token.into();
        self
    }

    /// Sets the longest time that a shutdown waits for running tasks and open requests.
    #[must_use]
    pub fn grace(mut self, grace: Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Starts the target.
    ///
    /// # Errors
    ///
    /// Fails if the listening address cannot be bound.
    pub async fn start(self) -> Result<TargetHandle, StandinError> {
        let bound = async {
            let listener = TcpListener::bind(self.listen).await?;
            let address = listener.local_addr()?;
            Ok((listener, address))
        };
        let (listener, address) = bound.await.map_err(|source| StandinError::Bind {
            address: self.listen,
            source,
        })?;
        Ok(self.spawn(listener, address))
    }

    fn spawn(self, listener: TcpListener, address: SocketAddr) -> TargetHandle {
        let journal = Journal::new(
            self.name.clone(),
            self.pool.clone(),
            self.slots,
            self.behaviour.speed,
        );
        let state = State::new(Instant::now(), self.seed, self.behaviour, journal);
        let (outside_tx, outside) = watch::channel(Outside {
            behaviour: self.behaviour,
            silent_through: 0,
        });
        let (opened_tx, opened) = watch::channel(0);
        let (core, inbox) = mpsc::channel(MAILBOX);
        tokio::spawn(Actor::new(state, outside_tx, opened).run(inbox));
        let shared = Shared {
            name: Arc::from(self.name.as_str()),
            core: core.clone(),
            outside: outside.clone(),
        };
        let (stop, stopped) = oneshot::channel();
        let server = tokio::spawn(http::serve(listener, shared, opened_tx, stopped));
        let farewell = self.agent.map(|agent| {
            let announcer = Announcer {
                target: self.name.clone(),
                pool: self.pool.clone(),
                slots: self.slots,
                address,
                agent,
                token: self.token.clone(),
            };
            let (tx, rx) = oneshot::channel();
            tokio::spawn(announcer.run(outside, rx));
            tx
        });
        TargetHandle {
            name: self.name,
            address,
            grace: self.grace,
            core,
            stop,
            server,
            farewell,
        }
    }
}

/// Handle of a running target.
#[derive(Debug)]
pub struct TargetHandle {
    name: String,
    address: SocketAddr,
    grace: Duration,
    core: mpsc::Sender<Message>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
    farewell: Option<oneshot::Sender<oneshot::Sender<()>>>,
}

impl TargetHandle {
    /// Returns the name of the target.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a copy of the journal.
    ///
    /// # Errors
    ///
    /// Fails if the target has stopped.
    pub async fn journal(&self) -> Result<Journal, StandinError> {
        self.ask(Message::Journal).await
    }

    /// Changes the behaviour.
    ///
    /// # Errors
    ///
    /// Fails if the target has stopped.
    pub async fn set_behaviour(&self, change: BehaviourChange) -> Result<(), StandinError> {
        self.ask(|reply| Message::Change(change, reply)).await
    }

    /// Announces leaving, waits for running tasks, stops, and returns the final journal.
    ///
    /// The wait is bounded by the grace time of the builder; a hanging task is abandoned after it.
    ///
    /// # Errors
    ///
    /// Fails if the target has stopped before.
    pub async fn shutdown(mut self) -> Result<Journal, StandinError> {
        let leave = BehaviourChange {
            leaving: Some(true),
            ..BehaviourChange::default()
        };
        self.set_behaviour(leave).await?;
        if let Some(farewell) = self.farewell.take() {
            let (tx, rx) = oneshot::channel();
            farewell.send(tx).ok();
            rx.await.ok();
        }
        let grace = self.grace;
        // An elapsed grace time abandons what still runs.
        timeout(grace, self.ask(Message::WaitIdle)).await.ok();
        let journal = self.journal().await?;
        let Self { stop, mut server, .. } = self;
        stop.send(()).ok();
        if timeout(grace, &mut server).await.is_err() {
            server.abort();
        }
        Ok(journal)
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Result<T, StandinError> {
        let (tx, rx) = oneshot::channel();
        let sent = self.core.send(message(tx)).await;
        sent.map_err(|_| StandinError::Stopped)?;
        rx.await.map_err(|_| StandinError::Stopped)
    }
}

//! Stand-ins for workers: an HTTP server each, a proxy before it, and the actor behind it.

use std::net::SocketAddr;

use bytes::Bytes;
use chestnutfork_net::{Body, HttpClient, HttpHandler, HttpServer};
use chestnutfork_worker::Reply;
use hyper::{Request, Response};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot, watch};

use crate::announcements::Route;
use crate::dialect::{self, Announced, WorkerCall};
use crate::error::SoakError;
use crate::plan::Restart;
use crate::proxy::{Proxy, Weather, listen};
use crate::seen::Seen;
use crate::worker_actor::State;

/// Port of the server behind the proxy of a worker.
const INNER_PORT: u16 = 8_081;

/// How a worker treats its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    Sound,
    Failing,
    Slow,
    Hanging,
    Mute,
}

#[derive(Debug)]
pub(crate) enum WorkerMessage {
    Call(WorkerCall, oneshot::Sender<Option<Reply>>),
    /// An order that this incarnation received and whose caller has given up is carried out late.
    Late(WorkerCall, u64),
    Mood(Mood),
    Crash,
    Restart(Restart),
    /// Changes the number of runs that the worker says it has room for; it starts more if told to.
    Capacity(usize),
    Leave,
    /// An announcement was acknowledged.
    Acknowledged(Announced),
}

/// Hands calls of the agent to the actor.
#[derive(Clone, Debug)]
struct Handler {
    tx: mpsc::UnboundedSender<WorkerMessage>,
}

impl HttpHandler for Handler {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let Some(call) = dialect::read_call(&req) else {
            return dialect::respond(None);
        };
        let (reply, answer) = oneshot::channel();
        // A worker that has ended answers nothing, like one that drops the call.
        drop(self.tx.send(WorkerMessage::Call(call, reply)));
        match answer.await {
            Ok(reply) => dialect::respond(reply),
            Err(_) => std::future::pending().await,
        }
    }
}

/// Running worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) tx: mpsc::UnboundedSender<WorkerMessage>,
    _server: HttpServer,
    _proxy: Proxy,
}

impl Worker {
    /// Starts a worker that announces itself to its agent.
    pub(crate) async fn start(
        index: usize,
        address: SocketAddr,
        agent: SocketAddr,
        seed: u64,
        ledger: mpsc::UnboundedSender<Seen>,
        http: HttpClient,
    ) -> Result<Self, SoakError> {
        let inner = SocketAddr::new(address.ip(), INNER_PORT);
        let failed = |source| SoakError::Listen {
            address: inner.to_string(),
            source,
        };
        // The calls pass a proxy, which resets them when the worker crashes.
        let socket = listen(inner).await?;
        let (weather, rx) = watch::channel(Weather::default());
        let proxy = Proxy::start(address, inner, rx).await?;
        let (tx, rx) = mpsc::unbounded_channel();
        let server = HttpServer::builder(socket).serve(Handler { tx: tx.clone() });
        let server = server.map_err(failed)?;
        let rng = ChaCha8Rng::seed_from_u64(seed ^ index as u64);
        let route = Route { agent, address, http };
        tokio::spawn(State::new(index, rng, ledger, tx.downgrade(), route, weather).run(rx));
        Ok(Self {
            tx,
            _server: server,
            _proxy: proxy,
        })
    }
}

//! HTTP server: accepting connections within the budget of the process.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::connection::{ConnectionConfig, serve_connection};
use super::message::Body;
use super::refusal::RefusedConnections;
use crate::budget::{BudgetEnded, ProcessLimits, RECEIVE_BUFFER_BYTES, RequestBudget};
use crate::metrics::Metrics;

/// Delay after a failed accept, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of a decoded body relative to the body: its text is copied once into the decoded form and once more when that is
/// converted to the form of the role.
const DEFAULT_DECODED_FACTOR: usize = 2;

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a body in bytes; a larger one is answered with 413.
    pub max_body: usize,
    /// Maximum size of a head in bytes, of which 8 KiB to 32 KiB are in force; a larger head is answered with 431. `None`
    /// means the limit of the process.
    pub max_head: Option<usize>,
    /// Limit on the time to receive the header; a slower request is answered with 408 and the connection is closed.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Limit on the time to receive the body; a slower request is answered with 408.
    pub body_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_body: 8 * 1024 * 1024,
            max_head: None,
            idle_timeout: Duration::from_secs(20),
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
        }
    }
}

/// Handler of requests whose body has been received completely.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Response<Body>> + Send;

    /// Returns the response to a request that is refused whatever its body contains, for example for its path or token.
    ///
    /// It is called before the body is read, and must not start anything. By default no request is refused.
    fn refuse(&self, _head: &Parts) -> Option<Response<Body>> {
        None
    }
}

/// Handle to a running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    done: oneshot::Receiver<()>,
    task: JoinHandle<()>,
}

/// Builder of [`HttpServer`].
#[derive(Debug)]
pub struct HttpServerBuilder {
    socket: TcpListener,
    limits: watch::Receiver<HttpLimits>,
    decoded_factor: usize,
    budget: Option<RequestBudget>,
}

impl HttpServer {
    /// Returns a builder for a server on a bound socket.
    #[must_use]
    pub fn builder(socket: TcpListener) -> HttpServerBuilder {
        HttpServerBuilder {
            socket,
            limits: watch::channel(HttpLimits::default()).1,
            decoded_factor: DEFAULT_DECODED_FACTOR,
            budget: None,
        }
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, and waits until requests in progress have been answered or the grace period has
    /// elapsed.
    pub async fn shutdown(self, grace: Duration) {
        let _ = self.stop.send(true);
        let _ = timeout(grace, self.done).await;
        self.task.abort();
    }
}

impl HttpServerBuilder {
    /// Sets the limits on requests.
    #[must_use]
    pub fn limits(mut self, limits: HttpLimits) -> Self {
        self.limits = watch::channel(limits).1;
        self
    }

    /// Sets limits that may change while the server runs. The size of heads applies to new connections, the other limits
    /// to each request.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{HttpLimits, HttpServer};
    /// use tokio::net::TcpListener;
    /// use tokio::sync::watch;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let (limits, latest_limits) = watch::channel(HttpLimits::default());
    /// let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let builder = HttpServer::builder(socket).changing_limits(latest_limits);
    /// limits.send_replace(HttpLimits { max_body: 1_024, ..HttpLimits::default() });
    /// # let _ = builder;
    /// # });
    /// ```
    #[must_use]
    pub fn changing_limits(mut self, limits: watch::Receiver<HttpLimits>) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the budget that the server shares with the other servers of the process.
    ///
    /// Without one, the server has a budget of its own with the default limits.
    #[must_use]
    pub fn budget(mut self, budget: RequestBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Sets the size of a decoded body relative to the body, which is charged to the budget with it.
    #[must_use]
    pub fn decoded_factor(mut self, factor: usize) -> Self {
        self.decoded_factor = factor;
        self
    }

    /// Starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no local address.
    pub fn serve<H: HttpHandler>(self, handler: H) -> std::io::Result<HttpServer> {
        let address = self.socket.local_addr()?;
        let budget = self
            .budget
            .unwrap_or_else(|| RequestBudget::start(ProcessLimits::default(), Metrics::disabled()));
        // Accepted sockets take over the size. A failure leaves the size that the system chooses.
        let _ = SockRef::from(&self.socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let (stop, stopped) = watch::channel(false);
        let (done_tx, done) = oneshot::channel();
        let task = tokio::spawn(async move {
            let server = ConnectionConfig {
                limits: self.limits,
                decoded_factor: self.decoded_factor,
                max_head: budget.limits().head_bytes(),
                largest_body: budget.limits().max_request_bytes() / (1 + self.decoded_factor),
                handler,
            };
            accept_loop(self.socket, budget, server, stopped).await;
            let _ = done_tx.send(());
        });
        Ok(HttpServer {
            address,
            stop,
            done,
            task,
        })
    }
}

async fn accept_loop<H: HttpHandler>(
    socket: TcpListener,
    budget: RequestBudget,
    server: ConnectionConfig<H>,
    mut stopped: watch::Receiver<bool>,
) {
    // Each connection task owns a sender, so the channel closes when the last connection ends.
    let (guard, mut all_closed) = mpsc::channel::<Infallible>(1);
    let mut refused = RefusedConnections::new(budget.limits().max_connections());
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Accepting pauses until another connection has been closed for this one, or this one is refused.
        match budget.open().await {
            Ok(Some(budgeted)) => {
                let connection = serve_connection(stream, budgeted, server.clone(), stopped.clone());
                let guard = guard.clone();
                tokio::spawn(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Ok(None) => refused.refuse(stream),
            Err(BudgetEnded) => break,
        }
    }
    drop(socket);
    drop(guard);
    all_closed.recv().await;
}

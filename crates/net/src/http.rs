//! HTTP server for callers, operators and targets, and the client towards targets.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_wire::RefusalBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Whole body of a response.
pub type Body = Full<Bytes>;

/// Client towards targets and other HTTP servers.
pub type HttpClient = Client<HttpConnector, Body>;

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest body in bytes; a larger one is answered 413.
    pub max_body: usize,
    /// Time within which the header must arrive.
    pub header_timeout: Duration,
    /// Time within which the body must arrive; a slower one is answered 408.
    pub body_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_body: 8 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
        }
    }
}

/// Answers requests whose body has arrived whole.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Response<Body>> + Send;
}

/// Running HTTP server.
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
    limits: HttpLimits,
}

impl HttpServer {
    /// Starts building a server on a bound socket.
    #[must_use]
    pub fn builder(socket: TcpListener) -> HttpServerBuilder {
        HttpServerBuilder {
            socket,
            limits: HttpLimits::default(),
        }
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, and waits until open requests are answered or the grace period is over.
    pub async fn shutdown(self, grace: Duration) {
        let _ = self.stop.send(true);
        let _ = timeout(grace, self.done).await;
        self.task.abort();
    }
}

impl HttpServerBuilder {
    /// Sets the bounds on requests.
    #[must_use]
    pub fn limits(mut self, limits: HttpLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no local address.
    pub fn serve<H: HttpHandler>(self, handler: H) -> std::io::Result<HttpServer> {
        let address = self.socket.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let (done_tx, done) = oneshot::channel();
        let task = tokio::spawn(async move {
            accept_loop(self.socket, self.limits, handler, stopped).await;
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
    limits: HttpLimits,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream, limits, handler.clone(), &graceful),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(socket);
    graceful.shutdown().await;
}

fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    limits: HttpLimits,
    handler: H,
    graceful: &GracefulShutdown,
) {
    // A failure only costs latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(answer(req, limits, handler).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // An error here is the caller's connection failing; there is nobody left to tell.
        let _ = connection.await;
    });
}

async fn answer<H: HttpHandler>(req: Request<Incoming>, limits: HttpLimits, handler: H) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let collected = timeout(limits.body_timeout, Limited::new(body, limits.max_body).collect()).await;
    match collected {
        Ok(Ok(body)) => handler.handle(Request::from_parts(parts, body.to_bytes())).await,
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {} bytes; split the job", limits.max_body);
            json_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                &RefusalBody::plain("body_too_large", message),
            )
        }
        Ok(Err(error)) => {
            let message = format!("the body is incomplete: {error}; send the request again");
            json_response(
                StatusCode::BAD_REQUEST,
                &RefusalBody::plain("body_incomplete", message),
            )
        }
        Err(_) => {
            let message = "the body did not arrive in time; send the request again";
            json_response(
                StatusCode::REQUEST_TIMEOUT,
                &RefusalBody::plain("body_timeout", message),
            )
        }
    }
}

/// Builds a JSON response.
///
/// # Examples
///
/// ```
/// let response = chestnutfork_net::json_response(hyper::StatusCode::OK, &["a"]);
/// assert_eq!(response.status(), 200);
/// ```
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, hyper::header::HeaderValue::from_static("1"));
    }
    response
}

/// Returns the bearer token of a request.
///
/// # Examples
///
/// ```
/// let req = hyper::Request::builder().header("authorization", "Bearer abc").body(()).unwrap();
/// assert_eq!(chestnutfork_net::bearer_token(&req), Some("abc"));
/// ```
pub fn bearer_token<B>(req: &Request<B>) -> Option<&str> {
    req.headers()
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Builds a client that never sends a request twice.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let client = chestnutfork_net::http_client(Duration::from_secs(1));
/// # let _ = client;
/// ```
#[must_use]
pub fn http_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    // By default the client repeats a request whose reused connection closed; that could start a task twice.
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

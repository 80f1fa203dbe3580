//! HTTP server for callers, operators and targets, and the HTTP client.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
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
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Buffered body of a request or response.
pub type Body = Full<Bytes>;

/// HTTP client for targets and other servers.
pub type HttpClient = Client<HttpConnector, Body>;

/// Delay after a failed accept, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limit on the bytes of an oversized body that are read and discarded, so that the caller receives the response; a
/// caller that sends more may see a connection reset instead.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a body in bytes; a larger one is answered with 413.
    pub max_body: usize,
    /// Limit on the time to receive the header; a slower request is answered with 408 and the connection is closed.
    pub header_timeout: Duration,
    /// Limit on the time to receive the body; a slower request is answered with 408.
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

/// Handler of requests whose body has been received completely.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Response<Body>> + Send;
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
    limits: HttpLimits,
}

impl HttpServer {
    /// Returns a builder for a server on a bound socket.
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
    // Each connection task owns a sender, so the channel closes when the last connection ends.
    let (guard, mut all_closed) = mpsc::channel::<Infallible>(1);
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, limits, handler.clone(), stopped.clone());
                let guard = guard.clone();
                tokio::spawn(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(socket);
    drop(guard);
    all_closed.recv().await;
}

/// Serves a connection until it closes; on shutdown, the request in progress is completed first.
async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    limits: HttpLimits,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) {
    // A failure affects only latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handle_request(req, limits, handler).await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let stop = async {
        // An error means that the server has been dropped, which also shuts down the connection.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = stop => None,
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    // Any other error is a failure of the caller's connection, or hyper has answered it with 400 or 431.
    if ended.is_err_and(|error| error.is_timeout()) {
        reject_slow_header(connection.into_parts().io.into_inner()).await;
    }
}

/// Sends 408 to a caller whose header did not arrive in time, because hyper closes the connection without a response.
async fn reject_slow_header(mut stream: TcpStream) {
    let message = "the header did not arrive in time; send the request again";
    let body = RefusalBody::not_run("header_timeout", message);
    let body = serde_json::to_string(&body).unwrap_or_default();
    let response = format!(
        "HTTP/1.1 408 Request Timeout\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    // Errors are ignored, because the caller may have disconnected. The response fits into the empty socket buffer, so
    // the write does not block.
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.shutdown().await;
}

async fn handle_request<H: HttpHandler>(
    req: Request<Incoming>,
    limits: HttpLimits,
    handler: H,
) -> Response<Body> {
    let (parts, mut body) = req.into_parts();
    let collected = timeout(
        limits.body_timeout,
        Limited::new(&mut body, limits.max_body).collect(),
    )
    .await;
    match collected {
        Ok(Ok(body)) => handler.handle(Request::from_parts(parts, body.to_bytes())).await,
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let _ = timeout(limits.body_timeout, discard_body(&mut body)).await;
            let message = format!("the body exceeds {} bytes; split the job", limits.max_body);
            json_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                &RefusalBody::not_run("body_too_large", message),
            )
        }
        Ok(Err(error)) => {
            let message = format!("the body is incomplete: {error}; send the request again");
            json_response(
                StatusCode::BAD_REQUEST,
                &RefusalBody::not_run("body_incomplete", message),
            )
        }
        Err(_) => {
            let message = "the body did not arrive in time; send the request again";
            json_response(
                StatusCode::REQUEST_TIMEOUT,
                &RefusalBody::not_run("body_timeout", message),
            )
        }
    }
}

/// Reads and discards the rest of an oversized body, up to [`MAX_DISCARDED_BYTES`].
///
/// Closing a connection with unread data resets it, and the caller may then lose the response that states the reason.
async fn discard_body(body: &mut Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > MAX_DISCARDED_BYTES {
            return;
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

/// Builds a client that never retries a request by itself.
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
    // By default, the client retries a request when a reused connection is closed; that could start a task twice.
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

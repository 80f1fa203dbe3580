//! HTTP server on loopback with clients that violate the protocol or its limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_net::{Body, HttpHandler, HttpLimits, HttpServer, json_response};
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time limit that no request of these tests exceeds.
const LONG_TIMEOUT: Duration = Duration::from_hours(1);
/// Time limit that a test lets expire.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Handler that responds with the length of the body once the gate is open.
#[derive(Clone, Debug)]
struct BodyLength {
    gate: watch::Receiver<bool>,
    /// Number of requests whose body has been received.
    received: Arc<AtomicUsize>,
}

impl HttpHandler for BodyLength {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        self.received.fetch_add(1, Ordering::Relaxed);
        let mut gate = self.gate.clone();
        gate.wait_for(|open| *open).await.unwrap();
        json_response(StatusCode::OK, &req.body().len())
    }
}

async fn serve(limits: HttpLimits) -> HttpServer {
    let (open, gate) = watch::channel(true);
    // The receiver keeps the last value, so the gate stays open.
    drop(open);
    serve_with(limits, gate, Arc::default()).await
}

async fn serve_with(
    limits: HttpLimits,
    gate: watch::Receiver<bool>,
    received: Arc<AtomicUsize>,
) -> HttpServer {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handler = BodyLength { gate, received };
    HttpServer::builder(socket).limits(limits).serve(handler).unwrap()
}

fn limits() -> HttpLimits {
    HttpLimits {
        max_body: 1_024,
        header_timeout: LONG_TIMEOUT,
        idle_timeout: LONG_TIMEOUT,
        body_timeout: LONG_TIMEOUT,
        ..HttpLimits::default()
    }
}

async fn connect(server: &HttpServer) -> TcpStream {
    TcpStream::connect(server.address()).await.unwrap()
}

/// Sends bytes and reads until the server closes the connection.
async fn exchange(server: &HttpServer, request: &[u8]) -> String {
    let mut stream = connect(server).await;
    stream.write_all(request).await.unwrap();
    read_all(stream).await
}

async fn read_all(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    String::from_utf8(response).unwrap()
}

/// Sends a well-formed request on a new connection and checks the response.
async fn assert_serves(server: &HttpServer) {
    let request = b"POST / HTTP/1.1\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc";
    let response = exchange(server, request).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("\r\n\r\n3"), "{response}");
}

/// Guards against a server that hangs or crashes when it receives bytes that are not HTTP.
#[tokio::test]
async fn server_refuses_bytes_that_are_not_http() {
    let server = serve(limits()).await;
    let requests: [&[u8]; 4] = [
        b"NONSENSE\r\n\r\n",
        b"\x16\x03\x01\x00\x05hello\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST / HTTP/1.1\r\ncontent-length: many\r\n\r\n",
    ];
    for request in requests {
        let response = exchange(&server, request).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    }
    assert_serves(&server).await;
}

/// Guards against unbounded memory use by a request with too many headers.
#[tokio::test]
async fn server_refuses_oversized_header() {
    let server = serve(limits()).await;
    let mut request = b"GET / HTTP/1.1\r\n".to_vec();
    for number in 0..200 {
        request.extend_from_slice(format!("x-{number}: 1\r\n").as_bytes());
    }
    request.extend_from_slice(b"\r\n");
    let response = exchange(&server, &request).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert_serves(&server).await;
}

/// Guards against unbounded memory use by a large body, of declared length or chunked, and against a connection reset
/// that hides the response from a caller that is still sending.
#[tokio::test]
async fn server_refuses_oversized_body() {
    let server = serve(limits()).await;
    let body = "x".repeat(16 * 1024 * 1024);
    let length = body.len();
    let declared = format!("POST / HTTP/1.1\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
    let chunked = format!(
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
    );
    for request in [declared, chunked] {
        let response = exchange(&server, request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        assert!(response.contains("\"code\":\"body_too_large\""), "{response}");
    }
    assert_serves(&server).await;
}

/// Guards against a truncated body that is passed to the handler as complete.
#[tokio::test]
async fn server_refuses_incomplete_body() {
    let server = serve(limits()).await;
    let mut stream = connect(&server).await;
    let request = b"POST / HTTP/1.1\r\ncontent-length: 100\r\n\r\nabc";
    stream.write_all(request).await.unwrap();
    stream.shutdown().await.unwrap();
    let response = read_all(stream).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("\"code\":\"body_incomplete\""), "{response}");
    assert_serves(&server).await;
}

/// Guards against a header that never ends and keeps a connection open indefinitely.
#[tokio::test]
async fn server_refuses_slow_header() {
    let limits = HttpLimits {
        header_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = serve(limits).await;
    let response = exchange(&server, b"POST / HTTP/1.1\r\ncontent-le").await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("\"code\":\"header_timeout\""), "{response}");
    assert_serves(&server).await;
}

/// Guards against connections without a request that are kept forever.
#[tokio::test]
async fn server_closes_idle_connection() {
    let limits = HttpLimits {
        idle_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = serve(limits).await;
    assert_eq!(read_all(connect(&server).await).await, "");
}

/// Guards against idle connections that are closed by the shorter limit on heads.
#[tokio::test]
async fn server_keeps_idle_connection_beyond_header_limit() {
    let limits = HttpLimits {
        header_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = serve(limits).await;
    let mut idle = connect(&server).await;
    // The response to the slow head shows that the limit has passed.
    let response = exchange(&server, b"POST / HTTP/1.1\r\ncontent-le").await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    let request = b"POST / HTTP/1.1\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc";
    idle.write_all(request).await.unwrap();
    let response = read_all(idle).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against limits of an earlier configuration that stay in force.
#[tokio::test]
async fn server_applies_changed_limits() {
    let (latest, changing) = watch::channel(limits());
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handler = BodyLength {
        gate: watch::channel(true).1,
        received: Arc::default(),
    };
    let server = HttpServer::builder(socket)
        .changing_limits(changing)
        .serve(handler)
        .unwrap();
    assert_serves(&server).await;
    latest.send_replace(HttpLimits {
        max_body: 2,
        ..limits()
    });
    let request = b"POST / HTTP/1.1\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc";
    let response = exchange(&server, request).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

/// Guards against a body that never ends and keeps a request open indefinitely.
#[tokio::test]
async fn server_refuses_slow_body() {
    let limits = HttpLimits {
        body_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = serve(limits).await;
    let request = b"POST / HTTP/1.1\r\ncontent-length: 100\r\nconnection: close\r\n\r\nabc";
    let response = exchange(&server, request).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("\"code\":\"body_timeout\""), "{response}");
    assert_serves(&server).await;
}

/// Guards against a shutdown that aborts a request in progress or waits for idle connections.
#[tokio::test]
async fn shutdown_finishes_requests_in_progress() {
    let (open, gate) = watch::channel(false);
    let received = Arc::new(AtomicUsize::new(0));
    let server = serve_with(limits(), gate, Arc::clone(&received)).await;
    let idle = connect(&server).await;
    let mut busy = connect(&server).await;
    let request = b"POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc";
    busy.write_all(request).await.unwrap();
    while received.load(Ordering::Relaxed) == 0 {
        tokio::task::yield_now().await;
    }
    let stopped = tokio::spawn(server.shutdown(LONG_TIMEOUT));
    assert_eq!(read_all(idle).await, "");
    open.send_replace(true);
    let response = read_all(busy).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    stopped.await.unwrap();
}

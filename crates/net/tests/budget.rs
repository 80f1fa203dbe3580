//! HTTP server on loopback with clients whose requests exceed the budget of the process or are refused from their head.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_net::{
    Body, HttpHandler, HttpLimits, HttpServer, Metrics, ProcessLimits, RequestBudget, json_response,
};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Time limit that no request of these tests exceeds.
const LONG_TIMEOUT: Duration = Duration::from_hours(1);
/// Path that the handler refuses from the head.
const REFUSED_PATH: &str = "/refused";
/// Memory of which a quarter fits one body with its decoded form and not two: 1 MiB.
const MEMORY_MB: usize = 4;
const BODY_BYTES: usize = 256 * 1024;

/// Handler that responds with the length of the body once the gate is open.
#[derive(Clone, Debug)]
struct BodyLength {
    gate: watch::Receiver<bool>,
    /// Receives a message for each request that the handler has.
    running: mpsc::UnboundedSender<()>,
}

impl HttpHandler for BodyLength {
    fn refuse(&self, head: &Parts) -> Option<Response<Body>> {
        (head.uri.path() == REFUSED_PATH).then(|| json_response(StatusCode::NOT_FOUND, &()))
    }

    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let _ = self.running.send(());
        let mut gate = self.gate.clone();
        gate.wait_for(|open| *open).await.unwrap();
        json_response(StatusCode::OK, &req.body().len())
    }
}

async fn serve(limits: ProcessLimits, gate: watch::Receiver<bool>) -> HttpServer {
    serve_reporting(limits, gate).await.0
}

/// Starts a server that reports each request that its handler has.
async fn serve_reporting(
    limits: ProcessLimits,
    gate: watch::Receiver<bool>,
) -> (HttpServer, mpsc::UnboundedReceiver<()>) {
    let (running, reports) = mpsc::unbounded_channel();
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits_on_time = HttpLimits {
        header_timeout: LONG_TIMEOUT,
        body_timeout: LONG_TIMEOUT,
        ..HttpLimits::default()
    };
    let server = HttpServer::builder(socket)
        .limits(limits_on_time)
        .budget(RequestBudget::start(limits, Metrics::disabled()))
        .serve(BodyLength { gate, running })
        .unwrap();
    (server, reports)
}

/// Sends the head of a request and all but `missing` bytes of its body.
async fn send(server: &HttpServer, path: &str, missing: usize) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let head = format!("POST {path} HTTP/1.1\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b' '; BODY_BYTES - missing]).await.unwrap();
    stream
}

/// Reads until the response contains a text or the server closes the connection, and returns what was read.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut response = Vec::new();
    while !String::from_utf8_lossy(&response).contains(text) {
        if stream.read_buf(&mut response).await.unwrap() == 0 {
            break;
        }
    }
    String::from_utf8(response).unwrap()
}

fn open_gate() -> watch::Receiver<bool> {
    // The receiver keeps the last value, so the gate stays open.
    watch::channel(true).1
}

/// Guards against a body over the budget that displaces others without a true answer, and against dropping the request
/// that makes progress instead of the one that does not.
#[tokio::test]
async fn server_evicts_body_without_progress() {
    let server = serve(ProcessLimits::new(MEMORY_MB, 64), open_gate()).await;
    let mut stalled = send(&server, "/", 1).await;
    let mut complete = send(&server, "/", 0).await;
    let answer = read_until(&mut complete, &BODY_BYTES.to_string()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let evicted = read_until(&mut stalled, "never").await;
    assert!(evicted.starts_with("HTTP/1.1 503"), "{evicted}");
    assert!(evicted.contains("\"code\":\"overloaded\""), "{evicted}");
    assert!(evicted.contains("retry-after: 1"), "{evicted}");
}

/// Guards against giving up a request that has been passed to the handler, so that the refusal would not be true.
#[tokio::test]
async fn server_refuses_body_while_others_run() {
    let (open, gate) = watch::channel(false);
    let server = serve(ProcessLimits::new(MEMORY_MB, 64), gate).await;
    let mut running = send(&server, "/", 0).await;
    let mut refused = send(&server, "/", 0).await;
    let answer = read_until(&mut refused, "never").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"code\":\"overloaded\""), "{answer}");
    open.send_replace(true);
    let answer = read_until(&mut running, &BODY_BYTES.to_string()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a process that continues without its budget, and so without accepting connections.
#[test]
fn ended_after_actor_has_gone() {
    let runtime = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap()
    };
    let failed = runtime();
    let budget =
        failed.block_on(async { RequestBudget::start(ProcessLimits::default(), Metrics::disabled()) });
    // The actor ends with its runtime.
    drop(failed);
    runtime().block_on(budget.ended());
}

/// Guards against callers that are disconnected without an answer when all connections have requests in progress.
#[tokio::test]
async fn server_refuses_connection_while_others_run() {
    let (open, gate) = watch::channel(false);
    let (server, mut reports) = serve_reporting(ProcessLimits::new(MEMORY_MB * 4, 4), gate).await;
    let mut running = [send(&server, "/", 0).await, send(&server, "/", 0).await];
    for _ in 0..running.len() {
        reports.recv().await.unwrap();
    }
    let mut refused = send(&server, "/", 0).await;
    let answer = read_until(&mut refused, "never").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    open.send_replace(true);
    for stream in &mut running {
        let answer = read_until(stream, &BODY_BYTES.to_string()).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against idle connections that keep later ones from being served.
#[tokio::test]
async fn server_closes_idle_connection_at_limit() {
    let server = serve(ProcessLimits::new(MEMORY_MB, 4), open_gate()).await;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(server.address()).await.unwrap());
    }
    let mut complete = send(&server, "/", 0).await;
    let answer = read_until(&mut complete, &BODY_BYTES.to_string()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(read_until(&mut idle[0], "never").await, "");
}

/// Guards against reading a body before it is refused for its path or its declared length.
#[tokio::test]
async fn server_refuses_from_head() {
    let server = serve(ProcessLimits::default(), open_gate()).await;
    for (path, length, status) in [(REFUSED_PATH, 10, "404"), ("/", 1_000_000_000, "413")] {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = format!("POST {path} HTTP/1.1\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let refused = read_until(&mut stream, "\r\n\r\n").await;
        assert!(refused.starts_with(&format!("HTTP/1.1 {status}")), "{refused}");
    }
}

/// Guards against a head or empty lines without an end that are buffered.
#[tokio::test]
async fn server_refuses_endless_head() {
    let server = serve(ProcessLimits::default(), open_gate()).await;
    for content in ["x".repeat(16_384), "\r\n".repeat(8_192)] {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(content.as_bytes()).await.unwrap();
        let refused = read_until(&mut stream, "\r\n\r\n").await;
        let expected = refused.starts_with("HTTP/1.1 431") || refused.starts_with("HTTP/1.1 400");
        assert!(expected, "{refused}");
    }
}

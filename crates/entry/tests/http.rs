//! Tests of invalid requests to an entry over real sockets while it serves other callers.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_config::TokenHash;
use chestnutfork_entry::EntryConfig;
use chestnutfork_local::{LocalCluster, LocalConfig, TargetSpec};
use chestnutfork_net::{ClusterSecret, HttpLimits};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const TOKEN: &str = "team token of the test";
const JOBS: &str = "/v1/services/desk/jobs";

/// Status and body of a response.
#[derive(Clone, Debug, PartialEq)]
struct Reply {
    status: u16,
    body: Value,
}

impl Reply {
    fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }
}

/// Sends a request and reads the response until the entry closes the connection.
async fn exchange(entry: SocketAddr, request: &[u8]) -> Reply {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let body = serde_json::from_str(body).unwrap_or(Value::Null);
    Reply { status, body }
}

fn request(method: &str, path: &str, token: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {token}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

async fn submit(entry: SocketAddr, body: &str) -> Reply {
    exchange(entry, &request("POST", JOBS, TOKEN, body)).await
}

/// Starts a local cluster with one entry and one target.
async fn start() -> LocalCluster {
    let document = json!({
        "services": {
            "desk": { "pool": "main", "max_tasks": 3, "max_deadline_ms": 60_000 },
            "closed": { "pool": "main" },
        },
        "teams": {
            "setters": { "token_sha256": TokenHash::of(TOKEN).to_hex(), "quota": 10, "services": ["desk"] }
        },
    });
    let shape = TargetSpec {
        slots: 8,
        speed: 1.0,
        jitter: 0.0,
    };
    let cfg = LocalConfig::builder(document)
        .entries(1)
        .targets(vec![shape])
        .build();
    LocalCluster::start(cfg).await.unwrap()
}

/// Submits a job in a background task.
fn spawn_submission(entry: SocketAddr) -> JoinHandle<Reply> {
    tokio::spawn(async move { submit(entry, r#"{"tasks": [{"payload": {"run_ms": 500}}]}"#).await })
}

fn assert_completed(reply: &Reply) {
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.body["outcome"], "completed", "{}", reply.body);
}

/// Guards against accepting an invalid submission, refusing it without a stable error code, or failing the jobs of
/// other callers.
#[tokio::test]
async fn entry_refuses_malformed_submissions() {
    let set = start().await;
    let entry = set.entry_addresses()[0];
    let running = spawn_submission(entry);
    let deep = "[".repeat(100_000);
    let cases = [
        ("", 400, "bad_job"),
        ("{", 400, "bad_job"),
        ("[]", 400, "bad_job"),
        ("null", 400, "bad_job"),
        ("\u{0}", 400, "bad_job"),
        (&deep, 400, "bad_job"),
        (r#"{"tasks": []}"#, 400, "bad_job"),
        (r#"{"tasks": [{}]}"#, 400, "bad_job"),
        (r#"{"tasks": [{"payload": 1}], "task": 1}"#, 400, "bad_job"),
        (
            r#"{"tasks": [{"payload": 1}], "deadline_ms": -1}"#,
            400,
            "bad_job",
        ),
        (
            r#"{"tasks": [{"payload": 1}], "deadline_ms": 1e99}"#,
            400,
            "bad_job",
        ),
        (
            r#"{"tasks": [{"payload": 1, "declared_ms": "x"}]}"#,
            400,
            "bad_job",
        ),
        (
            r#"{"tasks": [{"payload": 1}, {"payload": 1}, {"payload": 1}, {"payload": 1}]}"#,
            400,
            "bad_job",
        ),
        (r#"{"job_id": "x", "tasks": [{"payload": 1}]}"#, 400, "bad_job_id"),
        (
            r#"{"job_id": "f47ac10b-58cc-4372-a567-0e02b2c3d479", "tasks": [{"payload": 1}]}"#,
            400,
            "bad_job_id",
        ),
        (
            r#"{"tasks": [{"payload": 1, "declared_ms": 18446744073709551615}]}"#,
            422,
            "can_never_run",
        ),
    ];
    for (body, status, code) in cases {
        let reply = submit(entry, body).await;
        let start: String = body.chars().take(100).collect();
        assert_eq!(
            (reply.status, reply.code()),
            (status, code),
            "{start}: {}",
            reply.body
        );
        assert_eq!(reply.body["error"]["outcome"], "not_run");
        assert!(reply.body["error"]["message"].as_str().unwrap().len() > 10);
    }
    assert_completed(&running.await.unwrap());
    set.shutdown().await;
}

/// Guards against requests with a wrong path, method or token that are handled as jobs.
#[tokio::test]
async fn entry_refuses_misdirected_requests() {
    let set = start().await;
    let entry = set.entry_addresses()[0];
    let running = spawn_submission(entry);
    let job = r#"{"tasks": [{"payload": 1}]}"#;
    let cases = [
        ("GET", "/", TOKEN, 404, "not_found"),
        ("GET", JOBS, TOKEN, 404, "not_found"),
        ("POST", "/v1/services/desk", TOKEN, 404, "not_found"),
        ("POST", "/v1/services/%2e%2e/jobs", TOKEN, 404, "unknown_service"),
        ("POST", "/v1/services/absent/jobs", TOKEN, 404, "unknown_service"),
        ("POST", "/v1/services/closed/jobs", TOKEN, 403, "not_allowed"),
        ("POST", JOBS, "", 401, "unauthorized"),
        ("POST", JOBS, "stranger", 401, "unauthorized"),
        ("GET", "/v1/status", "stranger", 401, "unauthorized"),
        ("DELETE", "/v1/services/desk/jobs/x", TOKEN, 400, "bad_job_id"),
        (
            "DELETE",
            "/v1/services/desk/jobs/x",
            "stranger",
            401,
            "unauthorized",
        ),
    ];
    for (method, path, token, status, code) in cases {
        let reply = exchange(entry, &request(method, path, token, job)).await;
        assert_eq!(
            (reply.status, reply.code()),
            (status, code),
            "{method} {path}: {}",
            reply.body
        );
    }
    assert_completed(&running.await.unwrap());
    set.shutdown().await;
}

/// Guards against buffering an oversized submission in full, and against refusing it without a response.
#[tokio::test]
async fn entry_refuses_oversized_submission() {
    let set = start().await;
    let entry = set.entry_addresses()[0];
    let running = spawn_submission(entry);
    let payload = "x".repeat(HttpLimits::default().max_body);
    let reply = submit(entry, &format!(r#"{{"tasks": [{{"payload": "{payload}"}}]}}"#)).await;
    assert_eq!((reply.status, reply.code()), (413, "body_too_large"));
    let line = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(100_000));
    assert_eq!(exchange(entry, line.as_bytes()).await.status, 431);
    assert_eq!(exchange(entry, b"\x16\x03\x01\r\n\r\n").await.status, 400);
    assert_completed(&running.await.unwrap());
    set.shutdown().await;
}

/// Guards against an entry that stops serving callers while other connections are stalled in the middle of a request.
#[tokio::test]
async fn entry_serves_callers_while_others_stall() {
    let set = start().await;
    let entry = set.entry_addresses()[0];
    let mut stalled = Vec::new();
    for number in 0..100 {
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let full_request = request("POST", JOBS, TOKEN, r#"{"tasks": [{"payload": 1}]}"#);
        stream.write_all(&full_request[..number]).await.unwrap();
        stalled.push(stream);
    }
    assert_completed(&spawn_submission(entry).await.unwrap());
    drop(stalled);
    set.shutdown().await;
}

/// Guards against a caller with a token whose body never ends and occupies a connection indefinitely.
#[tokio::test]
async fn entry_refuses_slow_body() {
    let set = start().await;
    let entry = set.entry_addresses()[0];
    let full_request = request("POST", JOBS, TOKEN, r#"{"tasks": []}"#);
    let body = exchange(entry, &full_request[..full_request.len() - 1]).await;
    assert_eq!((body.status, body.code()), (408, "body_timeout"));
    assert_completed(&spawn_submission(entry).await.unwrap());
    set.shutdown().await;
}

/// Guards against slow callers that occupy connections indefinitely, and against closing them without an error code.
#[tokio::test]
async fn entry_refuses_slow_requests() {
    let limits = HttpLimits {
        header_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        ..HttpLimits::default()
    };
    // No control process listens on this address; requests that time out do not need one.
    let cfg = EntryConfig::builder("entry-1", ClusterSecret::new("cluster secret"))
        .control_addresses(vec!["127.0.0.1:1".to_owned()])
        .http_limits(limits)
        .build();
    let entry = chestnutfork_entry::start(cfg).await.unwrap();
    let full_request = request("POST", JOBS, TOKEN, r#"{"tasks": []}"#);
    let header = exchange(entry.address(), &full_request[..30]).await;
    assert_eq!((header.status, header.code()), (408, "header_timeout"));
    // An entry without a configuration knows no token, and does not wait for the body of a caller without one.
    let body = exchange(entry.address(), &full_request[..full_request.len() - 1]).await;
    assert_eq!((body.status, body.code()), (401, "unauthorized"));
    let health = exchange(entry.address(), &request("GET", "/v1/health", "", "")).await;
    assert_eq!(health.status, 200);
    entry.shutdown(Duration::ZERO).await;
}

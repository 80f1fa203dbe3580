//! Checks the simulated target through its HTTP interface.

use std::net::SocketAddr;

use bytes::Bytes;
use chestnutfork_standin::{BehaviourChange, Mode, RunOutcome, Target, TargetHandle};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const JOB: &str = "0192f0c1-2345-7abc-8def-0123456789ab";
const LONG: &str = r#"{"run_ms": 3600000}"#;

async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    task: u16,
    body: &str,
) -> (StatusCode, String) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-chestnutfork-job", JOB)
        .header("x-chestnutfork-task", task)
        .header("x-chestnutfork-credit", 7 + u64::from(task))
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let response = client.request(req).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

async fn post(address: SocketAddr, task: u16, body: &str) -> (StatusCode, String) {
    call(Method::POST, address, "/task", task, body).await
}

async fn set_mode(target: &TargetHandle, mode: Mode) {
    let change = BehaviourChange {
        mode: Some(mode),
        ..BehaviourChange::default()
    };
    target.set_behaviour(change).await.unwrap();
}

/// Waits until the target has seen `count` dispatches.
async fn seen(target: &TargetHandle, count: usize) {
    while target.journal().await.unwrap().entries.len() < count {
        tokio::task::yield_now().await;
    }
}

/// Guards against outputs that cannot be told apart when answers cross.
#[tokio::test]
async fn post_task_echoes_its_identity() {
    let target = Target::builder("t1").start().await.unwrap();
    let (status, body) = post(target.address(), 3, r#"{"run_ms": 0, "echo": "x"}"#).await;
    assert_eq!(status, StatusCode::OK);
    let expected = format!(r#"{{"job":"{JOB}","task":3,"target":"t1","echo":"x"}}"#);
    assert_eq!(body, expected);
    let journal = target.shutdown().await.unwrap();
    assert_eq!(journal.entries.len(), 1);
    assert_eq!(journal.entries[0].credit, 10);
    assert_eq!(journal.entries[0].outcome, Some(RunOutcome::Completed));
}

/// Guards against a bad payload that counts as a start.
#[tokio::test]
async fn post_task_rejects_unreadable_payload() {
    let target = Target::builder("t1").start().await.unwrap();
    for body in ["", "{", r#"{"run": 1}"#] {
        let (status, _) = post(target.address(), 0, body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    }
    assert!(target.shutdown().await.unwrap().entries.is_empty());
}

/// Guards against a target that hides overcommitted slots by running them anyway.
#[tokio::test]
async fn post_task_refuses_beyond_slots() {
    let target = Target::builder("t1").slots(1).start().await.unwrap();
    let address = target.address();
    let first = tokio::spawn(async move { post(address, 0, LONG).await });
    seen(&target, 1).await;
    let (status, _) = post(address, 1, LONG).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    call(Method::DELETE, address, &format!("/task/{JOB}/0"), 0, "").await;
    assert_eq!(first.await.unwrap().0, StatusCode::CONFLICT);
    let journal = target.shutdown().await.unwrap();
    assert!(journal.entries[0].started());
    assert!(!journal.entries[1].started());
}

/// Guards against a stop that answers before the task has ended.
#[tokio::test]
async fn delete_task_ends_running_task() {
    let target = Target::builder("t1").start().await.unwrap();
    let address = target.address();
    let running = tokio::spawn(async move { post(address, 0, LONG).await });
    seen(&target, 1).await;
    let (status, _) = call(Method::DELETE, address, &format!("/task/{JOB}/0"), 0, "").await;
    assert_eq!(status, StatusCode::OK);
    let journal = target.journal().await.unwrap();
    assert_eq!(journal.entries[0].outcome, Some(RunOutcome::Stopped));
    assert_eq!(running.await.unwrap().0, StatusCode::CONFLICT);
}

/// Guards against a dispatch that overtakes its own stop and starts after it.
#[tokio::test]
async fn delete_task_blocks_late_dispatch() {
    let target = Target::builder("t1").start().await.unwrap();
    let (status, _) = call(Method::DELETE, target.address(), &format!("/task/{JOB}/0"), 0, "").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let (status, _) = post(target.address(), 0, LONG).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let journal = target.shutdown().await.unwrap();
    assert_eq!(journal.entries[0].outcome, Some(RunOutcome::Refused));
}

/// Guards against a black hole that runs tasks after all.
#[tokio::test]
async fn set_behaviour_black_hole_fails_tasks() {
    let target = Target::builder("t1").start().await.unwrap();
    set_mode(&target, Mode::BlackHole).await;
    let (status, _) = post(target.address(), 0, LONG).await;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    let journal = target.shutdown().await.unwrap();
    assert_eq!(journal.entries[0].outcome, Some(RunOutcome::Failed));
}

/// Guards against a hang that also stops health checks, which would make it look dead.
#[tokio::test]
async fn set_behaviour_hang_answers_health_only() {
    let target = Target::builder("t1").start().await.unwrap();
    let address = target.address();
    set_mode(&target, Mode::Hang).await;
    let mut task = tokio::spawn(async move { post(address, 0, r#"{"run_ms": 0}"#).await });
    seen(&target, 1).await;
    let (status, _) = call(Method::GET, address, "/health", 0, "").await;
    assert_eq!(status, StatusCode::OK);
    assert!(futures_pending(&mut task).await);
    set_mode(&target, Mode::Normal).await;
    assert_eq!(task.await.unwrap().0, StatusCode::OK);
}

/// Guards against a silent target that reads requests and starts their tasks.
#[tokio::test]
async fn set_behaviour_silent_reads_nothing() {
    let target = Target::builder("t1").start().await.unwrap();
    let address = target.address();
    set_mode(&target, Mode::Silent).await;
    let mut task = tokio::spawn(async move { post(address, 0, r#"{"run_ms": 0}"#).await });
    assert!(futures_pending(&mut task).await);
    assert!(target.journal().await.unwrap().entries.is_empty());
    set_mode(&target, Mode::Normal).await;
    assert_eq!(task.await.unwrap().0, StatusCode::OK);
}

/// Guards against a behaviour request that is accepted with a useless value.
#[tokio::test]
async fn post_behaviour_checks_ranges() {
    let target = Target::builder("t1").start().await.unwrap();
    let path = "/behaviour";
    let (status, body) = call(Method::POST, target.address(), path, 0, r#"{"speed": 0}"#).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(body.contains("speed"), "{body}");
    let (status, _) = call(Method::POST, target.address(), path, 0, r#"{"speed": 2}"#).await;
    assert_eq!(status, StatusCode::OK);
    assert!((target.journal().await.unwrap().speed - 2.0).abs() < f64::EPSILON);
}

/// Guards against a shutdown that abandons running tasks or does not announce itself.
#[tokio::test]
async fn shutdown_announces_and_waits() {
    let (agent, mut announcements) = fake_agent().await;
    let builder = Target::builder("t1").agent(agent).token("secret");
    let target = builder.start().await.unwrap();
    let address = target.address();
    let first = announcements.recv().await.unwrap();
    assert!(first.contains("Bearer secret"), "{first}");
    assert!(first.contains(r#""leaving":false"#), "{first}");
    let running = tokio::spawn(async move { post(address, 0, r#"{"run_ms": 20}"#).await });
    seen(&target, 1).await;
    let journal = target.shutdown().await.unwrap();
    assert_eq!(journal.entries[0].outcome, Some(RunOutcome::Completed));
    assert!(journal.leaving_since_us.is_some());
    assert_eq!(running.await.unwrap().0, StatusCode::OK);
    let mut last = first;
    while let Ok(next) = announcements.try_recv() {
        last = next;
    }
    assert!(last.contains(r#""leaving":true"#), "{last}");
}

/// Polls a task a few times and reports whether it is still pending.
async fn futures_pending<T>(task: &mut tokio::task::JoinHandle<T>) -> bool {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    !task.is_finished()
}

/// Accepts announcements and reports each with its authorization.
async fn fake_agent() -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let tx = tx.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let tx = tx.clone();
                async move {
                    let token = req.headers()["authorization"].to_str().unwrap().to_owned();
                    let body = req.into_body().collect().await.unwrap().to_bytes();
                    let body = String::from_utf8_lossy(&body);
                    tx.send(format!("{token} {body}")).unwrap();
                    Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::new())))
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, rx)
}

//! Fake entry that runs jobs on one target, either correctly or with one deliberate defect.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Defect of the fake entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Behaves correctly.
    None,
    /// Starts the first task twice.
    DoubleStart,
    /// Omits the last task from the answer.
    Partial,
    /// Reports the outcome `completed` although the status of a task is `may_have_run`.
    FalseOutcome,
    /// Swaps the outputs of the first two tasks.
    Crossed,
    /// Answers with the id of another job.
    ForeignId,
    /// Runs the job and then refuses it with the outcome `not_run`.
    FalseRefusal,
    /// Runs the job and reports all tasks as `not_run`.
    FalseNotRun,
    /// Fabricates the outputs without running the tasks.
    FalseCompleted,
    /// Puts a unique reason into each answer, so that the answer to a resubmission differs.
    ChangedAnswer,
    /// Replies with JSON that is neither an answer nor a refusal.
    Unreadable,
}

/// Starts a fake entry that dispatches to the given target, and returns its address.
pub async fn fake_entry(target: SocketAddr, defect: Defect) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |req: Request<Incoming>| async move {
                Ok::<_, Infallible>(answer(req, target, defect).await)
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn answer(req: Request<Incoming>, target: SocketAddr, defect: Defect) -> Response<Full<Bytes>> {
    assert_eq!(req.headers()["authorization"], "Bearer team-token");
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let job: Value = serde_json::from_slice(&body).unwrap();
    let id = job["job_id"].as_str().unwrap();
    let mut tasks = Vec::new();
    for (index, task) in job["tasks"].as_array().unwrap().iter().enumerate() {
        tasks.push(run_task(target, id, index, &task["payload"], defect).await);
        if defect == Defect::DoubleStart && index == 0 {
            run_task(target, id, index, &task["payload"], defect).await;
        }
    }
    match defect {
        Defect::Partial => drop(tasks.pop()),
        Defect::Crossed => tasks.swap(0, 1),
        Defect::FalseNotRun => tasks.fill(json!({"status": "not_run", "reason": "queue"})),
        Defect::FalseOutcome => tasks[0] = json!({"status": "may_have_run", "reason": "lost"}),
        Defect::ChangedAnswer => tasks[0] = json!({"status": "failed", "reason": unique_reason()}),
        Defect::FalseRefusal => {
            let error = json!({"code": "queue_full", "message": "full", "outcome": "not_run"});
            return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": error }));
        }
        Defect::Unreadable => return reply(StatusCode::OK, &json!("what?")),
        Defect::None | Defect::DoubleStart | Defect::ForeignId | Defect::FalseCompleted => {}
    }
    let complete = tasks.iter().all(|task| task["status"] == "completed");
    let outcome = if complete || defect == Defect::FalseOutcome {
        "completed"
    } else {
        "failed"
    };
    let id = if defect == Defect::ForeignId {
        "0192f0c1-2345-7abc-8def-0123456789ab"
    } else {
        id
    };
    reply(
        StatusCode::OK,
        &json!({"job_id": id, "outcome": outcome, "tasks": tasks}),
    )
}

async fn run_task(target: SocketAddr, id: &str, index: usize, payload: &Value, defect: Defect) -> Value {
    if defect == Defect::FalseCompleted {
        let output = json!({"job": id, "task": index, "target": "t", "echo": payload["echo"]});
        return json!({"status": "completed", "output": output});
    }
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{target}/task"))
        .header("x-chestnutfork-job", id)
        .header("x-chestnutfork-task", index)
        .header("x-chestnutfork-credit", 1)
        .body(Full::new(Bytes::from(payload.to_string())))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(req).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    if status != StatusCode::OK {
        return json!({"status": "failed", "reason": String::from_utf8_lossy(&body)});
    }
    let output: Value = serde_json::from_slice(&body).unwrap();
    json!({"status": "completed", "output": output})
}

fn unique_reason() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(body.to_string())));
    *reply.status_mut() = status;
    reply
}

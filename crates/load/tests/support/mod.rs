//! Fake entry that runs jobs on one target, truthfully or with one deliberate lie.

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

/// What the fake entry gets wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
    /// Nothing.
    None,
    /// Starts the first task twice.
    DoubleStart,
    /// Leaves out the last task.
    Partial,
    /// Answers `completed` although a task failed to run.
    FalseOutcome,
    /// Swaps the outputs of the first two tasks.
    Crossed,
    /// Answers with another job's id.
    ForeignId,
    /// Runs the job and refuses it as not run.
    FalseRefusal,
    /// Runs the job and answers that its tasks were not run.
    FalseNotRun,
    /// Makes up an output without running the task.
    FalseCompleted,
    /// Numbers its answers, so that a resubmission gets another one.
    ChangedAnswer,
    /// Replies with something that is neither an answer nor a refusal.
    Unreadable,
}

/// Starts a fake entry in front of a target.
pub async fn fake_entry(target: SocketAddr, lie: Lie) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |req: Request<Incoming>| async move {
                Ok::<_, Infallible>(answer(req, target, lie).await)
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn answer(req: Request<Incoming>, target: SocketAddr, lie: Lie) -> Response<Full<Bytes>> {
    assert_eq!(req.headers()["authorization"], "Bearer team-token");
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let job: Value = serde_json::from_slice(&body).unwrap();
    let id = job["job_id"].as_str().unwrap();
    let mut tasks = Vec::new();
    for (index, task) in job["tasks"].as_array().unwrap().iter().enumerate() {
        tasks.push(run_task(target, id, index, &task["payload"], lie).await);
        if lie == Lie::DoubleStart && index == 0 {
            run_task(target, id, index, &task["payload"], lie).await;
        }
    }
    match lie {
        Lie::Partial => drop(tasks.pop()),
        Lie::Crossed => tasks.swap(0, 1),
        Lie::FalseNotRun => tasks.fill(json!({"status": "not_run", "reason": "queue"})),
        Lie::FalseOutcome => tasks[0] = json!({"status": "may_have_run", "reason": "lost"}),
        Lie::ChangedAnswer => tasks[0] = json!({"status": "failed", "reason": unique()}),
        Lie::FalseRefusal => {
            let error = json!({"code": "queue_full", "message": "full", "outcome": "not_run"});
            return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": error }));
        }
        Lie::Unreadable => return reply(StatusCode::OK, &json!("what?")),
        Lie::None | Lie::DoubleStart | Lie::ForeignId | Lie::FalseCompleted => {}
    }
    let complete = tasks.iter().all(|task| task["status"] == "completed");
    let outcome = if complete || lie == Lie::FalseOutcome {
        "completed"
    } else {
        "failed"
    };
    let id = if lie == Lie::ForeignId {
        "0192f0c1-2345-7abc-8def-0123456789ab"
    } else {
        id
    };
    reply(
        StatusCode::OK,
        &json!({"job_id": id, "outcome": outcome, "tasks": tasks}),
    )
}

async fn run_task(target: SocketAddr, id: &str, index: usize, payload: &Value, lie: Lie) -> Value {
    if lie == Lie::FalseCompleted {
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

fn unique() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(body.to_string())));
    *reply.status_mut() = status;
    reply
}

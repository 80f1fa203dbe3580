//! Measures the overhead that the load generator and the simulated targets add to response times.
//!
//! A reference dispatcher with the true run times and speeds replaces the system under test, and places tasks as the
//! ideal schedule does. The excess of its response ratio over 1 is caused by the caller, the targets and HTTP on
//! loopback. Usage:
//! `cargo run --release -p chestnutfork-load --example calibrate -- examples/scenarios/cooperative-calm.yaml`

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_load::{Endpoints, Scenario, run};
use chestnutfork_standin::{Target, TargetHandle};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

type Http = Client<HttpConnector, Full<Bytes>>;

/// Task that is queued for a slot.
struct QueuedTask {
    job: String,
    index: usize,
    payload: Value,
    reply: oneshot::Sender<Value>,
}

/// Queue of a slot, with the time at which its last task finishes.
struct Slot {
    speed: f64,
    free_at: Instant,
    queue: mpsc::UnboundedSender<QueuedTask>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let path = std::env::args().nth(1).ok_or("usage: calibrate SCENARIO")?;
    let scenario = Scenario::parse(&std::fs::read_to_string(path)?)?;
    let local = scenario.local.clone().ok_or("the scenario has no key `local`")?;
    let mut targets: Vec<TargetHandle> = Vec::new();
    let mut slots = Vec::new();
    for group in local.targets {
        for _ in 0..group.count {
            let builder = Target::builder(format!("target-{}", targets.len()));
            let target = builder.slots(group.slots).speed(group.speed).start().await?;
            for _ in 0..group.slots {
                slots.push(start_slot(target.address(), group.speed));
            }
            targets.push(target);
        }
    }
    let (jobs, receiver) = mpsc::unbounded_channel();
    tokio::spawn(place_tasks(slots, receiver));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let endpoints = Endpoints {
        entries: vec![listener.local_addr()?],
        team_token: String::new(),
    };
    tokio::spawn(serve(listener, jobs));
    let report = run(&scenario, &endpoints, &targets).await?;
    println!("{report}\n  send lag  {:.1} ms at most", report.send_lag_max_ms);
    Ok(())
}

async fn serve(listener: TcpListener, jobs: mpsc::UnboundedSender<Vec<QueuedTask>>) {
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).ok();
        let jobs = jobs.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let jobs = jobs.clone();
            async move { Ok::<_, Infallible>(answer(req, &jobs).await) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(
    req: Request<Incoming>,
    jobs: &mpsc::UnboundedSender<Vec<QueuedTask>>,
) -> Response<Full<Bytes>> {
    let body = req
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let job: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let id = job["job_id"].as_str().unwrap_or_default();
    let mut queued_tasks = Vec::new();
    let mut statuses = Vec::new();
    for (index, task) in job["tasks"].as_array().into_iter().flatten().enumerate() {
        let (reply, status) = oneshot::channel();
        queued_tasks.push(QueuedTask {
            job: id.to_owned(),
            index,
            payload: task["payload"].clone(),
            reply,
        });
        statuses.push(status);
    }
    jobs.send(queued_tasks).ok();
    let mut tasks = Vec::new();
    for status in statuses {
        tasks.push(status.await.unwrap_or_default());
    }
    let complete = tasks.iter().all(|task| task["status"] == "completed");
    let outcome = if complete { "completed" } else { "failed" };
    let answer = json!({"job_id": id, "outcome": outcome, "tasks": tasks});
    Response::new(Full::new(Bytes::from(answer.to_string())))
}

/// Places each task of a job on the slot where it finishes earliest.
async fn place_tasks(mut slots: Vec<Slot>, mut receiver: mpsc::UnboundedReceiver<Vec<QueuedTask>>) {
    while let Some(queued_tasks) = receiver.recv().await {
        let now = Instant::now();
        for task in queued_tasks {
            let run_ms = task.payload["run_ms"].as_f64().unwrap_or_default();
            let end =
                |slot: &Slot| slot.free_at.max(now) + Duration::from_secs_f64(run_ms / 1_000.0 / slot.speed);
            if let Some(slot) = slots.iter_mut().min_by_key(|slot| end(slot)) {
                slot.free_at = end(slot);
                slot.queue.send(task).ok();
            }
        }
    }
}

fn start_slot(target: SocketAddr, speed: f64) -> Slot {
    let (queue, mut queued_tasks) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let http: Http = Client::builder(TokioExecutor::new()).build_http();
        while let Some(task) = queued_tasks.recv().await {
            run_task(&http, target, task).await;
        }
    });
    Slot {
        speed,
        free_at: Instant::now(),
        queue,
    }
}

async fn run_task(http: &Http, target: SocketAddr, task: QueuedTask) {
    let req = Request::post(format!("http://{target}/task"))
        .header("x-chestnutfork-job", task.job)
        .header("x-chestnutfork-task", task.index)
        .header("x-chestnutfork-credit", 0)
        .body(Full::new(Bytes::from(task.payload.to_string())));
    let output = async {
        let response = http.request(req.ok()?).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice::<Value>(&body).ok()
    };
    let status = match output.await {
        Some(output) => json!({"status": "completed", "output": output}),
        None => json!({"status": "failed", "reason": "no usable output"}),
    };
    task.reply.send(status).ok();
}

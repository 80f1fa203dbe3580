//! HTTP server of a target.

use std::convert::Infallible;
use std::str::FromStr;
use std::sync::Arc;

use chestnutfork_types::TaskIndex;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;
use uuid::Uuid;

use super::actor::{Message, Outside};
use super::behaviour::{BehaviourChange, Mode};
use super::payload::{TaskOutput, TaskPayload};
use super::state::{Order, RunEnd};
use crate::reply::{ACCEPT_PAUSE, Reply, json, read_json, text};

/// What every connection needs.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    /// Name of the target.
    pub name: Arc<str>,
    /// Mailbox of the actor.
    pub core: mpsc::Sender<Message>,
    /// Present behaviour.
    pub outside: watch::Receiver<Outside>,
}

/// Accepts connections until `stop` completes, then lets open requests finish.
pub(super) async fn serve(
    listener: TcpListener,
    shared: Shared,
    opened: watch::Sender<u64>,
    mut stop: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let mut number = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stop => break,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        number += 1;
        opened.send_replace(number);
        let watcher = graceful.watcher();
        tokio::spawn(connection(stream, number, shared.clone(), watcher));
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn connection(
    stream: TcpStream,
    number: u64,
    mut shared: Shared,
    watcher: hyper_util::server::graceful::Watcher,
) {
    // A failure to set the option only costs latency.
    stream.set_nodelay(true).ok();
    if heard(&mut shared.outside, number).await.is_none() {
        return;
    }
    let service = service_fn(move |req| {
        let mut shared = shared.clone();
        async move {
            if heard(&mut shared.outside, number).await.is_none() {
                std::future::pending::<()>().await;
            }
            Ok::<_, Infallible>(respond(req, &shared).await)
        }
    });
    let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The peer sees a broken connection itself.
    watcher.watch(conn).await.ok();
}

/// Waits until the connection is not silent; returns `None` once the target is gone.
async fn heard(outside: &mut watch::Receiver<Outside>, number: u64) -> Option<()> {
    let audible = |outside: &Outside| {
        let silent = outside.behaviour.mode == Mode::Silent;
        !silent && number > outside.silent_through
    };
    outside.wait_for(audible).await.ok().map(drop)
}

async fn respond(req: Request<Incoming>, shared: &Shared) -> Reply {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method, parts.as_slice()) {
        (Method::POST, ["task"]) => run_task(req, shared).await,
        (Method::DELETE, ["task", job, task]) => stop_task(job, task, shared).await,
        (Method::GET, ["health"]) => text(StatusCode::OK, "ok"),
        (Method::GET, ["journal"]) => send_journal(shared).await,
        (Method::POST, ["behaviour"]) => change_behaviour(req, shared).await,
        _ => text(
            StatusCode::NOT_FOUND,
            "unknown path; use /task, /health, /journal or /behaviour",
        ),
    }
}

async fn run_task(req: Request<Incoming>, shared: &Shared) -> Reply {
    let (parts, body) = req.into_parts();
    let headers = match TaskHeaders::read(&parts.headers) {
        Ok(headers) => headers,
        Err(message) => return text(StatusCode::BAD_REQUEST, message),
    };
    let payload = match read_json::<TaskPayload>(body).await {
        Ok(payload) => payload,
        Err(message) => return text(StatusCode::BAD_REQUEST, message),
    };
    let order = Order {
        job: headers.job,
        task: headers.task,
        credit: headers.credit,
        payload,
    };
    let (tx, rx) = oneshot::channel();
    if shared.core.send(Message::Start(order, tx)).await.is_err() {
        return stopped();
    }
    match rx.await {
        Ok(end) => task_reply(&shared.name, &headers, end),
        Err(_) => stopped(),
    }
}

fn task_reply(name: &str, headers: &TaskHeaders, end: RunEnd) -> Reply {
    match end {
        RunEnd::Completed { echo } => json(&TaskOutput {
            job: headers.job.to_string().into(),
            task: headers.task,
            target: name.into(),
            echo: echo.into(),
        }),
        RunEnd::Failed { reason } => text(StatusCode::INTERNAL_SERVER_ERROR, reason),
        RunEnd::Stopped => text(StatusCode::CONFLICT, "the task was stopped"),
        RunEnd::NoSlot => not_started("every slot is taken"),
    }
}

async fn stop_task(job: &str, task: &str, shared: &Shared) -> Reply {
    let (Ok(job), Ok(task)) = (Uuid::parse_str(job), task.parse::<TaskIndex>()) else {
        return text(
            StatusCode::BAD_REQUEST,
            "use DELETE /task/{job UUID}/{task index}",
        );
    };
    let (tx, rx) = oneshot::channel();
    if shared.core.send(Message::Stop(job, task, tx)).await.is_err() {
        return stopped();
    }
    match rx.await {
        Ok(0) => text(StatusCode::NOT_FOUND, "the task does not run here"),
        Ok(_) => text(StatusCode::OK, "the task has ended"),
        Err(_) => stopped(),
    }
}

async fn send_journal(shared: &Shared) -> Reply {
    let (tx, rx) = oneshot::channel();
    if shared.core.send(Message::Journal(tx)).await.is_err() {
        return stopped();
    }
    match rx.await {
        Ok(journal) => json(&journal),
        Err(_) => stopped(),
    }
}

async fn change_behaviour(req: Request<Incoming>, shared: &Shared) -> Reply {
    let change = match read_json::<BehaviourChange>(req.into_body()).await {
        Ok(change) => change,
        Err(message) => return text(StatusCode::BAD_REQUEST, message),
    };
    if let Err(message) = change.check() {
        return text(StatusCode::BAD_REQUEST, message);
    }
    let (tx, rx) = oneshot::channel();
    if shared.core.send(Message::Change(change, tx)).await.is_err() {
        return stopped();
    }
    match rx.await {
        Ok(()) => text(StatusCode::OK, "changed"),
        Err(_) => stopped(),
    }
}

/// Headers of a task.
#[derive(Debug)]
struct TaskHeaders {
    job: Uuid,
    task: TaskIndex,
    credit: u64,
}

impl TaskHeaders {
    fn read(headers: &HeaderMap) -> Result<Self, String> {
        Ok(Self {
            job: header(headers, "x-chestnutfork-job")?,
            task: header(headers, "x-chestnutfork-task")?,
            credit: header(headers, "x-chestnutfork-credit")?,
        })
    }
}

fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, String> {
    let value = headers
        .get(name)
        .ok_or_else(|| format!("header {name} is missing"))?;
    let text = value.to_str().map_err(|_| format!("header {name} is not text"))?;
    text.parse()
        .map_err(|_| format!("header {name} has the bad value `{text}`"))
}

/// Refuses a task and says that it has not started.
fn not_started(reason: &str) -> Reply {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let value = HeaderValue::from_static("true");
    reply.headers_mut().insert("x-chestnutfork-not-started", value);
    reply
}

fn stopped() -> Reply {
    text(StatusCode::SERVICE_UNAVAILABLE, "the target has stopped")
}

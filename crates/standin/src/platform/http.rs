//! HTTP server of the platform.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use uuid::Uuid;

use super::actor::Message;
use super::model::{LeaseRequest, TaskAction, TaskRef};
use super::state::Decline;
use crate::reply::{ACCEPT_PAUSE, Reply, json, read_json, text};

/// Body that extends a lease.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Renewal {
    /// New lifetime in milliseconds.
    pub ttl_ms: u64,
}

/// Body that announces the leaving of a worker.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Leaving {
    leaves_in_ms: u64,
}

/// Accepts connections until `stop` completes.
pub(super) async fn serve(
    listener: TcpListener,
    core: mpsc::Sender<Message>,
    mut stop: oneshot::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stop => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let core = core.clone();
        let service = service_fn(move |req| {
            let core = core.clone();
            async move { Ok::<_, Infallible>(respond(req, &core).await) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn respond(req: Request<Incoming>, core: &mpsc::Sender<Message>) -> Reply {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let result = match (method, parts.as_slice()) {
        (Method::GET, ["workers"]) => plain(core, Message::Workers).await,
        (Method::POST, ["workers", worker, "leases"]) => lease(worker, req, core).await,
        (Method::GET, ["workers", worker, "usage"]) => {
            let worker = (*worker).to_owned();
            ask(core, |reply| Message::Usage(worker, reply)).await
        }
        (Method::POST, ["workers", worker, "leave"]) => leave(worker, req, core).await,
        (Method::PUT, ["leases", id]) => renew(id, req, core).await,
        (Method::DELETE, ["leases", id]) => match id.parse() {
            Ok(id) => ask(core, |reply| Message::Release(id, reply)).await,
            Err(_) => Err(bad_path()),
        },
        (Method::POST, ["leases", id, "tasks", job, task, action]) => {
            act([id, job, task, action], core).await
        }
        (Method::GET, ["notices", after]) => match after.parse() {
            Ok(after) => plain(core, |reply| Message::Notices(after, reply)).await,
            Err(_) => Err(bad_path()),
        },
        _ => Err(bad_path()),
    };
    result.unwrap_or_else(|reply| reply)
}

async fn lease(worker: &str, req: Request<Incoming>, core: &mpsc::Sender<Message>) -> Result<Reply, Reply> {
    let request: LeaseRequest = read_json(req.into_body()).await.map_err(bad_body)?;
    let worker = worker.to_owned();
    ask(core, |reply| Message::Lease(worker, request, reply)).await
}

async fn renew(id: &str, req: Request<Incoming>, core: &mpsc::Sender<Message>) -> Result<Reply, Reply> {
    let id = id.parse().map_err(|_| bad_path())?;
    let renewal: Renewal = read_json(req.into_body()).await.map_err(bad_body)?;
    ask(core, |reply| Message::Renew(id, renewal.ttl_ms, reply)).await
}

async fn leave(worker: &str, req: Request<Incoming>, core: &mpsc::Sender<Message>) -> Result<Reply, Reply> {
    let leaving: Leaving = read_json(req.into_body()).await.map_err(bad_body)?;
    let worker = worker.to_owned();
    let leaves_in = Duration::from_millis(leaving.leaves_in_ms);
    ask(core, |reply| Message::Leave(worker, leaves_in, reply)).await
}

async fn act(parts: [&str; 4], core: &mpsc::Sender<Message>) -> Result<Reply, Reply> {
    let [lease, job, task, action] = parts;
    let action = match action {
        "checkpoint" => TaskAction::Checkpoint,
        "throttle" => TaskAction::Throttle,
        "stop" => TaskAction::Stop,
        _ => return Err(bad_path()),
    };
    let task = TaskRef {
        lease: lease.parse().map_err(|_| bad_path())?,
        job: Uuid::parse_str(job).map_err(|_| bad_path())?,
        task: task.parse().map_err(|_| bad_path())?,
    };
    ask(core, |reply| Message::Act(task, action, reply)).await
}

async fn ask<T: Serialize>(
    core: &mpsc::Sender<Message>,
    message: impl FnOnce(oneshot::Sender<Result<T, Decline>>) -> Message,
) -> Result<Reply, Reply> {
    let answer = exchange(core, message).await?;
    answer.map(|value| json(&value)).map_err(declined)
}

async fn plain<T: Serialize>(
    core: &mpsc::Sender<Message>,
    message: impl FnOnce(oneshot::Sender<T>) -> Message,
) -> Result<Reply, Reply> {
    let answer = exchange(core, message).await?;
    Ok(json(&answer))
}

async fn exchange<T>(
    core: &mpsc::Sender<Message>,
    message: impl FnOnce(oneshot::Sender<T>) -> Message,
) -> Result<T, Reply> {
    let stopped = || text(StatusCode::SERVICE_UNAVAILABLE, "the platform has stopped");
    let (tx, rx) = oneshot::channel();
    core.send(message(tx)).await.map_err(|_| stopped())?;
    rx.await.map_err(|_| stopped())
}

fn declined(decline: Decline) -> Reply {
    match decline {
        Decline::UnknownWorker => text(StatusCode::NOT_FOUND, "no worker has this name"),
        Decline::UnknownLease => text(StatusCode::NOT_FOUND, "the lease has expired or never existed"),
        Decline::NoRoom => text(StatusCode::CONFLICT, "the worker has not enough room"),
        Decline::Leaving => text(StatusCode::CONFLICT, "the worker is leaving"),
    }
}

fn bad_path() -> Reply {
    text(
        StatusCode::NOT_FOUND,
        "unknown path; use /workers, /leases/{id} or /notices/{number}",
    )
}

fn bad_body(message: String) -> Reply {
    text(StatusCode::BAD_REQUEST, message)
}

//! The platform's names, in one place: settings, documents, requests of callers and calls to workers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_net::{Body, json_response};
use chestnutfork_types::{JobId, RunOutcome, TaskKey};
use chestnutfork_worker::{CallOutcome, Order, Refusal, Reply, RunList};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::callers::Submission;
use crate::run::Machine;
use crate::seen::Answer;

/// Ports of every machine.
pub(crate) const LINK_PORT: u16 = 7_720;
pub(crate) const CONTROL_PORT: u16 = 8_166;
pub(crate) const CALLER_PORT: u16 = 8_161;
pub(crate) const READY_PORT: u16 = 8_167;

/// Memory of a process in its settings, in MiB, and its descriptors.
pub(crate) const MEMORY_MB: u64 = 64;
const MAX_FDS: u64 = 256;

/// Host and path of the only queue.
const HOST: &str = "desk.example";
const QUEUE: &str = "/q/";
const SERVICE: &str = "desk";

/// Returns the settings of a process.
pub(crate) fn settings(
    machine: &Machine,
    controls: &[Machine],
    worker: Option<SocketAddr>,
    first: bool,
) -> Value {
    let seeds: Vec<String> = controls
        .iter()
        .take(3)
        .map(|seed| seed.public(CONTROL_PORT).to_string())
        .collect();
    json!({
        "node_name": machine.name, "ip": machine.public(0).ip(), "zone": machine.zone,
        "internal_ports": [LINK_PORT, LINK_PORT + 15], "seeds": seeds, "bootstrap": first,
        "listen_addrs": {
            "frontend": machine.public(CALLER_PORT), "readiness": machine.public(READY_PORT),
            "control": machine.public(CONTROL_PORT)
        },
        "data_dir": machine.folder, "app": worker,
        "fault_tolerance": {"machines": controls.len() / 2},
        "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
        "bounds": {"grace_s": 6, "hold_max_ms": 1000, "remote_factor": 1.5}
    })
}

/// Returns the port of a role that is open to others, and the first words of a request there.
pub(crate) fn crowded_port(role: &str) -> (u16, &'static str) {
    match role {
        "entry" => (CALLER_PORT, "POST /q/00000000000000ff"),
        "agent" => (CONTROL_PORT, "PUT /instances/crowd"),
        _ => (CONTROL_PORT, "PUT /config"),
    }
}

/// Returns a configuration, which has a queue of its own for its version.
pub(crate) fn configuration(version: u64) -> Value {
    let route = |name: &str, prefix: &str| {
        json!({"name": name, "host": HOST, "path_prefix": prefix, "timeout_ms": 1500, "target_latency_ms": 60,
               "service": SERVICE, "max_attempts": 3, "stretch_factor": 3.0})
    };
    json!({
        "version": version,
        "routes": [route("r", QUEUE), route("version", &version_queue(version))],
        "services": [{"name": SERVICE, "enforces_capacity": false}]
    })
}

fn version_queue(version: u64) -> String {
    format!("/v{version}/")
}

/// Returns the request for the length of the queue that only this version of the configuration has.
pub(crate) fn get_version_queue(entry: SocketAddr, version: u64) -> Request<Body> {
    let url = format!("http://{entry}{}", version_queue(version));
    let mut request = request(Method::GET, &url, &Value::Null);
    let host = hyper::header::HeaderValue::from_static(HOST);
    request.headers_mut().insert("host", host);
    request
}

pub(crate) fn put_configuration(control: SocketAddr, version: u64) -> Request<Body> {
    request(
        Method::PUT,
        &format!("http://{control}/config"),
        &configuration(version),
    )
}

pub(crate) fn get_configuration(control: SocketAddr) -> Request<Body> {
    request(Method::GET, &format!("http://{control}/config"), &Value::Null)
}

/// Returns the version of a configuration that was read back, if it is what was sent under its number.
pub(crate) fn read_version(body: &[u8]) -> Option<u64> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let version = value["version"].as_u64()?;
    (value == configuration(version)).then_some(version)
}

pub(crate) fn readiness(entry: SocketAddr) -> Request<Body> {
    request(Method::GET, &format!("http://{entry}/ready"), &Value::Null)
}

/// Returns the request that submits a job to an entry.
pub(crate) fn submission(entry: SocketAddr, job: &Submission, patience: Duration) -> Request<Body> {
    let url = format!("http://{entry}{QUEUE}{:016x}", job.id);
    let body = json!({
        "spec": job.spec(), "best_effort": true,
        "steps": [{"count": job.tasks, "cpu": 1000, "mem_mb": 16, "estimate_ms": job.declared.as_millis()}]
    });
    let mut request = request(Method::POST, &url, &body);
    let headers = request.headers_mut();
    headers.insert("host", hyper::header::HeaderValue::from_static(HOST));
    let patience = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
    headers.insert("deadline-ms", patience.into());
    request
}

/// Decodes the answer to a submission.
pub(crate) fn answer(status: StatusCode, body: &[u8]) -> Answer {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match (status, value["state"].as_str()) {
        (StatusCode::OK, Some("completed")) => Answer::Completed,
        (StatusCode::OK, Some("failed")) => Answer::Failed,
        (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => Answer::Refused,
        (StatusCode::NOT_FOUND, _) => Answer::NoRoute,
        _ => Answer::Unclear,
    }
}

/// Name of a worker, which may outlast its incarnations, and the start of the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) name: u64,
    /// Time since the Unix epoch.
    pub(crate) started_at: Duration,
}

/// What a worker tells about itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announced {
    pub(crate) identity: Identity,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) clock: Duration,
    pub(crate) leaving: bool,
    pub(crate) cores: usize,
}

/// Returns the announcement of a worker for its agent.
pub(crate) fn announcement(agent: SocketAddr, worker: SocketAddr, told: &Announced) -> Request<Body> {
    let url = format!("http://{agent}/instances/i-{}", told.identity.name);
    let state = if told.leaving { "draining" } else { "ready" };
    let body = json!({
        "service": SERVICE, "address": worker, "zone": "a", "version": "v1", "slots": told.cores, "state": state,
        "cold_remaining_ms": 0, "capacity": {"cpu": told.cores * 1000, "mem_mb": 4096, "gpu": 0},
        "labels": ["a", "r1-1"], "clock_ms": told.clock.as_millis(), "sequence": told.sequence,
        "born": told.identity.started_at.as_millis()
    });
    request(Method::PUT, &url, &body)
}

/// Returns the withdrawal of a worker that ends.
pub(crate) fn withdrawal(agent: SocketAddr, identity: Identity) -> Request<Body> {
    let url = format!("http://{agent}/instances/i-{}", identity.name);
    request(Method::DELETE, &url, &Value::Null)
}

/// Call of an agent to its worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerCall {
    /// Name of the worker that the agent means.
    pub(crate) name: u64,
    pub(crate) order: Order,
}

/// Reads a call of an agent.
pub(crate) fn read_call(req: &Request<Bytes>) -> Option<WorkerCall> {
    let named = req.headers().get("expect-instance")?.to_str().ok()?;
    let name = named.strip_prefix("i-")?.parse().ok()?;
    let body: Value = serde_json::from_slice(req.body()).ok()?;
    let number = |name: &str| body[name].as_u64();
    let token = number("fencing_token").unwrap_or(0);
    let until = number("until_ms").map_or(Duration::ZERO, Duration::from_millis);
    let order = match req.uri().path() {
        "/run-start" => Order::Start {
            task: task_key(body["task"].as_str()?)?,
            run: number("run_id")?,
            spec: Bytes::from(body["spec"].as_str()?.to_owned()),
            until,
            token,
        },
        "/run-stop" => Order::Stop {
            task: task_key(body["task"].as_str()?)?,
            run: number("run_id")?,
            token,
        },
        "/hold" => Order::RenewLease {
            until: number("until_ms").map(Duration::from_millis),
            last_received_end: number("last_seen").unwrap_or(0),
            wait: Duration::from_millis(number("wait_ms").unwrap_or(0)),
            token,
        },
        _ => return None,
    };
    Some(WorkerCall { name, order })
}

/// Answers a call of an agent; nothing stands for a call to a worker of another name.
pub(crate) fn respond(reply: Option<Reply>) -> Response<Body> {
    let Some(reply) = reply else {
        return json_response(StatusCode::MISDIRECTED_REQUEST, &json!({}));
    };
    let clock = reply.clock.unwrap_or_default().as_millis();
    let started_at = reply.started_at.unwrap_or_default();
    match reply.outcome {
        CallOutcome::LeaseRenewed(held) => {
            json_response(StatusCode::OK, &held_json(&held, clock, started_at))
        }
        CallOutcome::Refused(refusal) => {
            let reason = match refusal {
                Refusal::Fenced => "fence",
                Refusal::StaleRun => "old",
                Refusal::LeaseExpired => "late",
                Refusal::InsufficientCapacity | Refusal::Other => "room",
            };
            json_response(
                StatusCode::CONFLICT,
                &json!({"clock_ms": clock, "reason": reason}),
            )
        }
        _ => json_response(StatusCode::OK, &json!({"clock_ms": clock})),
    }
}

fn held_json(held: &RunList, clock: u128, started_at: Duration) -> Value {
    let running = held.running.iter();
    let running = running.map(|run| json!([task_name(run.task), run.number, "", 100, 0]));
    let ended = held.ended.iter().map(|ended| {
        let how = match ended.outcome {
            RunOutcome::Completed => "done",
            RunOutcome::Failed => "failed",
            RunOutcome::Stopped => "stopped",
            _ => "lapsed",
        };
        json!([ended.number, task_name(ended.run.task), ended.run.number, how, ""])
    });
    json!({
        "clock_ms": clock, "born": started_at.as_millis(), "running": running.collect::<Vec<_>>(), "ended": ended.collect::<Vec<_>>()
    })
}

fn task_name(task: TaskKey) -> String {
    format!("{:016x}.0.{}.{}", task.job, task.step, task.index)
}

fn task_key(name: &str) -> Option<TaskKey> {
    let mut parts = name.split('.');
    let job = JobId::from_str_radix(parts.next()?, 16).ok()?;
    let (_occurrence, step, index) = (parts.next()?, parts.next()?, parts.next()?);
    Some(TaskKey {
        job,
        step: step.parse().ok()?,
        index: index.parse().ok()?,
    })
}

fn request(method: Method, url: &str, body: &Value) -> Request<Body> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = method;
    // The addresses are the soak's own.
    *request.uri_mut() = url.parse().unwrap_or_default();
    let json = hyper::header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    request
}

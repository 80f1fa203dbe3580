//! Evacuation of a failure domain with the processes of the users' platform and workers in the test process.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_net::{Body, HttpClient, HttpHandler, HttpServer, http_client, json_response};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bound in the settings, after which nothing starts in an evacuated domain. It is shorter than that of a deployment, so that the
/// test is.
const EVACUATION_BOUND: Duration = Duration::from_secs(1);
/// Time for which the workers are watched after the bound.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
/// Time limit of every wait; far above what a busy machine needs, so that only a real fault exceeds it.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Run time of each task.
const RUN_TIME: Duration = Duration::from_millis(50);
/// Interval between the submissions of one caller.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(10);
const CALLERS: u64 = 4;

const CONTROLS: u8 = 3;
const ENTRIES: u8 = 2;
/// Failure domains of the workers; that of a worker is also its label.
const WORKER_DOMAINS: [&str; 4] = ["zone a", "zone a", "b", "b"];
const EVACUATED: &str = "zone a";
const EVACUATE_PATH: &str = "/evacuate/zone%20a";

const LINK_PORT: u16 = 7_720;
const OPERATOR_PORT: u16 = 8_166;
const CALLER_PORT: u16 = 8_080;
const READINESS_PORT: u16 = 8_081;
const WORKER_PORT: u16 = 9_000;

/// Number that no other job of this process has.
fn next_job() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

/// Returns the address of a host in a network of this test process.
fn address(host: u8, port: u16) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, high | 0x80, low, host), port))
}

fn control_host(number: u8) -> u8 {
    10 + number
}

fn entry_host(number: u8) -> u8 {
    20 + number
}

fn agent_host(number: usize) -> u8 {
    30 + u8::try_from(number).expect("few agents")
}

#[derive(Debug, Default)]
struct WorkerState {
    /// Tasks in progress, with run numbers and ends.
    running: Vec<(String, u64, Instant)>,
    /// Ends that the agent has not acknowledged.
    ended: Vec<(u64, Value)>,
    last_end: u64,
    starts: Vec<Instant>,
}

/// Worker that completes each task after [`RUN_TIME`].
#[derive(Clone, Debug)]
struct Worker {
    born: Instant,
    state: Arc<Mutex<WorkerState>>,
}

impl Worker {
    fn new() -> Self {
        Self {
            born: Instant::now(),
            state: Arc::default(),
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.born.elapsed().as_millis()).expect("a short test")
    }

    /// Ends the runs that are due, and returns the list of runs if there is an end to report.
    fn list(&self, seen: u64) -> (bool, Value) {
        let mut state = self.state.lock().expect("no test panics with the lock");
        let WorkerState {
            running,
            ended,
            last_end,
            ..
        } = &mut *state;
        ended.retain(|(number, _)| *number > seen);
        let now = Instant::now();
        for (task, run, _) in running.extract_if(.., |(_, _, end)| *end <= now) {
            *last_end += 1;
            ended.push((*last_end, json!([*last_end, task, run, "done", ""])));
        }
        let running: Vec<Value> = running
            .iter()
            .map(|(task, run, _)| json!([task, run, "", 0]))
            .collect();
        let ends: Vec<&Value> = ended.iter().map(|(_, end)| end).collect();
        let list = json!({"clock_ms": self.clock_ms(), "running": running, "ended": ends});
        (!ends.is_empty(), list)
    }

    fn starts_since(&self, since: Instant) -> usize {
        let state = self.state.lock().expect("no test panics with the lock");
        state.starts.iter().filter(|&&at| at >= since).count()
    }
}

impl HttpHandler for Worker {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let body: Value = serde_json::from_slice(req.body()).unwrap_or_default();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run_id"].as_u64().unwrap_or_default();
        match req.uri().path() {
            "/run-start" => {
                let mut state = self.state.lock().expect("no test panics with the lock");
                let now = Instant::now();
                state.starts.push(now);
                state.running.push((task, run, now + RUN_TIME));
            }
            "/run-stop" => {
                let mut state = self.state.lock().expect("no test panics with the lock");
                state
                    .running
                    .retain(|(other, number, _)| (other, *number) != (&task, run));
            }
            "/hold" => {
                let until = Instant::now() + Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
                let seen = body["last_seen"].as_u64().unwrap_or(0);
                loop {
                    let (has_ends, list) = self.list(seen);
                    if has_ends || Instant::now() >= until {
                        return json_response(StatusCode::OK, &list);
                    }
                    sleep(Duration::from_millis(2)).await;
                }
            }
            _ => {}
        }
        json_response(StatusCode::OK, &json!({"clock_ms": self.clock_ms()}))
    }
}

/// Process that is killed when dropped.
struct Role {
    name: &'static str,
    settings: PathBuf,
    child: Child,
}

impl Role {
    fn start(folder: &Path, name: &'static str, host: u8, mut settings: Value) -> Self {
        let node = format!("{name}-{host}");
        let path = folder.join(format!("{node}.json"));
        settings["node_name"] = json!(node);
        settings["ip"] = json!(address(host, 0).ip());
        std::fs::write(&path, settings.to_string()).expect("written");
        let child = spawn(name, &path);
        Self {
            name,
            settings: path,
            child,
        }
    }

    fn kill(&mut self) {
        self.child.kill().expect("runs");
        self.child.wait().expect("a child");
    }

    fn restart(&mut self) {
        self.child = spawn(self.name, &self.settings);
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        // A process that has already exited needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
            let lines: Vec<&str> = log.lines().rev().take(20).collect();
            eprintln!("{}: {lines:#?}", self.settings.display());
        }
    }
}

fn spawn(role: &str, settings: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("a log");
    Command::new(env!("CARGO_BIN_EXE_chestnutfork"))
        .args(["fleet", role])
        .env("CHESTNUTFORK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a duplicate"))
        .stderr(log)
        .spawn()
        .expect("the process starts")
}

struct System {
    controls: Vec<Role>,
    entries: Vec<Role>,
    _agents: Vec<Role>,
    workers: Vec<Worker>,
    _servers: Vec<HttpServer>,
    _callers: JoinSet<()>,
    http: HttpClient,
    _folder: TempDir,
}

impl System {
    /// Starts all processes and callers, and waits until tasks start in each domain.
    async fn start() -> Self {
        let folder = TempDir::new().expect("a folder");
        let http = http_client(Duration::from_secs(1));
        let settings = |zone: &str, listen: Value| {
            let seeds: Vec<SocketAddr> = (0..CONTROLS)
                .map(|number| address(control_host(number), OPERATOR_PORT))
                .collect();
            json!({
                "zone": zone, "listen_addrs": listen, "internal_ports": [LINK_PORT, LINK_PORT + 1], "seeds": seeds,
                "bootstrap": true, "fault_tolerance": {"machines": 1}, "zones": {"zone a": "north", "b": "north"},
                "bounds": {"evacuate_ms": u64::try_from(EVACUATION_BOUND.as_millis()).expect("short")},
            })
        };
        let controls = (0..CONTROLS).map(|number| {
            let host = control_host(number);
            let mut settings = settings("b", json!({"control": address(host, OPERATOR_PORT)}));
            settings["data_dir"] = json!(folder.path().join(format!("data-{number}")));
            std::fs::create_dir(folder.path().join(format!("data-{number}"))).expect("a folder");
            Role::start(folder.path(), "control", host, settings)
        });
        let controls = controls.collect();
        let entries = (0..ENTRIES).map(|number| {
            let host = entry_host(number);
            let listen =
                json!({"frontend": address(host, CALLER_PORT), "readiness": address(host, READINESS_PORT)});
            Role::start(folder.path(), "entry", host, settings("b", listen))
        });
        let entries = entries.collect();
        let (mut agents, mut workers, mut servers) = (Vec::new(), Vec::new(), Vec::new());
        for (number, domain) in WORKER_DOMAINS.into_iter().enumerate() {
            let host = agent_host(number);
            let worker = Worker::new();
            let app = address(host, WORKER_PORT);
            let socket = TcpListener::bind(app).await.expect("a free address");
            servers.push(HttpServer::builder(socket).serve(worker.clone()).expect("serves"));
            let mut settings = settings(domain, json!({"control": address(host, OPERATOR_PORT)}));
            settings["app"] = json!(app);
            agents.push(Role::start(folder.path(), "agent", host, settings));
            workers.push(worker);
        }
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            callers.spawn(submit_forever(http.clone(), caller));
        }
        let system = Self {
            controls,
            entries,
            _agents: agents,
            workers,
            _servers: servers,
            _callers: callers,
            http,
            _folder: folder,
        };
        system.announce_workers().await;
        system.operate(Method::PUT, "/config", config()).await;
        let since = Instant::now();
        for domain in [EVACUATED, "b"] {
            system.wait_for_starts(domain, since).await;
        }
        system
    }

    async fn announce_workers(&self) {
        for (number, domain) in WORKER_DOMAINS.into_iter().enumerate() {
            let url = format!(
                "http://{}/instances/i-{number}",
                address(agent_host(number), OPERATOR_PORT)
            );
            let heartbeat = json!({
                "service": "desk", "address": "127.0.0.1:1", "zone": domain, "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "capacity": {"cpu": 16_000, "mem_mb": 1_024, "gpu": 0}, "labels": [domain],
                "clock_ms": self.workers[number].clock_ms(), "sequence": 1, "born": 1
            });
            wait_until("the agent reads the announcement", async || {
                let answer = send(&self.http, Method::PUT, &url, heartbeat.to_string()).await?;
                (answer.0 == StatusCode::OK).then_some(())
            })
            .await;
        }
    }

    /// Sends a request to the control processes in turn until it is acknowledged, like operators.
    async fn operate(&self, method: Method, path: &str, body: String) {
        let mut number = 0;
        wait_until("the request is acknowledged", async || {
            number = (number + 1) % CONTROLS;
            let url = format!("http://{}{path}", address(control_host(number), OPERATOR_PORT));
            let (status, _) = send(&self.http, method.clone(), &url, body.clone()).await?;
            (status == StatusCode::OK).then_some(())
        })
        .await;
    }

    fn starts_since(&self, domain: &str, since: Instant) -> usize {
        let workers = self.workers.iter().zip(WORKER_DOMAINS);
        let in_domain = workers.filter(|(_, other)| *other == domain);
        in_domain.map(|(worker, _)| worker.starts_since(since)).sum()
    }

    async fn wait_for_starts(&self, domain: &str, since: Instant) {
        let what = format!("a task starts in {domain}");
        wait_until(&what, async || {
            (self.starts_since(domain, since) > 0).then_some(())
        })
        .await;
    }

    /// Submits a job that fits only the workers of the evacuated domain.
    async fn submit_labelled(&self, entry: u8) -> Option<(StatusCode, Value)> {
        let mut body = job();
        body["steps"][0]["requirements"] = json!(EVACUATED);
        let url = job_url(entry);
        send(&self.http, Method::POST, &url, body.to_string()).await
    }
}

fn config() -> String {
    json!({
        "version": 3,
        "routes": [{"name": "r", "host": "desk.example", "path_prefix": "/q/", "timeout_ms": 1500,
                    "target_latency_ms": 60, "service": "desk", "max_attempts": 2, "stretch_factor": 1.6}],
        "services": [{"name": "desk", "enforces_capacity": true}]
    })
    .to_string()
}

fn job() -> Value {
    json!({"spec": "text", "best_effort": true,
           "steps": [{"count": 2, "cpu": 1_600, "mem_mb": 64, "estimate_ms": 50}]})
}

fn job_url(entry: u8) -> String {
    format!(
        "http://{}/q/{:016x}",
        address(entry_host(entry), CALLER_PORT),
        next_job()
    )
}

async fn submit_forever(http: HttpClient, caller: u64) {
    let entry = u8::try_from(caller % u64::from(ENTRIES)).expect("few entries");
    loop {
        send(&http, Method::POST, &job_url(entry), job().to_string()).await;
        sleep(SUBMISSION_INTERVAL).await;
    }
}

/// Sends a request and returns status and body, or `None` if there is no answer.
async fn send(http: &HttpClient, method: Method, url: &str, body: String) -> Option<(StatusCode, Value)> {
    let request = Request::builder()
        .method(method)
        .uri(url)
        .header("host", "desk.example")
        .header("deadline-ms", "1500")
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let response = http.request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}

/// Polls a condition until it returns a value; panics with `what` after the time limit.
async fn wait_until<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against starts in an evacuated domain, also after all control processes and an entry were killed and restarted, and
/// against a domain that is not used again after its evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn evacuated_domain_stays_empty_until_withdrawal() {
    let mut system = System::start().await;
    system.operate(Method::POST, EVACUATE_PATH, String::new()).await;
    let evacuated_at = Instant::now();
    sleep(EVACUATION_BOUND + WATCH_TIME).await;
    let since = evacuated_at + EVACUATION_BOUND;
    assert_eq!(system.starts_since(EVACUATED, since), 0, "starts after the bound");
    assert!(system.starts_since("b", since) > 0, "the other domain serves");
    for entry in 0..ENTRIES {
        let (status, body) = system.submit_labelled(entry).await.expect("an answer");
        let refused = (status, body["error"].as_str());
        assert_eq!(refused, (StatusCode::SERVICE_UNAVAILABLE, Some("evacuated")));
    }
    for control in &mut system.controls {
        control.kill();
    }
    system.entries[0].kill();
    for control in &mut system.controls {
        control.restart();
    }
    system.entries[0].restart();
    let restarted_at = Instant::now();
    wait_until("the restarted entry has the evacuations and routes", async || {
        let (status, body) = system.submit_labelled(0).await?;
        let refused = status == StatusCode::SERVICE_UNAVAILABLE && body["error"] == "evacuated";
        refused.then_some(())
    })
    .await;
    sleep(WATCH_TIME).await;
    assert_eq!(
        system.starts_since(EVACUATED, since),
        0,
        "starts after the restart"
    );
    system.wait_for_starts("b", restarted_at).await;
    system.operate(Method::DELETE, EVACUATE_PATH, String::new()).await;
    system.wait_for_starts(EVACUATED, Instant::now()).await;
}

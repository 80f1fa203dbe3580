//! Measures the cost of idle control processes, entries and agents, of a configuration change and of a task start.
//!
//! `idle_cost [--agents N] [--entries N] [--teams N] [--seconds N] [--changes N] [--jobs N] [--bytes]`
//!
//! Starts 3 control processes, the entries and the agents in this process on loopback, each role on a separate runtime;
//! every agent has an announced target of 8 slots. It measures `--seconds` idle, then applies `--changes` patches that
//! each change the quota of one of `--teams` teams, and then submits `--jobs` jobs of 200 instant at-most-once tasks, four
//! at a time, to the entries in turn. It prints the synced operations on the data folders of control, the processor time
//! of the threads of each role, the growth of the resident set from before the agents started, and with `--bytes` the
//! bytes and frames that each role sent over its links. Bytes are payloads of WebSocket messages, counted through the
//! metrics, whose own processor time is charged to the roles; take processor time from a run without `--bytes`. Linux only,
//! because it reads `/proc/self`.

#![expect(
    clippy::cast_precision_loss,
    reason = "printed figures are far below the precision of f64"
)]

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chestnutfork_agent::{AgentConfig, RunningAgent};
use chestnutfork_config::TokenHash;
use chestnutfork_control::{ControlConfig, Member, Operator, RunningControl};
use chestnutfork_entry::{EntryConfig, RunningEntry};
use chestnutfork_net::{ClusterSecret, HttpClient, Metrics, http_client};
use chestnutfork_operator::OperatorClient;
use chestnutfork_operator::body::{PatchBody, VerdictBody};
use chestnutfork_standin::{Target, TargetHandle};
use chestnutfork_storage::{DiskFolder, Folder};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde_json::{Map, Value, json};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

const ROLES: [&str; 4] = ["control", "entry", "agent", "target"];
const CONTROLS: usize = 3;
const SLOTS: u32 = 8;
const TASKS: u32 = 200;
/// Callers that submit jobs concurrently, one at a time each.
const CALLERS: u32 = 4;
const OPERATOR_TOKEN: &str = "operator-token";
const TARGET_TOKEN: &str = "target-token";
const PAGE_BYTES: u64 = 4096;
/// Time for links, leases and the first configuration to settle before anything is measured.
const SETTLE: Duration = Duration::from_secs(4);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Data folder that counts its synced operations.
struct CountingFolder {
    folder: DiskFolder,
    synced: Arc<AtomicU64>,
}

impl CountingFolder {
    fn count(&self) {
        self.synced.fetch_add(1, Ordering::Relaxed);
    }
}

impl Folder for CountingFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.count();
        self.folder.write_at(name, offset, bytes)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count();
        self.folder.replace(name, bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.count();
        self.folder.truncate(name, len)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count();
        self.folder.remove(name)
    }
}

/// Bytes and frames that the processes of a role sent over their links.
#[derive(Debug, Default)]
struct Sent {
    bytes: AtomicU64,
    frames: AtomicU64,
}

/// Cumulative measurements of one role.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    processor: Duration,
    bytes: u64,
    frames: u64,
}

/// Counts the sent bytes and frames that a role reports to the returned statsd address.
fn count_sent(sent: Arc<Sent>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the loopback address is available");
    let address = socket.local_addr().expect("the socket is bound");
    let counting = move || {
        let mut buf = vec![0; 65_536];
        while let Ok(length) = socket.recv(&mut buf) {
            for line in String::from_utf8_lossy(&buf[..length]).lines() {
                let value = line.strip_prefix("chestnutfork.link.bytes_sent:");
                let value = value.and_then(|value| value.split('|').next());
                if let Some(bytes) = value.and_then(|value| value.parse::<u64>().ok()) {
                    sent.bytes.fetch_add(bytes, Ordering::Relaxed);
                    sent.frames.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    };
    std::thread::Builder::new()
        .name("counting".to_owned())
        .spawn(counting)
        .expect("a thread can start");
    address
}

/// Returns the processor time of each role, summed over the threads whose name begins with its name.
fn processor_times() -> BTreeMap<&'static str, Duration> {
    let mut times: BTreeMap<&'static str, Duration> = BTreeMap::new();
    for thread in std::fs::read_dir("/proc/self/task").expect("the system is Linux") {
        let path = thread.expect("the folder is readable").path();
        // A thread may exit after it is listed and before its files are read.
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        let stat = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let nanos = stat
            .split_whitespace()
            .next()
            .and_then(|nanos| nanos.parse().ok());
        for role in ROLES.into_iter().filter(|role| name.starts_with(role)) {
            *times.entry(role).or_default() += Duration::from_nanos(nanos.unwrap_or(0));
        }
    }
    times
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the system is Linux");
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn option(name: &str, default: u32) -> u32 {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
        .map_or(default, |value| value.parse().expect("a number"))
}

fn runtime(name: &'static str) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("a runtime can start")
}

fn document(teams: u32) -> Value {
    let teams = (0..teams).map(|index| {
        let team = json!({
            "token_sha256": TokenHash::of(&format!("token of team {index}")).to_hex(),
            "quota": 100_000,
            "services": ["desk"],
        });
        (format!("team-{index}"), team)
    });
    json!({"services": {"desk": {"pool": "main"}}, "teams": teams.collect::<Map<_, _>>()})
}

/// All processes of the measurement and the runtimes they run on.
struct Cluster {
    runtimes: BTreeMap<&'static str, Runtime>,
    sent: BTreeMap<&'static str, Arc<Sent>>,
    metrics: BTreeMap<&'static str, Metrics>,
    secret: ClusterSecret,
    controls: Vec<RunningControl>,
    entries: Vec<RunningEntry>,
    agents: Vec<RunningAgent>,
    targets: Vec<TargetHandle>,
    synced: Arc<AtomicU64>,
    data: TempDir,
}

impl Cluster {
    fn new(with_bytes: bool) -> Self {
        let sent: BTreeMap<_, _> = ROLES.map(|role| (role, Arc::new(Sent::default()))).into();
        let metrics = sent.iter().map(|(&role, sent)| {
            let metrics = if with_bytes {
                let address = count_sent(Arc::clone(sent)).to_string();
                Metrics::statsd(&address).expect("the loopback address is available")
            } else {
                Metrics::disabled()
            };
            (role, metrics)
        });
        Self {
            runtimes: ROLES.map(|role| (role, runtime(role))).into(),
            metrics: metrics.collect(),
            sent,
            secret: ClusterSecret::new("secret"),
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            synced: Arc::default(),
            data: TempDir::new().expect("a temporary folder can be created"),
        }
    }

    fn control_links(&self) -> Vec<String> {
        let links = self.controls.iter().map(RunningControl::link_address);
        links.map(str::to_owned).collect()
    }

    fn start_controls(&mut self) {
        let runtime = &self.runtimes["control"];
        let mut members = Vec::new();
        let mut sockets = Vec::new();
        for index in 0..CONTROLS {
            let socket =
                run_on(runtime, TcpListener::bind("127.0.0.1:0")).expect("the loopback address is available");
            let address = socket.local_addr().expect("the socket is bound");
            members.push(Member {
                name: format!("control-{index}"),
                address: address.to_string(),
            });
            sockets.push(socket);
        }
        let operator = Operator {
            name: "operator".to_owned(),
            token: TokenHash::of(OPERATOR_TOKEN),
        };
        for (member, socket) in members.iter().zip(sockets) {
            let cfg = ControlConfig::builder(member.name.clone(), self.secret.clone())
                .link_socket(socket)
                .members(members.clone())
                .operators(vec![operator.clone()])
                .metrics(self.metrics["control"].clone())
                .build();
            let folder = DiskFolder::open(self.data.path().join(&member.name)).expect("the folder is usable");
            let folder = CountingFolder {
                folder,
                synced: Arc::clone(&self.synced),
            };
            let control = run_on(runtime, chestnutfork_control::start(cfg, folder));
            self.controls.push(control.expect("control starts"));
        }
    }

    fn start_entries(&mut self, count: u32) {
        for index in 0..count {
            let cfg = EntryConfig::builder(format!("entry-{index}"), self.secret.clone())
                .failure_domain(failure_domain(index))
                .control_addresses(self.control_links())
                .metrics(self.metrics["entry"].clone())
                .build();
            let entry = run_on(&self.runtimes["entry"], chestnutfork_entry::start(cfg));
            self.entries.push(entry.expect("the entry starts"));
        }
    }

    fn start_agents(&mut self, count: u32) {
        for index in 0..count {
            let cfg = AgentConfig::builder(format!("agent-{index}"), self.secret.clone())
                .failure_domain(failure_domain(index))
                .target_token(TARGET_TOKEN)
                .control_addresses(self.control_links())
                .metrics(self.metrics["agent"].clone())
                .build();
            let agent = run_on(&self.runtimes["agent"], chestnutfork_agent::start(cfg));
            let agent = agent.expect("the agent starts");
            let target = Target::builder(format!("target-{index}"))
                .slots(SLOTS)
                .agent(agent.address())
                .token(TARGET_TOKEN);
            let target = run_on(&self.runtimes["target"], target.start());
            self.targets.push(target.expect("the target starts"));
            self.agents.push(agent);
        }
    }

    fn readings(&self) -> [Reading; 4] {
        let times = processor_times();
        ROLES.map(|role| Reading {
            processor: times.get(role).copied().unwrap_or_default(),
            bytes: self.sent[role].bytes.load(Ordering::Relaxed),
            frames: self.sent[role].frames.load(Ordering::Relaxed),
        })
    }

    async fn apply(&self, body: Value) {
        let addresses: Vec<SocketAddr> = self.controls.iter().map(RunningControl::address).collect();
        let client = OperatorClient::builder(&addresses, OPERATOR_TOKEN)
            .build()
            .expect("the addresses are usable");
        let base = client.config().await.expect("control answers").version;
        let patch = PatchBody {
            base,
            patch_id: Uuid::new_v4(),
            reason: "measurement".to_owned(),
            body,
            dry_run: false,
        };
        let verdict = client.patch(&patch).await.expect("control answers");
        assert!(
            matches!(verdict, VerdictBody::Accepted { .. }),
            "the patch is accepted: {verdict:?}"
        );
    }

    async fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            while !entry.is_ready(self.targets.len()).await {
                assert!(Instant::now() < deadline, "the targets reach the entries in time");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Submits one job and checks that it completed.
async fn submit(client: HttpClient, entry: SocketAddr) {
    let tasks = vec![json!({"payload": {"run_ms": 0}}); TASKS as usize];
    let body = json!({"deadline_ms": 20_000, "tasks": tasks}).to_string();
    let req = Request::post(format!("http://{entry}/v1/services/desk/jobs"))
        .header("authorization", "Bearer token of team 0")
        .body(Full::new(body.into()))
        .expect("the request is well formed");
    let response = client.request(req).await.expect("the entry answers");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the answer is complete");
    let answer: Value = serde_json::from_slice(&body.to_bytes()).expect("the answer is JSON");
    assert_eq!(answer["outcome"], "completed", "every job completes: {answer}");
}

async fn submit_all(entries: Vec<SocketAddr>, jobs: u32) {
    let client = http_client(Duration::from_secs(1));
    let callers = (0..CALLERS).map(|caller| {
        let (client, entries) = (client.clone(), entries.clone());
        tokio::spawn(async move {
            for job in (caller..jobs).step_by(CALLERS as usize) {
                submit(client.clone(), entries[job as usize % entries.len()]).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("the caller does not panic");
    }
}

/// Runs a future on the runtime of a role, so that the tasks that it spawns run on threads of that role.
fn run_on<F>(runtime: &Runtime, future: F) -> F::Output
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    runtime
        .block_on(runtime.spawn(future))
        .expect("the future does not panic")
}

fn failure_domain(index: u32) -> &'static str {
    ["a", "b", "c", "d"][(index % 4) as usize]
}

fn print_difference(label: &str, before: &[Reading; 4], after: &[Reading; 4], per: f64, unit: &str) {
    for ((role, before), after) in ROLES.iter().zip(before).zip(after) {
        let processor = after.processor.saturating_sub(before.processor);
        println!(
            "{label:7} {role:8} {:10.4} ms processor, {:10.1} B in {:8.3} frames sent, per {unit}, all processes of the role",
            processor.as_secs_f64() * 1e3 / per,
            (after.bytes - before.bytes) as f64 / per,
            (after.frames - before.frames) as f64 / per,
        );
    }
}

fn main() {
    let agents = option("--agents", 50);
    let entries = option("--entries", 2);
    let teams = option("--teams", 190);
    let seconds = option("--seconds", 10);
    let changes = option("--changes", 20);
    let jobs = option("--jobs", 0);
    let with_bytes = std::env::args().any(|arg| arg == "--bytes");
    println!("agents {agents}, entries {entries}, controls {CONTROLS}, teams {teams}");
    let mut cluster = Cluster::new(with_bytes);
    cluster.start_controls();
    cluster.start_entries(entries);
    let operator = runtime("operator");
    operator.block_on(cluster.apply(document(teams)));
    std::thread::sleep(SETTLE);
    let resident = resident_bytes();
    cluster.start_agents(agents);
    operator.block_on(cluster.wait_ready());
    std::thread::sleep(SETTLE);
    let growth = resident_bytes().saturating_sub(resident);
    println!(
        "memory  {:.1} KiB per agent, with its target and its ends at entries and control; {:.1} MiB in all",
        growth as f64 / 1024.0 / f64::from(agents.max(1)),
        resident_bytes() as f64 / 1_048_576.0
    );
    let before = cluster.readings();
    std::thread::sleep(Duration::from_secs(seconds.into()));
    print_difference("rest", &before, &cluster.readings(), seconds.into(), "second");
    if changes > 0 {
        let before = cluster.readings();
        let synced = cluster.synced.load(Ordering::Relaxed);
        let started = Instant::now();
        for change in 0..changes {
            let team = format!("team-{}", change % teams);
            let quota = json!({"teams": {team: {"quota": 100_001 + change}}});
            operator.block_on(cluster.apply(quota));
        }
        println!(
            "{changes} changes accepted in {:.3} s with {} synced operations",
            started.elapsed().as_secs_f64(),
            cluster.synced.load(Ordering::Relaxed) - synced
        );
        std::thread::sleep(Duration::from_secs(1));
        println!(
            "the next lines include {:.2} s at rest",
            started.elapsed().as_secs_f64()
        );
        print_difference("changes", &before, &cluster.readings(), changes.into(), "change");
    }
    if jobs > 0 {
        let before = cluster.readings();
        let started = Instant::now();
        let entries = cluster.entries.iter().map(RunningEntry::address).collect();
        operator.block_on(submit_all(entries, jobs));
        let starts = f64::from(jobs) * f64::from(TASKS);
        println!("{starts} starts in {:.3} s", started.elapsed().as_secs_f64());
        print_difference("starts", &before, &cluster.readings(), starts, "start");
    }
    // No job is in flight, so the processes need no graceful shutdown; `exit` would skip removal of the data folder.
    drop(cluster.data);
    std::process::exit(0);
}

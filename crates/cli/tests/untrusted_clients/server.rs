//! Process under test with the bounds of its settings.

use std::convert::Infallible;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::clients::{Pattern, send, send_slowly};

/// Serializes the tests, so that one process is under load at a time.
static LOCK: Mutex<()> = Mutex::const_new(());
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

/// Configuration with the queue of the jobs.
const ONE_QUEUE: &str = include_str!("../../../../platform/tests/fixtures/one_queue.json");
/// Memory of a platform entry in its settings, in MiB. It lies above what an idle process uses several times.
const ENTRY_MEMORY_MB: u64 = 48;
/// Memory of a platform entry with routes in its settings, in MiB.
const ROUTED_ENTRY_MEMORY_MB: u64 = 32;
/// Memory of a platform agent or control process in its settings, in MiB; they accept bodies of 4 MiB.
const LARGE_BODY_MEMORY_MB: u64 = 64;
/// Memory of an entry with default settings, in MiB.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Descriptors of a process in the settings of the platform.
const MAX_FDS: usize = 256;
/// Descriptors of an entry with default settings.
const DEFAULT_MAX_FDS: usize = 4_096;

/// Time limit for the start of a process and for the ordinary request; only a hung process exceeds it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval, largest processor time of an idle process in it, and limit on the number of checks for an idle process.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
const IDLE_TICKS: u64 = 3;
const MAX_IDLE_CHECKS: u32 = 30;

/// Role on the users' platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetRole {
    Entry,
    Agent,
    Control,
}

/// Running process with its addresses and bounds.
pub(crate) struct Server {
    child: Child,
    pub(crate) address: SocketAddr,
    pub(crate) links: SocketAddr,
    /// Method and path of the ordinary request, and a part of its answer.
    probe: &'static str,
    answer: &'static str,
    memory_mb: u64,
    max_fds: usize,
    folder: TempDir,
    /// Control process of an entry with routes.
    control: Option<(Child, TempDir)>,
    peak_fds: usize,
    _lock: MutexGuard<'static, ()>,
}

impl Server {
    /// Starts a role on the users' platform.
    pub(crate) async fn fleet(role: FleetRole) -> Self {
        let lock = LOCK.lock().await;
        let folder = TempDir::new().unwrap();
        let (ip, seed) = (next_ip(), next_ip());
        let memory_mb = match role {
            FleetRole::Entry => ENTRY_MEMORY_MB,
            FleetRole::Agent | FleetRole::Control => LARGE_BODY_MEMORY_MB,
        };
        let settings = json!({
            "node_name": "node-1", "ip": ip, "zone": "a", "internal_ports": [7_720, 7_735],
            "listen_addrs": {
                "frontend": format!("{ip}:8080"),
                "readiness": format!("{ip}:8081"),
                "control": format!("{ip}:8166"),
            },
            // An entry or agent needs no control process here, and finds none.
            "seeds": [if role == FleetRole::Control { format!("{ip}:8166") } else { format!("{seed}:8166") }],
            "bootstrap": role == FleetRole::Control,
            "fault_tolerance": { "machines": 0 },
            "data_dir": folder.path().join("data"),
            "app": format!("{ip}:9000"),
            "limits": { "memory_mb": memory_mb, "max_fds": MAX_FDS },
        });
        let file = folder.path().join("settings.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        // An entry without a control process answers that it has no routes, a control process with a leader that it has
        // no configuration.
        let (name, port, probe, answer) = match role {
            FleetRole::Entry => ("entry", 8_080, "GET /jobs/0000000000000001", "\"no_routes\""),
            FleetRole::Agent => ("agent", 8_166, "DELETE /instances/worker-1", "HTTP/1.1 200"),
            FleetRole::Control => ("control", 8_166, "GET /config", "\"no_configuration\""),
        };
        let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutfork"));
        command.args(["fleet", name]).env("CHESTNUTFORK_CONFIG", &file);
        let server = Self {
            child: spawn(command, folder.path()),
            address: format!("{ip}:{port}").parse().unwrap(),
            links: format!("{ip}:7720").parse().unwrap(),
            probe,
            answer,
            memory_mb,
            max_fds: MAX_FDS,
            folder,
            control: None,
            peak_fds: 0,
            _lock: lock,
        };
        server.wait_until_answered().await;
        server
    }

    /// Starts an entry with default settings.
    pub(crate) async fn entry() -> Self {
        let lock = LOCK.lock().await;
        let folder = TempDir::new().unwrap();
        let ip = next_ip();
        let settings: Value = json!({
            "name": "entry-1",
            "failure_domain": "a",
            "listen": format!("{ip}:7000"),
            "peer_listen": format!("{ip}:7001"),
            "control": [format!("{ip}:7101")],
            "cluster_secret": "cluster secret of the test",
        });
        let file = folder.path().join("settings.yaml");
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutfork"));
        command.args(["entry", "--config"]).arg(&file);
        let server = Self {
            child: spawn(command, folder.path()),
            address: format!("{ip}:7000").parse().unwrap(),
            links: format!("{ip}:7001").parse().unwrap(),
            probe: "GET /v1/health",
            answer: "HTTP/1.1 200",
            memory_mb: DEFAULT_MEMORY_MB,
            max_fds: DEFAULT_MAX_FDS,
            folder,
            control: None,
            peak_fds: 0,
            _lock: lock,
        };
        server.wait_until_answered().await;
        server
    }

    /// Starts an entry on the users' platform that has routes but no workers, with a control process.
    pub(crate) async fn fleet_entry_with_routes() -> Self {
        let control = Self::fleet(FleetRole::Control).await;
        control.put_configuration(ONE_QUEUE).await;
        let seed = control.address.ip();
        let folder = TempDir::new().unwrap();
        let ip = next_ip();
        let settings = json!({
            "node_name": "entry-1", "ip": ip, "zone": "a", "internal_ports": [7_720, 7_735],
            "listen_addrs": { "frontend": format!("{ip}:8080"), "readiness": format!("{ip}:8081") },
            "seeds": [format!("{seed}:8166")],
            "limits": { "memory_mb": ROUTED_ENTRY_MEMORY_MB, "max_fds": MAX_FDS },
        });
        let file = folder.path().join("settings.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutfork"));
        command.args(["fleet", "entry"]).env("CHESTNUTFORK_CONFIG", &file);
        let entry = spawn(command, folder.path());
        let mut server = control;
        server.control = Some((
            std::mem::replace(&mut server.child, entry),
            std::mem::replace(&mut server.folder, folder),
        ));
        server.address = format!("{ip}:8080").parse().unwrap();
        server.links = format!("{ip}:7720").parse().unwrap();
        server.probe = "GET /jobs/";
        server.answer = "\"pending\"";
        server.memory_mb = ROUTED_ENTRY_MEMORY_MB;
        server.wait_until_answered().await;
        server
    }

    /// Sends a configuration to a control process until it is acknowledged.
    async fn put_configuration(&self, config: &str) {
        let request = format!(
            "PUT /config HTTP/1.1\r\nhost: control\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{config}",
            config.len()
        );
        let acknowledged = timeout(ANSWER_TIMEOUT, async {
            while !self.answers(&request, "HTTP/1.1 200").await {
                sleep(POLL_INTERVAL).await;
            }
        });
        assert!(acknowledged.await.is_ok(), "no acknowledgement: {}", self.log());
    }

    async fn wait_until_answered(&self) {
        let answered = timeout(ANSWER_TIMEOUT, async {
            while !self.answers_ordinary_request().await {
                sleep(POLL_INTERVAL).await;
            }
        });
        assert!(
            answered.await.is_ok(),
            "the process did not start: {}",
            self.log()
        );
    }

    /// Sends one ordinary request and returns whether the expected answer arrives.
    async fn answers_ordinary_request(&self) -> bool {
        let request = format!(
            "{} HTTP/1.1\r\nhost: jobs\r\nconnection: close\r\n\r\n",
            self.probe
        );
        self.answers(&request, self.answer).await
    }

    /// Sends a request on a connection of its own and returns whether the response contains a text.
    async fn answers(&self, request: &str, expected: &str) -> bool {
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream.write_all(request.as_bytes()).await?;
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await?;
            Ok::<_, std::io::Error>(response)
        };
        match timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok(response)) => String::from_utf8_lossy(&response).contains(expected),
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Lets clients send a pattern at the same time, and checks the process while their connections are open.
    pub(crate) async fn withstands(&mut self, address: SocketAddr, clients: usize, pattern: &Pattern) {
        self.withstands_each(address, vec![pattern.clone(); clients])
            .await;
    }

    /// Lets one client send each of the patterns at the same time, and checks the process while their connections are
    /// open.
    pub(crate) async fn withstands_each(&mut self, address: SocketAddr, patterns: Vec<Pattern>) {
        let mut tasks = JoinSet::new();
        for pattern in patterns {
            tasks.spawn(send(address, pattern));
        }
        let mut open = Vec::new();
        while !tasks.is_empty() {
            if let Ok(Some(client)) = timeout(POLL_INTERVAL, tasks.join_next()).await {
                open.extend(client.unwrap());
            }
            self.peak_fds = self.peak_fds.max(self.open_fds());
        }
        self.wait_until_idle().await;
        let answered = self.answers_ordinary_request().await;
        drop(open);
        self.check(answered);
    }

    /// Lets clients send a pattern slowly, and checks the process while they continue.
    pub(crate) async fn serves_beside(&mut self, clients: usize, pattern: &Pattern, pause: Duration) {
        let (established, mut all_established) = mpsc::channel::<Infallible>(1);
        let mut tasks = JoinSet::new();
        for _ in 0..clients {
            let established = established.clone();
            let pattern = pattern.clone();
            tasks.spawn(send_slowly(self.address, pattern, pause, || drop(established)));
        }
        drop(established);
        while timeout(POLL_INTERVAL, all_established.recv()).await.is_err() {
            self.peak_fds = self.peak_fds.max(self.open_fds());
        }
        let answered = self.answers_ordinary_request().await;
        self.peak_fds = self.peak_fds.max(self.open_fds());
        drop(tasks);
        self.check(answered);
    }

    /// Checks the bounds of the process.
    fn check(&mut self, answered: bool) {
        let alive = matches!(self.child.try_wait(), Ok(None));
        let peak = self.peak_memory_mb();
        let figures = format!(
            "alive: {alive}, peak memory: {peak} of {} MiB, open descriptors: {} of {}, ordinary request answered: {answered}",
            self.memory_mb, self.peak_fds, self.max_fds
        );
        println!("{figures}");
        let within = alive && peak <= self.memory_mb && self.peak_fds <= self.max_fds;
        assert!(within && answered, "{figures}\n{}", self.log());
    }

    /// Waits until the server has read what its socket buffers hold, that is, until it uses almost no processor time.
    async fn wait_until_idle(&mut self) {
        let mut used = self.cpu_ticks();
        for _ in 0..MAX_IDLE_CHECKS {
            sleep(IDLE_CHECK_INTERVAL).await;
            self.peak_fds = self.peak_fds.max(self.open_fds());
            let now_used = self.cpu_ticks();
            if now_used - used <= IDLE_TICKS {
                return;
            }
            used = now_used;
        }
    }

    /// Returns the processor time used by the process, in ticks of 10 ms.
    fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        // The fields after the name start with the state; the user and system times are the 12th and 13th.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let times = fields.split_whitespace().skip(11).take(2);
        times.filter_map(|time| time.parse::<u64>().ok()).sum()
    }

    fn open_fds(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib: u64 = peak.unwrap().trim().trim_end_matches(" kB").parse().unwrap();
        kib.div_ceil(1_024)
    }

    /// Returns the end of the log.
    fn log(&self) -> String {
        let log = std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        let lines: Vec<_> = log.lines().rev().take(20).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // A process that has already exited needs no signal.
        let control = self.control.as_mut().map(|(control, _)| control);
        for child in std::iter::once(&mut self.child).chain(control) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a separate address in 127.0.0.0/8 for each process of each test process.
fn next_ip() -> String {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let host = (std::process::id() << 5 | (number & 0x1f)) & 0x003f_ffff;
    std::net::Ipv4Addr::from_bits(0x7f40_0000 | host).to_string()
}

fn spawn(mut command: Command, folder: &Path) -> Child {
    let log = File::create(folder.join("log")).unwrap();
    let output = log.try_clone().unwrap();
    let command = command.stdin(Stdio::null()).stdout(output).stderr(log);
    command.spawn().unwrap()
}

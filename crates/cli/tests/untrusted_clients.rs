//! Clients outside the limits against real processes on loopback.
//!
//! Each test starts one process, lets a fixed number of clients send one pattern of requests that never complete, and
//! checks only that the process is alive, that its peak memory and its open descriptors stay under the bounds of its
//! settings, and that one ordinary request is answered afterwards. The clients keep their connections open until then.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Serializes the tests, so that one process is under load at a time.
static LOCK: Mutex<()> = Mutex::const_new(());
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

/// Memory of a platform entry in its settings, in MiB. It lies above what an idle process uses several times.
const ENTRY_MEMORY_MB: u64 = 48;
/// Memory of a platform agent or control process in its settings, in MiB; they accept bodies of 4 MiB.
const LARGE_BODY_MEMORY_MB: u64 = 64;
/// Memory of an entry with default settings, in MiB.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Descriptors of a process in the settings of the platform.
const MAX_FDS: usize = 256;
/// Descriptors of an entry with default settings.
const DEFAULT_MAX_FDS: usize = 4_096;

/// Largest legal body of callers, and of heartbeats and configurations, in bytes.
const CALLER_BODY_BYTES: usize = 262_144;
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Largest legal body of an entry with default settings.
const DEFAULT_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Head or empty lines that a client sends without an end, beyond any limit on heads.
const ENDLESS_HEAD_BYTES: usize = 1024 * 1024;
/// Largest message on a link, which only an authenticated process may send.
const LINK_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Clients whose single request is small.
const MANY_CLIENTS: usize = 300;
/// Clients with bodies of 4 MiB.
const LARGE_BODY_CLIENTS: usize = 24;
/// Clients with bodies of 8 MiB.
const DEFAULT_BODY_CLIENTS: usize = 60;
/// Clients with chunks of one byte, and the number of chunks of each.
const TINY_CHUNK_CLIENTS: usize = 40;
const TINY_CHUNKS: usize = 120_000;
/// Clients with unauthenticated messages on the port for links.
const LINK_CLIENTS: usize = 6;

/// Longest time for which a client waits until the server takes more bytes; it then keeps the connection open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the start of a process and for the ordinary request; only a hung process exceeds it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval, largest processor time of an idle process in it, and limit on the number of checks for an idle process.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
const IDLE_TICKS: u64 = 3;
const MAX_IDLE_CHECKS: u32 = 30;

/// Role on the users' platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FleetRole {
    Entry,
    Agent,
    Control,
}

/// Running process with its addresses and bounds.
struct Server {
    child: Child,
    address: SocketAddr,
    links: SocketAddr,
    /// Method and path of the ordinary request, and a part of its answer.
    probe: &'static str,
    answer: &'static str,
    memory_mb: u64,
    max_fds: usize,
    folder: TempDir,
    peak_fds: usize,
    _lock: MutexGuard<'static, ()>,
}

/// Part of a request that a client sends, and how.
#[derive(Clone, Debug)]
struct Pattern {
    head: String,
    content: Arc<[u8]>,
    /// Bytes of each write; the client pauses between two writes.
    piece: usize,
    /// Whether the server answers the head before the content is sent.
    answers_head: bool,
}

impl Pattern {
    fn whole(head: String, content: Vec<u8>) -> Self {
        let piece = content.len().max(1);
        Self::piecewise(head, content).in_pieces_of(piece)
    }

    fn piecewise(head: String, content: Vec<u8>) -> Self {
        Self {
            head,
            content: content.into(),
            piece: 16 * 1024,
            answers_head: false,
        }
    }

    fn in_pieces_of(self, piece: usize) -> Self {
        Self { piece, ..self }
    }
}

impl Server {
    /// Starts a role on the users' platform.
    async fn fleet(role: FleetRole) -> Self {
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
            peak_fds: 0,
            _lock: lock,
        };
        server.wait_until_answered().await;
        server
    }

    /// Starts an entry with default settings.
    async fn entry() -> Self {
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
            peak_fds: 0,
            _lock: lock,
        };
        server.wait_until_answered().await;
        server
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
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream.write_all(request.as_bytes()).await?;
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await?;
            Ok::<_, std::io::Error>(response)
        };
        match timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok(response)) => String::from_utf8_lossy(&response).contains(self.answer),
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Lets clients send a pattern at the same time, and checks the process while their connections are open.
    async fn withstands(&mut self, address: SocketAddr, clients: usize, pattern: &Pattern) {
        let mut tasks = JoinSet::new();
        for _ in 0..clients {
            tasks.spawn(send(address, pattern.clone()));
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
        let _ = self.child.kill();
        let _ = self.child.wait();
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

/// Sends a pattern and returns the connection, unless the server closed it.
async fn send(address: SocketAddr, pattern: Pattern) -> Option<TcpStream> {
    let mut stream = timeout(WRITE_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.write_all(pattern.head.as_bytes()).await.ok()?;
    if pattern.answers_head {
        let answer = timeout(WRITE_TIMEOUT, stream.read(&mut [0; 1_024])).await;
        answer.ok()?.ok()?;
    }
    for piece in pattern.content.chunks(pattern.piece) {
        match timeout(WRITE_TIMEOUT, stream.write_all(piece)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
        sleep(Duration::from_millis(1)).await;
    }
    Some(stream)
}

/// Returns the head of a request with a body of declared length.
fn head(line: &str, length: usize) -> String {
    format!("{line} HTTP/1.1\r\nhost: jobs\r\ncontent-length: {length}\r\n\r\n")
}

/// Returns the head of a request with a chunked body.
fn chunked_head(line: &str) -> String {
    format!("{line} HTTP/1.1\r\nhost: jobs\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Returns a body that lacks its last byte.
fn short_body(length: usize) -> Vec<u8> {
    vec![b' '; length - 1]
}

/// Returns the chunks of a body without the last chunk.
fn chunks(count: usize, length: usize) -> Vec<u8> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b' ');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}

/// Head fields without an end.
fn endless_head() -> Pattern {
    let field = b"x-field: 0123456789012345678901234567890123456789012345678901234567890123456789\r\n";
    let content = field.repeat(ENDLESS_HEAD_BYTES / field.len());
    Pattern::piecewise("POST /jobs/ HTTP/1.1\r\n".to_owned(), content)
}

/// One head field without an end.
fn endless_field() -> Pattern {
    let head = "POST /jobs/ HTTP/1.1\r\nx-field: ".to_owned();
    Pattern::whole(head, vec![b'x'; ENDLESS_HEAD_BYTES])
}

fn empty_lines() -> Pattern {
    Pattern::piecewise(String::new(), b"\r\n".repeat(ENDLESS_HEAD_BYTES / 2))
}

/// Guards against heads without an end that are buffered on each connection.
#[tokio::test]
async fn fleet_entry_withstands_endless_heads() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    server
        .withstands(server.address, MANY_CLIENTS, &endless_head())
        .await;
}

/// Guards against a head field over the limit that is buffered on each connection.
#[tokio::test]
async fn fleet_entry_withstands_oversized_heads() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    server
        .withstands(server.address, MANY_CLIENTS, &endless_field())
        .await;
}

/// Guards against empty lines before a request that are buffered on each connection.
#[tokio::test]
async fn fleet_entry_withstands_empty_lines() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    server
        .withstands(server.address, MANY_CLIENTS, &empty_lines())
        .await;
}

/// Guards against bodies of legal size that are each buffered without regard to the others.
#[tokio::test]
async fn fleet_entry_withstands_whole_bodies() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::whole(
        head("POST /jobs/", CALLER_BODY_BYTES),
        short_body(CALLER_BODY_BYTES),
    );
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against the same fault when every body grows slowly.
#[tokio::test]
async fn fleet_entry_withstands_piecewise_bodies() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::piecewise(
        head("POST /jobs/", CALLER_BODY_BYTES),
        short_body(CALLER_BODY_BYTES),
    );
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against chunked bodies, whose size is not declared, that are buffered without regard to each other.
#[tokio::test]
async fn fleet_entry_withstands_large_chunks() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::whole(chunked_head("POST /jobs/"), chunks(3, 65_536));
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against small chunks that each keep more memory allocated than they have bytes.
#[tokio::test]
async fn fleet_entry_withstands_tiny_chunks() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::piecewise(chunked_head("POST /jobs/"), chunks(TINY_CHUNKS, 1));
    server
        .withstands(server.address, TINY_CHUNK_CLIENTS, &pattern)
        .await;
}

/// Guards against open connections without a request that use up the descriptors.
#[tokio::test]
async fn fleet_entry_withstands_open_connections() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::whole(String::new(), Vec::new());
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against messages from processes without the cluster secret that are buffered up to the limit of links.
#[tokio::test]
async fn fleet_entry_withstands_unauthenticated_messages() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let upgrade = "GET / HTTP/1.1\r\nhost: jobs\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&(LINK_MESSAGE_BYTES as u64).to_be_bytes());
    frame.resize(frame.len() + LINK_MESSAGE_BYTES, 0);
    let pattern = Pattern {
        head: upgrade.to_owned(),
        content: frame.into(),
        piece: 1024 * 1024,
        answers_head: true,
    };
    server.withstands(server.links, LINK_CLIENTS, &pattern).await;
}

/// Guards against heartbeats of legal size that are each buffered without regard to the others.
#[tokio::test]
async fn fleet_agent_withstands_whole_bodies() {
    let mut server = Server::fleet(FleetRole::Agent).await;
    let line = "PUT /instances/worker-1";
    let pattern = Pattern::whole(head(line, LARGE_BODY_BYTES), short_body(LARGE_BODY_BYTES));
    server
        .withstands(server.address, LARGE_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against chunked heartbeats that are buffered without regard to each other.
#[tokio::test]
async fn fleet_agent_withstands_large_chunks() {
    let mut server = Server::fleet(FleetRole::Agent).await;
    let pattern = Pattern::whole(chunked_head("PUT /instances/worker-1"), chunks(63, 65_536));
    server
        .withstands(server.address, LARGE_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against open connections without a request that use up the descriptors of an agent.
#[tokio::test]
async fn fleet_agent_withstands_open_connections() {
    let mut server = Server::fleet(FleetRole::Agent).await;
    let pattern = Pattern::whole(String::new(), Vec::new());
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against configurations of legal size that are each buffered without regard to the others.
#[tokio::test]
async fn fleet_control_withstands_whole_bodies() {
    let mut server = Server::fleet(FleetRole::Control).await;
    let pattern = Pattern::whole(
        head("PUT /config", LARGE_BODY_BYTES),
        short_body(LARGE_BODY_BYTES),
    );
    server
        .withstands(server.address, LARGE_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against open connections without a request that use up the descriptors of a control process.
#[tokio::test]
async fn fleet_control_withstands_open_connections() {
    let mut server = Server::fleet(FleetRole::Control).await;
    let pattern = Pattern::whole(String::new(), Vec::new());
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against bodies of callers without a token that are buffered before the caller is authenticated.
#[tokio::test]
async fn entry_withstands_whole_bodies() {
    let mut server = Server::entry().await;
    let line = "POST /v1/services/desk/jobs";
    let pattern = Pattern::whole(head(line, DEFAULT_BODY_BYTES), short_body(DEFAULT_BODY_BYTES));
    server
        .withstands(server.address, DEFAULT_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against chunked bodies of callers without a token that are buffered before the caller is authenticated.
#[tokio::test]
async fn entry_withstands_large_chunks() {
    let mut server = Server::entry().await;
    let pattern = Pattern::whole(chunked_head("POST /v1/services/desk/jobs"), chunks(127, 65_536));
    server
        .withstands(server.address, DEFAULT_BODY_CLIENTS, &pattern)
        .await;
}

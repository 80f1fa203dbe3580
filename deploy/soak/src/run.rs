//! One soak: starts the system, injects the faults of a plan, and waits for it to serve again.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use chestnutfork_net::{HttpClient, http_client};
use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, sleep_until};

use crate::callers::{self, Traffic, exchange};
use crate::crowd::Crowd;
use crate::dialect::{self, CALLER_PORT, CONTROL_PORT, LINK_PORT, READY_PORT};
use crate::error::SoakError;
use crate::ledger::{CONFIGURATION_BOUND, Ledger, Report};
use crate::plan::{FULL_CAPACITY, Fault, Plan, SendPattern, Size, Step};
use crate::process::Process;
use crate::proxy::{Proxy, Weather};
use crate::seen::Seen;
use crate::workers::{Mood, Worker, WorkerMessage};

/// Callers that submit jobs at the same time.
const CALLERS: u64 = 8;
/// Port of the stand-ins for workers.
const WORKER_PORT: u16 = 8_080;
/// Time for the system to become ready.
const READY_WITHIN: Duration = Duration::from_secs(15);
/// Time after the last fault in which the system may still recover, as the deployments' settings allow.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time of the calm end, in which every job must be served.
const CALM: Duration = Duration::from_secs(3);
/// Time for jobs in progress to be answered: the patience of a caller, and a little more.
const LAST_ANSWERS: Duration = Duration::from_millis(4_500);
/// Time for an answer of control.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a process has ended that was asked to: the grace of the settings, and a second.
const END_WITHIN: Duration = Duration::from_secs(7);
/// Configurations that are sent one after the other when all faults are over.
const LAST_CHANGES: u64 = 20;
/// Bytes of a torn record.
const TORN: [u8; 11] = [0, 0, 0, 40, 1, 2, 3, 4, 5, 6, 7];

/// What a soak runs.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// Program under test.
    pub binary: PathBuf,
    /// Seed of plan, callers and workers.
    pub seed: u64,
    /// Processes.
    pub size: Size,
    /// Time in which faults begin.
    pub length: Duration,
    /// Second number of the loopback addresses (127.N.x.x); soaks at the same time need different ones.
    pub network: u8,
    /// Folder for settings, logs and disks.
    pub folder: PathBuf,
}

/// Machine of one process: the addresses that others use and those that the process listens on.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) zone: &'static str,
    pub(crate) folder: PathBuf,
    public: IpAddr,
    local: IpAddr,
}

impl Machine {
    fn new(cfg: &SoakConfig, name: String, number: usize) -> Self {
        let host = u8::try_from(number + 1).unwrap_or(u8::MAX);
        let ip = |network: u8| IpAddr::V4(Ipv4Addr::new(127, cfg.network, network, host));
        Self {
            zone: ["a", "b", "c"][number % 3],
            folder: cfg.folder.join(format!("disk-{name}")),
            name,
            public: ip(1),
            local: ip(2),
        }
    }

    /// Returns the address that others use.
    pub(crate) fn public(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.public, port)
    }

    /// Returns the address that the process listens on.
    pub(crate) fn local(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.local, port)
    }
}

/// Process with its machine and the proxies before it.
#[derive(Debug)]
struct Node {
    machine: Machine,
    process: Process,
    /// Settings of every start but the first.
    settings: Value,
    weather: watch::Sender<Weather>,
    _proxies: Vec<Proxy>,
    crowd: Option<Crowd>,
    asked_to_end: Option<Instant>,
}

/// Running system.
#[derive(Debug)]
struct System {
    size: Size,
    nodes: Vec<Node>,
    workers: Vec<Worker>,
    ledger: mpsc::UnboundedSender<Seen>,
    http: HttpClient,
    version: u64,
}

/// Plays one seed and returns what was seen.
///
/// # Errors
///
/// Returns an error if the programs cannot be started or do not become ready before the first fault.
pub async fn soak(cfg: &SoakConfig) -> Result<Report, SoakError> {
    let plan = Plan::draw(cfg.seed, cfg.size, cfg.length);
    let (ledger, rx) = mpsc::unbounded_channel();
    let log = cfg.folder.join("workers.log");
    let log = File::create(&log).map_err(|source| SoakError::Write { path: log, source })?;
    tokio::spawn(Ledger::with_log(log).run(rx));
    let mut system = System::start(cfg, ledger.clone()).await?;
    system.await_ready().await?;
    let (traffic, rx) = watch::channel(Traffic::Mixed);
    let entries = system.entry_addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let seed = cfg.seed.wrapping_mul(1_000).wrapping_add(caller);
            tokio::spawn(callers::run(seed, entries.clone(), ledger.clone(), rx.clone()))
        })
        .collect();
    system.play(&plan.steps).await?;
    // A caller that has ended by a panic shows in the counts; the same holds below.
    let _ = traffic.send(Traffic::Harmless);
    system.heal().await?;
    system.watch_for(RECOVERY).await;
    system.tell(Seen::Calm);
    system.change_and_check_entries().await;
    system.watch_for(CALM).await;
    let _ = traffic.send(Traffic::Ended);
    sleep(LAST_ANSWERS).await;
    for caller in callers {
        caller.abort();
    }
    system.read_back().await;
    let report = system.report().await;
    Ok(judge(report))
}

/// Adds what only shows at the end.
fn judge(report: Report) -> Report {
    let Report {
        counts,
        mut violations,
    } = report;
    if counts.calm_completed < counts.calm_jobs || counts.calm_jobs == 0 {
        let text = format!(
            "{} of {} jobs were served after all faults were over",
            counts.calm_completed, counts.calm_jobs
        );
        violations.push(text);
    }
    Report { counts, violations }
}

impl System {
    async fn start(cfg: &SoakConfig, ledger: mpsc::UnboundedSender<Seen>) -> Result<Self, SoakError> {
        let Size {
            controls,
            entries,
            agents,
        } = cfg.size;
        let roles = [("control", controls), ("entry", entries), ("agent", agents)];
        let roles = roles
            .into_iter()
            .flat_map(|(role, count)| (1..=count).map(move |number| (role, number)));
        let machines: Vec<(&'static str, Machine)> = roles
            .enumerate()
            .map(|(at, (role, number))| (role, Machine::new(cfg, format!("{role}-{number}"), at)))
            .collect();
        let control_machines: Vec<Machine> = machines[..controls]
            .iter()
            .map(|(_, machine)| machine.clone())
            .collect();
        let http = http_client(CONTROL_TIMEOUT);
        let mut nodes = Vec::new();
        let mut workers = Vec::new();
        for (role, machine) in machines {
            let worker = (role == "agent").then(|| machine.local(WORKER_PORT));
            if let Some(address) = worker {
                let agent = machine.local(CONTROL_PORT);
                let (index, ledger) = (workers.len(), ledger.clone());
                workers.push(Worker::start(index, address, agent, cfg.seed, ledger, http.clone()).await?);
            }
            let mut process = Process::new(&cfg.binary, role, &machine.name, machine.local, &cfg.folder);
            process.configure(&dialect::settings(&machine, &control_machines, worker, true))?;
            process.start()?;
            let settings = dialect::settings(&machine, &control_machines, worker, false);
            nodes.push(Node::start(machine, process, settings).await?);
        }
        Ok(Self {
            size: cfg.size,
            nodes,
            workers,
            ledger,
            http,
            version: 0,
        })
    }

    fn tell(&self, seen: Seen) {
        // Without a ledger the soak is over.
        drop(self.ledger.send(seen));
    }

    fn entry_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.nodes.iter().skip(self.size.controls).take(self.size.entries);
        entries.map(|node| node.machine.public(CALLER_PORT)).collect()
    }

    /// Waits until a configuration is in force and every entry is ready.
    async fn await_ready(&mut self) -> Result<(), SoakError> {
        let begun = Instant::now();
        while begun.elapsed() < READY_WITHIN {
            if self.version == 0 && !self.configure_first().await {
                sleep(Duration::from_millis(100)).await;
                continue;
            }
            if self.all_ready().await {
                // All processes have read the settings of their first start by now.
                return self
                    .nodes
                    .iter()
                    .try_for_each(|node| node.process.configure(&node.settings));
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(SoakError::NotReady(READY_WITHIN.as_secs()))
    }

    async fn configure_first(&mut self) -> bool {
        let control = self.nodes[0].machine.public(CONTROL_PORT);
        let reply = exchange(
            &self.http,
            dialect::put_configuration(control, 1),
            CONTROL_TIMEOUT,
        )
        .await;
        let taken = reply.is_some_and(|(status, _)| status == StatusCode::OK);
        if taken {
            self.version = 1;
            self.tell(Seen::ConfigurationTaken {
                version: 1,
                at: Instant::now(),
            });
        }
        taken
    }

    async fn all_ready(&self) -> bool {
        for node in self.nodes.iter().skip(self.size.controls).take(self.size.entries) {
            let request = dialect::readiness(node.machine.public(READY_PORT));
            let reply = exchange(&self.http, request, CONTROL_TIMEOUT).await;
            if reply.is_none_or(|(status, _)| status != StatusCode::OK) {
                return false;
            }
        }
        true
    }

    async fn play(&mut self, steps: &[Step]) -> Result<(), SoakError> {
        let begun = tokio::time::Instant::now();
        for step in steps {
            sleep_until(begun + step.at).await;
            self.check_ends();
            self.inject(*step)?;
        }
        Ok(())
    }

    fn inject(&mut self, step: Step) -> Result<(), SoakError> {
        let Step { target, fault, .. } = step;
        match fault {
            Fault::WorkerCrash => self.tell_worker(target, WorkerMessage::Crash),
            Fault::WorkerRestart(restart) => self.tell_worker(target, WorkerMessage::Restart(restart)),
            Fault::WorkerCapacity(slots) => self.tell_worker(target, WorkerMessage::Capacity(slots)),
            Fault::WorkerLeave => self.tell_worker(target, WorkerMessage::Leave),
            Fault::WorkerFail => self.tell_worker(target, WorkerMessage::Mood(Mood::Failing)),
            Fault::WorkerSlow => self.tell_worker(target, WorkerMessage::Mood(Mood::Slow)),
            Fault::WorkerHang => self.tell_worker(target, WorkerMessage::Mood(Mood::Hanging)),
            Fault::WorkerMute => self.tell_worker(target, WorkerMessage::Mood(Mood::Mute)),
            Fault::WorkerSound => self.tell_worker(target, WorkerMessage::Mood(Mood::Sound)),
            Fault::Configure => self.configure(target),
            _ => self.nodes[target].inject(fault)?,
        }
        Ok(())
    }

    fn tell_worker(&self, worker: usize, message: WorkerMessage) {
        // Workers end with the system.
        drop(self.workers[worker].tx.send(message));
    }

    /// Sends the next configuration to one control process and reads what another one holds.
    fn configure(&mut self, target: usize) {
        self.version += 1;
        let version = self.version;
        let at = |target: usize| {
            self.nodes[target % self.size.controls]
                .machine
                .public(CONTROL_PORT)
        };
        let (put, get) = (at(target), at(target + 1));
        let (http, ledger) = (self.http.clone(), self.ledger.clone());
        tokio::spawn(async move {
            let reply = exchange(&http, dialect::put_configuration(put, version), CONTROL_TIMEOUT).await;
            if reply.is_some_and(|(status, _)| status == StatusCode::OK) {
                drop(ledger.send(Seen::ConfigurationTaken {
                    version,
                    at: Instant::now(),
                }));
            }
            read(&http, &ledger, get).await;
        });
    }

    /// Sends several configurations without faults, and checks that every entry has the last one in force in time.
    async fn change_and_check_entries(&mut self) {
        let mut taken = true;
        for change in 0..LAST_CHANGES {
            self.version += 1;
            let control = usize::try_from(change).unwrap_or(0) % self.size.controls;
            let control = self.nodes[control].machine.public(CONTROL_PORT);
            let request = dialect::put_configuration(control, self.version);
            let reply = exchange(&self.http, request, CONTROL_TIMEOUT).await;
            taken = reply.is_some_and(|(status, _)| status == StatusCode::OK);
        }
        let version = self.version;
        if !taken {
            self.tell(Seen::Violated(format!(
                "configuration {version} was not acknowledged after all faults were over"
            )));
            return;
        }
        let at = Instant::now();
        self.tell(Seen::ConfigurationTaken { version, at });
        self.watch_for(CONFIGURATION_BOUND).await;
        for entry in self.entry_addresses() {
            let request = dialect::get_version_queue(entry, version);
            let reply = exchange(&self.http, request, CONTROL_TIMEOUT).await;
            if reply.is_none_or(|(status, _)| status != StatusCode::OK) {
                self.tell(Seen::Violated(format!(
                    "configuration {version} is not in force at {entry} {CONFIGURATION_BOUND:?} after it was acknowledged"
                )));
            }
        }
    }

    /// Ends all faults and starts what does not run.
    async fn heal(&mut self) -> Result<(), SoakError> {
        for worker in 0..self.workers.len() {
            self.tell_worker(worker, WorkerMessage::Mood(Mood::Sound));
            self.tell_worker(worker, WorkerMessage::Capacity(FULL_CAPACITY));
        }
        for node in &mut self.nodes {
            node.inject(Fault::Resume)?;
            node.inject(Fault::Clear)?;
            node.inject(Fault::CrowdLeaves)?;
        }
        self.watch_for(END_WITHIN).await;
        for node in &mut self.nodes {
            node.inject(Fault::Start)?;
        }
        Ok(())
    }

    /// Lets time pass and notices processes that end.
    async fn watch_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.check_ends();
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn check_ends(&mut self) {
        let mut broken = Vec::new();
        for node in &mut self.nodes {
            broken.extend(node.check_end());
        }
        for text in broken {
            self.tell(Seen::Violated(text));
        }
    }

    async fn read_back(&self) {
        for node in &self.nodes[..self.size.controls] {
            read(&self.http, &self.ledger, node.machine.public(CONTROL_PORT)).await;
        }
    }

    async fn report(&self) -> Report {
        let exceeded = self.nodes.iter().filter_map(Node::check_memory);
        exceeded.for_each(|text| self.tell(Seen::Violated(text)));
        let (reply, report) = oneshot::channel();
        self.tell(Seen::Report(reply));
        report.await.unwrap_or_default()
    }
}

/// Reads the configuration at a control process; one that cannot tell is no evidence.
async fn read(http: &HttpClient, ledger: &mpsc::UnboundedSender<Seen>, control: SocketAddr) {
    let asked_at = Instant::now();
    let reply = exchange(http, dialect::get_configuration(control), CONTROL_TIMEOUT).await;
    if let Some((StatusCode::OK, body)) = reply {
        let version = dialect::read_version(&body);
        drop(ledger.send(Seen::ConfigurationRead { asked_at, version }));
    }
}

impl Node {
    async fn start(machine: Machine, process: Process, settings: Value) -> Result<Self, SoakError> {
        let (weather, rx) = watch::channel(Weather::default());
        let mut proxies = Vec::new();
        for port in [LINK_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT] {
            proxies.push(Proxy::start(machine.public(port), machine.local(port), rx.clone()).await?);
        }
        Ok(Self {
            machine,
            process,
            settings,
            weather,
            _proxies: proxies,
            crowd: None,
            asked_to_end: None,
        })
    }

    fn inject(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::Pause => {
                // A paused process cannot end in time.
                self.asked_to_end = None;
                self.process.pause();
            }
            Fault::Resume => self.process.resume(),
            Fault::Kill => self.process.kill(),
            Fault::KillTorn => {
                self.process.kill();
                tear_log(&self.machine.folder);
            }
            Fault::KillWiped => {
                self.process.kill();
                // A process without files has nothing to lose.
                let _ = std::fs::remove_dir_all(&self.machine.folder);
            }
            Fault::Start => self.process.start()?,
            Fault::Terminate => {
                self.asked_to_end.get_or_insert_with(Instant::now);
                self.process.terminate();
            }
            Fault::HangUp => self.process.hang_up(),
            Fault::Delay(delay) => self.weather.send_modify(|weather| weather.delay = delay),
            Fault::HoldInward => self.weather.send_modify(|weather| weather.hold_inward = true),
            Fault::HoldOutward => self.weather.send_modify(|weather| weather.hold_outward = true),
            Fault::HoldAll => self.weather.send_modify(|weather| {
                weather.hold_inward = true;
                weather.hold_outward = true;
            }),
            Fault::Clear => self.weather.send_modify(|weather| {
                weather.delay = Duration::ZERO;
                weather.hold_inward = false;
                weather.hold_outward = false;
            }),
            Fault::Reset => self.weather.send_modify(Weather::reset),
            Fault::Silence => self.weather.send_modify(|weather| {
                weather.generation += 1;
                weather.silent_below = weather.generation;
            }),
            Fault::Crowd(pattern) => self.crowd = Some(self.start_crowd(pattern)),
            Fault::CrowdLeaves => self.crowd = None,
            // Faults of workers and operators are not those of a process.
            _ => {}
        }
        Ok(())
    }

    /// Starts a crowd at the port whose requests come from outside. It does not pass the proxy, which has connections of its
    /// own.
    fn start_crowd(&self, pattern: SendPattern) -> Crowd {
        let (port, line) = dialect::crowded_port(self.process.role());
        Crowd::start(self.machine.local(port), line, pattern)
    }

    /// Returns by how much the process has exceeded the memory in its settings, if at all.
    fn check_memory(&self) -> Option<String> {
        let peak = self.process.peak_memory_mb()?;
        let exceeds = peak > dialect::MEMORY_MB;
        exceeds.then(|| {
            format!(
                "{} has used {peak} MiB of {}",
                self.machine.name,
                dialect::MEMORY_MB
            )
        })
    }

    /// Returns what is wrong with the end of the process, or with its lack.
    fn check_end(&mut self) -> Option<String> {
        if let Some((status, explained)) = self.process.ended() {
            self.asked_to_end = None;
            return (!explained).then(|| format!("{} ended by itself: {status}", self.machine.name));
        }
        if !self.process.is_running() {
            self.asked_to_end = None;
        }
        let late = self.asked_to_end.is_some_and(|at| at.elapsed() > END_WITHIN);
        if late {
            self.asked_to_end = None;
        }
        late.then(|| {
            format!(
                "{} has not ended {END_WITHIN:?} after it was asked to",
                self.machine.name
            )
        })
    }
}

/// Adds a part of a record to the newest log segment, as a write that was not synced may leave it.
fn tear_log(folder: &Path) {
    let segments = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let segments = segments.filter(|file| file.file_name().to_string_lossy().starts_with("log"));
    let newest = segments.map(|file| file.path()).max();
    if let Some(path) = newest
        && let Ok(mut content) = std::fs::read(&path)
    {
        content.extend_from_slice(&TORN);
        // A disk that refuses the write is intact.
        let _ = std::fs::write(&path, content);
    }
}

//! Cluster of separate processes on loopback, with simulated targets in the test process.

mod http;
mod process;
mod settings;

use std::process::Output;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use chestnutfork_standin::{Journal, RunOutcome, Target, TargetHandle};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::sync::{Mutex, MutexGuard};
use uuid::Uuid;

pub(crate) use http::{Reply, post, submit};
pub(crate) use process::Process;
use settings::{Addresses, OPERATOR_TOKEN, document};
pub(crate) use settings::{TARGET_TOKEN, TEAM_TOKEN};

/// Service in the configuration of every cluster; its tasks start at most once.
pub(crate) const SERVICE: &str = "desk";
/// Tasks that each simulated target runs at once.
const SLOTS: u32 = 4;
pub(crate) const CONTROLS: usize = 3;
pub(crate) const ENTRIES: usize = 2;
pub(crate) const AGENTS: usize = 3;
/// Time limit of every wait; far above what a busy machine needs, so that only a real fault exceeds it.
const WAIT_TIMEOUT: Duration = Duration::from_mins(2);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Serializes the tests that start a cluster, which bounds the number of processes.
static CLUSTER_LOCK: Mutex<()> = Mutex::const_new(());
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// Running processes and targets; dropping it ends them.
pub(crate) struct Cluster {
    pub(crate) controls: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) targets: Vec<TargetHandle>,
    pub(crate) addresses: Addresses,
    folder: TempDir,
    _lock: MutexGuard<'static, ()>,
}

impl Cluster {
    /// Starts all processes, applies the configuration with the binary and waits until both entries can use all targets.
    pub(crate) async fn start() -> Self {
        let lock = CLUSTER_LOCK.lock().await;
        let folder = TempDir::new().unwrap();
        let addresses = Addresses::new(NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed));
        std::fs::write(folder.path().join("operator.token"), OPERATOR_TOKEN).unwrap();
        let start = |role: &str, number: usize, settings: &Value| {
            Process::start(folder.path(), role, &format!("{role}-{number}"), settings)
        };
        let controls = (1..=CONTROLS).map(|n| start("control", n, &addresses.control_settings(n)));
        let controls = controls.collect();
        let entries = (1..=ENTRIES).map(|n| start("entry", n, &addresses.entry_settings(n)));
        let entries = entries.collect();
        let agents = (1..=AGENTS).map(|n| start("agent", n, &addresses.agent_settings(n)));
        let agents = agents.collect();
        let mut targets = Vec::new();
        for number in 1..=AGENTS {
            let target = Target::builder(format!("target-{number}"))
                .slots(SLOTS)
                .agent(addresses.agent(number))
                .token(TARGET_TOKEN);
            targets.push(target.start().await.unwrap());
        }
        let cluster = Self {
            controls,
            entries,
            agents,
            targets,
            addresses,
            folder,
            _lock: lock,
        };
        cluster.patch(&document()).await;
        for entry in 1..=ENTRIES {
            let what = format!("entry-{entry} is ready");
            wait_until(&what, async || cluster.is_ready(entry).await.then_some(())).await;
        }
        cluster
    }

    /// Starts an additional process with the given settings.
    pub(crate) fn start_process(&self, role: &str, name: &str, settings: &Value) -> Process {
        Process::start(self.folder.path(), role, name, settings)
    }

    /// Runs an operator command of the binary.
    pub(crate) fn run_operator_command(&self, arguments: &[&str]) -> Output {
        let token = self.folder.path().join("operator.token");
        self.run_operator_command_with(token.to_str().unwrap(), arguments)
    }

    fn run_operator_command_with(&self, token_file: &str, arguments: &[&str]) -> Output {
        let mut command = process::binary();
        let controls = self.addresses.operators();
        command.args(arguments).args(["--control", &controls]);
        command.args(["--token-file", token_file, "--output", "json"]);
        command.output().unwrap()
    }

    /// Runs an operator command with a token that no operator has.
    pub(crate) fn run_operator_command_with_invalid_token(&self, arguments: &[&str]) -> Output {
        let token = self.folder.path().join("invalid.token");
        std::fs::write(&token, "no operator has this token").unwrap();
        self.run_operator_command_with(token.to_str().unwrap(), arguments)
    }

    /// Writes a patch and returns the path of its file.
    pub(crate) fn patch_file(&self, body: &Value) -> String {
        let path = self.folder.path().join("patch.json");
        std::fs::write(&path, body.to_string()).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Applies a patch with the binary and returns the new version.
    pub(crate) async fn patch(&self, body: &Value) -> u64 {
        let file = self.patch_file(body);
        let id = Uuid::now_v7().to_string();
        let base = wait_until("control shows a version", async || self.version()).await;
        let (base, next) = (base.to_string(), base + 1);
        let arguments = ["patch", &file, "--base", &base, "--reason", "test", "--id", &id];
        // Repeating the command with the same id is safe if the outcome of an earlier attempt is unknown.
        let verdict = wait_until("the patch has a verdict", async || {
            let output = self.run_operator_command(&arguments);
            (output.status.code() != Some(1)).then_some(output)
        })
        .await;
        assert!(verdict.status.success(), "{verdict:?}");
        assert_eq!(self.version(), Some(next));
        next
    }

    /// Returns the current version of the configuration, if control answers.
    pub(crate) fn version(&self) -> Option<u64> {
        let output = self.run_operator_command(&["config"]);
        let config: Value = serde_json::from_slice(&output.stdout).ok()?;
        config["version"].as_u64()
    }

    /// Returns the status reported by control, if it answers.
    pub(crate) fn status(&self) -> Option<Value> {
        let output = self.run_operator_command(&["status"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    async fn is_ready(&self, entry: usize) -> bool {
        let Some(status) = self.entry_status(entry).await else {
            return false;
        };
        let usable = |target: &&Value| target["credits"].as_u64() > Some(0);
        let targets = status["targets"].as_array().unwrap().iter();
        status["confirmed"] == true
            && status["member"] == true
            && status["members"] == ENTRIES
            // Before that, losing an entry may lose the register with it, and jobs are then answered as unknown.
            && status["settled"] == true
            && targets.filter(usable).count() == AGENTS
    }

    /// Returns the status page of an entry.
    pub(crate) async fn entry_status(&self, entry: usize) -> Option<Value> {
        let reply = http::get(self.addresses.entry(entry), "/v1/status", TEAM_TOKEN).await;
        let reply = reply.ok()?;
        (reply.status == 200).then_some(reply.body)
    }

    pub(crate) async fn submit(&self, entry: usize, job: &Job) -> Result<Reply, String> {
        submit(self.addresses.entry(entry), SERVICE, TEAM_TOKEN, &job.body()).await
    }

    /// Returns the journals of all targets.
    pub(crate) async fn journals(&self) -> Vec<Journal> {
        let mut journals = Vec::new();
        for target in &self.targets {
            journals.push(target.journal().await.unwrap());
        }
        journals
    }

    /// Waits until a target has started a task of a job.
    pub(crate) async fn wait_started(&self, job: &Job) {
        wait_until("a task of the job starts", async || {
            let journals = self.journals().await;
            let entries = journals.iter().flat_map(|journal| &journal.entries);
            let mut started = entries.filter(|entry| entry.job == job.id && entry.started());
            started.next().map(drop)
        })
        .await;
    }

    /// Checks that every task of a job started at most once.
    pub(crate) async fn assert_started_once(&self, job: &Job) {
        let mut starts = vec![0; job.tasks];
        for journal in self.journals().await {
            let started = journal.entries.iter().filter(|entry| entry.started());
            for entry in started.filter(|entry| entry.job == job.id) {
                starts[usize::from(entry.task)] += 1;
            }
        }
        assert!(starts.iter().all(|&count| count <= 1), "{starts:?}");
    }

    /// Checks that an answer is complete, that the target named for each task ran it, and that no task started twice.
    pub(crate) async fn assert_completed(&self, job: &Job, reply: &Reply) {
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.body["job_id"], job.id.to_string());
        assert_eq!(reply.body["outcome"], "completed", "{}", reply.body);
        let tasks = reply.body["tasks"].as_array().unwrap();
        assert_eq!(tasks.len(), job.tasks);
        let journals = self.journals().await;
        for (index, task) in tasks.iter().enumerate() {
            assert_eq!(task["status"], "completed");
            assert_eq!(task["output"]["job"], job.id.to_string());
            assert_eq!(task["output"]["task"], index);
            assert_eq!(task["output"]["echo"], job.echo(index));
            let target = task["output"]["target"].as_str().unwrap();
            let journal = journals.iter().find(|journal| journal.target == target).unwrap();
            let mut runs = journal.entries.iter();
            let ran = runs.any(|entry| {
                entry.job == job.id
                    && usize::from(entry.task) == index
                    && entry.outcome == Some(RunOutcome::Completed)
            });
            assert!(ran, "{target} has no run of task {index}");
        }
        self.assert_started_once(job).await;
    }
}

/// Job of equal tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: Uuid,
    pub(crate) tasks: usize,
    run_ms: u32,
}

impl Job {
    pub(crate) fn new(tasks: usize, run_ms: u32) -> Self {
        let id = Uuid::now_v7();
        Self { id, tasks, run_ms }
    }

    fn echo(&self, index: usize) -> String {
        format!("{}/{index}", self.id)
    }

    /// Returns the request body.
    pub(crate) fn body(&self) -> Value {
        let tasks = (0..self.tasks).map(|index| {
            let payload = json!({ "run_ms": self.run_ms, "echo": self.echo(index) });
            json!({ "payload": payload, "declared_ms": self.run_ms })
        });
        json!({
            "job_id": self.id.to_string(),
            "deadline_ms": 60_000,
            "tasks": tasks.collect::<Vec<_>>(),
        })
    }
}

/// Polls a condition until it returns a value; panics with `what` after the time limit.
pub(crate) async fn wait_until<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

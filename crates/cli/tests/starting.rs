//! Tests of signals that reach a process while it starts.

use std::fs::{OpenOptions, read_to_string};
use std::io::Write;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use tempfile::tempdir;

/// Time within which the process has to read its settings, and then to end.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Interval of the checks whether the process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Child that is killed when dropped.
struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        // A process that has already exited needs no signal.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn chestnutfork() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chestnutfork"))
}

/// Sends signals to the process while it waits for its settings, which come from a named pipe, and asserts that it ends
/// with exit code 0 once it has read them.
fn signal_while_reading_settings(mut command: Command, pipe: &Path, signals: &[&str], settings: &str) {
    let made = Command::new("mkfifo").arg(pipe).status().expect("mkfifo runs");
    assert!(made.success());
    let log = pipe.with_extension("log");
    let output = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&log)
        .expect("a log");
    let child = command
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a duplicate"))
        .stderr(output)
        .spawn()
        .expect("the process starts");
    let mut child = Killed(child);
    // Opening the pipe blocks until the process has opened it too, so a thread does it and the wait is bounded.
    let (tx, rx) = mpsc::channel();
    let path = pipe.to_owned();
    thread::spawn(move || tx.send(OpenOptions::new().write(true).open(path)));
    let opened = rx
        .recv_timeout(TIME_LIMIT)
        .expect("the process reads its settings");
    let mut writer = opened.expect("the pipe opens");
    let id = child.0.id().to_string();
    for signal in signals {
        let sent = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\"", signal, &id])
            .status();
        assert!(sent.expect("sh runs").success());
    }
    // What reads the settings again must not wait for another writer.
    std::fs::remove_file(pipe).expect("the pipe is removed");
    std::fs::write(pipe, settings).expect("the settings are written");
    // Fails if a signal has killed the process, which its exit status shows.
    let _ = writer.write_all(settings.as_bytes());
    drop(writer);
    let deadline = Instant::now() + TIME_LIMIT;
    let status = loop {
        if let Some(status) = child.0.try_wait().expect("a child") {
            break status;
        }
        assert!(
            Instant::now() < deadline,
            "{command:?} goes on: {}",
            read_to_string(&log).unwrap()
        );
        thread::sleep(POLL_INTERVAL);
    };
    let log = read_to_string(&log).expect("a log");
    assert_eq!(status.code(), Some(0), "{command:?} ended with {status}: {log}");
}

fn fleet_settings(ip: &str, folder: &Path) -> String {
    let address = |port: u16| format!("{ip}:{port}");
    let settings = json!({
        "node_name": "node-1", "ip": ip, "zone": "a", "internal_ports": [7720, 7735], "seeds": [address(8166)],
        "listen_addrs": {"frontend": address(8080), "readiness": address(8081), "control": address(8166)},
        "app": address(9000), "data_dir": folder.join("data"),
    });
    settings.to_string()
}

/// Guards against a signal handler that is installed only after the settings have been read: until then SIGTERM kills a
/// process of the platform instead of stopping it gracefully.
#[test]
fn fleet_roles_stop_gracefully_while_reading_settings() {
    for (role, ip) in [
        ("agent", "127.12.0.1"),
        ("entry", "127.12.0.2"),
        ("control", "127.12.0.3"),
    ] {
        let folder = tempdir().expect("a folder");
        let pipe = folder.path().join("settings.json");
        let mut command = chestnutfork();
        command.args(["fleet", role]).env("CHESTNUTFORK_CONFIG", &pipe);
        let settings = fleet_settings(ip, folder.path());
        signal_while_reading_settings(command, &pipe, &["TERM"], &settings);
    }
}

/// Guards against a SIGHUP that kills a process of the platform which is still starting; the SIGTERM ends the test.
#[test]
fn fleet_role_survives_hangup_while_reading_settings() {
    let folder = tempdir().expect("a folder");
    let pipe = folder.path().join("settings.json");
    let mut command = chestnutfork();
    command.args(["fleet", "agent"]).env("CHESTNUTFORK_CONFIG", &pipe);
    let settings = fleet_settings("127.12.0.5", folder.path());
    signal_while_reading_settings(command, &pipe, &["HUP", "TERM"], &settings);
}

/// Guards against the same fault in the roles with YAML settings.
#[test]
fn role_stops_gracefully_while_reading_settings() {
    let folder = tempdir().expect("a folder");
    let pipe = folder.path().join("settings.yaml");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/agent.yaml");
    let settings = read_to_string(example).expect("an example");
    let settings = settings.replace("127.0.0.1:7400", "127.12.0.4:7400");
    let mut command = chestnutfork();
    command.args(["agent", "--config"]).arg(&pipe);
    signal_while_reading_settings(command, &pipe, &["TERM"], &settings);
}

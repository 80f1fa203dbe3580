//! Process of the binary that is killed when dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

use super::wait_until;

/// Running process and its log file.
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Writes the settings as JSON, which is valid YAML, and starts the role with them.
    pub(crate) fn start(folder: &Path, role: &str, name: &str, settings: &Value) -> Self {
        let config = folder.join(format!("{name}.yaml"));
        std::fs::write(&config, settings.to_string()).unwrap();
        let log = folder.join(format!("{name}.log"));
        let child = binary()
            .arg(role)
            .arg("--config")
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).unwrap())
            .spawn()
            .unwrap();
        Self { child, log }
    }

    /// Returns the log written so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", "kill -TERM \"$0\"", &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal killed it.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let status = wait_until("the process ends", async || self.child.try_wait().unwrap()).await;
        status.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has already exited needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("{}:\n{log}", self.log.display());
        }
    }
}

/// Returns a command that runs the binary.
pub(crate) fn binary() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chestnutfork"))
}

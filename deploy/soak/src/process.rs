//! One process of the binary: start, signals, and an end by its id.

use std::fs::OpenOptions;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::SoakError;

/// Exit code of a process whose graceful shutdown a second request has cut short.
const CUT_SHORT: i32 = 1;

/// Process that is started again and again with the same settings.
#[derive(Debug)]
pub(crate) struct Process {
    role: &'static str,
    binary: PathBuf,
    bind: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Requests to stop since the start.
    stop_requests: u32,
}

impl Process {
    pub(crate) fn new(binary: &Path, role: &'static str, name: &str, bind: IpAddr, folder: &Path) -> Self {
        Self {
            role,
            binary: binary.to_owned(),
            bind,
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            child: None,
            stop_requests: 0,
        }
    }

    /// Writes the settings that the next start reads.
    pub(crate) fn configure(&self, settings: &serde_json::Value) -> Result<(), SoakError> {
        std::fs::write(&self.settings, settings.to_string()).map_err(|source| SoakError::Write {
            path: self.settings.clone(),
            source,
        })
    }

    /// Starts the process if it does not run.
    pub(crate) fn start(&mut self) -> Result<(), SoakError> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|source| SoakError::Write {
            path: self.log.clone(),
            source,
        })?;
        let child = Command::new(&self.binary)
            .args(["fleet", self.role, "--bind", &self.bind.to_string()])
            .env("CHESTNUTFORK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.map_err(|source| SoakError::Binary {
            path: self.binary.clone(),
            source,
        })?;
        self.child = Some(child);
        self.stop_requests = 0;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself a moment ago.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub(crate) fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Asks the process to stop gracefully.
    pub(crate) fn terminate(&mut self) {
        self.stop_requests += 1;
        self.signal(Signal::TERM);
    }

    /// Returns whether the process has ended, and if so, whether as its requests to stop explain.
    pub(crate) fn ended(&mut self) -> Option<(ExitStatus, bool)> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        let explained = match self.stop_requests {
            0 => false,
            1 => status.success(),
            // A second request cuts the shutdown short, which the exit code tells.
            _ => status.success() || status.code() == Some(CUT_SHORT),
        };
        Some((status, explained))
    }

    pub(crate) fn role(&self) -> &'static str {
        self.role
    }

    /// Returns the largest memory that the running process has used, in MiB.
    pub(crate) fn peak_memory_mb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = peak.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kib.div_ceil(1_024))
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&self, signal: Signal) {
        // The id belongs to this child until it has been waited for.
        let id = self.child.as_ref().map(|child| child.id().cast_signed());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // A process that has ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

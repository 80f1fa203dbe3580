//! Events of every process.

use std::time::Duration;

use crate::declaration::events;

events! {
    /// Events of every process.
    pub enum ProcessEvent<'a> {
        1001 Started "started" Info "process started" {
            role: &'a str = "Role of the process.",
            node: &'a str = "Name of the process from its settings.",
            process: u64 = "Random id that the process chose at this start.",
        }
            meaning: "The process has read its settings, is listening and starts to serve.",
            remedy: "None.";
        1002 Draining "draining" Info "process is draining" {
            node: &'a str = "Name of the process.",
            grace: Duration = "Longest time that the process waits for work in flight.",
        }
            meaning: "The process received SIGTERM, accepts no new work and finishes the work in flight.",
            remedy: "None; wait for event 1003.";
        1003 Stopped "stopped" Info "process stopped" {
            node: &'a str = "Name of the process.",
            unfinished: u64 = "Work items in flight that the process abandoned at the end of the grace period.",
        }
            meaning: "The process has completed its shutdown.",
            remedy: "If `unfinished` is not 0, raise `shutdown_grace_ms` above the longest deadline of the services.";
        1004 SettingsRefused "settings_refused" Critical "settings refused" {
            file: &'a str = "File of the settings.",
            key: &'a str = "Key path of the setting.",
            error: &'a str = "Error and remedy.",
        }
            meaning: "The settings have an error, so the process does not start.",
            remedy: "Correct the setting as described in `error`; `chestnutfork check` lists all errors of a file.";
        1005 ListenFailed "listen_failed" Critical "cannot listen on the address" {
            address: &'a str = "Address of the setting.",
            error: &'a str = "Error of the operating system.",
        }
            meaning: "The process cannot open one of its listening sockets.",
            remedy: "Free the port or change the address in the settings.";
        1006 ActorFailed "actor_failed" Error "actor ended unexpectedly" {
            actor: &'a str = "Name of the actor.",
            error: &'a str = "Error or panic message.",
        }
            meaning: "A task of the process failed because of a programming error; the process shuts down.",
            remedy: "Report the event as a bug; the platform restarts the process.";
        1007 InvariantViolated "invariant_violated" Critical "invariant violated" {
            invariant: &'a str = "Name of the invariant.",
            detail: &'a str = "State that violates it.",
        }
            meaning: "The verifier found a state that must never occur; the process shuts down.",
            remedy: "Keep the log of the process and report the event as a bug.";
        1008 MetricsFailed "metrics_failed" Warn "metrics cannot be sent" {
            address: &'a str = "Address of the metrics receiver.",
            error: &'a str = "Error of the operating system.",
        }
            meaning: "The process cannot send its metrics; it continues without them.",
            remedy: "Check the setting `metrics.statsd` and the receiver.";
        1009 Interrupted "interrupted" Warn "shutdown cut short" {
            node: &'a str = "Name of the process.",
            unfinished: u64 = "Work items in flight that the process abandoned.",
        }
            meaning: "The process received a second signal, or its grace period ended, while work was in flight.",
            remedy: "Raise `shutdown_grace_ms`, and the time that the platform waits before it kills the process.";
        1010 LogDropped "log_dropped" Warn "log events dropped" {
            events: u64 = "Number of events that were not written.",
        }
            meaning: "The reader of the log was too slow or stopped, or a write failed, so events were dropped instead of blocking the process.",
            remedy: "Check the reader and the storage of the log; raise `log.level` if there are too many events.";
        1011 Reloaded "reloaded" Info "settings read again" {
            node: &'a str = "Name of the process.",
            changed: bool = "Whether a setting that the process uses differs from the one in force.",
        }
            meaning: "The process received SIGHUP. Changes take effect at the next start; names of other processes come from control.",
            remedy: "None.";
    }
}

//! Settings common to all roles.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_events::{Format, Severity};
use chestnutfork_schema::Violation;
use chestnutfork_types::NodeName;
use serde::Deserialize;

/// Log output settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum severity that is logged.
    pub level: Severity,
    /// Format of log lines.
    pub format: Format,
}

/// Limits of a process on what clients may make it hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// Number of descriptors that the process may open.
    pub max_fds: usize,
    /// Maximum size of the head of a request in bytes.
    pub max_header_bytes: usize,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct LimitModel {
    memory_mb: usize,
    max_fds: usize,
    max_header_bytes: usize,
}

impl From<LimitModel> for LimitSettings {
    fn from(model: LimitModel) -> Self {
        Self {
            memory_mb: model.memory_mb,
            max_fds: model.max_fds,
            max_header_bytes: model.max_header_bytes,
        }
    }
}

/// Settings common to all roles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Name of the process.
    pub name: NodeName,
    /// Maximum time to wait for in-flight work at shutdown.
    pub shutdown_grace: Duration,
    /// Log output settings.
    pub log: LogSettings,
    /// Address of the `StatsD` receiver; without it, no metrics are sent.
    pub statsd: Option<SocketAddr>,
}

#[derive(Deserialize)]
pub(crate) struct ProcessModel {
    name: String,
    shutdown_grace_ms: u64,
    log: LogModel,
    metrics: MetricsModel,
}

#[derive(Deserialize)]
struct LogModel {
    level: String,
    format: String,
}

#[derive(Deserialize)]
struct MetricsModel {
    statsd: Option<SocketAddr>,
}

impl TryFrom<ProcessModel> for ProcessSettings {
    type Error = Violation;

    fn try_from(model: ProcessModel) -> Result<Self, Violation> {
        let level = Severity::from_name(&model.log.level)
            .ok_or_else(|| Violation::inconsistent("log.level", "is unknown; use info"))?;
        let format = Format::from_name(&model.log.format)
            .ok_or_else(|| Violation::inconsistent("log.format", "is unknown; use text"))?;
        Ok(Self {
            name: model.name,
            shutdown_grace: Duration::from_millis(model.shutdown_grace_ms),
            log: LogSettings { level, format },
            statsd: model.metrics.statsd,
        })
    }
}

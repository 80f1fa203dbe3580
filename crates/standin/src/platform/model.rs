//! Documents that the platform exchanges.

use chestnutfork_types::TaskIndex;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Id of a lease.
pub type LeaseId = u64;

/// Machine that runs tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Name of the worker.
    pub name: String,
    /// Number of processors.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Rack of the worker.
    pub rack: String,
    /// Failure domain of the worker.
    pub failure_domain: String,
}

/// Request for a part of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Name of the process that asks.
    pub holder: String,
    /// Number of processors.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Lifetime in milliseconds, unless renewed.
    pub ttl_ms: u64,
}

/// Granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    pub id: LeaseId,
    /// Lifetime in milliseconds on the platform's clock, counted from the grant or renewal.
    pub ttl_ms: u64,
}

/// Use of a worker at some time in the past.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processors under lease.
    pub cores: u32,
    /// Memory under lease in MiB.
    pub memory_mib: u64,
    /// Accelerators under lease.
    pub accelerators: u32,
    /// Age of the figures in milliseconds.
    pub lag_ms: u64,
}

/// Task under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// Lease that the task runs under.
    pub lease: LeaseId,
    /// Job of the task.
    pub job: Uuid,
    /// Index of the task.
    pub task: TaskIndex,
}

/// What the platform can do to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskAction {
    /// Saves the state of the task.
    Checkpoint,
    /// Slows the task down.
    Throttle,
    /// Ends the task.
    Stop,
}

/// Notice that a worker leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Position in the order of notices, starting at 1.
    pub number: u64,
    /// Name of the worker.
    pub worker: String,
    /// Time from the notice until the worker is gone, in milliseconds.
    pub leaves_in_ms: u64,
}

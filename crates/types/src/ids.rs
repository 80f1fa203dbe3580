//! Aliases for the ids that processes exchange.

use std::time::Duration;

/// Id of a job: a `UUIDv7`, chosen by the caller, as an integer.
pub type JobId = u128;
/// Position of a task in its job, starting at zero.
pub type TaskIndex = u16;
/// Position of a step in its job, starting at zero.
pub type StepIndex = u16;
/// Random number that identifies one start of a process; a restarted process has a new one.
pub type ProcessId = u64;
/// Id of a slot credit, unique within one incarnation of an agent.
pub type CreditId = u64;
/// Version number of the configuration document; versions only rise.
pub type ConfigVersion = u64;
/// Number of a committed list of entries; views only rise.
pub type ViewNumber = u64;
/// Raft term.
pub type Term = u64;
/// Position in the replicated log, starting at one.
pub type LogIndex = u64;
/// Random id of a formatted data folder of a control process.
pub type ReplicaId = u64;
/// Id that an operator's client gives to a patch, so that a resend is recognised.
pub type PatchId = u128;

/// Name of a service in the configuration.
pub type ServiceName = String;
/// Name of a route in a route table.
pub type RouteName = String;
/// Name of a team in the configuration.
pub type TeamName = String;
/// Name of an operator in the settings of control.
pub type OperatorName = String;
/// Name that a target announces.
pub type TargetName = String;
/// Name of the pool of interchangeable targets that a target belongs to.
pub type PoolName = String;
/// Name of a process from its settings; it survives restarts.
pub type NodeName = String;
/// Name of a failure domain from the settings.
pub type FailureDomain = String;

/// Number of low bits of a `UUIDv7` that are not part of its time.
const UUID_V7_TIME_SHIFT: u32 = 80;

/// Returns the time part of a job id, as the duration since the Unix epoch in milliseconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let id: chestnutfork_types::JobId = 1_700_000_000_000 << 80;
/// assert_eq!(chestnutfork_types::job_timestamp(id), Duration::from_millis(1_700_000_000_000));
/// ```
#[must_use]
pub fn job_timestamp(job: JobId) -> Duration {
    // The time part has 48 bits, so it always fits.
    Duration::from_millis(u64::try_from(job >> UUID_V7_TIME_SHIFT).unwrap_or(u64::MAX))
}

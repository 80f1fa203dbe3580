//! Simulated counterparts of the system: a target that runs tasks, and the platform beneath workers.
//!
//! Both are small HTTP servers on loopback. A target runs tasks whose payload says how long they take, keeps a journal
//! of every start and end, and can be told to misbehave while it runs. The journal is the independent record that
//! experiments are judged by.

mod error;
mod leased_worker;
mod platform;
mod reply;
mod target;

pub use error::StandinError;
pub use leased_worker::{LeasedWorker, PastRun};
pub use platform::{
    HttpPlatform, Lease, LeaseId, LeaseRequest, Notice, Platform, PlatformBuilder, PlatformError,
    PlatformHandle, TaskAction, TaskRef, Usage, Worker, WorkerPlatform,
};
pub use target::{
    Behaviour, BehaviourChange, Journal, JournalEntry, Mode, RunOutcome, Target, TargetBuilder, TargetHandle,
    TaskOutput, TaskPayload,
};

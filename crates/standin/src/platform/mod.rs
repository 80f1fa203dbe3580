//! Simulated platform: workers in racks, leases on them, usage reports with a lag, and notices of leaving.

mod actor;
mod client;
mod handle;
mod http;
mod model;
mod state;

pub use client::{HttpPlatform, PlatformError, WorkerPlatform};
pub use handle::{Platform, PlatformBuilder, PlatformHandle};
pub use model::{Lease, LeaseId, LeaseRequest, Notice, TaskAction, TaskRef, Usage, Worker};

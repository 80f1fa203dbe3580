//! Open-loop load generator with answer verification and reports.
//!
//! [`run`] submits the jobs of a [`Scenario`] at their planned times, independent of how fast the system responds. It
//! verifies every answer, and after the run compares the answers with the journals of the simulated targets. All
//! figures come from observations of the caller and the targets, never from counters of the system under test.
//!
//! # Figures
//!
//! - The *response time* of a job is measured from its planned time to its first answer, so that it includes the delay
//!   of a stalled entry.
//! - The *ideal schedule* replays the tasks that started, at the planned times of their jobs and with their true run
//!   times, through a central queue without delay: each task is placed on the slot where it finishes earliest. A target
//!   receives no tasks while a fault sets its mode to another than normal, or makes it leave. The *response ratio* of a
//!   completed job is its response time divided by its ideal response time.
//! - A *wasted message* is a start that did not contribute to an answer, a second or later start of the same task, or a
//!   dispatch that the target refused. A start contributes if the first answer lists its task as completed, or as
//!   failed and the payload requests the failure; a start at a target that fails every task is therefore wasted. Starts
//!   of jobs that the caller cancelled are included, and also counted separately.
//! - *Goodput* is the work of the jobs that completed before their deadline and before the arrivals ended, per second
//!   of arrivals. Jobs that complete after the arrivals ended are excluded, so that queueing does not raise the goodput
//!   of an overloaded system.

mod arrivals;
mod check;
mod client;
mod compare;
mod error;
mod evaluation;
mod ideal;
mod journals;
mod number;
mod plan;
mod plot;
mod quantiles;
mod report;
mod run;
mod scenario;
mod wire;

pub use compare::compare;
pub use error::LoadError;
pub use ideal::{IdealJob, average_targets, ideal_response_times};
pub use plot::render_svg;
pub use report::{Latency, Report, SecondStats, SizeClass, Violation, WastedMessages};
pub use run::{Endpoints, HttpTargets, Targets, run};
pub use scenario::{
    Arrivals, Cancellations, Distribution, Fault, LocalProcesses, LocalTargetGroup, LongTasks, Rate,
    Resubmissions, Scenario, ScenarioBuilder, WrongDeclarations,
};

//! Open-loop load, answer checks and reports.
//!
//! [`run`] submits the jobs of a [`Scenario`] at their planned times whatever the system does, checks every answer, and
//! afterwards compares the answers with the journals of the simulated targets. Its figures come only from what the
//! caller and the targets saw, never from counters of the system under test.
//!
//! # What is counted
//!
//! - The *response time* of a job counts from its planned time to its first whole answer, so a stalled entry cannot hide
//!   its delay.
//! - The *ideal* replays the tasks that started, at the planned times of their jobs and with their true run times, on a
//!   central queue without delay: each task goes to the slot on which it finishes earliest. A target with a fault that
//!   makes it useless takes no tasks while the fault lasts. The response ratio of a completed job is its response time
//!   over its ideal response time.
//! - A *wasted message* is a start that did not contribute to an answer, a second or later start of the same task, or a
//!   dispatch that the target refused. A start contributes if the first answer lists its task as completed, or as failed
//!   where the payload asks for the failure; a start at a target that fails everything is thus wasted. Starts of jobs
//!   that the caller cancelled count too, and are also listed apart.
//! - *Goodput* counts the jobs that completed before their deadline and before the arrivals ended, per second of
//!   arrivals. The work that drains afterwards does not count, so an overloaded system gains nothing by queueing.

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

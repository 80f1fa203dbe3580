//! Core types of chestnutfork: ids, jobs, tasks, answers, policies and the messages between entry and agent.
//!
//! Decision crates, codecs and actors all depend on these types. The crate defines plain data only: no sockets, no
//! clock and no encoding.

mod agent;
mod answer;
mod crashes;
mod demand;
mod ids;
mod interference;
mod job;
mod policy;
mod refusal;
mod runs;

pub use agent::{
    AgentToEntry, Announcement, AttemptOutcome, Dispatch, EntryToAgent, RefusalReason, Resolution, TaskResult,
};
pub use answer::{Answer, AnswerError, JobOutcome, TaskStatus};
pub use crashes::{IncarnationNumber, WorkerCrash};
pub use demand::{Demand, DemandBand, DemandSum, MAX_DEMAND_BANDS};
pub use ids::{
    ConfigVersion, CreditId, FailureDomain, JobId, LogIndex, NodeName, OperatorName, PatchId, PoolName,
    ProcessId, ReplicaId, RouteName, ServiceName, StepIndex, TargetName, TaskIndex, TeamName, Term,
    ViewNumber, job_timestamp,
};
pub use interference::{InterferenceReport, KindId, KindPair, OrderKinds, PairEvidence};
pub use job::{JobSpec, TaskSpec};
pub use policy::{
    EjectionPolicy, HedgePolicy, OptimizationGoal, Placement, RetryPolicy, ServicePolicy,
    ServicePolicyBuilder, UnconfirmedPolicy,
};
pub use refusal::{Execution, Refusal, RefusalCode};
pub use runs::{
    AttemptKey, AttemptNumber, EndLimit, EndedRun, EntryToWorker, HeartbeatNumber, Label, LinkNumber,
    OrderNumber, RecordedAttempt, Resources, RunNumber, RunOutcome, StartOrder, TaskKey, TaskOrder,
    WorkerDescription, WorkerLoad, WorkerName, WorkerToEntry,
};

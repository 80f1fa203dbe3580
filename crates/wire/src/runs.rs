//! Wire types for the messages between entries and the agents of workers.
//!
//! Variants and fields are encoded under one-letter names because CBOR repeats the names in every message.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, EndLimit, EndedRun, EntryToWorker, OrderKinds, RecordedAttempt, Resources, RunOutcome,
    StartOrder, TaskKey, TaskOrder, WorkerCrash, WorkerDescription, WorkerLoad, WorkerToEntry,
};
use serde::{Deserialize, Serialize};

use crate::demand::{DemandSumWire, DemandWire};
use crate::interference::{PairEvidenceWire, report_from_wire, report_to_wire};
use crate::raft::micros;

/// Wire form of [`AttemptKey`]: high and low half of the job id, step, index and attempt.
type AttemptWire = (u64, u64, u16, u16, u32);
/// Wire form of [`TaskKey`]: high and low half of the job id, step and index.
type TaskWire = (u64, u64, u16, u16);
/// Wire form of [`Resources`]: thousandths of a core, MB of memory and accelerators.
type ResourcesWire = (u64, u64, u64);
/// Wire form of [`RecordedAttempt`] with its resources.
type SizedAttemptWire = (AttemptWire, ResourcesWire);

/// Wire form of [`EndLimit`]: heartbeat and microseconds after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndLimitWire(Option<u64>, u64);

/// Wire form of [`EntryToWorker`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryToWorkerWire {
    /// Starts tasks.
    #[serde(rename = "s")]
    Start {
        /// Number of the order.
        #[serde(rename = "n")]
        number: u64,
        /// Latest heartbeat that the entry had received.
        #[serde(rename = "h")]
        last_heartbeat: u64,
        /// Time left until the latency objective, in microseconds.
        #[serde(rename = "u")]
        time_to_objective_us: u64,
        /// Input of the tasks.
        #[serde(rename = "i")]
        spec: Bytes,
        /// Tasks to start: attempt, resources and declared run time in microseconds.
        #[serde(rename = "t")]
        tasks: Vec<(AttemptWire, ResourcesWire, u64)>,
        /// Whether to refuse tasks that cannot start at once. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
        refuse_if_full: bool,
        /// Time left until the runs are stopped, in microseconds. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
        time_limit_us: Option<u64>,
        /// When the runs must have ended. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        end_limit: Option<EndLimitWire>,
        /// Shortest time between two reports of the load, in microseconds. Earlier versions do not send this field, and ignore
        /// it.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        report_interval_us: Option<u64>,
        /// Kinds of the tasks. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
        kinds: Vec<u64>,
        /// Kinds that the agent reports on. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
        watched_kinds: Vec<u64>,
    },
    /// Requests that attempts be stopped.
    #[serde(rename = "x")]
    Stop(Vec<AttemptWire>),
    /// Acknowledges a heartbeat.
    #[serde(rename = "h")]
    HeartbeatAck(u64),
    /// Lists the attempts that the entry has recorded for the agent: those to continue and those to stop.
    #[serde(rename = "c")]
    Reconcile(Vec<AttemptWire>, Vec<AttemptWire>),
    /// Lists attempts like [`Self::Reconcile`], with their resources. Earlier versions do not know it; agents that do say so in
    /// their description.
    #[serde(rename = "r")]
    ReconcileSized(Vec<SizedAttemptWire>, Vec<SizedAttemptWire>),
    /// Sets the time left to attempts, in microseconds. Earlier versions do not know it; agents that do say so in their
    /// description.
    #[serde(rename = "l")]
    TimeLimits(Vec<(AttemptWire, u64)>),
    /// Sets when attempts must have ended. Earlier versions do not know it; agents that do say so in their description.
    #[serde(rename = "e")]
    EndLimits(Vec<(AttemptWire, EndLimitWire)>),
    /// Records of lost workers. Earlier versions do not know it; agents that do say so in their description.
    #[serde(rename = "k")]
    Losses(Vec<WorkerCrashWire>),
    /// Acknowledges a heartbeat like [`Self::HeartbeatAck`], with the demand at the entry. Earlier versions do not know it;
    /// agents that do say so in their description.
    #[serde(rename = "d")]
    HeartbeatAckDemand(u64, DemandWire),
}

/// Wire form of [`WorkerToEntry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerToEntryWire {
    /// Describes the worker.
    #[serde(rename = "d")]
    Describe {
        /// Name of the worker's incarnation.
        #[serde(rename = "w")]
        worker: String,
        /// Pool that the worker belongs to.
        #[serde(rename = "p")]
        pool: String,
        /// Failure domain of the worker.
        #[serde(rename = "d")]
        failure_domain: String,
        /// Labels of the worker.
        #[serde(rename = "b")]
        labels: Vec<String>,
        /// Capacity of the worker.
        #[serde(rename = "c")]
        capacity: ResourcesWire,
        /// Whether the worker is being drained and accepts no new tasks.
        #[serde(rename = "l")]
        leaving: bool,
        /// Recent crashes of the worker. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
        crashes: Vec<WorkerCrashWire>,
        /// Whether the agent accepts [`EntryToWorkerWire::Losses`]. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
        stores_losses: bool,
        /// Whether the agent accepts [`EntryToWorkerWire::ReconcileSized`]. Earlier versions do not send this field, and
        /// ignore it.
        #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
        reads_resources: bool,
        /// Whether the agent accepts [`EntryToWorkerWire::TimeLimits`]. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "t", default, skip_serializing_if = "std::ops::Not::not")]
        reads_time_limits: bool,
        /// Whether the agent accepts [`EntryToWorkerWire::EndLimits`]. Earlier versions do not send this field, and ignore it.
        #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
        reads_end_limits: bool,
        /// Whether the agent accepts [`EntryToWorkerWire::HeartbeatAckDemand`]. Earlier versions do not send this field, and
        /// ignore it.
        #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
        reads_demand: bool,
    },
    /// Numbered heartbeat with the current load.
    #[serde(rename = "b")]
    Heartbeat(u64, LoadWire),
    /// Reports the load between heartbeats.
    #[serde(rename = "l")]
    Load(LoadWire),
    /// Reports ended attempts (attempt, outcome and run time in microseconds), and the load without them.
    #[serde(rename = "e")]
    Ended(Vec<(AttemptWire, RunOutcomeWire, u64)>, LoadWire),
    /// Heartbeat like [`Self::Heartbeat`], with the sum of the demand. It is only sent to entries that state their demand,
    /// because earlier versions do not know it.
    #[serde(rename = "m")]
    HeartbeatDemand(u64, LoadWire, DemandSumWire),
    /// Reports evidence of interference, and the number of running tasks of each kind. Earlier versions do not know it; entries
    /// that do state the kinds of their tasks.
    #[serde(rename = "i")]
    Interference {
        /// Evidence of pairs, if it is due.
        #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
        pairs: Option<Vec<PairEvidenceWire>>,
        /// Kinds with their numbers of running tasks.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        running: Vec<(u64, u32)>,
    },
}

/// Wire form of [`WorkerCrash`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrashWire {
    /// Number of the incarnation.
    #[serde(rename = "n")]
    incarnation: u64,
    /// Name of the worker.
    #[serde(rename = "w")]
    worker: String,
    /// Whether the incarnation has certainly crashed.
    #[serde(rename = "c")]
    confirmed: bool,
    /// Time since the loss was noticed, in microseconds.
    #[serde(rename = "a")]
    age_us: u64,
    /// Tasks that were on the worker.
    #[serde(rename = "t")]
    tasks: Vec<TaskWire>,
    /// Process that noticed the loss, if it is not the sender. Earlier versions do not send this field, and ignore it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    reporter: Option<u64>,
}

/// Wire form of [`WorkerLoad`]: free capacity, share of the entry, queued tasks, run time ratio, failure rate,
/// availability and latest order.
pub type LoadWire = (ResourcesWire, ResourcesWire, u32, u32, u32, bool, u64);

/// Wire form of [`RunOutcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcomeWire {
    /// The task completed.
    #[serde(rename = "c")]
    Completed,
    /// The task failed.
    #[serde(rename = "f")]
    Failed,
    /// The run was stopped.
    #[serde(rename = "s")]
    Stopped,
    /// The run ended without a result.
    #[serde(rename = "l")]
    Lost,
    /// The run did not start.
    #[serde(rename = "n")]
    NotStarted,
}

impl From<RunOutcome> for RunOutcomeWire {
    fn from(end: RunOutcome) -> Self {
        match end {
            RunOutcome::Completed => Self::Completed,
            RunOutcome::Failed => Self::Failed,
            RunOutcome::Stopped => Self::Stopped,
            RunOutcome::Lost => Self::Lost,
            RunOutcome::NotStarted => Self::NotStarted,
        }
    }
}

impl From<RunOutcomeWire> for RunOutcome {
    fn from(wire: RunOutcomeWire) -> Self {
        match wire {
            RunOutcomeWire::Completed => Self::Completed,
            RunOutcomeWire::Failed => Self::Failed,
            RunOutcomeWire::Stopped => Self::Stopped,
            RunOutcomeWire::Lost => Self::Lost,
            RunOutcomeWire::NotStarted => Self::NotStarted,
        }
    }
}

fn task_to_wire(task: TaskKey) -> TaskWire {
    let [high, low] = [0, 64].map(|shift| {
        let half = (task.job << shift) >> 64;
        u64::try_from(half).expect("half of the bits fit")
    });
    (high, low, task.step, task.index)
}

fn task_from_wire(wire: TaskWire) -> TaskKey {
    let (high, low, step, index) = wire;
    let job = (u128::from(high) << 64) | u128::from(low);
    TaskKey { job, step, index }
}

fn attempt_to_wire(key: AttemptKey) -> AttemptWire {
    let (high, low, step, index) = task_to_wire(key.task);
    (high, low, step, index, key.attempt)
}

fn attempt_from_wire(wire: AttemptWire) -> AttemptKey {
    let (high, low, step, index, attempt) = wire;
    let task = task_from_wire((high, low, step, index));
    AttemptKey { task, attempt }
}

impl From<WorkerCrash> for WorkerCrashWire {
    fn from(crash: WorkerCrash) -> Self {
        Self {
            incarnation: crash.incarnation,
            worker: crash.worker,
            confirmed: crash.confirmed,
            age_us: micros(crash.age),
            tasks: crash.tasks.into_iter().map(task_to_wire).collect(),
            reporter: crash.reporter,
        }
    }
}

impl From<WorkerCrashWire> for WorkerCrash {
    fn from(wire: WorkerCrashWire) -> Self {
        Self {
            incarnation: wire.incarnation,
            worker: wire.worker,
            confirmed: wire.confirmed,
            age: Duration::from_micros(wire.age_us),
            tasks: wire.tasks.into_iter().map(task_from_wire).collect(),
            reporter: wire.reporter,
        }
    }
}

fn attempts_to_wire(keys: Vec<AttemptKey>) -> Vec<AttemptWire> {
    keys.into_iter().map(attempt_to_wire).collect()
}

fn attempts_from_wire(wires: Vec<AttemptWire>) -> Vec<AttemptKey> {
    wires.into_iter().map(attempt_from_wire).collect()
}

/// Returns `None` if the resources of an attempt are unknown.
fn sized_to_wire(attempts: &[RecordedAttempt]) -> Option<Vec<SizedAttemptWire>> {
    let sized = attempts.iter().map(|attempt| {
        Some((
            attempt_to_wire(attempt.key),
            resources_to_wire(attempt.resources?),
        ))
    });
    sized.collect()
}

fn sized_from_wire(wires: Vec<SizedAttemptWire>) -> Vec<RecordedAttempt> {
    let attempts = wires.into_iter().map(|(key, resources)| RecordedAttempt {
        key: attempt_from_wire(key),
        resources: Some(resources_from_wire(resources)),
    });
    attempts.collect()
}

fn recorded_to_wire(attempts: &[RecordedAttempt]) -> Vec<AttemptWire> {
    attempts
        .iter()
        .map(|attempt| attempt_to_wire(attempt.key))
        .collect()
}

fn recorded_from_wire(wires: Vec<AttemptWire>) -> Vec<RecordedAttempt> {
    let attempts = wires.into_iter().map(|key| RecordedAttempt {
        key: attempt_from_wire(key),
        resources: None,
    });
    attempts.collect()
}

fn resources_to_wire(resources: Resources) -> ResourcesWire {
    (resources.cpu_millis, resources.memory_mb, resources.gpus)
}

fn resources_from_wire(wire: ResourcesWire) -> Resources {
    let (cpu_millis, memory_mb, gpus) = wire;
    Resources {
        cpu_millis,
        memory_mb,
        gpus,
    }
}

impl From<EndLimit> for EndLimitWire {
    fn from(limit: EndLimit) -> Self {
        Self(limit.heartbeat, micros(limit.after))
    }
}

impl From<EndLimitWire> for EndLimit {
    fn from(EndLimitWire(heartbeat, after_us): EndLimitWire) -> Self {
        Self {
            heartbeat,
            after: Duration::from_micros(after_us),
        }
    }
}

fn load_to_wire(load: WorkerLoad) -> LoadWire {
    let (free, share) = (resources_to_wire(load.free), resources_to_wire(load.share));
    let WorkerLoad {
        waiting,
        run_time_permille,
        failure_permille,
        available,
        last_order,
        ..
    } = load;
    (
        free,
        share,
        waiting,
        run_time_permille,
        failure_permille,
        available,
        last_order,
    )
}

fn load_from_wire(wire: LoadWire) -> WorkerLoad {
    let (free, share, waiting, run_time_permille, failure_permille, available, last_order) = wire;
    WorkerLoad {
        free: resources_from_wire(free),
        share: resources_from_wire(share),
        waiting,
        run_time_permille,
        failure_permille,
        available,
        last_order,
        demand: None,
    }
}

impl From<EntryToWorker> for EntryToWorkerWire {
    fn from(message: EntryToWorker) -> Self {
        match message {
            EntryToWorker::Start(order) => Self::Start {
                number: order.number,
                last_heartbeat: order.last_heartbeat,
                time_to_objective_us: micros(order.time_to_objective),
                spec: order.spec,
                refuse_if_full: order.refuse_if_full,
                time_limit_us: order.time_limit.map(micros),
                end_limit: order.end_limit.map(Into::into),
                report_interval_us: order.report_interval.map(micros),
                kinds: order.kinds.tasks,
                watched_kinds: order.kinds.watched,
                tasks: order
                    .tasks
                    .into_iter()
                    .map(|task| {
                        (
                            attempt_to_wire(task.key),
                            resources_to_wire(task.resources),
                            micros(task.declared_run_time),
                        )
                    })
                    .collect(),
            },
            EntryToWorker::Stop(keys) => Self::Stop(attempts_to_wire(keys)),
            EntryToWorker::HeartbeatAck(number, None) => Self::HeartbeatAck(number),
            EntryToWorker::HeartbeatAck(number, Some(demand)) => {
                Self::HeartbeatAckDemand(number, (&demand).into())
            }
            EntryToWorker::Reconcile { keep, stop } => match (sized_to_wire(&keep), sized_to_wire(&stop)) {
                (Some(keep), Some(stop)) => Self::ReconcileSized(keep, stop),
                _ => Self::Reconcile(recorded_to_wire(&keep), recorded_to_wire(&stop)),
            },
            EntryToWorker::TimeLimits(limits) => {
                let limits = limits.into_iter();
                Self::TimeLimits(
                    limits
                        .map(|(key, limit)| (attempt_to_wire(key), micros(limit)))
                        .collect(),
                )
            }
            EntryToWorker::EndLimits(limits) => {
                let limits = limits.into_iter();
                let limit = |(key, limit)| (attempt_to_wire(key), EndLimitWire::from(limit));
                Self::EndLimits(limits.map(limit).collect())
            }
            EntryToWorker::Losses(losses) => Self::Losses(losses.into_iter().map(Into::into).collect()),
        }
    }
}

impl From<EntryToWorkerWire> for EntryToWorker {
    fn from(wire: EntryToWorkerWire) -> Self {
        match wire {
            EntryToWorkerWire::Start {
                number,
                last_heartbeat,
                time_to_objective_us,
                spec,
                tasks,
                refuse_if_full,
                time_limit_us,
                end_limit,
                report_interval_us,
                kinds,
                watched_kinds,
            } => Self::Start(StartOrder {
                number,
                refuse_if_full,
                time_limit: time_limit_us.map(Duration::from_micros),
                end_limit: end_limit.map(Into::into),
                report_interval: report_interval_us.map(Duration::from_micros),
                kinds: OrderKinds {
                    tasks: kinds,
                    watched: watched_kinds,
                },
                last_heartbeat,
                time_to_objective: Duration::from_micros(time_to_objective_us),
                spec,
                tasks: tasks
                    .into_iter()
                    .map(|(key, amount, declared_run_time_us)| TaskOrder {
                        key: attempt_from_wire(key),
                        resources: resources_from_wire(amount),
                        declared_run_time: Duration::from_micros(declared_run_time_us),
                    })
                    .collect(),
            }),
            EntryToWorkerWire::Stop(keys) => Self::Stop(attempts_from_wire(keys)),
            EntryToWorkerWire::HeartbeatAck(number) => Self::HeartbeatAck(number, None),
            EntryToWorkerWire::HeartbeatAckDemand(number, demand) => {
                Self::HeartbeatAck(number, Some(demand.into()))
            }
            EntryToWorkerWire::Reconcile(keep, stop) => Self::Reconcile {
                keep: recorded_from_wire(keep),
                stop: recorded_from_wire(stop),
            },
            EntryToWorkerWire::ReconcileSized(keep, stop) => Self::Reconcile {
                keep: sized_from_wire(keep),
                stop: sized_from_wire(stop),
            },
            EntryToWorkerWire::TimeLimits(limits) => {
                let limits = limits.into_iter();
                let limit = |(key, limit)| (attempt_from_wire(key), Duration::from_micros(limit));
                Self::TimeLimits(limits.map(limit).collect())
            }
            EntryToWorkerWire::EndLimits(limits) => {
                let limits = limits.into_iter();
                let limit = |(key, limit)| (attempt_from_wire(key), EndLimit::from(limit));
                Self::EndLimits(limits.map(limit).collect())
            }
            EntryToWorkerWire::Losses(losses) => Self::Losses(losses.into_iter().map(Into::into).collect()),
        }
    }
}

impl From<WorkerToEntry> for WorkerToEntryWire {
    fn from(message: WorkerToEntry) -> Self {
        match message {
            WorkerToEntry::Describe(description, crashes) => Self::Describe {
                worker: description.worker,
                pool: description.pool,
                failure_domain: description.failure_domain,
                labels: description.labels,
                capacity: resources_to_wire(description.capacity),
                leaving: description.leaving,
                stores_losses: description.stores_losses,
                reads_resources: description.reads_resources,
                reads_time_limits: description.reads_time_limits,
                reads_end_limits: description.reads_end_limits,
                reads_demand: description.reads_demand,
                crashes: crashes.into_iter().map(Into::into).collect(),
            },
            WorkerToEntry::Heartbeat(number, load) => match load.demand {
                Some(sum) => Self::HeartbeatDemand(number, load_to_wire(load), (&sum).into()),
                None => Self::Heartbeat(number, load_to_wire(load)),
            },
            WorkerToEntry::Load(load) => Self::Load(load_to_wire(load)),
            WorkerToEntry::Ended(ended, load) => {
                let ended = ended.into_iter();
                Self::Ended(
                    ended
                        .map(|run| (attempt_to_wire(run.key), run.outcome.into(), micros(run.run_time)))
                        .collect(),
                    load_to_wire(load),
                )
            }
            WorkerToEntry::Interference(report) => {
                let (pairs, running) = report_to_wire(report);
                Self::Interference { pairs, running }
            }
        }
    }
}

impl From<WorkerToEntryWire> for WorkerToEntry {
    fn from(wire: WorkerToEntryWire) -> Self {
        match wire {
            WorkerToEntryWire::Describe {
                worker,
                pool,
                failure_domain,
                labels,
                capacity,
                leaving,
                crashes,
                stores_losses,
                reads_resources,
                reads_time_limits,
                reads_end_limits,
                reads_demand,
            } => {
                let description = WorkerDescription {
                    worker,
                    pool,
                    failure_domain,
                    labels,
                    capacity: resources_from_wire(capacity),
                    leaving,
                    stores_losses,
                    reads_resources,
                    reads_time_limits,
                    reads_end_limits,
                    reads_demand,
                };
                Self::Describe(description, crashes.into_iter().map(Into::into).collect())
            }
            WorkerToEntryWire::Heartbeat(number, load) => Self::Heartbeat(number, load_from_wire(load)),
            WorkerToEntryWire::HeartbeatDemand(number, load, sum) => {
                let demand = Some(sum.into());
                let load = load_from_wire(load);
                Self::Heartbeat(number, WorkerLoad { demand, ..load })
            }
            WorkerToEntryWire::Load(load) => Self::Load(load_from_wire(load)),
            WorkerToEntryWire::Ended(ended, load) => {
                let ended = ended.into_iter();
                Self::Ended(
                    ended
                        .map(|(key, outcome, run_time_us)| EndedRun {
                            key: attempt_from_wire(key),
                            outcome: outcome.into(),
                            run_time: Duration::from_micros(run_time_us),
                        })
                        .collect(),
                    load_from_wire(load),
                )
            }
            WorkerToEntryWire::Interference { pairs, running } => {
                Self::Interference(report_from_wire(pairs, running))
            }
        }
    }
}

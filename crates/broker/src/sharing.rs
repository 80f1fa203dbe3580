//! Kinds of tasks that slow each other down, and their part in the selection of a worker.

use std::time::{Duration, Instant};

use chestnutfork_interference::{MergedPair, MergedTable, cost_factor, kind_id};
use chestnutfork_types::{
    InterferenceReport, JobId, KindId, NodeName, OrderKinds, ProcessId, StepIndex, TaskOrder,
};
use indexmap::IndexMap;

use crate::agents::AgentIndex;
use crate::core::BrokerCore;
use crate::event::{Action, Notice};
use crate::job::Job;
use crate::selection::{Candidate, PoolSnapshot};

/// Maximum number of kinds whose names are kept for the log.
const MAX_NAMES: usize = 256;
/// Maximum length of a name in the log, in characters.
const MAX_NAME_LENGTH: usize = 64;
/// Maximum number of kinds taken from a report of running tasks; agents send fewer.
const MAX_RUNNING_KINDS: usize = 64;

/// Numbers of tasks of each kind on a worker.
type KindCounts = Vec<(KindId, u32)>;

/// Latest report of an agent.
#[derive(Debug)]
struct Source {
    process: ProcessId,
    running: KindCounts,
    received_at: Option<Instant>,
}

/// Reports of the agents on interference, and what they show together.
#[derive(Debug, Default)]
pub(crate) struct Sharing {
    table: MergedTable,
    /// Sources by the index of their agents.
    sources: Vec<Source>,
    names: IndexMap<KindId, String>,
}

/// Kinds of the tasks on each worker that interfere with any kind; empty without interference.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    by_agent: Vec<KindCounts>,
}

/// Interference that decided against a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Avoided {
    /// Worker on which the task would have been placed.
    pub(crate) agent: AgentIndex,
    pub(crate) pair: MergedPair,
}

/// Tasks of one job that interference has moved to other workers.
#[derive(Debug, Default)]
pub(crate) struct AvoidedTasks {
    first: Option<Avoided>,
    tasks: u64,
}

impl AvoidedTasks {
    pub(crate) fn add(&mut self, avoided: Option<Avoided>) {
        self.tasks += u64::from(avoided.is_some());
        self.first = self.first.or(avoided);
    }
}

impl Neighbours {
    /// Adds a placed task.
    pub(crate) fn add(&mut self, agent: AgentIndex, kind: Option<KindId>) {
        if let (Some(counts), Some(kind)) = (self.by_agent.get_mut(agent), kind) {
            increment(counts, kind);
        }
    }

    fn get(&self, agent: AgentIndex) -> &[(KindId, u32)] {
        self.by_agent.get(agent).map_or(&[], Vec::as_slice)
    }
}

impl Sharing {
    /// Removes the reports of an earlier link, and the evidence of an earlier process of the agent.
    pub(crate) fn on_agent_up(&mut self, at: AgentIndex, process: ProcessId) {
        if let Some(source) = self.sources.get_mut(at) {
            source.received_at = None;
            if source.process != process {
                source.process = process;
                self.table.remove(at);
            }
            return;
        }
        let source = Source {
            process,
            running: Vec::new(),
            received_at: None,
        };
        // Agents are numbered in the order in which they connect first.
        self.sources.push(source);
    }

    pub(crate) fn on_report(&mut self, now: Instant, at: AgentIndex, mut report: InterferenceReport) {
        if let Some(pairs) = report.pairs {
            self.table.store(now, at, pairs);
        }
        if let Some(source) = self.sources.get_mut(at) {
            report.running.truncate(MAX_RUNNING_KINDS);
            source.running = report.running;
            source.received_at = Some(now);
        }
    }

    /// Returns the numbers of running tasks that an agent has reported recently.
    fn reported(&self, now: Instant, at: AgentIndex, max_age: Duration) -> &[(KindId, u32)] {
        let source = self.sources.get(at);
        let recent = source.filter(|source| source.received_at.is_some_and(|at| now < at + max_age));
        recent.map_or(&[], |source| source.running.as_slice())
    }

    fn name(&self, kind: KindId) -> String {
        let name = self.names.get(&kind);
        name.cloned().unwrap_or_else(|| format!("{kind:016x}"))
    }
}

impl BrokerCore {
    /// Returns the number of pairs of kinds that interfere, or `None` if placement does not regard them.
    #[must_use]
    pub fn interfering_pairs(&self) -> Option<usize> {
        self.cfg.sharing.then(|| self.sharing.table.pairs().count())
    }

    /// Returns the kind of the tasks of a step, if placement regards it.
    pub(crate) fn kind_of(&self, job: &Job, step: StepIndex) -> Option<KindId> {
        let image = job.steps[usize::from(step)].image.as_deref();
        self.cfg.sharing.then(|| kind_id(image, &job.route))
    }

    /// Returns the kinds of the tasks of an order.
    pub(crate) fn order_kinds(&self, job: &Job, tasks: &[TaskOrder]) -> OrderKinds {
        let kinds = tasks.iter().map(|task| self.kind_of(job, task.key.task.step));
        let Some(mut kinds) = kinds.collect::<Option<Vec<KindId>>>() else {
            return OrderKinds::default();
        };
        let mut watched = kinds.clone();
        watched.sort_unstable();
        watched.dedup();
        if watched.len() == 1 {
            kinds.truncate(1);
        }
        watched.retain(|&kind| self.sharing.table.is_suspected(kind));
        OrderKinds {
            tasks: kinds,
            watched,
        }
    }

    /// Returns the kinds of the tasks on all workers: those that agents have reported, or those that were ordered here if
    /// these are more.
    pub(crate) fn neighbours(&mut self, now: Instant) -> Neighbours {
        if !self.cfg.sharing {
            return Neighbours::default();
        }
        self.sharing.table.refresh(now);
        if self.sharing.table.is_empty() {
            return Neighbours::default();
        }
        let table = &self.sharing.table;
        let by_agent = self.agents.iter().map(|(at, agent)| {
            let mut counts = KindCounts::new();
            let runs = agent.outstanding.values();
            for kind in runs.filter_map(|run| run.kind.filter(|&kind| table.is_interfering(kind))) {
                increment(&mut counts, kind);
            }
            let reported = self.sharing.reported(now, at, self.cfg.stale_after);
            if counts.is_empty() {
                return reported.to_vec();
            }
            for &(kind, reported) in reported {
                match counts.iter_mut().find(|(known, _)| *known == kind) {
                    Some((_, count)) => *count = reported.max(*count),
                    None => counts.push((kind, reported)),
                }
            }
            counts
        });
        Neighbours {
            by_agent: by_agent.collect(),
        }
    }

    /// Returns the worker on which a task and its neighbours are slowed least, in relation to the workers' scores.
    ///
    /// The worker that was selected without regard to interference is replaced only by one that offers the same capacity and
    /// meets the latency objective if that one does.
    pub(crate) fn avoid_interference(
        &self,
        pool: &PoolSnapshot,
        job: &Job,
        task: usize,
        candidates: &[Candidate],
        placed: Candidate,
        left: Duration,
    ) -> (Candidate, Option<Avoided>) {
        let table = &self.sharing.table;
        let kind = self.kind_of(job, job.tasks[task].step);
        let Some(kind) = kind.filter(|&kind| table.is_interfering(kind)) else {
            return (placed, None);
        };
        let partners = table.partners(kind);
        let factor = |candidate: &Candidate| cost_factor(partners, pool.neighbours.get(candidate.agent));
        let eligible = candidates.iter().filter(|candidate| {
            let same_capacity = candidate.has_capacity && (candidate.in_share || !placed.in_share);
            same_capacity && candidate.expected <= left.max(placed.expected)
        });
        let costs = eligible.map(|candidate| (candidate.score * factor(candidate), candidate));
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some((_, best)) = best.filter(|(_, best)| best.agent != placed.agent) else {
            return (placed, None);
        };
        let avoided = table
            .reason(kind, pool.neighbours.get(placed.agent))
            .map(|pair| Avoided {
                agent: placed.agent,
                pair,
            });
        (*best, avoided)
    }

    /// Reports that interference has decided the placement of tasks of a job.
    pub(crate) fn log_avoided_interference(
        &mut self,
        job: JobId,
        avoided: &AvoidedTasks,
        actions: &mut Vec<Action>,
    ) {
        self.remember_names(job);
        let Some(first) = avoided.first else {
            return;
        };
        let MergedPair {
            pair,
            slowdown,
            runs,
            age,
        } = first.pair;
        let agent: NodeName = self.agents.get(first.agent).name.clone();
        actions.push(Action::Notice(Notice::InterferenceAvoided {
            job,
            tasks: avoided.tasks,
            agent,
            slowed: self.sharing.name(pair.slowed),
            beside: self.sharing.name(pair.beside),
            slowdown_permille: permille(slowdown),
            runs: u64::from(runs),
            age,
        }));
    }

    /// Keeps the names of the kinds of a job that may interfere with others.
    fn remember_names(&mut self, job: JobId) {
        let Some(job) = self.jobs.get(&job).filter(|_| self.cfg.sharing) else {
            return;
        };
        let sharing = &mut self.sharing;
        for step in &job.steps {
            let kind = kind_id(step.image.as_deref(), &job.route);
            let known = sharing.names.contains_key(&kind) || sharing.names.len() >= MAX_NAMES;
            if !known && sharing.table.is_suspected(kind) {
                let name = step.image.as_ref().unwrap_or(&job.route);
                let name = name.chars().take(MAX_NAME_LENGTH).collect();
                sharing.names.insert(kind, name);
            }
        }
    }
}

/// Counts one more task of a kind.
fn increment(counts: &mut KindCounts, kind: KindId) {
    match counts.iter_mut().find(|(known, _)| *known == kind) {
        Some((_, count)) => *count += 1,
        None => counts.push((kind, 1)),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the table limits slowdowns to small positive values"
)]
fn permille(factor: f64) -> u64 {
    (factor * 1_000.0).round() as u64
}

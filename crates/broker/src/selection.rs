//! Selection of a worker for a task.

use std::time::{Duration, Instant};

use chestnutfork_types::Resources;
use rand::RngExt;

use crate::agents::{Agent, AgentIndex};
use crate::core::BrokerCore;
use crate::event::StepSpec;
use crate::job::{Job, Task, TaskState};
use crate::sharing::{Avoided, Neighbours};

/// Ratio of actual to declared run time assumed until a worker of the pool reports one.
const DEFAULT_RUN_TIME_RATIO: f64 = 1.0;
/// Slack before the objective that a faster worker's expected run must leave for a task to wait for that worker.
const OBJECTIVE_MARGIN: Duration = Duration::from_millis(25);
/// Weight of a worker's utilisation in its score, which spreads tasks over workers of about the same speed.
const UTILISATION_WEIGHT: f64 = 0.3;

/// Maximum random fraction added to a worker's score. Without it, entries with the same reports would all select the same
/// worker until the next report.
const JITTER: f64 = 0.2;

/// Factor on the score of a worker that already receives an order for the same job. An order sends the input once for all
/// tasks of a job on a worker, and the smallest entries have links of 25 Mbit/s.
const SAME_ORDER_FACTOR: f64 = 0.85;

/// Result of selecting a worker for a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// Place the task on a worker with free capacity; `expected` is the expected run time.
    Place {
        agent: AgentIndex,
        expected: Duration,
        /// Interference that decided against another worker.
        avoided: Option<Avoided>,
        in_share: bool,
    },
    /// Wait for a faster worker, which is full but could still meet the objective, or for one without another suspect.
    Wait,
    /// No suitable worker has free capacity.
    Full,
}

/// Usable workers of a pool at one point in time, so that placing several tasks scans the agents only once.
#[derive(Debug)]
pub(crate) struct PoolSnapshot {
    mean_run_time_ratio: f64,
    workers: Vec<WorkerSnapshot>,
    /// Kinds of the tasks on the workers.
    pub(crate) neighbours: Neighbours,
}

/// State of a worker in a [`PoolSnapshot`] that is the same for all tasks.
#[derive(Clone, Copy, Debug)]
struct WorkerSnapshot {
    agent: AgentIndex,
    /// Extra cost of a task there, if the worker is in another failure domain.
    domain_cost: Duration,
    free: Resources,
    /// Part of the free capacity that is allocated to this entry.
    share: Resources,
    /// Random fraction added to the score.
    jitter: f64,
    /// Whether a task that may crash the worker was ordered there.
    has_suspect: bool,
}

/// Worker that could run a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) agent: AgentIndex,
    pub(crate) expected: Duration,
    pub(crate) score: f64,
    pub(crate) has_capacity: bool,
    pub(crate) in_share: bool,
    /// Whether a task that may crash the worker was ordered there.
    has_suspect: bool,
}

impl PoolSnapshot {
    /// Deducts the resources of a placed task from a worker's free capacity.
    pub(crate) fn reserve(&mut self, agent: AgentIndex, resources: Resources, suspect: bool) {
        if let Some(worker) = self.workers.iter_mut().find(|worker| worker.agent == agent) {
            worker.free = worker.free.saturating_sub(resources);
            worker.share = worker.share.saturating_sub(resources);
            worker.has_suspect |= suspect;
        }
    }
}

impl BrokerCore {
    /// Takes a snapshot of the usable workers of a pool.
    pub(crate) fn pool_snapshot(&mut self, now: Instant, service: &str) -> PoolSnapshot {
        let mean_run_time_ratio = self.mean_run_time_ratio(now, service);
        let mut workers = Vec::with_capacity(self.agents.len());
        for (index, agent) in self.agents.usable(now, self.cfg.stale_after, service) {
            let Some((free, share)) = agent.usable_free_and_share(now, self.cfg.seed) else {
                continue;
            };
            let domain_cost = if agent.worker.failure_domain == self.cfg.failure_domain {
                Duration::ZERO
            } else {
                self.cfg.cross_domain_cost
            };
            workers.push(WorkerSnapshot {
                agent: index,
                domain_cost,
                free,
                share,
                jitter: 0.0,
                has_suspect: self.has_suspect(index),
            });
        }
        for worker in &mut workers {
            worker.jitter = self.rng.random_range(0.0..JITTER);
        }
        PoolSnapshot {
            mean_run_time_ratio,
            workers,
            neighbours: self.neighbours(now),
        }
    }

    /// Selects a worker for a task of a job.
    ///
    /// `ordered` lists the workers that already receive an order for the job.
    pub(crate) fn select_worker(
        &self,
        now: Instant,
        pool: &PoolSnapshot,
        job: &Job,
        task: usize,
        ordered: &[AgentIndex],
    ) -> Choice {
        let mut candidates = self.candidates(pool, job, task);
        for candidate in &mut candidates {
            if ordered.contains(&candidate.agent) {
                candidate.score *= SAME_ORDER_FACTOR;
            }
        }
        let best = |eligible: fn(&&Candidate) -> bool| {
            let eligible = candidates.iter().filter(eligible);
            eligible.min_by(|a, b| a.score.total_cmp(&b.score))
        };
        // Another entry may use capacity outside the share first, and the worker then refuses the task.
        let placed = best(|candidate| candidate.in_share).or_else(|| {
            let beyond = best(|candidate| candidate.has_capacity);
            beyond.filter(|_| self.returns.allows_beyond_share(now, job.beyond_share))
        });
        let Some(placed) = placed else {
            // Other tasks may use the workers that a suspect can't.
            return if self.crashes.is_suspect(job.key(task)) {
                Choice::Wait
            } else {
                Choice::Full
            };
        };
        let left = job.objective_at.saturating_duration_since(now);
        if placed.expected > left
            && let Some(faster) = best(|_| true)
            && faster.expected + OBJECTIVE_MARGIN < left
        {
            return Choice::Wait;
        }
        let (placed, avoided) = self.avoid_interference(pool, job, task, &candidates, *placed, left);
        Choice::Place {
            agent: placed.agent,
            expected: placed.expected,
            avoided,
            in_share: placed.in_share,
        }
    }

    /// Returns the shortest expected run time of a task of the step over all usable workers, including full ones.
    pub(crate) fn shortest_run(&self, now: Instant, service: &str, step: &StepSpec) -> Option<Duration> {
        let mean = self.mean_run_time_ratio(now, service);
        let usable = self.agents.usable(now, self.cfg.stale_after, service);
        let suitable = usable.filter(|(_, agent)| is_suitable(agent, step));
        suitable
            .map(|(_, agent)| self.expected_run_time(agent, step, mean))
            .min()
    }

    /// Returns the mean ratio of actual to declared run time over the usable workers of a pool.
    pub(crate) fn mean_run_time_ratio(&self, now: Instant, service: &str) -> f64 {
        let usable = self.agents.usable(now, self.cfg.stale_after, service);
        let (sum, count) = usable
            .filter_map(|(_, agent)| agent.run_time_ratio())
            .fold((0.0, 0_u32), |(sum, count), ratio| (sum + ratio, count + 1));
        if count == 0 {
            DEFAULT_RUN_TIME_RATIO
        } else {
            sum / f64::from(count)
        }
    }

    fn candidates(&self, pool: &PoolSnapshot, job: &Job, task: usize) -> Vec<Candidate> {
        let Task { step, avoid, .. } = job.tasks[task];
        let spec = &job.steps[usize::from(step)];
        let suspect = self.crashes.is_suspect(job.key(task));
        let suitable = pool.workers.iter().filter(|worker| {
            let agent = self.agents.get(worker.agent);
            // Two suspects on one worker could not be told apart if it crashes.
            let separate = !(suspect && worker.has_suspect);
            separate && is_suitable(agent, spec) && below_limit(job, step, spec, worker.agent)
        });
        let mut candidates = Vec::with_capacity(pool.workers.len());
        candidates.extend(suitable.map(|worker| self.candidate(*worker, spec, pool.mean_run_time_ratio)));
        let healthy = |candidate: &Candidate| {
            let agent = self.agents.get(candidate.agent);
            agent.is_healthy() && avoid != Some(candidate.agent) && !candidate.has_suspect
        };
        let preferred = candidates.iter().filter(|candidate| healthy(candidate)).count();
        // If more than half of the workers would be excluded, use all of them: the tasks may be at fault.
        if preferred * 2 >= candidates.len() && preferred > 0 {
            candidates.retain(healthy);
        }
        candidates
    }

    fn candidate(&self, worker: WorkerSnapshot, step: &StepSpec, mean: f64) -> Candidate {
        let agent = self.agents.get(worker.agent);
        let expected = self.expected_run_time(agent, step, mean);
        let utilisation = 1.0 - ratio(worker.free.cpu_millis, agent.worker.capacity.cpu_millis);
        let score = (expected + worker.domain_cost).as_secs_f64()
            * (1.0 + UTILISATION_WEIGHT * utilisation + worker.jitter);
        Candidate {
            agent: worker.agent,
            expected,
            score,
            has_capacity: step.resources.fits_within(worker.free),
            in_share: step.resources.fits_within(worker.share),
            has_suspect: worker.has_suspect,
        }
    }

    /// Returns the expected run time of a task of the step on a worker.
    fn expected_run_time(&self, agent: &Agent, step: &StepSpec, mean: f64) -> Duration {
        let ratio = agent.run_time_ratio().unwrap_or(mean);
        let near = step
            .data_label
            .as_ref()
            .is_none_or(|label| agent.worker.labels.contains(label));
        let factor = if near { 1.0 } else { self.cfg.remote_factor };
        step.declared_run_time.mul_f64(ratio * factor)
    }
}

/// Returns whether a worker has the label and the capacity that tasks of a step require.
pub(crate) fn is_suitable(agent: &Agent, step: &StepSpec) -> bool {
    let labelled = step
        .required_label
        .as_ref()
        .is_none_or(|label| agent.worker.labels.contains(label));
    labelled && step.resources.fits_within(agent.worker.capacity)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a share of a worker's capacity needs no exact digits"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Returns whether a step's limit of tasks per worker allows another one on a worker.
fn below_limit(job: &Job, step: u16, spec: &StepSpec, agent: AgentIndex) -> bool {
    let Some(limit) = spec.max_per_worker else {
        return true;
    };
    let placed = job
        .tasks
        .iter()
        .filter(|task| task.step == step && task.state == TaskState::Placed(agent));
    placed.count() < usize::from(limit)
}

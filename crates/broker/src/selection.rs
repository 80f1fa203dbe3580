//! Choice of a worker for a task.

use std::time::{Duration, Instant};

use chestnutfork_types::Resources;
use rand::RngExt;

use crate::agents::{Agent, AgentIndex};
use crate::core::BrokerCore;
use crate::event::StepSpec;
use crate::job::{Job, Task, TaskState};

/// Pace that is assumed while no worker of the pool has reported one.
const DEFAULT_PACE: f64 = 1.0;
/// Time that a wait for a faster worker must leave before the objective.
const OBJECTIVE_MARGIN: Duration = Duration::from_millis(25);
/// Weight of the used share of a worker in the estimate; it spreads tasks among workers of about the same speed.
const LOAD_WEIGHT: f64 = 0.3;

/// Largest random share that is added to the estimate of a worker. Several entries that know the same reports would
/// otherwise all choose the same worker until the next report.
const JITTER: f64 = 0.2;

/// Factor on the estimate of a worker that already gets an order of the same job. One order carries all tasks of a job on
/// one worker, and its input once; the smallest entries have links of 25 Mbit/s.
const SAME_ORDER_FACTOR: f64 = 0.85;

/// Time after which a job takes capacity that is set aside for other entries: a little more than the time
/// between two reports of an agent.
const SHARE_TIMEOUT: Duration = Duration::from_millis(25);

/// Where a task goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// To a worker with room; the run is expected to take the given time.
    Place { agent: AgentIndex, expected: Duration },
    /// Nowhere yet: a faster worker, which is full, would still meet the objective after a wait.
    Wait,
    /// Nowhere: no worker has room.
    Full,
}

/// Usable workers of a pool at one moment; placing several tasks at once looks at the agents only once.
#[derive(Debug)]
pub(crate) struct PoolSnapshot {
    mean_pace: f64,
    rows: Vec<WorkerSnapshot>,
}

/// Worker on a board.
#[derive(Clone, Copy, Debug)]
struct WorkerSnapshot {
    agent: AgentIndex,
    free: Resources,
    /// Part of it that no other entry is told to fill.
    share: Resources,
    /// Random share of the estimate that is added to it.
    jitter: f64,
}

/// Worker that could take a task.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    agent: AgentIndex,
    expected: Duration,
    score: f64,
    has_room: bool,
}

impl PoolSnapshot {
    /// Takes the capacity of a placed task off a worker.
    pub(crate) fn reserve(&mut self, agent: AgentIndex, resources: Resources) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.agent == agent) {
            row.free = row.free.minus(resources);
            row.share = row.share.minus(resources);
        }
    }
}

impl BrokerCore {
    /// Looks at the usable workers of a pool.
    pub(crate) fn pool_snapshot(&mut self, now: Instant, service: &str) -> PoolSnapshot {
        let mean_pace = self.mean_pace(now, service);
        let usable = self.agents.usable(now, self.cfg.stale_after, service);
        let rng = &mut self.rng;
        let rows = usable.map(|(agent, row)| WorkerSnapshot {
            agent,
            free: row.free(),
            share: row.share(),
            jitter: rng.random_range(0.0..JITTER),
        });
        PoolSnapshot {
            mean_pace,
            rows: rows.collect(),
        }
    }

    /// Chooses a worker for a task of a job.
    ///
    /// `ordered` are the workers that get an order of the job already.
    pub(crate) fn select_worker(
        &self,
        now: Instant,
        pool: &PoolSnapshot,
        job: &Job,
        task: usize,
        ordered: &[AgentIndex],
    ) -> Choice {
        let ignore_shares = now >= job.accepted_at + SHARE_TIMEOUT;
        let mut candidates = self.candidates(pool, job, task, ignore_shares);
        for candidate in &mut candidates {
            if ordered.contains(&candidate.agent) {
                candidate.score *= SAME_ORDER_FACTOR;
            }
        }
        let best = |room: bool| {
            let open = candidates.iter().filter(|candidate| candidate.has_room || !room);
            open.min_by(|a, b| a.score.total_cmp(&b.score))
        };
        let Some(placed) = best(true) else {
            return Choice::Full;
        };
        let left = job.objective_at.saturating_duration_since(now);
        if placed.expected > left
            && let Some(faster) = best(false)
            && faster.expected + OBJECTIVE_MARGIN < left
        {
            return Choice::Wait;
        }
        Choice::Place {
            agent: placed.agent,
            expected: placed.expected,
        }
    }

    /// Returns the shortest expected run time of a task of the step on any usable worker, full or not.
    pub(crate) fn shortest_run(&self, now: Instant, service: &str, step: &StepSpec) -> Option<Duration> {
        let mean = self.mean_pace(now, service);
        let usable = self.agents.usable(now, self.cfg.stale_after, service);
        let suitable = usable.filter(|(_, agent)| is_suitable(agent, step));
        suitable.map(|(_, agent)| self.expected(agent, step, mean)).min()
    }

    /// Returns the mean pace of the usable workers of a pool.
    pub(crate) fn mean_pace(&self, now: Instant, service: &str) -> f64 {
        let usable = self.agents.usable(now, self.cfg.stale_after, service);
        let (sum, count) = usable
            .filter_map(|(_, agent)| agent.pace())
            .fold((0.0, 0_u32), |(sum, count), pace| (sum + pace, count + 1));
        if count == 0 {
            DEFAULT_PACE
        } else {
            sum / f64::from(count)
        }
    }

    fn candidates(&self, pool: &PoolSnapshot, job: &Job, task: usize, ignore_shares: bool) -> Vec<Candidate> {
        let Task { step, avoid, .. } = job.tasks[task];
        let spec = &job.steps[usize::from(step)];
        let suitable = pool.rows.iter().filter(|row| {
            let agent = self.agents.get(row.agent);
            is_suitable(agent, spec) && below_limit(job, step, spec, row.agent)
        });
        let all: Vec<Candidate> = suitable
            .map(|row| self.candidate(*row, spec, pool.mean_pace, ignore_shares))
            .collect();
        let healthy = |candidate: &&Candidate| {
            let agent = self.agents.get(candidate.agent);
            agent.is_healthy() && avoid != Some(candidate.agent)
        };
        let preferred: Vec<Candidate> = all.iter().filter(healthy).copied().collect();
        // A pool that fails as a whole is used as it is: the fault may lie with the tasks.
        let enough = preferred.len() * 2 >= all.len() && !preferred.is_empty();
        if enough { preferred } else { all }
    }

    fn candidate(&self, row: WorkerSnapshot, step: &StepSpec, mean: f64, ignore_shares: bool) -> Candidate {
        let agent = self.agents.get(row.agent);
        let expected = self.expected(agent, step, mean);
        let distance = if agent.worker.failure_domain == self.cfg.failure_domain {
            Duration::ZERO
        } else {
            self.cfg.cross_domain_cost
        };
        let used = 1.0 - ratio(row.free.cpu_millis, agent.worker.capacity.cpu_millis);
        let score = (expected + distance).as_secs_f64() * (1.0 + LOAD_WEIGHT * used + row.jitter);
        Candidate {
            agent: row.agent,
            expected,
            score,
            has_room: step
                .resources
                .fits(if ignore_shares { row.free } else { row.share }),
        }
    }

    /// Returns the expected run time of a task of the step on a worker.
    fn expected(&self, agent: &Agent, step: &StepSpec, mean: f64) -> Duration {
        let pace = agent.pace().unwrap_or(mean);
        let near = step
            .data_label
            .as_ref()
            .is_none_or(|label| agent.worker.labels.contains(label));
        let factor = if near { 1.0 } else { self.cfg.remote_factor };
        step.declared_run_time.mul_f64(pace * factor)
    }
}

/// Reports whether a worker could ever run tasks of a step.
pub(crate) fn is_suitable(agent: &Agent, step: &StepSpec) -> bool {
    let labelled = step
        .required_label
        .as_ref()
        .is_none_or(|label| agent.worker.labels.contains(label));
    labelled && step.resources.fits(agent.worker.capacity)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a share of a worker's capacity needs no exact digits"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Reports whether a worker may take another task of a step that limits its tasks on one worker.
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

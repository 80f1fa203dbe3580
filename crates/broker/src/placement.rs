//! Places waiting tasks on workers, in the order of the jobs' objectives.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, EntryToWorker, JobId, KindId, ServiceName, StartOrder, TaskOrder};
use indexmap::IndexMap;

use crate::agents::{AgentIndex, Outstanding};
use crate::core::BrokerCore;
use crate::event::Action;
use crate::job::TaskState;
use crate::selection::{Choice, PoolSnapshot};
use crate::sharing::AvoidedTasks;

/// Maximum number of waiting jobs examined at a time; free capacity rarely suffices for more.
const MAX_SCANNED_JOBS: usize = 64;
/// Multiple of the expected run time after which an attempt is overdue; declared run times are often far off.
const OVERDUE_FACTOR: f64 = 3.0;
/// Constant added to that multiple, which covers the time that the task waits at the agent.
const OVERDUE_SLACK: Duration = Duration::from_millis(250);

/// Full workers that may refuse a task one after the other. The next order lets it wait at the worker, because few have room.
const MAX_REFUSALS: u32 = 3;

/// Interval between load reports that an entry asks for, as a multiple of the delay with which it reads them. Closer reports would
/// make it later without being newer when it reads them.
const REPORT_INTERVAL_FACTOR: u32 = 4;
/// Load reports a second from all agents together that an entry always accepts; few agents cannot make it late.
const ACCEPTED_REPORTS_PER_SECOND: u32 = 500;

/// Tasks of a job that one order starts on a worker.
#[derive(Debug, Default)]
struct PendingOrder {
    tasks: Vec<TaskOrder>,
    refuse_if_full: bool,
}

impl BrokerCore {
    pub(crate) fn place_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.waiting.is_empty() || !self.may_place(now) {
            return;
        }
        let mut full_services: Vec<ServiceName> = Vec::new();
        let mut snapshots: IndexMap<ServiceName, PoolSnapshot> = IndexMap::new();
        let ids: Vec<JobId> = self.waiting.values().copied().take(MAX_SCANNED_JOBS).collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if full_services.contains(&job.service) {
                continue;
            }
            let service = job.service.clone();
            let mut pool = match snapshots.swap_remove(&service) {
                Some(pool) => pool,
                None => self.pool_snapshot(now, &service),
            };
            let has_capacity = self.place_tasks(now, id, &mut pool, actions);
            snapshots.insert(service.clone(), pool);
            if !has_capacity {
                full_services.push(service);
            }
        }
    }

    /// Places as many tasks of a job as possible, and returns whether there may be free capacity for further jobs.
    fn place_tasks(
        &mut self,
        now: Instant,
        id: JobId,
        pool: &mut PoolSnapshot,
        actions: &mut Vec<Action>,
    ) -> bool {
        let mut orders: IndexMap<AgentIndex, PendingOrder> = IndexMap::new();
        let mut has_capacity = true;
        let mut avoided_tasks = AvoidedTasks::default();
        let count = self.jobs.get(&id).map_or(0, |job| job.tasks.len());
        for task in 0..count {
            let Some(job) = self.jobs.get(&id) else {
                break;
            };
            let delayed = job.tasks[task].retry_at.is_some_and(|at| now < at);
            let waiting = job.tasks[task].state == TaskState::Waiting && !delayed;
            if !waiting || self.outstanding_tasks.contains_key(&job.key(task)) || self.is_held(job, task) {
                continue;
            }
            let suspect = self.crashes.is_suspect(job.key(task));
            let refusals = job.tasks[task].refusals;
            let ordered: Vec<AgentIndex> = orders.keys().copied().collect();
            match self.select_worker(now, pool, job, task, &ordered) {
                Choice::Place {
                    agent,
                    expected,
                    avoided,
                } => {
                    let kind = self.kind_of(job, job.tasks[task].step);
                    if let Some(task) = self.record_order(now, id, task, agent, expected, kind) {
                        pool.reserve(agent, task.resources, suspect);
                        pool.neighbours.add(agent, kind);
                        avoided_tasks.add(avoided);
                        let order = orders.entry(agent).or_default();
                        order.tasks.push(task);
                        order.refuse_if_full |= refusals < MAX_REFUSALS;
                    }
                }
                Choice::Wait => {}
                Choice::Full => {
                    has_capacity = false;
                    break;
                }
            }
        }
        self.log_avoided_interference(id, &avoided_tasks, actions);
        for (agent, order) in orders {
            self.send_order(now, id, agent, order, actions);
        }
        if let Some(job) = self.jobs.get(&id).filter(|job| !job.has_waiting()) {
            self.waiting.remove(&job.order);
        }
        has_capacity
    }

    /// Returns the shortest time between two load reports of one agent that this process asks for.
    fn report_interval(&self, now: Instant) -> Duration {
        let agents = u32::try_from(self.agents.connected()).unwrap_or(u32::MAX);
        let accepted = Duration::from_secs(1) * agents / ACCEPTED_REPORTS_PER_SECOND;
        accepted.min(self.processing_delay(now) * REPORT_INTERVAL_FACTOR)
    }

    /// Records a new attempt at a task, and returns the order for it.
    fn record_order(
        &mut self,
        now: Instant,
        id: JobId,
        task: usize,
        agent: AgentIndex,
        expected: Duration,
        kind: Option<KindId>,
    ) -> Option<TaskOrder> {
        let job = self.jobs.get_mut(&id)?;
        let key = job.key(task);
        let task = &mut job.tasks[task];
        task.attempt += 1;
        task.state = TaskState::Placed(agent);
        let key = AttemptKey {
            task: key,
            attempt: task.attempt,
        };
        let step = &job.steps[usize::from(task.step)];
        let (resources, declared_run_time) = (step.resources, step.declared_run_time);
        job.attempts += 1;
        job.possible_starts += 1;
        job.placed_at.get_or_insert(now);
        let agent_state = self.agents.get_mut(agent);
        let outstanding = Outstanding {
            order: agent_state.last_order + 1,
            resources,
            ordered_at: now,
            overdue_at: now + expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK,
            stopping: false,
            refuse_if_full: false,
            kind,
        };
        agent_state.outstanding.insert(key, outstanding);
        self.outstanding_tasks.insert(key.task, agent);
        Some(TaskOrder {
            key,
            resources,
            declared_run_time,
        })
    }

    fn send_order(
        &mut self,
        now: Instant,
        id: JobId,
        agent: AgentIndex,
        PendingOrder {
            tasks,
            refuse_if_full,
        }: PendingOrder,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let report_interval = self.report_interval(now);
        let kinds = self.order_kinds(job, &tasks);
        let ends_by = job.unverified_since.map(|since| since + self.cfg.run_end_time);
        let end_limit = ends_by.map(|at| self.agents.get(agent).end_limit(now, at));
        let agent_state = self.agents.get_mut(agent);
        agent_state.last_order += 1;
        for task in &tasks {
            if let Some(outstanding) = agent_state.outstanding.get_mut(&task.key) {
                outstanding.refuse_if_full = refuse_if_full;
            }
        }
        let order = StartOrder {
            number: agent_state.last_order,
            last_heartbeat: agent_state.last_heartbeat,
            time_to_objective: job.objective_at.saturating_duration_since(now),
            time_limit: Some(job.deadline.saturating_duration_since(now)),
            end_limit,
            spec: job.spec.clone(),
            report_interval: Some(report_interval),
            tasks,
            refuse_if_full,
            kinds,
        };
        if let Some(link) = agent_state.link {
            actions.push(Action::ToAgent(link, EntryToWorker::Start(order)));
        }
    }
}

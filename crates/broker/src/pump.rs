//! Places waiting tasks on workers, in the order of the jobs' objectives.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, EntryToWorker, JobId, ServiceName, StartOrder, TaskOrder};
use indexmap::IndexMap;

use crate::agents::{AgentIndex, Outstanding};
use crate::choose::{Board, Choice};
use crate::core::BrokerCore;
use crate::event::Action;
use crate::job::TaskState;

/// Waiting jobs that are looked at after one event; more can hardly find room at once.
const SCAN_LIMIT: usize = 64;
/// Factor on the expected run time after which an attempt is overdue; declared times are often far off.
const OVERDUE_FACTOR: f64 = 3.0;
/// Constant part of the time after which an attempt is overdue, which includes a wait at the worker.
const OVERDUE_SLACK: Duration = Duration::from_millis(250);

impl BrokerCore {
    pub(crate) fn pump(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut full: Vec<ServiceName> = Vec::new();
        let mut boards: IndexMap<ServiceName, Board> = IndexMap::new();
        let ids: Vec<JobId> = self.waiting.values().copied().take(SCAN_LIMIT).collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if full.contains(&job.service) {
                continue;
            }
            let service = job.service.clone();
            let mut board = match boards.swap_remove(&service) {
                Some(board) => board,
                None => self.board(now, &service),
            };
            let room = self.place_tasks(now, id, &mut board, actions);
            boards.insert(service.clone(), board);
            if !room {
                full.push(service);
            }
        }
    }

    /// Places what can be placed of a job, and reports whether there may be room for others.
    fn place_tasks(&mut self, now: Instant, id: JobId, board: &mut Board, actions: &mut Vec<Action>) -> bool {
        let mut orders: IndexMap<AgentIndex, Vec<TaskOrder>> = IndexMap::new();
        let mut room = true;
        let count = self.jobs.get(&id).map_or(0, |job| job.tasks.len());
        for task in 0..count {
            let Some(job) = self.jobs.get(&id) else {
                break;
            };
            let delayed = job.tasks[task].retry_at.is_some_and(|at| now < at);
            let waiting = job.tasks[task].state == TaskState::Waiting && !delayed;
            if !waiting || self.busy.contains_key(&job.key(task)) {
                continue;
            }
            let ordered: Vec<AgentIndex> = orders.keys().copied().collect();
            match self.choose(now, board, job, task, &ordered) {
                Choice::Place { agent, expected } => {
                    if let Some(order) = self.order(now, id, task, agent, expected) {
                        board.take(agent, order.resources);
                        orders.entry(agent).or_default().push(order);
                    }
                }
                Choice::Wait => {}
                Choice::Full => {
                    room = false;
                    break;
                }
            }
        }
        for (agent, tasks) in orders {
            self.send_order(now, id, agent, tasks, actions);
        }
        if let Some(job) = self.jobs.get(&id).filter(|job| !job.has_waiting()) {
            self.waiting.remove(&job.order);
        }
        room
    }

    /// Notes a new attempt at a task.
    fn order(
        &mut self,
        now: Instant,
        id: JobId,
        task: usize,
        agent: AgentIndex,
        expected: Duration,
    ) -> Option<TaskOrder> {
        let job = self.jobs.get_mut(&id)?;
        let key = job.key(task);
        let entry = &mut job.tasks[task];
        entry.attempt += 1;
        entry.state = TaskState::Placed(agent);
        let key = AttemptKey {
            task: key,
            attempt: entry.attempt,
        };
        let step = &job.steps[usize::from(entry.step)];
        let (resources, declared) = (step.resources, step.declared_run_time);
        job.attempts += 1;
        job.placed_at.get_or_insert(now);
        let row = self.agents.get_mut(agent);
        let outstanding = Outstanding {
            order: row.last_order + 1,
            resources,
            ordered_at: now,
            overdue_at: now + expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK,
            stopping: false,
        };
        row.outstanding.insert(key, outstanding);
        self.busy.insert(key.task, agent);
        Some(TaskOrder {
            key,
            resources,
            declared,
        })
    }

    fn send_order(
        &mut self,
        now: Instant,
        id: JobId,
        agent: AgentIndex,
        tasks: Vec<TaskOrder>,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let row = self.agents.get_mut(agent);
        row.last_order += 1;
        let order = StartOrder {
            number: row.last_order,
            heard: row.heard,
            urgency: job.objective_at.saturating_duration_since(now),
            spec: job.spec.clone(),
            tasks,
        };
        if let Some(link) = row.link {
            actions.push(Action::ToAgent(link, EntryToWorker::Start(order)));
        }
    }
}

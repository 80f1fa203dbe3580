//! Retries, hedging and cancellation of attempts, and the final status of tasks.

use std::time::{Duration, Instant};

use chestnutfork_routing::RetryBudget;
use chestnutfork_types::{EntryToAgent, TaskIndex, TaskStatus};

use crate::core::EntryCore;
use crate::event::Action;
use crate::job::{AttemptId, QueuedTask, TaskRef};

/// Number of dispatches of one task that may fail to start before the task ends as not run.
const MAX_NOT_STARTED: u32 = 20;

impl EntryCore {
    /// Retries a task whose attempt provably did not start, which is safe for at-most-once jobs too.
    pub(crate) fn retry_not_started(
        &mut self,
        now: Instant,
        wall: Duration,
        id: TaskRef,
        reason: String,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&id.job];
        let task = &job.tasks[usize::from(id.task)];
        if job.cancelled || task.not_started >= MAX_NOT_STARTED {
            if task.in_flight.is_empty() && task.queued == 0 {
                let status = task.fallback.clone().unwrap_or(TaskStatus::NotRun { reason });
                self.finalize_task(now, wall, id, status, actions);
            }
            return;
        }
        self.requeue(id, false);
    }

    /// Retries a task whose attempt ran or may have run, if its job and the retry budget allow it.
    pub(crate) fn retry_or_finalize(
        &mut self,
        now: Instant,
        wall: Duration,
        id: TaskRef,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&id.job];
        let task = &job.tasks[usize::from(id.task)];
        if !task.in_flight.is_empty() || task.queued > 0 {
            return;
        }
        let may_retry = !job.spec.at_most_once && !job.cancelled && job.deadline > now;
        let (service_name, attempts) = (job.service(), task.attempts);
        let fallback = task.fallback.clone();
        let allowed = may_retry
            && self.services.get_mut(service_name).is_some_and(|service| {
                attempts < service.policy.retry.max_attempts && service.budget.try_spend()
            });
        if allowed {
            self.requeue(id, false);
        } else if let Some(status) = fallback {
            self.finalize_task(now, wall, id, status, actions);
        }
    }

    /// Queues a second attempt of a slow idempotent task if the retry budget allows it.
    pub(crate) fn start_hedge(&mut self, attempt: AttemptId) {
        let Some(task) = self
            .agents
            .get(attempt.agent)
            .and_then(|agent| agent.attempts.get(&attempt.credit))
        else {
            return;
        };
        let id = task.task;
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| !job.cancelled) else {
            return;
        };
        let target = self.agents.get(attempt.agent).map(|agent| agent.target);
        let Some(task) = job.tasks.get_mut(usize::from(id.task)) else {
            return;
        };
        if task.status.is_some() || task.in_flight != [attempt] || task.queued > 0 {
            return;
        }
        let budget = self
            .services
            .get_mut(&job.spec.service)
            .map(|service| &mut service.budget);
        if budget.is_some_and(RetryBudget::try_spend) {
            task.avoid_targets.extend(target);
            self.requeue(id, true);
        }
    }

    fn requeue(&mut self, id: TaskRef, hedge: bool) {
        let job = self
            .jobs
            .get_mut(&id.job)
            .expect("the caller has looked up the job");
        let Some(service) = self.services.get_mut(&job.spec.service) else {
            return;
        };
        job.tasks[usize::from(id.task)].queued += 1;
        let pushed = service
            .queue
            .push(&job.spec.team, job.deadline, QueuedTask { id, hedge });
        debug_assert!(pushed.is_ok(), "the queue itself is unbounded");
    }

    /// Sets the final status of a task, stops its other attempts, and finishes the job if no unfinished task is left.
    pub(crate) fn finalize_task(
        &mut self,
        now: Instant,
        wall: Duration,
        id: TaskRef,
        status: TaskStatus,
        actions: &mut Vec<Action>,
    ) {
        self.stop_task(id, actions);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.set_final_status(id.task, status);
        if job.unfinished == 0 {
            self.finish_job(now, wall, id.job, actions);
        }
    }

    /// Removes a task from the queue and asks agents to cancel its attempts in flight.
    fn stop_task(&mut self, id: TaskRef, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let task = &mut job.tasks[usize::from(id.task)];
        if task.queued > 0 {
            if let Some(service) = self.services.get_mut(&job.spec.service) {
                let mut removed = Vec::new();
                service.queue.retain_at(
                    &job.spec.team,
                    job.deadline,
                    |queued| queued.id != id,
                    &mut removed,
                );
            }
            task.queued = 0;
        }
        let in_flight = std::mem::take(&mut task.in_flight);
        self.cancel_attempts(in_flight, actions);
    }

    pub(crate) fn cancel_attempts(&mut self, in_flight: Vec<AttemptId>, actions: &mut Vec<Action>) {
        for AttemptId { agent, credit } in in_flight {
            let Some(state) = self.agents.get_mut(agent) else {
                continue;
            };
            if let Some(attempt) = state.attempts.get_mut(&credit) {
                attempt.result_needed = false;
            }
            if state.linked {
                actions.push(Action::ToAgent {
                    agent,
                    message: EntryToAgent::Cancel { credit },
                });
            }
        }
    }

    /// Stops all tasks of a job without setting their status.
    pub(crate) fn stop_tasks(&mut self, job: chestnutfork_types::JobId, actions: &mut Vec<Action>) {
        let Some(tasks) = self.jobs.get(&job).map(|job| job.tasks.len()) else {
            return;
        };
        for index in 0..tasks {
            let task = TaskIndex::try_from(index).unwrap_or(TaskIndex::MAX);
            self.stop_task(TaskRef { job, task }, actions);
        }
    }
}

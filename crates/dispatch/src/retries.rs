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
        task_ref: TaskRef,
        reason: String,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&task_ref.job];
        let task = &job.tasks[usize::from(task_ref.task)];
        if job.cancelled || task.not_started >= MAX_NOT_STARTED {
            if task.in_flight.is_empty() && task.queued == 0 {
                let status = task.fallback.clone().unwrap_or(TaskStatus::NotRun { reason });
                self.finalize_task(now, wall, task_ref, status, actions);
            }
            return;
        }
        self.requeue(task_ref, false);
    }

    /// Retries a task whose attempt ran or may have run, if its job and the retry budget allow it.
    pub(crate) fn retry_or_finalize(
        &mut self,
        now: Instant,
        wall: Duration,
        task_ref: TaskRef,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&task_ref.job];
        let task = &job.tasks[usize::from(task_ref.task)];
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
            self.requeue(task_ref, false);
        } else if let Some(status) = fallback {
            self.finalize_task(now, wall, task_ref, status, actions);
        }
    }

    /// Queues a second attempt of a slow idempotent task if the retry budget allows it.
    pub(crate) fn start_hedge(&mut self, id: AttemptId) {
        let Some(attempt) = self
            .agents
            .get(id.agent)
            .and_then(|agent| agent.attempts.get(&id.credit))
        else {
            return;
        };
        let task_ref = attempt.task;
        let Some(job) = self.jobs.get_mut(&task_ref.job).filter(|job| !job.cancelled) else {
            return;
        };
        let target = self.agents.get(id.agent).map(|agent| agent.target);
        let Some(task) = job.tasks.get_mut(usize::from(task_ref.task)) else {
            return;
        };
        if task.status.is_some() || task.in_flight != [id] || task.queued > 0 {
            return;
        }
        let budget = self
            .services
            .get_mut(&job.spec.service)
            .map(|service| &mut service.budget);
        if budget.is_some_and(RetryBudget::try_spend) {
            task.avoid_targets.extend(target);
            self.requeue(task_ref, true);
        }
    }

    fn requeue(&mut self, task_ref: TaskRef, hedge: bool) {
        let job = self
            .jobs
            .get_mut(&task_ref.job)
            .expect("the caller has looked up the job");
        let Some(service) = self.services.get_mut(&job.spec.service) else {
            return;
        };
        job.tasks[usize::from(task_ref.task)].queued += 1;
        let pushed = service.queue.push(
            &job.spec.team,
            job.deadline,
            QueuedTask {
                task: task_ref,
                hedge,
            },
        );
        debug_assert!(pushed.is_ok(), "the queue itself is unbounded");
    }

    /// Sets the final status of a task, stops its other attempts, and finishes the job if no unfinished task is left.
    pub(crate) fn finalize_task(
        &mut self,
        now: Instant,
        wall: Duration,
        task_ref: TaskRef,
        status: TaskStatus,
        actions: &mut Vec<Action>,
    ) {
        self.stop_task(task_ref, actions);
        let Some(job) = self.jobs.get_mut(&task_ref.job) else {
            return;
        };
        job.set_final_status(task_ref.task, status);
        if job.unfinished == 0 {
            self.finish_job(now, wall, task_ref.job, actions);
        }
    }

    /// Removes a task from the queue and asks agents to cancel its attempts in flight.
    fn stop_task(&mut self, task_ref: TaskRef, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&task_ref.job) else {
            return;
        };
        let task = &mut job.tasks[usize::from(task_ref.task)];
        if task.queued > 0 {
            if let Some(service) = self.services.get_mut(&job.spec.service) {
                let mut removed = Vec::new();
                service.queue.retain_at(
                    &job.spec.team,
                    job.deadline,
                    |queued| queued.task != task_ref,
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

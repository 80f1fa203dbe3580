//! Repeated, hedged and stopped attempts, and the final status of tasks.

use std::time::{Duration, Instant};

use chestnutfork_routing::RetryBudget;
use chestnutfork_types::{EntryToAgent, TaskIndex, TaskStatus};

use crate::core::EntryCore;
use crate::event::Action;
use crate::job::{AttemptId, QueuedTask, TaskRef};

/// Dispatches of one task that may be refused before it is given up as not run.
const MAX_NOT_STARTED: u32 = 20;

impl EntryCore {
    /// Repeats a task that provably did not start; this is safe for every job.
    pub(crate) fn repeat_not_started(
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
            if task.live.is_empty() && task.queued == 0 {
                let status = task.fallback.clone().unwrap_or(TaskStatus::NotRun { reason });
                self.settle(now, wall, id, status, actions);
            }
            return;
        }
        self.enqueue_again(id, false);
    }

    /// Repeats a task whose attempt ran or may have run, if its job and the budget allow it.
    pub(crate) fn repeat_or_settle(
        &mut self,
        now: Instant,
        wall: Duration,
        id: TaskRef,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&id.job];
        let task = &job.tasks[usize::from(id.task)];
        if !task.live.is_empty() || task.queued > 0 {
            return;
        }
        let may_repeat = !job.spec.at_most_once && !job.cancelled && job.deadline > now;
        let (service_name, attempts) = (job.service(), task.attempts);
        let fallback = task.fallback.clone();
        let allowed = may_repeat
            && self.services.get_mut(service_name).is_some_and(|service| {
                attempts < service.policy.retry.max_attempts && service.budget.try_spend()
            });
        if allowed {
            self.enqueue_again(id, false);
        } else if let Some(status) = fallback {
            self.settle(now, wall, id, status, actions);
        }
    }

    /// Starts a second attempt of a slow idempotent task if the budget allows it.
    pub(crate) fn hedge(&mut self, attempt: AttemptId) {
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
        let task = &mut job.tasks[usize::from(id.task)];
        if task.status.is_some() || task.live.len() != 1 || task.queued > 0 {
            return;
        }
        let budget = self
            .services
            .get_mut(&job.spec.service)
            .map(|service| &mut service.budget);
        if budget.is_some_and(RetryBudget::try_spend) {
            task.avoid.extend(target);
            self.enqueue_again(id, true);
        }
    }

    fn enqueue_again(&mut self, id: TaskRef, hedge: bool) {
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
        debug_assert!(pushed.is_ok(), "the queue has no limit of its own");
    }

    /// Gives a task its final status, stops what is left of it and answers the job if it was the last.
    pub(crate) fn settle(
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
        job.settle(id.task, status);
        if job.unfinished == 0 {
            self.finish(now, wall, id.job, actions);
        }
    }

    /// Takes a task out of the queue and asks agents to stop its live attempts.
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
        let live = std::mem::take(&mut task.live);
        self.cancel_attempts(live, actions);
    }

    pub(crate) fn cancel_attempts(&mut self, live: Vec<AttemptId>, actions: &mut Vec<Action>) {
        for AttemptId { agent, credit } in live {
            let Some(entry) = self.agents.get_mut(agent) else {
                continue;
            };
            if let Some(attempt) = entry.attempts.get_mut(&credit) {
                attempt.wanted = false;
            }
            if entry.linked {
                actions.push(Action::ToAgent {
                    agent,
                    message: EntryToAgent::Cancel { credit },
                });
            }
        }
    }

    /// Stops all tasks of a job without giving them a status.
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

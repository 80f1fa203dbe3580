//! Timers: deadlines, missed objectives, overdue attempts and agents without heartbeats.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, JobId};
use indexmap::IndexMap;

use crate::admission::declared_work;
use crate::agents::AgentIndex;
use crate::core::BrokerCore;
use crate::event::{Action, JobEnd, Notice, RefusalReason};
use crate::hopeless::{WaitingJob, hopeless_jobs};
use crate::job::{Job, TaskState, critical_path};

/// Maximum number of attempts at one task that are stopped as overdue; after that the task is assumed to be long.
const MAX_OVERDUE_STOPS: u32 = 1;

impl BrokerCore {
    pub(crate) fn process_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.report_processing_delay(now, actions);
        self.expire_agents(now, actions);
        self.stop_overdue(now, actions);
        self.end_late_jobs(now, actions);
        // Agents may have returned tasks since the evacuation came into force.
        self.refuse_evacuated_jobs(now, actions);
        self.refuse_expired_requests(now, actions);
        self.age_waiting_jobs(now);
        self.place_waiting(now, actions);
        self.observe_capacity(now, actions);
        let retention = self.cfg.answer_retention;
        self.retained_answers.retain(|_, (_, at)| now < *at + retention);
        self.last_attempts.retain(|_, (_, at)| now < *at + retention);
        self.crashes.remove_expired(now, self.cfg.crash_retention);
    }

    /// Recognises returns and losses of much of the usable capacity.
    pub(crate) fn observe_capacity(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let usable = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.is_usable(now, self.cfg.stale_after));
        let capacity = usable.map(|(_, agent)| agent.worker.capacity.cpu_millis).sum();
        let transition = self.returns.observe(now, capacity, !self.waiting.is_empty());
        actions.extend(transition.map(|transition| Action::Notice(Notice::from(transition))));
    }

    /// Ends jobs at their deadline, and refuses unplaced jobs that can no longer meet their objective.
    fn end_late_jobs(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let delay = self.processing_delay(now);
        let expired: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| now >= job.deadline || self.cannot_meet_objective(now, delay, job))
            .map(|job| job.id)
            .collect();
        let hopeless = self.hopeless_after_return(now);
        for id in expired.into_iter().chain(hopeless) {
            let placed = self.jobs.get(&id).is_some_and(|job| job.placed_at.is_some());
            if placed {
                self.end_job(now, id, JobEnd::TimedOut, actions);
            } else {
                self.refuse_job(now, id, RefusalReason::Overloaded, actions);
            }
        }
    }

    /// Moves waiting jobs of less urgent priorities ahead with the time that they wait.
    fn age_waiting_jobs(&mut self, now: Instant) {
        let later = self.waiting.iter().rev().take_while(|(order, _)| order.band > 0);
        let later: Vec<JobId> = later.map(|(_, &id)| id).collect();
        for id in later {
            if let Some(job) = self.jobs.get_mut(&id) {
                self.waiting.remove(&job.order);
                job.order = job.order.aged(now, job.received_at, job.band);
                self.waiting.insert(job.order, id);
            }
        }
    }

    /// Returns the jobs that would wait in vain after a return or a loss, when many jobs wait at the same time.
    fn hopeless_after_return(&self, now: Instant) -> Vec<JobId> {
        if !self.returns.is_active() {
            return Vec::new();
        }
        let mut queues: IndexMap<&str, Vec<(JobId, WaitingJob)>> = IndexMap::new();
        for job in self.waiting.values().filter_map(|id| self.jobs.get(id)) {
            let waiting = job.tasks.iter().filter(|task| task.state == TaskState::Waiting);
            let steps = waiting.map(|task| &job.steps[usize::from(task.step)]);
            let waiting = WaitingJob {
                work: steps.map(declared_work).sum(),
                run_time: critical_path(&job.steps),
                objective_at: job.objective_at,
                is_refusable: job.attempts == 0,
            };
            queues.entry(&job.service).or_default().push((job.id, waiting));
        }
        let mut hopeless = Vec::new();
        for (service, queue) in queues {
            let jobs: Vec<WaitingJob> = queue.iter().map(|&(_, job)| job).collect();
            let positions = hopeless_jobs(now, self.service_rate(now, service), &jobs);
            hopeless.extend(positions.into_iter().map(|position| queue[position].0));
        }
        hopeless
    }

    /// Returns whether a job of which no task was placed can no longer meet its objective.
    fn cannot_meet_objective(&self, now: Instant, delay: Duration, job: &Job) -> bool {
        if job.placed_at.is_some() {
            return false;
        }
        let longest = job
            .steps
            .iter()
            .filter_map(|step| self.shortest_run(now, &job.service, step))
            .max();
        now + delay + longest.unwrap_or_default() > job.objective_at
    }

    /// Stops attempts that take much longer than expected, if another worker can still complete the task in time.
    fn stop_overdue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut stops: Vec<(AgentIndex, AttemptKey)> = Vec::new();
        for (at, agent) in self.agents.iter() {
            for (&key, outstanding) in &agent.outstanding {
                if outstanding.stopping
                    || now < outstanding.overdue_at
                    || !self.can_retry_in_time(now, at, key)
                {
                    continue;
                }
                actions.push(Action::Notice(Notice::AttemptOverdue {
                    key,
                    agent: agent.name.clone(),
                    elapsed: now.saturating_duration_since(outstanding.ordered_at),
                }));
                stops.push((at, key));
            }
        }
        for (agent, key) in stops {
            self.stop_on(agent, vec![key], actions);
        }
    }

    fn can_retry_in_time(&self, now: Instant, agent: AgentIndex, key: AttemptKey) -> bool {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(task) = job.task_position(key.task).map(|at| &job.tasks[at]) else {
            return false;
        };
        let current = task.state == TaskState::Placed(agent) && task.attempt == key.attempt;
        let step = &job.steps[usize::from(task.step)];
        let elsewhere = self.shortest_run(now, &job.service, step);
        current
            && task.overdue_stops < MAX_OVERDUE_STOPS
            && elsewhere.is_some_and(|time| now + time < job.deadline)
    }
}

//! Completion, failure and cancellation of attempts and jobs.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, EndedRun, EntryToWorker, JobId, RunOutcome};
use indexmap::IndexMap;

use crate::admission::declared_work;
use crate::agents::{AgentIndex, Outstanding};
use crate::core::BrokerCore;
use crate::event::{Action, Answer, JobEnd, Notice, RefusalReason};
use crate::job::{Job, TaskState};
use crate::requests::refusal;

/// Failures of one task beyond the route's limit after which its job fails even if they all occurred on unhealthy workers.
const UNHEALTHY_FAILURE_ALLOWANCE: u32 = 3;
/// Delay before a task that was not started is placed again, because causes of such refusals tend to be brief.
const NOT_STARTED_RETRY_DELAY: Duration = Duration::from_millis(20);

impl BrokerCore {
    pub(crate) fn on_ended(
        &mut self,
        now: Instant,
        agent: AgentIndex,
        run: EndedRun,
        actions: &mut Vec<Action>,
    ) {
        let agent_state = self.agents.get_mut(agent);
        let Some(outstanding) = agent_state.outstanding.swap_remove(&run.key) else {
            return;
        };
        let healthy = agent_state.is_healthy();
        if run.outcome != RunOutcome::Completed {
            actions.push(Action::Notice(Notice::AttemptEnded {
                key: run.key,
                agent: agent_state.name.clone(),
                outcome: run.outcome,
                run_time: run.run_time,
            }));
        }
        self.outstanding_tasks.swap_remove(&run.key.task);
        let id = run.key.task.job;
        self.apply_end(now, agent, run, outstanding, healthy, actions);
        if run.outcome == RunOutcome::Lost {
            self.record_lost_attempt(now, agent, run.key.task, outstanding.ordered_at, actions);
            self.give_up(now, id, actions);
        }
    }

    /// Updates the job of an ended attempt.
    fn apply_end(
        &mut self,
        now: Instant,
        agent: AgentIndex,
        run: EndedRun,
        outstanding: Outstanding,
        healthy: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = run.key.task.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(at) = job.task_position(run.key.task) else {
            return;
        };
        let task = &mut job.tasks[at];
        if task.attempt != run.key.attempt || task.state != TaskState::Placed(agent) {
            return;
        }
        if run.outcome == RunOutcome::Completed {
            task.state = TaskState::Completed;
            let step = &job.steps[usize::from(task.step)];
            let (service, work) = (job.service.clone(), declared_work(step));
            self.throughput.entry(service).or_default().record(now, work);
            self.continue_job(now, id, actions);
            return;
        }
        task.state = TaskState::Waiting;
        task.avoid = Some(agent);
        if run.outcome == RunOutcome::NotStarted {
            job.possible_starts -= 1;
            if job.possible_starts == 0 {
                // Nothing of the job has run, so it can still be refused.
                job.placed_at = None;
            }
        }
        let task = &mut job.tasks[at];
        if outstanding.stopping {
            task.overdue_stops += 1;
        }
        match run.outcome {
            RunOutcome::Failed if !healthy => task.unhealthy_worker_failures += 1,
            RunOutcome::Failed => task.failures += 1,
            // A limit on the end of the runs may keep them from every worker, so these are not tried in quick succession.
            RunOutcome::NotStarted if outstanding.refuse_if_full && job.unverified_since.is_none() => {
                task.refusals += 1;
            }
            RunOutcome::NotStarted => task.retry_at = Some(now + NOT_STARTED_RETRY_DELAY),
            _ => {}
        }
        let failed_in_all = task.failures + task.unhealthy_worker_failures;
        if task.failures >= job.max_attempts
            || failed_in_all >= job.max_attempts + UNHEALTHY_FAILURE_ALLOWANCE
        {
            self.end_job(now, id, JobEnd::Failed, actions);
        } else {
            self.waiting.insert(job.order, id);
        }
    }

    /// Ends a job whose tasks have all completed, or unblocks its dependent steps.
    fn continue_job(&mut self, now: Instant, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_complete() {
            self.end_job(now, id, JobEnd::Completed, actions);
            return;
        }
        job.unblock();
        if job.has_waiting() {
            self.waiting.insert(job.order, id);
        }
    }

    /// Ends a job: answers its callers and stops its remaining attempts.
    pub(crate) fn end_job(&mut self, now: Instant, id: JobId, end: JobEnd, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.swap_remove(&id) else {
            return;
        };
        self.waiting.remove(&job.order);
        self.stop_attempts(now, &job, actions);
        let waited = job
            .placed_at
            .unwrap_or(now)
            .saturating_duration_since(job.received_at);
        actions.push(Action::Notice(Notice::JobEnded {
            job: id,
            end,
            took: now.saturating_duration_since(job.received_at),
            waited,
            attempts: job.attempts,
            on_time: end == JobEnd::Completed && now <= job.objective_at,
        }));
        let answer = end.answer();
        // After any other end a resubmission runs the job again, so no answer is retained.
        if matches!(end, JobEnd::Completed | JobEnd::Failed) {
            self.retained_answers.insert(id, (answer, now));
        }
        self.record_attempts(now, &job);
        self.answer_all(&job, answer, actions);
    }

    /// Refuses a job of which no task was ordered since its submission.
    pub(crate) fn refuse_job(
        &mut self,
        now: Instant,
        id: JobId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.swap_remove(&id) else {
            return;
        };
        self.waiting.remove(&job.order);
        let waited = now.saturating_duration_since(job.received_at);
        self.log_refusal(id, reason, waited, actions);
        self.record_attempts(now, &job);
        let retry_after = self.overload_retry_after(now, &job.service);
        self.answer_all(&job, refusal(reason, retry_after), actions);
    }

    fn answer_all(&mut self, job: &Job, answer: Answer, actions: &mut Vec<Action>) {
        for &ticket in &job.tickets {
            self.tickets.swap_remove(&ticket);
            actions.push(Action::Answer(ticket, answer));
        }
    }

    fn record_attempts(&mut self, now: Instant, job: &Job) {
        let attempts = job.tasks.iter().map(|task| task.attempt).max().unwrap_or(0);
        self.last_attempts.insert(job.id, (attempts, now));
    }

    /// Stops the attempts of a job, whose callers may submit it again.
    fn stop_attempts(&mut self, now: Instant, job: &Job, actions: &mut Vec<Action>) {
        let end_by = self.callers_left_since(now, job) + self.cfg.run_end_time;
        let mut stops: IndexMap<AgentIndex, Vec<AttemptKey>> = IndexMap::new();
        for (at, task) in job.tasks.iter().enumerate() {
            if let TaskState::Placed(agent) = task.state {
                let attempt = task.attempt;
                let key = AttemptKey {
                    task: job.key(at),
                    attempt,
                };
                stops.entry(agent).or_default().push(key);
            }
        }
        for (agent, keys) in stops {
            self.limit_ends(now, agent, &keys, end_by, actions);
            self.stop_on(agent, keys, actions);
        }
    }

    /// Tells an agent when attempts must have ended, in case that their worker confirms no stop.
    fn limit_ends(
        &self,
        now: Instant,
        agent: AgentIndex,
        keys: &[AttemptKey],
        end_by: Instant,
        actions: &mut Vec<Action>,
    ) {
        let agent = self.agents.get(agent);
        if let Some(link) = agent.link.filter(|_| agent.worker.reads_end_limits) {
            let limit = agent.end_limit(now, end_by);
            let limits = keys.iter().map(|&key| (key, limit)).collect();
            actions.push(Action::ToAgent(link, EntryToWorker::EndLimits(limits)));
        }
    }

    /// Orders an agent to stop attempts. A disconnected agent stops them when this entry's lease expires, or on
    /// the `Reconcile` message of the next link, which lists them to be stopped.
    pub(crate) fn stop_on(&mut self, agent: AgentIndex, keys: Vec<AttemptKey>, actions: &mut Vec<Action>) {
        let agent_state = self.agents.get_mut(agent);
        for key in &keys {
            if let Some(outstanding) = agent_state.outstanding.get_mut(key) {
                outstanding.stopping = true;
            }
        }
        if let Some(link) = agent_state.link {
            actions.push(Action::ToAgent(link, EntryToWorker::Stop(keys)));
        }
    }

    /// Ends the attempts on agents without a heartbeat for longer than any run can continue.
    pub(crate) fn expire_agents(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let run_expiry = self.cfg.run_expiry;
        let silent = self.agents.iter().filter(|(_, agent)| {
            !agent.outstanding.is_empty() && now >= agent.last_heartbeat_at + run_expiry
        });
        let silent: Vec<AgentIndex> = silent.map(|(at, _)| at).collect();
        for at in silent {
            let agent = self.agents.get(at);
            let keys: Vec<AttemptKey> = agent.outstanding.keys().copied().collect();
            actions.push(Action::Notice(Notice::AgentLapsed {
                agent: agent.name.clone(),
                silent: now.saturating_duration_since(agent.last_heartbeat_at),
                attempts: keys.len() as u64,
            }));
            for key in keys {
                let lost = EndedRun {
                    key,
                    outcome: RunOutcome::Lost,
                    run_time: Duration::ZERO,
                };
                self.on_ended(now, at, lost, actions);
            }
        }
    }
}

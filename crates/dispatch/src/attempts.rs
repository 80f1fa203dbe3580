//! Messages of agents: announcements, credits, and the ends of attempts.

use std::time::{Duration, Instant};

use chestnutfork_routing::{AttemptEnd, AttemptKind, RetryBudget};
use chestnutfork_types::{
    AgentToEntry, Announcement, AttemptOutcome, CreditId, EntryToAgent, ProcessId, RefuseReason, Resolution,
    TaskIndex, TaskStatus,
};

use crate::agents::Agent;
use crate::core::EntryCore;
use crate::event::Action;
use crate::job::{AttemptId, QueuedTask, TaskRef};

/// Time after which idempotent tasks at an agent without a link are tried elsewhere.
const LINK_GRACE: Duration = Duration::from_secs(1);
/// Dispatches of one task that may be refused before it is given up as not run.
const MAX_NOT_STARTED: u32 = 20;

impl EntryCore {
    pub(crate) fn agent_up(&mut self, process: ProcessId, actions: &mut Vec<Action>) {
        self.lost_agents.retain(|&(_, lost)| lost != process);
        let Some(agent) = self.agents.get_mut(process) else {
            // A new agent is taken into the table with its announcement.
            return;
        };
        agent.linked = true;
        // Credits belong to the link that brought them; its end may not have been noticed here.
        agent.clear_credits();
        agent.told_demand = 0;
        agent.told_at = None;
        let credits: Vec<_> = agent.attempts.keys().copied().collect();
        if !credits.is_empty() {
            actions.push(Action::ToAgent {
                agent: process,
                message: EntryToAgent::Resolve { credits },
            });
        }
        self.sync_credits(process);
    }

    pub(crate) fn agent_down(&mut self, now: Instant, process: ProcessId) {
        let Some(agent) = self.agents.get_mut(process) else {
            return;
        };
        agent.linked = false;
        agent.clear_credits();
        self.router.remove_target(agent.target);
        self.lost_agents.insert((now + LINK_GRACE, process));
    }

    pub(crate) fn agent_message(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        message: AgentToEntry,
        actions: &mut Vec<Action>,
    ) {
        if let AgentToEntry::Announce(announcement) = message {
            self.announce(now, wall, process, announcement, actions);
            return;
        }
        let Some(agent) = self.agents.get_mut(process).filter(|agent| agent.linked) else {
            return;
        };
        match message {
            AgentToEntry::Announce(_) => {}
            AgentToEntry::Grant { credits, ttl } => {
                agent.credits.extend(credits);
                agent.renew(now, ttl);
            }
            AgentToEntry::Renew { ttl } => agent.renew(now, ttl),
            AgentToEntry::Recall { count } => {
                let keep = agent
                    .credits
                    .len()
                    .saturating_sub(usize::try_from(count).unwrap_or(usize::MAX));
                let credits: Vec<_> = agent.credits.drain(keep..).collect();
                let message = EntryToAgent::Return { credits };
                actions.push(Action::ToAgent {
                    agent: process,
                    message,
                });
            }
            AgentToEntry::Result(result) => {
                if let Some(next) = result.next {
                    agent.take_next(now, next);
                }
                agent.confirm(now, result.credit);
                self.attempt_ended(
                    now,
                    wall,
                    process,
                    result.credit,
                    result.outcome,
                    Some(result.run_time),
                    actions,
                );
            }
            AgentToEntry::Refused { credit, reason } => {
                if reason == RefuseReason::Leaving {
                    let target = agent.target;
                    self.router.set_leaving(target, true);
                }
                self.not_started(
                    now,
                    wall,
                    process,
                    credit,
                    "the agent refused the dispatch",
                    actions,
                );
            }
            AgentToEntry::Resolved { credit, state } => match state {
                // A cancellation that fell into the time without a link is repeated.
                Resolution::Started => {
                    if agent.attempts.get(&credit).is_some_and(|attempt| !attempt.wanted) {
                        let message = EntryToAgent::Cancel { credit };
                        actions.push(Action::ToAgent {
                            agent: process,
                            message,
                        });
                    }
                }
                Resolution::Finished(result) => {
                    agent.confirm(now, credit);
                    self.attempt_ended(
                        now,
                        wall,
                        process,
                        credit,
                        result.outcome,
                        Some(result.run_time),
                        actions,
                    );
                }
                Resolution::NeverStarted => {
                    self.not_started(now, wall, process, credit, "the dispatch was lost", actions);
                }
            },
        }
        self.sync_credits(process);
    }

    fn announce(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        // Another incarnation of the agent cannot come back once a newer one speaks for the target.
        for former in self.agents.others_of(&announcement.target, process) {
            self.agent_gone(now, wall, former, actions);
        }
        let target = self.router.add_target(
            now,
            announcement.target.clone(),
            announcement.pool.clone(),
            announcement.failure_domain.clone(),
            announcement.slots,
        );
        self.router.set_leaving(target, announcement.leaving);
        match self.agents.get_mut(process) {
            Some(agent) => {
                // Any other announcement means that the agent has voided the credits of this link.
                if !is_new_version(&agent.announcement, &announcement) {
                    agent.clear_credits();
                }
                agent.announcement = announcement;
            }
            None => self.agents.insert(process, Agent::new(target, announcement)),
        }
        self.sync_credits(process);
    }

    /// Forgets an agent that cannot come back; its attempts end with an unknown outcome.
    pub(crate) fn agent_gone(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        self.lost_agents.retain(|&(_, lost)| lost != process);
        let Some(agent) = self.agents.get(process) else {
            return;
        };
        let target = agent.target;
        let credits: Vec<_> = agent.attempts.keys().copied().collect();
        for credit in credits {
            let outcome = AttemptOutcome::Unknown {
                reason: "the agent of the target was lost".to_owned(),
            };
            self.attempt_ended(now, wall, process, credit, outcome, None, actions);
        }
        self.agents.remove(process);
        if self.agents.at_target(target).is_none() {
            self.router.remove_target(target);
        }
    }

    /// Handles an agent whose link has been down for [`LINK_GRACE`]: idempotent tasks need not wait for it.
    pub(crate) fn agent_lost(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.get(process) else {
            return;
        };
        let repeatable: Vec<_> = agent
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                self.jobs
                    .get(&attempt.task.job)
                    .is_none_or(|job| !job.spec.at_most_once)
            })
            .map(|(&credit, _)| credit)
            .collect();
        for credit in repeatable {
            let outcome = AttemptOutcome::Unknown {
                reason: "the link to the agent was lost".to_owned(),
            };
            self.attempt_ended(now, wall, process, credit, outcome, None, actions);
        }
        if self
            .agents
            .get(process)
            .is_some_and(|agent| agent.attempts.is_empty())
        {
            self.agents.remove(process);
        } else {
            self.lost_agents.insert((now + LINK_GRACE, process));
        }
    }

    fn not_started(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        credit: CreditId,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let outcome = AttemptOutcome::NotStarted {
            reason: reason.to_owned(),
        };
        self.attempt_ended(now, wall, process, credit, outcome, None, actions);
    }

    /// Ends an attempt once; a repeated or late end of the same attempt has no effect.
    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of a result are separate in several messages"
    )]
    fn attempt_ended(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        credit: CreditId,
        outcome: AttemptOutcome,
        run_time: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.get_mut(process) else {
            return;
        };
        let Some(attempt) = agent.attempts.swap_remove(&credit) else {
            return;
        };
        let target = agent.target;
        let (name, service) = self
            .services
            .get_index_mut(attempt.service)
            .expect("services keep their index");
        service.in_flight -= 1;
        let team = self
            .teams
            .get_index(attempt.team)
            .expect("teams keep their index");
        self.quotas.release(team);
        let run_time = run_time.unwrap_or_else(|| now.saturating_duration_since(attempt.started));
        let kind = attempt_kind(&outcome, attempt.wanted);
        if kind == AttemptKind::Completed {
            service.admission.on_end(run_time);
        }
        let end = AttemptEnd {
            target,
            service: name,
            declared: attempt.declared,
            run_time,
            kind,
        };
        self.router.on_attempt_end(now, &end);
        let id = AttemptId {
            agent: process,
            credit,
        };
        self.hedges.retain(|&(_, hedged)| hedged != id);
        let Some(job) = self.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let task = &mut job.tasks[usize::from(attempt.task.task)];
        task.live.retain(|&live| live != id);
        if task.status.is_some() {
            return;
        }
        match outcome {
            AttemptOutcome::Completed { output } => {
                let status = TaskStatus::Completed { output };
                self.settle(now, wall, attempt.task, status, actions);
            }
            AttemptOutcome::Failed { reason } => {
                task.avoid.push(target);
                task.fallback = Some(TaskStatus::Failed { reason });
                self.repeat_or_settle(now, wall, attempt.task, actions);
            }
            AttemptOutcome::Unknown { reason } => {
                task.avoid.push(target);
                task.fallback = Some(TaskStatus::MayHaveRun { reason });
                self.repeat_or_settle(now, wall, attempt.task, actions);
            }
            AttemptOutcome::NotStarted { reason } => {
                task.attempts -= 1;
                task.not_started += 1;
                self.repeat_not_started(now, wall, attempt.task, reason, actions);
            }
        }
    }

    /// Repeats a task that provably did not start; this is safe for every job.
    fn repeat_not_started(
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
    fn repeat_or_settle(&mut self, now: Instant, wall: Duration, id: TaskRef, actions: &mut Vec<Action>) {
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

/// Reports whether two announcements differ in the configuration version alone.
fn is_new_version(old: &Announcement, new: &Announcement) -> bool {
    let config = new.config;
    let same = Announcement {
        config,
        ..old.clone()
    } == *new;
    same && old.config != config
}

/// Returns what an outcome means for the health of the target.
fn attempt_kind(outcome: &AttemptOutcome, wanted: bool) -> AttemptKind {
    match outcome {
        AttemptOutcome::Completed { .. } => AttemptKind::Completed,
        AttemptOutcome::NotStarted { .. } => AttemptKind::NotStarted,
        _ if !wanted => AttemptKind::Cancelled,
        AttemptOutcome::Failed { .. } => AttemptKind::Failed,
        AttemptOutcome::Unknown { .. } => AttemptKind::TimedOut,
    }
}

//! Messages from agents: announcements, credits and attempt outcomes.

use std::time::{Duration, Instant};

use chestnutfork_routing::{AttemptEnd, AttemptEndKind};
use chestnutfork_types::{
    AgentToEntry, Announcement, AttemptOutcome, CreditId, EntryToAgent, ProcessId, RefusalReason, Resolution,
    TaskStatus,
};

use crate::agents::Agent;
use crate::core::EntryCore;
use crate::event::Action;
use crate::job::AttemptId;

/// Time without a link to an agent after which its idempotent tasks are retried on other targets.
const LINK_GRACE: Duration = Duration::from_secs(1);

impl EntryCore {
    pub(crate) fn on_agent_up(&mut self, process: ProcessId, actions: &mut Vec<Action>) {
        self.agents.link_opened(process);
        self.unlinked_agents.retain(|&(_, agent)| agent != process);
        let Some(agent) = self.agents.get_mut(process) else {
            // A new agent is added to the table when it sends its announcement.
            return;
        };
        agent.linked = true;
        // Credits are valid only on the link that delivered them, and the end of that link may have gone undetected.
        agent.clear_credits();
        agent.reported_demand = 0;
        agent.reported_at = None;
        let credits: Vec<_> = agent.attempts.keys().copied().collect();
        if !credits.is_empty() {
            actions.push(Action::ToAgent {
                agent: process,
                message: EntryToAgent::Resolve { credits },
            });
        }
        self.sync_router_credits(process);
    }

    pub(crate) fn on_agent_down(&mut self, now: Instant, process: ProcessId) {
        self.agents.link_closed(process);
        let Some(agent) = self.agents.get_mut(process) else {
            return;
        };
        agent.linked = false;
        agent.clear_credits();
        self.router.remove_target(agent.target);
        self.unlinked_agents.insert((now + LINK_GRACE, process));
    }

    pub(crate) fn on_agent_message(
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
                agent.renew_credits(now, ttl);
            }
            AgentToEntry::Renew { ttl } => agent.renew_credits(now, ttl),
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
                if let Some(next) = result.next_credit {
                    agent.add_credit(now, next);
                }
                agent.queue_ack(now, result.credit);
                agent.update_backoff(now, &result.outcome);
                self.end_attempt(
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
                if reason == RefusalReason::Leaving {
                    let target = agent.target;
                    self.router.set_leaving(target, true);
                } else if reason == RefusalReason::Unconfirmed {
                    agent.pause(now);
                }
                self.end_not_started(
                    now,
                    wall,
                    process,
                    credit,
                    "the agent refused the dispatch",
                    actions,
                );
            }
            AgentToEntry::Resolved { credit, resolution } => match resolution {
                // Repeats a cancellation that could not be sent while the link was down.
                Resolution::Started => {
                    if agent
                        .attempts
                        .get(&credit)
                        .is_some_and(|attempt| !attempt.result_needed)
                    {
                        let message = EntryToAgent::Cancel { credit };
                        actions.push(Action::ToAgent {
                            agent: process,
                            message,
                        });
                    }
                }
                Resolution::Finished(result) => {
                    agent.queue_ack(now, credit);
                    self.end_attempt(
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
                    self.end_not_started(now, wall, process, credit, "the dispatch was lost", actions);
                }
            },
        }
        self.sync_router_credits(process);
    }

    fn announce(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        // An incarnation of the agent cannot return once a newer one has announced the target. Links are independent of
        // each other, so the last messages of the old incarnation may still arrive after that announcement.
        let others = self.agents.other_incarnations(&announcement.target, process);
        if others
            .iter()
            .any(|&other| self.agents.has_newer_link(other, process))
        {
            return;
        }
        for former in others {
            self.remove_agent(now, wall, former, actions);
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
                // Unless only the configuration version changed, the agent has voided the credits of this link.
                if !is_new_version(&agent.announcement, &announcement) {
                    agent.clear_credits();
                }
                agent.announcement = announcement;
            }
            None => self.agents.insert(process, Agent::new(target, announcement)),
        }
        self.sync_router_credits(process);
    }

    /// Removes an agent incarnation that cannot return; its attempts end with an unknown outcome.
    pub(crate) fn remove_agent(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        self.unlinked_agents.retain(|&(_, agent)| agent != process);
        let Some(agent) = self.agents.get(process) else {
            return;
        };
        let target = agent.target;
        let credits: Vec<_> = agent.attempts.keys().copied().collect();
        for credit in credits {
            let outcome = AttemptOutcome::Unknown {
                reason: "the agent of the target was lost".to_owned(),
            };
            self.end_attempt(now, wall, process, credit, outcome, None, actions);
        }
        self.agents.remove(process);
        if self.agents.at_target(target).is_none() {
            self.router.remove_target(target);
        }
    }

    /// Ends the attempts of idempotent and of finished jobs at an agent whose link has been down for [`LINK_GRACE`], so
    /// that idempotent tasks can be retried. Attempts of at-most-once jobs keep waiting for the agent, which is removed
    /// once it has none.
    pub(crate) fn on_link_grace_expired(
        &mut self,
        now: Instant,
        wall: Duration,
        process: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.get(process) else {
            return;
        };
        let retryable: Vec<_> = agent
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                self.jobs
                    .get(&attempt.task.job)
                    .is_none_or(|job| !job.spec.at_most_once)
            })
            .map(|(&credit, _)| credit)
            .collect();
        for credit in retryable {
            let outcome = AttemptOutcome::Unknown {
                reason: "the link to the agent was lost".to_owned(),
            };
            self.end_attempt(now, wall, process, credit, outcome, None, actions);
        }
        if self
            .agents
            .get(process)
            .is_some_and(|agent| agent.attempts.is_empty())
        {
            self.agents.remove(process);
        } else {
            self.unlinked_agents.insert((now + LINK_GRACE, process));
        }
    }

    fn end_not_started(
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
        self.end_attempt(now, wall, process, credit, outcome, None, actions);
    }

    /// Ends an attempt. A duplicate or late outcome of the same attempt has no effect.
    #[expect(
        clippy::too_many_arguments,
        reason = "not every message carries all parts of a result"
    )]
    fn end_attempt(
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
        let kind = attempt_kind(&outcome, attempt.result_needed);
        if kind == AttemptEndKind::Completed {
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
        // The attempt may belong to an earlier run of an idempotent job that now runs again under the same id.
        let Some(task) = job.tasks.get_mut(usize::from(attempt.task.task)) else {
            return;
        };
        let found = task.in_flight.iter().position(|&other| other == id);
        let Some(position) = found else {
            return;
        };
        task.in_flight.remove(position);
        if task.status.is_some() {
            return;
        }
        match outcome {
            AttemptOutcome::Completed { output } => {
                let status = TaskStatus::Completed { output };
                self.finalize_task(now, wall, attempt.task, status, actions);
            }
            AttemptOutcome::Failed { reason } => {
                task.avoid_targets.push(target);
                task.fallback = Some(TaskStatus::Failed { reason });
                self.retry_or_finalize(now, wall, attempt.task, actions);
            }
            AttemptOutcome::Unknown { reason } => {
                task.avoid_targets.push(target);
                task.fallback = Some(TaskStatus::MayHaveRun { reason });
                self.retry_or_finalize(now, wall, attempt.task, actions);
            }
            AttemptOutcome::NotStarted { reason } => {
                task.attempts -= 1;
                task.not_started += 1;
                self.retry_not_started(now, wall, attempt.task, reason, actions);
            }
        }
    }
}

/// Reports whether two announcements differ only in the configuration version.
fn is_new_version(old: &Announcement, new: &Announcement) -> bool {
    let config_version = new.config_version;
    let same = Announcement {
        config_version,
        ..old.clone()
    } == *new;
    same && old.config_version != config_version
}

/// Classifies an outcome for the health tracking of the target.
fn attempt_kind(outcome: &AttemptOutcome, result_needed: bool) -> AttemptEndKind {
    match outcome {
        AttemptOutcome::Completed { .. } => AttemptEndKind::Completed,
        AttemptOutcome::NotStarted { .. } => AttemptEndKind::NotStarted,
        _ if !result_needed => AttemptEndKind::Cancelled,
        AttemptOutcome::Failed { .. } => AttemptEndKind::Failed,
        AttemptOutcome::Unknown { .. } => AttemptEndKind::TimedOut,
    }
}

//! Places queued tasks on targets that have a free credit.

use std::time::Instant;

use chestnutfork_routing::{Choice, PlacementRequest, QueuePosition, TargetIndex};
use chestnutfork_types::{Dispatch, EntryToAgent, ProcessId};

use crate::agents::Attempt;
use crate::core::EntryCore;
use crate::event::Action;
use crate::job::{AttemptId, QueuedTask};

/// Maximum number of tasks of a service that are deferred for faster targets at the same time.
const MAX_DEFERRED: usize = 64;

/// Outcome of an attempt to place the next queued task of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementOutcome {
    Placed,
    Blocked,
}

impl EntryCore {
    /// Dispatches queued tasks until no service can place another one.
    pub(crate) fn place_queued(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.placement_wakeup = None;
        let count = self.services.len();
        for index in 0..count {
            self.place_deferred(now, index, actions);
        }
        let mut blocked = vec![false; count];
        // Round-robin, so that a service with a long queue cannot monopolize a shared pool.
        while blocked.iter().any(|blocked| !blocked) {
            for offset in 0..count {
                let index = (self.round_robin_start + offset) % count;
                if !blocked[index] {
                    blocked[index] = self.place_next(now, index, actions) == PlacementOutcome::Blocked;
                }
            }
            self.round_robin_start = (self.round_robin_start + 1) % count.max(1);
        }
        self.update_agents(now, actions);
    }

    /// Dispatches the deferred tasks of a service for which the router now accepts a target.
    fn place_deferred(&mut self, now: Instant, index: usize, actions: &mut Vec<Action>) {
        let mut at = 0;
        while let Some((&queued, since)) = self.services[index].queue.deferred(at) {
            let position = QueuePosition {
                ahead: saturating_u32(at),
                deferred_since: Some(since),
            };
            match self.choose_target(now, index, queued, position) {
                Choice::Use(target) if self.is_within_limits(index, queued) => {
                    self.services[index].queue.remove_deferred(at);
                    self.dispatch(now, index, queued, target, actions);
                }
                choice => {
                    self.schedule_placement_wakeup(now, choice);
                    at += 1;
                }
            }
        }
    }

    fn place_next(&mut self, now: Instant, index: usize, actions: &mut Vec<Action>) -> PlacementOutcome {
        let Self { services, quotas, .. } = self;
        let service = &services[index];
        if service.in_flight >= service.policy.max_in_flight {
            return PlacementOutcome::Blocked;
        }
        let allow = |team: &str| quotas.in_flight(team) < quotas.allowance(team);
        let Some(&queued) = service.queue.peek_allowed(allow) else {
            return PlacementOutcome::Blocked;
        };
        let deferred = service.queue.deferred_len();
        // Once the maximum number of tasks is deferred, every queued task competes for the faster targets.
        let ahead = if deferred < MAX_DEFERRED {
            deferred
        } else {
            service.queue.len()
        };
        let position = QueuePosition {
            ahead: saturating_u32(ahead),
            deferred_since: None,
        };
        let choice = self.choose_target(now, index, queued, position);
        self.schedule_placement_wakeup(now, choice);
        let Self { services, quotas, .. } = self;
        let queue = &mut services[index].queue;
        let allow = |team: &str| quotas.in_flight(team) < quotas.allowance(team);
        match choice {
            Choice::Use(target) => {
                let popped = queue.pop_allowed(allow).expect("the queue has an allowed task");
                debug_assert_eq!(popped.item, queued);
                self.dispatch(now, index, queued, target, actions);
                PlacementOutcome::Placed
            }
            Choice::Wait { until: Some(_) } if deferred < MAX_DEFERRED => {
                queue.defer_allowed(now, allow);
                PlacementOutcome::Placed
            }
            Choice::Wait { .. } | Choice::NoTarget => PlacementOutcome::Blocked,
        }
    }

    /// Reports whether the limits of the task's service and team allow one more task in flight.
    fn is_within_limits(&self, index: usize, queued: QueuedTask) -> bool {
        let service = &self.services[index];
        let team = &self.jobs[&queued.task.job].spec.team;
        service.in_flight < service.policy.max_in_flight
            && self.quotas.in_flight(team) < self.quotas.allowance(team)
    }

    /// Asks the router for a target that the task need not avoid. If the pool has no other, a retry may use such a
    /// target, but a hedge may not.
    fn choose_target(
        &mut self,
        now: Instant,
        index: usize,
        queued: QueuedTask,
        position: QueuePosition,
    ) -> Choice {
        let Self {
            services,
            router,
            jobs,
            ..
        } = self;
        let (name, service) = services.get_index(index).expect("the index is below the count");
        let job = &jobs[&queued.task.job];
        let task = &job.tasks[usize::from(queued.task.task)];
        let mut request = PlacementRequest {
            service: name,
            declared: job.spec.tasks[usize::from(queued.task.task)].declared_run_time,
            deadline: job.deadline,
            remaining_tasks: saturating_u32(job.unfinished),
            exclude: &task.avoid_targets,
        };
        let choice = router.choose_or_defer(now, &request, position, &service.policy);
        if choice == Choice::NoTarget && !task.avoid_targets.is_empty() && !queued.hedge {
            request.exclude = &[];
            return router.choose_or_defer(now, &request, position, &service.policy);
        }
        choice
    }

    fn schedule_placement_wakeup(&mut self, now: Instant, choice: Choice) {
        if let Choice::Wait { until: Some(until) } = choice
            && until > now
        {
            self.placement_wakeup = Some(self.placement_wakeup.map_or(until, |at| at.min(until)));
        }
    }

    /// Sends a task to the agent of the target and consumes one of its credits.
    fn dispatch(
        &mut self,
        now: Instant,
        service_index: usize,
        queued: QueuedTask,
        target: TargetIndex,
        actions: &mut Vec<Action>,
    ) {
        let agent_id = self
            .agents
            .at_target(target)
            .expect("the router chose a target with an agent");
        let agent = self.agents.get_mut(agent_id).expect("the agent is in the table");
        let credit = agent
            .credits
            .pop_back()
            .expect("the router chose a target with a credit");
        self.router
            .set_credits(target, saturating_u32(agent.usable_credits()));
        let job = self
            .jobs
            .get_mut(&queued.task.job)
            .expect("queued tasks belong to a job");
        let attempt = AttemptId {
            agent: agent_id,
            credit,
        };
        let (service_name, service) = self
            .services
            .get_index_mut(service_index)
            .expect("the index is below the count");
        let team = self.teams.get_index_of(&job.spec.team).unwrap_or_else(|| {
            let (index, _) = self.teams.insert_full(job.spec.team.clone());
            index
        });
        let declared = job.spec.tasks[usize::from(queued.task.task)].declared_run_time;
        agent.attempts.insert(
            credit,
            Attempt {
                task: queued.task,
                started: now,
                result_needed: true,
                declared,
                service: service_index,
                team,
            },
        );
        let acquired = self.quotas.try_acquire(&job.spec.team);
        debug_assert!(acquired, "the team was allowed one more task");
        service.in_flight += 1;
        // Admission takes a backlog of tasks that are not deferred as a sign that the pool is saturated.
        let has_backlog = service.queue.len() > service.queue.deferred_len();
        service.admission.on_start(now, has_backlog);
        let task = &mut job.tasks[usize::from(queued.task.task)];
        task.queued -= 1;
        task.in_flight.push(attempt);
        task.attempts += 1;
        if task.attempts == 1 {
            service.budget.on_start();
        }
        self.router.on_start(now, target, service_name);
        if !job.spec.at_most_once
            && !queued.hedge
            && service.policy.hedge.enabled
            && let Some(after) =
                self.router
                    .hedge_delay_declared(service_name, declared, target, &service.policy)
        {
            self.hedges.insert((now + after, attempt));
        }
        let dispatch = Dispatch {
            credit,
            job: queued.task.job,
            task: queued.task.task,
            service: service_name.clone(),
            remaining: job.deadline.saturating_duration_since(now),
            payload: job.spec.tasks[usize::from(queued.task.task)].payload.clone(),
        };
        actions.push(Action::ToAgent {
            agent: agent_id,
            message: EntryToAgent::Dispatch(dispatch),
        });
    }

    /// Passes the number of usable credits of an agent to the router.
    pub(crate) fn sync_router_credits(&mut self, agent: ProcessId) {
        if let Some(agent) = self.agents.get(agent) {
            self.router
                .set_credits(agent.target, saturating_u32(agent.usable_credits()));
        }
    }
}

/// Converts a length to the integer type that messages use, saturating at its maximum.
pub(crate) fn saturating_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

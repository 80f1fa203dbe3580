//! Requests of callers: submissions, lookups and cancellations.

use std::time::{Duration, Instant};

use chestnutfork_routes::{Route, RouteIndex};
use chestnutfork_types::{JobId, TaskIndex};

use crate::admission::{MAX_RUN_TIME, RETRY_AFTER};
use crate::core::BrokerCore;
use crate::event::{
    Action, Answer, JobEnd, JobSubmission, Notice, RefusalReason, Request, RequestKind, Ticket,
};
use crate::job::{Job, Task, TaskState, critical_path};
use crate::order::WaitingOrder;
use crate::shedding::Shed;

/// Maximum time that a request waits for the first route table: about the duration of a leader election in control. A
/// longer wait would exceed the objective of most jobs.
const ROUTES_WAIT: Duration = Duration::from_millis(500);

/// Request that waits for its answer, and when it reached the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) ticket: Ticket,
    pub(crate) received_at: Instant,
}

impl BrokerCore {
    pub(crate) fn on_request(
        &mut self,
        now: Instant,
        arrival: Arrival,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let ticket = arrival.ticket;
        let Some(routes) = self.usable_routes() else {
            self.wait_for_routes(now, arrival, request, actions);
            return;
        };
        let Some(route) = routes.find(&request.host, &request.queue).cloned() else {
            actions.push(Action::Notice(Notice::RouteMissing {
                host: request.host,
                queue: request.queue,
                version: routes.version(),
                in_force: now.saturating_duration_since(self.routes_since),
            }));
            actions.push(Action::Answer(ticket, Answer::NoRoute));
            return;
        };
        let answer = match (request.kind, request.job) {
            (RequestKind::Submit(submission), Some(job)) => {
                let timeout = request.timeout.unwrap_or(route.timeout);
                self.submit(now, arrival, job, &route, submission, timeout, actions);
                return;
            }
            (RequestKind::Submit(_), None) => refusal(RefusalReason::Malformed, RETRY_AFTER),
            (RequestKind::Lookup, Some(job)) => self.lookup(job),
            (RequestKind::Lookup, None) => Answer::Pending(self.pending(&route)),
            (RequestKind::Cancel, Some(job)) => self.cancel(now, job, actions),
            (RequestKind::Cancel, None) => Answer::Unknown,
        };
        actions.push(Action::Answer(ticket, answer));
    }

    /// Returns the route table, unless the evacuations that precede it have not arrived.
    pub(crate) fn usable_routes(&self) -> Option<&RouteIndex> {
        let known = !self.cfg.awaits_evacuations || self.evacuations.latest().is_some();
        self.routes.as_ref().filter(|_| known)
    }

    /// Holds a request until the first route table arrives, which takes a moment after a restart.
    fn wait_for_routes(
        &mut self,
        now: Instant,
        arrival: Arrival,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        if self.draining || self.early_requests.len() >= self.cfg.max_jobs {
            let answer = refusal(RefusalReason::NoRoutes, RETRY_AFTER);
            actions.push(Action::Answer(arrival.ticket, answer));
            return;
        }
        let until = arrival.received_at + ROUTES_WAIT;
        self.early_requests.push_back((until, arrival, request));
        self.schedule_check(now);
    }

    /// Refuses the requests that have waited too long for a route table.
    pub(crate) fn refuse_expired_requests(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((_, arrival, _)) = self.early_requests.pop_front_if(|(until, ..)| *until <= now) {
            let answer = refusal(RefusalReason::NoRoutes, RETRY_AFTER);
            actions.push(Action::Answer(arrival.ticket, answer));
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the submission is checked against each of these parts separately"
    )]
    fn submit(
        &mut self,
        now: Instant,
        arrival: Arrival,
        id: JobId,
        route: &Route,
        submission: JobSubmission,
        timeout: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Arrival { ticket, received_at } = arrival;
        let deadline = self.unverified_deadline(received_at, received_at + timeout);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tickets.push(ticket);
            job.deadline = job.deadline.max(deadline);
            job.unverified_since = self.silence.backlog_since(received_at);
            self.tickets.insert(ticket, id);
            return;
        }
        if let Some((answer, _)) = self.retained_answers.get(&id) {
            actions.push(Action::Answer(ticket, *answer));
            return;
        }
        if let Some(end) = self.end_after_losses(id, actions) {
            let answer = end.answer();
            if end == JobEnd::Failed {
                self.retained_answers.insert(id, (answer, now));
            }
            actions.push(Action::Answer(ticket, answer));
            return;
        }
        let mut refused = self.refusal_reason(&submission);
        let mut retry_after = RETRY_AFTER;
        if refused.is_none() {
            refused = self.unfit_reason(&route.service, &submission.steps);
        }
        let run_time = critical_path(&submission.steps).min(MAX_RUN_TIME);
        let objective = run_time.mul_f64(route.stretch_factor) + route.overhead;
        let objective_at = received_at + objective;
        if refused.is_none()
            && let Some(shed) = self.check_shedding(now, route, &submission.steps)
        {
            refused = Some(RefusalReason::Overloaded);
            retry_after = self.overload_retry_after(now, &route.service);
            log_shed(id, shed, actions);
        }
        let order = WaitingOrder {
            band: self.shedding.band_in_force(now, route),
            objective_at,
            number: u64::MAX,
        };
        let wait = self.expected_wait(now, &route.service, order);
        if refused.is_none() && now + wait + run_time > objective_at {
            refused = Some(RefusalReason::Overloaded);
            retry_after = wait.max(self.overload_retry_after(now, &route.service));
        }
        let delay = self.processing_delay(now);
        if refused.is_none() && now + wait + delay + run_time > objective_at {
            refused = Some(RefusalReason::Behind);
        }
        if refused.is_none() && objective_at > self.unverified_deadline(received_at, objective_at) {
            refused = Some(RefusalReason::Silence);
        }
        if let Some(reason) = refused {
            self.log_refusal(id, reason, Duration::ZERO, actions);
            actions.push(Action::Answer(ticket, refusal(reason, retry_after)));
            return;
        }
        self.tickets.insert(ticket, id);
        self.accept(now, arrival, id, route, submission, timeout, objective, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "each part of a job has its own source")]
    fn accept(
        &mut self,
        now: Instant,
        Arrival { ticket, received_at }: Arrival,
        id: JobId,
        route: &Route,
        submission: JobSubmission,
        timeout: Duration,
        objective: Duration,
        actions: &mut Vec<Action>,
    ) {
        let attempt = self
            .last_attempts
            .swap_remove(&id)
            .map_or(0, |(attempt, _)| attempt);
        let tasks = (0_u16..).zip(&submission.steps).flat_map(|(step, spec)| {
            let state = if spec.depends_on.is_empty() {
                TaskState::Waiting
            } else {
                TaskState::Blocked
            };
            (0..spec.tasks).map(move |index: TaskIndex| Task {
                step,
                index,
                state,
                attempt,
                failures: 0,
                unhealthy_worker_failures: 0,
                retry_at: None,
                refusals: 0,
                overdue_stops: 0,
                avoid: None,
            })
        });
        let tasks: Vec<Task> = tasks.collect();
        self.next_order += 1;
        let objective_at = received_at + objective;
        let band = self.shedding.band_in_force(now, route);
        actions.push(Action::Notice(Notice::JobTaken {
            job: id,
            route: route.name.clone(),
            version: self.routes.as_ref().map_or(0, RouteIndex::version),
            tasks: tasks.len() as u64,
            objective,
            waiting: self.waiting.len() as u64,
        }));
        let job = Job {
            id,
            route: route.name.clone(),
            service: route.service.clone(),
            max_attempts: route.max_attempts.max(1),
            spec: submission.spec,
            steps: submission.steps,
            tasks,
            tickets: vec![ticket],
            received_at,
            objective_at,
            deadline: self.unverified_deadline(received_at, received_at + timeout),
            unverified_since: self.silence.backlog_since(received_at),
            placed_at: None,
            attempts: 0,
            possible_starts: 0,
            order: WaitingOrder {
                band,
                objective_at,
                number: self.next_order,
            },
            band,
        };
        self.waiting.insert(job.order, id);
        self.jobs.insert(id, job);
        self.schedule_check(now);
    }

    fn lookup(&self, id: JobId) -> Answer {
        if let Some(job) = self.jobs.get(&id) {
            return Answer::State(job.state());
        }
        self.retained_answers
            .get(&id)
            .map_or(Answer::Unknown, |&(answer, _)| answer)
    }

    fn pending(&self, route: &Route) -> u64 {
        let queued = |job: &&Job| job.route == route.name && job.placed_at.is_none();
        self.jobs.values().filter(queued).count() as u64
    }

    fn cancel(&mut self, now: Instant, id: JobId, actions: &mut Vec<Action>) -> Answer {
        if self.jobs.contains_key(&id) {
            self.end_job(now, id, JobEnd::Cancelled, actions);
            return Answer::Cancelled;
        }
        match self.retained_answers.get(&id) {
            Some(_) => Answer::Cancelled,
            None => Answer::Unknown,
        }
    }

    /// Cancels a job once all its callers have disconnected; a resubmission runs it again.
    pub(crate) fn on_caller_disconnected(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        self.early_requests.retain(|(_, other, _)| other.ticket != ticket);
        let Some(id) = self.tickets.swap_remove(&ticket) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tickets.retain(|&other| other != ticket);
        if job.tickets.is_empty() {
            self.end_job(now, id, JobEnd::Cancelled, actions);
        }
    }

    pub(crate) fn log_refusal(
        &self,
        job: JobId,
        reason: RefusalReason,
        waited: Duration,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Notice(Notice::JobRefused {
            job,
            reason,
            waited,
            waiting: self.waiting.len() as u64,
        }));
    }
}

/// Reports a submission that was shed, with the inputs of the decision.
fn log_shed(job: JobId, shed: Shed, actions: &mut Vec<Action>) {
    actions.push(Action::Notice(Notice::JobShed {
        job,
        route: shed.route,
        priority: shed.priority,
        fraction: shed.fraction,
        demand: shed.demand,
        capacity: shed.capacity,
        age: shed.age,
    }));
}

pub(crate) fn refusal(reason: RefusalReason, retry_after: Duration) -> Answer {
    Answer::Refused { reason, retry_after }
}

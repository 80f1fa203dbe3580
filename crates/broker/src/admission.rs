//! Admission control: refuses submissions that cannot be served.

use std::time::{Duration, Instant};

use chestnutfork_routes::Route;
use chestnutfork_types::JobId;
use rand::RngExt;

use crate::core::BrokerCore;
use crate::event::{Action, JobSubmission, RefusalReason, StepSpec};
use crate::job::{TaskState, critical_path};
use crate::order::WaitingOrder;
use crate::selection::is_suitable;
use crate::shedding::Shed;

/// Default delay after which a refused caller may retry, used when there is no estimate.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest declared run time of a job. Callers may declare anything; times near the range of a duration would overflow.
pub(crate) const MAX_RUN_TIME: Duration = Duration::from_hours(24);

impl BrokerCore {
    /// Returns why a submission must be refused, if so.
    pub(crate) fn refusal_reason(&self, submission: &JobSubmission) -> Option<RefusalReason> {
        if self.draining {
            return Some(RefusalReason::Draining);
        }
        if submission.durable || submission.long_running || submission.recurring {
            return Some(RefusalReason::Unsupported);
        }
        if submission.steps.iter().any(|step| step.gang) {
            return Some(RefusalReason::Unsupported);
        }
        if self.jobs.len() >= self.cfg.max_jobs {
            return Some(RefusalReason::TooManyJobs);
        }
        self.fault(submission)
    }

    /// Returns what makes a submission unacceptable whatever the state of the entry.
    fn fault(&self, submission: &JobSubmission) -> Option<RefusalReason> {
        let tasks: usize = submission.steps.iter().map(|step| usize::from(step.tasks)).sum();
        if tasks > self.cfg.max_tasks {
            return Some(RefusalReason::TooManyTasks);
        }
        let ordered =
            |(at, step): (usize, &StepSpec)| step.depends_on.iter().all(|&before| usize::from(before) < at);
        let well_formed = tasks > 0
            && critical_path(&submission.steps) <= MAX_RUN_TIME
            && submission.steps.iter().enumerate().all(ordered);
        (!well_formed).then_some(RefusalReason::Malformed)
    }

    /// Returns why some step fits no known worker of a pool; `None` also if no worker of the pool is known yet.
    pub(crate) fn unfit_reason(&self, service: &str, steps: &[StepSpec]) -> Option<RefusalReason> {
        let known = || {
            let agents = self.agents.iter().map(|(_, agent)| agent);
            agents.filter(|agent| agent.worker.pool == service)
        };
        let in_use = |step: &StepSpec| known().any(|agent| !agent.evacuated && is_suitable(agent, step));
        if steps.iter().all(in_use) || known().next().is_none() {
            return None;
        }
        let anywhere = |step: &StepSpec| known().any(|agent| is_suitable(agent, step));
        if steps.iter().all(anywhere) {
            Some(RefusalReason::Evacuated)
        } else {
            Some(RefusalReason::NeverFits)
        }
    }

    /// Refuses the waiting jobs that have not run and fit only evacuated workers, and returns their number.
    pub(crate) fn refuse_evacuated_jobs(&mut self, now: Instant, actions: &mut Vec<Action>) -> u64 {
        let evacuated = self.evacuations.latest();
        if evacuated.is_none_or(|state| state.domains.is_empty()) {
            return 0;
        }
        let waiting = self.waiting.values().filter_map(|id| self.jobs.get(id));
        let unfit = waiting.filter(|job| {
            let reason = || self.unfit_reason(&job.service, &job.steps);
            job.placed_at.is_none() && reason() == Some(RefusalReason::Evacuated)
        });
        let unfit: Vec<JobId> = unfit.map(|job| job.id).collect();
        for &id in &unfit {
            self.refuse_job(now, id, RefusalReason::Evacuated, actions);
        }
        unfit.len() as u64
    }

    /// Estimates how long a new job of a service would wait, from the backlog ahead of it and the speed of the pool.
    pub(crate) fn expected_wait(&self, now: Instant, service: &str, last: WaitingOrder) -> Duration {
        let mut backlog = 0.0;
        let before = self.waiting.range(..last);
        for job in before.filter_map(|(_, id)| self.jobs.get(id)) {
            if job.service != service {
                continue;
            }
            for task in job.tasks.iter().filter(|task| task.state == TaskState::Waiting) {
                let step = &job.steps[usize::from(task.step)];
                backlog += declared_work(step);
            }
        }
        if backlog == 0.0 {
            return Duration::ZERO;
        }
        let rate = self.capacity(now, service);
        let equal_part = rate / as_f64(self.entry_count.max(1) as u64);
        // Callers are spread unevenly over the entries, and one with more callers gets a larger part of the workers.
        let own_rate = self.throughput.get(service).map_or(0.0, |done| done.rate(now));
        // While submissions are shed, each entry admits its part of the work that the workers can do.
        let demand_part = self.shedding.own_part(now, service).unwrap_or(0.0) * rate;
        let rate_per_entry = equal_part.max(own_rate).max(demand_part);
        if rate_per_entry <= 0.0 {
            return self.cfg.run_expiry;
        }
        Duration::from_secs_f64((backlog / rate_per_entry).min(60.0))
    }

    /// Returns the capacity of the usable workers of a pool at their learned speeds, in thousandths of a core.
    fn capacity(&self, now: Instant, service: &str) -> f64 {
        let mean = self.mean_run_time_ratio(now, service);
        let usable = self.agents.usable(now, self.cfg.stale_after, service);
        usable
            .map(|(_, agent)| {
                as_f64(agent.usable_capacity(now).cpu_millis) / agent.run_time_ratio().unwrap_or(mean)
            })
            .sum()
    }

    /// Records the demand of a submission that could be served, and returns why it is shed, if so.
    pub(crate) fn check_shedding(&mut self, now: Instant, route: &Route, steps: &[StepSpec]) -> Option<Shed> {
        let work = steps
            .iter()
            .map(|step| declared_work(step) * f64::from(step.tasks));
        self.shedding.record(now, route, work.sum());
        if self.shedding.is_due(now, &route.service) {
            let sums = self.agents.demand_sums(now, &route.service);
            let capacity = self.capacity(now, &route.service);
            self.shedding.update(now, &route.service, sums, capacity);
        }
        self.shedding.plan(now, &route.service)?;
        let draw = self.rng.random();
        self.shedding.check(now, route, draw)
    }

    /// Returns when the caller of a job that was refused for lack of capacity may retry.
    pub(crate) fn overload_retry_after(&mut self, now: Instant, service: &str) -> Duration {
        match self.shedding.plan(now, service) {
            Some(plan) => plan.retry_after(self.rng.random()),
            None => RETRY_AFTER,
        }
    }
}

/// Returns the declared work of a task of the step, in core-seconds times 1,000.
pub(crate) fn declared_work(step: &StepSpec) -> f64 {
    step.declared_run_time.as_secs_f64() * as_f64(step.resources.cpu_millis)
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no exact digits")]
fn as_f64(value: u64) -> f64 {
    value as f64
}

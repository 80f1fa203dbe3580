//! Admission control: refuses submissions that cannot be served.

use std::time::{Duration, Instant};

use crate::core::BrokerCore;
use crate::event::{JobSubmission, RefusalReason, StepSpec};
use crate::job::{TaskState, critical_path};
use crate::selection::is_suitable;

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
        (!self.is_well_formed(submission)).then_some(RefusalReason::Malformed)
    }

    fn is_well_formed(&self, submission: &JobSubmission) -> bool {
        let tasks: usize = submission.steps.iter().map(|step| usize::from(step.tasks)).sum();
        let ordered =
            |(at, step): (usize, &StepSpec)| step.depends_on.iter().all(|&before| usize::from(before) < at);
        let run_time = critical_path(&submission.steps);
        tasks > 0
            && tasks <= self.cfg.max_tasks
            && run_time <= MAX_RUN_TIME
            && submission.steps.iter().enumerate().all(ordered)
    }

    /// Returns whether each step fits some known worker of a pool; also true if no worker of the pool is known yet.
    pub(crate) fn any_worker_fits(&self, service: &str, steps: &[StepSpec]) -> bool {
        let known = || {
            self.agents
                .iter()
                .filter(|(_, agent)| agent.worker.pool == service)
        };
        let fits = |step: &StepSpec| known().any(|(_, agent)| is_suitable(agent, step));
        steps.iter().all(fits) || known().next().is_none()
    }

    /// Estimates the work that this entry completes in a second, from its part of the workers and its recent work.
    pub(crate) fn service_rate(&self, now: Instant, service: &str) -> f64 {
        let mean = self.mean_run_time_ratio(now, service);
        let usable = self.agents.usable(now, self.cfg.stale_after, service);
        let rate: f64 = usable
            .map(|(_, agent)| {
                as_f64(agent.worker.capacity.cpu_millis) / agent.run_time_ratio().unwrap_or(mean)
            })
            .sum();
        let equal_part = rate / as_f64(self.entry_count.max(1) as u64);
        // Callers are spread unevenly over the entries, and one with more callers gets a larger part of the workers.
        let own_rate = self.throughput.get(service).map_or(0.0, |done| done.rate(now));
        equal_part.max(own_rate)
    }

    /// Estimates how long a new job of a service would wait, from the backlog ahead of it and the speed of the pool.
    pub(crate) fn expected_wait(&self, now: Instant, service: &str, objective_at: Instant) -> Duration {
        let mut backlog = 0.0;
        let before = self.waiting.range(..(objective_at, u64::MAX));
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
        let rate_per_entry = self.service_rate(now, service);
        if rate_per_entry <= 0.0 {
            return self.cfg.run_expiry;
        }
        Duration::from_secs_f64((backlog / rate_per_entry).min(60.0))
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

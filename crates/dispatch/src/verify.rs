//! Verifier of the entry core: checks the invariants of its state and reports all violations.

use std::collections::HashMap;

use chestnutfork_types::{JobId, ProcessId, ServiceName, TaskIndex};
use thiserror::Error;

use crate::core::EntryCore;
use crate::job::Phase;
use crate::maintenance::queued_by_pool;

/// Violation of an invariant of the entry core.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A task of an at-most-once job has more than one attempt that may have started.
    #[error("task {task} of at-most-once job {job:x} has {attempts} attempts that may have started")]
    RepeatedStart {
        /// Affected job.
        job: JobId,
        /// Affected task.
        task: TaskIndex,
        /// Number of attempts that may have started.
        attempts: u32,
    },
    /// The counter of unfinished tasks does not match the states of the tasks.
    #[error("job {job:x} counts {counted} unfinished tasks but has {actual}")]
    UnfinishedCount {
        /// Affected job.
        job: JobId,
        /// Counter of the job.
        counted: usize,
        /// Number of tasks without a final status.
        actual: usize,
    },
    /// An unfinished task of a running job is neither queued nor in flight, so it would not end before its deadline.
    #[error("task {task} of job {job:x} is neither queued nor dispatched")]
    Unscheduled {
        /// Affected job.
        job: JobId,
        /// Affected task.
        task: TaskIndex,
    },
    /// A running job has no timer for its deadline.
    #[error("job {job:x} has no deadline timer")]
    MissingDeadlineTimer {
        /// Affected job.
        job: JobId,
    },
    /// The counter of a service's attempts in flight does not match the attempts at the agents.
    #[error("service `{service}` counts {counted} attempts in flight but has {actual}")]
    InFlightCount {
        /// Affected service.
        service: ServiceName,
        /// Counter of the service.
        counted: u32,
        /// Number of attempts at the agents.
        actual: u32,
    },
    /// The length of a service's queue does not match the queued tasks of its jobs.
    #[error("the queue of service `{service}` holds {queued} tasks but its jobs have {actual} queued")]
    QueuedCount {
        /// Affected service.
        service: ServiceName,
        /// Length of the queue.
        queued: usize,
        /// Number of queued task copies of its jobs.
        actual: usize,
    },
    /// A due time of an agent is missing from those of the agent table, so its work would not be done in time.
    #[error("no wake-up is scheduled for the credits or acknowledgements of agent {agent:x}")]
    MissingWakeup {
        /// Affected agent.
        agent: ProcessId,
    },
    /// An agent needs a demand message for its pool, and nothing would trigger one.
    #[error(
        "agent {agent:x} was last sent a demand of {reported} while {queued} tasks are queued for its pool"
    )]
    UnreportedDemand {
        /// Affected agent.
        agent: ProcessId,
        /// Demand that was last reported to the agent.
        reported: u32,
        /// Number of tasks that are queued for its pool.
        queued: u32,
    },
    /// A job is owned by this entry and also pending on another entry or the register.
    #[error("job {job:x} is both owned and pending")]
    OwnedAndPending {
        /// Affected job.
        job: JobId,
    },
}

impl EntryCore {
    /// Checks all invariants and returns every violation.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_dispatch::EntryCore;
    ///
    /// assert!(EntryCore::builder(7).build(Instant::now()).verify().is_empty());
    /// ```
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.verify_jobs(&mut violations);
        self.verify_services(&mut violations);
        self.verify_agents(&mut violations);
        violations
    }

    fn verify_jobs(&self, violations: &mut Vec<Violation>) {
        for (&id, job) in &self.jobs {
            let actual = job.tasks.iter().filter(|task| task.status.is_none()).count();
            if actual != job.unfinished {
                violations.push(Violation::UnfinishedCount {
                    job: id,
                    counted: job.unfinished,
                    actual,
                });
            }
            if !self.deadlines.contains(&(job.deadline, id)) {
                violations.push(Violation::MissingDeadlineTimer { job: id });
            }
            if self.pending.contains_key(&id) {
                violations.push(Violation::OwnedAndPending { job: id });
            }
            for (index, task) in job.spec.task_indexes().zip(&job.tasks) {
                if job.spec.at_most_once && task.attempts > 1 {
                    let attempts = task.attempts;
                    violations.push(Violation::RepeatedStart {
                        job: id,
                        task: index,
                        attempts,
                    });
                }
                let idle = task.status.is_none() && task.queued == 0 && task.in_flight.is_empty();
                if idle && job.phase != Phase::Claiming {
                    violations.push(Violation::Unscheduled { job: id, task: index });
                }
            }
        }
    }

    fn verify_services(&self, violations: &mut Vec<Violation>) {
        let mut in_flight = vec![0_u32; self.services.len()];
        for (_, agent) in self.agents.iter() {
            for attempt in agent.attempts.values() {
                in_flight[attempt.service] += 1;
            }
        }
        let mut queued: HashMap<&str, usize> = HashMap::new();
        for job in self.jobs.values() {
            let copies: usize = job.tasks.iter().map(|task| usize::from(task.queued)).sum();
            *queued.entry(job.service()).or_default() += copies;
        }
        for ((name, service), actual) in self.services.iter().zip(in_flight) {
            if service.in_flight != actual {
                let service_name = name.clone();
                let counted = service.in_flight;
                violations.push(Violation::InFlightCount {
                    service: service_name,
                    counted,
                    actual,
                });
            }
            let actual = queued.get(name.as_str()).copied().unwrap_or(0);
            if service.queue.len() != actual {
                let queued = service.queue.len();
                violations.push(Violation::QueuedCount {
                    service: name.clone(),
                    queued,
                    actual,
                });
            }
        }
    }

    fn verify_agents(&self, violations: &mut Vec<Violation>) {
        let queued_by_pool = queued_by_pool(&self.services);
        for (process, agent) in self.agents.iter().filter(|(_, agent)| agent.linked) {
            let credits = agent.credit_wakeup().is_none_or(|at| {
                let scheduled = self.agents.credit_wakeup;
                scheduled.is_some_and(|scheduled| scheduled <= at)
            });
            let acks = agent
                .acks_due()
                .is_none_or(|due| self.agents.acks_due.contains(&(due, process)));
            if !credits || !acks {
                violations.push(Violation::MissingWakeup { agent: process });
            }
            let queued = queued_by_pool.get(&agent.announcement.pool).copied().unwrap_or(0);
            let reported = agent.reported_demand;
            let range = self.agents.demand_ranges.get(&agent.announcement.pool);
            let covered = range.is_some_and(|range| range.covers(reported, queued));
            if !covered {
                violations.push(Violation::UnreportedDemand {
                    agent: process,
                    reported,
                    queued,
                });
            }
        }
    }
}

//! Verifier of the entry core: checks the invariants of its state and reports all violations by name.

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
        /// Job.
        job: JobId,
        /// Task.
        task: TaskIndex,
        /// Attempts that may have started.
        attempts: u32,
    },
    /// The number of unfinished tasks does not match their states.
    #[error("job {job:x} counts {counted} unfinished tasks and has {actual}")]
    UnfinishedCount {
        /// Job.
        job: JobId,
        /// Number in the job.
        counted: usize,
        /// Tasks without a status.
        actual: usize,
    },
    /// An unfinished task of a running job is neither queued nor dispatched, so it would never end.
    #[error("task {task} of job {job:x} is neither queued nor dispatched")]
    Unscheduled {
        /// Job.
        job: JobId,
        /// Task.
        task: TaskIndex,
    },
    /// A running job has no timer for its deadline.
    #[error("job {job:x} has no deadline timer")]
    MissingDeadlineTimer {
        /// Job.
        job: JobId,
    },
    /// The attempts in flight of a service do not match those at the agents.
    #[error("service `{service}` counts {counted} attempts in flight and has {actual}")]
    InFlightCount {
        /// Service.
        service: ServiceName,
        /// Number in the service.
        counted: u32,
        /// Attempts at the agents.
        actual: u32,
    },
    /// The queued tasks of a service do not match those of the jobs.
    #[error("service `{service}` has {queued} queued tasks and its jobs have {actual}")]
    QueuedCount {
        /// Service.
        service: ServiceName,
        /// Length of the queue.
        queued: usize,
        /// Queued copies of tasks.
        actual: usize,
    },
    /// The due times kept for all agents miss one of an agent, which would never be looked at.
    #[error("agent {agent:x} has no due time for its credits or confirmations")]
    MissingWakeup {
        /// Agent.
        agent: ProcessId,
    },
    /// An agent has to be told the demand of its pool, and nothing would tell it.
    #[error("agent {agent:x} was last sent a demand of {reported} while {waiting} tasks wait for its pool")]
    UnreportedDemand {
        /// Agent.
        agent: ProcessId,
        /// Demand that the agent knows.
        reported: u32,
        /// Tasks that wait for its pool.
        waiting: u32,
    },
    /// A job is owned and awaited at once.
    #[error("job {job:x} is owned and awaited at the same time")]
    OwnedAndPending {
        /// Job.
        job: JobId,
    },
}

impl EntryCore {
    /// Checks all invariants and returns the violations.
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
            for (index, task) in job.spec.indexes().zip(&job.tasks) {
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
        let waiting = queued_by_pool(&self.services);
        for (process, agent) in self.agents.iter().filter(|(_, agent)| agent.linked) {
            let credits = agent.credit_wakeup().is_none_or(|at| {
                let kept = self.agents.credit_wakeup;
                kept.is_some_and(|kept| kept <= at)
            });
            let acks = agent
                .acks_due()
                .is_none_or(|due| self.agents.acks_due.contains(&(due, process)));
            if !credits || !acks {
                violations.push(Violation::MissingWakeup { agent: process });
            }
            let waiting = waiting.get(&agent.announcement.pool).copied().unwrap_or(0);
            let reported = agent.reported_demand;
            let range = self.agents.demand_ranges.get(&agent.announcement.pool);
            let covered = range.is_some_and(|range| range.covers(reported, waiting));
            if !covered {
                violations.push(Violation::UnreportedDemand {
                    agent: process,
                    reported,
                    waiting,
                });
            }
        }
    }
}

//! Workers that were lost under tasks, by job, and the decision to give a job up.
//!
//! The records outlive the jobs, because a caller submits a job again after its connection or its time has ended.

use std::time::{Duration, Instant};

use chestnutfork_types::{JobId, TaskKey};
use indexmap::IndexMap;

use crate::agents::AgentIndex;
use crate::core::BrokerCore;
use crate::event::{Action, JobEnd, Notice};

/// Number of losses, for whatever cause, from which a task is given up.
const MAX_LOSSES: u32 = 3;
/// Maximum number of jobs with records; the oldest record is dropped first.
const MAX_JOBS: usize = 4_096;

/// Worker that was lost while it ran a task.
#[derive(Clone, Debug)]
struct Loss {
    task: TaskKey,
    recorded_at: Instant,
}

/// Recent losses of workers, by job.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    jobs: IndexMap<JobId, Vec<Loss>>,
}

/// Number of workers that were lost under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LossCount {
    /// Losses for an unknown cause, which may have been crashes.
    pub(crate) possible: u32,
}

impl LossCount {
    fn is_over_limit(self) -> bool {
        self.possible >= MAX_LOSSES
    }
}

impl Crashes {
    /// Records that an attempt was lost for an unknown cause.
    fn record_loss(&mut self, now: Instant, task: TaskKey) {
        self.losses_of(task.job).push(Loss {
            task,
            recorded_at: now,
        });
    }

    fn losses_of(&mut self, job: JobId) -> &mut Vec<Loss> {
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            self.jobs.shift_remove_index(0);
        }
        self.jobs.entry(job).or_default()
    }

    pub(crate) fn count(&self, task: TaskKey) -> LossCount {
        let mut count = LossCount::default();
        let losses = self.jobs.get(&task.job).into_iter().flatten();
        for _ in losses.filter(|loss| loss.task == task) {
            count.possible += 1;
        }
        count
    }

    /// Returns a task of the job that has lost too many workers, if there is one.
    fn task_over_limit(&self, job: JobId) -> Option<(TaskKey, LossCount)> {
        let losses = self.jobs.get(&job)?;
        let mut counts = losses.iter().map(|loss| (loss.task, self.count(loss.task)));
        counts.find(|(_, count)| count.is_over_limit())
    }

    /// Removes the records that are older than the retention time.
    pub(crate) fn remove_expired(&mut self, now: Instant, retention: Duration) {
        self.jobs.retain(|_, losses| {
            losses.retain(|loss| now < loss.recorded_at + retention);
            !losses.is_empty()
        });
    }
}

impl BrokerCore {
    /// Records that an attempt was lost for an unknown cause.
    pub(crate) fn record_loss(
        &mut self,
        now: Instant,
        agent: AgentIndex,
        task: TaskKey,
        actions: &mut Vec<Action>,
    ) {
        self.crashes.record_loss(now, task);
        let count = self.crashes.count(task);
        actions.push(Action::Notice(Notice::LossCounted {
            task,
            agent: self.agents.get(agent).name.clone(),
            possible: u64::from(count.possible),
        }));
    }

    /// Ends a job in progress as failed if one of its tasks has lost too many workers.
    pub(crate) fn give_up(&mut self, now: Instant, job: JobId, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&job) && self.must_give_up(job, actions) {
            self.end_job(now, job, JobEnd::Failed, actions);
        }
    }

    /// Returns whether a job must be given up because one of its tasks has lost too many workers.
    pub(crate) fn must_give_up(&self, job: JobId, actions: &mut Vec<Action>) -> bool {
        let Some((task, count)) = self.crashes.task_over_limit(job) else {
            return false;
        };
        actions.push(Action::Notice(Notice::JobGivenUp {
            task,
            possible: u64::from(count.possible),
            ordered: self.jobs.contains_key(&job),
        }));
        true
    }
}

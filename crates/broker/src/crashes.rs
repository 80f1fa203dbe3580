//! Workers that were lost under tasks, by job, and the decision to give a job up.
//!
//! Agents report the losses of their worker to all entries; attempts that end as lost without such a report count too. The
//! records outlive the jobs, because a caller submits a job again after its connection or its time has ended.

use std::time::{Duration, Instant};

use chestnutfork_types::{
    EntryToWorker, IncarnationNumber, JobId, LinkNumber, ProcessId, TaskKey, WorkerCrash, WorkerName,
};
use indexmap::{IndexMap, IndexSet};

use crate::agents::AgentIndex;
use crate::core::BrokerCore;
use crate::event::{Action, JobEnd, Notice};
use crate::job::{Job, TaskState};

/// Number of certain crashes from which a task is given up, as the users' rules allow.
const MAX_CRASHES: u32 = 2;
/// Number of losses of any kind after which a task is not started again while they are on record. Without certain crashes its
/// job has not failed.
const MAX_LOSSES: u32 = 3;
/// Maximum number of suspect tasks of one job that are placed at a time. It limits the number of workers that a job whose tasks
/// all crash their workers takes at once; one at a time would make most innocent jobs late.
const MAX_PLACED_SUSPECTS: usize = 2;
/// Maximum number of jobs with records; the oldest record is dropped first.
const MAX_JOBS: usize = 4_096;

/// Number of losses of a task from which its records are passed on to agents.
const MIN_FORWARDED_LOSSES: usize = 2;

/// Worker that was lost while it ran a task.
#[derive(Clone, Debug)]
struct Loss {
    task: TaskKey,
    /// Agent of the worker, or `None` if another agent has passed the record on.
    agent: Option<AgentIndex>,
    worker: WorkerName,
    /// Incarnation that the agent reported as lost, or `None` if only the attempt was reported as lost.
    source: Option<(ProcessId, IncarnationNumber)>,
    /// Whether the worker has certainly crashed.
    confirmed: bool,
    /// Whether another task, which was given up, was on the worker too.
    explained: bool,
    /// When the loss was noticed, or when the attempt was ordered if there is no report of the loss.
    at: Instant,
    /// Time from which the retention counts.
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
    /// Workers that have certainly crashed.
    pub(crate) confirmed: u32,
    /// Losses for an unknown cause, which may have been crashes.
    pub(crate) possible: u32,
    /// Losses, certain or possible, for which another task was given up.
    pub(crate) explained: u32,
}

impl LossCount {
    /// Returns how a job with such a task ends, if the task must not be started again.
    fn end(self) -> Option<JobEnd> {
        let all = self.confirmed + self.possible + self.explained;
        if self.confirmed >= MAX_CRASHES {
            Some(JobEnd::Failed)
        } else {
            (all >= MAX_LOSSES).then_some(JobEnd::TimedOut)
        }
    }
}

impl Crashes {
    /// Records that an attempt was lost, unless its agent has reported the loss of the worker; returns whether it is new.
    fn record_attempt(
        &mut self,
        now: Instant,
        agent: AgentIndex,
        task: TaskKey,
        ordered_at: Instant,
    ) -> bool {
        let losses = self.losses_of(task.job);
        // At most one run of a task is on a worker at a time, so a loss that was noticed after the order is this one.
        let reported =
            |loss: &Loss| loss.source.is_some() && loss.agent == Some(agent) && loss.at >= ordered_at;
        if losses.iter().any(|loss| loss.task == task && reported(loss)) {
            return false;
        }
        losses.push(Loss {
            task,
            agent: Some(agent),
            worker: WorkerName::new(),
            source: None,
            confirmed: false,
            explained: false,
            at: ordered_at,
            recorded_at: now,
        });
        true
    }

    /// Records that an agent reported the loss of its worker under a task; returns whether that changes the count.
    fn record_report(&mut self, report: Loss) -> bool {
        let Loss {
            task,
            agent,
            source,
            confirmed,
            at: noticed_at,
            ..
        } = report;
        let losses = self.losses_of(task.job);
        let known = |loss: &&mut Loss| loss.task == task && loss.source == source;
        if let Some(loss) = losses.iter_mut().find(known) {
            let changed = confirmed && !loss.confirmed;
            loss.confirmed |= confirmed;
            loss.at = loss.at.max(noticed_at);
            loss.recorded_at = loss.at;
            loss.agent = loss.agent.or(agent);
            return changed;
        }
        // The report replaces the record of the attempt whose loss it explains.
        let attempts = losses.iter().enumerate().filter(|(_, loss)| {
            let same_run = loss.task == task && loss.agent == agent && loss.source.is_none();
            same_run && loss.at <= noticed_at
        });
        if let Some((at, _)) = attempts.max_by_key(|(_, loss)| loss.at) {
            losses.remove(at);
        }
        losses.push(report);
        true
    }

    /// Returns the records of tasks under which several workers were lost, except those that a process has reported itself.
    ///
    /// They are passed on, because a task may go on crashing workers once every process with records of its losses has ended.
    pub(crate) fn forwarded(&self, now: Instant, to: ProcessId) -> Vec<WorkerCrash> {
        let mut records = Vec::new();
        for losses in self.jobs.values() {
            let count = |task: TaskKey| losses.iter().filter(|loss| loss.task == task).count();
            for loss in losses
                .iter()
                .filter(|loss| count(loss.task) >= MIN_FORWARDED_LOSSES)
            {
                let Some((reporter, incarnation)) = loss.source.filter(|(reporter, _)| *reporter != to)
                else {
                    continue;
                };
                records.push(WorkerCrash {
                    reporter: Some(reporter),
                    incarnation,
                    worker: loss.worker.clone(),
                    confirmed: loss.confirmed,
                    age: now.saturating_duration_since(loss.at),
                    tasks: vec![loss.task],
                });
            }
        }
        records
    }

    fn losses_of(&mut self, job: JobId) -> &mut Vec<Loss> {
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            self.jobs.shift_remove_index(0);
        }
        self.jobs.entry(job).or_default()
    }

    /// Returns whether a worker was lost under a task, which may therefore crash the next one too.
    ///
    /// One attempt that was lost without a report of its agent does not suffice: the agent itself was lost then.
    pub(crate) fn is_suspect(&self, task: TaskKey) -> bool {
        let losses = self.jobs.get(&task.job).into_iter().flatten();
        let losses = losses.filter(|loss| loss.task == task && !loss.explained);
        let (reported, others): (Vec<&Loss>, Vec<&Loss>) = losses.partition(|loss| loss.source.is_some());
        !reported.is_empty() || others.len() > 1
    }

    /// Returns whether a worker was lost under any task of a job.
    fn has_records(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub(crate) fn count(&self, task: TaskKey) -> LossCount {
        let mut count = LossCount::default();
        let losses = self.jobs.get(&task.job).into_iter().flatten();
        for loss in losses.filter(|loss| loss.task == task) {
            if loss.explained {
                count.explained += 1;
            } else if loss.confirmed {
                count.confirmed += 1;
            } else {
                count.possible += 1;
            }
        }
        count
    }

    /// Returns a task of the job that has lost too many workers and how the job ends, if there is one. Tasks under which workers
    /// have certainly crashed come first.
    fn task_over_limit(&self, job: JobId) -> Option<(TaskKey, LossCount, JobEnd)> {
        let losses = self.jobs.get(&job)?;
        let counts = losses.iter().map(|loss| (loss.task, self.count(loss.task)));
        let ended = counts.filter_map(|(task, count)| Some((task, count, count.end()?)));
        ended.max_by_key(|(.., end)| *end == JobEnd::Failed)
    }

    /// Attributes the losses of workers to a task that is given up, for the other tasks that were on them.
    ///
    /// Tasks under which as many workers have crashed are as likely to be the cause, so their losses count on.
    fn explain(&mut self, guilty: TaskKey) {
        let limit = self.count(guilty).confirmed;
        let losses = self.jobs.get(&guilty.job).into_iter().flatten();
        let losses = losses.filter(|loss| loss.task == guilty && !loss.explained);
        let sources: Vec<_> = losses.filter_map(|loss| loss.source).collect();
        let mut innocent: Vec<TaskKey> = Vec::new();
        for loss in self.jobs.values().flatten() {
            let shared = loss.source.is_some_and(|source| sources.contains(&source));
            if shared && loss.task != guilty && self.count(loss.task).confirmed < limit {
                innocent.push(loss.task);
            }
        }
        for loss in self.jobs.values_mut().flatten() {
            let shared = loss.source.is_some_and(|source| sources.contains(&source));
            loss.explained |= shared && innocent.contains(&loss.task);
        }
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
    /// Returns whether a task of a job must wait until suspects of the job have completed.
    ///
    /// The other tasks of a job with a suspect wait, because they may be of the same kind, and so do further suspects.
    pub(crate) fn is_held(&self, job: &Job, task: usize) -> bool {
        if !self.crashes.has_records(job.id) {
            return false;
        }
        let is_suspect = |at: usize| self.crashes.is_suspect(job.key(at));
        let suspects = (0..job.tasks.len()).filter(|&at| is_suspect(at));
        let unfinished = suspects.filter(|&at| job.tasks[at].state != TaskState::Completed);
        if is_suspect(task) {
            let placed = unfinished.filter(|&at| matches!(job.tasks[at].state, TaskState::Placed(_)));
            placed.count() >= MAX_PLACED_SUSPECTS
        } else {
            unfinished.count() > 0
        }
    }

    /// Returns whether a suspect task that this entry ordered may be on the worker of an agent.
    pub(crate) fn has_suspect(&self, agent: AgentIndex) -> bool {
        let mut keys = self.agents.get(agent).outstanding.keys();
        !self.crashes.is_empty() && keys.any(|key| self.crashes.is_suspect(key.task))
    }

    /// Records that an attempt that was ordered at `ordered_at` was lost.
    pub(crate) fn record_lost_attempt(
        &mut self,
        now: Instant,
        agent: AgentIndex,
        task: TaskKey,
        ordered_at: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.crashes.record_attempt(now, agent, task, ordered_at) {
            let worker = self.agents.get(agent).worker.worker.clone();
            self.log_loss(agent, worker, task, actions);
        }
    }

    /// Records the losses that an agent reports, and gives up the jobs in progress that have lost too many workers.
    pub(crate) fn record_crashes(
        &mut self,
        now: Instant,
        agent: AgentIndex,
        crashes: Vec<WorkerCrash>,
        actions: &mut Vec<Action>,
    ) {
        let process = self.agents.get(agent).process;
        let mut jobs: IndexSet<JobId> = IndexSet::new();
        for crash in crashes {
            if crash.age >= self.cfg.crash_retention {
                continue;
            }
            let noticed_at = now.checked_sub(crash.age).unwrap_or(now);
            let source = (crash.reporter.unwrap_or(process), crash.incarnation);
            for task in crash.tasks {
                let loss = Loss {
                    task,
                    agent: crash.reporter.is_none().then_some(agent),
                    worker: crash.worker.clone(),
                    source: Some(source),
                    confirmed: crash.confirmed,
                    explained: false,
                    at: noticed_at,
                    recorded_at: noticed_at,
                };
                if self.crashes.record_report(loss) {
                    self.log_loss(agent, crash.worker.clone(), task, actions);
                    jobs.insert(task.job);
                }
            }
        }
        for job in jobs {
            if let Some((task, ..)) = self.crashes.task_over_limit(job) {
                self.crashes.explain(task);
                self.give_up(now, job, actions);
            }
        }
    }

    /// Passes records of other agents on to an agent process, once on each link.
    pub(crate) fn forward_losses(
        &mut self,
        now: Instant,
        link: LinkNumber,
        at: AgentIndex,
        stores_losses: bool,
        actions: &mut Vec<Action>,
    ) {
        let agent = self.agents.get_mut(at);
        if !stores_losses || agent.forwarded_on == Some(link) {
            return;
        }
        agent.forwarded_on = Some(link);
        let losses = self.crashes.forwarded(now, agent.process);
        if !losses.is_empty() {
            actions.push(Action::ToAgent(link, EntryToWorker::Losses(losses)));
        }
    }

    fn log_loss(&self, agent: AgentIndex, worker: String, task: TaskKey, actions: &mut Vec<Action>) {
        let count = self.crashes.count(task);
        actions.push(Action::Notice(Notice::LossCounted {
            task,
            agent: self.agents.get(agent).name.clone(),
            worker,
            confirmed: u64::from(count.confirmed),
            possible: u64::from(count.possible),
        }));
    }

    /// Ends a job in progress if one of its tasks has lost too many workers.
    pub(crate) fn give_up(&mut self, now: Instant, job: JobId, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&job)
            && let Some(end) = self.end_after_losses(job, actions)
        {
            self.end_job(now, job, end, actions);
        }
    }

    /// Returns how a job ends because one of its tasks has lost too many workers, if so.
    pub(crate) fn end_after_losses(&self, job: JobId, actions: &mut Vec<Action>) -> Option<JobEnd> {
        let (task, count, end) = self.crashes.task_over_limit(job)?;
        actions.push(Action::Notice(Notice::JobGivenUp {
            task,
            confirmed: u64::from(count.confirmed),
            possible: u64::from(count.possible),
            ordered: self.jobs.contains_key(&job),
        }));
        Some(end)
    }
}

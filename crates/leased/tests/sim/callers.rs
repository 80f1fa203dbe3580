//! Callers: submissions, lost connections, resubmissions and checks of the answers.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_broker::{
    Answer, Event as EntryEvent, JobState, JobSubmission, Request, RequestKind, StepSpec, Ticket,
};
use chestnutfork_types::{JobId, ProcessId, Resources, TaskKey};
use rand::RngExt;

use super::checks::Rule;
use super::entries::Channel;
use super::{ENTRIES, Scenario, ScheduledEvent, Sim};

/// Delay before a caller submits a job again that was not answered.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
/// Delay before a caller that reaches no entry tries again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_200);

#[derive(Debug, Default)]
pub(super) struct Job {
    tasks: u16,
    submissions: u32,
    /// Entry and ticket of the current submission, while it is unanswered.
    pending: Option<(usize, Ticket)>,
    /// Entry whose connection to the caller was lost, and which the next submission avoids.
    avoided: Option<usize>,
    refused_only: bool,
}

impl Sim {
    pub(super) fn submit(&mut self, id: JobId) {
        let tasks = 1 + u16::try_from(id % 4).expect("a small number");
        let job = self.jobs.entry(id).or_insert_with(|| Job {
            tasks,
            refused_only: true,
            ..Job::default()
        });
        let mut entry = self.rng.random_range(0..ENTRIES);
        if job.avoided == Some(entry) || self.entries[entry].cut_for(self.now).is_some() {
            entry = (entry + 1) % ENTRIES;
        }
        if self.entries[entry].cut_for(self.now).is_some() {
            // No entry can be reached.
            self.schedule(CONNECT_RETRY_DELAY, ScheduledEvent::Submit(id));
            return;
        }
        let ticket = self.rng.random();
        job.submissions += 1;
        job.pending = Some((entry, ticket));
        let elsewhere = job
            .avoided
            .is_some_and(|avoided| self.entries[avoided].is_paused());
        self.counts.submissions_during_pause += u64::from(elsewhere);
        self.trace(|| format!("job {id} is submitted to entry {entry}"));
        let request = Request {
            host: "h".to_owned(),
            queue: if id.is_multiple_of(2) { "/q/" } else { "/batch/" }.to_owned(),
            job: Some(id),
            timeout: Some(CALLER_TIMEOUT),
            kind: RequestKind::Submit(submission(tasks)),
        };
        if self.entries[entry].is_behind(self.now) {
            let patience = Duration::from_millis(self.rng.random_range(100..1_500));
            self.schedule_reset(patience, id);
        }
        self.deliver_to_entry(
            entry,
            Channel::Caller(ticket),
            EntryEvent::Request {
                ticket,
                request,
                received_at: self.now,
            },
        );
        if self.rng.random_bool(0.1) {
            self.reset_caller(id, ticket);
        }
    }

    /// Schedules the loss of the connection on which a job was submitted.
    pub(super) fn schedule_reset(&mut self, delay: Duration, id: JobId) {
        if let Some((_, ticket)) = self.jobs[&id].pending {
            self.schedule(delay, ScheduledEvent::CallerReset(id, ticket));
        }
    }

    /// Resets a caller's connection, which a running entry detects.
    pub(super) fn reset_caller(&mut self, id: JobId, ticket: Ticket) {
        if let Some((entry, _)) = self.jobs[&id].pending.filter(|&(_, pending)| pending == ticket) {
            self.lose_caller(id);
            if self.scenarios.contains(Scenario::SilentCallers) && self.entries[entry].is_behind(self.now) {
                self.counts.silent_callers += 1;
                return;
            }
            self.deliver_to_entry(
                entry,
                Channel::Caller(ticket),
                EntryEvent::CallerDisconnected { ticket },
            );
        }
    }

    /// Breaks a caller's connection; the caller submits the job again, and the entry is not told.
    pub(super) fn lose_caller(&mut self, id: JobId) {
        let job = self.jobs.get_mut(&id).expect("a submitted job");
        if let Some((entry, ticket)) = job.pending.take() {
            job.refused_only = false;
            job.avoided = Some(entry);
            self.lost_tickets.insert(ticket);
            self.trace(|| format!("the caller of job {id} loses its connection to entry {entry}"));
            self.schedule_resubmission(id);
        }
    }

    /// Breaks the connections of an entry's callers, which the entry detects after a delay.
    pub(super) fn lose_callers_of(&mut self, entry: usize, detection_delay: Duration) {
        let process = self.entries[entry].process;
        for id in self.jobs_at(entry) {
            if let Some((_, ticket)) = self.jobs[&id].pending {
                self.lose_caller(id);
                self.schedule(
                    detection_delay,
                    ScheduledEvent::CallerLost(entry, process, ticket),
                );
            }
        }
    }

    pub(super) fn detect_lost_caller(&mut self, entry: usize, process: ProcessId, ticket: Ticket) {
        if self.entries[entry].process == process {
            self.deliver_to_entry(
                entry,
                Channel::Caller(ticket),
                EntryEvent::CallerDisconnected { ticket },
            );
        }
    }

    fn schedule_resubmission(&mut self, id: JobId) {
        let limit = if self.is_crashing_job(id) { 10 } else { 3 };
        if self.jobs[&id].submissions < limit {
            self.schedule(RESUBMIT_DELAY, ScheduledEvent::Submit(id));
        }
    }

    /// Returns the jobs that an entry has not answered, in a reproducible order.
    pub(super) fn jobs_at(&self, entry: usize) -> Vec<JobId> {
        let jobs = self.jobs.iter();
        let pending = jobs.filter(|(_, job)| job.pending.is_some_and(|(at, _)| at == entry));
        let mut pending: Vec<JobId> = pending.map(|(&id, _)| id).collect();
        pending.sort_unstable();
        pending
    }

    pub(super) fn on_answer(&mut self, entry: usize, ticket: Ticket, answer: Answer) {
        if self.lost_tickets.contains(&ticket) {
            return;
        }
        let found = self
            .jobs
            .iter()
            .find(|(_, job)| job.pending == Some((entry, ticket)));
        let Some(id) = found.map(|(&id, _)| id) else {
            let message =
                format!("ticket {ticket} was answered twice or by an entry that did not receive it");
            self.violate(Rule::Answer, None, message);
            return;
        };
        self.trace(|| format!("job {id} is answered by entry {entry}: {answer:?}"));
        let started = self.started_jobs.contains(&id);
        let job = self.jobs.get_mut(&id).expect("a submitted job");
        let tasks = job.tasks;
        job.pending = None;
        match answer {
            Answer::State(JobState::Completed) => {
                self.counts.completed += 1;
                let key = |index| TaskKey {
                    job: id,
                    step: 0,
                    index,
                };
                if !(0..tasks).all(|index| self.completed_tasks.contains(&key(index))) {
                    let message = format!("job {id} was reported as completed before all its tasks were");
                    self.violate(Rule::Answer, None, message);
                }
            }
            Answer::Refused { .. } => {
                self.counts.refused += 1;
                if job.refused_only && started {
                    let message =
                        format!("job {id} was refused on each submission although one of its tasks started");
                    self.violate(Rule::Answer, None, message);
                }
            }
            Answer::TimedOut => {
                self.counts.timed_out += 1;
                job.refused_only = false;
                self.schedule_resubmission(id);
            }
            Answer::State(JobState::Failed) => {
                job.refused_only = false;
                let crashing = self.is_crashing_job(id);
                self.counts.crashing_failed += u64::from(crashing);
                self.counts.others_failed += u64::from(!crashing);
            }
            other => {
                let message = format!("job {id} received an unexpected answer: {other:?}");
                self.violate(Rule::Answer, None, message);
            }
        }
    }
}

fn submission(tasks: u16) -> JobSubmission {
    let step = StepSpec {
        tasks,
        resources: Resources {
            cpu_millis: 1_000,
            memory_mb: 10,
            gpus: 0,
        },
        declared_run_time: Duration::from_millis(300),
        ..StepSpec::default()
    };
    JobSubmission {
        spec: Bytes::from_static(b"x"),
        steps: vec![step],
        ..JobSubmission::default()
    }
}

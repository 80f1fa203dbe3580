//! Simulated callers, which submit, resubmit, cancel and abandon jobs, and the checks of starts, answers and refusals.

use std::time::Duration;

use chestnutfork_dispatch::{Event, JobResult};
use chestnutfork_types::{
    Answer, Dispatch, Execution, JobId, JobSpec, ProcessId, Refusal, TaskSpec, TaskStatus,
};
use rand::RngExt;

use super::nodes::{AT_MOST_ONCE, IDEMPOTENT, TEAM};
use super::{EPOCH, FAULT_PERIOD, FaultMode, Sim, Step};

/// Time after the deadline within which a caller must have a reply; it allows for claiming, recording and relaying.
const REPLY_GRACE: Duration = Duration::from_millis(3500);
const ID_SHIFT: u32 = 80;

/// Job that callers submit, possibly several times.
pub struct CallerJob {
    pub spec: JobSpec,
    /// Whether the entry generated the id, so that the job is submitted only once.
    fresh_id: bool,
    submissions: u32,
}

/// One submission or cancellation, with its reply once there is one.
pub struct Call {
    pub id: JobId,
    job: usize,
    entry: ProcessId,
    since: Duration,
    /// Whether a task of the job had started when the call was made.
    started_before: bool,
    pub reply: Option<JobResult>,
    /// Whether the caller disconnected or its entry crashed, so that no reply is expected.
    pub closed: bool,
}

impl CallerJob {
    /// Reports whether no entry may start a task of the job twice.
    fn starts_at_most_once(&self) -> bool {
        self.spec.at_most_once || self.fresh_id
    }
}

impl Sim {
    pub(super) fn plan_jobs(&mut self) {
        let count = self.rng.random_range(20..100);
        let burst = self.random_millis(1000, 18_000);
        let last = u64::try_from(FAULT_PERIOD.as_millis()).unwrap_or(u64::MAX) + 3000;
        for index in 0..count {
            let at = if self.chance(25) {
                burst
            } else {
                self.random_millis(500, last)
            };
            let job = self.make_job(at);
            let attempts = if job.fresh_id {
                1
            } else {
                self.rng.random_range(1..5)
            };
            self.jobs.push(job);
            self.schedule(at, Step::Submit { job: index, attempts });
            if self.fault_mode == FaultMode::Injected && self.chance(15) {
                let delay = at + self.random_millis(0, 2000);
                self.schedule(delay, Step::Cancel { job: index });
            }
        }
        self.stats.jobs = count as u64;
    }

    fn make_job(&mut self, at: Duration) -> CallerJob {
        let low: u64 = self.rng.random();
        let time = (EPOCH + at).saturating_sub(self.random_millis(0, 4000));
        let id = (time.as_millis() << ID_SHIFT) | JobId::from(low);
        let tasks = self.rng.random_range(1..6);
        let at_most_once = self.chance(65);
        let service = if at_most_once { AT_MOST_ONCE } else { IDEMPOTENT };
        let task = |index| TaskSpec {
            payload: format!("{id:x}/{index}").into(),
            declared_run_time: None,
        };
        let spec = JobSpec {
            id,
            service: service.into(),
            team: TEAM.into(),
            deadline: match self.fault_mode {
                FaultMode::Injected => self.random_millis(300, 7000),
                // Long enough to complete the entire load after the burst.
                FaultMode::None => Duration::from_secs(30),
            },
            at_most_once,
            tasks: (0..tasks).map(task).collect(),
        };
        let fresh_id = self.chance(20);
        CallerJob {
            spec,
            fresh_id,
            submissions: 0,
        }
    }

    fn random_entry(&mut self) -> Option<ProcessId> {
        let count = self.entries.len();
        let index = self.rng.random_range(0..count.max(1));
        self.entries.keys().nth(index).copied()
    }

    fn has_started(&self, id: JobId) -> bool {
        self.starts.keys().any(|(job, _)| *job == id)
    }

    fn open_call(&mut self, job: usize, entry: ProcessId) -> u64 {
        self.next_call += 1;
        let id = self.jobs[job].spec.id;
        let call = Call {
            id,
            job,
            entry,
            since: self.now,
            started_before: self.has_started(id),
            reply: None,
            closed: false,
        };
        self.calls.insert(self.next_call, call);
        let delay = self.jobs[job].spec.deadline + REPLY_GRACE;
        let call = self.next_call;
        self.schedule(delay, Step::ReplyDeadline { call });
        call
    }

    pub(super) fn submit(&mut self, job: usize, attempts: u32) -> Result<(), String> {
        let Some(entry) = self.random_entry() else {
            let delay = Duration::from_millis(200);
            self.schedule(delay, Step::Submit { job, attempts });
            return Ok(());
        };
        self.stats.submissions += 1;
        self.jobs[job].submissions += 1;
        if attempts > 1 {
            let soon = self.chance(30);
            let delay = if soon {
                self.random_millis(0, 10)
            } else {
                self.random_millis(10, 6000)
            };
            let attempts = attempts - 1;
            self.schedule(delay, Step::Submit { job, attempts });
        }
        let ticket = self.open_call(job, entry);
        if self.fault_mode == FaultMode::Injected && self.chance(5) {
            let delay = self.random_millis(1, 1000);
            self.schedule(delay, Step::Abandon { call: ticket });
        }
        let event = Event::Submit {
            ticket,
            job: self.jobs[job].spec.clone(),
            fresh_id: self.jobs[job].fresh_id,
        };
        self.entry_event(entry, event)
    }

    pub(super) fn cancel(&mut self, job: usize) -> Result<(), String> {
        let Some(entry) = self.random_entry() else {
            return Ok(());
        };
        let ticket = self.open_call(job, entry);
        let event = Event::Cancel {
            ticket,
            job: self.jobs[job].spec.id,
            team: TEAM.into(),
        };
        self.entry_event(entry, event)
    }

    pub(super) fn abandon(&mut self, ticket: u64) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&ticket).filter(|call| call.reply.is_none()) else {
            return Ok(());
        };
        call.closed = true;
        let entry = call.entry;
        self.entry_event(entry, Event::Abandon { ticket })
    }

    pub(super) fn check_reply_deadline(&mut self, ticket: u64) -> Result<(), String> {
        let call = &self.calls[&ticket];
        let deadline = self.jobs[call.job].spec.deadline;
        // An entry that stalled replies late, so the time counts from the end of the stall.
        let stalled = self.stalls.get(&call.entry).filter(|&&until| until > call.since);
        let due = stalled.map_or(self.now, |&until| until + deadline + REPLY_GRACE);
        if due > self.now {
            let delay = due.saturating_sub(self.now);
            self.schedule(delay, Step::ReplyDeadline { call: ticket });
            return Ok(());
        }
        if call.reply.is_none() && !call.closed {
            return Err(format!("a caller of job {:x} got no reply in time", call.id));
        }
        Ok(())
    }

    /// Closes the calls at a crashed entry, whose callers lose their connection.
    pub(super) fn close_calls(&mut self, entry: ProcessId) {
        for call in self.calls.values_mut().filter(|call| call.entry == entry) {
            call.closed = true;
        }
    }

    pub(super) fn has_open_calls(&self, entry: ProcessId) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| call.entry == entry && call.reply.is_none() && !call.closed)
    }

    pub(super) fn reply(&mut self, entry: ProcessId, ticket: u64, result: &JobResult) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return Err(format!("ticket {ticket} was never issued"));
        };
        if call.reply.is_some() || call.entry != entry {
            return Err(format!(
                "ticket {ticket} got a second reply, or one from another entry"
            ));
        }
        if call.closed {
            return Ok(());
        }
        call.reply = Some(result.clone());
        let (id, job, started_before) = (call.id, call.job, call.started_before);
        if self.fault_mode == FaultMode::None {
            let complete = result
                .as_ref()
                .is_ok_and(|answer| answer.tasks.iter().all(TaskStatus::is_completed));
            if !complete {
                return Err(format!(
                    "job {id:x} was not completed although no fault was injected: {result:?}"
                ));
            }
        }
        match result {
            Ok(answer) => self.check_answer(job, answer),
            Err(refusal) => self.check_refusal(job, started_before, refusal),
        }
    }

    fn check_answer(&mut self, job: usize, answer: &Answer) -> Result<(), String> {
        self.stats.answers += 1;
        self.stats.complete_answers += u64::from(answer.tasks.iter().all(TaskStatus::is_completed));
        let job = &self.jobs[job];
        let id = job.spec.id;
        if answer.job != id {
            return Err(format!(
                "a caller of job {id:x} got the answer of job {:x}",
                answer.job
            ));
        }
        answer
            .verify(job.spec.tasks.len())
            .map_err(|error| error.to_string())?;
        for ((index, task), status) in job.spec.task_indexes().zip(&job.spec.tasks).zip(&answer.tasks) {
            let started = self.starts.contains_key(&(id, index));
            match status {
                TaskStatus::Completed { output } if !started || *output != task.payload => {
                    return Err(format!(
                        "task {index} of job {id:x} was answered without a start or with the output of another task"
                    ));
                }
                TaskStatus::NotRun { .. } if started && job.starts_at_most_once() => {
                    return Err(format!(
                        "task {index} of job {id:x} started but was answered as not run"
                    ));
                }
                TaskStatus::NotRun { .. } => self.stats.tasks_not_run += 1,
                TaskStatus::MayHaveRun { .. } => self.stats.tasks_may_have_run += 1,
                _ => {}
            }
        }
        if !job.spec.at_most_once || job.fresh_id {
            return Ok(());
        }
        let first = self.answers.entry(id).or_insert_with(|| answer.clone());
        if first == answer {
            Ok(())
        } else {
            Err(format!(
                "at-most-once job {id:x} has two answers: {first:?} and {answer:?}"
            ))
        }
    }

    fn check_refusal(&mut self, job: usize, started_before: bool, refusal: &Refusal) -> Result<(), String> {
        if refusal.execution == Execution::Unknown {
            self.stats.refusals_unknown += 1;
            return Ok(());
        }
        self.stats.refusals_not_run += 1;
        if started_before {
            let id = self.jobs[job].spec.id;
            return Err(format!(
                "job {id:x} had started but was refused as not run: {refusal}"
            ));
        }
        Ok(())
    }

    /// Counts a start at a target, and checks that a task of an at-most-once job starts only once and with its own
    /// input.
    pub(super) fn count_start(&mut self, dispatch: &Dispatch) -> Result<(), String> {
        self.stats.starts += 1;
        let (id, task) = (dispatch.job, dispatch.task);
        let now = self.now;
        let (count, _) = self.starts.entry((id, task)).or_insert((0, now));
        *count += 1;
        let count = *count;
        let Some(job) = self.jobs.iter().find(|job| job.spec.id == id) else {
            return Err(format!("job {id:x} started but was never submitted"));
        };
        if count > 1 && job.spec.at_most_once {
            return Err(format!(
                "task {task} of at-most-once job {id:x} started {count} times"
            ));
        }
        if dispatch.payload != job.spec.tasks[usize::from(task)].payload {
            return Err(format!(
                "task {task} of job {id:x} started with the input of another task"
            ));
        }
        Ok(())
    }

    /// Checks at the end of a run that nothing reported as not run was started later.
    pub(super) fn check_not_run(&self) -> Result<(), String> {
        for call in self.calls.values().filter(|call| !call.closed) {
            let job = &self.jobs[call.job];
            match &call.reply {
                Some(Err(refusal))
                    if refusal.execution == Execution::NotRun
                        && job.submissions == 1
                        && self.has_started(call.id) =>
                {
                    return Err(format!("job {:x} was refused as not run but started", call.id));
                }
                Some(Ok(answer)) if job.starts_at_most_once() => {
                    let statuses = job.spec.task_indexes().zip(&answer.tasks);
                    let mut not_run =
                        statuses.filter(|(_, status)| matches!(status, TaskStatus::NotRun { .. }));
                    if not_run.any(|(index, _)| self.starts.contains_key(&(call.id, index))) {
                        return Err(format!(
                            "a task of job {:x} started although it was answered as not run",
                            call.id
                        ));
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }
}

//! Completion of jobs: answers, refusals, cancellations and deadlines.

use std::time::{Duration, Instant};

use chestnutfork_register as register;
use chestnutfork_types::{Answer, JobId, Refusal, RefusalCode, TaskIndex, TaskStatus};

use crate::core::EntryCore;
use crate::event::{Action, JobResult, PeerMessage, Ticket};
use crate::job::{Job, Phase, TaskRef};
use crate::join::notify_joiners;

/// Time after the deadline for which a complete answer may wait until a majority of the register has recorded it.
const RECORD_GRACE: Duration = Duration::from_secs(2);

impl EntryCore {
    /// Builds the answer of a job whose tasks are all final, and records or sends it.
    pub(crate) fn finish_job(&mut self, now: Instant, wall: Duration, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.phase == Phase::Running) else {
            return;
        };
        let statuses = job
            .tasks
            .iter()
            .map(|task| task.status.clone().expect("all tasks are final"));
        let answer = Answer::new(id, statuses.collect());
        debug_assert_eq!(answer.verify(job.tasks.len()), Ok(()));
        let (registered, at_most_once, digest) = (job.registered, job.spec.at_most_once, job.digest);
        if registered && at_most_once {
            job.phase = Phase::Recording;
            self.deadlines.remove(&(job.deadline, id));
            job.deadline = job.deadline.max(now) + RECORD_GRACE;
            self.deadlines.insert((job.deadline, id));
        } else {
            self.reply_job(id, &Ok(answer.clone()), actions);
        }
        if registered {
            self.handle_register_event(
                now,
                wall,
                register::Event::RecordAnswer {
                    job: id,
                    digest,
                    answer,
                },
                actions,
            );
        }
    }

    /// Removes a job together with its deadline timer and its tasks that count as claiming.
    pub(crate) fn remove_job(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.swap_remove(&id)?;
        self.deadlines.remove(&(job.deadline, id));
        if job.phase == Phase::Claiming
            && let Some(service) = self.services.get_mut(job.service())
        {
            service.claiming_tasks -= job.tasks.len();
        }
        Some(job)
    }

    /// Sends the result to all callers of an owned job and removes the job.
    pub(crate) fn reply_job(&mut self, id: JobId, result: &JobResult, actions: &mut Vec<Action>) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        notify_joiners(&job.joiners, id, result, actions);
        self.reply_all(job.tickets, result, actions);
    }

    pub(crate) fn reply_all(&mut self, tickets: Vec<Ticket>, result: &JobResult, actions: &mut Vec<Action>) {
        for ticket in tickets {
            self.tickets.swap_remove(&ticket);
            actions.push(Action::Reply {
                ticket,
                result: result.clone(),
            });
        }
    }

    /// Handles the deadline of an owned job or of a pending submission.
    pub(crate) fn on_deadline(&mut self, now: Instant, wall: Duration, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            self.expire_pending(id, actions);
            return;
        };
        match job.phase {
            Phase::Claiming => {
                self.handle_register_event(now, wall, register::Event::AbandonClaim { job: id }, actions);
                let message = "no majority of the entries answered before the deadline; submit the same job again to \
                               learn its outcome";
                self.reply_job(
                    id,
                    &Err(Refusal::unknown(RefusalCode::NoQuorum, message)),
                    actions,
                );
            }
            Phase::Running => self.finalize_unfinished(now, wall, id, "the deadline passed", actions),
            Phase::Recording => {
                let message = "the answer could not be confirmed by a majority of the entries; submit the same \
                               job again to learn its outcome";
                self.reply_job(
                    id,
                    &Err(Refusal::unknown(RefusalCode::NoQuorum, message)),
                    actions,
                );
            }
        }
    }

    /// Sets every unfinished task of a running job to the status that can be proved now.
    fn finalize_unfinished(
        &mut self,
        now: Instant,
        wall: Duration,
        id: JobId,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let unfinished: Vec<_> = job
            .spec
            .task_indexes()
            .filter(|&index| job.tasks[usize::from(index)].status.is_none())
            .map(|index| (index, provable_status(job, index, reason)))
            .collect();
        self.stop_tasks(id, actions);
        for (task, status) in unfinished {
            self.finalize_task(now, wall, TaskRef { job: id, task }, status, actions);
        }
    }

    pub(crate) fn cancel(
        &mut self,
        now: Instant,
        wall: Duration,
        ticket: Ticket,
        id: JobId,
        team: &str,
        actions: &mut Vec<Action>,
    ) {
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.spec.team != team {
                actions.push(Action::Reply {
                    ticket,
                    result: Err(unknown_job()),
                });
                return;
            }
            job.tickets.push(ticket);
            self.tickets.insert(ticket, id);
            self.cancel_owned(now, wall, id, team, actions);
            return;
        }
        if let Some(pending) = self
            .pending
            .get_mut(&id)
            .filter(|pending| pending.spec.team == team)
        {
            pending.tickets.push(ticket);
            self.tickets.insert(ticket, id);
            self.restart_lookup(now, wall, id, actions);
            for &peer in &self.peers {
                let message = PeerMessage::Cancel {
                    job: id,
                    team: team.to_owned(),
                };
                actions.push(Action::ToPeer { peer, message });
            }
            return;
        }
        // The owner is not known here, so the cancellation goes to every other entry; the caller learns the outcome by
        // submitting the job again.
        for &peer in &self.peers {
            let message = PeerMessage::Cancel {
                job: id,
                team: team.to_owned(),
            };
            actions.push(Action::ToPeer { peer, message });
        }
        actions.push(Action::Reply {
            ticket,
            result: Err(unknown_job()),
        });
    }

    /// Cancels a job that this entry owns.
    pub(crate) fn cancel_owned(
        &mut self,
        now: Instant,
        wall: Duration,
        id: JobId,
        team: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.spec.team == team) else {
            return;
        };
        if job.phase == Phase::Recording || job.cancelled {
            return;
        }
        job.cancelled = true;
        // A job that waits for its claim ends when the claim is granted or refused, because only then it is known
        // whether the job is new.
        if job.phase == Phase::Running {
            self.stop_cancelled_job(now, wall, id, actions);
        }
    }

    /// Ends the tasks of a cancelled job that are not running, and cancels the running ones, which end when the agent
    /// reports their outcome.
    pub(crate) fn stop_cancelled_job(
        &mut self,
        now: Instant,
        wall: Duration,
        id: JobId,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let reason = "the job was cancelled";
        let mut idle = Vec::new();
        let mut running = Vec::new();
        for index in job.spec.task_indexes() {
            let task = &job.tasks[usize::from(index)];
            if task.status.is_some() {
                continue;
            }
            if task.in_flight.is_empty() {
                idle.push((index, provable_status(job, index, reason)));
            } else {
                running.extend(task.in_flight.iter().copied());
            }
        }
        for attempt in running {
            if self.agents.get(attempt.agent).is_some_and(|agent| agent.linked) {
                let message = chestnutfork_types::EntryToAgent::Cancel {
                    credit: attempt.credit,
                };
                actions.push(Action::ToAgent {
                    agent: attempt.agent,
                    message,
                });
            }
        }
        for (task, status) in idle {
            self.finalize_task(now, wall, TaskRef { job: id, task }, status, actions);
        }
    }

    /// Ends the queued tasks of jobs whose service is not in the current configuration.
    pub(crate) fn end_jobs_of_removed_services(
        &mut self,
        now: Instant,
        wall: Duration,
        actions: &mut Vec<Action>,
    ) {
        let removed: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.phase == Phase::Running)
            .filter(|(_, job)| {
                self.services
                    .get(job.service())
                    .is_none_or(|service| !service.active)
            })
            .map(|(&id, _)| id)
            .collect();
        for id in removed {
            // Running tasks may finish; queued ones must not start under a configuration without their service.
            if let Some(job) = self.jobs.get_mut(&id) {
                job.cancelled = true;
            }
            self.finalize_idle_tasks(now, wall, id, actions);
        }
    }

    fn finalize_idle_tasks(&mut self, now: Instant, wall: Duration, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let reason = "the service was removed from the configuration";
        let idle: Vec<_> = job
            .spec
            .task_indexes()
            .filter(|&index| {
                let task = &job.tasks[usize::from(index)];
                task.status.is_none() && task.in_flight.is_empty()
            })
            .map(|index| (index, provable_status(job, index, reason)))
            .collect();
        for (task, status) in idle {
            self.finalize_task(now, wall, TaskRef { job: id, task }, status, actions);
        }
    }
}

/// Returns the status that can be proved for an unfinished task that ends now for the given reason.
fn provable_status(job: &Job, index: TaskIndex, reason: &str) -> TaskStatus {
    let task = &job.tasks[usize::from(index)];
    if !task.in_flight.is_empty() {
        return TaskStatus::MayHaveRun {
            reason: reason.to_owned(),
        };
    }
    task.fallback.clone().unwrap_or_else(|| TaskStatus::NotRun {
        reason: reason.to_owned(),
    })
}

fn unknown_job() -> Refusal {
    let message = "this entry does not own the job; the cancellation was forwarded to the other entries, submit the \
                   same job again to learn its outcome";
    Refusal::unknown(RefusalCode::OutcomeUnknown, message)
}

//! Jobs owned by other entries: joins, relayed answers, takeovers and results of the register.

use std::time::{Duration, Instant};

use chestnutfork_register as register;
use chestnutfork_types::{Answer, Execution, JobId, JobSpec, ProcessId, Refusal, RefusalCode, TaskIndex};

use crate::core::EntryCore;
use crate::event::{Action, JobResult, PeerMessage, Ticket};
use crate::job::{Job, Phase};
use crate::pending::{PendingSubmission, WaitFor};
use crate::submit::id_reused;

/// Time after the deadline for which callers wait for another entry or for the register.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

impl EntryCore {
    pub(crate) fn add_pending(
        &mut self,
        deadline: Instant,
        tickets: Vec<Ticket>,
        spec: JobSpec,
        digest: u64,
        wait_for: WaitFor,
    ) {
        let id = spec.id;
        for &ticket in &tickets {
            self.tickets.insert(ticket, id);
        }
        let deadline = deadline + ANSWER_GRACE;
        self.deadlines.insert((deadline, id));
        self.pending.insert(
            id,
            PendingSubmission {
                spec,
                digest,
                deadline,
                tickets,
                joiners: Vec::new(),
                wait_for,
            },
        );
    }

    fn remove_pending(&mut self, id: JobId) -> Option<PendingSubmission> {
        let pending = self.pending.swap_remove(&id)?;
        self.deadlines.remove(&(pending.deadline, id));
        Some(pending)
    }

    /// Handles the register's report that `owner` has claimed the job: submissions here then wait for that entry.
    pub(crate) fn on_owner_known(
        &mut self,
        now: Instant,
        wall: Duration,
        id: JobId,
        owner: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(job) = self.jobs.get(&id) {
            let (phase, at_most_once) = (job.phase, job.spec.at_most_once);
            match phase {
                Phase::Claiming => self.release_ownership(id, owner),
                // Another entry runs the same idempotent job, so this run is redundant.
                Phase::Running if !at_most_once && self.peers.contains(&owner) => {
                    self.stop_tasks(id, actions);
                    self.release_ownership(id, owner);
                }
                Phase::Running | Phase::Recording => return,
            }
        } else if let Some(pending) = self.pending.get_mut(&id) {
            pending.wait_for = WaitFor::Owner(owner);
        } else {
            return;
        }
        self.join_owner(now, wall, id, owner, actions);
    }

    /// Gives up ownership of a job without attempts in flight, and waits for the answer of `owner` instead.
    fn release_ownership(&mut self, id: JobId, owner: ProcessId) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        let Job {
            spec,
            digest,
            tickets,
            joiners,
            deadline,
            ..
        } = job;
        self.add_pending(deadline, tickets, spec, digest, WaitFor::Owner(owner));
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.joiners = joiners;
        }
    }

    /// Joins the job at its owner, or takes it over if the owner is not in the view.
    fn join_owner(
        &mut self,
        now: Instant,
        wall: Duration,
        id: JobId,
        owner: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        let in_view = self
            .view
            .as_ref()
            .is_some_and(|view| view.members.contains(&owner));
        if owner != self.process_id && in_view {
            let Some(pending) = self.pending.get(&id) else {
                return;
            };
            let message = PeerMessage::Join {
                job: id,
                digest: pending.digest,
            };
            actions.push(Action::ToPeer { peer: owner, message });
        } else {
            self.take_over(now, wall, id, actions);
        }
    }

    /// Takes over a job whose owner is lost. An idempotent job runs again; any other job ends with the register's
    /// answer.
    fn take_over(&mut self, now: Instant, wall: Duration, id: JobId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if pending.spec.at_most_once {
            pending.wait_for = WaitFor::Takeover;
            let tasks = TaskIndex::try_from(pending.spec.tasks.len()).unwrap_or(TaskIndex::MAX);
            let digest = pending.digest;
            self.handle_register_event(
                now,
                wall,
                register::Event::TakeOver {
                    job: id,
                    digest,
                    tasks,
                },
                actions,
            );
            return;
        }
        let Some(PendingSubmission {
            spec,
            digest,
            deadline,
            tickets,
            joiners,
            ..
        }) = self.remove_pending(id)
        else {
            return;
        };
        let remaining = deadline
            .saturating_duration_since(now)
            .saturating_sub(ANSWER_GRACE);
        let spec = JobSpec {
            deadline: remaining,
            ..spec
        };
        // The job is already claimed in the register, so the new run needs no claim, and its answer is not replicated.
        match self.admit(now, &spec) {
            Ok(()) => {
                self.accept_job(now, wall, tickets, spec, digest, true, actions);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.joiners = joiners;
                }
            }
            Err(refusal) => {
                let result = Err(Refusal::unknown(refusal.code, refusal.message));
                notify_joiners(&joiners, id, &result, actions);
                self.reply_all(tickets, &result, actions);
            }
        }
    }

    /// Takes over the jobs whose owner is not in the new view.
    pub(crate) fn take_over_from_lost_owners(
        &mut self,
        now: Instant,
        wall: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(view) = &self.view else {
            return;
        };
        let affected: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                matches!(pending.wait_for, WaitFor::Owner(owner) if !view.members.contains(&owner))
            })
            .map(|(&id, _)| id)
            .collect();
        for id in affected {
            self.take_over(now, wall, id, actions);
        }
    }

    /// Repeats the joins at an owner whose link has opened again.
    pub(crate) fn repeat_joins(&mut self, peer: ProcessId, actions: &mut Vec<Action>) {
        for (&job, pending) in &self.pending {
            if pending.wait_for == WaitFor::Owner(peer) {
                let message = PeerMessage::Join {
                    job,
                    digest: pending.digest,
                };
                actions.push(Action::ToPeer { peer, message });
            }
        }
    }

    pub(crate) fn on_join(&mut self, peer: ProcessId, id: JobId, digest: u64, actions: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.digest == digest {
                if !job.joiners.contains(&peer) {
                    job.joiners.push(peer);
                }
                return;
            }
            let message = PeerMessage::JoinResult {
                job: id,
                result: Err(id_reused()),
            };
            actions.push(Action::ToPeer { peer, message });
            return;
        }
        if self.join_pending(peer, id, digest) {
            return;
        }
        let message = match self.register.answer(id) {
            Some(answer) => PeerMessage::JoinResult {
                job: id,
                result: Ok(answer.clone()),
            },
            None => PeerMessage::NotOwner { job: id },
        };
        actions.push(Action::ToPeer { peer, message });
    }

    /// Adds another entry to those that wait for the answer of a pending submission, unless this entry waits for that
    /// one.
    fn join_pending(&mut self, peer: ProcessId, id: JobId, digest: u64) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        if pending.digest != digest || pending.wait_for == WaitFor::Owner(peer) {
            return false;
        }
        if !pending.joiners.contains(&peer) {
            pending.joiners.push(peer);
        }
        true
    }

    pub(crate) fn on_join_result(
        &mut self,
        peer: ProcessId,
        id: JobId,
        result: &JobResult,
        actions: &mut Vec<Action>,
    ) {
        if self
            .pending
            .get(&id)
            .is_some_and(|pending| pending.wait_for == WaitFor::Owner(peer))
        {
            self.answer_pending(id, result, actions);
        }
    }

    pub(crate) fn on_not_owner(
        &mut self,
        now: Instant,
        wall: Duration,
        peer: ProcessId,
        id: JobId,
        actions: &mut Vec<Action>,
    ) {
        if self
            .pending
            .get(&id)
            .is_some_and(|pending| pending.wait_for == WaitFor::Owner(peer))
        {
            self.take_over(now, wall, id, actions);
        }
    }

    /// Handles the result of a lookup that no entry has been granted a claim of the job.
    pub(crate) fn on_unclaimed(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let WaitFor::Lookup(refusal) = &pending.wait_for else {
            return;
        };
        let mut refusal = refusal.clone();
        // An idempotent job runs before its claim is granted, so a missing claim does not prove that it has not run.
        if !pending.spec.at_most_once {
            refusal.execution = Execution::Unknown;
        }
        self.answer_pending(id, &Err(refusal), actions);
    }

    /// Handles an answer that the register had already recorded when the job was claimed or looked up.
    pub(crate) fn on_answered(&mut self, id: JobId, answer: &Answer, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&id) {
            self.stop_tasks(id, actions);
            self.reply_job(id, &Ok(answer.clone()), actions);
        }
        self.answer_pending(id, &Ok(answer.clone()), actions);
    }

    /// Handles the confirmation that the register has recorded the only answer of the job.
    pub(crate) fn on_recorded(&mut self, id: JobId, answer: &Answer, actions: &mut Vec<Action>) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.phase == Phase::Recording)
        {
            self.reply_job(id, &Ok(answer.clone()), actions);
        }
        self.answer_pending(id, &Ok(answer.clone()), actions);
    }

    /// Handles the register's refusal to claim a job or to record its answer.
    pub(crate) fn on_register_refusal(&mut self, id: JobId, refusal: &Refusal, actions: &mut Vec<Action>) {
        // Past the claiming phase the job is either idempotent, or its answer cannot be recorded yet; its deadline ends
        // it.
        if self.jobs.get(&id).is_some_and(|job| job.phase == Phase::Claiming) {
            self.reply_job(id, &Err(refusal.clone()), actions);
        }
        self.answer_pending(id, &Err(refusal.clone()), actions);
    }

    fn answer_pending(&mut self, id: JobId, result: &JobResult, actions: &mut Vec<Action>) {
        if let Some(pending) = self.remove_pending(id) {
            notify_joiners(&pending.joiners, id, result, actions);
            let result = check_task_count(result, &pending);
            self.reply_all(pending.tickets, &result, actions);
        }
    }

    /// Refuses a pending submission whose deadline has passed, with an unknown outcome.
    pub(crate) fn expire_pending(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let message =
            "the owner of the job did not answer in time; submit the same job again to learn its outcome";
        let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
        self.answer_pending(id, &Err(refusal), actions);
    }

    pub(crate) fn abandon(&mut self, ticket: Ticket) {
        let Some(id) = self.tickets.swap_remove(&ticket) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tickets.retain(|&other| other != ticket);
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.tickets.retain(|&other| other != ticket);
        }
    }
}

/// Sends a result to the entries that joined the job here.
pub(crate) fn notify_joiners(
    joiners: &[ProcessId],
    job: JobId,
    result: &JobResult,
    actions: &mut Vec<Action>,
) {
    for &peer in joiners {
        let result = result.clone();
        let message = PeerMessage::JoinResult { job, result };
        actions.push(Action::ToPeer { peer, message });
    }
}

/// Returns the result for the callers of a pending submission, or a refusal if the answer does not match the number of
/// their tasks.
fn check_task_count(result: &JobResult, pending: &PendingSubmission) -> JobResult {
    match result {
        Ok(answer) if answer.tasks.len() != pending.spec.tasks.len() => Err(id_reused()),
        other => other.clone(),
    }
}

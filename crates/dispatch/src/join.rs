//! Jobs of other entries: joins, relayed answers, takeovers, and what the register answers.

use std::time::{Duration, Instant};

use chestnutfork_register as register;
use chestnutfork_types::{Answer, Execution, JobId, JobSpec, ProcessId, Refusal, RefusalCode, TaskIndex};

use crate::core::EntryCore;
use crate::event::{Action, JobResult, PeerMessage, Ticket};
use crate::job::{Job, Phase};
use crate::submit::id_reused;
use crate::waiting::{WaitFor, Waiting};

/// Time that callers keep waiting behind the deadline for another entry or the register.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

impl EntryCore {
    pub(crate) fn wait(
        &mut self,
        deadline: Instant,
        tickets: Vec<Ticket>,
        spec: JobSpec,
        digest: u64,
        state: WaitFor,
    ) {
        let id = spec.id;
        for &ticket in &tickets {
            self.tickets.insert(ticket, id);
        }
        let deadline = deadline + ANSWER_GRACE;
        self.deadlines.insert((deadline, id));
        self.waiting.insert(
            id,
            Waiting {
                spec,
                digest,
                deadline,
                tickets,
                joiners: Vec::new(),
                state,
            },
        );
    }

    fn stop_waiting(&mut self, id: JobId) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(&id)?;
        self.deadlines.remove(&(waiting.deadline, id));
        Some(waiting)
    }

    /// Turns a submission into a wait for the entry that owns the job.
    pub(crate) fn known(
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
                Phase::Claiming => self.disown(id, owner),
                // Another entry runs the same idempotent job; one of them is enough.
                Phase::Running if !at_most_once && self.peers.contains(&owner) => {
                    self.stop_tasks(id, actions);
                    self.disown(id, owner);
                }
                Phase::Running | Phase::Recording => return,
            }
        } else if let Some(waiting) = self.waiting.get_mut(&id) {
            waiting.state = WaitFor::Owner(owner);
        } else {
            return;
        }
        self.follow_owner(now, wall, id, owner, actions);
    }

    /// Gives up an owned job of which nothing runs, and waits for the given owner in its place.
    fn disown(&mut self, id: JobId, owner: ProcessId) {
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
        self.wait(deadline, tickets, spec, digest, WaitFor::Owner(owner));
        if let Some(waiting) = self.waiting.get_mut(&id) {
            waiting.joiners = joiners;
        }
    }

    /// Asks the owner for its answer, or replaces it if it is gone.
    fn follow_owner(
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
        if owner != self.me && in_view {
            let Some(waiting) = self.waiting.get(&id) else {
                return;
            };
            let message = PeerMessage::Join {
                job: id,
                digest: waiting.digest,
            };
            actions.push(Action::ToPeer { peer: owner, message });
        } else {
            self.replace_owner(now, wall, id, actions);
        }
    }

    /// Answers a job whose owner is gone: an idempotent one is run again, any other ends with the register's answer.
    fn replace_owner(&mut self, now: Instant, wall: Duration, id: JobId, actions: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.get_mut(&id) else {
            return;
        };
        if waiting.spec.at_most_once {
            waiting.state = WaitFor::Takeover;
            let tasks = TaskIndex::try_from(waiting.spec.tasks.len()).unwrap_or(TaskIndex::MAX);
            let digest = waiting.digest;
            self.drive_register(
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
        let Some(Waiting {
            spec,
            digest,
            deadline,
            tickets,
            joiners,
            ..
        }) = self.stop_waiting(id)
        else {
            return;
        };
        let left = deadline
            .saturating_duration_since(now)
            .saturating_sub(ANSWER_GRACE);
        let spec = JobSpec {
            deadline: left,
            ..spec
        };
        // The register already holds a claim, so the new run needs none; its answer is not replicated.
        match self.admit(now, &spec) {
            Ok(()) => {
                self.own(now, wall, tickets, spec, digest, true, actions);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.joiners = joiners;
                }
            }
            Err(refusal) => {
                let result = Err(Refusal::unknown(refusal.code, refusal.message));
                tell_joiners(&joiners, id, &result, actions);
                self.reply_all(tickets, &result, actions);
            }
        }
    }

    /// Replaces the owners that are not in the new view.
    pub(crate) fn replace_lost_owners(&mut self, now: Instant, wall: Duration, actions: &mut Vec<Action>) {
        let Some(view) = &self.view else {
            return;
        };
        let lost: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| {
                matches!(waiting.state, WaitFor::Owner(owner) if !view.members.contains(&owner))
            })
            .map(|(&id, _)| id)
            .collect();
        for id in lost {
            self.replace_owner(now, wall, id, actions);
        }
    }

    /// Repeats the joins at an owner whose link is back.
    pub(crate) fn rejoin(&mut self, peer: ProcessId, actions: &mut Vec<Action>) {
        for (&job, waiting) in &self.waiting {
            if waiting.state == WaitFor::Owner(peer) {
                let message = PeerMessage::Join {
                    job,
                    digest: waiting.digest,
                };
                actions.push(Action::ToPeer { peer, message });
            }
        }
    }

    pub(crate) fn join_request(
        &mut self,
        peer: ProcessId,
        id: JobId,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
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
        if self.join_waiting(peer, id, digest) {
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

    /// Lets another entry wait for the answer that this one waits for, unless they wait for each other.
    fn join_waiting(&mut self, peer: ProcessId, id: JobId, digest: u64) -> bool {
        let Some(waiting) = self.waiting.get_mut(&id) else {
            return false;
        };
        if waiting.digest != digest || waiting.state == WaitFor::Owner(peer) {
            return false;
        }
        if !waiting.joiners.contains(&peer) {
            waiting.joiners.push(peer);
        }
        true
    }

    pub(crate) fn joined(
        &mut self,
        peer: ProcessId,
        id: JobId,
        result: &JobResult,
        actions: &mut Vec<Action>,
    ) {
        if self
            .waiting
            .get(&id)
            .is_some_and(|waiting| waiting.state == WaitFor::Owner(peer))
        {
            self.answer_waiting(id, result, actions);
        }
    }

    pub(crate) fn not_owner(
        &mut self,
        now: Instant,
        wall: Duration,
        peer: ProcessId,
        id: JobId,
        actions: &mut Vec<Action>,
    ) {
        if self
            .waiting
            .get(&id)
            .is_some_and(|waiting| waiting.state == WaitFor::Owner(peer))
        {
            self.replace_owner(now, wall, id, actions);
        }
    }

    /// Handles the proof that no entry has claimed the job.
    pub(crate) fn proved_unknown(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.get(&id) else {
            return;
        };
        let WaitFor::Lookup(refusal) = &waiting.state else {
            return;
        };
        let mut refusal = refusal.clone();
        // An idempotent job runs before its claim is granted, so the proof does not cover it.
        if !waiting.spec.at_most_once {
            refusal.execution = Execution::Unknown;
        }
        self.answer_waiting(id, &Err(refusal), actions);
    }

    /// Handles an answer that the register holds.
    pub(crate) fn answered(&mut self, id: JobId, answer: &Answer, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&id) {
            self.stop_tasks(id, actions);
            self.reply_job(id, &Ok(answer.clone()), actions);
        }
        self.answer_waiting(id, &Ok(answer.clone()), actions);
    }

    /// Handles the register's confirmation of the single answer.
    pub(crate) fn recorded(&mut self, id: JobId, answer: &Answer, actions: &mut Vec<Action>) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.phase == Phase::Recording)
        {
            self.reply_job(id, &Ok(answer.clone()), actions);
        }
        self.answer_waiting(id, &Ok(answer.clone()), actions);
    }

    /// Handles a refusal of the register.
    pub(crate) fn register_refused(&mut self, id: JobId, refusal: &Refusal, actions: &mut Vec<Action>) {
        // A running job is idempotent, or its answer cannot be recorded yet; its deadline ends it.
        if self.jobs.get(&id).is_some_and(|job| job.phase == Phase::Claiming) {
            self.reply_job(id, &Err(refusal.clone()), actions);
        }
        self.answer_waiting(id, &Err(refusal.clone()), actions);
    }

    fn answer_waiting(&mut self, id: JobId, result: &JobResult, actions: &mut Vec<Action>) {
        if let Some(waiting) = self.stop_waiting(id) {
            tell_joiners(&waiting.joiners, id, result, actions);
            let result = checked(result, &waiting);
            self.reply_all(waiting.tickets, &result, actions);
        }
    }

    /// Ends a wait whose time is over.
    pub(crate) fn waiting_expired(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let message =
            "the owner of the job has not answered in time; submit the same job again to learn its outcome";
        let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
        self.answer_waiting(id, &Err(refusal), actions);
    }

    pub(crate) fn abandon(&mut self, ticket: Ticket) {
        let Some(id) = self.tickets.swap_remove(&ticket) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tickets.retain(|&other| other != ticket);
        }
        if let Some(waiting) = self.waiting.get_mut(&id) {
            waiting.tickets.retain(|&other| other != ticket);
        }
    }
}

/// Hands a result to other entries that wait for it here.
pub(crate) fn tell_joiners(joiners: &[ProcessId], job: JobId, result: &JobResult, actions: &mut Vec<Action>) {
    for &peer in joiners {
        let result = result.clone();
        let message = PeerMessage::JoinResult { job, result };
        actions.push(Action::ToPeer { peer, message });
    }
}

/// Returns the result for a waiting caller; an answer must have a status for each of its tasks.
fn checked(result: &JobResult, waiting: &Waiting) -> JobResult {
    match result {
        Ok(answer) if answer.tasks.len() != waiting.spec.tasks.len() => Err(id_reused()),
        other => other.clone(),
    }
}

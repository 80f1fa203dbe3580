//! Submission of jobs: admission, register lookups and claims.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use chestnutfork_limits::AdmissionRequest;
use chestnutfork_register as register;
use chestnutfork_types::{JobId, JobSpec, Placement, Refusal, RefusalCode, UnconfirmedPolicy};
use siphasher::sip::SipHasher13;

use crate::core::EntryCore;
use crate::event::{Action, Ticket};
use crate::job::{Job, Phase, QueuedTask, TaskRef};
use crate::pending::WaitFor;

/// Returns a digest of the parts of a job that must be equal in every submission of it.
fn digest(job: &JobSpec) -> u64 {
    let mut hasher = SipHasher13::new();
    job.service.hash(&mut hasher);
    job.team.hash(&mut hasher);
    for task in &job.tasks {
        task.payload.hash(&mut hasher);
    }
    hasher.finish()
}

pub(crate) fn id_reused() -> Refusal {
    let message = "the job id was used before with another content; use a new id for a new job";
    Refusal::unknown(RefusalCode::IdReused, message)
}

impl EntryCore {
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        wall: Duration,
        ticket: Ticket,
        job: JobSpec,
        fresh_id: bool,
        actions: &mut Vec<Action>,
    ) {
        let digest = digest(&job);
        if self.attach(now, wall, ticket, job.id, digest, actions) {
            return;
        }
        match self.admit(now, &job) {
            Ok(()) => self.accept_job(now, wall, vec![ticket], job, digest, fresh_id, actions),
            Err(refusal) if fresh_id => actions.push(Action::Reply {
                ticket,
                result: Err(refusal),
            }),
            Err(refusal) => self.look_up_before_refusal(now, wall, ticket, job, digest, refusal, actions),
        }
    }

    /// Attaches a request to a job that is already in progress at this entry, and reports whether there is one.
    fn attach(
        &mut self,
        now: Instant,
        wall: Duration,
        ticket: Ticket,
        id: JobId,
        digest: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (expected, tickets) = if let Some(job) = self.jobs.get_mut(&id) {
            (job.digest, &mut job.tickets)
        } else if let Some(pending) = self.pending.get_mut(&id) {
            (pending.digest, &mut pending.tickets)
        } else {
            return false;
        };
        if expected == digest {
            tickets.push(ticket);
            self.tickets.insert(ticket, id);
            self.restart_lookup(now, wall, id, actions);
        } else {
            actions.push(Action::Reply {
                ticket,
                result: Err(id_reused()),
            });
        }
        true
    }

    /// Restarts a lookup for a caller that joins it, because the replies so far do not cover claims made since.
    pub(crate) fn restart_lookup(
        &mut self,
        now: Instant,
        wall: Duration,
        id: JobId,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        if matches!(pending.wait_for, WaitFor::Lookup(_)) {
            let digest = pending.digest;
            self.handle_register_event(now, wall, register::Event::Lookup { job: id, digest }, actions);
        }
    }

    pub(crate) fn admit(&self, now: Instant, job: &JobSpec) -> Result<(), Refusal> {
        if self.draining {
            let message = "this entry is shutting down; submit to another entry";
            return Err(Refusal::not_run(RefusalCode::Draining, message).retry_after(Duration::ZERO));
        }
        let Some(service) = self.services.get(&job.service).filter(|service| service.active) else {
            let message = format!(
                "service `{}` is not configured; check the name in the URL",
                job.service
            );
            return Err(Refusal::not_run(RefusalCode::UnknownService, message));
        };
        let policy = &service.policy;
        if !self.confirmed && policy.unconfirmed == UnconfirmedPolicy::Refuse {
            let message = "the configuration is not confirmed by control; try another entry";
            return Err(
                Refusal::not_run(RefusalCode::Unconfirmed, message).retry_after(Duration::from_millis(500))
            );
        }
        if self.router.pool_targets(&policy.pool) == 0 {
            let message = format!(
                "no target has announced itself for pool `{}`; start one",
                policy.pool
            );
            return Err(
                Refusal::not_run(RefusalCode::CanNeverRun, message).retry_after(Duration::from_secs(1))
            );
        }
        let request = AdmissionRequest {
            tasks: job.tasks.len(),
            declared: self.longest_plausible_run_time(job),
            deadline: job.deadline,
            queued: service.queue.len() + service.claiming_tasks,
            team_queued: service.queue.team_len(&job.team),
            active_teams: service.queue.active_teams(),
            team_allowance: self.quotas.allowance(&job.team),
            slots: self.router.pool_slots(&policy.pool),
            fastest_speed: self.router.fastest_speed(&policy.pool),
        };
        service.admission.check(now, &request, policy)
    }

    /// Returns the longest declared run time of the job's tasks, each capped at the run time learned for its
    /// declaration.
    ///
    /// Declarations are often far off, and a job must not be refused because of a wrong one.
    fn longest_plausible_run_time(&self, job: &JobSpec) -> Option<Duration> {
        let declared = job.tasks.iter().filter_map(|task| task.declared_run_time);
        let plausible = declared.map(|declared| {
            let learned = self.router.expected_run_time_declared(&job.service, declared);
            learned.map_or(declared, |learned| declared.min(learned))
        });
        plausible.max()
    }

    /// Looks up the job in the register before refusing it, because an earlier submission of it may have run.
    #[expect(
        clippy::too_many_arguments,
        reason = "each argument is one part of a submission"
    )]
    fn look_up_before_refusal(
        &mut self,
        now: Instant,
        wall: Duration,
        ticket: Ticket,
        job: JobSpec,
        digest: u64,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let id = job.id;
        let deadline = now + job.deadline;
        self.add_pending(deadline, vec![ticket], job, digest, WaitFor::Lookup(refusal));
        self.handle_register_event(now, wall, register::Event::Lookup { job: id, digest }, actions);
    }

    /// Makes this entry the owner of the job, and claims the job in the register unless `skip_claim` is set, because
    /// the entry has generated the id or the job is already claimed.
    #[expect(
        clippy::too_many_arguments,
        reason = "each argument is one part of a submission"
    )]
    pub(crate) fn accept_job(
        &mut self,
        now: Instant,
        wall: Duration,
        tickets: Vec<Ticket>,
        spec: JobSpec,
        digest: u64,
        skip_claim: bool,
        actions: &mut Vec<Action>,
    ) {
        let (id, tasks, at_most_once) = (spec.id, spec.tasks.len(), spec.at_most_once);
        let deadline = now + spec.deadline;
        for &ticket in &tickets {
            self.tickets.insert(ticket, id);
        }
        if let Some(service) = self.services.get_mut(&spec.service) {
            service.claiming_tasks += tasks;
        }
        let mut job = Job::new(spec, digest, deadline);
        job.tickets = tickets;
        job.registered = !skip_claim;
        self.deadlines.insert((deadline, id));
        self.jobs.insert(id, job);
        // No other entry can receive a job under an id that this entry has just generated, so the id needs no claim.
        if skip_claim || !at_most_once {
            self.on_claimed(now, wall, id, actions);
        }
        if !skip_claim {
            self.handle_register_event(
                now,
                wall,
                register::Event::Claim {
                    job: id,
                    digest,
                    at_most_once,
                },
                actions,
            );
        }
    }

    /// Queues the tasks of a job once this entry may run it.
    pub(crate) fn on_claimed(&mut self, now: Instant, wall: Duration, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.phase == Phase::Claiming) else {
            return;
        };
        job.phase = Phase::Running;
        let Some(service) = self.services.get_mut(&job.spec.service) else {
            return;
        };
        service.claiming_tasks -= job.tasks.len();
        service.admission.on_accept(now, job.tasks.len());
        // Longest tasks first, because a long task that starts last would determine the response time of the job.
        let mut order: Vec<_> = job.spec.task_indexes().collect();
        if service.policy.placement == Placement::Learned {
            order.sort_by_key(|&index| Reverse(job.spec.tasks[usize::from(index)].declared_run_time));
        }
        for index in order {
            job.tasks[usize::from(index)].queued += 1;
            let queued = QueuedTask {
                task: TaskRef { job: id, task: index },
                hedge: false,
            };
            let pushed = service.queue.push(&job.spec.team, job.deadline, queued);
            debug_assert!(pushed.is_ok(), "the queue itself is unbounded");
        }
        if job.cancelled {
            self.stop_cancelled_job(now, wall, id, actions);
        }
    }
}

//! Replies of the worker, and what they prove about the state of each run.

use std::time::{Duration, Instant};

use chestnutfork_types::{RunOutcome, TaskKey};

use crate::core::WorkerCore;
use crate::event::{
    Action, CallId, CallOutcome, Evidence, ListedEnd, ListedRun, Notice, Refusal, Reply, RunList,
};
use crate::orders::{Call, PendingCall};
use crate::run::{Phase, Run, Stop};

/// Refusals of a start after which it is reported as not started, so that the entry can use another worker.
const MAX_START_REFUSALS: u32 = 3;
/// Consecutive unanswered calls after which the worker counts as unavailable; healthy workers lose single calls.
const MAX_UNANSWERED_CALLS: u32 = 3;

/// Delay between calls to an unavailable worker. Each call opens a connection, and a recovered worker announces itself
/// anyway.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(250);

impl WorkerCore {
    pub(crate) fn on_reply(&mut self, now: Instant, call: CallId, reply: Reply, actions: &mut Vec<Action>) {
        // Calls to an earlier incarnation were removed with its session.
        let Some(pending) = self.calls.swap_remove(&call) else {
            return;
        };
        if pending.call == Call::VerifyReplacement {
            self.on_candidate_reply(now, call, &reply.outcome, actions);
            return;
        }
        if self.is_from_later_incarnation(pending, &reply) {
            let clock = reply.clock.unwrap_or_default();
            self.restart_session(now, reply.started_at, clock, true, actions);
            return;
        }
        self.record_contact(now, &reply, actions);
        self.on_reply_after_withdrawal(now, &reply.outcome, actions);
        match pending.call {
            Call::Start(task) => self.on_start_reply(now, call, task, &reply.outcome, actions),
            Call::Stop(task) => self.on_stop_reply(now, call, task, &reply.outcome),
            Call::RenewLease { sent_at } => self.on_renewal(now, sent_at, reply.outcome, actions),
            // Handled above, because the reply is not from the worker in use.
            Call::VerifyReplacement => {}
        }
    }

    /// Returns whether a reply is from an incarnation that started after the one of the session.
    fn is_from_later_incarnation(&mut self, pending: PendingCall, reply: &Reply) -> bool {
        let Some(session) = self.session.as_mut() else {
            return false;
        };
        match (reply.started_at, session.started_at) {
            // The call was sent in this session, so an earlier incarnation cannot have answered it. The time of day may have
            // stepped back between the incarnations.
            (Some(started_at), Some(known)) => started_at != known,
            (Some(started_at), None) if started_at != session.worker.started_at => {
                session.started_at = Some(started_at);
                false
            }
            _ => reply.clock.is_some_and(|clock| clock < pending.clock),
        }
    }

    /// Updates the availability and the clock of the worker from a reply.
    fn record_contact(&mut self, now: Instant, reply: &Reply, actions: &mut Vec<Action>) {
        let worker = self.worker_name();
        let Some(session) = self.session.as_mut() else {
            return;
        };
        if let Some(clock) = reply.clock {
            session.clock.observe(now, clock);
        }
        match reply.outcome {
            CallOutcome::NoAnswer => session.unanswered += 1,
            CallOutcome::Unreachable | CallOutcome::OtherIncarnation => {
                session.unanswered += 1;
                session.gone_at.get_or_insert(now);
            }
            _ => {
                session.unanswered = 0;
                session.replied_at = now;
                session.gone_at = None;
            }
        }
        let unreachable =
            session.unanswered >= MAX_UNANSWERED_CALLS || reply.outcome == CallOutcome::Unreachable;
        let available = !unreachable && (session.available || session.unanswered == 0);
        if available == session.available {
            return;
        }
        session.available = available;
        let silent = now.saturating_duration_since(session.replied_at);
        actions.push(Action::Notice(if available {
            Notice::WorkerAnswers { worker }
        } else {
            Notice::WorkerSilent { worker, silent }
        }));
    }

    fn on_start_reply(
        &mut self,
        now: Instant,
        call: CallId,
        task: TaskKey,
        outcome: &CallOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        // The run may meanwhile have been listed as running, or may be stopping.
        if run.phase != (Phase::Starting { call }) {
            return;
        }
        let refusals = run.refusals;
        match outcome {
            CallOutcome::Done | CallOutcome::LeaseRenewed(_) => {
                run.confirmed = true;
                run.phase = Phase::Running { since: now };
            }
            CallOutcome::NoAnswer => {
                let (key, number) = (run.key, run.number);
                run.phase = Phase::Unconfirmed { since: now };
                let notice = Notice::StartUnanswered { key, run: number };
                actions.push(Action::Notice(notice));
            }
            &CallOutcome::Refused(refusal) if refusals < MAX_START_REFUSALS && refusal != Refusal::Other => {
                self.retry_refused_start(now, task, refusal, actions);
            }
            CallOutcome::Refused(_) => self.abandon_start(now, task, "the worker refused the start", actions),
            CallOutcome::Unhealthy => {
                if let Some(session) = self.session.as_mut() {
                    session.health.record_failure(now);
                }
                self.abandon_start(now, task, "the worker is not healthy", actions);
            }
            CallOutcome::Unreachable => {
                self.abandon_start(now, task, "the worker cannot be reached", actions);
            }
            CallOutcome::OtherIncarnation => {
                self.abandon_start(now, task, "the worker was replaced", actions);
            }
        }
    }

    fn abandon_start(
        &mut self,
        now: Instant,
        task: TaskKey,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        if let Some(run) = self.runs.get_mut(&task) {
            let key = run.key;
            run.started_at = None;
            actions.push(Action::Notice(Notice::StartRefused { key, reason }));
        }
        self.end_run(now, task, RunOutcome::NotStarted, Evidence::Rejected, actions);
    }

    /// Corrects the cause of a refused start where possible, and schedules another attempt.
    fn retry_refused_start(
        &mut self,
        now: Instant,
        task: TaskKey,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let reason = match refusal {
            Refusal::Fenced => {
                self.raise_token(now);
                "the fencing token was too low"
            }
            Refusal::StaleRun => {
                if let Some(run) = self.runs.get_mut(&task) {
                    // The refusal does not state the highest number that the worker has seen, so grow exponentially.
                    run.number = run.number.saturating_mul(2).saturating_add(1);
                }
                "the run number was too low"
            }
            Refusal::LeaseExpired => "the worker's lease had expired",
            Refusal::InsufficientCapacity => "the worker has insufficient free capacity",
            Refusal::Other => "the worker refused the start",
        };
        self.retry_start(now, task, reason, actions);
    }

    /// Derives a fencing token from the worker's clock that is higher than all earlier ones.
    fn raise_token(&mut self, now: Instant) {
        if let Some(session) = self.session.as_mut() {
            let clock = u64::try_from(session.clock.estimate(now).as_millis()).unwrap_or(u64::MAX);
            // The refusal does not state the highest token that the worker has seen, so grow exponentially.
            session.token = clock
                .max(session.token.saturating_mul(2))
                .max(session.token.saturating_add(1));
        }
    }

    fn on_stop_reply(&mut self, now: Instant, call: CallId, task: TaskKey, outcome: &CallOutcome) {
        let retry_at = now + self.cfg.retry_delay;
        if *outcome == CallOutcome::Refused(Refusal::Fenced) {
            self.raise_token(now);
        }
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let Phase::Stopping(stop) = &mut run.phase else {
            return;
        };
        if stop.call != Some(call) {
            return;
        }
        stop.call = None;
        match outcome {
            CallOutcome::Done | CallOutcome::Refused(Refusal::StaleRun) => stop.confirmed_at = Some(now),
            _ => stop.retry_at = retry_at,
        }
    }

    fn on_renewal(
        &mut self,
        now: Instant,
        sent_at: Instant,
        outcome: CallOutcome,
        actions: &mut Vec<Action>,
    ) {
        let retry_delay = self.cfg.retry_delay;
        if outcome == CallOutcome::Refused(Refusal::Fenced) {
            self.raise_token(now);
        }
        let Some(session) = self.session.as_mut() else {
            return;
        };
        session.renewal_pending = false;
        session.may_be_replaced = false;
        let CallOutcome::LeaseRenewed(list) = outcome else {
            session.renew_at = match outcome {
                _ if !session.available => now + UNAVAILABLE_RETRY_DELAY,
                // A call that timed out has waited long enough, but one whose connection was reset at once has not.
                CallOutcome::NoAnswer => now.max(sent_at + retry_delay),
                _ => now + retry_delay,
            };
            return;
        };
        session.renew_at = now;
        session.listed_at = Some(now);
        let first = session.synced_at.is_none();
        if first {
            session.synced_at = Some(now);
        }
        self.process_ends(now, &list.ended, actions);
        self.apply_run_list(now, sent_at, &list, actions);
        self.record_orphans(now, &list, actions);
        if first {
            if let Some(session) = self.session.as_mut() {
                session.orphan_ends = list.ended;
            }
            self.reconcile_attempts(now, actions);
        }
    }

    /// Ends the runs that the worker lists as ended.
    fn process_ends(&mut self, now: Instant, ended: &[ListedEnd], actions: &mut Vec<Action>) {
        for listed in ended {
            if let Some(session) = self.session.as_mut() {
                session.last_received_end = session.last_received_end.max(listed.number);
            }
            let task = listed.run.task;
            let Some(run) = self.runs.get(&task).filter(|run| run.number == listed.run.number) else {
                continue;
            };
            let (run_time, declared) = (run.run_time(now), run.declared_run_time);
            if let Some(session) = self.session.as_mut() {
                match listed.outcome {
                    RunOutcome::Completed if !declared.is_zero() => {
                        session.health.record_completion(now, run_time, declared);
                    }
                    RunOutcome::Failed => session.health.record_failure(now),
                    _ => {}
                }
            }
            let outcome = match listed.outcome {
                // A worker that lists the end of a run has not crashed under it.
                RunOutcome::Lost => RunOutcome::Stopped,
                outcome => outcome,
            };
            self.end_run(now, task, outcome, Evidence::Listed, actions);
        }
    }

    /// Updates the recorded runs from the worker's list.
    fn apply_run_list(&mut self, now: Instant, sent_at: Instant, list: &RunList, actions: &mut Vec<Action>) {
        let is_listed = |task: TaskKey, number| {
            let run = ListedRun { task, number };
            list.running.contains(&run)
        };
        let mut ended = Vec::new();
        for (&task, run) in &mut self.runs {
            let listed = is_listed(task, run.number);
            run.confirmed |= listed;
            match run.phase {
                Phase::Starting { .. } | Phase::Unconfirmed { .. } if listed => {
                    run.former_incarnation = false;
                    run.phase = Phase::Running { since: now };
                }
                // The start was lost or may still be carried out late; a stop prevents the latter.
                Phase::Unconfirmed { since } if !list.truncated && since <= sent_at => {
                    let outcome = if run.former_incarnation {
                        RunOutcome::Lost
                    } else {
                        RunOutcome::NotStarted
                    };
                    run.phase = Phase::Stopping(Stop::begin(now, outcome));
                }
                // Only a list requested after the start was confirmed is newer than the run.
                Phase::Running { since } if !listed && !list.truncated && since < sent_at => {
                    ended.push((task, RunOutcome::Lost));
                }
                // A list requested after the stop was confirmed includes every run that can still be in progress.
                Phase::Stopping(stop)
                    if !listed && !list.truncated && stop.confirmed_at.is_some_and(|at| at <= sent_at) =>
                {
                    ended.push((task, stop.outcome_if_unlisted));
                }
                _ => {}
            }
        }
        for (task, outcome) in ended {
            self.end_run(now, task, outcome, Evidence::Unlisted, actions);
        }
    }

    /// Records the listed runs that this process has not started, or has reported as ended.
    ///
    /// Those of an earlier agent process continue if an entry lists them. Others come from orders that were carried out
    /// late.
    fn record_orphans(&mut self, now: Instant, list: &RunList, actions: &mut Vec<Action>) {
        let known = |run: &ListedRun| {
            let own = self.runs.get(&run.task);
            own.is_some_and(|own| own.number == run.number)
        };
        let orphans: Vec<ListedRun> = list.running.iter().copied().filter(|run| !known(run)).collect();
        for orphan in &orphans {
            if self.runs.get(&orphan.task).is_some_and(Run::is_waiting) {
                let outcome = RunOutcome::NotStarted;
                self.end_run(now, orphan.task, outcome, Evidence::NotOrdered, actions);
            }
        }
        if let Some(session) = self.session.as_mut() {
            if session.orphans.is_empty() && !orphans.is_empty() {
                session.clock.assume_longest_lease(now);
            }
            session.orphans = orphans;
        }
    }
}

//! Verification of announcements under another name than that of the worker in use.
//!
//! Such an announcement proves nothing about the worker in use: it may come from another sender, or from an earlier
//! incarnation. The announced worker replaces the one in use only once it answers at its address under its name, because
//! the address has one worker at a time and calls name the worker that they are for.

use std::time::{Duration, Instant};

use crate::core::WorkerCore;
use crate::event::{Action, Announcement, CallId, CallOutcome, GoneReason, Notice, Order, Refusal};
use crate::orders::Call;
use crate::session::Session;

/// Calls to an announced worker without an answer after which it is ignored until it announces itself again.
const MAX_UNANSWERED_CALLS: u32 = 3;

/// Announced worker that may have replaced the one in use.
#[derive(Debug)]
pub(crate) struct Candidate {
    announcement: Announcement,
    /// Call in flight that shows whether it answers.
    call: Option<CallId>,
    /// When the next call is due if none is in flight.
    retry_at: Instant,
    unanswered: u32,
}

impl WorkerCore {
    /// Records the announcement of a worker that may have replaced the one in use.
    pub(crate) fn consider_replacement(&mut self, now: Instant, announcement: Announcement) {
        if let Some(candidate) = self.candidate.as_mut() {
            let known = &candidate.announcement;
            let same = known.description.worker == announcement.description.worker
                && known.started_at == announcement.started_at;
            if same {
                if announcement.sequence > known.sequence {
                    candidate.announcement = announcement;
                }
                return;
            }
        }
        self.candidate = Some(Candidate {
            announcement,
            call: None,
            retry_at: now,
            unanswered: 0,
        });
    }

    /// Returns when the next call to the candidate is due.
    pub(crate) fn candidate_call_time(&self) -> Option<Instant> {
        let candidate = self.candidate.as_ref()?;
        // The end of a session removes the calls that were sent in it.
        let in_flight = candidate.call.is_some_and(|call| self.calls.contains_key(&call));
        (!in_flight).then_some(candidate.retry_at)
    }

    /// Calls the candidate, which shows whether it answers at its address.
    pub(crate) fn call_candidate(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.candidate_call_time().is_none_or(|at| at > now) {
            return;
        }
        let used = self.session.as_ref().map_or(0, |session| session.token);
        let token = self.former_token.max(used).saturating_add(1);
        let call = self.begin_call(Call::VerifyReplacement);
        let Some(candidate) = self.candidate.as_mut() else {
            return;
        };
        candidate.call = Some(call);
        actions.push(Action::Call {
            call,
            address: candidate.announcement.address.clone(),
            worker: candidate.announcement.description.worker.clone(),
            order: Order::RenewLease {
                until: None,
                last_received_end: 0,
                wait: Duration::ZERO,
                token,
            },
        });
    }

    pub(crate) fn on_candidate_reply(
        &mut self,
        now: Instant,
        call: CallId,
        outcome: &CallOutcome,
        actions: &mut Vec<Action>,
    ) {
        let current = |candidate: &mut Candidate| candidate.call == Some(call);
        let Some(mut candidate) = self.candidate.take_if(current) else {
            return;
        };
        match outcome {
            // Only the worker that the call names checks its fencing token.
            CallOutcome::Done | CallOutcome::LeaseRenewed(_) | CallOutcome::Refused(Refusal::Fenced) => {
                self.replace_worker(now, candidate.announcement, actions);
            }
            CallOutcome::OtherIncarnation => {
                push_rejection(candidate.announcement, "another worker answers", actions);
            }
            _ => {
                candidate.unanswered += 1;
                if candidate.unanswered >= MAX_UNANSWERED_CALLS {
                    push_rejection(candidate.announcement, "no answer", actions);
                } else {
                    candidate.call = None;
                    candidate.retry_at = now + self.cfg.retry_delay;
                    self.candidate = Some(candidate);
                }
            }
        }
    }

    /// Ends the session with the worker in use and begins one with a worker that has announced itself and answers.
    fn replace_worker(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<Action>) {
        let ended = |session: &Session| {
            session.worker.address == announcement.address || session.gone_at.is_some() || !session.available
        };
        if let Some(session) = self.session.as_mut()
            && !ended(session)
        {
            // A list shows whether the worker in use still answers at its own address.
            session.may_be_replaced = true;
            push_rejection(
                announcement,
                "the worker in use answers at another address",
                actions,
            );
            return;
        }
        self.record_crash(now, actions);
        self.end_session(now, GoneReason::Renamed, actions);
        self.begin_session(now, announcement, actions);
    }
}

fn push_rejection(announcement: Announcement, reason: &'static str, actions: &mut Vec<Action>) {
    let description = announcement.description;
    actions.push(Action::Notice(Notice::AnnouncementRejected {
        worker: description.worker,
        pool: description.pool,
        reason,
    }));
}

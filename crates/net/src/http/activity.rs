//! Phase of a connection and the progress of its request, shared by the parts of the connection's task.

use std::time::{Duration, Instant};

use super::server::HttpLimits;
use crate::budget::{Evict, Progress};
use crate::wakeup::now;

/// Shortest interval between two checks of an idle connection, so that a short limit on heads costs few wake-ups.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing of the next request has arrived.
    Idle,
    /// A part of the head has arrived.
    Head,
    /// The body is being received.
    Receiving,
    /// The handler has the request, which can no longer be refused.
    Running,
    /// The request has been refused, and the rest of its body is discarded.
    Discarding,
    /// The request has been given up.
    Evicted,
}

/// Phase of a connection and the progress of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Activity {
    pub(super) phase: Phase,
    pub(super) progress: Progress,
}

impl Activity {
    pub(super) fn start(phase: Phase) -> Self {
        Self {
            phase,
            progress: Progress::start(now()),
        }
    }

    /// Records that the request has been answered.
    pub(super) fn answered(&mut self) {
        if !matches!(self.phase, Phase::Discarding | Phase::Evicted) {
            *self = Self::start(Phase::Idle);
        }
    }

    /// Records that the rest of a refused body has been discarded.
    pub(super) fn discarded(&mut self) {
        if self.phase == Phase::Discarding {
            *self = Self::start(Phase::Idle);
        }
    }

    /// Records bytes that were read from the connection. Those of a body are recorded when the body is received.
    pub(super) fn read(&mut self, bytes: usize) {
        if !matches!(self.phase, Phase::Idle | Phase::Head) {
            return;
        }
        let now = now();
        if self.phase == Phase::Idle {
            self.phase = Phase::Head;
            self.progress = Progress::start(now);
        }
        self.progress.receive(bytes, now);
    }

    /// Records that a part of a response was written. An idle connection counts as such from then on.
    pub(super) fn wrote(&mut self) {
        if self.phase == Phase::Idle {
            *self = Self::start(Phase::Idle);
        }
    }

    /// Records that the head is complete. A slow head is not forgotten.
    pub(super) fn begin_body(&mut self) {
        if self.phase == Phase::Head {
            self.phase = Phase::Receiving;
        } else {
            *self = Self::start(Phase::Receiving);
        }
    }

    /// Returns whether the connection gives up its request.
    pub(super) fn gives_up(self, evict: Evict) -> bool {
        self.phase != Phase::Running && self.progress.on_schedule_until() <= evict.behind
    }

    /// Returns the time up to which the request is on schedule; one that runs always is.
    pub(super) fn on_schedule_until(self) -> Instant {
        match self.phase {
            Phase::Running => now(),
            _ => self.progress.on_schedule_until(),
        }
    }

    /// Returns whether the time limit on the phase has expired. The body and its handler have limits of their own.
    pub(super) fn has_expired(self, limits: &HttpLimits) -> bool {
        let limit = match self.phase {
            Phase::Idle => limits.idle_timeout,
            Phase::Head => limits.header_timeout,
            Phase::Receiving | Phase::Running | Phase::Discarding | Phase::Evicted => return false,
        };
        now().saturating_duration_since(self.progress.started_at()) >= limit
    }

    /// Returns the time after which [`Self::has_expired`] is to be checked again.
    ///
    /// A head may begin at any time, so its limit is checked at that interval.
    pub(super) fn next_check(self, limits: &HttpLimits) -> Duration {
        let spent = now().saturating_duration_since(self.progress.started_at());
        let interval = limits.header_timeout.max(MIN_CHECK_INTERVAL);
        match self.phase {
            Phase::Idle => limits.idle_timeout.saturating_sub(spent).min(interval),
            Phase::Head => limits.header_timeout.saturating_sub(spent),
            Phase::Receiving | Phase::Running | Phase::Discarding | Phase::Evicted => interval,
        }
    }
}

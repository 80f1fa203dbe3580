//! Runs that the agent core keeps, and what it remembers of ended ones.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{AttemptKey, EndedRun, ProcessId, Resources, RunEnd, RunNumber};

use crate::event::CallId;

/// Owner of runs that a former agent process started and no entry has claimed.
pub(crate) const NO_OWNER: ProcessId = 0;

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for capacity, or for the next try.
    Waiting { not_before: Instant },
    /// A start is on its way.
    Starting { call: CallId },
    /// A start got no answer by the given time; the next list tells whether the worker runs it.
    Unconfirmed { since: Instant },
    /// The worker runs it, as known since the given time.
    Running { since: Instant },
    /// It is being stopped, or kept from starting.
    Stopping(Stop),
}

/// Progress of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stop {
    /// Call on its way.
    pub(crate) call: Option<CallId>,
    /// When the order is repeated if no call is on its way.
    pub(crate) retry_at: Instant,
    /// When the worker confirmed the order.
    pub(crate) confirmed_at: Option<Instant>,
    /// End to report if the worker lists none.
    pub(crate) end_if_unlisted: RunEnd,
}

impl Stop {
    /// Begins a stop whose order is sent at once.
    pub(crate) fn begin(now: Instant, end_if_unlisted: RunEnd) -> Self {
        Self {
            call: None,
            retry_at: now,
            confirmed_at: None,
            end_if_unlisted,
        }
    }
}

/// Run of a task on the worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) key: AttemptKey,
    pub(crate) owner: ProcessId,
    pub(crate) number: RunNumber,
    pub(crate) resources: Resources,
    pub(crate) declared: Duration,
    /// Latency objective of the job; waiting runs start in this order.
    pub(crate) objective_at: Instant,
    pub(crate) spec: Bytes,
    pub(crate) phase: Phase,
    pub(crate) started_at: Option<Instant>,
    /// Starts that the worker refused in a way that allows another try.
    pub(crate) refusals: u32,
}

impl Run {
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping(_))
    }

    pub(crate) fn run_time(&self, now: Instant) -> Duration {
        self.started_at
            .map_or(Duration::ZERO, |started| now.saturating_duration_since(started))
    }
}

/// Run that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Finished {
    pub(crate) number: RunNumber,
    pub(crate) ended: EndedRun,
    pub(crate) at: Instant,
}

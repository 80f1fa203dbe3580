//! State of current and ended runs.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{AttemptKey, EndedRun, KindId, ProcessId, Resources, RunNumber, RunOutcome};

use crate::event::CallId;

/// Owner of runs that an earlier agent process started and no entry has listed.
pub(crate) const NO_OWNER: ProcessId = 0;

/// Time for which the worker's lease is renewed although a stop is not confirmed. With the worker's lease after it, a run
/// ends within the 1.3 s after which a caller that got no answer submits its job again.
const UNCONFIRMED_STOP_GRACE: Duration = Duration::from_millis(500);

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The run waits for capacity, or for a retry.
    Waiting { not_before: Instant },
    /// The start order is in flight.
    Starting { call: CallId },
    /// The start order was not answered; the next list requested after `since` shows whether the run began.
    Unconfirmed { since: Instant },
    /// The worker has confirmed or listed the run, first at `since`.
    Running { since: Instant },
    /// The run is being stopped, or prevented from starting.
    Stopping(Stop),
}

/// Progress of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stop {
    /// Stop order in flight.
    pub(crate) call: Option<CallId>,
    /// When the order is sent again if none is in flight.
    pub(crate) retry_at: Instant,
    /// When the worker confirmed the stop order.
    pub(crate) confirmed_at: Option<Instant>,
    /// Until when the worker's lease may be renewed although the stop is not confirmed.
    pub(crate) renew_until: Instant,
    /// End to report if the worker lists neither the run nor its end.
    pub(crate) outcome_if_unlisted: RunOutcome,
}

impl Stop {
    /// Creates a stop whose order is due immediately, of a run whose entry still has its lease.
    pub(crate) fn begin(now: Instant, outcome_if_unlisted: RunOutcome) -> Self {
        Self {
            renew_until: now + UNCONFIRMED_STOP_GRACE,
            ..Self::begin_expired(now, outcome_if_unlisted)
        }
    }

    /// Creates a stop of a run whose time has expired, so that the worker's lease is not renewed before it is confirmed.
    pub(crate) fn begin_expired(now: Instant, outcome_if_unlisted: RunOutcome) -> Self {
        Self {
            renew_until: now,
            call: None,
            retry_at: now,
            confirmed_at: None,
            outcome_if_unlisted,
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
    pub(crate) declared_run_time: Duration,
    /// Latency objective of the job; waiting runs start in this order, earliest first.
    pub(crate) objective_at: Instant,
    /// When the run is stopped although its entry has not ordered it.
    pub(crate) stop_at: Option<Instant>,
    pub(crate) spec: Bytes,
    pub(crate) phase: Phase,
    pub(crate) started_at: Option<Instant>,
    /// Whether the worker has confirmed the start or listed the run, so that the order cannot be carried out later.
    pub(crate) confirmed: bool,
    /// Number of refused starts that were followed by a retry.
    pub(crate) refusals: u32,
    /// Whether the order was sent to a former incarnation of the same name, so that the run is lost unless the current
    /// one lists it.
    pub(crate) former_incarnation: bool,
    /// Kind of the task, if its order states it.
    pub(crate) kind: Option<KindId>,
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
pub(crate) struct EndedRunRecord {
    pub(crate) number: RunNumber,
    pub(crate) ended: EndedRun,
    pub(crate) at: Instant,
}

//! State of current and ended runs.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{AttemptKey, EndedRun, KindId, ProcessId, Resources, RunNumber, RunOutcome};

use crate::event::CallId;

/// Owner of runs that an earlier agent process started and no entry has listed.
pub(crate) const NO_OWNER: ProcessId = 0;

/// Time for which the worker's lease is renewed although a stop is not confirmed, if the entry has not limited the end of the
/// run. With the worker's lease after it, the run ends within the 1.3 s after which a caller that got no answer submits its job
/// again.
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
    /// Until when the worker's lease may be renewed although the stop is not confirmed, if the end of the run is not limited.
    pub(crate) renew_until: Instant,
    /// End to report if the worker lists neither the run nor its end.
    pub(crate) outcome_if_unlisted: RunOutcome,
}

impl Stop {
    /// Creates a stop whose order is due immediately.
    pub(crate) fn begin(now: Instant, outcome_if_unlisted: RunOutcome) -> Self {
        Self {
            call: None,
            retry_at: now,
            confirmed_at: None,
            renew_until: now + UNCONFIRMED_STOP_GRACE,
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
    /// When the run must have ended, also if the worker confirms no stop.
    pub(crate) end_by: Option<Instant>,
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

    /// Lowers the time by which the run must have ended.
    pub(crate) fn limit_end(&mut self, at: Instant) {
        self.end_by = Some(earliest(self.end_by, at));
    }

    /// Returns whether a lease of the worker would prolong the run.
    fn is_prolonged_by_lease(&self) -> bool {
        match self.phase {
            Phase::Waiting { .. } => false,
            Phase::Stopping(stop) => stop.confirmed_at.is_none(),
            _ => true,
        }
    }

    /// Returns the latest end of a lease that may be granted to the worker.
    pub(crate) fn lease_limit(&self) -> Option<Instant> {
        self.end_by.filter(|_| self.is_prolonged_by_lease())
    }

    /// Returns whether the worker's lease may be renewed.
    pub(crate) fn may_renew(&self, now: Instant) -> bool {
        match (self.phase, self.lease_limit()) {
            (_, Some(limit)) => now < limit,
            (Phase::Stopping(stop), None) => !self.is_prolonged_by_lease() || now < stop.renew_until,
            _ => true,
        }
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

/// Returns the earlier of a limit that may be known and another one.
pub(crate) fn earliest(known: Option<Instant>, other: Instant) -> Instant {
    known.map_or(other, |known| known.min(other))
}

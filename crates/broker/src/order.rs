//! Order in which waiting jobs are placed: by priority, with ageing, and by latency objective.

use std::time::{Duration, Instant};

/// Time after which a waiting job moves ahead by one priority. With the most priorities that are told apart (8), a job is among
/// the most urgent after 1.4 s, before its caller gives up after 1.5 s.
const AGEING_STEP: Duration = Duration::from_millis(200);

/// Key of a job in the queue of waiting jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingOrder {
    /// Position of the priority, less one for each [`AGEING_STEP`]; zero for all jobs unless demand exceeded the capacity
    /// when they arrived.
    pub(crate) band: u32,
    pub(crate) objective_at: Instant,
    /// Number of the job in the order of arrival.
    pub(crate) number: u64,
}

impl WaitingOrder {
    /// Returns the order of a job that arrived at `received_at` with a given position of its priority.
    pub(crate) fn aged(self, now: Instant, received_at: Instant, band: u32) -> Self {
        let steps = now.saturating_duration_since(received_at).as_millis() / AGEING_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        Self {
            band: band.saturating_sub(steps),
            ..self
        }
    }
}

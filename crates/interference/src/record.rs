//! Records of ended runs.

use std::time::Duration;

use chestnutfork_types::KindId;

/// Shortest time that counts as declared or observed; below it the ratio of both states nothing.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);

/// Kind that ran beside a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Neighbour {
    /// Kind of the other run or runs.
    pub kind: KindId,
    /// Whether one of them was in progress when the run started.
    pub at_start: bool,
    /// Time during which at least one of them was in progress.
    pub lasted: Duration,
}

/// Run that completed, and what ran beside it on the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// Kind of the run.
    pub kind: KindId,
    /// Run time declared by the caller.
    pub declared: Duration,
    /// Time from the start to the end.
    pub observed: Duration,
    /// Fraction of the worker's capacity in use by other runs at the start, from 0 to 1.
    pub utilisation: f64,
    /// Kinds that ran beside it.
    pub beside: Vec<Neighbour>,
}

impl RunRecord {
    /// Returns the logarithm of observed over declared run time.
    pub(crate) fn log_ratio(&self) -> f64 {
        let [observed, declared] = [self.observed, self.declared].map(|time| time.max(MIN_RUN_TIME));
        (observed.as_secs_f64() / declared.as_secs_f64()).ln()
    }

    /// Returns the fraction of the run in which a neighbour was in progress.
    pub(crate) fn exposure(&self, neighbour: Neighbour) -> f64 {
        let whole = self.observed.max(MIN_RUN_TIME).as_secs_f64();
        (neighbour.lasted.as_secs_f64() / whole).min(1.0)
    }
}

//! Interference between kinds of tasks that run side by side on a worker.
//!
//! An agent feeds an [`Observer`] with the starts and ends of runs, and an [`Evidence`] table with the resulting
//! [`RunRecord`]s. An entry merges the reports of several agents in a [`MergedTable`] and weighs a placement with
//! [`cost_factor`]. Everything is plain data, and the time is an argument.
//!
//! A pair is found by comparing runs of one kind on one worker: those that started beside the other kind with those that
//! did not, in the same short window and at similar utilisation. The speed of the worker, a wrong declared run time and
//! the general load therefore cancel out.

mod cost;
mod evidence;
mod kind;
mod merge;
mod observer;
mod record;
mod sums;
mod window;

pub use cost::{Partner, cost_factor};
pub use evidence::Evidence;
pub use kind::kind_id;
pub use merge::{MergedPair, MergedTable, SourceId};
pub use observer::{MAX_KINDS, Observer};
pub use record::{Neighbour, RunRecord};

use std::time::Duration;

/// Factor on the run time from which a pair counts as interfering. Latency objectives allow 1.6 times the run time, of which
/// run times vary by a fifth in normal operation, so tasks tolerate less than this without missing their objective.
pub const MIN_SLOWDOWN: f64 = 1.2;

/// Ratio of a slowdown's logarithm to its standard error from which it is significant. Every agent tests up to some
/// thousand pairs again in each window, so that at 61 workers a ratio of 4 would be reached by chance within an hour.
pub const MIN_SIGNIFICANCE: f64 = 5.0;

/// Time in which evidence loses half of its weight. The jobs of a caller change within minutes; a shorter time would forget
/// pairs that placement keeps apart, and slow down tasks again to learn them anew.
pub const HALF_LIFE: Duration = Duration::from_mins(1);

/// Time without a run beside the other kind, or without a report, after which evidence is removed.
pub const MAX_AGE: Duration = Duration::from_mins(4);

/// Returns the weight that evidence keeps after a time.
fn remaining_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

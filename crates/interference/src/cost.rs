//! Cost of placing a task beside what runs on a worker.

use chestnutfork_types::{KindId, KindPair};

use crate::merge::{MergedPair, MergedTable};

/// Number of runs of a kind beyond which further ones do not add to the cost of slowing them down. The cost would otherwise
/// outweigh any difference between workers.
const MAX_COUNTED_RUNS: u32 = 4;

/// Pair that contributes most to the cost of a placement.
pub type Reason = MergedPair;

/// Cost of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCost {
    /// Factor on the expected run time of the task; 1 without interference.
    pub factor: f64,
    /// Pair with the largest part in it.
    pub reason: Option<Reason>,
}

impl MergedTable {
    /// Returns the cost of running a task of a kind beside the given numbers of runs of other kinds.
    ///
    /// It is the largest slowdown of the task itself, plus what each run beside it is slowed down for about as long as the
    /// task takes.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_interference::MergedTable;
    ///
    /// let cost = MergedTable::default().cost(1, &[(2, 3)]);
    /// assert!((cost.factor - 1.0).abs() < f64::EPSILON && cost.reason.is_none());
    /// ```
    #[must_use]
    pub fn cost(&self, kind: KindId, running: &[(KindId, u32)]) -> PlacementCost {
        let (mut own, mut others) = (0.0_f64, 0.0_f64);
        let mut reason: Option<(f64, Reason)> = None;
        let mut consider = |part: f64, merged: &MergedPair| {
            if reason.is_none_or(|(largest, _)| part > largest) {
                reason = Some((part, *merged));
            }
        };
        for &(other, runs) in running.iter().filter(|(_, runs)| *runs > 0) {
            let slowed = KindPair {
                slowed: kind,
                beside: other,
            };
            if let Some(merged) = self.get(slowed) {
                own = own.max(merged.slowdown - 1.0);
                consider(merged.slowdown - 1.0, merged);
            }
            let slows = KindPair {
                slowed: other,
                beside: kind,
            };
            if let Some(merged) = self.get(slows) {
                let part = (merged.slowdown - 1.0) * f64::from(runs.min(MAX_COUNTED_RUNS));
                others += part;
                consider(part, merged);
            }
        }
        PlacementCost {
            factor: 1.0 + own + others,
            reason: reason.map(|(_, merged)| merged),
        }
    }
}

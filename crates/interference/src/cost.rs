//! Cost of placing a task beside what runs on a worker.

use chestnutfork_types::{KindId, KindPair};

use crate::merge::{MergedPair, MergedTable};

/// Number of runs of a kind beyond which further ones do not add to the cost of slowing them down. The cost would otherwise
/// outweigh any difference between workers.
const MAX_COUNTED_RUNS: u32 = 4;

/// Kind that interferes with a given one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Partner {
    /// The other kind.
    pub other: KindId,
    /// Factor minus one on the run time of the given kind beside the other one.
    pub own: f64,
    /// Factor minus one on the run time of the other kind beside the given one.
    pub others: f64,
}

/// Returns the factor on the cost of a task beside the given numbers of runs of other kinds; 1 without interference.
///
/// It is the largest slowdown of the task itself, plus what each run beside it is slowed down for about as long as the task
/// takes.
///
/// # Examples
///
/// ```
/// use chestnutfork_interference::{Partner, cost_factor};
///
/// let partners = [Partner { other: 2, own: 0.5, others: 0.25 }];
/// assert!((cost_factor(&partners, &[(2, 2), (3, 1)]) - 2.0).abs() < f64::EPSILON);
/// assert!((cost_factor(&partners, &[(3, 1)]) - 1.0).abs() < f64::EPSILON);
/// ```
#[must_use]
pub fn cost_factor(partners: &[Partner], running: &[(KindId, u32)]) -> f64 {
    let (mut own, mut others) = (0.0_f64, 0.0_f64);
    for &(kind, runs) in running.iter().filter(|(_, runs)| *runs > 0) {
        if let Some(partner) = partners.iter().find(|partner| partner.other == kind) {
            own = own.max(partner.own);
            others += partner.others * f64::from(runs.min(MAX_COUNTED_RUNS));
        }
    }
    1.0 + own + others
}

impl MergedTable {
    /// Returns the pair with the largest part in the cost of a task of a kind beside the given numbers of runs.
    #[must_use]
    pub fn reason(&self, kind: KindId, running: &[(KindId, u32)]) -> Option<MergedPair> {
        let partners = self.partners(kind).iter();
        let parts = partners.filter_map(|partner| {
            let runs = running.iter().find(|(other, _)| *other == partner.other)?.1;
            let others = partner.others * f64::from(runs.min(MAX_COUNTED_RUNS));
            let pair = if partner.own >= others {
                KindPair {
                    slowed: kind,
                    beside: partner.other,
                }
            } else {
                KindPair {
                    slowed: partner.other,
                    beside: kind,
                }
            };
            (runs > 0).then_some((partner.own.max(others), pair))
        });
        let (_, pair) = parts.max_by(|(a, _), (b, _)| a.total_cmp(b))?;
        self.get(pair).copied()
    }
}

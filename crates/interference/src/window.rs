//! Runs that ended within one window, and the comparisons between them.

use chestnutfork_types::{KindId, KindPair};
use indexmap::IndexMap;

use crate::record::RunRecord;

/// Classes of utilisation. Within a class of an eighth of the capacity, a run time that rises by half from an idle to a full
/// worker differs by 6%, well below the smallest slowdown that counts.
const UTILISATION_CLASSES: f64 = 8.0;
/// Maximum number of strata and of cells in a window, which bounds memory with thousands of kinds.
const MAX_CELLS: usize = 2_048;

/// Runs that can be compared: of one kind, at similar utilisation.
type Stratum = (KindId, u8);

/// Number of runs with the sum and the sum of squares of the logarithms of their run time ratios.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    runs: f64,
    sum: f64,
    squares: f64,
}

/// Runs of a stratum with respect to one other kind.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    /// Runs that started beside the other kind, the sum of their logarithms, and of their exposures.
    exposed: (f64, f64, f64),
    /// Those of them that count in the totals of the stratum.
    in_totals: (f64, f64, f64),
    /// Sum of the exposures over all runs in the totals of the stratum.
    exposure: f64,
}

/// Comparison between the runs of a stratum that started beside a kind and those that did not.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    pub(crate) pair: KindPair,
    /// Number of runs beside the kind.
    pub(crate) runs: f64,
    /// Weight of the difference: the reciprocal of its variance in units of the variance of a single run.
    pub(crate) weight: f64,
    /// Difference between the mean logarithms.
    pub(crate) difference: f64,
    /// Difference between the mean exposures.
    pub(crate) exposure: f64,
    /// Sum of squared deviations in the stratum, and its degrees of freedom.
    pub(crate) deviation: (f64, f64),
}

/// Sums over the runs that ended in the current window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    strata: IndexMap<Stratum, Totals>,
    cells: IndexMap<(Stratum, KindId), Cell>,
}

impl Window {
    /// Adds a run. `suspected` states which kinds may slow down its kind.
    ///
    /// A run beside one of these tells nothing about other kinds, which may only occur together with it. It counts for the
    /// pair with that kind alone; beside two of them it does not count.
    pub(crate) fn record(&mut self, run: &RunRecord, suspected: impl Fn(KindId) -> bool) {
        let stratum = (run.kind, utilisation_class(run.utilisation));
        let log = run.log_ratio();
        let known: Vec<KindId> = run
            .beside
            .iter()
            .filter(|neighbour| neighbour.at_start && suspected(neighbour.kind))
            .map(|neighbour| neighbour.kind)
            .collect();
        if known.len() > 1 {
            return;
        }
        let known = known.first().copied();
        if known.is_none() {
            if self.strata.len() >= MAX_CELLS && !self.strata.contains_key(&stratum) {
                return;
            }
            let totals = self.strata.entry(stratum).or_default();
            totals.runs += 1.0;
            totals.sum += log;
            totals.squares += log * log;
        }
        for &neighbour in &run.beside {
            let key = (stratum, neighbour.kind);
            let relevant = known.is_none_or(|known| known == neighbour.kind);
            if !relevant || (self.cells.len() >= MAX_CELLS && !self.cells.contains_key(&key)) {
                continue;
            }
            let cell = self.cells.entry(key).or_default();
            let exposure = run.exposure(neighbour);
            if neighbour.at_start {
                add(&mut cell.exposed, log, exposure);
            }
            if known.is_none() {
                cell.exposure += exposure;
                if neighbour.at_start {
                    add(&mut cell.in_totals, log, exposure);
                }
            }
        }
    }

    /// Returns the comparisons between the runs of the window, and removes these.
    pub(crate) fn close(&mut self) -> Vec<Comparison> {
        let strata = std::mem::take(&mut self.strata);
        let cells = std::mem::take(&mut self.cells);
        let comparisons = cells.into_iter().filter_map(|((stratum, beside), cell)| {
            let totals = strata.get(&stratum)?;
            let (runs, sum, exposure) = cell.exposed;
            let others = totals.runs - cell.in_totals.0;
            if runs < 1.0 || others < 1.0 {
                return None;
            }
            let other_sum = totals.sum - cell.in_totals.1;
            let other_exposure = (cell.exposure - cell.in_totals.2).max(0.0);
            let deviation = (totals.squares - totals.sum * totals.sum / totals.runs).max(0.0);
            Some(Comparison {
                pair: KindPair {
                    slowed: stratum.0,
                    beside,
                },
                runs,
                weight: runs * others / (runs + others),
                difference: sum / runs - other_sum / others,
                exposure: exposure / runs - other_exposure / others,
                deviation: (deviation, totals.runs - 1.0),
            })
        });
        comparisons.collect()
    }

    /// Returns the number of strata and cells in use.
    pub(crate) fn len(&self) -> usize {
        self.strata.len() + self.cells.len()
    }
}

fn add(sums: &mut (f64, f64, f64), log: f64, exposure: f64) {
    sums.0 += 1.0;
    sums.1 += log;
    sums.2 += exposure;
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the number of classes"
)]
fn utilisation_class(utilisation: f64) -> u8 {
    (utilisation * UTILISATION_CLASSES).clamp(0.0, UTILISATION_CLASSES - 1.0) as u8
}

//! Evidence of interference on one worker.

use std::time::{Duration, Instant};

use chestnutfork_types::{KindId, KindPair, PairEvidence};
use indexmap::IndexMap;

use crate::record::RunRecord;
use crate::sums::{Estimate, Sums};
use crate::window::Window;
use crate::{MAX_AGE, MIN_SLOWDOWN, remaining_weight};

/// Length of a window, in which the load of a worker changes little. Windows of 2 s left most workers of 6 to 25 places without
/// runs of both groups, so that nothing was found in two minutes.
const WINDOW: Duration = Duration::from_secs(5);
/// Ratio of a slowdown's logarithm to its standard error from which an agent reports a pair. Entries then ask all agents for
/// their evidence and decide on the sum. With 61 agents and 9 pairs, one pair is reported by chance at most times.
const MIN_SUSPICION: f64 = 3.0;
/// Maximum number of pairs with evidence; the one with the least weight is replaced.
const MAX_PAIRS: usize = 1_024;
/// Maximum number of pairs in a report, which keeps it below 1 KB.
const MAX_REPORTED_PAIRS: usize = 24;

#[derive(Clone, Copy, Debug)]
struct Pair {
    sums: Sums,
    observed_at: Instant,
    /// Estimate at the end of the latest window.
    estimate: Option<Estimate>,
}

impl Pair {
    fn is_suspected(&self) -> bool {
        self.estimate.is_some_and(is_suspicious)
    }
}

/// Pairs of kinds that ran side by side on one worker, with their slowdowns.
#[derive(Clone, Debug)]
pub struct Evidence {
    window: Window,
    window_ends_at: Instant,
    decayed_at: Instant,
    pairs: IndexMap<KindPair, Pair>,
}

impl Evidence {
    /// Creates a table without evidence.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_interference::Evidence;
    ///
    /// let now = Instant::now();
    /// assert!(Evidence::new(now).report(now, |_| true).is_empty());
    /// ```
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            window: Window::default(),
            window_ends_at: now + WINDOW,
            decayed_at: now,
            pairs: IndexMap::new(),
        }
    }

    /// Adds a completed run.
    pub fn record(&mut self, now: Instant, run: &RunRecord) {
        self.advance(now);
        let pairs = &self.pairs;
        self.window.record(run, |beside| {
            let slowed = run.kind;
            let pair = pairs.get(&KindPair { slowed, beside });
            pair.is_some_and(Pair::is_suspected)
        });
    }

    /// Returns the pairs that may interfere, and those of two watched kinds whatever was observed of them, so that the evidence
    /// of an agent that contradicts another one counts as well.
    pub fn report(&mut self, now: Instant, watched: impl Fn(KindId) -> bool) -> Vec<PairEvidence> {
        self.advance(now);
        let reported = self.pairs.iter().filter_map(|(&pair, state)| {
            let estimate = state.estimate?;
            let wanted = is_suspicious(estimate) || (watched(pair.slowed) && watched(pair.beside));
            wanted.then(|| to_evidence(pair, estimate, now.saturating_duration_since(state.observed_at)))
        });
        let mut reported: Vec<PairEvidence> = reported.collect();
        // The most certain evidence counts most at the entries.
        reported.sort_by_key(|evidence| std::cmp::Reverse(evidence.precision));
        reported.truncate(MAX_REPORTED_PAIRS);
        reported
    }

    /// Returns whether a kind may interfere with another one on this worker, in either direction.
    #[must_use]
    pub fn is_suspected(&self, kind: KindId) -> bool {
        let mut pairs = self.pairs.iter();
        pairs.any(|(pair, state)| (pair.slowed == kind || pair.beside == kind) && state.is_suspected())
    }

    /// Returns the number of pairs and of sums of the current window that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pairs.len() + self.window.len()
    }

    /// Returns whether nothing has been observed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the window if it has ended.
    fn advance(&mut self, now: Instant) {
        if now < self.window_ends_at {
            return;
        }
        let factor = remaining_weight(now.saturating_duration_since(self.decayed_at));
        for pair in self.pairs.values_mut() {
            pair.sums.decay(factor);
        }
        self.pairs
            .retain(|_, pair| now.saturating_duration_since(pair.observed_at) < MAX_AGE);
        for comparison in self.window.close() {
            if !self.make_room(comparison.pair, comparison.weight) {
                continue;
            }
            let pair = self.pairs.entry(comparison.pair).or_insert_with(|| Pair {
                sums: Sums::default(),
                observed_at: now,
                estimate: None,
            });
            pair.sums.add(&comparison);
            pair.observed_at = now;
        }
        for pair in self.pairs.values_mut() {
            pair.estimate = pair.sums.estimate();
        }
        self.decayed_at = now;
        self.window_ends_at = now + WINDOW;
    }

    /// Returns whether there is room for a pair, after the removal of one with less weight if necessary.
    fn make_room(&mut self, pair: KindPair, weight: f64) -> bool {
        if self.pairs.len() < MAX_PAIRS || self.pairs.contains_key(&pair) {
            return true;
        }
        let weights = self.pairs.values().map(|pair| pair.sums.weight());
        let least = weights.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        let Some((at, _)) = least.filter(|&(_, least)| least < weight) else {
            return false;
        };
        self.pairs.swap_remove_index(at);
        true
    }
}

fn is_suspicious(estimate: Estimate) -> bool {
    let certain = estimate.log * estimate.precision.sqrt() >= MIN_SUSPICION;
    certain && estimate.log >= MIN_SLOWDOWN.ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are clamped to the range of their types"
)]
fn to_evidence(pair: KindPair, estimate: Estimate, age: Duration) -> PairEvidence {
    let whole = |value: f64| value.clamp(0.0, f64::from(u32::MAX)) as u32;
    PairEvidence {
        pair,
        log_permille: (estimate.log * 1_000.0).clamp(f64::from(i32::MIN), f64::from(i32::MAX)) as i32,
        precision: whole(estimate.precision),
        runs: whole(estimate.runs),
        age,
    }
}

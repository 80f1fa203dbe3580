//! Evidence of several agents.

use std::time::{Duration, Instant};

use chestnutfork_types::{KindId, KindPair, PairEvidence};
use indexmap::{IndexMap, IndexSet};

use crate::cost::Partner;
use crate::{MAX_AGE, MIN_SIGNIFICANCE, MIN_SLOWDOWN, remaining_weight};

/// Identifies the agent that a report came from.
pub type SourceId = usize;

/// Time after which the pairs are computed anew, because evidence decays.
const MERGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of pairs taken from one report; agents send fewer.
const MAX_PAIRS_PER_SOURCE: usize = 64;
/// Largest factor on the run time that is believed, so that a false report cannot keep a worker empty.
const MAX_SLOWDOWN: f64 = 4.0;
/// Largest precision of one agent, which corresponds to a standard error of 2%. Evidence of the others then outweighs a
/// false report.
const MAX_PRECISION: u32 = 2_500;

/// Pair that interferes according to all agents together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MergedPair {
    /// Pair of kinds.
    pub pair: KindPair,
    /// Factor on the run time of the slowed kind.
    pub slowdown: f64,
    /// Number of runs that show it.
    pub runs: u32,
    /// Time since the latest of these runs.
    pub age: Duration,
}

/// Report of one agent.
#[derive(Clone, Debug)]
struct SourceReport {
    pairs: Vec<PairEvidence>,
    received_at: Instant,
}

/// Sums over the reports of a pair.
#[derive(Clone, Copy, Debug, Default)]
struct PairSums {
    weight: f64,
    log: f64,
    runs: u32,
    age: Option<Duration>,
}

/// Reports of several agents, and the pairs that interfere according to all of them together.
#[derive(Clone, Debug, Default)]
pub struct MergedTable {
    reports: IndexMap<SourceId, SourceReport>,
    pairs: IndexMap<KindPair, MergedPair>,
    /// Kinds of the pairs that interfere, with those that they interfere with.
    partners: IndexMap<KindId, Vec<Partner>>,
    /// Kinds of all reported pairs.
    suspected: IndexSet<KindId>,
    merge_at: Option<Instant>,
}

impl MergedTable {
    /// Stores the report of an agent, which replaces its earlier one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_interference::MergedTable;
    /// use chestnutfork_types::{KindPair, PairEvidence};
    ///
    /// let now = Instant::now();
    /// let pair = KindPair { slowed: 1, beside: 2 };
    /// let evidence = PairEvidence { pair, log_permille: 405, precision: 400, runs: 80, age: Duration::ZERO };
    /// let mut table = MergedTable::default();
    /// table.store(now, 0, vec![evidence]);
    /// table.refresh(now);
    /// assert!(table.get(pair).is_some_and(|merged| (1.49..1.51).contains(&merged.slowdown)));
    /// ```
    pub fn store(&mut self, now: Instant, source: SourceId, mut pairs: Vec<PairEvidence>) {
        pairs.truncate(MAX_PAIRS_PER_SOURCE);
        let had_pairs = if pairs.is_empty() {
            self.reports.swap_remove(&source).is_some()
        } else {
            let report = SourceReport {
                pairs,
                received_at: now,
            };
            self.reports.insert(source, report);
            true
        };
        if had_pairs && self.merge_at.is_none() {
            self.merge_at = Some(now);
        }
    }

    /// Removes the report of an agent that has restarted.
    pub fn remove(&mut self, source: SourceId) {
        self.reports.swap_remove(&source);
    }

    /// Computes the pairs anew if that is due.
    pub fn refresh(&mut self, now: Instant) {
        if self.merge_at.is_none_or(|at| now < at) {
            return;
        }
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.received_at) < MAX_AGE);
        self.suspected.clear();
        let mut sums: IndexMap<KindPair, PairSums> = IndexMap::new();
        for report in self.reports.values() {
            let since = now.saturating_duration_since(report.received_at);
            let factor = remaining_weight(since);
            for evidence in &report.pairs {
                let weight = f64::from(evidence.precision.min(MAX_PRECISION)) * factor;
                let age = evidence.age.saturating_add(since);
                self.suspected
                    .extend([evidence.pair.slowed, evidence.pair.beside]);
                let pair = sums.entry(evidence.pair).or_default();
                pair.weight += weight;
                pair.log += weight * f64::from(evidence.log_permille) / 1_000.0;
                pair.runs = pair.runs.saturating_add(evidence.runs);
                pair.age = Some(pair.age.map_or(age, |known| known.min(age)));
            }
        }
        self.pairs.clear();
        self.partners.clear();
        for (pair, sums) in sums {
            let log = sums.log / sums.weight;
            let certain = log * sums.weight.sqrt() >= MIN_SIGNIFICANCE;
            let age = sums.age.unwrap_or_default();
            if !certain || log < MIN_SLOWDOWN.ln() || age >= MAX_AGE {
                continue;
            }
            let merged = MergedPair {
                pair,
                slowdown: log.exp().min(MAX_SLOWDOWN),
                runs: sums.runs,
                age,
            };
            self.pairs.insert(pair, merged);
            let excess = merged.slowdown - 1.0;
            self.partner(pair.slowed, pair.beside).own = excess;
            self.partner(pair.beside, pair.slowed).others = excess;
        }
        self.merge_at = (!self.reports.is_empty()).then(|| now + MERGE_INTERVAL);
    }

    fn partner(&mut self, kind: KindId, other: KindId) -> &mut Partner {
        let partners = self.partners.entry(kind).or_default();
        let known = partners.iter().position(|partner| partner.other == other);
        let at = known.unwrap_or_else(|| {
            partners.push(Partner {
                other,
                own: 0.0,
                others: 0.0,
            });
            partners.len() - 1
        });
        &mut partners[at]
    }

    /// Returns the kinds that interfere with a kind.
    #[must_use]
    pub fn partners(&self, kind: KindId) -> &[Partner] {
        self.partners.get(&kind).map_or(&[], Vec::as_slice)
    }

    /// Returns a pair if it interferes.
    #[must_use]
    pub fn get(&self, pair: KindPair) -> Option<&MergedPair> {
        self.pairs.get(&pair)
    }

    /// Iterates over the pairs that interfere.
    pub fn pairs(&self) -> impl Iterator<Item = &MergedPair> {
        self.pairs.values()
    }

    /// Returns whether a kind interferes with some kind, in either direction.
    #[must_use]
    pub fn is_interfering(&self, kind: KindId) -> bool {
        self.partners.contains_key(&kind)
    }

    /// Returns whether a kind may interfere with some kind according to any agent, in either direction.
    #[must_use]
    pub fn is_suspected(&self, kind: KindId) -> bool {
        self.suspected.contains(&kind)
    }

    /// Returns whether no pair interferes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}

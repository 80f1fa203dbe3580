//! Items and round-robin state of one team in the fair queue.

use std::collections::BTreeMap;
use std::time::Instant;

/// Deficit that a team receives per turn unless a weight is set.
const DEFAULT_WEIGHT: u32 = 1;

/// Position of an item among those of its team: earlier deadlines first, then earlier arrivals.
pub(crate) type Rank = (Instant, i64);

/// Position of a team in the round robin.
pub(crate) type Turn = i64;

/// Items and round-robin state of one team.
#[derive(Clone, Debug)]
pub(crate) struct TeamQueue<T> {
    pub(crate) items: BTreeMap<Rank, T>,
    pub(crate) turn: Option<Turn>,
    pub(crate) deficit: u32,
    pub(crate) weight: u32,
}

impl<T> Default for TeamQueue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            turn: None,
            deficit: 0,
            weight: DEFAULT_WEIGHT,
        }
    }
}

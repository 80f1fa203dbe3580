//! Interference between kinds of tasks that run side by side, as reported between agents and entries.

use std::time::Duration;

/// Stable 64-bit hash of the kind of a task: of its image where its step names one, otherwise of its route.
pub type KindId = u64;

/// Kinds of the tasks of a start order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderKinds {
    /// Kind of each task in the order of the tasks. A single kind applies to all tasks; without any the agent records
    /// nothing and reports no interference to the entry.
    pub tasks: Vec<KindId>,
    /// Kinds among them that interfere with some kind according to the entry, so that the agent reports how many of them
    /// run, and its evidence for their pairs.
    pub watched: Vec<KindId>,
}

impl OrderKinds {
    /// Returns the kind of the task at a position of the order.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::OrderKinds;
    ///
    /// let same = OrderKinds { tasks: vec![7], watched: Vec::new() };
    /// assert_eq!(same.kind_of(3), Some(7));
    /// assert_eq!(OrderKinds::default().kind_of(0), None);
    /// ```
    #[must_use]
    pub fn kind_of(&self, position: usize) -> Option<KindId> {
        match self.tasks.as_slice() {
            [kind] => Some(*kind),
            kinds => kinds.get(position).copied(),
        }
    }
}

/// Ordered pair of kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindPair {
    /// Kind whose run time is observed.
    pub slowed: KindId,
    /// Kind that runs beside it.
    pub beside: KindId,
}

/// What one agent, or several together, have observed of a pair of kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PairEvidence {
    /// Pair that was observed.
    pub pair: KindPair,
    /// Natural logarithm of the factor on the run time, in thousandths.
    pub log_permille: i32,
    /// Reciprocal of the variance of the logarithm.
    pub precision: u32,
    /// Number of recent runs of the slowed kind beside the other one; older runs count less.
    pub runs: u32,
    /// Time since the latest of these runs.
    pub age: Duration,
}

/// Report of an agent about interference on its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InterferenceReport {
    /// Evidence of all reported pairs, if it is due; it replaces that of earlier reports.
    pub pairs: Option<Vec<PairEvidence>>,
    /// Number of running tasks of each kind that interferes with some kind; it replaces that of earlier reports.
    pub running: Vec<(KindId, u32)>,
}

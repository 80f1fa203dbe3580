//! Targets of a pool grouped by cost, so that placement need not visit all of them.

use std::collections::BTreeMap;

use crate::target::TargetIndex;

/// Index of a class of similar costs; lower is cheaper.
pub(crate) type CostClass = i32;

/// Width of a class on a logarithmic scale; learned speeds are not more precise than this.
const WIDTH: f64 = 0.05;

/// Returns the class of a cost.
pub(crate) fn class_of(cost: f64) -> CostClass {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the logarithm of a cost is bounded, and an out-of-range value saturates"
    )]
    let class = (cost.ln() / WIDTH).floor() as CostClass;
    class
}

/// Returns the cost in the middle of a class.
pub(crate) fn cost_of(class: CostClass) -> f64 {
    ((f64::from(class) + 0.5) * WIDTH).exp()
}

/// Where a target is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Listing {
    pub(crate) class: CostClass,
    /// Position among the targets of the class with free credits.
    pub(crate) open_at: Option<usize>,
    /// Attempts in flight that count for the class.
    pub(crate) busy: u32,
}

/// Targets of similar cost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Class {
    /// Targets with free credits, in no particular order.
    pub(crate) open: Vec<TargetIndex>,
    /// Attempts in flight on healthy targets.
    pub(crate) busy: u32,
}

/// Classes of a pool; empty ones are absent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Classes {
    classes: BTreeMap<CostClass, Class>,
}

impl Classes {
    /// Lists a target and returns where.
    pub(crate) fn insert(&mut self, target: TargetIndex, class: CostClass, open: bool, busy: u32) -> Listing {
        let row = self.classes.entry(class).or_default();
        row.busy += busy;
        let open_at = open.then(|| {
            row.open.push(target);
            row.open.len() - 1
        });
        Listing { class, open_at, busy }
    }

    /// Removes a target and returns the one that took its position, if any.
    pub(crate) fn remove(&mut self, listing: Listing) -> Option<TargetIndex> {
        let row = self.classes.get_mut(&listing.class)?;
        row.busy -= listing.busy;
        let moved = listing.open_at.and_then(|at| {
            row.open.swap_remove(at);
            row.open.get(at).copied()
        });
        if row.open.is_empty() && row.busy == 0 {
            self.classes.remove(&listing.class);
        }
        moved
    }

    /// Changes only the attempts in flight of a listed target.
    pub(crate) fn set_busy(&mut self, listing: &mut Listing, busy: u32) {
        if let Some(row) = self.classes.get_mut(&listing.class) {
            row.busy = row.busy - listing.busy + busy;
            listing.busy = busy;
        }
    }

    pub(crate) fn get(&self, class: CostClass) -> Option<&Class> {
        self.classes.get(&class)
    }

    /// Returns the classes, the cheapest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (CostClass, &Class)> {
        self.classes.iter().map(|(class, row)| (*class, row))
    }

    /// Returns all targets with free credits, the cheapest first.
    pub(crate) fn open(&self) -> impl Iterator<Item = TargetIndex> {
        self.classes.values().flat_map(|class| class.open.iter().copied())
    }
}

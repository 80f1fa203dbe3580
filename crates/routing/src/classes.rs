//! Index of a pool's targets by cost, so that placement does not scan all of them.

use std::collections::BTreeMap;

use crate::target::TargetIndex;

/// Index of a class of similar costs; lower is cheaper.
pub(crate) type CostClass = i32;

/// Width of a class on a logarithmic scale; learned speeds are no more precise than this.
const CLASS_WIDTH: f64 = 0.05;

pub(crate) fn class_of(cost: f64) -> CostClass {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the logarithm of a cost is bounded, and an out-of-range value saturates"
    )]
    let class = (cost.ln() / CLASS_WIDTH).floor() as CostClass;
    class
}

/// Returns the cost at the midpoint of a class on the logarithmic scale.
pub(crate) fn cost_of(class: CostClass) -> f64 {
    ((f64::from(class) + 0.5) * CLASS_WIDTH).exp()
}

/// Position of a target in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Listing {
    pub(crate) class: CostClass,
    /// Index in the available targets of the class; `None` without free credits.
    pub(crate) available_index: Option<usize>,
    /// Attempts in flight that are included in the count of the class.
    pub(crate) healthy_in_flight: u32,
}

/// Targets of similar cost.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassMembers {
    /// Targets with free credits, unordered.
    pub(crate) available: Vec<TargetIndex>,
    /// Attempts in flight on healthy targets.
    pub(crate) healthy_in_flight: u32,
}

/// Members of a pool by cost class; empty classes are removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CostClasses {
    classes: BTreeMap<CostClass, ClassMembers>,
}

impl CostClasses {
    /// Adds a target and returns its position.
    pub(crate) fn insert(
        &mut self,
        target: TargetIndex,
        class: CostClass,
        available: bool,
        healthy_in_flight: u32,
    ) -> Listing {
        let members = self.classes.entry(class).or_default();
        members.healthy_in_flight += healthy_in_flight;
        let available_index = available.then(|| {
            members.available.push(target);
            members.available.len() - 1
        });
        Listing {
            class,
            available_index,
            healthy_in_flight,
        }
    }

    /// Removes a target and returns the target that moved to its position, if any.
    pub(crate) fn remove(&mut self, listing: Listing) -> Option<TargetIndex> {
        let members = self.classes.get_mut(&listing.class)?;
        members.healthy_in_flight -= listing.healthy_in_flight;
        let moved = listing.available_index.and_then(|index| {
            members.available.swap_remove(index);
            members.available.get(index).copied()
        });
        if members.available.is_empty() && members.healthy_in_flight == 0 {
            self.classes.remove(&listing.class);
        }
        moved
    }

    /// Updates the attempts in flight of a target whose position does not change.
    pub(crate) fn set_healthy_in_flight(&mut self, listing: &mut Listing, healthy_in_flight: u32) {
        if let Some(members) = self.classes.get_mut(&listing.class) {
            members.healthy_in_flight =
                members.healthy_in_flight - listing.healthy_in_flight + healthy_in_flight;
            listing.healthy_in_flight = healthy_in_flight;
        }
    }

    pub(crate) fn get(&self, class: CostClass) -> Option<&ClassMembers> {
        self.classes.get(&class)
    }

    /// Iterates over the classes in ascending order of cost.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (CostClass, &ClassMembers)> {
        self.classes.iter().map(|(class, members)| (*class, members))
    }

    /// Iterates over the targets with free credits, by class in ascending order of cost.
    pub(crate) fn available(&self) -> impl Iterator<Item = TargetIndex> {
        self.classes
            .values()
            .flat_map(|class| class.available.iter().copied())
    }
}

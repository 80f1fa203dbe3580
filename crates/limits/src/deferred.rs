//! Deferred items: taken out of the round robin by the caller, but still counted as queued.

use std::time::Instant;

use chestnutfork_types::TeamName;

use crate::fair_queue::{FairQueue, Queued};

/// Deferred item.
#[derive(Clone, Debug)]
pub(crate) struct Deferred<T> {
    pub(crate) queued: Queued<T>,
    pub(crate) since: Instant,
}

/// Deferred items, in the order in which they were deferred.
#[derive(Clone, Debug)]
pub(crate) struct DeferredItems<T> {
    items: Vec<Deferred<T>>,
}

impl<T> DeferredItems<T> {
    pub(crate) fn new() -> Self {
        Self { items: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn team_len(&self, team: &str) -> usize {
        let items = self.items.iter();
        items.filter(|deferred| deferred.queued.team == team).count()
    }

    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        self.items.iter().map(|deferred| deferred.queued.deadline).min()
    }

    /// Moves the items that `keep` rejects to `removed`.
    pub(crate) fn retain(
        &mut self,
        mut keep: impl FnMut(&TeamName, Instant, &T) -> bool,
        removed: &mut Vec<T>,
    ) {
        let is_rejected = |deferred: &mut Deferred<T>| {
            !keep(
                &deferred.queued.team,
                deferred.queued.deadline,
                &deferred.queued.item,
            )
        };
        let rejected = self.items.extract_if(.., is_rejected);
        removed.extend(rejected.map(|deferred| deferred.queued.item));
    }
}

/// Deferral of items.
impl<T> FairQueue<T> {
    /// Defers the next item: takes it out of the round robin and appends it to the deferred items.
    ///
    /// A deferred item still counts as queued, expires and can be removed like the others, but `pop` does not return
    /// it. Returns false if there is no next item.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let now = Instant::now();
    /// queue.push("setters", now, 1).unwrap();
    /// queue.push("setters", now, 2).unwrap();
    /// assert!(queue.defer(now));
    /// assert_eq!((queue.deferred(0), queue.peek(), queue.len()), (Some((&1, now)), Some(&2), 2));
    /// assert_eq!(queue.remove_deferred(0).unwrap().item, 1);
    /// ```
    pub fn defer(&mut self, now: Instant) -> bool {
        self.defer_allowed(now, |_| true)
    }

    /// Defers the next item of the first team in turn that `allow` accepts.
    pub fn defer_allowed(&mut self, now: Instant, allow: impl FnMut(&str) -> bool) -> bool {
        let Some(queued) = self.pop_allowed(allow) else {
            return false;
        };
        let deadline = queued.deadline;
        self.deferred.items.push(Deferred { queued, since: now });
        self.lower_deadline_bound(deadline);
        self.restore_invariants();
        true
    }

    /// Returns the number of deferred items.
    #[must_use]
    pub fn deferred_len(&self) -> usize {
        self.deferred.len()
    }

    /// Returns a deferred item by its position, and the time at which it was deferred.
    #[must_use]
    pub fn deferred(&self, position: usize) -> Option<(&T, Instant)> {
        let deferred = self.deferred.items.get(position)?;
        Some((&deferred.queued.item, deferred.since))
    }

    /// Removes a deferred item by its position.
    pub fn remove_deferred(&mut self, position: usize) -> Option<Queued<T>> {
        if position >= self.deferred_len() {
            return None;
        }
        let queued = self.deferred.items.remove(position).queued;
        self.restore_invariants();
        Some(queued)
    }
}

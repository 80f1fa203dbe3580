//! Items that left their turn to wait for something better, but still count as queued.

use std::time::Instant;

use chestnutfork_types::TeamName;

use crate::fair_queue::{FairQueue, Queued};

/// Item that is held back.
#[derive(Clone, Debug)]
pub(crate) struct Held<T> {
    pub(crate) queued: Queued<T>,
    pub(crate) since: Instant,
}

/// Line of held items, in the order in which they were held back.
#[derive(Clone, Debug)]
pub(crate) struct Line<T> {
    items: Vec<Held<T>>,
}

impl<T> Line<T> {
    pub(crate) fn new() -> Self {
        Self { items: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn of_team(&self, team: &str) -> usize {
        let items = self.items.iter();
        items.filter(|held| held.queued.team == team).count()
    }

    pub(crate) fn earliest(&self) -> Option<Instant> {
        self.items.iter().map(|held| held.queued.deadline).min()
    }

    /// Moves the items that `keep` rejects to `removed`.
    pub(crate) fn retain(
        &mut self,
        mut keep: impl FnMut(&TeamName, Instant, &T) -> bool,
        removed: &mut Vec<T>,
    ) {
        let reject = |held: &mut Held<T>| !keep(&held.queued.team, held.queued.deadline, &held.queued.item);
        let rejected = self.items.extract_if(.., reject);
        removed.extend(rejected.map(|held| held.queued.item));
    }
}

/// Line of items that are held back.
impl<T> FairQueue<T> {
    /// Takes the next item out of its turn and appends it to the line of held items.
    ///
    /// A held item counts as queued, expires and can be removed like the others, but `pop` no longer returns it.
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

    /// Holds the next item of the first team in turn that `allow` accepts.
    pub fn defer_allowed(&mut self, now: Instant, allow: impl FnMut(&str) -> bool) -> bool {
        let Some(queued) = self.pop_allowed(allow) else {
            return false;
        };
        let deadline = queued.deadline;
        self.line.items.push(Held { queued, since: now });
        self.note_deadline(deadline);
        self.settle();
        true
    }

    /// Returns the number of held items.
    #[must_use]
    pub fn deferred_len(&self) -> usize {
        self.line.len()
    }

    /// Returns a held item by its place in the line, and since when it is held.
    #[must_use]
    pub fn deferred(&self, place: usize) -> Option<(&T, Instant)> {
        let held = self.line.items.get(place)?;
        Some((&held.queued.item, held.since))
    }

    /// Removes a held item by its place in the line.
    pub fn remove_deferred(&mut self, place: usize) -> Option<Queued<T>> {
        if place >= self.deferred_len() {
            return None;
        }
        let queued = self.line.items.remove(place).queued;
        self.settle();
        Some(queued)
    }
}

//! Removal of expired and cancelled items.

use std::time::Instant;

use chestnutfork_types::TeamName;

use crate::fair_queue::FairQueue;

/// Removal of items regardless of turns.
impl<T> FairQueue<T> {
    /// Moves all items whose deadline is at or before `now` to `out`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let now = Instant::now();
    /// queue.push("setters", now, 1).unwrap();
    /// queue.push("setters", now + Duration::from_secs(1), 2).unwrap();
    /// let mut expired = Vec::new();
    /// queue.expire(now, &mut expired);
    /// assert_eq!(expired, [1]);
    /// ```
    pub fn expire(&mut self, now: Instant, out: &mut Vec<T>) {
        if self.deadline_bound.is_none_or(|bound| bound > now) {
            return;
        }
        for index in 0..self.teams.len() {
            let items = &mut self.teams[index].items;
            while let Some(first) = items.first_entry().filter(|first| first.key().0 <= now) {
                out.push(first.remove());
                self.len -= 1;
            }
            self.clear_turn_if_empty(index);
        }
        self.deferred.retain(|_, deadline, _| deadline > now, out);
        self.deadline_bound = self.earliest_deadline();
        self.restore_invariants();
    }

    /// Moves all items that `keep` rejects to `removed`, in time proportional to the length of the queue.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// for item in 0..4 {
    ///     queue.push("setters", Instant::now(), item).unwrap();
    /// }
    /// let mut removed = Vec::new();
    /// queue.retain(|item| item % 2 == 0, &mut removed);
    /// assert_eq!(removed, [1, 3]);
    /// ```
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool, removed: &mut Vec<T>) {
        let before = removed.len();
        for index in 0..self.teams.len() {
            let items = &mut self.teams[index].items;
            removed.extend(items.extract_if(.., |_, item| !keep(item)).map(|(_, item)| item));
            self.clear_turn_if_empty(index);
        }
        self.len -= removed.len() - before;
        self.deferred.retain(|_, _, item| keep(item), removed);
        self.restore_invariants();
    }

    /// Moves the items of one team and deadline that `keep` rejects to `removed`.
    ///
    /// All tasks of a job share team and deadline, so each of many cancellations visits the cancelled job and not the
    /// whole queue.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let deadline = Instant::now();
    /// queue.push("setters", deadline, 1).unwrap();
    /// queue.push("auditors", deadline, 2).unwrap();
    /// let mut removed = Vec::new();
    /// queue.retain_at("setters", deadline, |_| false, &mut removed);
    /// assert_eq!((removed.as_slice(), queue.len()), ([1].as_slice(), 1));
    /// ```
    pub fn retain_at(
        &mut self,
        team: &str,
        deadline: Instant,
        mut keep: impl FnMut(&T) -> bool,
        removed: &mut Vec<T>,
    ) {
        let Some(index) = self.teams.get_index_of(team) else {
            return;
        };
        let is_other = |item_team: &TeamName, item_deadline| item_team != team || item_deadline != deadline;
        self.deferred.retain(
            |item_team, item_deadline, item| is_other(item_team, item_deadline) || keep(item),
            removed,
        );
        let before = removed.len();
        let range = (deadline, i64::MIN)..=(deadline, i64::MAX);
        let items = &mut self.teams[index].items;
        removed.extend(
            items
                .extract_if(range, |_, item| !keep(item))
                .map(|(_, item)| item),
        );
        self.len -= removed.len() - before;
        self.clear_turn_if_empty(index);
        self.restore_invariants();
    }
}

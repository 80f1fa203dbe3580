//! Bounded queue with deficit round robin over teams and earliest deadline first within a team.

use std::collections::BTreeMap;
use std::time::Instant;

use chestnutfork_types::TeamName;
use indexmap::IndexMap;

use crate::deferred::DeferredItems;
use crate::team_queue::{Rank, TeamQueue, Turn};
use crate::violation::Violation;

/// Item that was removed from the queue, with the data to requeue it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// Team that the item belongs to.
    pub team: TeamName,
    /// Time at which the item expires.
    pub deadline: Instant,
    /// Queued item.
    pub item: T,
}

/// Bounded queue that is fair between teams and deadline-ordered within a team.
///
/// Each item costs one unit of deficit. Pushing and popping take time logarithmic in the length. The state of a team is
/// retained after its last item has left, because the configuration bounds the number of teams.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    /// Number of items in the queues of the teams, without the deferred ones.
    pub(crate) len: usize,
    pub(crate) deferred: DeferredItems<T>,
    pub(crate) teams: IndexMap<TeamName, TeamQueue<T>>,
    /// Indices of the teams with items, in the order of their turns.
    turns: BTreeMap<Turn, usize>,
    /// Next number for an arrival or a turn at the back; increases from 0.
    next_back: i64,
    /// Next number for a requeued item or its team's turn at the front; decreases from -1.
    next_front: i64,
    /// Lower bound of all deadlines, so that `expire` is cheap while no item is due.
    pub(crate) deadline_bound: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for at most `capacity` items.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let queue: FairQueue<u32> = FairQueue::new(100);
    /// assert!(queue.is_empty());
    /// ```
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            deferred: DeferredItems::new(),
            teams: IndexMap::new(),
            turns: BTreeMap::new(),
            next_back: 0,
            next_front: -1,
            deadline_bound: None,
        }
    }

    /// Sets the capacity; items above a lowered capacity stay queued.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue: FairQueue<u32> = FairQueue::new(100);
    /// queue.set_capacity(50);
    /// assert_eq!(queue.remaining_capacity(), 50);
    /// ```
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Sets how many items a team may pop per turn; zero counts as one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let deadline = Instant::now();
    /// queue.set_weight("a", 2);
    /// for item in 0..3 {
    ///     queue.push("a", deadline, item).unwrap();
    /// }
    /// queue.push("b", deadline, 9).unwrap();
    /// let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|queued| queued.item).collect();
    /// assert_eq!(order, [0, 1, 9, 2]);
    /// ```
    pub fn set_weight(&mut self, team: &str, weight: u32) {
        let index = self.team_index(team);
        self.teams[index].weight = weight.max(1);
    }

    /// Adds an item to the queue of its team.
    ///
    /// # Errors
    ///
    /// Returns the item if the queue is full.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(1);
    /// assert_eq!(queue.push("setters", Instant::now(), 1), Ok(()));
    /// assert_eq!(queue.push("setters", Instant::now(), 2), Err(2));
    /// ```
    pub fn push(&mut self, team: &str, deadline: Instant, item: T) -> Result<(), T> {
        if self.len() >= self.capacity {
            return Err(item);
        }
        let index = self.team_index(team);
        let rank = (deadline, self.next_back);
        self.next_back += 1;
        self.insert(index, rank, item);
        if self.teams[index].turn.is_none() {
            let turn = self.next_back;
            self.next_back += 1;
            self.set_turn(index, Some(turn));
        }
        self.restore_invariants();
        Ok(())
    }

    /// Removes the next item, which is the one with the earliest deadline of the team whose turn it is.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let now = Instant::now();
    /// queue.push("setters", now + Duration::from_secs(2), "late").unwrap();
    /// queue.push("setters", now + Duration::from_secs(1), "early").unwrap();
    /// assert_eq!(queue.pop().unwrap().item, "early");
    /// ```
    pub fn pop(&mut self) -> Option<Queued<T>> {
        self.pop_allowed(|_| true)
    }

    /// Removes the next item of the first team in turn that `allow` accepts.
    ///
    /// Teams that `allow` rejects, for example because their quota is exhausted, keep their turn.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// queue.push("setters", Instant::now(), 1).unwrap();
    /// queue.push("auditors", Instant::now(), 2).unwrap();
    /// assert_eq!(queue.pop_allowed(|team| team != "setters").unwrap().item, 2);
    /// assert!(queue.pop_allowed(|_| false).is_none());
    /// ```
    pub fn pop_allowed(&mut self, allow: impl FnMut(&str) -> bool) -> Option<Queued<T>> {
        let index = self.first_allowed(allow)?;
        let (name, team) = self.teams.get_index_mut(index)?;
        let ((deadline, _), item) = team.items.pop_first()?;
        let name = name.clone();
        // A team that is served ahead of rejected teams starts its turn here.
        if team.deficit == 0 {
            team.deficit = team.weight;
        }
        team.deficit -= 1;
        let turn_ended = team.deficit == 0;
        self.len -= 1;
        if turn_ended {
            let turn = self.next_back;
            self.next_back += 1;
            self.set_turn(index, Some(turn));
        }
        self.clear_turn_if_empty(index);
        self.restore_invariants();
        Some(Queued {
            team: name,
            deadline,
            item,
        })
    }

    /// Returns the item that `pop` would remove.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// queue.push("setters", Instant::now(), 7).unwrap();
    /// assert_eq!(queue.peek(), Some(&7));
    /// ```
    #[must_use]
    pub fn peek(&self) -> Option<&T> {
        self.peek_allowed(|_| true)
    }

    /// Returns the item that `pop_allowed` would remove.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// queue.push("setters", Instant::now(), 7).unwrap();
    /// assert_eq!(queue.peek_allowed(|team| team == "auditors"), None);
    /// ```
    #[must_use]
    pub fn peek_allowed(&self, allow: impl FnMut(&str) -> bool) -> Option<&T> {
        let index = self.first_allowed(allow)?;
        let (_, item) = self.teams[index].items.first_key_value()?;
        Some(item)
    }

    /// Returns a popped item to the queue, ahead of items with the same deadline, and gives its team the first turn.
    ///
    /// The item was accepted before, so it is accepted again even if the queue is full.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// queue.push("setters", Instant::now(), 7).unwrap();
    /// let queued = queue.pop().unwrap();
    /// queue.requeue(queued);
    /// assert_eq!(queue.peek(), Some(&7));
    /// ```
    pub fn requeue(&mut self, queued: Queued<T>) {
        let index = self.team_index(&queued.team);
        let rank = (queued.deadline, self.next_front);
        self.next_front -= 1;
        self.insert(index, rank, queued.item);
        let team = &mut self.teams[index];
        team.deficit = team.deficit.saturating_add(1);
        let turn = self.next_front;
        self.next_front -= 1;
        self.set_turn(index, Some(turn));
        self.restore_invariants();
    }

    /// Returns the first team in turn that `allow` accepts.
    fn first_allowed(&self, mut allow: impl FnMut(&str) -> bool) -> Option<usize> {
        let mut in_turn = self.turns.values().copied();
        in_turn.find(|&index| {
            let (name, _) = self.teams.get_index(index).expect("a turn belongs to a team");
            allow(name)
        })
    }

    /// Returns the number of queued items, deferred ones included.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let deadline = Instant::now();
    /// queue.push("setters", deadline, 7).unwrap();
    /// assert_eq!(queue.len(), 1);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.len + self.deferred.len()
    }

    /// Reports whether no item is queued or deferred.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many items `push` would still accept.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let deadline = Instant::now();
    /// queue.push("setters", deadline, 7).unwrap();
    /// assert_eq!(queue.remaining_capacity(), 9);
    /// ```
    #[must_use]
    pub fn remaining_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.len())
    }

    /// Returns the number of queued items of a team, deferred ones included.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let deadline = Instant::now();
    /// queue.push("setters", deadline, 7).unwrap();
    /// assert_eq!((queue.team_len("setters"), queue.team_len("auditors")), (1, 0));
    /// ```
    #[must_use]
    pub fn team_len(&self, team: &str) -> usize {
        let in_turn = self.teams.get(team).map_or(0, |team| team.items.len());
        in_turn + self.deferred.team_len(team)
    }

    /// Returns the number of teams with queued items that are not deferred.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let deadline = Instant::now();
    /// queue.push("setters", deadline, 7).unwrap();
    /// assert_eq!(queue.active_teams(), 1);
    /// ```
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.turns.len()
    }

    /// Returns a time before which no item expires, for the caller's timer.
    ///
    /// The time may be earlier than the earliest deadline until the next call of `expire`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let mut queue = FairQueue::new(10);
    /// let deadline = Instant::now();
    /// queue.push("setters", deadline, 7).unwrap();
    /// assert_eq!(queue.next_deadline(), Some(deadline));
    /// ```
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadline_bound
    }

    /// Checks the invariants of the queue in time proportional to the number of teams.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::FairQueue;
    ///
    /// let queue: FairQueue<u32> = FairQueue::new(100);
    /// assert_eq!(queue.verify(), Ok(()));
    /// ```
    pub fn verify(&self) -> Result<(), Violation> {
        let queued = self.teams.values().map(|team| team.items.len()).sum();
        if queued != self.len {
            return Err(Violation::QueueLength {
                stored: self.len,
                queued,
            });
        }
        for (index, (name, team)) in self.teams.iter().enumerate() {
            self.verify_team(index, name, team)?;
        }
        let deferred = self.deferred.earliest_deadline();
        if deferred.is_some_and(|deferred| self.deadline_bound.is_none_or(|bound| bound > deferred)) {
            return Err(Violation::DeferredDeadline);
        }
        let first = self.turns.first_key_value();
        if let Some((_, &index)) = first
            && self.teams[index].deficit == 0
        {
            let team = self.teams.get_index(index).map(|(name, _)| name.clone());
            return Err(Violation::QueueDeficit {
                team: team.unwrap_or_default(),
            });
        }
        Ok(())
    }

    fn verify_team(&self, index: usize, name: &TeamName, team: &TeamQueue<T>) -> Result<(), Violation> {
        let has_turn = team.turn.and_then(|turn| self.turns.get(&turn)) == Some(&index);
        if has_turn == team.items.is_empty() || has_turn != team.turn.is_some() {
            return Err(Violation::QueueTurn {
                team: name.clone(),
                queued: team.items.len(),
            });
        }
        let first = team.items.first_key_value().map(|((deadline, _), _)| *deadline);
        if first.is_some_and(|first| self.deadline_bound.is_none_or(|bound| bound > first)) {
            return Err(Violation::QueueDeadline { team: name.clone() });
        }
        Ok(())
    }

    fn team_index(&mut self, team: &str) -> usize {
        match self.teams.get_index_of(team) {
            Some(index) => index,
            None => self.teams.insert_full(team.to_owned(), TeamQueue::default()).0,
        }
    }

    fn insert(&mut self, index: usize, rank: Rank, item: T) {
        let (deadline, _) = rank;
        self.teams[index].items.insert(rank, item);
        self.len += 1;
        self.lower_deadline_bound(deadline);
    }

    pub(crate) fn lower_deadline_bound(&mut self, deadline: Instant) {
        let bound = self.deadline_bound.map_or(deadline, |bound| bound.min(deadline));
        self.deadline_bound = Some(bound);
    }

    fn set_turn(&mut self, index: usize, turn: Option<Turn>) {
        let previous = std::mem::replace(&mut self.teams[index].turn, turn);
        if let Some(previous) = previous {
            self.turns.remove(&previous);
        }
        if let Some(turn) = turn {
            self.turns.insert(turn, index);
        }
    }

    /// Removes a team without items from the round robin; an idle team accumulates no deficit.
    pub(crate) fn clear_turn_if_empty(&mut self, index: usize) {
        if self.teams[index].items.is_empty() {
            self.teams[index].deficit = 0;
            self.set_turn(index, None);
        }
    }

    /// Restores the invariants after an operation.
    ///
    /// The first team in turn has a deficit, and an empty queue has no bound on deadlines.
    pub(crate) fn restore_invariants(&mut self) {
        if self.is_empty() {
            self.deadline_bound = None;
        }
        if let Some((_, &index)) = self.turns.first_key_value() {
            let team = &mut self.teams[index];
            if team.deficit == 0 {
                team.deficit = team.weight;
            }
        }
        debug_assert_eq!(self.verify(), Ok(()));
    }

    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        let firsts = self
            .teams
            .values()
            .filter_map(|team| team.items.first_key_value());
        let in_turn = firsts.map(|((deadline, _), _)| *deadline);
        in_turn.chain(self.deferred.earliest_deadline()).min()
    }
}

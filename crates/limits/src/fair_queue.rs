//! Bounded queue with deficit round robin over teams and earliest deadline first within a team.

use std::collections::BTreeMap;
use std::time::Instant;

use chestnutfork_types::TeamName;
use indexmap::IndexMap;

use crate::held::Line;
use crate::team_queue::{Rank, TeamQueue, Turn};
use crate::violation::Violation;

/// Item that left the queue, with what is needed to put it back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// Team that the item belongs to.
    pub team: TeamName,
    /// Time after which the item is useless.
    pub deadline: Instant,
    /// Queued item.
    pub item: T,
}

/// Bounded queue that is fair between teams and deadline-ordered within a team.
///
/// Every item costs one unit of deficit. Pushing and popping cost a logarithm of the length. Teams are remembered
/// after their last item has left, because their number is bounded by the configuration.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    max: usize,
    /// Items that wait for their turn.
    pub(crate) len: usize,
    /// Items that are held back.
    pub(crate) line: Line<T>,
    pub(crate) teams: IndexMap<TeamName, TeamQueue<T>>,
    /// Teams with items, in the order of their turns.
    turns: BTreeMap<Turn, usize>,
    next_back: i64,
    next_front: i64,
    /// Lower bound of all queued deadlines, so that `expire` is cheap while nothing is due.
    pub(crate) earliest: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for at most `max` items.
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
    pub fn new(max: usize) -> Self {
        Self {
            max,
            len: 0,
            line: Line::new(),
            teams: IndexMap::new(),
            turns: BTreeMap::new(),
            next_back: 0,
            next_front: -1,
            earliest: None,
        }
    }

    /// Changes the bound; items above a lowered bound stay queued.
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
    pub fn set_capacity(&mut self, max: usize) {
        self.max = max;
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

    /// Appends an item to those of its team.
    ///
    /// # Errors
    ///
    /// Gives the item back if the queue is full.
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
        if self.len() >= self.max {
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
        self.settle();
        Ok(())
    }

    /// Removes the next item: of the team whose turn it is, the one with the earliest deadline.
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
    /// Teams that `allow` rejects, for example because their quota is used up, keep their turn.
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
        // A team that overtakes rejected ones begins its turn here.
        if team.deficit == 0 {
            team.deficit = team.weight;
        }
        team.deficit -= 1;
        let spent = team.deficit == 0;
        self.len -= 1;
        if spent {
            let turn = self.next_back;
            self.next_back += 1;
            self.set_turn(index, Some(turn));
        }
        self.drop_turn_if_empty(index);
        self.settle();
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

    /// Puts a popped item back in front of its equals, and its team back to the first turn.
    ///
    /// A requeued item was admitted before, so it is accepted even if the queue is full.
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
        self.settle();
    }

    /// Returns the first team in turn that `allow` accepts.
    fn first_allowed(&self, mut allow: impl FnMut(&str) -> bool) -> Option<usize> {
        let mut in_turn = self.turns.values().copied();
        in_turn.find(|&index| {
            let (name, _) = self.teams.get_index(index).expect("a turn belongs to a team");
            allow(name)
        })
    }

    /// Returns the number of queued items, held ones included.
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
        self.len + self.line.len()
    }

    /// Reports whether nothing is queued or held.
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
        self.max.saturating_sub(self.len())
    }

    /// Returns the number of items that a team has queued.
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
        let waiting = self.teams.get(team).map_or(0, |team| team.items.len());
        waiting + self.line.of_team(team)
    }

    /// Returns the number of teams with queued items.
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
    /// It may lie before the earliest deadline; `expire` then corrects it.
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
        self.earliest
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
        let held = self.teams.values().map(|team| team.items.len()).sum();
        if held != self.len {
            return Err(Violation::QueueLength {
                stored: self.len,
                held,
            });
        }
        for (index, (name, team)) in self.teams.iter().enumerate() {
            self.verify_team(index, name, team)?;
        }
        let held = self.line.earliest();
        if held.is_some_and(|held| self.earliest.is_none_or(|earliest| earliest > held)) {
            return Err(Violation::HeldDeadline);
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
        let listed = team.turn.and_then(|turn| self.turns.get(&turn)) == Some(&index);
        if listed == team.items.is_empty() || listed != team.turn.is_some() {
            return Err(Violation::QueueTurn {
                team: name.clone(),
                held: team.items.len(),
            });
        }
        let first = team.items.first_key_value().map(|((deadline, _), _)| *deadline);
        if first.is_some_and(|first| self.earliest.is_none_or(|earliest| earliest > first)) {
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
        self.note_deadline(deadline);
    }

    pub(crate) fn note_deadline(&mut self, deadline: Instant) {
        let earliest = self.earliest.map_or(deadline, |earliest| earliest.min(deadline));
        self.earliest = Some(earliest);
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

    /// Ends the turns of a team without items; an idle team saves no deficit.
    pub(crate) fn drop_turn_if_empty(&mut self, index: usize) {
        if self.teams[index].items.is_empty() {
            self.teams[index].deficit = 0;
            self.set_turn(index, None);
        }
    }

    /// Restores what every operation leaves behind: the first team in turn can pay, an empty queue has no deadline.
    pub(crate) fn settle(&mut self) {
        if self.is_empty() {
            self.earliest = None;
        }
        if let Some((_, &index)) = self.turns.first_key_value() {
            let team = &mut self.teams[index];
            if team.deficit == 0 {
                team.deficit = team.weight;
            }
        }
        debug_assert_eq!(self.verify(), Ok(()));
    }

    pub(crate) fn first_deadline(&self) -> Option<Instant> {
        let firsts = self
            .teams
            .values()
            .filter_map(|team| team.items.first_key_value());
        let waiting = firsts.map(|((deadline, _), _)| *deadline);
        waiting.chain(self.line.earliest()).min()
    }
}

//! Entry views and the rule by which control changes them.

use std::time::Duration;

use chestnutfork_types::{ProcessId, ViewNumber};

/// Numbered list of the entries that hold the register.
///
/// A view whose members differ from those of the view before is *unsettled*: its members may hold different records. In
/// an unsettled view a vote needs all survivors of the last settled view, because a record of that view may be held by
/// only one of them. Once all members have copied from the survivors, control commits the same members as settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Number of the view; it only rises.
    pub number: ViewNumber,
    /// Entries that vote.
    pub members: Vec<ProcessId>,
    /// Entries that copy the register and do not vote yet.
    pub learners: Vec<ProcessId>,
    /// Time at or below which job ids are answered as unknown, after more copies were lost than allowed.
    pub floor: Option<Duration>,
    /// Whether every member holds every record that was granted before this view.
    pub settled: bool,
    /// Number of members of the last settled view.
    pub settled_size: usize,
    /// Members of the last settled view that have been members ever since.
    pub survivors: Vec<ProcessId>,
}

/// Returns the size of a majority of `count` members.
fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns the elements of `list` that are also in `other`, in the order of `list`.
fn common(list: &[ProcessId], other: &[ProcessId]) -> Vec<ProcessId> {
    list.iter().copied().filter(|id| other.contains(id)).collect()
}

impl View {
    /// Builds a settled view of members that have no register before it.
    ///
    /// # Examples
    ///
    /// ```
    /// let view = chestnutfork_register::View::initial(1, vec![10, 20, 30]);
    /// assert_eq!(view.quorum_size(), 2);
    /// ```
    #[must_use]
    pub fn initial(number: ViewNumber, members: Vec<ProcessId>) -> Self {
        Self {
            number,
            learners: Vec::new(),
            floor: None,
            settled: true,
            settled_size: members.len(),
            survivors: members.clone(),
            members,
        }
    }

    /// Returns the size of a majority of the members.
    #[must_use]
    pub fn quorum_size(&self) -> usize {
        majority(self.members.len())
    }

    /// Reports whether the votes of `voters`, each a different member, decide.
    #[must_use]
    pub fn is_quorum(&self, voters: &[ProcessId]) -> bool {
        let survivors = self.settled || self.survivors.iter().all(|id| voters.contains(id));
        survivors && voters.len() >= self.quorum_size()
    }

    /// Returns the next view, if the entries that are alive or have copied call for one.
    ///
    /// `alive` lists the entries with a lease, `synced` those that reported [`Action::Synced`](crate::Action::Synced) for
    /// this view, and `floor` is the floor to set if the register is lost: the clock of the control leader plus 12 s.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_register::View;
    ///
    /// let view = View::initial(1, vec![10, 20, 30]);
    /// let next = view.next(&[10, 20, 40], &[], Duration::ZERO).unwrap();
    /// assert_eq!((next.members, next.learners, next.settled), (vec![10, 20], vec![40], false));
    /// ```
    #[must_use]
    pub fn next(&self, alive: &[ProcessId], synced: &[ProcessId], floor: Duration) -> Option<Self> {
        if alive.is_empty() {
            return None;
        }
        let survivors = common(&self.survivors, alive);
        if survivors.len() + majority(self.settled_size) <= self.settled_size {
            return Some(self.lost(alive, floor));
        }
        let mut members = common(&self.members, alive);
        members.extend(common(&common(&self.learners, alive), synced));
        let learners: Vec<ProcessId> = alive.iter().copied().filter(|id| !members.contains(id)).collect();
        let mut next = Self {
            number: self.number + 1,
            learners,
            survivors,
            ..self.clone()
        };
        if members != self.members {
            next.settled = false;
            next.members = members;
        } else if !self.settled && members.iter().all(|id| synced.contains(id)) {
            next.settled = true;
            next.settled_size = members.len();
            next.survivors = members;
        } else if next.learners == self.learners {
            return None;
        }
        Some(next)
    }

    /// Starts over without the records of earlier views; their job ids are answered as unknown.
    fn lost(&self, alive: &[ProcessId], floor: Duration) -> Self {
        Self {
            floor: self.floor.max(Some(floor)),
            ..Self::initial(self.number + 1, alive.to_vec())
        }
    }
}

//! Entry views and the rule by which control derives the next view.

use std::time::Duration;

use chestnutfork_types::{ProcessId, ViewNumber};

/// Numbered list of the entries that replicate the register.
///
/// A view whose members differ from those of the previous view is *unsettled*: some members may lack records. The
/// *survivors* are the members of the last settled view that have remained members. A quorum of an unsettled view must
/// include all survivors, because a record of the last settled view may be stored at only one of them. Once every
/// member has copied the records of the survivors, control commits a settled view with the same members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Number of the view; each view has a larger number than the previous one.
    pub number: ViewNumber,
    /// Entries that vote.
    pub members: Vec<ProcessId>,
    /// Entries that copy the register before they become members.
    pub learners: Vec<ProcessId>,
    /// Time at or below which the outcome of job ids is unknown, set when too many replicas were lost.
    pub floor: Option<Duration>,
    /// Whether every member has every claim that was granted before this view.
    pub settled: bool,
    /// Number of members of the last settled view.
    pub settled_size: usize,
    /// Members of the last settled view that have been members ever since.
    pub survivors: Vec<ProcessId>,
}

fn majority_of(count: usize) -> usize {
    count / 2 + 1
}

/// Returns the elements of `list` that are also in `other`, in the order of `list`.
fn common(list: &[ProcessId], other: &[ProcessId]) -> Vec<ProcessId> {
    list.iter().copied().filter(|id| other.contains(id)).collect()
}

impl View {
    /// Creates a settled view whose members start without records.
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
        majority_of(self.members.len())
    }

    /// Reports whether `voters` form a quorum.
    ///
    /// Each voter must be a member and be listed once.
    #[must_use]
    pub fn is_quorum(&self, voters: &[ProcessId]) -> bool {
        let has_survivors = self.settled || self.survivors.iter().all(|id| voters.contains(id));
        has_survivors && voters.len() >= self.quorum_size()
    }

    /// Returns the next view if `alive` or `synced` requires a change.
    ///
    /// `alive` lists the entries with a lease. `synced` lists the entries that reported
    /// [`Action::Synced`](crate::Action::Synced) for this view. `floor` is the floor to set if too many survivors are
    /// lost: the clock of the control leader plus 12 s.
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
        if survivors.len() + majority_of(self.settled_size) <= self.settled_size {
            return Some(self.reset(alive, floor));
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

    /// Returns a view without the records of earlier views; the outcome of their jobs is unknown.
    fn reset(&self, alive: &[ProcessId], floor: Duration) -> Self {
        Self {
            floor: self.floor.max(Some(floor)),
            ..Self::initial(self.number + 1, alive.to_vec())
        }
    }
}

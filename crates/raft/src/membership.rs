//! Membership of a Raft group, quorums, and changes that keep consecutive quorums overlapping.

use chestnutfork_types::ReplicaId;
use thiserror::Error;

/// Replacement of a voter by a new replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// Voter to remove.
    pub remove: ReplicaId,
    /// New replica to promote to voter.
    pub add: ReplicaId,
}

/// Members of a Raft group, in effect from a log index on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// Replicas that vote and count towards the quorum, sorted by id.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log but neither vote nor count towards the quorum, sorted by id.
    pub learners: Vec<ReplicaId>,
    /// Replacement in progress, which the leader advances step by step.
    pub replacement: Option<VoterReplacement>,
}

/// Membership change that an operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not vote.
    AddLearner(ReplicaId),
    /// Promotes a learner to voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
    /// Adds a learner, promotes it once it has caught up, and removes the replaced voter.
    Replace(VoterReplacement),
}

/// Reason why a membership change is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MembershipChangeError {
    /// The replica to add is already a voter or learner.
    #[error("replica {0:016x} is already a member; use the id of a newly formatted data folder")]
    AlreadyMember(ReplicaId),
    /// The replica is neither a voter nor a learner.
    #[error("replica {0:016x} is not a member; list the members with `chestnutfork status`")]
    NotMember(ReplicaId),
    /// The replica to replace is not a voter.
    #[error("replica {0:016x} is not a voter; list the members with `chestnutfork status`")]
    NotVoter(ReplicaId),
    /// The change would leave the group without a voter.
    #[error("replica {0:016x} is the last voter; add another voter first")]
    LastVoter(ReplicaId),
    /// Another membership change is in progress.
    #[error("another membership change is in progress; retry after it completes")]
    InProgress,
}

impl Membership {
    /// Creates a membership of voters only.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_raft::Membership;
    ///
    /// let members = Membership::from_voters([3, 1, 2]);
    /// assert_eq!(members.voters, [1, 2, 3]);
    /// assert_eq!(members.quorum(), 2);
    /// ```
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        let mut voters: Vec<ReplicaId> = voters.into_iter().collect();
        voters.sort_unstable();
        voters.dedup();
        Self {
            voters,
            ..Self::default()
        }
    }

    /// Returns the number of voters that form a majority.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_raft::Membership;
    ///
    /// assert_eq!(Membership::from_voters([1, 2, 3, 4]).quorum(), 3);
    /// ```
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the replica is a voter.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_raft::Membership;
    ///
    /// assert!(Membership::from_voters([1]).is_voter(1));
    /// ```
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.binary_search(&id).is_ok()
    }

    /// Returns whether the replica is a voter or a learner.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_raft::Membership;
    ///
    /// assert!(!Membership::from_voters([1]).contains(2));
    /// ```
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(&id)
    }

    /// Returns an iterator over the voters, followed by the learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the membership after a change.
    ///
    /// Each step adds or removes at most one voter, so every majority before the step overlaps every majority after
    /// it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is not valid for this membership.
    pub fn with_change(&self, change: MembershipChange) -> Result<Self, MembershipChangeError> {
        if let Some(replacement) = self.replacement {
            return self.with_change_during_replacement(replacement, change);
        }
        match change {
            MembershipChange::AddLearner(id) => self.with_learner(id),
            MembershipChange::Promote(id) => self.with_promoted(id),
            MembershipChange::Remove(id) => self.without(id),
            MembershipChange::Replace(replacement) => self.with_replacement(replacement),
        }
    }

    /// Returns the membership after the next step of the replacement in progress, if any.
    ///
    /// An inactive voter is removed before the promotion. If it stayed as a fourth voter, the loss of the new replica
    /// before the last step would leave two of four voters, which is no quorum.
    pub(crate) fn next_replacement_step(&self, remove_first: bool) -> Option<Self> {
        let replacement = self.replacement?;
        let promotes = self.learners.contains(&replacement.add);
        let removes = self.is_voter(replacement.remove);
        let mut next = self.clone();
        if promotes && !(removes && remove_first) {
            next = next.with_promoted(replacement.add).ok()?;
        } else {
            next.voters.retain(|&id| id != replacement.remove);
        }
        if !(promotes && removes) {
            next.replacement = None;
        }
        Some(next)
    }

    /// Returns the membership after a change during a replacement. While the new replica is a learner, the
    /// replacement can be cancelled or redirected to another new replica; all other changes are refused.
    ///
    /// Without these two changes, the loss of the new replica would block every later membership change.
    fn with_change_during_replacement(
        &self,
        replacement: VoterReplacement,
        change: MembershipChange,
    ) -> Result<Self, MembershipChangeError> {
        if !self.learners.contains(&replacement.add) {
            return Err(MembershipChangeError::InProgress);
        }
        let mut cancelled = self.without(replacement.add)?;
        cancelled.replacement = None;
        match change {
            MembershipChange::Remove(id) if id == replacement.add => Ok(cancelled),
            MembershipChange::Replace(other) if other.remove == replacement.remove => {
                let mut next = cancelled.with_learner(other.add)?;
                next.replacement = Some(other);
                Ok(next)
            }
            _ => Err(MembershipChangeError::InProgress),
        }
    }

    fn with_learner(&self, id: ReplicaId) -> Result<Self, MembershipChangeError> {
        if self.contains(id) {
            return Err(MembershipChangeError::AlreadyMember(id));
        }
        let mut next = self.clone();
        next.learners.push(id);
        next.learners.sort_unstable();
        Ok(next)
    }

    fn with_promoted(&self, id: ReplicaId) -> Result<Self, MembershipChangeError> {
        if !self.learners.contains(&id) {
            return Err(MembershipChangeError::NotMember(id));
        }
        let mut next = self.clone();
        next.learners.retain(|&learner| learner != id);
        next.voters.push(id);
        next.voters.sort_unstable();
        Ok(next)
    }

    fn without(&self, id: ReplicaId) -> Result<Self, MembershipChangeError> {
        if !self.contains(id) {
            return Err(MembershipChangeError::NotMember(id));
        }
        if self.voters == [id] {
            return Err(MembershipChangeError::LastVoter(id));
        }
        let mut next = self.clone();
        next.voters.retain(|&voter| voter != id);
        next.learners.retain(|&learner| learner != id);
        Ok(next)
    }

    fn with_replacement(&self, replacement: VoterReplacement) -> Result<Self, MembershipChangeError> {
        if !self.is_voter(replacement.remove) {
            return Err(MembershipChangeError::NotVoter(replacement.remove));
        }
        let mut next = if self.learners.contains(&replacement.add) {
            self.clone()
        } else {
            self.with_learner(replacement.add)?
        };
        next.replacement = Some(replacement);
        Ok(next)
    }
}

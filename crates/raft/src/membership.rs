//! Member sets, quorums and the changes that keep quorums overlapping.

use chestnutfork_types::ReplicaId;
use thiserror::Error;

/// Replacement of a voter by a new replica, in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// Voter that leaves.
    pub remove: ReplicaId,
    /// Replica that takes its place.
    pub add: ReplicaId,
}

/// Members of the group in force from one log position on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// Replicas that vote and count for the quorum, sorted.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log but do not count, sorted.
    pub learners: Vec<ReplicaId>,
    /// Replacement that the leader carries on step by step.
    pub replacement: Option<VoterReplacement>,
}

/// Change of the members that an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without a vote.
    AddLearner(ReplicaId),
    /// Turns a learner into a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
    /// Adds a learner, promotes it once it has caught up, then removes the replaced voter.
    Replace(VoterReplacement),
}

/// Reason why a change of the members is not possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MembershipChangeError {
    /// The replica is a member already.
    #[error("replica {0:016x} is a member already; name the id of a newly formatted data folder")]
    AlreadyMember(ReplicaId),
    /// The replica is not a member.
    #[error("replica {0:016x} is not a member; list the members with `chestnutfork status`")]
    NotMember(ReplicaId),
    /// The replica does not vote.
    #[error("replica {0:016x} is not a voter; list the members with `chestnutfork status`")]
    NotVoter(ReplicaId),
    /// The change would leave the group without a voter.
    #[error("replica {0:016x} is the last voter; add another one first")]
    LastVoter(ReplicaId),
    /// Another change is not finished.
    #[error("another membership change is in progress; retry when it is finished")]
    InProgress,
}

impl Membership {
    /// Builds a member set of voters only.
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

    /// Reports whether the replica votes.
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

    /// Reports whether the replica is a voter or a learner.
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

    /// Iterates over voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the member set after a change.
    ///
    /// Each step adds or removes at most one voter, so any majority before it overlaps any majority after it.
    ///
    /// # Errors
    ///
    /// Returns why the change does not apply to these members.
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

    /// Returns the next step of the replacement in progress, if there is one.
    ///
    /// A dead voter is removed before the promotion: with it as a fourth voter, the loss of the new replica
    /// before the last step would leave two of four voters and no quorum.
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

    /// Allows only to cancel a replacement, or to name another new replica, while the new one is a learner.
    ///
    /// Without this, the loss of the new replica would block every later change.
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

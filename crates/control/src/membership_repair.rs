//! Membership that repairs itself: the leader gives the place of a lost voter to a process that presents itself.
//!
//! A process whose disk was lost comes back under a new id, which no member set names, so it cannot vote as the replica
//! that it was. It only gets a place by a committed change of the member set.

use std::time::{Duration, Instant};

use chestnutfork_raft::{Membership, MembershipChange, VoterReplacement};
use chestnutfork_types::ReplicaId;
use indexmap::IndexMap;

use crate::core::ControlCore;
use crate::message::{Notice, Output};

/// Silence after which a voter loses its place to another process. Shorter pauses are common, and a voter that returns
/// from one has the log; a process with the same name replaces it at once.
const LOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Request number of changes that no operator waits for.
const INTERNAL_REQUEST_ID: u64 = 0;

/// When the leader began to miss each voter.
#[derive(Debug, Default)]
pub(crate) struct MembershipRepair {
    inactive_since: IndexMap<ReplicaId, Instant>,
}

impl ControlCore {
    /// Proposes the next change that brings the number of live voters to the wanted one.
    pub(crate) fn repair_membership(&mut self, now: Instant) {
        let Some(voter_count) = self.cfg.voter_count else {
            return;
        };
        self.update_inactive(now);
        let members = self.raft.membership().clone();
        let change = match members.replacement {
            Some(replacement) => self.redirect_replacement(now, replacement),
            None => self.next_change(now, &members, voter_count),
        };
        if let Some(change) = change {
            self.outputs.push(Output::Notice(Notice::MemberChange { change }));
            self.change_members(INTERNAL_REQUEST_ID, change);
        }
    }

    fn update_inactive(&mut self, now: Instant) {
        for progress in self.raft.progress(now) {
            if progress.recently_active {
                self.membership_repair
                    .inactive_since
                    .swap_remove(&progress.replica);
            } else {
                self.membership_repair
                    .inactive_since
                    .entry(progress.replica)
                    .or_insert(now);
            }
        }
    }

    fn is_lost(&self, now: Instant, replica: ReplicaId) -> bool {
        let since = self.membership_repair.inactive_since.get(&replica);
        since.is_some_and(|&since| now >= since + LOST_TIMEOUT)
    }

    fn next_change(
        &self,
        now: Instant,
        members: &Membership,
        voter_count: usize,
    ) -> Option<MembershipChange> {
        if members.voters.len() < voter_count
            && let Some(&learner) = members
                .learners
                .iter()
                .find(|&&learner| self.has_caught_up(now, learner))
        {
            return Some(MembershipChange::Promote(learner));
        }
        if let Some(&lost_learner) = members
            .learners
            .iter()
            .find(|&&learner| self.is_lost(now, learner))
        {
            return Some(MembershipChange::Remove(lost_learner));
        }
        let mut connected = self.peers.replicas().into_iter();
        let add = connected.find(|&replica| !members.contains(replica))?;
        if members.voters.len() < voter_count {
            return Some(MembershipChange::AddLearner(add));
        }
        let same_name = members
            .voters
            .iter()
            .find(|&&voter| self.has_same_name(voter, add));
        let lost = members.voters.iter().find(|&&voter| self.is_lost(now, voter));
        let remove = *same_name.or(lost)?;
        Some(MembershipChange::Replace(VoterReplacement { remove, add }))
    }

    /// Gives the place to another process if the one that was to get it is gone.
    fn redirect_replacement(&self, now: Instant, replacement: VoterReplacement) -> Option<MembershipChange> {
        let members = self.raft.membership();
        if !members.learners.contains(&replacement.add) || !self.is_lost(now, replacement.add) {
            return None;
        }
        let mut connected = self.peers.replicas().into_iter();
        let add = connected.find(|&replica| !members.contains(replica))?;
        let remove = replacement.remove;
        Some(MembershipChange::Replace(VoterReplacement { remove, add }))
    }

    fn has_caught_up(&self, now: Instant, replica: ReplicaId) -> bool {
        let commit = self.raft.commit_index();
        let mut progress = self.raft.progress(now).into_iter();
        progress.any(|peer| peer.replica == replica && peer.recently_active && peer.match_index >= commit)
    }

    /// Reports whether two replicas have the name of one process, so that the former cannot run any more.
    fn has_same_name(&self, former: ReplicaId, present: ReplicaId) -> bool {
        former != self.replica()
            && self.peers.name(former).is_some()
            && self.peers.name(former) == self.peers.name(present)
    }
}

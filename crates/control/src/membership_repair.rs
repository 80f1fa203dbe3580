//! Automatic membership repair: the leader replaces a lost voter by a connected process that is not a member.
//!
//! A process that lost its disk returns with a new replica id, which no member set contains, so it cannot vote as its
//! former replica. It becomes a member only by a committed membership change.

use std::time::{Duration, Instant};

use chestnutfork_raft::{Membership, MembershipChange, VoterReplacement};
use chestnutfork_types::ReplicaId;
use indexmap::IndexMap;

use crate::core::ControlCore;
use crate::message::{Notice, Output};

/// Time for which a member must be inactive, that is, without a reply for an election timeout, before it may be replaced
/// or removed. Shorter interruptions are common, and a voter that returns after one still has the log. A connected
/// process with the same name replaces a voter at once.
const LOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Id for proposals without an operator request; [`crate::requests::Requests`] numbers requests from one.
const INTERNAL_REQUEST_ID: u64 = 0;

/// Members that the leader has lost contact with.
#[derive(Debug, Default)]
pub(crate) struct MembershipRepair {
    /// Time since which each inactive member has been inactive.
    inactive_since: IndexMap<ReplicaId, Instant>,
}

impl ControlCore {
    /// Proposes the next change toward the configured number of active voters.
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

    /// Chooses another new member for a replacement in progress whose new member is lost.
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

    /// Reports whether two replicas have the same process name, which means that the former one no longer runs.
    fn has_same_name(&self, former: ReplicaId, present: ReplicaId) -> bool {
        former != self.replica()
            && self.peers.name(former).is_some()
            && self.peers.name(former) == self.peers.name(present)
    }
}

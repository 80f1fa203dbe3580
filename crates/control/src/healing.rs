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
const LOST_AFTER: Duration = Duration::from_millis(1_500);
/// Request number of changes that no operator waits for.
const NO_REQUEST: u64 = 0;

/// When the leader began to miss each voter.
#[derive(Debug, Default)]
pub(crate) struct Healing {
    missed: IndexMap<ReplicaId, Instant>,
}

impl ControlCore {
    /// Proposes the next change that brings the number of live voters to the wanted one.
    pub(crate) fn heal_members(&mut self, now: Instant) {
        let Some(wanted) = self.cfg.voter_count else {
            return;
        };
        self.note_missed(now);
        let members = self.raft.membership().clone();
        let change = match members.replacement {
            Some(swap) => self.redirect_swap(now, swap),
            None => self.next_change(now, &members, wanted),
        };
        if let Some(change) = change {
            self.outputs.push(Output::Notice(Notice::MemberChange { change }));
            self.change_members(NO_REQUEST, change);
        }
    }

    fn note_missed(&mut self, now: Instant) {
        for progress in self.raft.progress(now) {
            if progress.recently_active {
                self.healing.missed.swap_remove(&progress.replica);
            } else {
                self.healing.missed.entry(progress.replica).or_insert(now);
            }
        }
    }

    fn is_lost(&self, now: Instant, replica: ReplicaId) -> bool {
        let since = self.healing.missed.get(&replica);
        since.is_some_and(|&since| now >= since + LOST_AFTER)
    }

    fn next_change(&self, now: Instant, members: &Membership, wanted: usize) -> Option<MembershipChange> {
        if members.voters.len() < wanted
            && let Some(&learner) = members
                .learners
                .iter()
                .find(|&&learner| self.has_caught_up(now, learner))
        {
            return Some(MembershipChange::Promote(learner));
        }
        if let Some(&gone) = members
            .learners
            .iter()
            .find(|&&learner| self.is_lost(now, learner))
        {
            return Some(MembershipChange::Remove(gone));
        }
        let mut present = self.peers.replicas().into_iter();
        let add = present.find(|&replica| !members.contains(replica))?;
        if members.voters.len() < wanted {
            return Some(MembershipChange::AddLearner(add));
        }
        let namesake = members.voters.iter().find(|&&voter| self.is_namesake(voter, add));
        let lost = members.voters.iter().find(|&&voter| self.is_lost(now, voter));
        let remove = *namesake.or(lost)?;
        Some(MembershipChange::Replace(VoterReplacement { remove, add }))
    }

    /// Gives the place to another process if the one that was to get it is gone.
    fn redirect_swap(&self, now: Instant, swap: VoterReplacement) -> Option<MembershipChange> {
        let members = self.raft.membership();
        if !members.learners.contains(&swap.add) || !self.is_lost(now, swap.add) {
            return None;
        }
        let mut present = self.peers.replicas().into_iter();
        let add = present.find(|&replica| !members.contains(replica))?;
        let remove = swap.remove;
        Some(MembershipChange::Replace(VoterReplacement { remove, add }))
    }

    fn has_caught_up(&self, now: Instant, replica: ReplicaId) -> bool {
        let commit = self.raft.commit_index();
        let mut progress = self.raft.progress(now).into_iter();
        progress.any(|peer| peer.replica == replica && peer.recently_active && peer.match_index >= commit)
    }

    /// Reports whether two replicas have the name of one process, so that the former cannot run any more.
    fn is_namesake(&self, former: ReplicaId, present: ReplicaId) -> bool {
        former != self.replica()
            && self.peers.name(former).is_some()
            && self.peers.name(former) == self.peers.name(present)
    }
}

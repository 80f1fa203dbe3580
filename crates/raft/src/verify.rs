//! Verifier of Raft's invariants, for one replica and across a group.

use std::collections::BTreeMap;
use std::fmt;

use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{Entry, HardState};
use crate::peer::Mode;
use crate::raft::{Raft, Role};

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas were leaders of the same term.
    TwoLeaders {
        /// Term with two leaders.
        term: Term,
        /// Ids of both leaders.
        leaders: [ReplicaId; 2],
    },
    /// The term of a replica decreased, or its vote changed within a term.
    VoteChanged {
        /// Id of the replica that violates the invariant.
        replica: ReplicaId,
        /// Term and vote before the change.
        before: HardState,
        /// Term and vote after the change.
        after: HardState,
    },
    /// The commit index of a running replica decreased.
    CommitFell {
        /// Id of the replica that violates the invariant.
        replica: ReplicaId,
        /// Commit index before the decrease.
        before: LogIndex,
        /// Commit index after the decrease.
        after: LogIndex,
    },
    /// The entry of a replica differs from the one committed at the same index.
    CommittedChanged {
        /// Id of the replica that violates the invariant.
        replica: ReplicaId,
        /// Index of the entry.
        index: LogIndex,
    },
    /// Two logs differ before an index at which their terms are equal.
    LogsDiverge {
        /// Ids of both replicas.
        replicas: [ReplicaId; 2],
        /// Index of the first difference.
        index: LogIndex,
    },
    /// The commit index is before the snapshot or after the end of the log.
    CommitOutsideLog {
        /// Id of the replica that violates the invariant.
        replica: ReplicaId,
    },
    /// The log has a gap, or its terms decrease or exceed the current term.
    LogBroken {
        /// Id of the replica that violates the invariant.
        replica: ReplicaId,
    },
    /// The progress that a leader tracks for a peer is inconsistent with its log or its limits.
    PeerState {
        /// Id of the leader.
        replica: ReplicaId,
        /// Id of the peer.
        peer: ReplicaId,
    },
    /// A replica has leader state but not the role, or the role but no leader state.
    RoleWithoutState {
        /// Id of the replica that violates the invariant.
        replica: ReplicaId,
    },
}

impl Violation {
    /// Returns the stable name of the violated invariant.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::TwoLeaders { .. } => "one_leader_per_term",
            Self::VoteChanged { .. } => "one_vote_per_term",
            Self::CommitFell { .. } => "commit_only_rises",
            Self::CommittedChanged { .. } => "committed_never_changes",
            Self::LogsDiverge { .. } => "log_matching",
            Self::CommitOutsideLog { .. } => "commit_within_log",
            Self::LogBroken { .. } => "log_without_gaps",
            Self::PeerState { .. } => "peer_within_log_and_window",
            Self::RoleWithoutState { .. } => "leader_has_leader_state",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {self:?}", self.name())
    }
}

impl Raft {
    /// Checks the invariants that concern this replica alone, and returns the violations.
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let replica = self.cfg.id;
        let mut violations = Vec::new();
        if self.commit_index < self.log.base_index() || self.commit_index > self.log.last_index() {
            violations.push(Violation::CommitOutsideLog { replica });
        }
        if (self.role == Role::Leader) != self.leader_state.is_some() {
            violations.push(Violation::RoleWithoutState { replica });
        }
        if self.durable_state().check().is_err() {
            violations.push(Violation::LogBroken { replica });
        }
        let peers = self.leader_state.iter().flat_map(|state| &state.peers);
        for peer in peers {
            let last = self.log.last_index();
            let in_log =
                peer.match_index < peer.next_index && peer.match_index <= last && peer.next_index <= last + 1;
            let in_window = peer.in_flight.len() <= self.cfg.max_in_flight;
            let window_matches_mode = peer.in_flight.is_empty() || peer.mode == Mode::Replicate;
            if !(in_log && in_window && window_matches_mode) {
                let peer = peer.id;
                violations.push(Violation::PeerState { replica, peer });
            }
        }
        violations
    }
}

/// Verifier of the invariants of a group, for tests and randomized runs.
#[derive(Debug, Default)]
pub struct Verifier {
    leaders: BTreeMap<Term, ReplicaId>,
    /// Committed entries, from index 1 on.
    committed: Vec<Entry>,
    /// Term, vote and commit index of each replica at its last observation.
    last_observed: BTreeMap<ReplicaId, (HardState, LogIndex)>,
}

impl Verifier {
    /// Returns the committed entries observed so far, from index 1 on.
    #[must_use]
    pub fn committed(&self) -> &[Entry] {
        &self.committed
    }

    /// Records that a replica restarted. Its commit index may then decrease, but its vote must not change.
    pub fn record_restart(&mut self, replica: ReplicaId) {
        if let Some((_, commit_index)) = self.last_observed.get_mut(&replica) {
            *commit_index = 0;
        }
    }

    /// Records entries that a replica applies, and returns the violations.
    pub fn record_applied(&mut self, replica: ReplicaId, entries: &[Entry]) -> Vec<Violation> {
        let mut violations = Vec::new();
        for entry in entries {
            let index = entry.index;
            let at = usize::try_from(index - 1).unwrap_or(usize::MAX);
            match self.committed.get(at) {
                Some(known) if known == entry => {}
                None if at == self.committed.len() => self.committed.push(entry.clone()),
                _ => violations.push(Violation::CommittedChanged { replica, index }),
            }
        }
        violations
    }

    /// Checks a replica against all earlier observations, and returns the violations.
    pub fn observe(&mut self, raft: &Raft) -> Vec<Violation> {
        let mut violations = raft.verify();
        violations.extend(self.check_leader(raft));
        violations.extend(self.check_progress(raft));
        violations.extend(self.check_committed(raft));
        violations
    }

    /// Checks that two logs are equal up to the last index at which their terms are equal.
    #[must_use]
    pub fn compare_logs(a: &Raft, b: &Raft) -> Option<Violation> {
        let from = a.log.base_index().max(b.log.base_index());
        let to = a.log.last_index().min(b.log.last_index());
        let same_term = |index: &LogIndex| a.log.term_at(*index) == b.log.term_at(*index);
        let last = (from + 1..=to).rev().find(same_term)?;
        let index = (from + 1..=last).find(|&index| a.log.get(index) != b.log.get(index))?;
        let replicas = [a.cfg.id, b.cfg.id];
        Some(Violation::LogsDiverge { replicas, index })
    }

    fn check_leader(&mut self, raft: &Raft) -> Option<Violation> {
        if raft.role != Role::Leader {
            return None;
        }
        let term = raft.hard_state.term;
        let id = raft.cfg.id;
        let known = *self.leaders.entry(term).or_insert(id);
        let leaders = [known, id];
        (known != id).then_some(Violation::TwoLeaders { term, leaders })
    }

    fn check_progress(&mut self, raft: &Raft) -> Vec<Violation> {
        let replica = raft.cfg.id;
        let after = raft.hard_state;
        let commit_index = raft.commit_index;
        let Some((before, old_commit_index)) = self.last_observed.insert(replica, (after, commit_index))
        else {
            return Vec::new();
        };
        let mut violations = Vec::new();
        let revoted = after.term == before.term && before.vote.is_some() && after.vote != before.vote;
        if after.term < before.term || revoted {
            violations.push(Violation::VoteChanged {
                replica,
                before,
                after,
            });
        }
        if commit_index < old_commit_index {
            let before = old_commit_index;
            let after = commit_index;
            violations.push(Violation::CommitFell {
                replica,
                before,
                after,
            });
        }
        violations
    }

    fn check_committed(&self, raft: &Raft) -> Option<Violation> {
        let known = self.committed.len() as u64;
        let from = raft.log.base_index() + 1;
        let to = raft.commit_index.min(known);
        let differs = |index: &LogIndex| {
            let at = usize::try_from(index - 1).unwrap_or(usize::MAX);
            raft.log.get(*index) != self.committed.get(at)
        };
        let replica = raft.cfg.id;
        let index = (from..=to).find(differs)?;
        Some(Violation::CommittedChanged { replica, index })
    }
}

//! Verifier of the rules that hold for one replica and across a group.

use std::collections::BTreeMap;
use std::fmt;

use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{Entry, HardState};
use crate::peer::Mode;
use crate::raft::{Raft, Role};

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas led in one term.
    TwoLeaders {
        /// The term.
        term: Term,
        /// Both leaders.
        leaders: [ReplicaId; 2],
    },
    /// A replica's durable term fell, or its vote changed within a term.
    VoteChanged {
        /// The replica.
        replica: ReplicaId,
        /// State before.
        before: HardState,
        /// State after.
        after: HardState,
    },
    /// The commit index of a running replica fell.
    CommitFell {
        /// The replica.
        replica: ReplicaId,
        /// Commit index before.
        before: LogIndex,
        /// Commit index after.
        after: LogIndex,
    },
    /// A replica holds another entry at a position that was committed.
    CommittedChanged {
        /// The replica.
        replica: ReplicaId,
        /// The position.
        index: LogIndex,
    },
    /// Two logs differ before a position at which their terms are the same.
    LogsDiverge {
        /// Both replicas.
        replicas: [ReplicaId; 2],
        /// Position of the difference.
        index: LogIndex,
    },
    /// The commit index lies outside the log.
    CommitOutsideLog {
        /// The replica.
        replica: ReplicaId,
    },
    /// The durable form of the log has a gap, or terms fall along it.
    LogBroken {
        /// The replica.
        replica: ReplicaId,
    },
    /// A leader's knowledge of a peer contradicts its log or its limits.
    PeerState {
        /// The leader.
        replica: ReplicaId,
        /// The peer.
        peer: ReplicaId,
    },
    /// A replica has the state of a leader without its role, or the role without the state.
    RoleWithoutState {
        /// The replica.
        replica: ReplicaId,
    },
}

impl Violation {
    /// Returns the stable name of the rule.
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
    /// Returns the violations of rules that concern this replica alone.
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let replica = self.cfg.id;
        let mut found = Vec::new();
        if self.commit_index < self.log.base_index() || self.commit_index > self.log.last_index() {
            found.push(Violation::CommitOutsideLog { replica });
        }
        if (self.role == Role::Leader) != self.leader_state.is_some() {
            found.push(Violation::RoleWithoutState { replica });
        }
        if self.durable_state().check().is_err() {
            found.push(Violation::LogBroken { replica });
        }
        let peers = self.leader_state.iter().flat_map(|state| &state.peers);
        for peer in peers {
            let last = self.log.last_index();
            let in_log =
                peer.match_index < peer.next_index && peer.match_index <= last && peer.next_index <= last + 1;
            let in_window = peer.in_flight.len() <= self.cfg.max_in_flight;
            let idle = peer.in_flight.is_empty() || peer.mode == Mode::Replicate;
            if !(in_log && in_window && idle) {
                let peer = peer.id;
                found.push(Violation::PeerState { replica, peer });
            }
        }
        found
    }
}

/// Observer of a whole group, for tests and randomised runs.
#[derive(Debug, Default)]
pub struct Verifier {
    leaders: BTreeMap<Term, ReplicaId>,
    /// Entries in the order in which they were first seen committed.
    committed: Vec<Entry>,
    /// Durable state and commit index of each replica at the last observation.
    last: BTreeMap<ReplicaId, (HardState, LogIndex)>,
}

impl Verifier {
    /// Returns the entries that were seen committed, from position one on.
    #[must_use]
    pub fn committed(&self) -> &[Entry] {
        &self.committed
    }

    /// Notes that a replica restarted, so its commit index may fall; its vote may not.
    pub fn record_restart(&mut self, replica: ReplicaId) {
        if let Some((_, commit_index)) = self.last.get_mut(&replica) {
            *commit_index = 0;
        }
    }

    /// Notes entries that a replica applies, and returns the violations.
    pub fn record_applied(&mut self, replica: ReplicaId, entries: &[Entry]) -> Vec<Violation> {
        let mut found = Vec::new();
        for entry in entries {
            let index = entry.index;
            let at = usize::try_from(index - 1).unwrap_or(usize::MAX);
            match self.committed.get(at) {
                Some(known) if known == entry => {}
                None if at == self.committed.len() => self.committed.push(entry.clone()),
                _ => found.push(Violation::CommittedChanged { replica, index }),
            }
        }
        found
    }

    /// Compares a replica with all that was seen before, and returns the violations.
    pub fn observe(&mut self, raft: &Raft) -> Vec<Violation> {
        let mut found = raft.verify();
        found.extend(self.check_leader(raft));
        found.extend(self.check_progress(raft));
        found.extend(self.check_committed(raft));
        found
    }

    /// Compares two logs, which must be the same up to the last position with the same term.
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
        let Some((before, old_commit)) = self.last.insert(replica, (after, commit_index)) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        let revoted = after.term == before.term && before.vote.is_some() && after.vote != before.vote;
        if after.term < before.term || revoted {
            found.push(Violation::VoteChanged {
                replica,
                before,
                after,
            });
        }
        if commit_index < old_commit {
            let before = old_commit;
            let after = commit_index;
            found.push(Violation::CommitFell {
                replica,
                before,
                after,
            });
        }
        found
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

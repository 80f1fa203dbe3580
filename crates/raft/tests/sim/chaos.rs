//! Random faults and load for a simulated group, derived from a seed.

use std::time::{Duration, Instant};

use chestnutfork_raft::{Entry, Event, MembershipChange, Payload, Violation};
use chestnutfork_types::ReplicaId;
use rand::RngExt;

use super::sim::{Cluster, Counts, InjectedBug, Options};

/// Virtual time during which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(30);
/// Virtual time after the end of all faults within which the group must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Virtual time after which any leader has detected the loss of a voter.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Result of a run.
pub struct Outcome {
    pub counts: Counts,
    pub violations: Vec<Violation>,
    /// Whether every member applied a command proposed after the end of all faults.
    pub recovered: bool,
    /// State of the replicas at the end, for failure reports.
    pub state: String,
}

/// Runs a group with the faults and load that follow from the seed.
pub fn run_seed(seed: u64, injected_bug: InjectedBug) -> Outcome {
    let size = if seed.is_multiple_of(4) { 5 } else { 3 };
    let options = Options {
        drop_probability: 0.02,
        duplicate_probability: 0.02,
        max_delay: Duration::from_millis(if seed.is_multiple_of(3) { 150 } else { 15 }),
        crash_probability: 0.000_5,
        compact_every: 10 + seed % 40,
        snapshot_size: 1000,
        early_elections: injected_bug == InjectedBug::None && seed.is_multiple_of(2),
        injected_bug,
    };
    let cluster = Cluster::new(size, seed, options);
    let mut chaos = Chaos {
        lost_at: cluster.now,
        cluster,
        replacement: None,
        next_value: 1,
    };
    let end = chaos.cluster.now + FAULT_TIME;
    while chaos.cluster.now < end && chaos.cluster.violations.is_empty() {
        chaos.step();
    }
    let recovered = chaos.recover();
    Outcome {
        state: format!(
            "{}  replacement {:?}",
            chaos.cluster.describe(),
            chaos.replacement
        ),
        counts: chaos.cluster.counts,
        violations: chaos.cluster.violations,
        recovered,
    }
}

struct Chaos {
    cluster: Cluster,
    /// Lost voter and the replica that replaces it.
    replacement: Option<(ReplicaId, ReplicaId)>,
    next_value: u64,
    /// Time of the latest loss of a voter's disk.
    lost_at: Instant,
}

impl Chaos {
    fn step(&mut self) {
        self.propose();
        self.inject_fault();
        self.continue_replacement();
        let pause = self.cluster.rng.random_range(5..200);
        self.cluster.run_for(Duration::from_millis(pause));
    }

    fn propose(&mut self) {
        let count = self.cluster.rng.random_range(0..8);
        for _ in 0..count {
            let id = self.random_replica();
            self.cluster.propose(id, self.next_value);
            self.next_value += 1;
            if let Some(leader) = self.cluster.leader() {
                self.cluster.propose(leader, self.next_value);
                self.next_value += 1;
            }
        }
    }

    fn random_replica(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.cluster.nodes.keys().copied().collect();
        ids[self.cluster.rng.random_range(0..ids.len())]
    }

    fn inject_fault(&mut self) {
        let id = self.random_replica();
        let other = self.random_replica();
        match self.cluster.rng.random_range(0..24) {
            0 => self.cluster.crash(id),
            1..=4 => self.cluster.start(id),
            5 => self.cluster.isolate(id),
            6 => {
                self.cluster.blocked_links.insert((id, other));
            }
            7..=9 => self.cluster.blocked_links.clear(),
            10 => {
                if let Some(node) = self.cluster.nodes.get_mut(&id).filter(|node| node.raft.is_some()) {
                    node.disk_full = true;
                }
            }
            11..=13 => self.cluster.repair_disk(id),
            14 => self
                .cluster
                .handle_event(id, Event::TransferLeadership { to: None }),
            15 => self.lose_voter(id),
            16 => self.lose_learner(),
            17 | 18 => {
                let read = self.next_value;
                self.cluster.handle_event(id, Event::Read { id: read });
            }
            _ => {}
        }
    }

    /// Loses the disk of a voter, unless a replacement is in progress.
    fn lose_voter(&mut self, id: ReplicaId) {
        let Some(leader) = self.cluster.leader().filter(|_| self.replacement.is_none()) else {
            return;
        };
        if !self.cluster.raft(leader).membership().is_voter(id) {
            return;
        }
        self.cluster.lose_disk(id);
        self.lost_at = self.cluster.now;
        let add = self.cluster.add_blank_replica();
        self.replacement = Some((id, add));
    }

    /// Loses the disk of the new replica, unless some log already has it as a voter.
    fn lose_learner(&mut self) {
        let Some((remove, add)) = self.replacement else {
            return;
        };
        // A group of three voters does not tolerate a second lost disk before the leader has detected the first loss.
        if self.cluster.now < self.lost_at + DETECTION_TIME {
            return;
        }
        let counted = self.cluster.nodes.values().any(|node| {
            let running = node.raft.as_ref().is_some_and(|raft| raft.membership().is_voter(add));
            let promotes = |entry: &Entry| {
                matches!(&entry.payload, Payload::Membership(members) if members.is_voter(add))
            };
            running
                || node.disk.entries.iter().any(promotes)
                || node.disk.snapshot.meta.membership.is_voter(add)
        });
        if counted {
            return;
        }
        self.cluster.lose_disk(add);
        let new = self.cluster.add_blank_replica();
        self.replacement = Some((remove, new));
    }

    fn continue_replacement(&mut self) {
        let Some((remove, add)) = self.replacement else {
            return;
        };
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        let raft = self.cluster.raft(leader);
        let members = raft.membership().clone();
        let lost = |id: &ReplicaId| self.cluster.nodes[id].disk_lost;
        let remove = match members.voters.iter().copied().find(lost) {
            // The new replica was promoted just before its loss was detected, so it is the voter to replace now.
            Some(voter) if voter != remove && !members.is_voter(remove) => voter,
            _ => remove,
        };
        self.replacement = Some((remove, add));
        let memberships_committed = raft.durable_state().entries.iter().all(|entry| {
            entry.index <= raft.commit_index() || !matches!(entry.payload, Payload::Membership(_))
        });
        let voters_agree = members.voters.iter().all(|id| {
            let node = &self.cluster.nodes[id];
            node.raft
                .as_ref()
                .is_some_and(|raft| raft.membership() == &members)
        });
        if members.is_voter(add) && !members.is_voter(remove) && memberships_committed && voters_agree {
            self.cluster.nodes.remove(&remove);
            self.replacement = None;
            self.cluster.counts.replacements += 1;
        } else if members
            .replacement
            .map_or(members.is_voter(remove), |replacement| replacement.add != add)
        {
            self.cluster.replace(remove, add);
        } else if !members.contains(add) {
            let change = MembershipChange::AddLearner(add);
            self.cluster
                .handle_event(leader, Event::ProposeMembership { id: 0, change });
        }
    }

    /// Ends all faults and returns whether every member then applies a new command.
    fn recover(&mut self) -> bool {
        self.cluster.end_faults();
        let end = self.cluster.now + RECOVERY_TIME;
        while self.cluster.now < end && self.cluster.violations.is_empty() {
            self.continue_replacement();
            self.cluster.run_for(Duration::from_millis(200));
        }
        let Some(leader) = self.cluster.leader() else {
            return false;
        };
        self.cluster.propose(leader, self.next_value);
        self.cluster.run_for(Duration::from_secs(3));
        let Some(leader) = self.cluster.leader() else {
            return false;
        };
        let raft = self.cluster.raft(leader);
        let commit_index = raft.commit_index();
        let mut members = raft.membership().members();
        let applied = members.all(|id| self.cluster.nodes[&id].applied == commit_index);
        applied && commit_index == raft.last_index() && self.replacement.is_none()
    }
}

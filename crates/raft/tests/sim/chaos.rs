//! Seeded faults and load for a simulated group.

use std::time::{Duration, Instant};

use chestnutfork_raft::{Entry, Event, MembershipChange, Payload, Violation};
use chestnutfork_types::ReplicaId;
use rand::RngExt;

use super::sim::{Broken, Cluster, Counts, Options};

/// Virtual time of a run with faults.
const FAULT_TIME: Duration = Duration::from_secs(30);
/// Virtual time after the end of all faults within which the group must work again.
const CALM_TIME: Duration = Duration::from_secs(15);

/// Virtual time after which every leader has noticed the loss of a voter.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Result of one run.
pub struct Outcome {
    pub counts: Counts,
    pub violations: Vec<Violation>,
    /// Whether every member applied a command proposed after the end of all faults.
    pub recovered: bool,
    /// State of the group at the end.
    pub state: String,
}

/// Runs one seed.
pub fn run_seed(seed: u64, broken: Broken) -> Outcome {
    let size = if seed.is_multiple_of(4) { 5 } else { 3 };
    let options = Options {
        drop: 0.02,
        duplicate: 0.02,
        max_delay: Duration::from_millis(if seed.is_multiple_of(3) { 150 } else { 15 }),
        crash: 0.000_5,
        compact_every: 10 + seed % 40,
        snapshot_size: 1000,
        broken,
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
        chaos.round();
    }
    let recovered = chaos.calm();
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
    /// Lost voter and the new replica that is to take its place.
    replacement: Option<(ReplicaId, ReplicaId)>,
    next_value: u64,
    /// Time of the latest loss of a voter's disk.
    lost_at: Instant,
}

impl Chaos {
    fn round(&mut self) {
        self.propose();
        self.fault();
        self.continue_replacement();
        let pause = self.cluster.rng.random_range(5..200);
        self.cluster.run(Duration::from_millis(pause));
    }

    fn propose(&mut self) {
        let count = self.cluster.rng.random_range(0..8);
        for _ in 0..count {
            let id = self.any();
            self.cluster.propose(id, self.next_value);
            self.next_value += 1;
            if let Some(leader) = self.cluster.leader() {
                self.cluster.propose(leader, self.next_value);
                self.next_value += 1;
            }
        }
    }

    fn any(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.cluster.nodes.keys().copied().collect();
        ids[self.cluster.rng.random_range(0..ids.len())]
    }

    fn fault(&mut self) {
        let id = self.any();
        let other = self.any();
        match self.cluster.rng.random_range(0..24) {
            0 => self.cluster.crash(id),
            1..=4 => self.cluster.start(id),
            5 => self.cluster.isolate(id),
            6 => {
                self.cluster.blocked.insert((id, other));
            }
            7..=9 => self.cluster.blocked.clear(),
            10 => {
                if let Some(node) = self.cluster.nodes.get_mut(&id).filter(|node| node.raft.is_some()) {
                    node.disk_full = true;
                }
            }
            11..=13 => self.cluster.repair_disk(id),
            14 => self.cluster.event(id, Event::TransferLeadership { to: None }),
            15 => self.lose_voter(id),
            16 => self.lose_learner(),
            17 | 18 => {
                let read = self.next_value;
                self.cluster.event(id, Event::Read { id: read });
            }
            _ => {}
        }
    }

    /// Loses the disk of a voter, unless another replacement is still going on.
    fn lose_voter(&mut self, id: ReplicaId) {
        let Some(leader) = self.cluster.leader().filter(|_| self.replacement.is_none()) else {
            return;
        };
        if !self.cluster.raft(leader).membership().is_voter(id) {
            return;
        }
        self.cluster.lose_disk(id);
        self.lost_at = self.cluster.now;
        let add = self.cluster.add_blank();
        self.replacement = Some((id, add));
    }

    /// Loses the disk of the new replica while no log counts it as a voter.
    fn lose_learner(&mut self) {
        let Some((remove, add)) = self.replacement else {
            return;
        };
        // Two disks lost before the leader can notice the first loss are more than three voters tolerate.
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
        let newer = self.cluster.add_blank();
        self.replacement = Some((remove, newer));
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
            // The new replica was promoted just before its loss was noticed, so it is the one to replace now.
            Some(voter) if voter != remove && !members.is_voter(remove) => voter,
            _ => remove,
        };
        self.replacement = Some((remove, add));
        let settled = raft.durable_state().entries.iter().all(|entry| {
            entry.index <= raft.commit_index() || !matches!(entry.payload, Payload::Membership(_))
        });
        let voters_know = members.voters.iter().all(|id| {
            let node = &self.cluster.nodes[id];
            node.raft
                .as_ref()
                .is_some_and(|raft| raft.membership() == &members)
        });
        if members.is_voter(add) && !members.is_voter(remove) && settled && voters_know {
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
                .event(leader, Event::ProposeMembership { id: 0, change });
        }
    }

    /// Ends all faults and reports whether every member applies a new command.
    fn calm(&mut self) -> bool {
        self.cluster.heal();
        let end = self.cluster.now + CALM_TIME;
        while self.cluster.now < end && self.cluster.violations.is_empty() {
            self.continue_replacement();
            self.cluster.run(Duration::from_millis(200));
        }
        let Some(leader) = self.cluster.leader() else {
            return false;
        };
        self.cluster.propose(leader, self.next_value);
        self.cluster.run(Duration::from_secs(3));
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

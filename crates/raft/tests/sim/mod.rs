//! Simulated group of replicas over the real state machine, with virtual time, network and disks.

#![allow(dead_code, reason = "each test binary uses a part of the simulation")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_raft::{
    Action, Config, DurableState, Entry, Event, Membership, MembershipChange, Message, Payload, Proposal,
    Raft, ReadId, Role, Verifier, Violation, VoterReplacement,
};
use chestnutfork_types::{LogIndex, ReplicaId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Rule that a run breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// All rules hold.
    Nothing,
    /// A replica votes for every candidate of a term.
    VoteTwice,
    /// Messages leave before the persist actions in front of them are synced.
    SendBeforeSync,
}

/// Behaviour of the simulated network and disks.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub drop: f64,
    pub duplicate: f64,
    /// Longest delay of a message; with a range, messages overtake each other.
    pub max_delay: Duration,
    /// Probability that a replica crashes in front of an action.
    pub crash: f64,
    /// Entries applied between two snapshots.
    pub compact_every: u64,
    /// Largest size of the state machine in a snapshot, in bytes.
    pub snapshot_size: usize,
    pub broken: Broken,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            drop: 0.0,
            duplicate: 0.0,
            max_delay: Duration::from_millis(4),
            crash: 0.0,
            compact_every: 50,
            snapshot_size: 16,
            broken: Broken::Nothing,
        }
    }
}

/// Counts of what happened in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub steps: u64,
    pub committed: u64,
    pub leaders: u64,
    pub crashes: u64,
    pub restores: u64,
    pub replacements: u64,
    pub storage_failures: u64,
    pub confirmed: u64,
    pub reads: u64,
}

/// One simulated replica.
pub struct Node {
    pub raft: Option<Raft>,
    pub disk: DurableState,
    /// Persist actions that a broken driver has not synced yet.
    unsynced: Vec<Action>,
    pub disk_full: bool,
    pub disk_lost: bool,
    pub applied: LogIndex,
    digest: u64,
    compacted: LogIndex,
}

/// Simulated group.
pub struct Cluster {
    pub now: Instant,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub blocked: BTreeSet<(ReplicaId, ReplicaId)>,
    pub rng: ChaCha8Rng,
    pub options: Options,
    pub counts: Counts,
    pub violations: Vec<Violation>,
    pub log: Vec<Action>,
    verifier: Verifier,
    queue: BTreeMap<(Instant, u64), Message>,
    sequence: u64,
    /// Digest of the state machine at each applied position.
    digests: BTreeMap<LogIndex, u64>,
    next_id: ReplicaId,
    /// Number of committed entries at each time at which it rose.
    commits: BTreeMap<Instant, LogIndex>,
    /// Number of committed entries when a read arrived.
    reads: BTreeMap<ReadId, LogIndex>,
}

impl Cluster {
    /// Starts a formed group of `size` voters.
    pub fn new(size: u64, seed: u64, options: Options) -> Self {
        let mut cluster = Self {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            blocked: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            options,
            counts: Counts::default(),
            violations: Vec::new(),
            log: Vec::new(),
            verifier: Verifier::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            digests: BTreeMap::new(),
            next_id: size + 1,
            commits: BTreeMap::new(),
            reads: BTreeMap::new(),
        };
        let members = Membership::from_voters(1..=size);
        for id in 1..=size {
            let mut disk = DurableState::default();
            disk.snapshot.meta.membership = members.clone();
            cluster.add_node(id, disk);
        }
        cluster
    }

    /// Adds a replica with a blank disk and returns its new id.
    pub fn add_blank(&mut self) -> ReplicaId {
        let id = self.next_id;
        self.next_id += 1;
        self.add_node(id, DurableState::default());
        id
    }

    fn add_node(&mut self, id: ReplicaId, disk: DurableState) {
        let node = Node {
            raft: None,
            disk,
            unsynced: Vec::new(),
            disk_full: false,
            disk_lost: false,
            applied: 0,
            digest: 0,
            compacted: 0,
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    /// Starts a replica from its disk.
    pub fn start(&mut self, id: ReplicaId) {
        let seed = self.rng.random();
        let cfg = Config::builder(id)
            .seed(seed)
            .max_message_bytes(128)
            .max_command_bytes(256)
            .max_in_flight(4)
            .max_uncommitted_bytes(4096)
            .vote_twice(self.options.broken == Broken::VoteTwice)
            .build()
            .expect("valid configuration");
        let Some(node) = self
            .nodes
            .get_mut(&id)
            .filter(|node| node.raft.is_none() && !node.disk_lost)
        else {
            return;
        };
        let raft = Raft::new(cfg, node.disk.clone(), self.now).expect("consistent disk");
        let snapshot = &node.disk.snapshot;
        node.applied = snapshot.meta.index;
        node.compacted = snapshot.meta.index;
        node.digest = decode(&snapshot.data);
        node.raft = Some(raft);
        self.verifier.record_restart(id);
    }

    /// Stops a replica; what is not synced is lost.
    pub fn crash(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.raft.take().is_some() {
            self.counts.crashes += 1;
        }
        node.unsynced.clear();
        node.disk_full = false;
    }

    /// Stops a replica and loses its disk, so it never comes back.
    pub fn lose_disk(&mut self, id: ReplicaId) {
        self.crash(id);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.disk_lost = true;
        }
    }

    /// Cuts a replica off in both directions, silently.
    pub fn isolate(&mut self, id: ReplicaId) {
        for other in self.nodes.keys().copied() {
            self.blocked.insert((id, other));
            self.blocked.insert((other, id));
        }
    }

    /// Returns the leader of the highest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let running = self.nodes.values().filter_map(|node| node.raft.as_ref());
        let leaders = running.filter(|raft| raft.role() == Role::Leader);
        leaders.max_by_key(|raft| raft.term()).map(Raft::id)
    }

    pub fn raft(&self, id: ReplicaId) -> &Raft {
        self.nodes[&id].raft.as_ref().expect("replica runs")
    }

    /// Runs until the virtual time has passed.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.violations.is_empty() && self.step(end) {}
        self.now = self.now.max(end);
    }

    /// Runs until a leader exists and returns it.
    pub fn elect(&mut self) -> ReplicaId {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(100));
        }
        panic!("no leader after 10 s");
    }

    /// Delivers the next message or wake-up, unless it lies behind `end`.
    fn step(&mut self, end: Instant) -> bool {
        let message_at = self.queue.first_key_value().map(|((at, _), _)| *at);
        let wakes = self.nodes.iter().filter_map(|(&id, node)| {
            let raft = node.raft.as_ref()?;
            Some((raft.next_wakeup(), id))
        });
        let wake = wakes.min();
        let at = match (message_at, wake) {
            (Some(message), Some((wake, _))) => message.min(wake),
            (Some(at), None) | (None, Some((at, _))) => at,
            (None, None) => return false,
        };
        if at > end {
            return false;
        }
        self.now = self.now.max(at);
        self.counts.steps += 1;
        if message_at == Some(at) {
            let message = self.queue.pop_first().map(|(_, message)| message);
            if let Some(message) = message {
                let to = message.to;
                self.event(to, Event::Message(message));
            }
        } else if let Some((_, id)) = wake {
            self.event(id, Event::Tick);
        }
        true
    }

    /// Passes an event to a replica and executes its actions.
    pub fn event(&mut self, id: ReplicaId, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(raft) = node.raft.as_mut() else {
            return;
        };
        for action in std::mem::take(&mut node.unsynced) {
            persist(&mut node.disk, &action);
        }
        let mut actions = Vec::new();
        raft.handle(now, event, &mut actions);
        self.execute(id, actions);
        self.observe(id);
        self.compact_if_due(id);
    }

    fn execute(&mut self, id: ReplicaId, actions: Vec<Action>) {
        for action in actions {
            if self.options.crash > 0.0 && self.rng.random_bool(self.options.crash) {
                self.crash(id);
                return;
            }
            if action.is_persist() {
                if !self.persist(id, action) {
                    return;
                }
            } else {
                self.act(id, action);
            }
        }
    }

    /// Persists an action; a full disk is reported to the replica, which drops the rest.
    fn persist(&mut self, id: ReplicaId, action: Action) -> bool {
        let node = self.nodes.get_mut(&id).expect("known replica");
        if node.disk_full {
            self.counts.storage_failures += 1;
            let durable = node.disk.clone();
            let applied = node.applied;
            self.verifier.record_restart(id);
            self.event(id, Event::StorageFailed { durable, applied });
            return false;
        }
        if self.options.broken == Broken::SendBeforeSync {
            node.unsynced.push(action);
        } else {
            persist(&mut node.disk, &action);
        }
        true
    }

    fn act(&mut self, id: ReplicaId, action: Action) {
        match action {
            Action::Send(message) => self.send(message),
            Action::Apply(entries) => self.apply(id, &entries),
            Action::Restore(snapshot) => {
                self.counts.restores += 1;
                let digest = decode(&snapshot.data);
                let index = snapshot.meta.index;
                let node = self.nodes.get_mut(&id).expect("known replica");
                node.digest = digest;
                node.applied = index;
                node.compacted = index;
                self.check_digest(id, index, digest);
            }
            action => {
                self.check_reported(id, &action);
                self.log.push(action);
            }
        }
    }

    /// Checks that a proof of leadership covers everything committed before the check began.
    fn check_reported(&mut self, replica: ReplicaId, action: &Action) {
        let (index, known) = match action {
            Action::RoleChanged {
                role: Role::Leader, ..
            } => {
                self.counts.leaders += 1;
                return;
            }
            Action::QuorumConfirmed { since, commit_index } => {
                self.counts.confirmed += 1;
                let before = self.commits.range(..*since).next_back();
                (*commit_index, before.map_or(0, |(_, count)| *count))
            }
            Action::ReadReady { id, index } => {
                self.counts.reads += 1;
                (*index, self.reads.get(id).copied().unwrap_or(0))
            }
            _ => return,
        };
        if index < known {
            self.violations
                .push(Violation::CommittedChanged { replica, index });
        }
    }

    /// Asks a replica for proof of leadership.
    pub fn read(&mut self, id: ReplicaId, read: ReadId) {
        self.reads.insert(read, self.counts.committed);
        self.event(id, Event::Read { id: read });
    }

    fn apply(&mut self, id: ReplicaId, entries: &[Entry]) {
        self.violations.extend(self.verifier.record_applied(id, entries));
        let committed = self.verifier.committed().len() as u64;
        if committed > self.counts.committed {
            self.counts.committed = committed;
            self.commits.insert(self.now, committed);
        }
        for entry in entries {
            let node = self.nodes.get_mut(&id).expect("known replica");
            assert_eq!(node.applied + 1, entry.index, "entries are applied in order");
            node.applied = entry.index;
            if let Payload::Command(command) = &entry.payload {
                let value = decode(command);
                node.digest = node.digest.wrapping_mul(31).wrapping_add(value);
            }
            let digest = node.digest;
            self.check_digest(id, entry.index, digest);
        }
    }

    /// Replaces the log by a snapshot once enough entries are applied.
    fn compact_if_due(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.applied - node.compacted < self.options.compact_every {
            return;
        }
        node.compacted = node.applied;
        let mut data = node.digest.to_be_bytes().to_vec();
        data.resize(self.options.snapshot_size.max(8), 0);
        let index = node.applied;
        let data = Bytes::from(data);
        self.event(id, Event::Compact { index, data });
    }

    fn check_digest(&mut self, replica: ReplicaId, index: LogIndex, digest: u64) {
        let known = *self.digests.entry(index).or_insert(digest);
        if known != digest {
            self.violations
                .push(Violation::CommittedChanged { replica, index });
        }
    }

    fn send(&mut self, message: Message) {
        let link = (message.from, message.to);
        if self.blocked.contains(&link) || self.rng.random_bool(self.options.drop) {
            return;
        }
        if self.rng.random_bool(self.options.duplicate) {
            self.enqueue(message.clone());
        }
        self.enqueue(message);
    }

    fn enqueue(&mut self, message: Message) {
        let delay = self
            .rng
            .random_range(Duration::from_micros(100)..=self.options.max_delay);
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), message);
    }

    fn observe(&mut self, id: ReplicaId) {
        let Some(raft) = self.nodes.get(&id).and_then(|node| node.raft.as_ref()) else {
            return;
        };
        self.violations.extend(self.verifier.observe(raft));
        let others = self.nodes.values().filter_map(|node| node.raft.as_ref());
        let found = others.filter_map(|other| Verifier::compare_logs(raft, other));
        self.violations.extend(found);
    }

    /// Proposes one command at a replica.
    pub fn propose(&mut self, id: ReplicaId, value: u64) {
        let command = Bytes::copy_from_slice(&value.to_be_bytes());
        let proposal = Proposal { id: value, command };
        self.event(id, Event::Propose(vec![proposal]));
    }

    /// Asks the leader to replace a voter.
    pub fn replace(&mut self, remove: ReplicaId, add: ReplicaId) {
        let change = MembershipChange::Replace(VoterReplacement { remove, add });
        if let Some(leader) = self.leader() {
            self.event(leader, Event::ProposeMembership { id: 0, change });
        }
    }

    /// Describes every replica, for reports of failed runs.
    pub fn describe(&self) -> String {
        let kept = self.nodes.iter().filter(|(_, node)| !node.disk_lost);
        let describe = |(id, node): (&ReplicaId, &Node)| {
            let state = node.raft.as_ref().map(|raft| {
                let log = (raft.snapshot().meta.index, raft.commit_index(), raft.last_index());
                (
                    raft.role(),
                    raft.term(),
                    log,
                    raft.storage_ok(),
                    raft.membership(),
                )
            });
            format!("  replica {id}: applied {}, {state:?}\n", node.applied)
        };
        kept.map(describe).collect()
    }

    /// Ends all faults and starts every replica that has its disk.
    pub fn heal(&mut self) {
        self.blocked.clear();
        self.options.drop = 0.0;
        self.options.duplicate = 0.0;
        self.options.crash = 0.0;
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.start(id);
            self.repair_disk(id);
        }
    }

    /// Frees space on a full disk.
    pub fn repair_disk(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.disk_full = false;
        self.event(id, Event::StorageReady);
    }
}

fn decode(data: &Bytes) -> u64 {
    let bytes = data.get(..8).and_then(|bytes| bytes.try_into().ok());
    bytes.map_or(0, u64::from_be_bytes)
}

fn persist(disk: &mut DurableState, action: &Action) {
    match action {
        Action::SaveHardState(hard_state) => disk.hard_state = *hard_state,
        Action::AppendLog(entries) => {
            let first = entries.first().map_or(u64::MAX, |entry| entry.index);
            disk.entries.retain(|entry| entry.index < first);
            disk.entries.extend(entries.iter().cloned());
        }
        Action::SaveSnapshot {
            snapshot,
            keep_suffix,
        } => {
            let index = snapshot.meta.index;
            disk.entries.retain(|entry| *keep_suffix && entry.index > index);
            disk.snapshot = snapshot.clone();
        }
        _ => {}
    }
}

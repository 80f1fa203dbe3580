//! Simulated Raft group with virtual time, network and disks around the real state machine.

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

/// Bug injected on purpose, to show that the verifier detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Correct behaviour.
    None,
    /// A replica votes for every candidate in a term.
    VoteTwice,
    /// Messages are sent before the preceding persist actions are synced.
    SendBeforeSync,
}

/// Behaviour of the simulated network and disks.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub drop_probability: f64,
    pub duplicate_probability: f64,
    /// Maximum delay of a message. Delays are random, so messages can be reordered.
    pub max_delay: Duration,
    /// Probability that a replica crashes before it executes an action.
    pub crash_probability: f64,
    /// Number of applied entries between two snapshots.
    pub compact_every: u64,
    /// Size of a snapshot in bytes; at least 8 are used, for the digest of the state machine.
    pub snapshot_size: usize,
    /// Whether each replica treats a quorum as connected as soon as it starts, whoever is connected.
    pub early_elections: bool,
    pub injected_bug: InjectedBug,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            drop_probability: 0.0,
            duplicate_probability: 0.0,
            max_delay: Duration::from_millis(4),
            crash_probability: 0.0,
            compact_every: 50,
            snapshot_size: 16,
            early_elections: false,
            injected_bug: InjectedBug::None,
        }
    }
}

/// Counters of a run.
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
    /// Persist actions not synced yet, with [`InjectedBug::SendBeforeSync`].
    unsynced: Vec<Action>,
    pub disk_full: bool,
    pub disk_lost: bool,
    pub applied: LogIndex,
    digest: u64,
    compacted_up_to: LogIndex,
}

/// Simulated group, its network and its observed history.
pub struct Cluster {
    pub now: Instant,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    pub rng: ChaCha8Rng,
    pub options: Options,
    pub counts: Counts,
    pub violations: Vec<Violation>,
    pub reported_actions: Vec<Action>,
    verifier: Verifier,
    queue: BTreeMap<(Instant, u64), Message>,
    sequence: u64,
    /// Digest of the state machine at each applied index.
    digests: BTreeMap<LogIndex, u64>,
    next_id: ReplicaId,
    /// Number of committed entries at each time at which it increased.
    commit_history: BTreeMap<Instant, LogIndex>,
    /// Number of committed entries at the arrival of each read.
    reads: BTreeMap<ReadId, LogIndex>,
}

impl Cluster {
    /// Starts a group of `size` voters.
    pub fn new(size: u64, seed: u64, options: Options) -> Self {
        let mut cluster = Self {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            options,
            counts: Counts::default(),
            violations: Vec::new(),
            reported_actions: Vec::new(),
            verifier: Verifier::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            digests: BTreeMap::new(),
            next_id: size + 1,
            commit_history: BTreeMap::new(),
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

    /// Adds a replica with a blank disk and returns its id.
    pub fn add_blank_replica(&mut self) -> ReplicaId {
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
            compacted_up_to: 0,
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
            .vote_twice(self.options.injected_bug == InjectedBug::VoteTwice)
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
        node.compacted_up_to = snapshot.meta.index;
        node.digest = decode(&snapshot.data);
        node.raft = Some(raft);
        self.verifier.record_restart(id);
        if self.options.early_elections {
            self.handle_event(id, Event::QuorumConnected);
        }
    }

    /// Stops a replica; unsynced persist actions are lost.
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

    /// Stops a replica permanently and loses its disk.
    pub fn lose_disk(&mut self, id: ReplicaId) {
        self.crash(id);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.disk_lost = true;
        }
    }

    /// Drops all messages to and from a replica.
    pub fn isolate(&mut self, id: ReplicaId) {
        for other in self.nodes.keys().copied() {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
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

    /// Runs the simulation for a span of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.violations.is_empty() && self.step(end) {}
        self.now = self.now.max(end);
    }

    /// Runs until the group has a leader, and returns its id.
    pub fn wait_for_leader(&mut self) -> ReplicaId {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run_for(Duration::from_millis(100));
        }
        panic!("no leader after 10 s");
    }

    /// Delivers the next message or tick and returns true, unless it is due after `end`.
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
                self.handle_event(to, Event::Message(message));
            }
        } else if let Some((_, id)) = wake {
            self.handle_event(id, Event::Tick);
        }
        true
    }

    /// Passes an event to a replica and executes the resulting actions.
    pub fn handle_event(&mut self, id: ReplicaId, event: Event) {
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
            if self.options.crash_probability > 0.0 && self.rng.random_bool(self.options.crash_probability) {
                self.crash(id);
                return;
            }
            if action.is_persist() {
                if !self.persist(id, action) {
                    return;
                }
            } else {
                self.execute_action(id, action);
            }
        }
    }

    /// Persists an action and returns true. If the disk is full, it reports the failure to the replica and returns
    /// false, and the caller drops the later actions.
    fn persist(&mut self, id: ReplicaId, action: Action) -> bool {
        let node = self.nodes.get_mut(&id).expect("known replica");
        if node.disk_full {
            self.counts.storage_failures += 1;
            let durable = node.disk.clone();
            let applied = node.applied;
            self.verifier.record_restart(id);
            self.handle_event(id, Event::StorageFailed { durable, applied });
            return false;
        }
        if self.options.injected_bug == InjectedBug::SendBeforeSync {
            node.unsynced.push(action);
        } else {
            persist(&mut node.disk, &action);
        }
        true
    }

    fn execute_action(&mut self, id: ReplicaId, action: Action) {
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
                node.compacted_up_to = index;
                self.check_digest(id, index, digest);
            }
            action => {
                self.check_confirmation(id, &action);
                self.reported_actions.push(action);
            }
        }
    }

    /// Checks that a leadership confirmation covers all entries committed before its heartbeat round started.
    fn check_confirmation(&mut self, replica: ReplicaId, action: &Action) {
        let (index, known) = match action {
            Action::RoleChanged {
                role: Role::Leader, ..
            } => {
                self.counts.leaders += 1;
                return;
            }
            Action::QuorumConfirmed { since, commit_index } => {
                self.counts.confirmed += 1;
                let before = self.commit_history.range(..*since).next_back();
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

    /// Requests a leadership confirmation for a read.
    pub fn read(&mut self, id: ReplicaId, read: ReadId) {
        self.reads.insert(read, self.counts.committed);
        self.handle_event(id, Event::Read { id: read });
    }

    fn apply(&mut self, id: ReplicaId, entries: &[Entry]) {
        self.violations.extend(self.verifier.record_applied(id, entries));
        let committed = self.verifier.committed().len() as u64;
        if committed > self.counts.committed {
            self.counts.committed = committed;
            self.commit_history.insert(self.now, committed);
        }
        for entry in entries {
            let node = self.nodes.get_mut(&id).expect("known replica");
            assert_eq!(node.applied + 1, entry.index, "entries must be applied in order");
            node.applied = entry.index;
            if let Payload::Command(command) = &entry.payload {
                let value = decode(command);
                node.digest = node.digest.wrapping_mul(31).wrapping_add(value);
            }
            let digest = node.digest;
            self.check_digest(id, entry.index, digest);
        }
    }

    /// Compacts the log once enough entries are applied.
    fn compact_if_due(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.applied - node.compacted_up_to < self.options.compact_every {
            return;
        }
        node.compacted_up_to = node.applied;
        let mut data = node.digest.to_be_bytes().to_vec();
        data.resize(self.options.snapshot_size.max(8), 0);
        let index = node.applied;
        let data = Bytes::from(data);
        self.handle_event(id, Event::Compact { index, data });
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
        if self.blocked_links.contains(&link) || self.rng.random_bool(self.options.drop_probability) {
            return;
        }
        if self.rng.random_bool(self.options.duplicate_probability) {
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

    /// Proposes a command to a replica.
    pub fn propose(&mut self, id: ReplicaId, value: u64) {
        let command = Bytes::copy_from_slice(&value.to_be_bytes());
        let proposal = Proposal { id: value, command };
        self.handle_event(id, Event::Propose(vec![proposal]));
    }

    /// Proposes the replacement of a voter to the leader.
    pub fn replace(&mut self, remove: ReplicaId, add: ReplicaId) {
        let change = MembershipChange::Replace(VoterReplacement { remove, add });
        if let Some(leader) = self.leader() {
            self.handle_event(leader, Event::ProposeMembership { id: 0, change });
        }
    }

    /// Describes the state of every replica, for failure reports.
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

    /// Ends all faults and starts every replica that still has its disk.
    pub fn end_faults(&mut self) {
        self.blocked_links.clear();
        self.options.drop_probability = 0.0;
        self.options.duplicate_probability = 0.0;
        self.options.crash_probability = 0.0;
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.start(id);
            self.repair_disk(id);
        }
    }

    /// Frees disk space and notifies the replica.
    pub fn repair_disk(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.disk_full = false;
        self.handle_event(id, Event::StorageReady);
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

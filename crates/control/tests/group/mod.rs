//! Simulated group of control cores with in-memory stores, virtual time and a simulated network.

#![allow(dead_code, reason = "each test binary uses a part of the group")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use chestnutfork_config::Patch;
use chestnutfork_control::{
    ControlCore, ControlMessage, CoreConfig, EntryInfo, Event, Notice, OperatorRequest, Output, PeerMessage,
    Reply, SubscriberIdentity, SubscriberMessage,
};
use chestnutfork_raft::Config;
use chestnutfork_storage::{FileStore, LogStore, MemoryFolder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

pub const SECOND: Duration = Duration::from_secs(1);
const MIN_DELAY: Duration = Duration::from_millis(2);
/// Radix of link ids: an id is `(session * LINK_STRIDE + from) * LINK_STRIDE + to`.
const LINK_STRIDE: u64 = 1000;

fn link(session: u64, from: u64, to: u64) -> u64 {
    (session * LINK_STRIDE + from) * LINK_STRIDE + to
}

struct Node {
    core: Option<ControlCore>,
    store: Option<FileStore<MemoryFolder>>,
}

enum Delivery {
    Peer {
        to: u64,
        link: u64,
        message: PeerMessage,
    },
}

/// Simulated group; nodes are numbered from zero and named `control-N`.
pub struct Group {
    pub now: Instant,
    nodes: Vec<Node>,
    queue: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    pub isolated: BTreeSet<u64>,
    pub replies: BTreeMap<u64, Reply>,
    /// Messages to subscribers, each with its time and link.
    pub subscriber_messages: Vec<(Instant, u64, ControlMessage)>,
    pub notices: Vec<(u64, Notice)>,
    initial_size: usize,
    /// Number of voters that leaders maintain by membership repair; `None` disables the repair.
    voters: Option<usize>,
    /// Probability of loss of a message between control processes.
    pub loss: f64,
    /// Maximum delay of a message between control processes.
    pub max_delay: Duration,
    pub rng: ChaCha8Rng,
    /// Time at which each version was first applied by any process.
    first_seen: BTreeMap<u64, Instant>,
    /// Session of the open link between each pair of nodes, in ascending order.
    sessions: BTreeMap<(u64, u64), u64>,
    /// Violations of invariants.
    pub violations: Vec<String>,
}

pub fn patch(base: u64, id: u128, body: Value) -> OperatorRequest {
    let patch = Patch {
        base,
        id,
        operator: "ann".into(),
        reason: "test".into(),
        body,
    };
    OperatorRequest::Patch {
        patch,
        dry_run: false,
    }
}

/// Returns a valid patch body that depends on `number`.
pub fn service(number: u64) -> Value {
    json!({ "services": { format!("desk{number}"): { "pool": "main" } } })
}

impl Group {
    pub fn new(size: usize) -> Self {
        Self::with_voters(size, None)
    }

    /// Returns a group whose leaders maintain the given number of voters.
    pub fn with_voters(size: usize, voters: Option<usize>) -> Self {
        let mut group = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            isolated: BTreeSet::new(),
            replies: BTreeMap::new(),
            subscriber_messages: Vec::new(),
            notices: Vec::new(),
            initial_size: size,
            voters,
            loss: 0.0,
            max_delay: MIN_DELAY,
            rng: ChaCha8Rng::seed_from_u64(0),
            first_seen: BTreeMap::new(),
            sessions: BTreeMap::new(),
            violations: Vec::new(),
        };
        for _ in 0..size {
            group.add();
        }
        group
    }

    /// Returns a group with an elected leader, and the leader.
    pub fn formed(size: usize) -> (Self, u64) {
        let mut group = Self::new(size);
        let leader = group.wait_for_leader();
        group.run_for(SECOND);
        (group, leader)
    }

    /// Adds a process with an empty folder.
    pub fn add(&mut self) -> u64 {
        let node = Node {
            core: None,
            store: None,
        };
        self.nodes.push(node);
        let node = self.nodes.len() as u64 - 1;
        self.start(node, MemoryFolder::default());
        node
    }

    fn node(&mut self, node: u64) -> &mut Node {
        &mut self.nodes[usize::try_from(node).unwrap()]
    }

    pub fn is_running(&self, node: u64) -> bool {
        self.nodes[usize::try_from(node).unwrap()].core.is_some()
    }

    pub fn core(&self, node: u64) -> &ControlCore {
        self.nodes[usize::try_from(node).unwrap()]
            .core
            .as_ref()
            .expect("process runs")
    }

    pub fn store(&mut self, node: u64) -> &mut FileStore<MemoryFolder> {
        self.node(node).store.as_mut().expect("process runs")
    }

    /// Starts a process on a folder.
    pub fn start(&mut self, node: u64, folder: MemoryFolder) {
        self.sequence += 1;
        let new_id = 100 + self.sequence;
        let mut store = FileStore::open_or_format(folder, new_id).unwrap();
        let cfg = CoreConfig {
            name: format!("control-{node}"),
            initial_members: (0..self.initial_size)
                .map(|node| format!("control-{node}"))
                .collect(),
            operator_address: format!("10.0.0.{node}:80"),
            link_address: format!("10.0.0.{node}:70"),
            voter_count: self.voters,
            raft: Config::builder(store.replica_id()).build().unwrap(),
        };
        let stored = store.load().unwrap();
        let core = ControlCore::new(cfg, stored, self.now).unwrap();
        let count = self.nodes.len() as u64;
        *self.node(node) = Node {
            core: Some(core),
            store: Some(store),
        };
        for other in (0..count).filter(|&other| other != node) {
            self.connect(node, other);
        }
    }

    /// Opens a link between two processes if both are running.
    fn connect(&mut self, node: u64, other: u64) {
        if !self.is_running(node) || !self.is_running(other) {
            return;
        }
        self.sequence += 1;
        let session = self.sequence;
        self.sessions.insert((node.min(other), node.max(other)), session);
        for (from, to) in [(node, other), (other, node)] {
            let up = Event::PeerUp {
                link: link(session, from, to),
                name: format!("control-{to}"),
                address: format!("10.0.0.{to}:90"),
            };
            self.deliver(from, up);
        }
    }

    fn disconnect(&mut self, node: u64, other: u64) {
        if let Some(session) = self.sessions.remove(&(node.min(other), node.max(other))) {
            for (from, to) in [(node, other), (other, node)] {
                let link = link(session, from, to);
                self.deliver(from, Event::PeerDown { link });
            }
        }
    }

    /// Stops a process and returns its folder.
    pub fn stop(&mut self, node: u64) -> MemoryFolder {
        let stopped = self.node(node);
        stopped.core = None;
        let store = stopped.store.take().expect("process runs");
        for other in (0..self.nodes.len() as u64).filter(|&other| other != node) {
            self.disconnect(node, other);
        }
        store.into_folder()
    }

    /// Drops all messages between a process and the others, without closing its links.
    pub fn isolate(&mut self, node: u64) {
        self.isolated.insert(node);
    }

    /// Ends all isolation and reopens the affected links.
    pub fn reconnect(&mut self) {
        for node in std::mem::take(&mut self.isolated) {
            for other in (0..self.nodes.len() as u64).filter(|&other| other != node) {
                self.disconnect(node, other);
                self.connect(node, other);
            }
        }
    }

    pub fn leader(&self) -> Option<u64> {
        let leads = |node: &&usize| {
            self.nodes[**node]
                .core
                .as_ref()
                .is_some_and(ControlCore::is_leader)
        };
        let nodes: Vec<usize> = (0..self.nodes.len()).collect();
        let leaders = nodes.iter().filter(leads);
        let latest = leaders.max_by_key(|&&node| self.core(node as u64).raft().term());
        latest.map(|&node| node as u64)
    }

    pub fn wait_for_leader(&mut self) -> u64 {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run_for(SECOND / 10);
        }
        panic!("no leader after 10 s");
    }

    /// Returns a process that is not the leader.
    pub fn follower(&self) -> u64 {
        let leader = self.leader();
        (0..self.nodes.len() as u64)
            .find(|&node| Some(node) != leader)
            .expect("a follower")
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.next_time().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<Instant> {
        let message = self.queue.first_key_value().map(|((at, _), _)| *at);
        let running = self.nodes.iter().filter_map(|node| node.core.as_ref());
        let wake = running.map(ControlCore::next_wakeup).min();
        [message, wake].into_iter().flatten().min()
    }

    fn step(&mut self) {
        let due = self
            .queue
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= self.now);
        if due {
            if let Some((_, Delivery::Peer { to, link, message })) = self.queue.pop_first() {
                let from = link % LINK_STRIDE;
                let open = self.sessions.get(&(from.min(to), from.max(to)));
                if open == Some(&(link / (LINK_STRIDE * LINK_STRIDE))) {
                    let messages = vec![message];
                    self.deliver(to, Event::FromPeer { link, messages });
                }
            }
            return;
        }
        for node in 0..self.nodes.len() as u64 {
            let now = self.now;
            let due = self
                .node(node)
                .core
                .as_ref()
                .is_some_and(|core| core.next_wakeup() <= now);
            if due {
                self.deliver(node, Event::Tick);
            }
        }
    }

    /// Passes an event to a process, persists its changes and executes its outputs.
    pub fn deliver(&mut self, node: u64, event: Event) {
        let now = self.now;
        let mut outputs = Vec::new();
        let Node {
            core: Some(core),
            store: Some(store),
        } = self.node(node)
        else {
            return;
        };
        core.handle(now, SystemTime::UNIX_EPOCH, event);
        while core.has_work() {
            let changes = core.begin_batch(now);
            let written = if changes.is_empty() {
                Ok(())
            } else {
                store.write(&changes)
            };
            if written.is_ok() {
                core.finish_batch(now, SystemTime::UNIX_EPOCH, &mut outputs)
                    .unwrap();
            } else {
                let stored = store.load().unwrap();
                core.fail_batch(now, stored, &mut outputs).unwrap();
            }
        }
        let version = core.version();
        let found = core.raft().verify();
        self.violations.extend(found.iter().map(ToString::to_string));
        self.first_seen.entry(version).or_insert(now);
        for output in outputs {
            self.execute_output(node, output);
        }
    }

    /// Checks that no later version was applied before the quorum check that confirms a version.
    fn check_confirmation(&mut self, version: u64, age: Duration) {
        let checked_at = self.now.checked_sub(age).expect("after the start");
        let later = self
            .first_seen
            .range(version + 1..)
            .find(|(_, at)| **at < checked_at);
        if let Some((later, _)) = later {
            let text = format!("version {version} was confirmed after version {later} was applied");
            self.violations.push(text);
        }
    }

    fn execute_output(&mut self, node: u64, output: Output) {
        match output {
            Output::ToPeer(link_number, message) => {
                let to = link_number % LINK_STRIDE;
                let partitioned = self.isolated.contains(&node) || self.isolated.contains(&to);
                // Introductions are never lost: a real link that lost one would be closed and reopened, which sends it
                // again.
                let hello = matches!(message, PeerMessage::Hello(_));
                let lost = !hello && self.rng.random_bool(self.loss);
                if !partitioned && !lost {
                    let delay = self.rng.random_range(MIN_DELAY..=self.max_delay);
                    self.sequence += 1;
                    let link = link(link_number / (LINK_STRIDE * LINK_STRIDE), to, node);
                    let delivery = Delivery::Peer { to, link, message };
                    self.queue.insert((self.now + delay, self.sequence), delivery);
                }
            }
            Output::ToSubscriber(link, message) => {
                if let ControlMessage::Confirm(confirmation) = &message {
                    self.check_confirmation(confirmation.version, confirmation.age);
                }
                self.subscriber_messages.push((self.now, link, message));
            }
            // Every process is connected to all others when it starts.
            Output::Dial(_) => {}
            Output::Reply(request_id, reply) => {
                self.replies.insert(request_id, reply);
            }
            Output::Notice(notice) => self.notices.push((node, notice)),
        }
    }

    /// Returns a number that no other call returns.
    pub fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Sends an operator request to a process.
    pub fn request(&mut self, node: u64, request_id: u64, request: OperatorRequest) {
        let operator = "ann".into();
        self.deliver(
            node,
            Event::Operator {
                request_id,
                operator,
                request,
            },
        );
    }

    /// Sends a request and returns the status and body of its reply.
    pub fn ask(&mut self, node: u64, request: OperatorRequest) -> (u16, Value) {
        self.sequence += 1;
        let request_id = self.sequence;
        self.request(node, request_id, request);
        self.run_for(SECOND * 6);
        self.answer(request_id)
    }

    /// Returns the status and body of a reply.
    pub fn answer(&self, request_id: u64) -> (u16, Value) {
        let reply = &self.replies[&request_id];
        (reply.status, serde_json::from_slice(&reply.body).unwrap())
    }

    /// Connects a subscriber that has a given version in force.
    pub fn subscribe(&mut self, node: u64, link: u64, process: u64, is_entry: bool, have: u64) {
        let info = EntryInfo {
            process,
            name: format!("process-{process}"),
            address: "10.1.0.1:90".into(),
            failure_domain: String::new(),
        };
        let identity = SubscriberIdentity { info, is_entry };
        self.deliver(node, Event::SubscriberUp { link, identity });
        let messages = vec![SubscriberMessage::Subscribe {
            have,
            failure_domain: "a".into(),
        }];
        self.deliver(node, Event::FromSubscriber { link, messages });
    }

    /// Renews the lease of a subscriber.
    pub fn renew(&mut self, node: u64, link: u64, version: u64, synced: u64) {
        let messages = vec![SubscriberMessage::Renew {
            probe: 7,
            version,
            synced,
        }];
        self.deliver(node, Event::FromSubscriber { link, messages });
    }

    /// Returns the versions confirmed on a subscriber's link since a given time.
    pub fn confirmed(&self, link: u64, since: Instant) -> Vec<u64> {
        let messages = self
            .subscriber_messages
            .iter()
            .filter(|(at, to, _)| *to == link && *at >= since);
        let versions = messages.filter_map(|(_, _, message)| match message {
            ControlMessage::Confirm(confirmation) => Some(confirmation.version),
            _ => None,
        });
        versions.collect()
    }
}

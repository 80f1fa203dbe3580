//! Group of control cores over stores in memory, with virtual time and a simulated network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use chestnutfork_config::Patch;
use chestnutfork_control::{
    ControlCore, ControlMessage, CoreConfig, EntryInfo, Event, Notice, OperatorRequest, Output, PeerMessage,
    Reply, SubscriberIdentity, SubscriberMessage,
};
use chestnutfork_raft::Config;
use chestnutfork_storage::{FileStore, LogStore, MemoryFolder};
use serde_json::{Value, json};

pub const SECOND: Duration = Duration::from_secs(1);
const DELAY: Duration = Duration::from_millis(2);
/// Distance between the numbers of links and nodes; a link is `from * LINKS + to`.
const LINKS: u64 = 1000;

struct Node {
    core: Option<ControlCore>,
    store: Option<FileStore<MemoryFolder>>,
    subscribers: BTreeMap<u64, SubscriberIdentity>,
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
    pub blocked: BTreeSet<u64>,
    pub replies: BTreeMap<u64, Reply>,
    /// Messages to subscribers with the time at which they were sent.
    pub sent: Vec<(Instant, u64, ControlMessage)>,
    pub notices: Vec<(u64, Notice)>,
    initial: usize,
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

/// Returns a valid body that differs by `number`.
pub fn service(number: u64) -> Value {
    json!({ "services": { format!("desk{number}"): { "pool": "main" } } })
}

impl Group {
    pub fn new(size: usize) -> Self {
        let mut group = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            blocked: BTreeSet::new(),
            replies: BTreeMap::new(),
            sent: Vec::new(),
            notices: Vec::new(),
            initial: size,
        };
        for _ in 0..size {
            group.add();
        }
        group
    }

    /// Returns a group that has elected a leader, and the leader.
    pub fn formed(size: usize) -> (Self, u64) {
        let mut group = Self::new(size);
        let leader = group.elect();
        group.run(SECOND);
        (group, leader)
    }

    /// Adds a process with an empty folder.
    pub fn add(&mut self) -> u64 {
        let node = Node {
            core: None,
            store: None,
            subscribers: BTreeMap::new(),
        };
        self.nodes.push(node);
        let node = self.nodes.len() as u64 - 1;
        self.start(node, MemoryFolder::default());
        node
    }

    fn node(&mut self, node: u64) -> &mut Node {
        &mut self.nodes[usize::try_from(node).unwrap()]
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
            initial_members: (0..self.initial).map(|node| format!("control-{node}")).collect(),
            operators: format!("10.0.0.{node}:80"),
            raft: Config::builder(store.replica_id()).build().unwrap(),
        };
        let stored = store.load().unwrap();
        let core = ControlCore::new(cfg, stored, self.now).unwrap();
        let count = self.nodes.len() as u64;
        *self.node(node) = Node {
            core: Some(core),
            store: Some(store),
            subscribers: BTreeMap::new(),
        };
        for other in (0..count).filter(|&other| other != node) {
            let running = self.node(other).core.is_some();
            if running {
                self.connect(node, other);
                self.connect(other, node);
            }
        }
    }

    fn connect(&mut self, node: u64, other: u64) {
        let link = node * LINKS + other;
        let name = format!("control-{other}");
        let address = format!("10.0.0.{other}:90");
        self.event(node, Event::PeerUp { link, name, address });
    }

    /// Stops a process and returns its folder.
    pub fn stop(&mut self, node: u64) -> MemoryFolder {
        let stopped = self.node(node);
        stopped.core = None;
        let store = stopped.store.take().expect("process runs");
        for other in (0..self.nodes.len() as u64).filter(|&other| other != node) {
            let link = other * LINKS + node;
            self.event(other, Event::PeerDown { link });
        }
        store.into_folder()
    }

    /// Cuts a process off from the others without closing its links.
    pub fn isolate(&mut self, node: u64) {
        self.blocked.insert(node);
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

    pub fn elect(&mut self) -> u64 {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(SECOND / 10);
        }
        panic!("no leader after 10 s");
    }

    /// Returns a process that does not lead.
    pub fn follower(&self) -> u64 {
        let leader = self.leader();
        (0..self.nodes.len() as u64)
            .find(|&node| Some(node) != leader)
            .expect("a follower")
    }

    pub fn run(&mut self, time: Duration) {
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
                let messages = vec![message];
                self.event(to, Event::FromPeer { link, messages });
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
                self.event(node, Event::Tick);
            }
        }
    }

    /// Passes an event to a process and executes what follows.
    pub fn event(&mut self, node: u64, event: Event) {
        let now = self.now;
        let mut outputs = Vec::new();
        let Node {
            core: Some(core),
            store: Some(store),
            ..
        } = self.node(node)
        else {
            return;
        };
        core.handle(now, SystemTime::UNIX_EPOCH, event);
        while core.has_work() {
            let changes = core.begin(now);
            let written = if changes.is_empty() {
                Ok(())
            } else {
                store.write(&changes)
            };
            if written.is_ok() {
                core.finish(now, SystemTime::UNIX_EPOCH, &mut outputs).unwrap();
            } else {
                let stored = store.load().unwrap();
                core.fail(now, stored, &mut outputs).unwrap();
            }
        }
        for output in outputs {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: u64, output: Output) {
        match output {
            Output::ToPeer(link, message) => {
                let to = link % LINKS;
                let lost = self.blocked.contains(&node) || self.blocked.contains(&to);
                if !lost {
                    self.sequence += 1;
                    let link = to * LINKS + node;
                    let delivery = Delivery::Peer { to, link, message };
                    self.queue.insert((self.now + DELAY, self.sequence), delivery);
                }
            }
            Output::ToSubscriber(link, message) => self.sent.push((self.now, link, message)),
            Output::Reply(ticket, reply) => {
                self.replies.insert(ticket, reply);
            }
            Output::Notice(notice) => self.notices.push((node, notice)),
        }
    }

    /// Sends a request of an operator to a process.
    pub fn request(&mut self, node: u64, ticket: u64, request: OperatorRequest) {
        let operator = "ann".into();
        self.event(
            node,
            Event::Operator {
                ticket,
                operator,
                request,
            },
        );
    }

    /// Sends a request and returns status and body of its answer.
    pub fn ask(&mut self, node: u64, request: OperatorRequest) -> (u16, Value) {
        self.sequence += 1;
        let ticket = self.sequence;
        self.request(node, ticket, request);
        self.run(SECOND * 6);
        self.answer(ticket)
    }

    /// Returns status and body of an answer.
    pub fn answer(&self, ticket: u64) -> (u16, Value) {
        let reply = &self.replies[&ticket];
        (reply.status, serde_json::from_slice(&reply.body).unwrap())
    }

    /// Connects a subscriber and subscribes from a version on.
    pub fn subscribe(&mut self, node: u64, link: u64, process: u64, is_entry: bool, have: u64) {
        let info = EntryInfo {
            process,
            name: format!("process-{process}"),
            address: "10.1.0.1:90".into(),
            failure_domain: String::new(),
        };
        let identity = SubscriberIdentity { info, is_entry };
        self.node(node).subscribers.insert(link, identity.clone());
        self.event(node, Event::SubscriberUp { link, identity });
        let messages = vec![SubscriberMessage::Subscribe {
            have,
            failure_domain: "a".into(),
        }];
        self.event(node, Event::FromSubscriber { link, messages });
    }

    /// Renews the lease of a subscriber.
    pub fn renew(&mut self, node: u64, link: u64, version: u64, synced: u64) {
        let messages = vec![SubscriberMessage::Renew {
            probe: 7,
            version,
            synced,
        }];
        self.event(node, Event::FromSubscriber { link, messages });
    }

    /// Returns the versions that a subscriber's link got confirmed since a time.
    pub fn confirmed(&self, link: u64, since: Instant) -> Vec<u64> {
        let messages = self.sent.iter().filter(|(at, to, _)| *to == link && *at >= since);
        let versions = messages.filter_map(|(_, _, message)| match message {
            ControlMessage::Confirm(confirmation) => Some(confirmation.version),
            _ => None,
        });
        versions.collect()
    }
}

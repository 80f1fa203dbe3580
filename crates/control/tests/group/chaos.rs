//! Seeded fault injection for a simulated group, with operators and subscribers.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutfork_config::{AppliedConfig, ApplyOutcome, Update};
use chestnutfork_control::{ControlMessage, Event, OperatorRequest};
use chestnutfork_storage::MemoryFolder;
use rand::RngExt;
use rand::SeedableRng;
use serde_json::Value;

use super::group::{Group, SECOND, patch, service};

const GROUP_SIZE: u64 = 3;
const SUBSCRIBERS: u64 = 4;
const FIRST_LINK: u64 = 50_000;
/// Number of rounds with faults, each of up to half a second of virtual time.
const ROUNDS: u64 = 120;

/// Number of events of each kind in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub accepted: u64,
    pub conflicts: u64,
    pub resends: u64,
    pub confirmations: u64,
    pub restarts: u64,
    pub replacements: u64,
    pub full_disks: u64,
}

/// Result of one run.
pub struct Outcome {
    pub counts: Counts,
    pub violations: Vec<String>,
    pub recovered: bool,
    /// State of the group at the end.
    pub state: String,
}

/// Entry that subscribes to one control process at a time.
struct Subscriber {
    process: u64,
    link: u64,
    node: u64,
    config: AppliedConfig,
    /// Number of the group's messages to subscribers that were already processed.
    seen: usize,
}

struct Chaos {
    group: Group,
    subscribers: Vec<Subscriber>,
    stopped: BTreeMap<u64, MemoryFolder>,
    /// Node with a new disk, and the replica that it replaces.
    replacement: Option<(u64, u64)>,
    /// Patches that were sent, by request id.
    patches: BTreeMap<u64, OperatorRequest>,
    /// First verdict on each patch id.
    verdicts: BTreeMap<u128, Value>,
    /// Accepted patch of each base version.
    winners: BTreeMap<u64, u128>,
    next_request_id: u64,
    next_link: u64,
    counts: Counts,
}

pub fn run_seed(seed: u64) -> Outcome {
    let mut group = Group::new(usize::try_from(GROUP_SIZE).unwrap());
    group.rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    group.loss = 0.02;
    group.max_delay = Duration::from_millis(if seed.is_multiple_of(3) { 120 } else { 10 });
    let mut chaos = Chaos {
        group,
        subscribers: Vec::new(),
        stopped: BTreeMap::new(),
        replacement: None,
        patches: BTreeMap::new(),
        verdicts: BTreeMap::new(),
        winners: BTreeMap::new(),
        next_request_id: 1,
        next_link: FIRST_LINK,
        counts: Counts::default(),
    };
    chaos.group.run_for(SECOND * 3);
    for process in 1..=SUBSCRIBERS {
        chaos.subscribers.push(Subscriber {
            process,
            link: 0,
            node: 0,
            config: AppliedConfig::default(),
            seen: 0,
        });
    }
    for _ in 0..ROUNDS {
        chaos.round();
    }
    let recovered = chaos.recover();
    Outcome {
        state: chaos.describe(),
        counts: chaos.counts,
        violations: chaos.group.violations,
        recovered,
    }
}

impl Chaos {
    fn round(&mut self) {
        self.send_patches();
        self.inject_fault();
        self.continue_replacement();
        self.renew();
        let pause = self.group.rng.random_range(20..500);
        self.group.run_for(Duration::from_millis(pause));
        self.apply_messages();
        self.check_replies();
    }

    /// Sends two patches with the same base version to random processes, and sometimes resends an earlier one.
    fn send_patches(&mut self) {
        let newest = (0..GROUP_SIZE).filter(|&node| self.group.is_running(node));
        let base = newest
            .map(|node| self.group.core(node).version())
            .max()
            .unwrap_or(0);
        for _ in 0..2 {
            let id = u128::from(self.next_request_id);
            self.send(patch(base, id, service(self.next_request_id % 7)));
        }
        if self.group.rng.random_bool(0.3) && !self.patches.is_empty() {
            let index = self.group.rng.random_range(0..self.patches.len());
            let resent = self
                .patches
                .values()
                .nth(index)
                .cloned()
                .expect("within the patches");
            self.counts.resends += 1;
            self.send(resent);
        }
    }

    fn send(&mut self, request: OperatorRequest) {
        let node = self.group.rng.random_range(0..GROUP_SIZE);
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        self.patches.insert(request_id, request.clone());
        self.group.request(node, request_id, request);
    }

    fn inject_fault(&mut self) {
        let node = self.group.rng.random_range(0..GROUP_SIZE);
        match self.group.rng.random_range(0..20) {
            0 if self.group.is_running(node) => {
                let folder = self.stop(node);
                self.stopped.insert(node, folder);
            }
            1..=4 => self.restart(node),
            5 => self.group.isolate(node),
            6..=9 => self.group.reconnect(),
            10 if self.group.is_running(node) => {
                self.counts.full_disks += 1;
                self.group.store(node).folder_mut().set_capacity(Some(0));
            }
            11..=14 => self.free_disk(node),
            15 if self.group.is_running(node) => self.shut_down(node),
            16 => self.lose_disk(node),
            17 if self.group.is_running(node) => self.group.store(node).folder_mut().tear_next_write(7),
            _ => {}
        }
    }

    /// Requests a graceful shutdown and stops the process after 1 s, possibly before leadership is transferred.
    fn shut_down(&mut self, node: u64) {
        self.group.deliver(node, Event::Shutdown);
        self.group.run_for(SECOND);
        let folder = self.stop(node);
        self.stopped.insert(node, folder);
    }

    /// Stops a process, which closes the links of its subscribers.
    fn stop(&mut self, node: u64) -> MemoryFolder {
        for subscriber in self
            .subscribers
            .iter_mut()
            .filter(|subscriber| subscriber.node == node)
        {
            subscriber.link = 0;
        }
        self.group.stop(node)
    }

    fn restart(&mut self, node: u64) {
        if let Some(mut folder) = self.stopped.remove(&node) {
            self.counts.restarts += 1;
            folder.set_capacity(None);
            self.group.start(node, folder);
        }
    }

    fn free_disk(&mut self, node: u64) {
        if self.group.is_running(node) {
            self.group.store(node).folder_mut().set_capacity(None);
            self.group.deliver(node, Event::StorageReady);
        }
    }

    /// Restarts a member with an empty disk, if all processes run and agree on the member set.
    fn lose_disk(&mut self, node: u64) {
        let healthy = self.stopped.is_empty() && self.replacement.is_none();
        let Some(leader) = self.group.leader().filter(|_| healthy) else {
            return;
        };
        let members = self.group.core(leader).raft().membership().clone();
        let members_agree = (0..GROUP_SIZE).all(|node| self.group.core(node).raft().membership() == &members);
        if !members_agree || members.replacement.is_some() {
            return;
        }
        let old = self.group.core(node).replica();
        self.stop(node);
        self.group.start(node, MemoryFolder::default());
        self.replacement = Some((node, old));
    }

    fn continue_replacement(&mut self) {
        let Some((node, old)) = self.replacement else {
            return;
        };
        let Some(leader) = self.group.leader().filter(|_| self.group.is_running(node)) else {
            return;
        };
        let new = self.group.core(node).replica();
        let done = |node: u64| {
            let members = self.group.core(node).raft().membership();
            members.is_voter(new) && !members.contains(old) && members.replacement.is_none()
        };
        if (0..GROUP_SIZE).all(|node| self.group.is_running(node) && done(node)) {
            self.replacement = None;
            self.counts.replacements += 1;
            return;
        }
        let request = OperatorRequest::Replace {
            remove: old,
            add: new,
            reason: "disk lost".into(),
        };
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        self.group.request(leader, request_id, request);
    }

    /// Renews leases and connects some subscribers to another control process.
    fn renew(&mut self) {
        for index in 0..self.subscribers.len() {
            let reconnects = self.subscribers[index].link == 0 || self.group.rng.random_bool(0.1);
            let node = self.group.rng.random_range(0..GROUP_SIZE);
            if reconnects && self.group.is_running(node) {
                self.next_link += 1;
                let subscriber = &mut self.subscribers[index];
                let (old, link) = (subscriber.link, self.next_link);
                self.group
                    .deliver(subscriber.node, Event::SubscriberDown { link: old });
                subscriber.link = link;
                subscriber.node = node;
                let have = subscriber.config.version();
                self.group.subscribe(node, link, subscriber.process, true, have);
            }
            let subscriber = &self.subscribers[index];
            let version = subscriber.config.version();
            self.group
                .renew(subscriber.node, subscriber.link, version, u64::MAX);
        }
    }

    /// Applies messages to subscribers with the code that entries use.
    fn apply_messages(&mut self) {
        for subscriber in &mut self.subscribers {
            let messages = &self.group.subscriber_messages[subscriber.seen..];
            subscriber.seen = self.group.subscriber_messages.len();
            for (at, _, message) in messages.iter().filter(|(_, link, _)| *link == subscriber.link) {
                match message {
                    ControlMessage::Update(update) => {
                        let update = Update::decode(update).expect("control encodes updates");
                        let before = subscriber.config.version();
                        let changed = subscriber.config.apply(&update).expect("no update is missing");
                        let version_increased = matches!(changed, ApplyOutcome::Applied { from, to } if from == before && to > from);
                        assert!(version_increased, "an update without effect was sent");
                    }
                    ControlMessage::Confirm(confirmation) => {
                        self.counts.confirmations += 1;
                        subscriber
                            .config
                            .confirm(*at, confirmation.version, confirmation.age);
                    }
                    ControlMessage::View(_) => {}
                    ControlMessage::Document(_)
                    | ControlMessage::Directory { .. }
                    | ControlMessage::Announce(_)
                    | ControlMessage::Part(_)
                    | ControlMessage::Evacuations { .. } => {
                        panic!(
                            "a subscriber that does not follow documents received a document or a directory"
                        );
                    }
                }
            }
        }
    }

    /// Checks that one patch per base version is accepted and that every reply to a patch id has the same verdict.
    fn check_replies(&mut self) {
        for (request_id, reply) in std::mem::take(&mut self.group.replies) {
            let Some(OperatorRequest::Patch { patch, .. }) = self.patches.get(&request_id) else {
                continue;
            };
            let body: Value = serde_json::from_slice(&reply.body).expect("replies are JSON");
            if body["verdict"].is_null() {
                continue;
            }
            let first = self.verdicts.entry(patch.id).or_insert_with(|| body.clone());
            if *first != body {
                let text = format!("patch {patch:?} got {first} and then {body}");
                self.group.violations.push(text);
            }
            if body["verdict"] == "accepted" {
                self.counts.accepted += 1;
                let winner = *self.winners.entry(patch.base).or_insert(patch.id);
                if winner != patch.id {
                    let text = format!(
                        "patches {winner} and {} were both accepted on base {}",
                        patch.id, patch.base
                    );
                    self.group.violations.push(text);
                }
            } else {
                self.counts.conflicts += 1;
            }
        }
    }

    fn describe(&self) -> String {
        let nodes = (0..GROUP_SIZE).map(|node| {
            let core = self.group.core(node);
            let raft = core.raft();
            let log = (
                raft.commit_index(),
                raft.last_index(),
                raft.storage_ok(),
                raft.membership(),
            );
            format!(
                "  {node}: version {}, {:?} {} {log:?}\n",
                core.version(),
                raft.role(),
                raft.term()
            )
        });
        let versions: Vec<u64> = self
            .subscribers
            .iter()
            .map(|subscriber| subscriber.config.version())
            .collect();
        let nodes: String = nodes.collect();
        format!(
            "{nodes}  subscribers {versions:?}, replacement {:?}",
            self.replacement
        )
    }

    /// Ends all faults and reports whether a new patch is in force at all replicas and subscribers within 4 s after the
    /// group had 15 s to recover.
    fn recover(&mut self) -> bool {
        self.group.loss = 0.0;
        self.group.reconnect();
        for node in 0..GROUP_SIZE {
            self.restart(node);
            self.free_disk(node);
        }
        for _ in 0..30 {
            // The next write may still be torn by an earlier fault; real drivers repair the store every second.
            (0..GROUP_SIZE).for_each(|node| self.free_disk(node));
            self.continue_replacement();
            self.renew();
            self.group.run_for(SECOND / 2);
            self.apply_messages();
        }
        let Some(leader) = self.group.leader() else {
            return false;
        };
        let base = self.group.core(leader).version();
        let last_winner = self.winners.keys().next_back().copied();
        for _ in 0..8 {
            // Operators resend unanswered patches, and the next write may still be torn by an earlier fault.
            self.send(patch(base, u128::MAX, service(9)));
            (0..GROUP_SIZE).for_each(|node| self.free_disk(node));
            self.renew();
            self.group.run_for(SECOND / 2);
            self.apply_messages();
        }
        self.check_replies();
        let replicas_updated = (0..GROUP_SIZE).all(|node| self.group.core(node).version() == base + 1);
        let subscribers_updated = self
            .subscribers
            .iter()
            .all(|subscriber| subscriber.config.version() == base + 1);
        let base_includes_winners = last_winner.is_none_or(|winner| winner < base);
        replicas_updated && subscribers_updated && base_includes_winners && self.replacement.is_none()
    }
}

//! Tests of the evacuation of failure domains: durability, order and distribution.

mod group;

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_control::{
    ControlMessage, Document, EntryInfo, Evacuations, Event, Notice, OperatorRequest, SubscriberIdentity,
    SubscriberMessage,
};
use chestnutfork_storage::MemoryFolder;
use group::{Group, SECOND};

const WATCHER: u64 = 70;

fn evacuate(domain: &str, evacuated: bool) -> OperatorRequest {
    let domain = domain.to_owned();
    OperatorRequest::Evacuate { domain, evacuated }
}

/// Sends a request and returns its number without waiting for the answer.
fn send(group: &mut Group, node: u64, domain: &str, evacuated: bool) -> u64 {
    let request_id = 1_000_000 + group.next_number();
    group.request(node, request_id, evacuate(domain, evacuated));
    request_id
}

/// Sends a request and returns the status of its answer within a second, or zero.
fn set(group: &mut Group, node: u64, domain: &str, evacuated: bool) -> u16 {
    let request_id = send(group, node, domain, evacuated);
    group.run_for(SECOND);
    group.replies.get(&request_id).map_or(0, |reply| reply.status)
}

fn put_document(group: &mut Group, node: u64, version: u64) {
    let request_id = 2_000_000 + version;
    let content = Bytes::from_static(b"routes");
    let document = Document { version, content };
    group.request(node, request_id, OperatorRequest::PutDocument(document));
    group.run_for(SECOND);
    assert_eq!(group.replies[&request_id].status, 200);
}

/// Submits so many documents that each process replaces its log by a snapshot, which takes 1,000 entries.
fn compact(group: &mut Group, leader: u64) {
    for version in 1..=1_050 {
        let content = Bytes::from_static(b"routes");
        let document = Document { version, content };
        group.request(
            leader,
            3_000_000 + version,
            OperatorRequest::PutDocument(document),
        );
        group.run_for(Duration::from_millis(10));
    }
    group.run_for(SECOND);
    assert!(
        group.core(leader).raft().snapshot().meta.index > 0,
        "a snapshot exists"
    );
}

/// Connects an entry or agent that subscribes to the evacuations and to announcements.
fn connect(group: &mut Group, node: u64, link: u64, messages: Vec<SubscriberMessage>) {
    let info = EntryInfo {
        process: link,
        name: format!("process-{link}"),
        address: "10.2.0.1:70".to_owned(),
        failure_domain: String::new(),
    };
    let identity = SubscriberIdentity { info, is_entry: true };
    group.deliver(node, Event::SubscriberUp { link, identity });
    group.deliver(node, Event::FromSubscriber { link, messages });
}

fn watch(group: &mut Group, node: u64, link: u64) {
    let messages = vec![SubscriberMessage::WatchEvacuations, SubscriberMessage::Watch];
    connect(group, node, link, messages);
}

/// Returns the states that were sent on a link.
fn sent(group: &Group, watcher: u64) -> Vec<Evacuations> {
    let messages = group.subscriber_messages.iter();
    let states = messages.filter_map(|(_, link, message)| match message {
        ControlMessage::Evacuations { state, .. } if *link == watcher => Some(state.clone()),
        _ => None,
    });
    states.collect()
}

fn latest(group: &Group, watcher: u64) -> (u64, BTreeSet<String>) {
    let state = sent(group, watcher).pop().expect("a state was sent");
    (state.revision, state.domains)
}

fn domains(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

/// Returns whether the evacuations were sent before the first announcement on a link that has both.
fn state_precedes_announcements(group: &Group, watcher: u64) -> bool {
    let messages = group
        .subscriber_messages
        .iter()
        .filter(|(_, link, _)| *link == watcher);
    let kinds = messages.filter_map(|(_, _, message)| match message {
        ControlMessage::Evacuations { .. } => Some(true),
        ControlMessage::Announce(_) => Some(false),
        _ => None,
    });
    let kinds: Vec<bool> = kinds.collect();
    kinds.first() == Some(&true) && kinds.contains(&false)
}

fn restart_all(group: &mut Group) -> u64 {
    let folders: Vec<MemoryFolder> = (0..3).map(|node| group.stop(node)).collect();
    for (node, folder) in (0..).zip(folders) {
        group.start(node, folder);
    }
    let leader = group.wait_for_leader();
    group.run_for(SECOND);
    leader
}

/// Guards against an acknowledged evacuation that is lost with the power of all processes, and against one that returns after
/// its end was acknowledged.
#[test]
fn evacuate_survives_restart_of_all() {
    let (mut group, leader) = Group::formed(3);
    assert_eq!(set(&mut group, leader, "a", true), 200);
    assert_eq!(set(&mut group, leader, "b", true), 200);
    assert_eq!(set(&mut group, leader, "a", false), 200);
    let leader = restart_all(&mut group);
    watch(&mut group, leader, WATCHER);
    assert_eq!(latest(&group, WATCHER), (3, domains(&["b"])));
}

/// Guards against a request of a follower that is not forwarded, and against a repeated request that changes the state, or is
/// not acknowledged again.
#[test]
fn evacuate_repeated_at_followers_is_acknowledged_once_in_force() {
    let (mut group, leader) = Group::formed(3);
    watch(&mut group, leader, WATCHER);
    for node in [0, 1, 2, 0, 1, 2] {
        assert_eq!(set(&mut group, node, "a", true), 200);
    }
    assert_eq!(latest(&group, WATCHER), (1, domains(&["a"])));
    for node in [2, 1, 0] {
        assert_eq!(set(&mut group, node, "a", false), 200);
    }
    let revisions = sent(&group, WATCHER).into_iter().map(|state| state.revision);
    assert_eq!(revisions.collect::<Vec<_>>(), [0, 1, 2]);
}

/// Guards against an evacuation that is lost, or applied twice, when its leader is killed after the acceptance of the request
/// and before its announcement to entries.
#[test]
fn evacuate_survives_leader_killed_before_announcement() {
    for delay_ms in 0..12 {
        let (mut group, leader) = Group::formed(3);
        let follower = group.follower();
        watch(&mut group, follower, WATCHER);
        let first = send(&mut group, leader, "a", true);
        group.run_for(Duration::from_millis(delay_ms));
        let acknowledged = group.replies.get(&first).is_some_and(|reply| reply.status == 200);
        group.stop(leader);
        let next = group.wait_for_leader();
        group.run_for(SECOND);
        let survived = sent(&group, WATCHER)
            .last()
            .is_some_and(|state| state.contains("a"));
        assert!(survived || !acknowledged, "lost after {delay_ms} ms");
        // The operator repeats the request until it is acknowledged.
        assert_eq!(
            set(&mut group, next, "a", true),
            200,
            "killed after {delay_ms} ms"
        );
        assert_eq!(latest(&group, WATCHER), (1, domains(&["a"])));
    }
}

/// Guards against two operators after whose concurrent requests the processes disagree.
#[test]
fn evacuate_by_two_operators_follows_log_order() {
    let (mut group, leader) = Group::formed(3);
    for node in 0..3 {
        watch(&mut group, node, WATCHER + node);
    }
    let others: Vec<u64> = (0..3).filter(|&node| node != leader).collect();
    for round in 0..20 {
        let one = send(&mut group, others[0], "a", round % 2 == 0);
        let other = send(&mut group, others[1], "a", round % 2 == 1);
        group.run_for(SECOND);
        assert_eq!(
            (group.replies[&one].status, group.replies[&other].status),
            (200, 200)
        );
        let states = [0, 1, 2].map(|node| latest(&group, WATCHER + node));
        assert!(states.iter().all(|state| *state == states[0]), "{states:?}");
    }
}

/// Guards against an evacuation that takes effect after its end was acknowledged, because the second request was compared with
/// a state that did not include the first. The loss of messages lets the leader prove its leadership before the first request is
/// committed.
#[test]
fn withdrawal_follows_request_in_progress() {
    let (mut group, leader) = Group::formed(3);
    watch(&mut group, leader, WATCHER);
    let mut acknowledged = 0;
    for round in 0..200 {
        group.loss = 0.4;
        send(&mut group, leader, "a", true);
        group.run_for(Duration::from_millis(round % 20));
        let withdrawal = send(&mut group, leader, "a", false);
        group.run_for(SECOND / 2);
        group.loss = 0.0;
        group.run_for(SECOND * 6);
        if group.leader() != Some(leader) {
            break;
        }
        if group.replies[&withdrawal].status == 200 {
            acknowledged += 1;
            assert_eq!(latest(&group, WATCHER).1, domains(&[]), "round {round}");
        }
    }
    assert!(acknowledged > 0, "no withdrawal was acknowledged");
}

/// Guards against an acknowledgement by an isolated former leader, also of a request that changes nothing there, and against a
/// refused request that withdraws what is in force.
#[test]
fn evacuate_is_not_acknowledged_without_quorum() {
    let (mut group, old) = Group::formed(3);
    watch(&mut group, old, WATCHER);
    assert_eq!(set(&mut group, old, "a", true), 200);
    group.isolate(old);
    let repeated = send(&mut group, old, "a", true);
    let change = send(&mut group, old, "a", false);
    group.run_for(SECOND * 7);
    for request in [repeated, change] {
        assert_eq!(group.replies[&request].status, 503);
    }
    assert_eq!(latest(&group, WATCHER), (1, domains(&["a"])));
    let leader = group.wait_for_leader();
    assert_eq!(set(&mut group, leader, "b", true), 200);
    group.reconnect();
    group.run_for(SECOND * 2);
    assert_eq!(latest(&group, WATCHER), (2, domains(&["a", "b"])));
}

/// Guards against an entry that was cut off during several changes and gets none of them on its new link, or all of them.
#[test]
fn watch_after_gap_sends_newest_state() {
    let (mut group, leader) = Group::formed(3);
    watch(&mut group, leader, WATCHER);
    assert_eq!(set(&mut group, leader, "a", true), 200);
    group.deliver(leader, Event::SubscriberDown { link: WATCHER });
    assert_eq!(set(&mut group, leader, "b", true), 200);
    assert_eq!(set(&mut group, leader, "a", false), 200);
    assert_eq!(latest(&group, WATCHER), (1, domains(&["a"])));
    let follower = group.follower();
    watch(&mut group, follower, WATCHER + 1);
    assert_eq!(sent(&group, WATCHER + 1).len(), 1);
    assert_eq!(latest(&group, WATCHER + 1), (3, domains(&["b"])));
}

/// Guards against an entry that gets routes before the evacuations when everything restarts, and so places tasks in an
/// evacuated domain.
#[test]
fn watch_sends_state_before_announcement_after_restart_of_all() {
    let (mut group, leader) = Group::formed(3);
    put_document(&mut group, leader, 1);
    assert_eq!(set(&mut group, leader, "a", true), 200);
    let folders: Vec<MemoryFolder> = (0..3).map(|node| group.stop(node)).collect();
    for (node, folder) in (0..).zip(folders) {
        group.start(node, folder);
        // The entry dials each process as soon as it listens.
        watch(&mut group, node, WATCHER + node);
    }
    group.wait_for_leader();
    group.run_for(SECOND);
    for node in 0..3 {
        assert!(
            state_precedes_announcements(&group, WATCHER + node),
            "control-{node}"
        );
        let first = sent(&group, WATCHER + node).remove(0);
        assert!(first.contains("a"), "control-{node} sent {first:?} first");
    }
}

/// Guards against a control process that announces the document of its snapshot on a link before it has recovered the
/// evacuations, which follow in the log.
#[test]
fn watch_holds_announcements_until_state_is_known() {
    let (mut group, leader) = Group::formed(3);
    compact(&mut group, leader);
    assert_eq!(set(&mut group, leader, "a", true), 200);
    let node = group.follower();
    let folder = group.stop(node);
    group.isolate(node);
    group.start(node, folder);
    watch(&mut group, node, WATCHER);
    connect(&mut group, node, WATCHER + 1, vec![SubscriberMessage::Watch]);
    group.run_for(SECOND);
    assert_eq!(sent(&group, WATCHER), []);
    group.reconnect();
    group.run_for(SECOND * 3);
    assert!(state_precedes_announcements(&group, WATCHER));
    assert!(sent(&group, WATCHER)[0].contains("a"));
    // Processes that do not ask for the evacuations get announcements as before and no message that they cannot read.
    assert_eq!(sent(&group, WATCHER + 1), []);
    let announced = group.subscriber_messages.iter();
    let mut announced = announced.filter(|(_, link, _)| *link == WATCHER + 1);
    assert!(announced.any(|(_, _, message)| *message == ControlMessage::Announce(1_050)));
}

/// Guards against a snapshot without the evacuations, by which a process that was away for long, or a restart, loses them.
#[test]
fn snapshot_includes_evacuations() {
    let (mut group, leader) = Group::formed(3);
    let away = group.follower();
    let folder = group.stop(away);
    assert_eq!(set(&mut group, leader, "a", true), 200);
    compact(&mut group, leader);
    group.start(away, folder);
    group.run_for(SECOND * 3);
    watch(&mut group, away, WATCHER);
    assert_eq!(latest(&group, WATCHER), (1, domains(&["a"])));
    let leader = restart_all(&mut group);
    watch(&mut group, leader, WATCHER + 1);
    assert_eq!(latest(&group, WATCHER + 1), (1, domains(&["a"])));
}

/// Guards against a change that is not logged, or is logged again with each batch.
#[test]
fn evacuate_is_logged_once_by_each_process() {
    let (mut group, leader) = Group::formed(3);
    assert_eq!(set(&mut group, leader, "a", true), 200);
    group.run_for(SECOND * 3);
    for node in 0..3 {
        let notices = group.notices.iter().filter(|(at, _)| *at == node);
        let revisions = notices.filter_map(|(_, notice)| match notice {
            Notice::EvacuationsApplied { revision, .. } => Some(*revision),
            _ => None,
        });
        assert_eq!(revisions.collect::<Vec<_>>(), [1], "control-{node}");
    }
}

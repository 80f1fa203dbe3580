//! Tests of control cores under faults: formation, operator requests, confirmations, views.

use std::time::Duration;

use chestnutfork_config::Update;
use chestnutfork_control::{ControlMessage, Event, Notice, OperatorRequest};
use chestnutfork_storage::MemoryFolder;
use serde_json::json;

mod group;

use group::{Group, SECOND, patch, service};

/// Guards against a race in which several concurrent patches with the same base version are accepted, or none is.
#[test]
fn patch_race_has_one_winner() {
    let (mut group, _) = Group::formed(3);
    for node in 0..3 {
        group.request(node, node, patch(0, u128::from(node) + 1, service(node)));
    }
    group.run_for(SECOND);
    let verdicts: Vec<u16> = (0..3).map(|node| group.answer(node).0).collect();
    assert_eq!(verdicts.iter().filter(|&&status| status == 200).count(), 1);
    assert_eq!(verdicts.iter().filter(|&&status| status == 409).count(), 2);
    assert!((0..3).all(|node| group.core(node).version() == 1));
}

/// Guards against a patch that is applied twice, or gets another verdict, when an operator resends it after a change of
/// leader.
#[test]
fn patch_resend_gets_first_verdict() {
    let (mut group, leader) = Group::formed(3);
    let first = group.ask(leader, patch(0, 1, service(1)));
    let loser = group.ask(leader, patch(0, 2, service(2)));
    group.ask(leader, patch(1, 3, service(3)));
    let folder = group.stop(leader);
    let second = group.wait_for_leader();
    assert_eq!(group.ask(second, patch(0, 1, service(1))), first);
    assert_eq!(group.ask(second, patch(0, 2, service(2))), loser);
    assert_eq!(first.0, 200);
    assert_eq!(loser.0, 409);
    group.start(leader, folder);
    group.run_for(SECOND * 2);
    assert_eq!(group.core(leader).version(), 2);
}

/// Guards against a dry run or an invalid patch that changes the configuration.
#[test]
fn patch_dry_run_changes_nothing() {
    let (mut group, leader) = Group::formed(3);
    let OperatorRequest::Patch { patch: valid, .. } = patch(0, 1, service(1)) else {
        panic!("a patch");
    };
    let dry_run = OperatorRequest::Patch {
        patch: valid,
        dry_run: true,
    };
    assert_eq!(group.ask(leader, dry_run).1["version"], 1);
    let invalid = patch(0, 2, json!({ "unknown": 1 }));
    let follower = group.follower();
    assert_eq!(group.ask(follower, invalid).0, 422);
    assert_eq!(group.ask(leader, OperatorRequest::Config).1["version"], 0);
}

/// Guards against a log that is not compacted, or patches that are refused for their size, when patches are large.
#[test]
fn patch_large_bodies_are_compacted() {
    let (mut group, leader) = Group::formed(3);
    for version in 0..12 {
        let name = "x".repeat(50);
        let services = (0..6000).map(|number| (format!("{name}{number}{version}"), json!(null)));
        let body = json!({ "services": services.collect::<serde_json::Map<_, _>>() });
        let (status, answer) = group.ask(leader, patch(version, u128::from(version) + 1, body));
        assert_eq!(status, 200, "{answer}");
    }
    let raft = group.core(leader).raft();
    assert!(raft.snapshot().meta.index > 0);
    assert!((0..3).all(|node| group.core(node).version() == 12));
}

/// Guards against a patch that is accepted or rejected definitively although the group has no quorum to decide it.
#[test]
fn patch_without_quorum_is_not_accepted() {
    let (mut group, leader) = Group::formed(3);
    let others: Vec<u64> = (0..3).filter(|&node| node != leader).collect();
    for &node in &others {
        group.isolate(node);
    }
    let (status, body) = group.ask(leader, patch(0, 1, service(1)));
    assert_eq!((status, &body["error"]["code"]), (503, &json!("outcome_unknown")));
    let (status, _) = group.ask(leader, patch(0, 1, service(1)));
    assert_eq!(status, 503);
    group.reconnect();
    let leader = group.wait_for_leader();
    assert_eq!(group.ask(leader, patch(0, 1, service(1))).0, 200);
}

/// Guards against an isolated control VM that keeps confirming a version that may be stale, and against a confirmed
/// version that decreases.
#[test]
fn confirm_isolated_follower_sends_nothing() {
    let (mut group, leader) = Group::formed(3);
    group.ask(leader, patch(0, 1, service(1)));
    let follower = group.follower();
    group.subscribe(follower, 50_000, 9, true, 0);
    group.run_for(SECOND);
    group.renew(follower, 50_000, 1, 0);
    assert_eq!(group.confirmed(50_000, group.now), [1]);

    group.isolate(follower);
    let isolated_at = group.now;
    group.ask(leader, patch(1, 2, service(2)));
    for _ in 0..360 {
        group.run_for(SECOND * 10);
        group.renew(follower, 50_000, 1, 0);
    }
    let after = isolated_at + SECOND * 2;
    assert!(group.confirmed(50_000, after).is_empty());
    let (status, _) = group.ask(follower, OperatorRequest::Config);
    assert_eq!(status, 503);

    group.reconnect();
    group.run_for(SECOND * 3);
    group.renew(follower, 50_000, 2, 0);
    assert_eq!(group.confirmed(50_000, group.now), [2]);
}

/// Guards against missing or repeated updates for subscribers that are many versions behind, or ahead of the replica.
#[test]
fn subscribe_far_behind_gets_snapshot() {
    let (mut group, leader) = Group::formed(3);
    let follower = group.follower();
    let folder = group.stop(follower);
    for version in 0..1100 {
        group.request(
            leader,
            version,
            patch(version, u128::from(version) + 1, service(version % 5)),
        );
        group.run_for(Duration::from_millis(20));
    }
    group.start(follower, folder);
    group.run_for(SECOND * 3);
    assert_eq!(group.core(follower).version(), 1100);
    for (link, have) in [(50_000, 1095), (50_001, 3), (50_002, 2000)] {
        group.subscribe(follower, link, link, true, have);
    }
    let updates: Vec<(u64, Update)> = group
        .subscriber_messages
        .iter()
        .filter_map(|(_, link, message)| match message {
            ControlMessage::Update(update) => Some((*link, Update::decode(update).unwrap())),
            _ => None,
        })
        .collect();
    assert!(matches!(&updates[0], (50_000, Update::Delta { steps }) if steps.len() == 5));
    assert!(matches!(
        &updates[1],
        (50_001, Update::Snapshot { version: 1100, .. })
    ));
    assert_eq!(updates.len(), 2);
}

/// Guards against a VM with a lost disk that votes or forms a second group, and against one that cannot be admitted as
/// a replacement.
#[test]
fn form_lost_disk_waits_for_replacement() {
    let (mut group, _) = Group::formed(3);
    let lost = group.follower();
    let old = group.core(lost).replica();
    group.stop(lost);
    group.start(lost, MemoryFolder::default());
    group.run_for(SECOND * 5);
    assert!(group.notices.contains(&(lost, Notice::NotMember)));
    assert!(group.core(lost).raft().membership().voters.is_empty());
    let leader = group.wait_for_leader();
    let new = group.core(lost).replica();
    let replace = OperatorRequest::Replace {
        remove: old,
        add: new,
        reason: "disk lost".into(),
    };
    assert_eq!(group.ask(leader, replace.clone()).0, 200);
    let (status, body) = group.ask(leader, replace);
    assert_eq!(
        (status, body["replicas"].as_array().map(Vec::len)),
        (200, Some(3)),
        "{body}"
    );
    let members = group.core(lost).raft().membership();
    assert!(members.is_voter(new) && !members.contains(old));
    // The replacement must count towards the quorum when a second VM is lost.
    group.stop(leader);
    let leader = group.wait_for_leader();
    assert_eq!(group.ask(leader, patch(0, 1, service(1))).0, 200);
}

/// Guards against an initial member that starts late and does not become a voter.
#[test]
fn form_late_member_adopts_set() {
    let mut group = Group::new(3);
    let folder = group.stop(2);
    group.run_for(SECOND);
    assert_eq!(group.leader(), None);
    group.start(2, folder);
    let leader = group.wait_for_leader();
    let members = group.core(leader).raft().membership().voters.clone();
    assert_eq!(members.len(), 3);
    group.run_for(SECOND * 2);
    assert!((0..3).all(|node| group.core(node).raft().membership().voters == members));
}

/// Guards against the acknowledgement of a patch that a full disk could not store, and against a replica that does not
/// resume once space is available.
#[test]
fn write_full_disk_transfers_leadership() {
    let (mut group, old) = Group::formed(3);
    group.store(old).folder_mut().set_capacity(Some(0));
    let (status, _) = group.ask(old, patch(0, 1, service(1)));
    assert_eq!(status, 503);
    assert!(!group.core(old).raft().storage_ok());
    let new = group.wait_for_leader();
    assert_ne!(new, old);
    assert_eq!(group.ask(new, patch(0, 1, service(1))).0, 200);
    assert_eq!(group.core(old).version(), 0);
    group.store(old).folder_mut().set_capacity(None);
    group.deliver(old, Event::StorageReady);
    group.run_for(SECOND * 3);
    assert_eq!(group.core(old).version(), 1);
}

/// Guards against a shutdown that does not transfer leadership when one of the followers, which may be the chosen
/// successor, is unreachable.
#[test]
fn shutdown_lost_successor_is_replaced() {
    for offset in 1..3 {
        let (mut group, leader) = Group::formed(3);
        group.isolate((leader + offset) % 3);
        group.deliver(leader, Event::Shutdown);
        group.run_for(SECOND * 4);
        assert!(!group.core(leader).is_leader());
        assert_eq!(group.leader(), Some((leader + 3 - offset) % 3));
    }
}

/// Guards against a single-member group whose shutdown waits for a successor.
#[test]
fn can_transfer_leadership_alone_is_false() {
    let (group, leader) = Group::formed(1);
    assert!(group.core(leader).is_leader());
    assert!(!group.core(leader).can_transfer_leadership(group.now));
}

/// Guards against a view that lacks an entry with a lease, or retains an entry whose lease expired.
#[test]
fn view_follows_leases() {
    let (mut group, leader) = Group::formed(3);
    let follower = group.follower();
    for process in 1..=3 {
        let node = if process == 1 { leader } else { follower };
        group.subscribe(node, 50_000 + process, process, true, 0);
    }
    let renew = |group: &mut Group, processes: std::ops::RangeInclusive<u64>, time: u64| {
        for _ in 0..time * 2 {
            for process in processes.clone() {
                let node = if process == 1 { leader } else { follower };
                group.renew(node, 50_000 + process, 0, u64::MAX);
            }
            group.run_for(SECOND / 2);
        }
    };
    renew(&mut group, 1..=3, 6);
    let view = |group: &Group| {
        let views = group
            .subscriber_messages
            .iter()
            .rev()
            .filter_map(|(_, _, message)| match message {
                ControlMessage::View(record) => Some(record.clone()),
                _ => None,
            });
        views.max_by_key(|record| record.view.number).expect("a view")
    };
    let joined = view(&group);
    assert_eq!(joined.view.members.len(), 3);
    assert!(joined.view.settled);
    assert_eq!(joined.entries.len(), 3);
    renew(&mut group, 1..=2, 8);
    let left = view(&group);
    assert!(left.view.number > joined.view.number);
    assert!(!left.view.members.contains(&3));
    assert_eq!(left.view.floor, None);
}

/// Guards against a group that waits for a whole election timeout although all its processes have just started again, as after
/// a loss of all power: entries have no routes until there is a leader.
#[test]
fn elect_after_restart_of_all_does_not_wait() {
    for size in [3, 5] {
        for gap in [0, 20, 90] {
            let gap = Duration::from_millis(gap);
            let (mut group, leader) = Group::formed(size);
            assert_eq!(group.ask(leader, patch(0, 1, service(1))).0, 200);
            group.run_for(SECOND);
            let count = size as u64;
            let folders: Vec<MemoryFolder> = (0..count).map(|node| group.stop(node)).collect();
            group.run_for(SECOND);
            for (node, folder) in (0..count).zip(folders) {
                group.start(node, folder);
                group.run_for(gap);
            }
            group.run_for(Duration::from_millis(350).saturating_sub(gap));
            let leader = group.leader().expect("a leader within 350 ms of the last start");
            assert_eq!(group.core(leader).version(), 1, "{size} processes, {gap:?} apart");
        }
    }
}

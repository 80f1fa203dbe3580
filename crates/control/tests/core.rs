//! Control cores under faults: formation, operators, confirmations, views.

use std::time::Duration;

use chestnutfork_config::Update;
use chestnutfork_control::{ControlMessage, Event, Notice, OperatorRequest};
use chestnutfork_storage::MemoryFolder;
use serde_json::json;

mod group;

use group::{Group, SECOND, patch, service};

/// Guards against a race in which two patches win one base version, or none does.
#[test]
fn patch_race_has_one_winner() {
    let (mut group, _) = Group::formed(3);
    for node in 0..3 {
        group.request(node, node, patch(0, u128::from(node) + 1, service(node)));
    }
    group.run(SECOND);
    let verdicts: Vec<u16> = (0..3).map(|node| group.answer(node).0).collect();
    assert_eq!(verdicts.iter().filter(|&&status| status == 200).count(), 1);
    assert_eq!(verdicts.iter().filter(|&&status| status == 409).count(), 2);
    assert!((0..3).all(|node| group.core(node).version() == 1));
}

/// Guards against a second effect, or another verdict, when an operator resends after a lost answer.
#[test]
fn patch_resend_gets_first_verdict() {
    let (mut group, leader) = Group::formed(3);
    let first = group.ask(leader, patch(0, 1, service(1)));
    let loser = group.ask(leader, patch(0, 2, service(2)));
    group.ask(leader, patch(1, 3, service(3)));
    let folder = group.stop(leader);
    let second = group.elect();
    assert_eq!(group.ask(second, patch(0, 1, service(1))), first);
    assert_eq!(group.ask(second, patch(0, 2, service(2))), loser);
    assert_eq!(first.0, 200);
    assert_eq!(loser.0, 409);
    group.start(leader, folder);
    group.run(SECOND * 2);
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

/// Guards against a log that grows without bound, or a patch that is refused for its size, when patches are large.
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

/// Guards against an operator who cannot tell what happened when the group has no quorum.
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
    let leader = group.elect();
    assert_eq!(group.ask(leader, patch(0, 1, service(1))).0, 200);
}

/// Guards against an isolated control VM that confirms a version that may be stale, and against a falling version.
#[test]
fn confirm_isolated_follower_is_silent() {
    let (mut group, leader) = Group::formed(3);
    group.ask(leader, patch(0, 1, service(1)));
    let follower = group.follower();
    group.subscribe(follower, 50_000, 9, true, 0);
    group.run(SECOND);
    group.renew(follower, 50_000, 1, 0);
    assert_eq!(group.confirmed(50_000, group.now), [1]);

    group.isolate(follower);
    let isolated_at = group.now;
    group.ask(leader, patch(1, 2, service(2)));
    for _ in 0..360 {
        group.run(SECOND * 10);
        group.renew(follower, 50_000, 1, 0);
    }
    let after = isolated_at + SECOND * 2;
    assert!(group.confirmed(50_000, after).is_empty());
    let (status, _) = group.ask(follower, OperatorRequest::Config);
    assert_eq!(status, 503);

    group.reconnect();
    group.run(SECOND * 3);
    group.renew(follower, 50_000, 2, 0);
    assert_eq!(group.confirmed(50_000, group.now), [2]);
}

/// Guards against updates that are missing or repeated after hundreds of changes that a process did not see.
#[test]
fn subscribe_far_behind_gets_whole_document() {
    let (mut group, leader) = Group::formed(3);
    let follower = group.follower();
    let folder = group.stop(follower);
    for version in 0..1100 {
        group.request(
            leader,
            version,
            patch(version, u128::from(version) + 1, service(version % 5)),
        );
        group.run(Duration::from_millis(20));
    }
    group.start(follower, folder);
    group.run(SECOND * 3);
    assert_eq!(group.core(follower).version(), 1100);
    for (link, have) in [(50_000, 1095), (50_001, 3), (50_002, 2000)] {
        group.subscribe(follower, link, link, true, have);
    }
    let updates: Vec<(u64, Update)> = group
        .sent
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

/// Guards against a VM with a lost disk that votes or forms a second group, and against one that cannot return.
#[test]
fn form_lost_disk_waits_for_replacement() {
    let (mut group, _) = Group::formed(3);
    let lost = group.follower();
    let old = group.core(lost).replica();
    group.stop(lost);
    group.start(lost, MemoryFolder::default());
    group.run(SECOND * 5);
    assert!(group.notices.contains(&(lost, Notice::NotMember)));
    assert!(group.core(lost).raft().membership().voters.is_empty());
    let leader = group.elect();
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
    // A second VM is lost right after the repair.
    group.stop(leader);
    let leader = group.elect();
    assert_eq!(group.ask(leader, patch(0, 1, service(1))).0, 200);
}

/// Guards against a member that was down when the others formed the set and then has no vote.
#[test]
fn form_late_member_adopts_set() {
    let mut group = Group::new(3);
    let folder = group.stop(2);
    group.run(SECOND);
    assert_eq!(group.leader(), None);
    group.start(2, folder);
    let leader = group.elect();
    let members = group.core(leader).raft().membership().voters.clone();
    assert_eq!(members.len(), 3);
    group.run(SECOND * 2);
    assert!((0..3).all(|node| group.core(node).raft().membership().voters == members));
}

/// Guards against an acknowledgement that a full disk does not hold, and a replica that stays out afterwards.
#[test]
fn write_full_disk_hands_over() {
    let (mut group, old) = Group::formed(3);
    group.store(old).folder_mut().set_capacity(Some(0));
    let (status, _) = group.ask(old, patch(0, 1, service(1)));
    assert_eq!(status, 503);
    assert!(!group.core(old).raft().storage_ok());
    let new = group.elect();
    assert_ne!(new, old);
    assert_eq!(group.ask(new, patch(0, 1, service(1))).0, 200);
    assert_eq!(group.core(old).version(), 0);
    group.store(old).folder_mut().set_capacity(None);
    group.event(old, Event::StorageReady);
    group.run(SECOND * 3);
    assert_eq!(group.core(old).version(), 1);
}

/// Guards against a shutdown that keeps leadership because the chosen successor is lost just before.
#[test]
fn shutdown_lost_successor_is_replaced() {
    for offset in 1..3 {
        let (mut group, leader) = Group::formed(3);
        group.isolate((leader + offset) % 3);
        group.event(leader, Event::Shutdown);
        group.run(SECOND * 4);
        assert!(!group.core(leader).is_leader());
        assert_eq!(group.leader(), Some((leader + 3 - offset) % 3));
    }
}

/// Guards against a shutdown that waits for a successor that cannot exist.
#[test]
fn can_transfer_leadership_alone_is_false() {
    let (group, leader) = Group::formed(1);
    assert!(group.core(leader).is_leader());
    assert!(!group.core(leader).can_transfer_leadership(group.now));
}

/// Guards against entries that are missing in the view, and against a lost entry that stays in it.
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
            group.run(SECOND / 2);
        }
    };
    renew(&mut group, 1..=3, 6);
    let view = |group: &Group| {
        let views = group
            .sent
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

//! Tests of documents, the directory and automatic membership repair.

mod group;

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_control::{
    ControlMessage, Document, EntryInfo, Event, OperatorRequest, SubscriberIdentity, SubscriberMessage,
};
use chestnutfork_documents::Part;
use chestnutfork_storage::MemoryFolder;
use group::{Group, SECOND};

/// Time within which membership repair must admit a connected process as a voter.
const READMISSION_BOUND: Duration = Duration::from_secs(4);

fn document(version: u64, content: &'static str) -> Document {
    Document {
        version,
        content: Bytes::from_static(content.as_bytes()),
    }
}

/// Submits a document and returns the status of the answer.
fn put(group: &mut Group, node: u64, version: u64, content: &'static str) -> u16 {
    let request_id = 1_000_000 + group.replies.len() as u64;
    group.request(
        node,
        request_id,
        OperatorRequest::PutDocument(document(version, content)),
    );
    group.run_for(SECOND);
    group.replies.get(&request_id).map_or(0, |reply| reply.status)
}

/// Reads the document and returns status and content.
fn get(group: &mut Group, node: u64) -> (u16, Bytes) {
    let request_id = 2_000_000 + group.replies.len() as u64;
    group.request(node, request_id, OperatorRequest::GetDocument);
    group.run_for(SECOND);
    let reply = group.replies.get(&request_id);
    reply.map_or((0, Bytes::new()), |reply| (reply.status, reply.body.clone()))
}

fn follow(group: &mut Group, node: u64, link: u64, address: &str, is_entry: bool) {
    let info = EntryInfo {
        process: link,
        name: format!("process-{link}"),
        address: address.to_owned(),
        failure_domain: String::new(),
    };
    let identity = SubscriberIdentity { info, is_entry };
    group.deliver(node, Event::SubscriberUp { link, identity });
    let messages = vec![SubscriberMessage::Follow { have: 0 }];
    group.deliver(node, Event::FromSubscriber { link, messages });
    group.run_for(SECOND);
}

fn watch(group: &mut Group, node: u64, link: u64) {
    let info = EntryInfo {
        process: link,
        name: format!("process-{link}"),
        address: "10.2.0.1:70".to_owned(),
        failure_domain: String::new(),
    };
    let identity = SubscriberIdentity { info, is_entry: true };
    group.deliver(node, Event::SubscriberUp { link, identity });
    let messages = vec![SubscriberMessage::Watch];
    group.deliver(node, Event::FromSubscriber { link, messages });
}

fn fetch(group: &mut Group, node: u64, link: u64, version: u64, offset: u64) {
    let messages = vec![SubscriberMessage::Fetch { version, offset }];
    group.deliver(node, Event::FromSubscriber { link, messages });
}

/// Guards against an acknowledged document that is replaced by a lower version, or by other content with the same
/// version.
#[test]
fn put_document_keeps_highest_version() {
    let (mut group, leader) = Group::formed(3);
    let follower = group.follower();
    assert_eq!(put(&mut group, leader, 5, "five"), 200);
    assert_eq!(put(&mut group, follower, 4, "four"), 200);
    assert_eq!(put(&mut group, follower, 5, "other"), 200);
    for node in 0..3 {
        assert_eq!(get(&mut group, node), (200, Bytes::from_static(b"five")));
    }
    assert_eq!(put(&mut group, follower, 9, "nine"), 200);
    assert_eq!(get(&mut group, leader), (200, Bytes::from_static(b"nine")));
}

/// Guards against the loss of an acknowledged document when all processes are killed and restarted.
#[test]
fn put_document_survives_restart_of_all() {
    let (mut group, leader) = Group::formed(3);
    assert_eq!(put(&mut group, leader, 5, "five"), 200);
    let folders: Vec<MemoryFolder> = (0..3).map(|node| group.stop(node)).collect();
    for (node, folder) in (0..).zip(folders) {
        group.start(node, folder);
    }
    let leader = group.wait_for_leader();
    group.run_for(SECOND);
    assert_eq!(get(&mut group, leader), (200, Bytes::from_static(b"five")));
}

/// Guards against a stale answer from a former leader that is isolated from the others.
#[test]
fn get_document_is_refused_without_quorum() {
    let (mut group, old) = Group::formed(3);
    assert_eq!(put(&mut group, old, 5, "five"), 200);
    group.isolate(old);
    // The old leader steps down after an election timeout without contact to a quorum.
    group.run_for(SECOND * 3);
    let leader = group.wait_for_leader();
    assert_eq!(put(&mut group, leader, 6, "six"), 200);
    let (status, content) = get(&mut group, old);
    assert!(status != 200 && content != "five", "{status}");
}

/// Guards against followers that miss a document or receive an older one again.
#[test]
fn follow_delivers_documents_in_order() {
    let (mut group, leader) = Group::formed(3);
    assert_eq!(put(&mut group, leader, 3, "three"), 200);
    follow(&mut group, leader, 70, "10.2.0.1:70", true);
    assert_eq!(put(&mut group, leader, 8, "eight"), 200);
    let versions = group
        .subscriber_messages
        .iter()
        .filter_map(|(_, link, message)| match message {
            ControlMessage::Document(document) if *link == 70 => Some(document.version),
            _ => None,
        });
    assert_eq!(versions.collect::<Vec<_>>(), [3, 8]);
}

/// Returns the announced versions and the received parts of a watcher, in order.
fn watched(group: &Group, watcher: u64) -> (Vec<u64>, Vec<Part>) {
    let mut versions = Vec::new();
    let mut parts = Vec::new();
    for (_, link, message) in &group.subscriber_messages {
        match message {
            ControlMessage::Announce(version) if *link == watcher => versions.push(*version),
            ControlMessage::Part(part) if *link == watcher => parts.push(part.clone()),
            _ => {}
        }
    }
    (versions, parts)
}

/// Guards against documents that are sent to an entry that has not asked for them, so that superseded ones fill the link of
/// a slow entry ahead of the newest.
#[test]
fn watch_sends_only_requested_parts() {
    let (mut group, leader) = Group::formed(3);
    watch(&mut group, leader, 70);
    for version in 1..=30 {
        assert_eq!(put(&mut group, leader, version, "content"), 200);
    }
    let (versions, parts) = watched(&group, 70);
    assert_eq!(versions, (1..=30).collect::<Vec<_>>());
    assert_eq!(parts, []);
    fetch(&mut group, leader, 70, 4, 0);
    let (_, parts) = watched(&group, 70);
    let newest = Part {
        version: 30,
        total: 7,
        offset: 0,
        content: Bytes::from_static(b"content"),
    };
    assert_eq!(parts, [newest]);
}

/// Guards against a transfer that starts again with each change, and so never completes while changes are frequent.
#[test]
fn fetch_sends_all_parts_of_one_version() {
    let (mut group, leader) = Group::formed(3);
    watch(&mut group, leader, 70);
    let large: &'static str = Box::leak("x".repeat(200_000).into_boxed_str());
    assert_eq!(put(&mut group, leader, 1, large), 200);
    fetch(&mut group, leader, 70, 1, 0);
    assert_eq!(put(&mut group, leader, 2, "newer"), 200);
    let (_, parts) = watched(&group, 70);
    assert!(parts.len() > 1 && parts.iter().all(|part| part.version == 1));
    let sizes = parts.iter().map(|part| part.content.len());
    assert_eq!(sizes.sum::<usize>(), large.len());
    // A subscriber that continues a transfer at another process may get a newer document.
    fetch(&mut group, leader, 70, 1, 65_536);
    let (_, parts) = watched(&group, 70);
    let last = parts.last().expect("a part");
    assert_eq!((last.offset, last.content.as_ref()), (0, b"newer".as_slice()));
}

/// Guards against a directory that lacks a connected entry, or lists one whose link has closed.
#[test]
fn directory_lists_entries_while_linked() {
    let (mut group, leader) = Group::formed(3);
    follow(&mut group, leader, 70, "10.2.0.1:70", false);
    follow(&mut group, leader, 71, "10.2.0.2:70", true);
    let entries = |group: &Group| {
        let sent = group.subscriber_messages.iter().rev();
        let mut directories = sent.filter_map(|(_, link, message)| match message {
            ControlMessage::Directory { entries, .. } if *link == 70 => Some(entries.clone()),
            _ => None,
        });
        directories.next().unwrap_or_default()
    };
    assert_eq!(entries(&group), ["10.2.0.2:70"]);
    group.deliver(leader, Event::SubscriberDown { link: 71 });
    group.run_for(SECOND);
    assert!(entries(&group).is_empty());
}

/// Guards against a process with a lost disk that does not become a voter again, so that the loss of another process
/// blocks all changes.
#[test]
fn lost_disk_is_readmitted_without_operator() {
    let mut group = Group::with_voters(3, Some(3));
    let leader = group.wait_for_leader();
    group.run_for(SECOND);
    assert_eq!(put(&mut group, leader, 1, "one"), 200);
    let lost = group.follower();
    let old = group.core(lost).replica();
    group.stop(lost);
    group.start(lost, MemoryFolder::default());
    group.run_for(READMISSION_BOUND);
    let members = group.core(lost).raft().membership().clone();
    assert!(members.is_voter(group.core(lost).replica()) && !members.contains(old));
    assert_eq!(members.voters.len(), 3);
    group.stop(leader);
    let leader = group.wait_for_leader();
    assert_eq!(put(&mut group, leader, 2, "two"), 200);
    assert_eq!(get(&mut group, lost), (200, Bytes::from_static(b"two")));
}

/// Guards against a former leader with a lost disk that the new leader does not admit as a voter.
#[test]
fn lost_disk_of_leader_is_readmitted() {
    let mut group = Group::with_voters(3, Some(3));
    let leader = group.wait_for_leader();
    group.run_for(SECOND);
    assert_eq!(put(&mut group, leader, 1, "one"), 200);
    group.stop(leader);
    group.start(leader, MemoryFolder::default());
    group.run_for(READMISSION_BOUND);
    let members = group.core(leader).raft().membership();
    assert!(members.is_voter(group.core(leader).replica()));
}

/// Guards against a group of three initial members that does not grow to five voters, and so tolerates only one loss.
#[test]
fn member_set_grows_to_voter_count() {
    let mut group = Group::with_voters(3, Some(5));
    group.add();
    group.add();
    group.wait_for_leader();
    group.run_for(READMISSION_BOUND);
    let leader = group.wait_for_leader();
    assert_eq!(group.core(leader).raft().membership().voters.len(), 5);
}

/// Guards against a spare process that becomes a voter too early, or does not replace a lost member.
#[test]
fn spare_replaces_lost_member() {
    let mut group = Group::with_voters(3, Some(3));
    group.wait_for_leader();
    group.run_for(SECOND);
    let spare = group.add();
    group.run_for(READMISSION_BOUND);
    assert!(
        !group
            .core(spare)
            .raft()
            .membership()
            .is_voter(group.core(spare).replica())
    );
    let lost = group.follower();
    group.stop(lost);
    group.run_for(READMISSION_BOUND);
    let leader = group.wait_for_leader();
    let members = group.core(leader).raft().membership();
    assert!(members.is_voter(group.core(spare).replica()));
    assert_eq!(members.voters.len(), 3);
}

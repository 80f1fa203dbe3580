//! Scripted faults against a simulated group.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_raft::{
    Action, Config, ConfigError, DurableState, DurableStateError, Entry, Event, HardState, Membership,
    MembershipChange, MembershipChangeError, Message, MessageBody, Payload, Proposal, Raft, RefusalReason,
    Role, VoterReplacement,
};
use chestnutfork_types::ReplicaId;

#[path = "sim/mod.rs"]
mod sim;

use sim::{Cluster, Options};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

fn group(size: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(size, 7, Options::default());
    let leader = cluster.elect();
    cluster.run(SECOND);
    (cluster, leader)
}

fn propose_many(cluster: &mut Cluster, count: u64) {
    for value in 0..count {
        let leader = cluster.elect();
        cluster.propose(leader, value);
        cluster.run(Duration::from_millis(10));
    }
    cluster.run(SECOND);
}

fn follower(cluster: &Cluster) -> ReplicaId {
    let running = cluster.nodes.values().filter_map(|node| node.raft.as_ref());
    let mut followers = running.filter(|raft| raft.role() == Role::Follower);
    followers.next().map(Raft::id).expect("a follower")
}

fn assert_same(cluster: &Cluster) {
    assert_eq!(cluster.violations, []);
    let leader = cluster.leader().expect("a leader");
    let commit_index = cluster.raft(leader).commit_index();
    for id in cluster.raft(leader).membership().members() {
        assert_eq!(cluster.nodes[&id].applied, commit_index, "replica {id} is behind");
    }
}

/// Guards against an isolated leader that goes on confirming or accepting for hours.
#[test]
fn handle_isolated_leader_steps_down() {
    let (mut cluster, old) = group(3);
    cluster.isolate(old);
    cluster.run(SECOND * 3);
    assert_ne!(cluster.raft(old).role(), Role::Leader);
    cluster.log.clear();
    cluster.read(old, 1);
    cluster.propose(old, 5);
    let reason = RefusalReason::NotLeader { leader: None };
    let refused = [
        Action::ReadRefused { id: 1, reason },
        Action::Refused { id: 5, reason },
    ];
    assert_eq!(cluster.log, refused);
    let new = cluster.elect();
    assert_ne!(new, old);
}

/// Guards against a confirmation that is based on replies from before the isolation.
#[test]
fn confirm_isolated_leader_is_silent() {
    let (mut cluster, leader) = group(3);
    cluster.run(SECOND);
    cluster.isolate(leader);
    let isolated_at = cluster.now;
    cluster.log.clear();
    cluster.run(SECOND);
    let confirmed_later = cluster.log.iter().any(|action| {
        matches!(action, Action::QuorumConfirmed { since, .. } if *since > isolated_at + Duration::from_millis(8))
    });
    assert!(!confirmed_later);
}

/// Guards against a replica that deposes a working leader when it comes back after hours.
#[test]
fn handle_returning_follower_keeps_leader() {
    let (mut cluster, leader) = group(3);
    let lost = follower(&cluster);
    let term = cluster.raft(leader).term();
    cluster.isolate(lost);
    cluster.run(HOUR);
    propose_many(&mut cluster, 20);
    cluster.blocked.clear();
    cluster.run(SECOND * 5);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.raft(leader).term(), term);
    assert_same(&cluster);
}

/// Guards against a process that cannot catch up after it missed hundreds of entries and their compaction.
#[test]
fn append_missed_hundreds_catches_up() {
    let options = Options {
        snapshot_size: 3000,
        ..Options::default()
    };
    let mut cluster = Cluster::new(3, 3, options);
    let leader = cluster.elect();
    let lost = cluster
        .nodes
        .keys()
        .copied()
        .find(|&id| id != leader)
        .expect("a follower");
    cluster.crash(lost);
    propose_many(&mut cluster, 600);
    cluster.start(lost);
    cluster.run(SECOND * 3);
    assert!(cluster.counts.restores > 0, "the snapshot was installed in parts");
    assert_same(&cluster);
}

/// Guards against one message per conflicting entry when a long uncommitted tail is replaced.
#[test]
fn reject_long_conflict_skips_terms() {
    let entry = |index: u64, term| Entry {
        index,
        term,
        payload: Payload::Empty,
    };
    let mut durable = DurableState::default();
    durable.snapshot.meta.membership = Membership::from_voters([1, 2, 3]);
    durable.hard_state = HardState { term: 9, vote: None };
    durable.entries = (1..=500)
        .map(|index| entry(index, index.min(400) / 50 + 1))
        .collect();
    let now = std::time::Instant::now();
    let mut raft = Raft::new(Config::builder(2).build().unwrap(), durable, now).unwrap();
    let body = MessageBody::Append {
        prev_index: 500,
        prev_term: 3,
        entries: Vec::new(),
        commit_index: 0,
        round: 1,
    };
    let message = Message {
        from: 1,
        to: 2,
        term: 9,
        body,
    };
    let mut actions = Vec::new();
    raft.handle(now, Event::Message(message), &mut actions);
    let hint = actions.iter().find_map(|action| match action {
        Action::Send(Message {
            body:
                MessageBody::Rejected {
                    hint_index,
                    hint_term,
                    ..
                },
            ..
        }) => Some((*hint_index, *hint_term)),
        _ => None,
    });
    assert_eq!(hint, Some((149, 3)));
}

/// Guards against a vote by a replica whose disk was lost, which may have voted under its old id.
#[test]
fn vote_blank_replica_never_grants() {
    let now = std::time::Instant::now();
    let mut raft = Raft::new(Config::builder(9).build().unwrap(), DurableState::default(), now).unwrap();
    let mut actions = Vec::new();
    let vote = MessageBody::Vote {
        last_index: 100,
        last_term: 5,
        transfer: true,
    };
    let pre_vote = MessageBody::PreVote {
        last_index: 100,
        last_term: 5,
    };
    for body in [vote, pre_vote] {
        let message = Message {
            from: 1,
            to: 9,
            term: 6,
            body,
        };
        raft.handle(now, Event::Message(message), &mut actions);
    }
    raft.handle(now + HOUR, Event::Tick, &mut actions);
    let grants = actions.iter().filter(|action| {
        let granted = |body: &MessageBody| {
            matches!(
                body,
                MessageBody::VoteReply { granted: true } | MessageBody::PreVoteReply { granted: true }
            )
        };
        matches!(action, Action::Send(message) if granted(&message.body))
    });
    assert_eq!(grants.count(), 0);
    assert_eq!(raft.role(), Role::Follower);
}

/// Guards against a group that stops when a second VM is lost right after a repair.
#[test]
fn replace_lost_voter_survives_second_loss() {
    let (mut cluster, leader) = group(3);
    let lost = follower(&cluster);
    cluster.lose_disk(lost);
    propose_many(&mut cluster, 120);
    let new = cluster.add_blank();
    cluster.replace(lost, new);
    cluster.run(SECOND * 2);
    let members = cluster.raft(leader).membership().clone();
    assert!(members.is_voter(new) && !members.contains(lost) && members.replacement.is_none());
    cluster.lose_disk(leader);
    propose_many(&mut cluster, 10);
    let second = cluster.elect();
    let newer = cluster.add_blank();
    cluster.replace(leader, newer);
    cluster.run(SECOND * 3);
    assert_eq!(cluster.raft(second).membership().voters.len(), 3);
    assert_same(&cluster);
}

/// Guards against a replacement that blocks all others when the new VM is lost before it is promoted.
#[test]
fn replace_lost_learner_is_replaced() {
    let (mut cluster, leader) = group(3);
    let lost = follower(&cluster);
    cluster.lose_disk(lost);
    cluster.run(SECOND * 2);
    let dead = cluster.add_blank();
    cluster.lose_disk(dead);
    cluster.replace(lost, dead);
    cluster.run(SECOND * 2);
    assert!(cluster.raft(leader).membership().replacement.is_some());
    let new = cluster.add_blank();
    cluster.replace(lost, new);
    cluster.run(SECOND * 3);
    let members = cluster.raft(leader).membership();
    assert!(members.is_voter(new) && !members.contains(dead) && members.replacement.is_none());
    assert_same(&cluster);
}

/// Guards against an acknowledgement or a leader that has no disk behind it.
#[test]
fn persist_full_disk_gives_up_leadership() {
    let (mut cluster, old) = group(3);
    cluster.nodes.get_mut(&old).expect("leader").disk_full = true;
    cluster.propose(old, 1);
    assert_eq!(cluster.raft(old).role(), Role::Follower);
    assert!(!cluster.raft(old).storage_ok());
    cluster.run(SECOND * 4);
    let new = cluster.elect();
    assert_ne!(new, old);
    propose_many(&mut cluster, 70);
    assert!(cluster.nodes[&old].applied < cluster.nodes[&new].applied);
    cluster.repair_disk(old);
    cluster.run(SECOND * 3);
    assert_same(&cluster);
}

/// Guards against a shutdown that costs an election timeout, and against proposals lost in it.
#[test]
fn transfer_leader_hands_over() {
    let (mut cluster, old) = group(3);
    cluster.event(old, Event::TransferLeadership { to: None });
    cluster.log.clear();
    cluster.propose(old, 3);
    let reason = RefusalReason::Transferring;
    assert_eq!(cluster.log, [Action::Refused { id: 3, reason }]);
    cluster.run(Duration::from_millis(50));
    assert_ne!(cluster.elect(), old);
    assert_eq!(cluster.raft(old).role(), Role::Follower);
}

/// Guards against unbounded memory when proposals arrive faster than they commit.
#[test]
fn propose_over_limits_is_refused() {
    let (mut cluster, leader) = group(3);
    cluster.isolate(leader);
    cluster.log.clear();
    let proposal = |id, size| Proposal {
        id,
        command: Bytes::from(vec![0; size]),
    };
    let mut batch: Vec<Proposal> = (0..30).map(|id| proposal(id, 200)).collect();
    batch.push(proposal(30, 300));
    cluster.event(leader, Event::Propose(batch));
    let refused = |reason| {
        let same =
            |action: &&Action| matches!(action, Action::Refused { reason: found, .. } if *found == reason);
        cluster.log.iter().filter(same).count()
    };
    assert_eq!(refused(RefusalReason::Overloaded), 10);
    assert_eq!(refused(RefusalReason::TooLarge), 1);
}

/// Guards against one sync or message per command when a batch is proposed.
#[test]
fn propose_batch_is_one_append() {
    let mut durable = DurableState::default();
    durable.snapshot.meta.membership = Membership::from_voters([1]);
    let now = std::time::Instant::now();
    let mut raft = Raft::new(Config::builder(1).build().unwrap(), durable, now).unwrap();
    let mut actions = Vec::new();
    raft.handle(now + SECOND * 2, Event::Tick, &mut actions);
    actions.clear();
    let command = Bytes::from_static(b"x");
    let batch = (0..50).map(|id| Proposal {
        id,
        command: command.clone(),
    });
    raft.handle(now + SECOND * 2, Event::Propose(batch.collect()), &mut actions);
    let appends = actions
        .iter()
        .filter(|action| matches!(action, Action::AppendLog(_)));
    assert_eq!(appends.count(), 1);
    assert_eq!(raft.commit_index(), 51);
}

/// Guards against two member sets in flight, whose majorities need not overlap.
#[test]
fn change_second_is_refused() {
    let members = Membership::from_voters([1, 2, 3]);
    let replacement = VoterReplacement { remove: 3, add: 4 };
    let replacing = members
        .with_change(MembershipChange::Replace(replacement))
        .unwrap();
    let other = MembershipChange::AddLearner(5);
    assert_eq!(
        replacing.with_change(other),
        Err(MembershipChangeError::InProgress)
    );
    let cancelled = replacing.with_change(MembershipChange::Remove(4)).unwrap();
    assert_eq!(cancelled, members);
    let last = Membership::from_voters([1]).with_change(MembershipChange::Remove(1));
    assert_eq!(last, Err(MembershipChangeError::LastVoter(1)));
}

/// Guards against a start from a log that was damaged on disk.
#[test]
fn new_broken_log_is_refused() {
    let entry = Entry {
        index: 2,
        term: 0,
        payload: Payload::Empty,
    };
    let durable = DurableState {
        entries: vec![entry],
        ..DurableState::default()
    };
    let found = Raft::new(
        Config::builder(1).build().unwrap(),
        durable,
        std::time::Instant::now(),
    );
    assert_eq!(found.err(), Some(DurableStateError::Gap { expected: 1, got: 2 }));
}

/// Guards against timing that turns one lost heartbeat into an election.
#[test]
fn build_short_election_timeout_is_refused() {
    let cfg = Config::builder(1)
        .election_timeout(Duration::from_millis(300))
        .build();
    assert_eq!(cfg, Err(ConfigError::ElectionTimeout));
}

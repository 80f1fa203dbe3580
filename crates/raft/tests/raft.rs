//! Scripted fault scenarios in a simulated group.

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
    let leader = cluster.wait_for_leader();
    cluster.run_for(SECOND);
    (cluster, leader)
}

fn propose_commands(cluster: &mut Cluster, count: u64) {
    for value in 0..count {
        let leader = cluster.wait_for_leader();
        cluster.propose(leader, value);
        cluster.run_for(Duration::from_millis(10));
    }
    cluster.run_for(SECOND);
}

fn follower(cluster: &Cluster) -> ReplicaId {
    let running = cluster.nodes.values().filter_map(|node| node.raft.as_ref());
    let mut followers = running.filter(|raft| raft.role() == Role::Follower);
    followers.next().map(Raft::id).expect("no follower")
}

fn assert_all_applied(cluster: &Cluster) {
    assert_eq!(cluster.violations, []);
    let leader = cluster.leader().expect("no leader");
    let commit_index = cluster.raft(leader).commit_index();
    for id in cluster.raft(leader).membership().members() {
        assert_eq!(
            cluster.nodes[&id].applied, commit_index,
            "replica {id} has not applied all committed entries"
        );
    }
}

/// Guards against an isolated leader that keeps confirming reads or accepting proposals.
#[test]
fn handle_isolated_leader_steps_down() {
    let (mut cluster, old) = group(3);
    cluster.isolate(old);
    cluster.run_for(SECOND * 3);
    assert_ne!(cluster.raft(old).role(), Role::Leader);
    cluster.reported_actions.clear();
    cluster.read(old, 1);
    cluster.propose(old, 5);
    let reason = RefusalReason::NotLeader { leader: None };
    let refused = [
        Action::ReadRefused { id: 1, reason },
        Action::Refused { id: 5, reason },
    ];
    assert_eq!(cluster.reported_actions, refused);
    let new = cluster.wait_for_leader();
    assert_ne!(new, old);
}

/// Guards against a leadership confirmation based on replies from before the leader was isolated.
#[test]
fn confirm_isolated_leader_reports_nothing() {
    let (mut cluster, leader) = group(3);
    cluster.run_for(SECOND);
    cluster.isolate(leader);
    let isolated_at = cluster.now;
    cluster.reported_actions.clear();
    cluster.run_for(SECOND);
    let confirmed_later = cluster.reported_actions.iter().any(|action| {
        matches!(action, Action::QuorumConfirmed { since, .. } if *since > isolated_at + Duration::from_millis(8))
    });
    assert!(!confirmed_later);
}

/// Guards against a replica that deposes a working leader when it rejoins after a long isolation.
#[test]
fn handle_rejoining_follower_keeps_leader() {
    let (mut cluster, leader) = group(3);
    let lost = follower(&cluster);
    let term = cluster.raft(leader).term();
    cluster.isolate(lost);
    cluster.run_for(HOUR);
    propose_commands(&mut cluster, 20);
    cluster.blocked_links.clear();
    cluster.run_for(SECOND * 5);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.raft(leader).term(), term);
    assert_all_applied(&cluster);
}

/// Guards against a replica that cannot catch up after it missed hundreds of entries that are compacted since.
#[test]
fn append_missed_hundreds_catches_up() {
    let options = Options {
        snapshot_size: 3000,
        ..Options::default()
    };
    let mut cluster = Cluster::new(3, 3, options);
    let leader = cluster.wait_for_leader();
    let lost = cluster
        .nodes
        .keys()
        .copied()
        .find(|&id| id != leader)
        .expect("no follower");
    cluster.crash(lost);
    propose_commands(&mut cluster, 600);
    cluster.start(lost);
    cluster.run_for(SECOND * 3);
    assert!(
        cluster.counts.restores > 0,
        "no snapshot was installed from chunks"
    );
    assert_all_applied(&cluster);
}

/// Guards against one round trip per conflicting entry when a long uncommitted suffix is replaced.
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

/// Guards against a vote by a replica with a blank disk. It may have voted in the same term under its former id.
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

/// Guards against the loss of quorum when a second VM is lost right after the replacement of the first.
#[test]
fn replace_lost_voter_survives_second_loss() {
    let (mut cluster, leader) = group(3);
    let lost = follower(&cluster);
    cluster.lose_disk(lost);
    propose_commands(&mut cluster, 120);
    let new = cluster.add_blank_replica();
    cluster.replace(lost, new);
    cluster.run_for(SECOND * 2);
    let members = cluster.raft(leader).membership().clone();
    assert!(members.is_voter(new) && !members.contains(lost) && members.replacement.is_none());
    cluster.lose_disk(leader);
    propose_commands(&mut cluster, 10);
    let second = cluster.wait_for_leader();
    let newer = cluster.add_blank_replica();
    cluster.replace(leader, newer);
    cluster.run_for(SECOND * 3);
    assert_eq!(cluster.raft(second).membership().voters.len(), 3);
    assert_all_applied(&cluster);
}

/// Guards against a replacement that blocks all later membership changes when the new VM is lost before its
/// promotion.
#[test]
fn replace_lost_learner_is_replaced() {
    let (mut cluster, leader) = group(3);
    let lost = follower(&cluster);
    cluster.lose_disk(lost);
    cluster.run_for(SECOND * 2);
    let dead = cluster.add_blank_replica();
    cluster.lose_disk(dead);
    cluster.replace(lost, dead);
    cluster.run_for(SECOND * 2);
    assert!(cluster.raft(leader).membership().replacement.is_some());
    let new = cluster.add_blank_replica();
    cluster.replace(lost, new);
    cluster.run_for(SECOND * 3);
    let members = cluster.raft(leader).membership();
    assert!(members.is_voter(new) && !members.contains(dead) && members.replacement.is_none());
    assert_all_applied(&cluster);
}

/// Guards against a replica that leads or acknowledges entries while it cannot write to its disk.
#[test]
fn persist_full_disk_steps_down() {
    let (mut cluster, old) = group(3);
    cluster.nodes.get_mut(&old).expect("leader").disk_full = true;
    cluster.propose(old, 1);
    assert_eq!(cluster.raft(old).role(), Role::Follower);
    assert!(!cluster.raft(old).storage_ok());
    cluster.run_for(SECOND * 4);
    let new = cluster.wait_for_leader();
    assert_ne!(new, old);
    propose_commands(&mut cluster, 70);
    assert!(cluster.nodes[&old].applied < cluster.nodes[&new].applied);
    cluster.repair_disk(old);
    cluster.run_for(SECOND * 3);
    assert_all_applied(&cluster);
}

/// Guards against a shutdown that costs an election timeout, and against proposals lost during the transfer.
#[test]
fn transfer_leadership_elects_other_voter() {
    let (mut cluster, old) = group(3);
    cluster.handle_event(old, Event::TransferLeadership { to: None });
    cluster.reported_actions.clear();
    cluster.propose(old, 3);
    let reason = RefusalReason::Transferring;
    assert_eq!(cluster.reported_actions, [Action::Refused { id: 3, reason }]);
    cluster.run_for(Duration::from_millis(50));
    assert_ne!(cluster.wait_for_leader(), old);
    assert_eq!(cluster.raft(old).role(), Role::Follower);
}

/// Guards against unbounded memory when proposals arrive faster than they commit.
#[test]
fn propose_over_limits_is_refused() {
    let (mut cluster, leader) = group(3);
    cluster.isolate(leader);
    cluster.reported_actions.clear();
    let proposal = |id, size| Proposal {
        id,
        command: Bytes::from(vec![0; size]),
    };
    let mut batch: Vec<Proposal> = (0..30).map(|id| proposal(id, 200)).collect();
    batch.push(proposal(30, 300));
    cluster.handle_event(leader, Event::Propose(batch));
    let refused = |reason| {
        let same =
            |action: &&Action| matches!(action, Action::Refused { reason: found, .. } if *found == reason);
        cluster.reported_actions.iter().filter(same).count()
    };
    assert_eq!(refused(RefusalReason::Overloaded), 10);
    assert_eq!(refused(RefusalReason::TooLarge), 1);
}

/// Guards against a separate sync or message for each command of a batch.
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

/// Guards against two concurrent membership changes, whose majorities may not overlap.
#[test]
fn with_change_second_is_refused() {
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

/// Guards against starting from a log that was damaged on disk.
#[test]
fn new_inconsistent_log_is_refused() {
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

/// Guards against an election timeout so short that one lost heartbeat causes an election.
#[test]
fn build_short_election_timeout_is_refused() {
    let cfg = Config::builder(1)
        .election_timeout(Duration::from_millis(300))
        .build();
    assert_eq!(cfg, Err(ConfigError::ElectionTimeout));
}

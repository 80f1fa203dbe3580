//! Cases of the register's behaviour towards callers and control.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_register::{Action, Ballot, Event, PeerMessage, Record, Register, View};
use chestnutfork_types::{Answer, Execution, JobId, ProcessId, RefusalCode, TaskStatus};

/// Digest of all submissions except those with different content.
const DIGEST: u64 = 5;
const WALL: Duration = Duration::from_secs(1_700_000_000);

/// Registers on a simulated network that delivers immediately and in order.
struct Cluster {
    nodes: Vec<(ProcessId, Register)>,
    down: Vec<ProcessId>,
    now: Instant,
    /// Actions of all registers, except messages.
    outputs: Vec<(ProcessId, Action)>,
}

impl Cluster {
    fn new(members: &[ProcessId]) -> Self {
        let nodes = members
            .iter()
            .map(|&id| (id, Register::builder(id).max_records(8).build()));
        let mut cluster = Self {
            nodes: nodes.collect(),
            down: Vec::new(),
            now: Instant::now(),
            outputs: Vec::new(),
        };
        cluster.install(&View::initial(1, members.to_vec()));
        cluster
    }

    fn install(&mut self, view: &View) {
        let ids: Vec<ProcessId> = self.nodes.iter().map(|(id, _)| *id).collect();
        for id in ids {
            self.run(id, Event::ViewInstalled(view.clone()));
        }
    }

    fn node(&mut self, id: ProcessId) -> &mut Register {
        let node = self.nodes.iter_mut().find(|(node, _)| *node == id);
        &mut node.expect("node exists").1
    }

    fn run(&mut self, id: ProcessId, event: Event) -> Vec<Action> {
        let first = self.outputs.len();
        let mut queue = VecDeque::from([(id, event)]);
        while let Some((id, event)) = queue.pop_front() {
            if self.down.contains(&id) {
                continue;
            }
            let now = self.now;
            let mut actions = Vec::new();
            let node = self.node(id);
            node.handle(now, WALL, event, &mut actions);
            assert_eq!(node.verify(), []);
            for action in actions {
                match action {
                    Action::Send { peer, message } => {
                        queue.push_back((peer, Event::FromPeer { peer: id, message }));
                    }
                    action => self.outputs.push((id, action)),
                }
            }
        }
        self.outputs[first..]
            .iter()
            .map(|(_, action)| action.clone())
            .collect()
    }

    fn claim(&mut self, id: ProcessId, job: JobId) -> Vec<Action> {
        let at_most_once = true;
        self.run(
            id,
            Event::Claim {
                job,
                digest: DIGEST,
                at_most_once,
            },
        )
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let ids: Vec<ProcessId> = self.nodes.iter().map(|(id, _)| *id).collect();
        for id in ids {
            self.run(id, Event::Tick);
        }
    }
}

fn job(ahead_millis: i64) -> JobId {
    let millis = i64::try_from(WALL.as_millis()).unwrap() + ahead_millis;
    (JobId::try_from(millis).unwrap() << 80) | 1
}

fn answer(job: JobId) -> Answer {
    Answer::new(job, vec![TaskStatus::Completed { output: "ok".into() }])
}

fn refusal(actions: &[Action]) -> Option<(RefusalCode, Execution)> {
    actions.iter().find_map(|action| match action {
        Action::Refused { refusal, .. } => Some((refusal.code, refusal.execution)),
        _ => None,
    })
}

/// Guards against a resubmission that runs the job again instead of waiting for the owner's answer.
#[test]
fn claim_joins_owner() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    assert_eq!(cluster.claim(1, job), [Action::Claimed { job }]);
    assert_eq!(cluster.claim(2, job), [Action::OwnedBy { job, owner: 1 }]);
    assert_eq!(cluster.claim(1, job), [Action::OwnedBy { job, owner: 1 }]);
}

/// Guards against an isolated entry that runs a job, or refuses it as "not run".
#[test]
fn claim_without_majority_is_unknown() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.down = vec![2, 3];
    assert_eq!(cluster.claim(1, job(0)), []);
    cluster.advance(Duration::from_secs(1));
    let refused = cluster.outputs.last().map(|(_, action)| action.clone());
    assert_eq!(
        refusal(&Vec::from_iter(refused)),
        Some((RefusalCode::NoQuorum, Execution::Unknown))
    );
    cluster.down.clear();
    assert_eq!(
        cluster.claim(2, job(0)),
        [Action::Claimed { job: job(0) }],
        "the claim was given up"
    );
}

/// Guards against two concurrent claimants that block each other or both run the job.
#[test]
fn claim_withdraws_for_smaller_process_id() {
    let mut cluster = Cluster::new(&[1, 2, 3, 4]);
    let job = job(0);
    cluster.down = vec![1, 3, 4];
    cluster.claim(2, job);
    cluster.down = vec![2, 3, 4];
    cluster.claim(1, job);
    cluster.down = Vec::new();
    cluster.advance(Duration::from_millis(60));
    let claimed: Vec<ProcessId> = cluster
        .outputs
        .iter()
        .filter(|(_, action)| matches!(action, Action::Claimed { .. }))
        .map(|(id, _)| *id)
        .collect();
    assert_eq!(claimed, [1]);
    assert!(cluster.outputs.contains(&(2, Action::OwnedBy { job, owner: 1 })));
}

/// Guards against "not run" for ids that another entry may have accepted and for ids at or below the floor.
#[test]
fn claim_rejects_ids_outside_window() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let ahead = cluster.claim(1, job(2_001));
    assert_eq!(refusal(&ahead), Some((RefusalCode::BadJobId, Execution::Unknown)));
    let old = cluster.claim(1, job(-600_000));
    assert_eq!(
        refusal(&old),
        Some((RefusalCode::OutcomeUnknown, Execution::Unknown))
    );
}

/// Guards against a table that grows without bound.
#[test]
fn claim_refuses_when_full() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    for n in 0..8 {
        cluster.claim(1, job(-n));
    }
    let full = cluster.claim(2, job(-9));
    assert_eq!(
        refusal(&full),
        Some((RefusalCode::RegisterFull, Execution::NotRun))
    );
}

/// Guards against unbounded memory use by large answers, although the number of records is bounded.
#[test]
fn claim_refuses_when_answers_are_large() {
    let mut register = Register::builder(1).max_answer_bytes(1_000).build();
    let now = Instant::now();
    let mut run = |event| {
        let mut actions = Vec::new();
        register.handle(now, WALL, event, &mut actions);
        assert_eq!(register.verify(), []);
        actions
    };
    run(Event::ViewInstalled(View::initial(1, vec![1])));
    let (large, next) = (job(0), job(-1));
    run(Event::Claim {
        job: large,
        digest: DIGEST,
        at_most_once: true,
    });
    let answer = Answer::new(
        large,
        vec![TaskStatus::Completed {
            output: vec![0; 2_000].into(),
        }],
    );
    run(Event::RecordAnswer {
        job: large,
        digest: DIGEST,
        answer,
    });
    let refused = run(Event::Claim {
        job: next,
        digest: DIGEST,
        at_most_once: true,
    });
    assert_eq!(
        refusal(&refused).map(|(code, _)| code),
        Some(RefusalCode::RegisterFull)
    );
}

/// Guards against a won claim whose winner records another owner (found by seed 2889).
///
/// The winner had copied the record of a competing claimant that did not reach a quorum.
#[test]
fn claim_overrides_outvoted_record() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    let learner = View {
        learners: vec![4],
        ..View::initial(2, vec![1, 2, 3])
    };
    cluster.nodes.push((4, Register::builder(4).build()));
    cluster.down = vec![1, 2, 3];
    cluster.install(&learner);
    cluster.claim(4, job);
    let record = Record {
        job,
        digest: DIGEST,
        owner: 9,
        conflicting_owner: None,
        promised: Ballot::OWNER,
        accepted: None,
    };
    let message = PeerMessage::Chunk {
        view: 2,
        after: 0,
        up_to: 1,
        done: true,
        floor: Duration::ZERO,
        records: vec![record],
    };
    cluster.run(4, Event::FromPeer { peer: 1, message });
    cluster.down = vec![9];
    cluster.install(&View::initial(3, vec![1, 2, 3, 4, 9]));
    assert_eq!(cluster.claim(1, job), [Action::OwnedBy { job, owner: 4 }]);
}

/// Guards against a second answer when a job is taken over although its owner is still running.
#[test]
fn takeover_fences_owner() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    cluster.claim(1, job);
    let taken = cluster.run(
        2,
        Event::TakeOver {
            job,
            digest: DIGEST,
            tasks: 1,
        },
    );
    let [Action::Recorded { answer: failed, .. }] = &taken[..] else {
        panic!("the takeover records an answer, got {taken:?}");
    };
    assert!(matches!(failed.tasks[0], TaskStatus::MayHaveRun { .. }));
    cluster.run(
        1,
        Event::RecordAnswer {
            job,
            digest: DIGEST,
            answer: answer(job),
        },
    );
    cluster.advance(Duration::from_millis(500));
    let late = cluster.outputs.last().cloned();
    assert_eq!(
        late,
        Some((
            1,
            Action::Recorded {
                job,
                answer: failed.clone()
            }
        ))
    );
}

/// Guards against a resubmission or a takeover that returns another answer than the recorded one.
#[test]
fn takeover_adopts_recorded_answer() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    let answer = answer(job);
    cluster.claim(1, job);
    cluster.run(
        1,
        Event::RecordAnswer {
            job,
            digest: DIGEST,
            answer: answer.clone(),
        },
    );
    assert_eq!(
        cluster.claim(1, job),
        [Action::Answered {
            job,
            answer: answer.clone()
        }]
    );
    cluster.down = vec![1];
    let taken = cluster.run(
        3,
        Event::TakeOver {
            job,
            digest: DIGEST,
            tasks: 1,
        },
    );
    assert_eq!(taken, [Action::Recorded { job, answer }]);
}

/// Guards against a learner that votes before it has copied the records, and against a lost report to control.
#[test]
fn learner_copies_before_it_votes() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    cluster.down = vec![3];
    cluster.claim(1, job);
    cluster.nodes.push((4, Register::builder(4).build()));
    let view = View::initial(1, vec![1, 2, 3]);
    let view = view.next(&[2, 3, 4], &[], Duration::ZERO).unwrap();
    assert_eq!((view.settled, &view.learners), (false, &vec![4]));
    cluster.down = vec![1];
    cluster.install(&view);
    assert_eq!(cluster.node(4).synced_view(), Some(2));
    let view = view.next(&[2, 3, 4], &[2, 3, 4], Duration::ZERO).unwrap();
    cluster.down = vec![1, 2];
    cluster.install(&view);
    assert_eq!(cluster.claim(3, job), [Action::OwnedBy { job, owner: 1 }]);
}

/// Guards against jobs that run again after the records of all replicas that knew them are lost.
#[test]
fn lost_register_sets_floor() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.claim(1, job(0));
    let view = View::initial(1, vec![1, 2, 3]);
    let view = view.next(&[3], &[], WALL + Duration::from_secs(12)).unwrap();
    cluster.down = vec![1, 2];
    cluster.install(&view);
    let refused = cluster.claim(3, job(0));
    assert_eq!(
        refusal(&refused),
        Some((RefusalCode::OutcomeUnknown, Execution::Unknown))
    );
}

/// Guards against "not run" for a job that another entry has claimed.
#[test]
fn lookup_finds_claimed_job() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    assert_eq!(
        cluster.run(2, Event::Lookup { job, digest: DIGEST }),
        [Action::NotClaimed { job }]
    );
    cluster.claim(1, job);
    assert_eq!(
        cluster.run(2, Event::Lookup { job, digest: DIGEST }),
        [Action::OwnedBy { job, owner: 1 }]
    );
}

/// Guards against "not run" when a majority cannot be reached.
#[test]
fn lookup_without_majority_is_unknown() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.down = vec![1, 3];
    assert_eq!(
        cluster.run(
            2,
            Event::Lookup {
                job: job(0),
                digest: DIGEST
            }
        ),
        []
    );
    cluster.advance(Duration::from_secs(1));
    let refused = cluster.outputs.last().map(|(_, action)| action.clone());
    assert_eq!(
        refusal(&Vec::from_iter(refused)),
        Some((RefusalCode::NoQuorum, Execution::Unknown))
    );
}

/// Guards against returning the answer of another submission that used the same id.
#[test]
fn claim_rejects_reused_id() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    cluster.claim(1, job);
    let claim = Event::Claim {
        job,
        digest: DIGEST + 1,
        at_most_once: true,
    };
    let reused = Some((RefusalCode::IdReused, Execution::Unknown));
    assert_eq!(refusal(&cluster.run(2, claim)), reused);
    let lookup = Event::Lookup {
        job,
        digest: DIGEST + 1,
    };
    assert_eq!(refusal(&cluster.run(3, lookup)), reused);
    let takeover = Event::TakeOver {
        job,
        digest: DIGEST + 1,
        tasks: 1,
    };
    assert_eq!(refusal(&cluster.run(2, takeover)), reused);
}

/// Guards against an abandoned claim whose record prevents other entries from running the job.
#[test]
fn abandoned_claim_allows_other_entry() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let job = job(0);
    cluster.down = vec![2, 3];
    cluster.claim(1, job);
    cluster.run(1, Event::AbandonClaim { job });
    cluster.down.clear();
    assert_eq!(cluster.claim(2, job), [Action::Claimed { job }]);
}

/// Guards against "not run" due to replies to an earlier lookup (found by seed 3123 of the entry's run).
///
/// The job may have been claimed between those replies and the submission that the repeated lookup is made for.
#[test]
fn lookup_restarts_when_repeated() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let (job, digest) = (job(0), DIGEST);
    cluster.down = vec![1, 3];
    cluster.run(2, Event::Lookup { job, digest });
    cluster.run(2, Event::Lookup { job, digest });
    let answer = |lookup| PeerMessage::LookupReply {
        view: 1,
        job,
        lookup,
        owner: None,
        own_claim: false,
    };
    let (peer, old, new) = (1, answer(1), answer(2));
    assert_eq!(cluster.run(2, Event::FromPeer { peer, message: old }), []);
    assert_eq!(
        cluster.run(2, Event::FromPeer { peer, message: new }),
        [Action::NotClaimed { job }]
    );
}

/// Guards against records of a withdrawn claim that keep the remaining claimant from a quorum.
///
/// Found by a randomised run without faults.
#[test]
fn withdrawn_claim_releases_its_records() {
    let mut cluster = Cluster::new(&[1, 2, 3, 4]);
    let job = job(0);
    cluster.down = vec![1, 4];
    cluster.claim(2, job);
    cluster.down = vec![2, 3, 4];
    cluster.claim(1, job);
    cluster.down = vec![4];
    cluster.advance(Duration::from_millis(60));
    assert!(cluster.outputs.contains(&(1, Action::Claimed { job })));
    assert!(cluster.outputs.contains(&(2, Action::OwnedBy { job, owner: 1 })));
}

/// Guards against a claim that continues after its entry has named another owner.
///
/// Naming another owner releases the records of the claim, so that both claims could be granted.
#[test]
fn claim_withdraws_if_other_owner_is_recorded() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let (job, digest) = (job(0), DIGEST);
    cluster.nodes.push((4, Register::builder(4).build()));
    cluster.down = vec![1, 2, 3, 9];
    let learner = View {
        learners: vec![4],
        ..View::initial(2, vec![1, 2, 3])
    };
    cluster.install(&learner);
    cluster.claim(4, job);
    let record = Record {
        job,
        digest,
        owner: 9,
        conflicting_owner: None,
        promised: Ballot::OWNER,
        accepted: None,
    };
    let chunk = PeerMessage::Chunk {
        view: 2,
        after: 0,
        up_to: 1,
        done: true,
        floor: Duration::ZERO,
        records: vec![record],
    };
    cluster.run(
        4,
        Event::FromPeer {
            peer: 1,
            message: chunk,
        },
    );
    cluster.install(&View::initial(3, vec![1, 2, 3, 4, 9]));
    let claim = PeerMessage::Claim { view: 3, job, digest };
    let withdrawn = cluster.run(
        4,
        Event::FromPeer {
            peer: 9,
            message: claim,
        },
    );
    assert_eq!(withdrawn, [Action::OwnedBy { job, owner: 9 }]);
    for peer in [1, 2, 3] {
        let message = PeerMessage::Granted { view: 3, job };
        assert_eq!(cluster.run(4, Event::FromPeer { peer, message }), []);
    }
}

//! Failures of the entry core that the randomised run found, each as a case of its own.

use std::time::{Duration, Instant};

use chestnutfork_dispatch::{Action, EntryCore, Event, JobResult, PeerMessage, PolicyTable, TeamQuota};
use chestnutfork_register as register;
use chestnutfork_register::View;
use chestnutfork_types::{
    AgentToEntry, Announcement, Answer, AttemptOutcome, CreditId, Dispatch, EntryToAgent, Execution, JobId,
    JobSpec, ProcessId, RefuseReason, ServicePolicy, TaskResult, TaskSpec, TaskStatus,
};
use indexmap::IndexMap;

const ME: ProcessId = 50;
const AGENT: ProcessId = 7;
const WALL: Duration = Duration::from_secs(1_700_000_000);
const TTL: Duration = Duration::from_secs(4);

struct Bench {
    core: EntryCore,
    now: Instant,
}

impl Bench {
    /// Builds a core in a view with the given other entries and a service of each kind.
    fn new(peers: &[ProcessId]) -> Self {
        let now = Instant::now();
        let core = EntryCore::builder(ME).build(now);
        let mut bench = Self { core, now };
        let services = [true, false].map(|at_most_once| {
            let policy = ServicePolicy::builder("pool").at_most_once(at_most_once).build();
            (service(at_most_once).to_owned(), policy)
        });
        let quota = TeamQuota {
            team: "team".into(),
            quota: 100,
        };
        bench.run(Event::Policies(PolicyTable {
            version: 1,
            services: IndexMap::from(services),
            quotas: vec![quota],
        }));
        bench.run(Event::Confirmed(true));
        let members = [&[ME], peers].concat();
        bench.run(Event::ViewInstalled(View::initial(1, members)));
        for &peer in peers {
            bench.run(Event::PeerUp { peer });
        }
        bench
    }

    fn run(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, WALL, event, &mut actions);
        assert_eq!(self.core.verify(), []);
        actions
    }

    fn agent_says(&mut self, message: AgentToEntry) -> Vec<Action> {
        self.run(Event::AgentMessage {
            agent: AGENT,
            message,
        })
    }

    fn agent_up(&mut self) {
        self.run(Event::AgentUp { agent: AGENT });
        self.announce(4, 1);
    }

    fn announce(&mut self, slots: u32, config: u64) -> Vec<Action> {
        self.agent_says(AgentToEntry::Announce(Announcement {
            target: "target".into(),
            pool: "pool".into(),
            failure_domain: "fd".into(),
            slots,
            leaving: false,
            config,
        }))
    }

    fn grant(&mut self, credit: CreditId) -> Vec<Action> {
        let credits = vec![credit];
        self.agent_says(AgentToEntry::Grant { credits, ttl: TTL })
    }

    fn submit(&mut self, ticket: u64, job: JobSpec, fresh_id: bool) -> Vec<Action> {
        self.run(Event::Submit {
            ticket,
            job,
            fresh_id,
        })
    }

    fn peer_says(&mut self, peer: ProcessId, message: PeerMessage) -> Vec<Action> {
        self.run(Event::PeerMessage { peer, message })
    }
}

fn service(at_most_once: bool) -> &'static str {
    if at_most_once { "desk" } else { "lookup" }
}

fn job(low: JobId, at_most_once: bool) -> JobSpec {
    let task = TaskSpec {
        payload: "x".into(),
        declared: None,
    };
    JobSpec {
        id: (WALL.as_millis() << 80) | low,
        service: service(at_most_once).into(),
        team: "team".into(),
        deadline: Duration::from_secs(5),
        at_most_once,
        tasks: vec![task],
    }
}

fn dispatches(actions: &[Action]) -> Vec<Dispatch> {
    let messages = actions.iter().filter_map(|action| match action {
        Action::ToAgent {
            message: EntryToAgent::Dispatch(dispatch),
            ..
        } => Some(dispatch.clone()),
        _ => None,
    });
    messages.collect()
}

fn reply(actions: &[Action], ticket: u64) -> Option<JobResult> {
    actions.iter().find_map(|action| match action {
        Action::Reply { ticket: to, result } if *to == ticket => Some(result.clone()),
        _ => None,
    })
}

fn result(credit: CreditId, next: Option<CreditId>) -> AgentToEntry {
    AgentToEntry::Result(TaskResult {
        credit,
        outcome: AttemptOutcome::Completed { output: "y".into() },
        run_time: Duration::from_millis(50),
        next,
    })
}

/// Guards against dispatches with credits of a link that another one replaced unnoticed (found by seed 27).
#[test]
fn agent_up_drops_credits_of_former_link() {
    let mut bench = Bench::new(&[]);
    bench.agent_up();
    bench.grant(1);
    bench.run(Event::AgentUp { agent: AGENT });
    assert_eq!(dispatches(&bench.submit(1, job(1, true), true)), []);
    assert_eq!(dispatches(&bench.grant(2))[0].credit, 2);
}

/// Guards against "not run" for an idempotent job that another entry may run without a claim (found by seed 82).
#[test]
fn refusal_of_idempotent_job_is_unknown() {
    for (at_most_once, execution) in [(true, Execution::NotRun), (false, Execution::Unknown)] {
        let mut bench = Bench::new(&[]);
        let refused = reply(&bench.submit(1, job(1, at_most_once), false), 1);
        assert_eq!(refused.unwrap().unwrap_err().execution, execution);
    }
}

/// Guards against entries without an answer that joined a claim before it was withdrawn (found by an assertion).
#[test]
fn withdrawn_claim_relays_answer() {
    let mut bench = Bench::new(&[10, 20]);
    bench.agent_up();
    let job = job(1, true);
    let (id, view) = (job.id, 1);
    let actions = bench.submit(1, job, false);
    let digest = actions.iter().find_map(|action| match action {
        Action::ToPeer {
            message: PeerMessage::Register(register::PeerMessage::Claim { digest, .. }),
            ..
        } => Some(*digest),
        _ => None,
    });
    let digest = digest.expect("the job is claimed");
    bench.peer_says(20, PeerMessage::Join { job: id, digest });
    let claim = register::PeerMessage::Claim {
        view,
        job: id,
        digest,
    };
    bench.peer_says(10, PeerMessage::Register(claim));
    let answer = Answer::new(id, vec![TaskStatus::Completed { output: "y".into() }]);
    let joined = PeerMessage::JoinResult {
        job: id,
        result: Ok(answer.clone()),
    };
    let actions = bench.peer_says(10, joined.clone());
    assert_eq!(reply(&actions, 1), Some(Ok(answer)));
    let relayed = Action::ToPeer {
        peer: 20,
        message: joined,
    };
    assert!(actions.contains(&relayed));
}

/// Guards against a credit that comes with the first result of a link and expires at once (found by seed 756).
#[test]
fn first_result_of_link_keeps_credit() {
    let mut bench = Bench::new(&[]);
    bench.agent_up();
    bench.grant(1);
    let mut short = job(1, false);
    short.deadline = Duration::from_millis(500);
    bench.submit(1, short, true);
    bench.run(Event::AgentDown { agent: AGENT });
    bench.now += Duration::from_secs(1);
    bench.run(Event::Tick);
    bench.agent_up();
    bench.agent_says(result(1, Some(2)));
    bench.now += Duration::from_millis(10);
    bench.run(Event::Tick);
    assert_eq!(dispatches(&bench.submit(2, job(2, true), true))[0].credit, 2);
}

/// Guards against credits dropped by the entry alone, whose slots would stay unused.
#[test]
fn expired_credits_wait_for_renewal() {
    let mut bench = Bench::new(&[]);
    bench.agent_up();
    bench.grant(1);
    bench.now += TTL;
    bench.run(Event::Tick);
    assert_eq!(dispatches(&bench.submit(1, job(1, true), true)), []);
    let renewed = bench.agent_says(AgentToEntry::Renew { ttl: TTL });
    assert_eq!(dispatches(&renewed)[0].credit, 1);
}

/// Guards against credits that the agent has voided (found by seed 1077), and needless resets.
#[test]
fn announcement_resets_credits_unless_only_version_changes() {
    for (slots, config, kept) in [(4, 2, true), (3, 1, false), (4, 1, false)] {
        let mut bench = Bench::new(&[]);
        bench.agent_up();
        bench.grant(1);
        bench.announce(slots, config);
        let started = !dispatches(&bench.submit(1, job(1, true), true)).is_empty();
        assert_eq!(started, kept, "slots {slots}, version {config}");
    }
}

/// Guards against a dispatch without time left when a message comes before the timer after a stall (seed 6603).
#[test]
fn stalled_entry_dispatches_no_expired_task() {
    let mut bench = Bench::new(&[]);
    bench.agent_up();
    bench.submit(1, job(1, true), true);
    bench.now += Duration::from_secs(6);
    let actions = bench.grant(1);
    assert_eq!(dispatches(&actions), []);
    let answer = reply(&actions, 1).expect("the caller has an answer").unwrap();
    assert!(matches!(answer.tasks[0], TaskStatus::NotRun { .. }));
}

/// Guards against a claim that is won after its caller was told that the outcome is unknown, and blocks the job.
#[test]
fn claim_ends_with_its_deadline() {
    let mut bench = Bench::new(&[10, 20]);
    bench.agent_up();
    let mut job = job(1, true);
    job.deadline = Duration::from_millis(400);
    let id = job.id;
    bench.submit(1, job.clone(), false);
    bench.now += Duration::from_millis(400);
    let refused = reply(&bench.run(Event::Tick), 1).expect("the caller has a reply");
    assert_eq!(refused.unwrap_err().execution, Execution::Unknown);
    let granted = PeerMessage::Register(register::PeerMessage::Granted { view: 1, job: id });
    bench.peer_says(10, granted.clone());
    bench.grant(1);
    bench.submit(2, job, false);
    assert_eq!(dispatches(&bench.peer_says(10, granted)).len(), 1);
}

/// Guards against a dispatch and a refusal in a loop while the agent's configuration is unconfirmed.
#[test]
fn unconfirmed_agent_is_paused() {
    let mut bench = Bench::new(&[]);
    bench.agent_up();
    bench.grant(1);
    bench.submit(1, job(1, true), true);
    let (credit, reason) = (1, RefuseReason::Unconfirmed);
    bench.agent_says(AgentToEntry::Refused { credit, reason });
    assert_eq!(dispatches(&bench.grant(2)), []);
    let wakeup = bench.core.next_wakeup().expect("the pause ends");
    assert!(wakeup <= bench.now + Duration::from_millis(100));
    bench.now += Duration::from_millis(100);
    assert_eq!(dispatches(&bench.run(Event::Tick)).len(), 1);
}

/// Guards against an agent that is ignored because the last announcement of its former incarnation came late.
#[test]
fn late_announcement_of_former_agent_is_ignored() {
    let mut bench = Bench::new(&[]);
    bench.agent_up();
    let newer = AGENT + 1;
    bench.run(Event::AgentUp { agent: newer });
    let announcement = Announcement {
        target: "target".into(),
        pool: "pool".into(),
        failure_domain: "fd".into(),
        slots: 4,
        leaving: false,
        config: 1,
    };
    let say = |message| Event::AgentMessage {
        agent: newer,
        message,
    };
    bench.run(say(AgentToEntry::Announce(announcement)));
    bench.announce(3, 1);
    let (credits, ttl) = (vec![1], TTL);
    bench.run(say(AgentToEntry::Grant { credits, ttl }));
    assert_eq!(dispatches(&bench.submit(1, job(1, true), true)).len(), 1);
}

/// Guards against tasks given up as not run, after 20 dispatches in a few milliseconds, while their only target restarts.
#[test]
fn refusing_target_is_paused() {
    let mut bench = Bench::new(&[]);
    bench.agent_up();
    bench.grant(1);
    let mut sent = dispatches(&bench.submit(1, job(1, true), true));
    let mut count = 0;
    while bench.core.status().jobs > 0 {
        for dispatch in sent {
            count += 1;
            bench.agent_says(AgentToEntry::Result(TaskResult {
                credit: dispatch.credit,
                outcome: AttemptOutcome::NotStarted {
                    reason: "refused".into(),
                },
                run_time: Duration::ZERO,
                next: Some(dispatch.credit + 1),
            }));
        }
        bench.now += Duration::from_millis(10);
        bench.agent_says(AgentToEntry::Renew { ttl: TTL });
        sent = dispatches(&bench.run(Event::Tick));
    }
    assert!(
        (2..10).contains(&count),
        "{count} dispatches in the 5 s of the deadline"
    );
}

/// Guards against the end of an attempt of an earlier run that counts for a later run of the same job.
#[test]
fn attempt_of_earlier_run_does_not_count() {
    for outcome in [
        AttemptOutcome::Completed { output: "old".into() },
        AttemptOutcome::NotStarted {
            reason: "refused".into(),
        },
    ] {
        let mut bench = Bench::new(&[]);
        bench.agent_up();
        bench.grant(1);
        let mut idempotent = job(1, false);
        idempotent.deadline = Duration::from_millis(500);
        let mut larger = idempotent.clone();
        larger.tasks.insert(0, idempotent.tasks[0].clone());
        bench.grant(2);
        bench.submit(1, larger, true);
        bench.now += Duration::from_millis(500);
        assert!(reply(&bench.run(Event::Tick), 1).is_some());
        bench.submit(2, idempotent, true);
        for credit in [1, 2] {
            let late = AgentToEntry::Result(TaskResult {
                credit,
                outcome: outcome.clone(),
                run_time: Duration::ZERO,
                next: None,
            });
            assert_eq!(reply(&bench.agent_says(late), 2), None);
        }
    }
}

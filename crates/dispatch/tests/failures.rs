//! Regression tests for failures of the entry core; a seed in a comment is that of the simulation that found the
//! failure.

use std::time::{Duration, Instant};

use chestnutfork_dispatch::{Action, EntryCore, Event, JobResult, PeerMessage, PolicyTable, TeamQuota};
use chestnutfork_register as register;
use chestnutfork_register::View;
use chestnutfork_types::{
    AgentToEntry, Announcement, Answer, AttemptOutcome, CreditId, Dispatch, EntryToAgent, Execution, JobId,
    JobSpec, ProcessId, RefusalReason, ServicePolicy, TaskResult, TaskSpec, TaskStatus,
};
use indexmap::IndexMap;

const ENTRY: ProcessId = 50;
const AGENT: ProcessId = 7;
const WALL: Duration = Duration::from_secs(1_700_000_000);
const TTL: Duration = Duration::from_secs(4);

struct Fixture {
    core: EntryCore,
    now: Instant,
}

impl Fixture {
    /// Builds a core in a view with `peers`, with one at-most-once and one idempotent service.
    fn new(peers: &[ProcessId]) -> Self {
        let now = Instant::now();
        let core = EntryCore::builder(ENTRY).build(now);
        let mut fixture = Self { core, now };
        let services = [true, false].map(|at_most_once| {
            let policy = ServicePolicy::builder("pool").at_most_once(at_most_once).build();
            (service(at_most_once).to_owned(), policy)
        });
        let quota = TeamQuota {
            team: "team".into(),
            quota: 100,
        };
        fixture.run(Event::Policies(PolicyTable {
            version: 1,
            services: IndexMap::from(services),
            quotas: vec![quota],
        }));
        fixture.run(Event::Confirmed(true));
        let members = [&[ENTRY], peers].concat();
        fixture.run(Event::ViewInstalled(View::initial(1, members)));
        for &peer in peers {
            fixture.run(Event::PeerUp { peer });
        }
        fixture
    }

    fn run(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, WALL, event, &mut actions);
        assert_eq!(self.core.verify(), []);
        actions
    }

    fn agent_message(&mut self, message: AgentToEntry) -> Vec<Action> {
        self.run(Event::AgentMessage {
            agent: AGENT,
            message,
        })
    }

    fn agent_up(&mut self) {
        self.run(Event::AgentUp { agent: AGENT });
        self.announce(4, 1);
    }

    fn announce(&mut self, slots: u32, config_version: u64) -> Vec<Action> {
        self.agent_message(AgentToEntry::Announce(Announcement {
            target: "target".into(),
            pool: "pool".into(),
            failure_domain: "fd".into(),
            slots,
            leaving: false,
            config_version,
        }))
    }

    fn grant(&mut self, credit: CreditId) -> Vec<Action> {
        let credits = vec![credit];
        self.agent_message(AgentToEntry::Grant { credits, ttl: TTL })
    }

    fn submit(&mut self, ticket: u64, job: JobSpec, fresh_id: bool) -> Vec<Action> {
        self.run(Event::Submit {
            ticket,
            job,
            fresh_id,
        })
    }

    fn peer_message(&mut self, peer: ProcessId, message: PeerMessage) -> Vec<Action> {
        self.run(Event::PeerMessage { peer, message })
    }
}

fn service(at_most_once: bool) -> &'static str {
    if at_most_once { "desk" } else { "lookup" }
}

fn job(low: JobId, at_most_once: bool) -> JobSpec {
    let task = TaskSpec {
        payload: "x".into(),
        declared_run_time: None,
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

fn result(credit: CreditId, next_credit: Option<CreditId>) -> AgentToEntry {
    AgentToEntry::Result(TaskResult {
        credit,
        outcome: AttemptOutcome::Completed { output: "y".into() },
        run_time: Duration::from_millis(50),
        next_credit,
    })
}

/// Guards against dispatches with credits of a former link whose end the entry did not detect (found by seed 27).
#[test]
fn agent_up_drops_credits_of_former_link() {
    let mut fixture = Fixture::new(&[]);
    fixture.agent_up();
    fixture.grant(1);
    fixture.run(Event::AgentUp { agent: AGENT });
    assert_eq!(dispatches(&fixture.submit(1, job(1, true), true)), []);
    assert_eq!(dispatches(&fixture.grant(2))[0].credit, 2);
}

/// Guards against a refusal as not run of an idempotent job that another entry may run without a claim (found by seed
/// 82).
#[test]
fn refusal_of_idempotent_job_is_unknown() {
    for (at_most_once, execution) in [(true, Execution::NotRun), (false, Execution::Unknown)] {
        let mut fixture = Fixture::new(&[]);
        let refused = reply(&fixture.submit(1, job(1, at_most_once), false), 1);
        assert_eq!(refused.unwrap().unwrap_err().execution, execution);
    }
}

/// Guards against entries that joined a claimed job and get no answer after the claim is withdrawn (found by an
/// assertion).
#[test]
fn withdrawn_claim_relays_answer() {
    let mut fixture = Fixture::new(&[10, 20]);
    fixture.agent_up();
    let job = job(1, true);
    let (id, view) = (job.id, 1);
    let actions = fixture.submit(1, job, false);
    let digest = actions.iter().find_map(|action| match action {
        Action::ToPeer {
            message: PeerMessage::Register(register::PeerMessage::Claim { digest, .. }),
            ..
        } => Some(*digest),
        _ => None,
    });
    let digest = digest.expect("the job is claimed");
    fixture.peer_message(20, PeerMessage::Join { job: id, digest });
    let claim = register::PeerMessage::Claim {
        view,
        job: id,
        digest,
    };
    fixture.peer_message(10, PeerMessage::Register(claim));
    let answer = Answer::new(id, vec![TaskStatus::Completed { output: "y".into() }]);
    let joined = PeerMessage::JoinResult {
        job: id,
        result: Ok(answer.clone()),
    };
    let actions = fixture.peer_message(10, joined.clone());
    assert_eq!(reply(&actions, 1), Some(Ok(answer)));
    let relayed = Action::ToPeer {
        peer: 20,
        message: joined,
    };
    assert!(actions.contains(&relayed));
}

/// Guards against immediate expiry of the credit in the first result on a new link (found by seed 756).
#[test]
fn first_result_of_link_keeps_credit() {
    let mut fixture = Fixture::new(&[]);
    fixture.agent_up();
    fixture.grant(1);
    let mut short = job(1, false);
    short.deadline = Duration::from_millis(500);
    fixture.submit(1, short, true);
    fixture.run(Event::AgentDown { agent: AGENT });
    fixture.now += Duration::from_secs(1);
    fixture.run(Event::Tick);
    fixture.agent_up();
    fixture.agent_message(result(1, Some(2)));
    fixture.now += Duration::from_millis(10);
    fixture.run(Event::Tick);
    assert_eq!(dispatches(&fixture.submit(2, job(2, true), true))[0].credit, 2);
}

/// Guards against an entry that drops expired credits while the agent still counts them, so that their slots stay
/// unused.
#[test]
fn expired_credits_wait_for_renewal() {
    let mut fixture = Fixture::new(&[]);
    fixture.agent_up();
    fixture.grant(1);
    fixture.now += TTL;
    fixture.run(Event::Tick);
    assert_eq!(dispatches(&fixture.submit(1, job(1, true), true)), []);
    let renewed = fixture.agent_message(AgentToEntry::Renew { ttl: TTL });
    assert_eq!(dispatches(&renewed)[0].credit, 1);
}

/// Guards against use of credits that the agent has voided (found by seed 1077), and against needless resets of
/// credits.
#[test]
fn announcement_resets_credits_unless_only_version_changes() {
    for (slots, config, retained) in [(4, 2, true), (3, 1, false), (4, 1, false)] {
        let mut fixture = Fixture::new(&[]);
        fixture.agent_up();
        fixture.grant(1);
        fixture.announce(slots, config);
        let started = !dispatches(&fixture.submit(1, job(1, true), true)).is_empty();
        assert_eq!(started, retained, "slots {slots}, version {config}");
    }
}

/// Guards against the dispatch of an expired task when a message is handled before the timer after a stall (found by
/// seed 6603).
#[test]
fn stalled_entry_dispatches_no_expired_task() {
    let mut fixture = Fixture::new(&[]);
    fixture.agent_up();
    fixture.submit(1, job(1, true), true);
    fixture.now += Duration::from_secs(6);
    let actions = fixture.grant(1);
    assert_eq!(dispatches(&actions), []);
    let answer = reply(&actions, 1).expect("the caller has an answer").unwrap();
    assert!(matches!(answer.tasks[0], TaskStatus::NotRun { .. }));
}

/// Guards against a claim that is granted after its caller got an unknown outcome, and then blocks the job.
#[test]
fn claim_ends_with_its_deadline() {
    let mut fixture = Fixture::new(&[10, 20]);
    fixture.agent_up();
    let mut job = job(1, true);
    job.deadline = Duration::from_millis(400);
    let id = job.id;
    fixture.submit(1, job.clone(), false);
    fixture.now += Duration::from_millis(400);
    let refused = reply(&fixture.run(Event::Tick), 1).expect("the caller has a reply");
    assert_eq!(refused.unwrap_err().execution, Execution::Unknown);
    let granted = PeerMessage::Register(register::PeerMessage::Granted { view: 1, job: id });
    fixture.peer_message(10, granted.clone());
    fixture.grant(1);
    fixture.submit(2, job, false);
    assert_eq!(dispatches(&fixture.peer_message(10, granted)).len(), 1);
}

/// Guards against a loop of dispatches and refusals while the agent's configuration is unconfirmed.
#[test]
fn unconfirmed_agent_is_paused() {
    let mut fixture = Fixture::new(&[]);
    fixture.agent_up();
    fixture.grant(1);
    fixture.submit(1, job(1, true), true);
    let (credit, reason) = (1, RefusalReason::Unconfirmed);
    fixture.agent_message(AgentToEntry::Refused { credit, reason });
    assert_eq!(dispatches(&fixture.grant(2)), []);
    let wakeup = fixture.core.next_wakeup().expect("the pause ends");
    assert!(wakeup <= fixture.now + Duration::from_millis(100));
    fixture.now += Duration::from_millis(100);
    assert_eq!(dispatches(&fixture.run(Event::Tick)).len(), 1);
}

/// Guards against an agent that is ignored because the last announcement of its former incarnation arrives late.
#[test]
fn late_announcement_of_former_agent_is_ignored() {
    let mut fixture = Fixture::new(&[]);
    fixture.agent_up();
    let newer = AGENT + 1;
    fixture.run(Event::AgentUp { agent: newer });
    let announcement = Announcement {
        target: "target".into(),
        pool: "pool".into(),
        failure_domain: "fd".into(),
        slots: 4,
        leaving: false,
        config_version: 1,
    };
    let from_newer = |message| Event::AgentMessage {
        agent: newer,
        message,
    };
    fixture.run(from_newer(AgentToEntry::Announce(announcement)));
    fixture.announce(3, 1);
    let (credits, ttl) = (vec![1], TTL);
    fixture.run(from_newer(AgentToEntry::Grant { credits, ttl }));
    assert_eq!(dispatches(&fixture.submit(1, job(1, true), true)).len(), 1);
}

/// Guards against tasks that end as not run after 20 dispatches in a few milliseconds while their only target restarts.
#[test]
fn refusing_target_is_paused() {
    let mut fixture = Fixture::new(&[]);
    fixture.agent_up();
    fixture.grant(1);
    let mut sent = dispatches(&fixture.submit(1, job(1, true), true));
    let mut count = 0;
    while fixture.core.status().jobs > 0 {
        for dispatch in sent {
            count += 1;
            fixture.agent_message(AgentToEntry::Result(TaskResult {
                credit: dispatch.credit,
                outcome: AttemptOutcome::NotStarted {
                    reason: "refused".into(),
                },
                run_time: Duration::ZERO,
                next_credit: Some(dispatch.credit + 1),
            }));
        }
        fixture.now += Duration::from_millis(10);
        fixture.agent_message(AgentToEntry::Renew { ttl: TTL });
        sent = dispatches(&fixture.run(Event::Tick));
    }
    assert!(
        (2..10).contains(&count),
        "{count} dispatches within the deadline of 5 s"
    );
}

/// Guards against the outcome of an attempt of an earlier run that counts for a later run of the same job.
#[test]
fn attempt_of_earlier_run_does_not_count() {
    for outcome in [
        AttemptOutcome::Completed { output: "old".into() },
        AttemptOutcome::NotStarted {
            reason: "refused".into(),
        },
    ] {
        let mut fixture = Fixture::new(&[]);
        fixture.agent_up();
        fixture.grant(1);
        let mut idempotent = job(1, false);
        idempotent.deadline = Duration::from_millis(500);
        let mut larger = idempotent.clone();
        larger.tasks.insert(0, idempotent.tasks[0].clone());
        fixture.grant(2);
        fixture.submit(1, larger, true);
        fixture.now += Duration::from_millis(500);
        assert!(reply(&fixture.run(Event::Tick), 1).is_some());
        fixture.submit(2, idempotent, true);
        for credit in [1, 2] {
            let late = AgentToEntry::Result(TaskResult {
                credit,
                outcome: outcome.clone(),
                run_time: Duration::ZERO,
                next_credit: None,
            });
            assert_eq!(reply(&fixture.agent_message(late), 2), None);
        }
    }
}

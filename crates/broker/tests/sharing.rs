//! Placement beside kinds of tasks that interfere, as reported by agents.

mod entry;

use chestnutfork_broker::{Action, BrokerConfig, BrokerCore, Event, Notice, RequestKind};
use chestnutfork_interference::{MAX_AGE, kind_id};
use chestnutfork_types::{InterferenceReport, KindId, KindPair, PairEvidence, Resources, WorkerToEntry};
use entry::{Entry, RUN_EXPIRY, millis, request, submission, table};
use std::time::{Duration, Instant};

/// Link to the worker that is selected without regard to interference, because it is the faster one.
const FAST: u64 = 1;
const SLOW: u64 = 2;

fn image(name: &str) -> KindId {
    kind_id(Some(name), "r")
}

/// Returns an entry with two workers.
fn entry(sharing: bool) -> Entry {
    let now = Instant::now();
    let cfg = BrokerConfig::builder("zone-a", RUN_EXPIRY)
        .sharing(sharing)
        .build();
    let mut entry = Entry {
        core: BrokerCore::new(cfg, now),
        start: now,
        now,
        actions: Vec::new(),
    };
    entry.handle(Event::Routes(table(1)));
    for link in [FAST, SLOW] {
        entry.connect(link);
    }
    report_speeds(&mut entry, 700, 1_000);
    entry
}

/// Reports the run time ratios of both workers in thousandths.
fn report_speeds(entry: &mut Entry, fast: u32, slow: u32) {
    for (link, run_time_permille) in [(FAST, fast), (SLOW, slow)] {
        let mut load = Entry::load(u64::MAX);
        load.run_time_permille = run_time_permille;
        entry.receive(link, WorkerToEntry::Load(load));
    }
}

fn evidence(slowed: &str, beside: &str, age: Duration) -> PairEvidence {
    PairEvidence {
        pair: KindPair {
            slowed: image(slowed),
            beside: image(beside),
        },
        log_permille: 1_386,
        precision: 400,
        runs: 120,
        age,
    }
}

/// Reports of one agent that the image `a` is slowed beside the image `b`, and that three tasks of `b` run on its worker.
fn report(entry: &mut Entry, link: u64, pairs: Vec<PairEvidence>, running: u32) {
    let report = InterferenceReport {
        pairs: Some(pairs),
        running: vec![(image("b"), running)],
    };
    entry.receive(link, WorkerToEntry::Interference(report));
}

/// Submits a job of one task of the image `a`, and returns the link of its order.
fn place(entry: &mut Entry) -> Option<u64> {
    let mut job = submission(1);
    job.steps[0].image = Some("a".to_owned());
    let before = entry.starts().len();
    let number = u64::try_from(before).expect("few orders") + 1;
    entry.request(number, request(u128::from(number), RequestKind::Submit(job)));
    entry.starts().get(before).map(|(link, _)| *link)
}

fn notices(entry: &Entry) -> Vec<&Notice> {
    let notices = entry.actions.iter().filter_map(|action| match action {
        Action::Notice(notice @ Notice::InterferenceAvoided { .. }) => Some(notice),
        _ => None,
    });
    notices.collect()
}

/// Load: a task whose kind is slowed beside what runs on the fastest worker, while another worker has room. Guards against a
/// placement beside it, and a log that does not say why.
#[test]
fn place_interfering_pair_uses_other_worker() {
    let mut entry = entry(true);
    assert_eq!(place(&mut entry), Some(FAST), "nothing interferes yet");
    report(&mut entry, FAST, vec![evidence("a", "b", millis(200))], 3);
    assert_eq!(place(&mut entry), Some(SLOW));
    let [
        Notice::InterferenceAvoided {
            tasks: 1,
            agent,
            slowed,
            beside,
            slowdown_permille: 3_999,
            runs: 120,
            age,
            ..
        },
    ] = notices(&entry)[..]
    else {
        panic!("one placement was decided: {:?}", notices(&entry));
    };
    assert_eq!(
        (agent.as_str(), slowed.as_str(), *age),
        ("agent-1", "a", millis(200))
    );
    // No job of the other image has been submitted here, so that only its id is known.
    assert_eq!(*beside, format!("{:016x}", image("b")));
}

/// Load: a task whose kind slows down what runs on the fastest worker. Guards against regard to the placed task alone.
#[test]
fn place_task_that_slows_others_uses_other_worker() {
    let mut entry = entry(true);
    report(&mut entry, SLOW, vec![evidence("b", "a", millis(200))], 0);
    report(&mut entry, FAST, Vec::new(), 1);
    assert_eq!(place(&mut entry), Some(SLOW));
}

/// Load: the worker without interference is full. Guards against a task that waits, or is refused, because of interference.
#[test]
fn place_full_pool_as_without_interference() {
    let mut entry = entry(true);
    report(&mut entry, FAST, vec![evidence("a", "b", millis(200))], 3);
    let mut full = Entry::load(u64::MAX);
    full.free = Resources::default();
    full.share = Resources::default();
    entry.receive(SLOW, WorkerToEntry::Load(full));
    assert_eq!(place(&mut entry), Some(FAST));
    assert!(notices(&entry).is_empty());
}

/// Load: the worker without interference is so slow that the job would miss its latency objective of 300 ms there. Guards
/// against interference that takes precedence over the objective.
#[test]
fn place_objective_before_interference() {
    for (slow, link) in [(2_500, SLOW), (3_100, FAST)] {
        let mut entry = entry(true);
        report_speeds(&mut entry, 900, slow);
        let pairs = vec![evidence("a", "b", millis(200)), evidence("b", "a", millis(200))];
        report(&mut entry, FAST, pairs, 3);
        assert_eq!(place(&mut entry), Some(link), "run time ratio {slow}");
    }
}

/// Load: agents whose reports stop while their heartbeats go on, and evidence without recent runs. Guards against decisions on
/// old information.
#[test]
fn place_old_reports_have_no_effect() {
    let mut entry = entry(true);
    report(&mut entry, FAST, vec![evidence("a", "b", MAX_AGE)], 3);
    assert_eq!(place(&mut entry), Some(FAST), "the evidence is old");
    report(&mut entry, FAST, vec![evidence("a", "b", millis(200))], 3);
    entry.advance_to(Duration::from_secs(1), &[FAST, SLOW]);
    report_speeds(&mut entry, 700, 1_000);
    assert_eq!(
        place(&mut entry),
        Some(FAST),
        "what runs beside is not known any more"
    );
}

/// Load: an agent that restarts. Guards against evidence that outlives the records that it came from, and against the loss of
/// what other agents have found.
#[test]
fn place_agent_restart_keeps_other_evidence() {
    for (others, link) in [(false, FAST), (true, SLOW)] {
        let mut entry = entry(true);
        report(&mut entry, SLOW, vec![evidence("a", "b", millis(200))], 0);
        let pairs = if others {
            vec![evidence("a", "b", millis(200))]
        } else {
            Vec::new()
        };
        report(&mut entry, FAST, pairs, 3);
        entry.handle(Event::AgentDown { link: SLOW });
        entry.handle(Event::AgentUp {
            link: 3,
            agent: "agent-2".to_owned(),
            process: 99,
        });
        entry.report_crashes(3, Vec::new());
        entry.beat(3, 1, 0);
        let placed = place(&mut entry).map(|link| if link == 3 { SLOW } else { link });
        assert_eq!(placed, Some(link), "evidence of others: {others}");
    }
}

/// Guards against orders whose kinds an agent cannot learn from, and against agents that are not asked for their evidence of a
/// pair that another one reports.
#[test]
fn place_order_states_kinds() {
    let mut entry = entry(true);
    place(&mut entry);
    report(&mut entry, FAST, vec![evidence("a", "b", millis(200))], 0);
    place(&mut entry);
    let kinds: Vec<_> = entry.starts().into_iter().map(|(_, order)| order.kinds).collect();
    let [first, second] = kinds.as_slice() else {
        panic!("two orders: {kinds:?}");
    };
    assert_eq!((&first.tasks, &first.watched), (&vec![image("a")], &Vec::new()));
    assert_eq!(
        (&second.tasks, &second.watched),
        (&vec![image("a")], &vec![image("a")])
    );
}

/// Guards against an effect in a deployment without the contract.
#[test]
fn place_without_contract_ignores_interference() {
    let mut entry = entry(false);
    report(&mut entry, FAST, vec![evidence("a", "b", millis(200))], 3);
    assert_eq!(place(&mut entry), Some(FAST));
    assert_eq!(entry.core.interfering_pairs(), None);
    let kinds = entry.starts().remove(0).1.kinds;
    assert!(kinds.tasks.is_empty() && kinds.watched.is_empty());
}

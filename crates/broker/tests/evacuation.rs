//! Tests of the entry core while failure domains are evacuated, and when they return.

mod entry;

use std::time::Duration;

use chestnutfork_broker::{
    Action, Answer, BrokerConfig, BrokerCore, Event, Notice, RefusalReason, RequestKind,
};
use chestnutfork_evacuation::Evacuations;
use chestnutfork_types::{Resources, RunOutcome, WorkerDescription, WorkerToEntry};
use entry::{Entry, RUN_EXPIRY, millis, request, submission, table};

fn evacuate(entry: &mut Entry, revision: u64, domains: &[&str]) {
    let domains = domains.iter().map(|&domain| domain.to_owned()).collect();
    let state = Evacuations { revision, domains };
    let age = millis(40);
    entry.handle(Event::Evacuations { state, age });
}

/// Describes the worker of a link as one in a failure domain, with a label.
fn describe(entry: &mut Entry, link: u64, domain: &str, label: &str, leaving: bool) {
    let worker = WorkerDescription {
        worker: format!("w-{link}"),
        pool: "pool".to_owned(),
        failure_domain: domain.to_owned(),
        labels: vec![label.to_owned()],
        capacity: Resources {
            cpu_millis: 4_000,
            memory_mb: 100,
            gpus: 0,
        },
        leaving,
        ..WorkerDescription::default()
    };
    entry.receive(link, WorkerToEntry::Describe(worker, Vec::new()));
}

/// Returns an entry with one worker in each of the domains `zone-a` and `zone-b`, on the links 1 and 2.
fn two_domains() -> Entry {
    let mut entry = Entry::with_workers(2);
    describe(&mut entry, 2, "zone-b", "far", false);
    entry
}

fn refusals(entry: &Entry) -> Vec<(u64, RefusalReason)> {
    let answers = entry.answers().into_iter();
    let refused = answers.filter_map(|(ticket, answer)| match answer {
        Answer::Refused { reason, retry_after } => {
            assert!(
                retry_after >= Duration::from_secs(1),
                "callers must not return at once"
            );
            Some((ticket, reason))
        }
        _ => None,
    });
    refused.collect()
}

/// Guards against a task that is placed in an evacuated domain although another one has room, and against a domain that stays
/// out of use after the evacuation.
#[test]
fn evacuated_domain_gets_no_tasks() {
    let mut entry = two_domains();
    evacuate(&mut entry, 1, &["zone-a"]);
    for job in 1..=4 {
        entry.submit(job, u128::from(job), 1);
    }
    assert!(entry.attempts().iter().all(|&(link, _)| link == 2));
    assert_eq!(entry.attempts().len(), 4);
    evacuate(&mut entry, 2, &[]);
    entry.advance_to(millis(2_500), &[1, 2]);
    entry.submit(5, 5, 4);
    assert!(entry.attempts().iter().any(|&(link, _)| link == 1));
}

/// Guards against a job that waits until its time limit, or is refused as impossible for ever, although the operator has
/// evacuated the only workers that could run it.
#[test]
fn job_that_fits_only_evacuated_workers_is_refused_at_once() {
    let mut entry = two_domains();
    let far = || {
        let mut job = submission(1);
        job.steps[0].required_label = Some("far".to_owned());
        job
    };
    evacuate(&mut entry, 1, &["zone-b"]);
    entry.request(7, request(7, RequestKind::Submit(far())));
    assert_eq!(refusals(&entry), [(7, RefusalReason::Evacuated)]);
    entry.submit(8, 8, 1);
    let mut nowhere = submission(1);
    nowhere.steps[0].required_label = Some("nowhere".to_owned());
    entry.request(9, request(9, RequestKind::Submit(nowhere)));
    assert_eq!(refusals(&entry)[1..], [(9, RefusalReason::NeverFits)]);
    evacuate(&mut entry, 2, &["zone-a", "zone-b"]);
    entry.submit(10, 10, 1);
    assert_eq!(refusals(&entry)[2..], [(10, RefusalReason::Evacuated)]);
}

/// Guards against a waiting job that fits only an evacuated domain and is held until it misses its objective.
#[test]
fn waiting_job_is_refused_when_its_domain_is_evacuated() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 4);
    entry.submit(2, 2, 1);
    assert_eq!(entry.attempts().len(), 4);
    evacuate(&mut entry, 1, &["zone-a"]);
    assert_eq!(refusals(&entry), [(2, RefusalReason::Evacuated)]);
    let refused = entry.actions.iter().find_map(|action| match action {
        Action::Notice(Notice::EvacuationsInForce { refused, age, .. }) => Some((*refused, *age)),
        _ => None,
    });
    assert_eq!(refused, Some((1, millis(40))));
}

/// Guards against a job that an agent has returned as not started and that then waits for the evacuated domain, and against a
/// refusal while one of its tasks may still start.
#[test]
fn returned_job_is_refused_once_nothing_of_it_can_start() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 2);
    let attempts = entry.attempts();
    evacuate(&mut entry, 1, &["zone-a"]);
    entry.end_attempt(1, attempts[0].1, RunOutcome::NotStarted);
    entry.advance_to(millis(50), &[1]);
    assert_eq!(refusals(&entry), []);
    entry.end_attempt(1, attempts[1].1, RunOutcome::NotStarted);
    entry.advance_to(millis(100), &[1]);
    assert_eq!(refusals(&entry), [(1, RefusalReason::Evacuated)]);
    assert_eq!(entry.attempts().len(), 2);
}

/// Guards against running tasks that are stopped, or placed again, because their domain is evacuated.
#[test]
fn running_tasks_end_in_peace() {
    let mut entry = two_domains();
    describe(&mut entry, 2, "zone-b", "far", true);
    entry.submit(1, 1, 2);
    let attempts = entry.attempts();
    evacuate(&mut entry, 1, &["zone-a"]);
    describe(&mut entry, 1, "zone-a", "", true);
    describe(&mut entry, 2, "zone-b", "far", false);
    entry.advance_to(millis(100), &[1, 2]);
    for (link, key) in attempts {
        assert_eq!(link, 1);
        entry.end_attempt(link, key, RunOutcome::Completed);
    }
    assert_eq!((entry.stops(), entry.attempts().len()), (0, 2));
    assert!(matches!(entry.answers()[..], [(1, Answer::State(_))]));
}

/// Guards against an entry that gives up an evacuation because it hears an older state, or loses its links.
#[test]
fn entry_that_was_cut_off_keeps_last_known_state() {
    let mut entry = two_domains();
    evacuate(&mut entry, 5, &["zone-a"]);
    entry.handle(Event::AgentDown { link: 1 });
    entry.handle(Event::AgentDown { link: 2 });
    evacuate(&mut entry, 4, &["zone-b"]);
    entry.connect(1);
    entry.connect(2);
    describe(&mut entry, 2, "zone-b", "far", false);
    entry.advance_to(millis(200), &[1, 2]);
    entry.submit(1, 1, 1);
    assert!(entry.attempts().iter().all(|&(link, _)| link == 2));
    // The next state that it hears of includes changes that it has missed.
    evacuate(&mut entry, 9, &["zone-b"]);
    entry.advance_to(millis(2_300), &[1, 2]);
    entry.submit(2, 2, 1);
    assert_eq!(entry.attempts().last().expect("placed").0, 1);
}

/// Guards against an agent that is in an evacuated domain and is used by an entry that has not heard of it: the agent describes
/// its worker as leaving.
#[test]
fn entry_without_state_obeys_agent() {
    let mut entry = two_domains();
    describe(&mut entry, 1, "zone-a", "", true);
    entry.submit(1, 1, 1);
    assert!(entry.attempts().iter().all(|&(link, _)| link == 2));
}

/// Guards against a restarted entry that places a task before it knows the evacuations, and against one that waits for ever.
#[test]
fn entry_places_nothing_before_first_state() {
    let mut entry = Entry::new();
    let cfg = BrokerConfig::builder("zone-a", RUN_EXPIRY)
        .awaits_evacuations(true)
        .build();
    entry.core = BrokerCore::new(cfg, entry.now);
    entry.handle(Event::Routes(table(1)));
    entry.connect(1);
    entry.submit(1, 1, 1);
    entry.advance_to(millis(100), &[1]);
    assert!(entry.attempts().is_empty() && entry.answers().is_empty() && !entry.core.has_routes());
    evacuate(&mut entry, 0, &[]);
    assert!(entry.core.has_routes());
    assert_eq!(entry.attempts().len(), 1);
    let mut other = Entry::new();
    let cfg = BrokerConfig::builder("zone-a", RUN_EXPIRY)
        .awaits_evacuations(true)
        .build();
    other.core = BrokerCore::new(cfg, other.now);
    other.handle(Event::Routes(table(1)));
    other.connect(1);
    other.submit(1, 1, 1);
    other.advance_to(millis(600), &[1]);
    assert_eq!(refusals(&other), [(1, RefusalReason::NoRoutes)]);
}

/// Guards against a ramp without effect, and against one that does not end: a domain that has returned is used by one entry
/// after the other, and in full after 2 s.
#[test]
fn returned_domain_is_used_gradually() {
    let mut entry = Entry::with_workers(1);
    evacuate(&mut entry, 1, &["zone-a"]);
    evacuate(&mut entry, 2, &[]);
    let returned = entry.now - entry.start;
    entry.submit(1, 1, 4);
    assert_eq!(entry.attempts().len(), 0, "no pair is open in the first moment");
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    entry.advance_to(returned + millis(1_975), &[1]);
    entry.submit(2, 2, 4);
    assert_eq!(entry.attempts().len(), 3, "a part is withheld until the end");
    entry.advance_to(returned + millis(2_025), &[1]);
    assert_eq!(entry.attempts().len(), 4);
}

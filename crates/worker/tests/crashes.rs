//! Tests of the agent core with a worker that crashes under its tasks.

mod agent;

use agent::{Agent, LINK, announcement, attempt, cores, millis, starts};
use chestnutfork_types::{AttemptKey, EntryToWorker, RecordedAttempt, WorkerCrash, WorkerToEntry};
use chestnutfork_worker::{Action, CallOutcome, Event, ListedRun, Reply, RunList};

/// Returns the latest reports of crashes among the actions, for one link.
fn reports(actions: &[Action], to: u64) -> Option<Vec<WorkerCrash>> {
    actions.iter().rev().find_map(|action| match action {
        Action::ToEntry(link, WorkerToEntry::Describe(_, crashes)) if *link == to => Some(crashes.clone()),
        _ => None,
    })
}

/// Returns incarnation, certainty and jobs of each report.
fn summary(reports: &[WorkerCrash]) -> Vec<(u64, bool, Vec<u128>)> {
    let jobs = |crash: &WorkerCrash| crash.tasks.iter().map(|task| task.job).collect();
    reports
        .iter()
        .map(|crash| (crash.incarnation, crash.confirmed, jobs(crash)))
        .collect()
}

/// Lets the worker list the runs of these jobs and refuse connections after that, as a crashed one does.
fn crash_under(agent: &mut Agent, jobs: &[u128]) {
    let running = jobs.iter().map(|&job| ListedRun {
        task: attempt(job).task,
        number: 1,
    });
    agent.answer_renewal(RunList {
        running: running.collect(),
        ..RunList::default()
    });
    agent.refuse_connection();
}

/// Advances the clock with unanswered calls, and returns all actions; the entry acknowledges all heartbeats.
fn advance(agent: &mut Agent, elapsed: u64) -> Vec<Action> {
    let mut all = Vec::new();
    for _ in 0..elapsed / 10 {
        agent.now += millis(10);
        let actions = agent.handle(Event::Tick);
        for action in &actions {
            match action {
                Action::ToEntry(link, WorkerToEntry::Heartbeat(number, _)) => {
                    let message = EntryToWorker::HeartbeatAck(*number, None);
                    let link = *link;
                    all.extend(agent.handle(Event::FromEntry { link, message }));
                }
                Action::Call { call, .. } => {
                    let outcome = CallOutcome::NoAnswer;
                    let reply = Reply {
                        clock: None,
                        started_at: None,
                        outcome,
                    };
                    all.extend(agent.handle(Event::Replied { call: *call, reply }));
                }
                _ => {}
            }
        }
        all.extend(actions);
    }
    all
}

/// Guards against a crash that only the entry of the lost runs learns of, or after it may have ordered them again.
#[test]
fn crash_is_reported_to_all_entries_before_the_ends() {
    let mut agent = Agent::ready();
    agent.connect(2);
    agent.start(&[attempt(1), attempt(2)], cores(1));
    crash_under(&mut agent, &[1, 2]);
    let actions = agent.handle(Event::Announced(announcement(2, 1)));
    for link in [LINK, 2] {
        let reports = reports(&actions, link).expect("each entry is told");
        assert_eq!(summary(&reports), [(1, true, vec![1, 2])]);
    }
    let position = |matches: fn(&Action) -> bool| actions.iter().position(matches);
    let described = position(|action| matches!(action, Action::ToEntry(LINK, WorkerToEntry::Describe(..))));
    // The ends follow once the new incarnation has listed its runs.
    let ended = position(|action| matches!(action, Action::ToEntry(LINK, WorkerToEntry::Ended(..))));
    assert!(described.is_some() && ended.is_none(), "{actions:?}");
    assert_eq!(agent.core.runs_in_progress(), 2);
}

/// Guards against a crash that an entry which connects later never learns of, and against records that are never removed.
#[test]
fn crash_is_repeated_to_entries_that_connect() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    crash_under(&mut agent, &[1]);
    agent.handle(Event::Announced(announcement(2, 1)));
    agent.now += millis(10_000);
    let told = reports(&agent.connect(2), 2).expect("a link begins with a description");
    assert_eq!(summary(&told), [(1, true, vec![1])]);
    assert_eq!(told[0].age, millis(10_000));
    agent.now += millis(21_000);
    agent.handle(Event::Tick);
    assert_eq!(reports(&agent.connect(3), 3), Some(Vec::new()));
}

/// Guards against blaming tasks that were on a worker which shut down, or that only waited at the agent.
#[test]
fn withdrawal_and_waiting_tasks_are_not_reported() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    agent.handle(Event::Withdrawn("w".to_owned()));
    let actions = agent.handle(Event::Announced(announcement(2, 1)));
    assert_eq!(reports(&actions, LINK), Some(Vec::new()));

    let mut agent = Agent::ready();
    let keys: Vec<AttemptKey> = (1..=2).map(attempt).collect();
    assert_eq!(starts(&agent.start(&keys, cores(3))), [1]);
    crash_under(&mut agent, &[1]);
    let actions = agent.handle(Event::Announced(announcement(2, 1)));
    let reports = reports(&actions, LINK).expect("the entry is told");
    assert_eq!(summary(&reports), [(1, true, vec![1])]);
}

/// Guards against a lost worker that counts only once it has announced itself again, which takes seconds, and against
/// counting it twice then.
#[test]
fn lapse_is_reported_as_possible_crash_and_confirmed_later() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    crash_under(&mut agent, &[1]);
    let actions = advance(&mut agent, 1_500);
    assert_eq!(agent.core.runs_in_progress(), 0);
    let told = reports(&actions, LINK).expect("the entry is told");
    assert_eq!(summary(&told), [(1, false, vec![1])]);
    let actions = agent.handle(Event::Announced(announcement(2, 1)));
    let told = reports(&actions, LINK).expect("the entry is told");
    assert_eq!(summary(&told), [(1, true, vec![1])]);
}

/// Guards against blaming a task whose lease expired, after which the worker answered, for a later crash.
#[test]
fn lapse_before_an_answer_stays_possible() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    advance(&mut agent, 1_500);
    agent.now += millis(400);
    agent.handle(Event::Tick);
    agent.answer_renewal(RunList::default());
    agent.connect(LINK);
    assert_eq!(starts(&agent.start(&[attempt(2)], cores(1))), [2]);
    crash_under(&mut agent, &[2]);
    let actions = agent.handle(Event::Announced(announcement(2, 1)));
    let told = reports(&actions, LINK).expect("the entry is told");
    assert_eq!(summary(&told), [(1, true, vec![2]), (1, false, vec![1])]);
}

/// Guards against a crash that nobody reports, because the agent was killed before it noticed: its next process does not find the
/// run, and only the entry that ordered it would count the loss.
#[test]
fn missing_run_is_reported_as_possible_crash() {
    let mut agent = Agent::ready();
    agent.connect(2);
    let message = EntryToWorker::Reconcile {
        keep: vec![RecordedAttempt {
            key: attempt(1),
            resources: Some(cores(1)),
        }],
        stop: Vec::new(),
    };
    let actions = agent.handle(Event::FromEntry { link: LINK, message });
    let told = reports(&actions, 2).expect("the other entry is told");
    assert_eq!(summary(&told), [(1, false, vec![1])]);
}

/// Returns what all entries are told when another incarnation announces itself.
fn reports_of_next_incarnation(agent: &mut Agent) -> Vec<(u64, bool, Vec<u128>)> {
    let actions = agent.handle(Event::Announced(announcement(2, 1)));
    summary(&reports(&actions, LINK).expect("the entry is told"))
}

/// Guards against a job that is answered as failed because of a start that its worker never carried out.
#[test]
fn unanswered_start_is_no_certain_crash() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    agent.order(&[attempt(2)], cores(1));
    crash_under(&mut agent, &[1]);
    assert_eq!(
        reports_of_next_incarnation(&mut agent),
        [(1, true, vec![1]), (1, false, vec![2])]
    );
}

/// Guards against blaming a task for a crash that came after its run was stopped.
#[test]
fn stopped_run_is_no_certain_crash() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    crash_under(&mut agent, &[1]);
    let message = EntryToWorker::Stop(vec![attempt(1)]);
    agent.handle(Event::FromEntry { link: LINK, message });
    assert_eq!(reports_of_next_incarnation(&mut agent), [(1, false, vec![1])]);
}

/// Guards against blaming a task whose run may have ended while its worker did not answer, long before the crash.
#[test]
fn crash_after_silence_stays_possible() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    advance(&mut agent, 400);
    agent.refuse_connection();
    assert_eq!(reports_of_next_incarnation(&mut agent), [(1, false, vec![1])]);
}

/// Guards against blaming the tasks of a worker that was leaving, and ended although its withdrawal was lost.
#[test]
fn end_of_leaving_worker_stays_possible() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1)], cores(1));
    let mut leaving = announcement(1, 2);
    leaving.description.leaving = true;
    agent.handle(Event::Announced(leaving));
    crash_under(&mut agent, &[1]);
    assert_eq!(reports_of_next_incarnation(&mut agent), [(1, false, vec![1])]);
}

/// Guards against records of losses that are lost because an agent does not repeat those that an entry passed on to it.
#[test]
fn passed_on_losses_are_reported_to_entries() {
    let mut agent = Agent::ready();
    agent.connect(2);
    let loss = WorkerCrash {
        reporter: Some(9),
        incarnation: 4,
        worker: "v".to_owned(),
        confirmed: true,
        age: millis(500),
        tasks: vec![attempt(1).task],
    };
    let message = EntryToWorker::Losses(vec![loss.clone()]);
    let actions = agent.handle(Event::FromEntry {
        link: LINK,
        message: message.clone(),
    });
    assert_eq!(reports(&actions, 2), Some(vec![loss.clone()]));
    let actions = agent.handle(Event::FromEntry { link: 2, message });
    assert_eq!(reports(&actions, LINK), None, "a known record is not repeated");
    agent.now += millis(30_000);
    agent.handle(Event::Tick);
    assert_eq!(reports(&agent.connect(3), 3), Some(Vec::new()));
}

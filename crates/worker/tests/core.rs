//! Tests of the agent core with single events.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, EndedRun, EntryToWorker, Resources, RunEnd, StartOrder, TaskKey, TaskOrder,
    WorkerDescription, WorkerToEntry,
};
use chestnutfork_worker::{
    Action, Announcement, CallId, Event, ListedEnd, ListedRun, Notice, Order, Outcome, Refusal, Reply,
    RunList, WorkerConfig, WorkerCore,
};

const LINK: u64 = 1;
const ENTRY: u64 = 77;

/// Agent core with a clock and the actions of the latest event.
struct Agent {
    core: WorkerCore,
    start: Instant,
    now: Instant,
    actions: Vec<Action>,
}

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn attempt(index: u16, attempt: u32) -> AttemptKey {
    let task = TaskKey {
        job: 5,
        step: 0,
        index,
    };
    AttemptKey { task, attempt }
}

fn announcement(started_at: u64, sequence: u64) -> Announcement {
    Announcement {
        description: WorkerDescription {
            worker: format!("w-{started_at}"),
            pool: "pool".to_owned(),
            failure_domain: "zone-a".to_owned(),
            labels: Vec::new(),
            capacity: Resources {
                cpu_millis: 2_000,
                memory_mb: 100,
                gpus: 0,
            },
            leaving: false,
        },
        address: "w:1".to_owned(),
        started_at: millis(started_at),
        sequence,
        clock: millis(10_000),
    }
}

impl Agent {
    fn new() -> Self {
        let now = Instant::now();
        let cfg = WorkerConfig::builder()
            .worker_lease(millis(700))
            .entry_lease(millis(500))
            .build();
        Self {
            core: WorkerCore::new(cfg, now),
            start: now,
            now,
            actions: Vec::new(),
        }
    }

    /// Starts an agent whose worker is known and whose entry has acknowledged a heartbeat.
    fn ready() -> Self {
        let mut agent = Self::new();
        agent.event(Event::Announced(announcement(1, 1)));
        agent.answer_hold(RunList::default());
        agent.connect();
        agent
    }

    fn connect(&mut self) {
        self.event(Event::EntryUp {
            link: LINK,
            entry: ENTRY,
        });
        let beat = self.actions.iter().find_map(|action| match action {
            Action::ToEntry(_, WorkerToEntry::Beat(number, _)) => Some(*number),
            _ => None,
        });
        self.send(EntryToWorker::Heard(
            beat.expect("a link begins with a heartbeat"),
        ));
    }

    fn event(&mut self, event: Event) {
        self.actions.clear();
        self.core.handle(self.now, event, &mut self.actions);
    }

    fn send(&mut self, message: EntryToWorker) {
        self.event(Event::FromEntry { link: LINK, message });
    }

    fn at(&mut self, elapsed: Duration) {
        self.now = self.start + elapsed;
        self.event(Event::Tick);
    }

    fn start(&mut self, keys: &[AttemptKey]) {
        let tasks = keys.iter().map(|&key| TaskOrder {
            key,
            resources: Resources {
                cpu_millis: 1_000,
                memory_mb: 10,
                gpus: 0,
            },
            declared: millis(100),
        });
        self.send(EntryToWorker::Start(StartOrder {
            number: 1,
            heard: 1,
            urgency: millis(200),
            spec: Bytes::from_static(b"spec"),
            tasks: tasks.collect(),
        }));
    }

    fn calls(&self) -> Vec<(CallId, Order)> {
        let calls = self.actions.iter().filter_map(|action| match action {
            Action::Call { call, order, .. } => Some((*call, order.clone())),
            _ => None,
        });
        calls.collect()
    }

    /// Returns the latest call that matches.
    fn call(&self, wanted: impl Fn(&Order) -> bool) -> CallId {
        let calls = self.calls();
        let found = calls.iter().rev().find(|(_, order)| wanted(order));
        found.expect("the call was made").0
    }

    fn reply(&mut self, call: CallId, outcome: Outcome) {
        let elapsed = self.now.saturating_duration_since(self.start);
        let clock = (outcome != Outcome::NoAnswer).then_some(millis(10_000) + elapsed);
        let reply = Reply { clock, outcome };
        self.event(Event::Replied { call, reply });
    }

    fn answer_hold(&mut self, held: RunList) {
        let call = self.call(|order| matches!(order, Order::RenewLease { .. }));
        self.reply(call, Outcome::LeaseRenewed(held));
    }

    fn ended(&self) -> Vec<EndedRun> {
        let ended = self.actions.iter().filter_map(|action| match action {
            Action::ToEntry(_, WorkerToEntry::Ended(ended, _)) => Some(ended.clone()),
            _ => None,
        });
        ended.flatten().collect()
    }
}

fn is_start(order: &Order) -> bool {
    matches!(order, Order::Start { .. })
}

fn is_stop(order: &Order) -> bool {
    matches!(order, Order::Stop { .. })
}

fn is_hold(order: &Order) -> bool {
    matches!(order, Order::RenewLease { .. })
}

fn listed(key: AttemptKey, run: u64) -> ListedRun {
    ListedRun { task: key.task, run }
}

/// Guards against an end that is not reported, or reported as another one.
#[test]
fn start_reports_listed_end() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let hold = agent.call(is_hold);
    let start = agent.call(is_start);
    agent.reply(start, Outcome::Done);
    let end = ListedEnd {
        number: 1,
        run: listed(attempt(0, 1), 1),
        end: RunEnd::Completed,
    };
    let lists = RunList {
        ended: vec![end],
        ..RunList::default()
    };
    agent.reply(hold, Outcome::LeaseRenewed(lists));
    let ended = agent.ended();
    assert_eq!(ended.len(), 1);
    assert_eq!((ended[0].key, ended[0].end), (attempt(0, 1), RunEnd::Completed));
    assert_eq!(agent.core.runs_in_progress(), 0);
}

/// Guards against a start above the capacity of a worker that does not guard it.
#[test]
fn start_waits_for_room() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1), attempt(1, 1), attempt(2, 1)]);
    let starts = agent.calls().into_iter().filter(|(_, order)| is_start(order));
    assert_eq!(starts.count(), 2);
    assert_eq!(agent.core.verify(), []);
}

/// Guards against an order that waited in a buffer while the entry gave the agent up.
#[test]
fn start_refuses_order_after_lease() {
    let mut agent = Agent::ready();
    agent.now += millis(600);
    agent.start(&[attempt(0, 1)]);
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    assert_eq!(agent.ended()[0].end, RunEnd::NotStarted);
}

/// Guards against a task that is placed elsewhere while a lost start may still be carried out.
#[test]
fn unanswered_start_is_stopped_before_report() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let first_hold = agent.call(is_hold);
    let start = agent.call(is_start);
    agent.now += millis(60);
    agent.reply(start, Outcome::NoAnswer);
    // This list was asked for before the start was lost, so it proves nothing.
    agent.reply(first_hold, Outcome::LeaseRenewed(RunList::default()));
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    agent.answer_hold(RunList::default());
    let stop = agent.call(is_stop);
    let second_hold = agent.call(is_hold);
    assert_eq!(agent.ended(), []);
    agent.now += millis(1);
    agent.reply(stop, Outcome::Done);
    agent.reply(second_hold, Outcome::LeaseRenewed(RunList::default()));
    assert_eq!(agent.ended(), []);
    agent.answer_hold(RunList::default());
    assert_eq!(agent.ended()[0].end, RunEnd::NotStarted);
}

/// Guards against a stop of a run that the worker began although its answer never came.
#[test]
fn unanswered_start_goes_on_if_listed() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let hold = agent.call(is_hold);
    let start = agent.call(is_start);
    agent.now += millis(60);
    agent.reply(start, Outcome::NoAnswer);
    let lists = RunList {
        running: vec![listed(attempt(0, 1), 1)],
        ..RunList::default()
    };
    agent.reply(hold, Outcome::LeaseRenewed(lists));
    agent.answer_hold(RunList::default());
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against a run that is given up although the worker began it and only the answer was lost.
#[test]
fn listed_start_needs_no_answer() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    let held = RunList {
        running: vec![listed(attempt(0, 1), 1)],
        ..RunList::default()
    };
    agent.answer_hold(held);
    agent.reply(start, Outcome::NoAnswer);
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against a silent worker whose runs are reported as ended before its lease has lapsed on its slow clock.
#[test]
fn silent_worker_lapses_after_lease() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    agent.reply(start, Outcome::Done);
    agent.at(millis(700));
    assert_eq!(agent.core.runs_in_progress(), 1);
    agent.at(millis(730));
    assert_eq!(agent.core.runs_in_progress(), 0);
}

/// Guards against runs that outlive their entry, whose callers send their jobs again.
#[test]
fn lost_entry_has_its_runs_stopped() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    agent.reply(start, Outcome::Done);
    agent.event(Event::EntryDown { link: LINK });
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    agent.at(millis(500));
    assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
}

/// Guards against a claim that a restarted agent denies before it knows what the worker runs.
#[test]
fn claim_waits_for_worker() {
    let mut agent = Agent::new();
    agent.connect();
    let keep = vec![attempt(0, 2)];
    agent.send(EntryToWorker::Claim {
        keep,
        stop: Vec::new(),
    });
    assert_eq!(agent.ended(), []);
    agent.at(millis(300));
    agent.event(Event::Announced(announcement(1, 9)));
    assert_eq!(agent.ended(), []);
    let running = vec![listed(attempt(0, 2), 2)];
    let held = RunList {
        running,
        ..RunList::default()
    };
    agent.answer_hold(held);
    assert_eq!(agent.ended(), []);
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against a claim that waits for ever for a worker that is gone.
#[test]
fn claim_ends_with_the_worker_lease() {
    let mut agent = Agent::new();
    agent.connect();
    let keep = vec![attempt(0, 2)];
    agent.send(EntryToWorker::Claim {
        keep,
        stop: Vec::new(),
    });
    agent.at(millis(830));
    assert_eq!(agent.ended()[0].end, RunEnd::Lost);
}

/// Guards against a run that goes on because its stop was lost with the former agent process.
#[test]
fn unwanted_claim_stops_the_run() {
    for stopped_later in [false, true] {
        let mut agent = Agent::new();
        agent.connect();
        let keys = vec![attempt(0, 2)];
        if stopped_later {
            agent.send(EntryToWorker::Claim {
                keep: keys.clone(),
                stop: Vec::new(),
            });
            agent.send(EntryToWorker::Stop(keys));
        } else {
            agent.send(EntryToWorker::Claim {
                keep: Vec::new(),
                stop: keys,
            });
        }
        agent.event(Event::Announced(announcement(1, 9)));
        let held = RunList {
            running: vec![listed(attempt(0, 2), 2)],
            ..RunList::default()
        };
        agent.answer_hold(held);
        assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
    }
}

/// Guards against runs of a former agent process that go on for an entry that is gone as well.
#[test]
fn unclaimed_run_is_stopped() {
    let mut agent = Agent::new();
    agent.event(Event::Announced(announcement(1, 9)));
    let held = RunList {
        running: vec![listed(attempt(0, 2), 2)],
        ..RunList::default()
    };
    agent.answer_hold(held);
    agent.at(millis(250));
    assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
    let noted = |action: &Action| matches!(action, Action::Notice(Notice::OrphanStopped { .. }));
    assert!(agent.actions.iter().any(noted));
}

/// Guards against a delayed announcement of a former incarnation that replaces the present one.
#[test]
fn announcement_ignores_former_incarnation() {
    let mut agent = Agent::new();
    agent.event(Event::Announced(announcement(2, 1)));
    agent.event(Event::Announced(announcement(1, 50)));
    agent.connect();
    let described = agent.core.runs_in_progress();
    assert_eq!(described, 0);
    agent.start(&[attempt(0, 1)]);
    let worker = agent.actions.iter().find_map(|action| match action {
        Action::Call { worker, .. } => Some(worker.clone()),
        _ => None,
    });
    assert!(worker.is_none_or(|worker| worker == "w-2"));
}

/// Guards against runs that are believed to go on after their worker was replaced.
#[test]
fn new_incarnation_ends_all_runs() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    agent.reply(start, Outcome::Done);
    agent.event(Event::Announced(announcement(2, 1)));
    assert_eq!(agent.ended()[0].end, RunEnd::Lost);
}

/// Guards against a start that a leaving worker or a stopping agent still takes.
#[test]
fn leaving_refuses_starts() {
    let mut leaving = announcement(1, 2);
    leaving.description.leaving = true;
    for event in [Event::Announced(leaving), Event::Drain] {
        let mut agent = Agent::ready();
        agent.event(event);
        agent.start(&[attempt(0, 1)]);
        assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
        assert_eq!(agent.ended()[0].end, RunEnd::NotStarted);
    }
}

/// Guards against an agent that a higher fencing token or an older run number locks out.
#[test]
fn refused_start_is_mended() {
    for refusal in [
        Refusal::Fenced,
        Refusal::StaleRun,
        Refusal::LeaseExpired,
        Refusal::InsufficientCapacity,
    ] {
        let mut agent = Agent::ready();
        agent.start(&[attempt(0, 1)]);
        let (call, first) = agent
            .calls()
            .into_iter()
            .find(|(_, order)| is_start(order))
            .unwrap();
        agent.reply(call, Outcome::Refused(refusal));
        agent.at(millis(50));
        let second = agent.calls().into_iter().find(|(_, order)| is_start(order));
        let (
            Order::Start { run, token, .. },
            Some((
                _,
                Order::Start {
                    run: run_2,
                    token: token_2,
                    ..
                },
            )),
        ) = (first, second)
        else {
            panic!("{refusal:?}: the start was not repeated");
        };
        assert_eq!(run_2 > run, refusal == Refusal::StaleRun);
        assert_eq!(token_2 > token, refusal == Refusal::Fenced);
    }
}

/// Guards against calls in a tight loop to a worker that resets every connection.
#[test]
fn reset_calls_are_repeated_after_a_delay() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let first = agent.call(is_hold);
    agent.reply(first, Outcome::NoAnswer);
    let mut holds = 0;
    for step in 1..300 {
        agent.at(millis(step));
        let calls = agent.calls();
        for (call, _) in calls.iter().filter(|(_, order)| is_hold(order)) {
            holds += 1;
            agent.reply(*call, Outcome::NoAnswer);
        }
    }
    assert!((1..=8).contains(&holds), "{holds} calls in 300 ms");
}

/// Guards against reports that keep an entry busy which cannot even acknowledge heartbeats in time.
#[test]
fn busy_entry_gets_heartbeats_only() {
    for prompt in [true, false] {
        let mut agent = Agent::ready();
        let mut beats = 0;
        let mut loads = 0;
        for step in 1..=40 {
            agent.at(millis(10 * step));
            let told: Vec<WorkerToEntry> = agent
                .actions
                .iter()
                .filter_map(|action| match action {
                    Action::ToEntry(_, message) => Some(message.clone()),
                    _ => None,
                })
                .collect();
            for message in told {
                match message {
                    WorkerToEntry::Beat(number, _) => {
                        beats += 1;
                        if prompt {
                            agent.send(EntryToWorker::Heard(number));
                        }
                    }
                    WorkerToEntry::Load(_) => loads += 1,
                    _ => {}
                }
            }
            // Starts fill the worker after the entry has fallen behind.
            if step == 30 {
                agent.start(&[attempt(0, 1), attempt(1, 1)]);
                let told = agent.actions.iter();
                loads += told
                    .filter(|action| matches!(action, Action::ToEntry(_, WorkerToEntry::Load(_))))
                    .count();
            }
        }
        assert!(beats >= 1);
        assert_eq!(loads > 0, prompt, "{loads} reports");
    }
}

impl Agent {
    /// Starts an agent with a worker of sixteen cores and four entries that have each ordered a task of one core.
    fn shared() -> Self {
        let mut agent = Self::new();
        // No call is answered in these tests.
        let cfg = WorkerConfig::builder().worker_lease(millis(2_000)).build();
        agent.core = WorkerCore::new(cfg, agent.now);
        let mut announced = announcement(1, 1);
        announced.description.capacity.cpu_millis = 16_000;
        announced.description.capacity.memory_mb = 1_000;
        agent.event(Event::Announced(announced));
        agent.answer_hold(RunList::default());
        for entry in 1..=SHARING {
            agent.event(Event::EntryUp { link: entry, entry });
            agent.order(entry, entry, 1);
        }
        agent
    }

    /// Sends an order of single-core tasks from one of the sharing entries, which acknowledges all heartbeats.
    fn order(&mut self, entry: u64, number: u64, tasks: u16) {
        let tasks = (0..tasks).map(|index| TaskOrder {
            key: AttemptKey {
                task: TaskKey {
                    job: u128::from(number * 100 + entry),
                    step: 0,
                    index,
                },
                attempt: 1,
            },
            resources: Resources {
                cpu_millis: 1_000,
                memory_mb: 10,
                gpus: 0,
            },
            declared: millis(100),
        });
        let order = StartOrder {
            number,
            heard: entry,
            urgency: millis(200),
            spec: Bytes::from_static(b"spec"),
            tasks: tasks.collect(),
        };
        let message = EntryToWorker::Start(order);
        self.event(Event::FromEntry { link: entry, message });
    }

    /// Acknowledges a heartbeat for all sharing entries, as their leases need.
    fn acknowledge(&mut self, beat: u64) {
        for link in 1..=SHARING {
            let message = EntryToWorker::Heard(beat);
            self.event(Event::FromEntry { link, message });
        }
    }

    /// Returns the shares, in cores, that the entries were told by the latest event.
    fn shares(&self) -> Vec<(u64, u64)> {
        let told = self.told().into_iter();
        told.map(|(entry, share)| (entry, share.cpu_millis / 1_000))
            .collect()
    }

    /// Returns the shares that the entries were told by the latest event.
    fn told(&self) -> Vec<(u64, Resources)> {
        let shares = self.actions.iter().filter_map(|action| match action {
            Action::ToEntry(link, WorkerToEntry::Beat(_, load) | WorkerToEntry::Load(load)) => {
                Some((*link, load.share))
            }
            _ => None,
        });
        shares.collect()
    }
}

/// Entries of [`Agent::shared`].
const SHARING: u64 = 4;

/// Guards against several entries that fill the same gap, so that tasks wait although other workers have room.
#[test]
fn share_hands_each_unit_to_one_entry() {
    let mut agent = Agent::shared();
    agent.order(1, 9, 9);
    agent.at(millis(200));
    let shares = agent.shares();
    assert_eq!(shares.len(), 4);
    let total: u64 = shares.iter().map(|(_, share)| share).sum();
    assert_eq!(total, 3, "three cores are free: {shares:?}");
}

/// Guards against an entry that never gets a unit of a worker with little free capacity.
#[test]
fn share_takes_turns() {
    let mut agent = Agent::shared();
    for (entry, tasks) in [(1, 3), (2, 3), (3, 3), (4, 2)] {
        agent.order(entry, 9, tasks);
    }
    let mut served = std::collections::BTreeSet::new();
    for beat in 1..=SHARING {
        agent.at(millis(200 * beat));
        let with_share = agent.shares().into_iter().filter(|(_, share)| *share == 1);
        served.extend(with_share.map(|(entry, _)| entry));
        agent.acknowledge(SHARING + beat);
    }
    assert_eq!(served.len(), 4, "{served:?}");
}

/// Guards against idle capacity: while plenty is free, entries may take more than an equal part of it.
#[test]
fn share_is_generous_while_plenty_is_free() {
    let mut agent = Agent::shared();
    agent.at(millis(200));
    let shares = agent.shares();
    let total: u64 = shares.iter().map(|(_, share)| share).sum();
    assert_eq!(total, 24, "twelve cores are free: {shares:?}");
}

/// Guards against reports that tell an entry nothing new; each costs the smallest entries processor time.
#[test]
fn report_is_kept_from_entries_with_the_same_share() {
    let mut agent = Agent::shared();
    agent.order(1, 9, 9);
    agent.at(millis(200));
    let before = agent.told();
    agent.acknowledge(SHARING + 1);
    agent.order(2, 10, 1);
    agent.at(millis(221));
    let after = agent.told();
    assert!(after.len() < 4, "{before:?} {after:?}");
    assert!(
        after.iter().all(|told| !before.contains(told)),
        "{before:?} {after:?}"
    );
}

/// Guards against a report for each task of a step, of which the entry needs only the last one.
#[test]
fn ends_of_step_are_reported_together() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1, 1), attempt(2, 1)]);
    let ended = |number: u64, index: u16| ListedEnd {
        number,
        run: ListedRun {
            task: attempt(index, 1).task,
            run: 1,
        },
        end: RunEnd::Completed,
    };
    let running = vec![ListedRun {
        task: attempt(2, 1).task,
        run: 1,
    }];
    agent.answer_hold(RunList {
        running,
        ended: vec![ended(1, 1)],
        truncated: false,
    });
    assert_eq!(agent.ended(), Vec::new());
    agent.answer_hold(RunList {
        running: Vec::new(),
        ended: vec![ended(2, 2)],
        truncated: false,
    });
    assert_eq!(agent.ended().len(), 2);
}

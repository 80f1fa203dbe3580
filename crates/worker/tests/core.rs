//! Tests of the agent core, driven by single events in virtual time.

mod common;

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, EntryToWorker, OrderKinds, Resources, RunOutcome, StartOrder, TaskKey, TaskOrder,
    WorkerToEntry,
};
use chestnutfork_worker::{
    Action, CallOutcome, Event, ListedEnd, ListedRun, Notice, Order, Refusal, RunList, WorkerConfig,
    WorkerCore,
};
use common::{Agent, LINK, announcement, attempt, is_renewal, is_start, is_stop, listed, millis, recorded};

/// Guards against an end that is not reported, or is reported as a different one.
#[test]
fn start_reports_listed_end() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let renewal = agent.call(is_renewal);
    let start = agent.call(is_start);
    agent.reply(start, CallOutcome::Done);
    let end = ListedEnd {
        number: 1,
        run: listed(attempt(0, 1), 1),
        outcome: RunOutcome::Completed,
    };
    let list = RunList {
        ended: vec![end],
        ..RunList::default()
    };
    agent.reply(renewal, CallOutcome::LeaseRenewed(list));
    let ended = agent.ended();
    assert_eq!(ended.len(), 1);
    assert_eq!(
        (ended[0].key, ended[0].outcome),
        (attempt(0, 1), RunOutcome::Completed)
    );
    assert_eq!(agent.core.runs_in_progress(), 0);
}

/// Guards against starts beyond the capacity of a worker that does not enforce it.
#[test]
fn start_waits_for_room() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1), attempt(1, 1), attempt(2, 1)]);
    let starts = agent.calls().into_iter().filter(|(_, order)| is_start(order));
    assert_eq!(starts.count(), 2);
    assert_eq!(agent.core.verify(), []);
}

/// Guards against carrying out an order that waited in a buffer until the entry considered the agent lost.
#[test]
fn start_refuses_order_after_lease() {
    let mut agent = Agent::ready();
    agent.now += millis(600);
    agent.start(&[attempt(0, 1)]);
    assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
    assert_eq!(agent.ended()[0].outcome, RunOutcome::NotStarted);
}

/// Guards against an entry placing a task on another worker while an unanswered start may still be carried out.
#[test]
fn unanswered_start_is_stopped_before_report() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let first_renewal = agent.call(is_renewal);
    let start = agent.call(is_start);
    agent.now += millis(60);
    agent.reply(start, CallOutcome::NoAnswer);
    // This list was requested before the start went unanswered, so it proves nothing.
    agent.reply(first_renewal, CallOutcome::LeaseRenewed(RunList::default()));
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    agent.answer_renewal(RunList::default());
    let stop = agent.call(is_stop);
    let second_renewal = agent.call(is_renewal);
    assert_eq!(agent.ended(), []);
    agent.now += millis(1);
    agent.reply(stop, CallOutcome::Done);
    agent.reply(second_renewal, CallOutcome::LeaseRenewed(RunList::default()));
    assert_eq!(agent.ended(), []);
    agent.answer_renewal(RunList::default());
    assert_eq!(agent.ended()[0].outcome, RunOutcome::NotStarted);
}

/// Guards against stopping a run that the worker started although its answer was lost.
#[test]
fn unanswered_start_continues_if_listed() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let renewal = agent.call(is_renewal);
    let start = agent.call(is_start);
    agent.now += millis(60);
    agent.reply(start, CallOutcome::NoAnswer);
    let list = RunList {
        running: vec![listed(attempt(0, 1), 1)],
        ..RunList::default()
    };
    agent.reply(renewal, CallOutcome::LeaseRenewed(list));
    agent.answer_renewal(RunList::default());
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against abandoning a run that was listed before the start call failed: only the answer was lost.
#[test]
fn listed_start_needs_no_answer() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    let list = RunList {
        running: vec![listed(attempt(0, 1), 1)],
        ..RunList::default()
    };
    agent.answer_renewal(list);
    agent.reply(start, CallOutcome::NoAnswer);
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against reporting the runs of an unavailable worker as ended before its lease has expired on its slow clock.
#[test]
fn unavailable_worker_loses_runs_after_lease() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    agent.reply(start, CallOutcome::Done);
    agent.advance_to(millis(700));
    assert_eq!(agent.core.runs_in_progress(), 1);
    agent.advance_to(millis(730));
    assert_eq!(agent.core.runs_in_progress(), 0);
}

/// Guards against runs of a crashed worker that count as lost only with its next announcement, because each call to it
/// requests a new lease.
#[test]
fn unreachable_worker_is_not_renewed() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let (start, renewal) = (agent.call(is_start), agent.call(is_renewal));
    agent.reply(start, CallOutcome::Done);
    agent.now += millis(10);
    agent.reply(renewal, CallOutcome::Unreachable);
    for elapsed in (20..=730).step_by(10) {
        agent.advance_to(millis(elapsed));
        for (call, _) in agent.calls() {
            agent.reply(call, CallOutcome::Unreachable);
        }
    }
    assert_eq!(agent.core.runs_in_progress(), 0);
}

/// Guards against runs that continue after their entry failed, whose callers resubmit their jobs.
#[test]
fn lost_entry_has_its_runs_stopped() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    agent.reply(start, CallOutcome::Done);
    agent.handle(Event::EntryDown { link: LINK });
    assert!(agent.calls().iter().all(|(_, order)| !is_stop(order)));
    agent.advance_to(millis(500));
    assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
}

/// Guards against a restarted agent reporting an entry's attempts as lost before the worker has listed its runs.
#[test]
fn reconcile_waits_for_worker() {
    let mut agent = Agent::new();
    agent.connect();
    let keep = vec![recorded(attempt(0, 2))];
    agent.send(EntryToWorker::Reconcile {
        keep,
        stop: Vec::new(),
    });
    assert_eq!(agent.ended(), []);
    agent.advance_to(millis(300));
    agent.handle(Event::Announced(announcement(1, 9)));
    assert_eq!(agent.ended(), []);
    let running = vec![listed(attempt(0, 2), 2)];
    let list = RunList {
        running,
        ..RunList::default()
    };
    agent.answer_renewal(list);
    assert_eq!(agent.ended(), []);
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against attempts that are never reported as ended because the worker never announces itself.
#[test]
fn reconcile_ends_with_the_worker_lease() {
    let mut agent = Agent::new();
    agent.connect();
    let keep = vec![recorded(attempt(0, 2))];
    agent.send(EntryToWorker::Reconcile {
        keep,
        stop: Vec::new(),
    });
    // The worker may have restarted under its name, and then grants up to 1 s.
    agent.advance_to(millis(1_080));
    assert_eq!(agent.ended(), []);
    agent.advance_to(millis(1_130));
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
}

/// Guards against a run that continues because its stop order was lost with an earlier agent process.
#[test]
fn reconcile_stops_attempts_listed_to_stop() {
    for stopped_after_reconcile in [false, true] {
        let mut agent = Agent::new();
        agent.connect();
        let keys = vec![attempt(0, 2)];
        if stopped_after_reconcile {
            agent.send(EntryToWorker::Reconcile {
                keep: vec![recorded(keys[0])],
                stop: Vec::new(),
            });
            agent.send(EntryToWorker::Stop(keys));
        } else {
            agent.send(EntryToWorker::Reconcile {
                keep: Vec::new(),
                stop: vec![recorded(keys[0])],
            });
        }
        agent.handle(Event::Announced(announcement(1, 9)));
        let list = RunList {
            running: vec![listed(attempt(0, 2), 2)],
            ..RunList::default()
        };
        agent.answer_renewal(list);
        assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
    }
}

/// Guards against runs of an earlier agent process that continue although their entry has failed too.
#[test]
fn unlisted_orphan_is_stopped() {
    let mut agent = Agent::new();
    agent.handle(Event::Announced(announcement(1, 9)));
    let list = RunList {
        running: vec![listed(attempt(0, 2), 2)],
        ..RunList::default()
    };
    agent.answer_renewal(list);
    agent.advance_to(millis(250));
    assert!(agent.calls().iter().any(|(_, order)| is_stop(order)));
    let is_orphan_notice = |action: &Action| matches!(action, Action::Notice(Notice::OrphanStopped { .. }));
    assert!(agent.actions.iter().any(is_orphan_notice));
}

/// Guards against a delayed announcement of an earlier incarnation replacing the current one.
#[test]
fn announcement_ignores_former_incarnation() {
    let mut agent = Agent::new();
    agent.handle(Event::Announced(announcement(2, 1)));
    agent.handle(Event::Announced(announcement(1, 50)));
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

/// Guards against runs that count as in progress after their worker was replaced.
#[test]
fn new_incarnation_ends_all_runs() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    agent.reply(start, CallOutcome::Done);
    agent.handle(Event::Announced(announcement(2, 1)));
    agent.answer_renewal(RunList::default());
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
}

/// Guards against starts on a leaving worker, or by an agent that is shutting down.
#[test]
fn leaving_refuses_starts() {
    let mut leaving = announcement(1, 2);
    leaving.description.leaving = true;
    for event in [Event::Announced(leaving), Event::Drain] {
        let mut agent = Agent::ready();
        agent.handle(event);
        agent.start(&[attempt(0, 1)]);
        assert!(agent.calls().iter().all(|(_, order)| !is_start(order)));
        assert_eq!(agent.ended()[0].outcome, RunOutcome::NotStarted);
    }
}

/// Guards against an agent that can never start a task because its fencing token or run number is too low, and against
/// giving up after a transient refusal.
#[test]
fn refused_start_is_retried() {
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
        agent.reply(call, CallOutcome::Refused(refusal));
        agent.advance_to(millis(50));
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

/// Guards against a busy loop of calls to a worker that resets every connection.
#[test]
fn reset_calls_are_repeated_after_a_delay() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let first = agent.call(is_renewal);
    agent.reply(first, CallOutcome::NoAnswer);
    let mut renewals = 0;
    for step in 1..300 {
        agent.advance_to(millis(step));
        let calls = agent.calls();
        for (call, _) in calls.iter().filter(|(_, order)| is_renewal(order)) {
            renewals += 1;
            agent.reply(*call, CallOutcome::NoAnswer);
        }
    }
    assert!((1..=8).contains(&renewals), "{renewals} calls in 300 ms");
}

/// Guards against load reports that further overload an entry that cannot acknowledge heartbeats in time.
#[test]
fn busy_entry_gets_heartbeats_only() {
    for acknowledges in [true, false] {
        let mut agent = Agent::ready();
        let mut beats = 0;
        let mut loads = 0;
        for step in 1..=40 {
            agent.advance_to(millis(10 * step));
            let reported: Vec<WorkerToEntry> = agent
                .actions
                .iter()
                .filter_map(|action| match action {
                    Action::ToEntry(_, message) => Some(message.clone()),
                    _ => None,
                })
                .collect();
            for message in reported {
                match message {
                    WorkerToEntry::Heartbeat(number, _) => {
                        beats += 1;
                        if acknowledges {
                            agent.send(EntryToWorker::HeartbeatAck(number, None));
                        }
                    }
                    WorkerToEntry::Load(_) => loads += 1,
                    _ => {}
                }
            }
            // Fill the worker after the entry has stopped acknowledging in time.
            if step == 30 {
                agent.start(&[attempt(0, 1), attempt(1, 1)]);
                let reported = agent.actions.iter();
                loads += reported
                    .filter(|action| matches!(action, Action::ToEntry(_, WorkerToEntry::Load(_))))
                    .count();
            }
        }
        assert!(beats >= 1);
        assert_eq!(loads > 0, acknowledges, "{loads} reports");
    }
}

impl Agent {
    /// Returns an agent with a worker of sixteen cores and four entries, each of which has ordered a single-core task.
    fn with_sharing_entries() -> Self {
        let mut agent = Self::new();
        // These tests answer no calls, so the worker's lease must outlast them.
        let cfg = WorkerConfig::builder().worker_lease(millis(2_000)).build();
        agent.core = WorkerCore::new(cfg, agent.now);
        let mut announced = announcement(1, 1);
        announced.description.capacity.cpu_millis = 16_000;
        announced.description.capacity.memory_mb = 1_000;
        agent.handle(Event::Announced(announced));
        agent.answer_renewal(RunList::default());
        for entry in 1..=SHARING_ENTRIES {
            agent.handle(Event::EntryUp { link: entry, entry });
            agent.send_order(entry, entry, 1);
        }
        agent
    }

    /// Sends an order of single-core tasks from one of the sharing entries.
    fn send_order(&mut self, entry: u64, number: u64, tasks: u16) {
        self.send_order_with(entry, number, tasks, None);
    }

    /// Sends such an order from an entry that asks for an interval between load reports.
    fn send_order_with(&mut self, entry: u64, number: u64, tasks: u16, report_interval: Option<Duration>) {
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
            declared_run_time: millis(100),
        });
        let order = StartOrder {
            refuse_if_full: false,
            kinds: OrderKinds::default(),
            time_limit: None,
            end_limit: None,
            report_interval,
            number,
            last_heartbeat: entry,
            time_to_objective: millis(200),
            spec: Bytes::from_static(b"spec"),
            tasks: tasks.collect(),
        };
        let message = EntryToWorker::Start(order);
        self.handle(Event::FromEntry { link: entry, message });
    }

    /// Acknowledges a heartbeat for all sharing entries, which renews their leases.
    fn acknowledge(&mut self, beat: u64) {
        for link in 1..=SHARING_ENTRIES {
            let message = EntryToWorker::HeartbeatAck(beat, None);
            self.handle(Event::FromEntry { link, message });
        }
    }

    /// Returns the shares, in cores, that the latest event reported to the entries.
    fn shares(&self) -> Vec<(u64, u64)> {
        let reported = self.reported().into_iter();
        reported
            .map(|(entry, share)| (entry, share.cpu_millis / 1_000))
            .collect()
    }

    /// Returns the shares that the latest event reported to the entries.
    fn reported(&self) -> Vec<(u64, Resources)> {
        let shares = self.actions.iter().filter_map(|action| match action {
            Action::ToEntry(link, WorkerToEntry::Heartbeat(_, load) | WorkerToEntry::Load(load)) => {
                Some((*link, load.share))
            }
            _ => None,
        });
        shares.collect()
    }
}

/// Entries of [`Agent::with_sharing_entries`].
const SHARING_ENTRIES: u64 = 4;

/// Guards against several entries using the same free capacity, so that tasks wait although other workers are free.
#[test]
fn share_allocates_each_unit_to_one_entry() {
    let mut agent = Agent::with_sharing_entries();
    agent.send_order(1, 9, 9);
    agent.advance_to(millis(200));
    let shares = agent.shares();
    assert_eq!(shares.len(), 4);
    let total: u64 = shares.iter().map(|(_, share)| share).sum();
    assert_eq!(total, 3, "three cores are free: {shares:?}");
}

/// Guards against starvation of an entry on a worker with fewer free units than entries.
#[test]
fn share_takes_turns() {
    let mut agent = Agent::with_sharing_entries();
    for (entry, tasks) in [(1, 3), (2, 3), (3, 3), (4, 2)] {
        agent.send_order(entry, 9, tasks);
    }
    let mut served = std::collections::BTreeSet::new();
    for beat in 1..=SHARING_ENTRIES {
        agent.advance_to(millis(200 * beat));
        let with_share = agent.shares().into_iter().filter(|(_, share)| *share == 1);
        served.extend(with_share.map(|(entry, _)| entry));
        agent.acknowledge(SHARING_ENTRIES + beat);
    }
    assert_eq!(served.len(), 4, "{served:?}");
}

/// Guards against idle capacity: while capacity is plentiful, an entry may use more than an equal part of it.
#[test]
fn share_overcommits_while_capacity_is_plentiful() {
    let mut agent = Agent::with_sharing_entries();
    agent.advance_to(millis(200));
    let shares = agent.shares();
    let total: u64 = shares.iter().map(|(_, share)| share).sum();
    assert_eq!(total, 24, "twelve cores are free: {shares:?}");
}

/// Guards against reports without new information, which cost the smallest entries processor time.
#[test]
fn report_skips_entries_with_unchanged_share() {
    let mut agent = Agent::with_sharing_entries();
    agent.send_order(1, 9, 9);
    agent.advance_to(millis(200));
    let before = agent.reported();
    agent.acknowledge(SHARING_ENTRIES + 1);
    agent.send_order(2, 10, 1);
    agent.advance_to(millis(221));
    let after = agent.reported();
    assert!(after.len() < 4, "{before:?} {after:?}");
    assert!(
        after.iter().all(|reported| !before.contains(reported)),
        "{before:?} {after:?}"
    );
}

/// Guards against an entry that has no processor time for its callers, because many nearly full workers report each change.
#[test]
fn report_waits_for_interval_of_entry() {
    let reports = |interval: Option<Duration>| {
        let mut agent = Agent::with_sharing_entries();
        agent.send_order(2, 9, 6);
        agent.advance_to(millis(200));
        agent.acknowledge(SHARING_ENTRIES + 1);
        agent.send_order_with(1, 10, 0, interval);
        agent.send_order(2, 10, 1);
        agent.advance_to(millis(222));
        agent.reported().iter().filter(|(entry, _)| *entry == 1).count()
    };
    assert_eq!(reports(None), 1);
    assert_eq!(reports(Some(millis(20))), 1);
    assert_eq!(reports(Some(millis(150))), 0);
}

/// Guards against a separate report for each task of a step, since the entry can only proceed after the last one.
#[test]
fn ends_of_step_are_reported_together() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(1, 1), attempt(2, 1)]);
    let ended = |number: u64, index: u16| ListedEnd {
        number,
        run: ListedRun {
            task: attempt(index, 1).task,
            number: 1,
        },
        outcome: RunOutcome::Completed,
    };
    let running = vec![ListedRun {
        task: attempt(2, 1).task,
        number: 1,
    }];
    agent.answer_renewal(RunList {
        running,
        ended: vec![ended(1, 1)],
        truncated: false,
    });
    assert_eq!(agent.ended(), Vec::new());
    agent.answer_renewal(RunList {
        running: Vec::new(),
        ended: vec![ended(2, 2)],
        truncated: false,
    });
    assert_eq!(agent.ended().len(), 2);
}

/// Guards against a task that waits at a full worker although its entry would rather place it elsewhere.
#[test]
fn refuse_if_full_task_does_not_wait() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1), attempt(1, 1)]);
    agent.order(&[attempt(2, 1)], true);
    let refused = agent.ended();
    assert_eq!((refused.len(), refused[0].key), (1, attempt(2, 1)));
    assert_eq!(refused[0].outcome, RunOutcome::NotStarted);
    agent.order(&[attempt(3, 1)], false);
    assert_eq!(agent.ended(), []);
    assert_eq!(agent.core.runs_in_progress(), 3);
}

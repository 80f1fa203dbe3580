//! Limit of orders beyond the share after a return or a loss of much of the capacity.

mod entry;

use std::time::Duration;

use chestnutfork_broker::{Action, BrokerConfig, BrokerCore, Event, Notice};
use chestnutfork_types::{Resources, WorkerToEntry};
use entry::{Entry, RUN_EXPIRY, millis, table};

/// Returns an entry that limits orders after a return, and has just connected to a worker without a share for it.
fn entry_without_share(limit_returns: bool) -> Entry {
    let mut entry = Entry::new();
    let cfg = BrokerConfig::builder("zone-a", RUN_EXPIRY)
        .limit_returns(limit_returns)
        .build();
    entry.core = BrokerCore::new(cfg, entry.now);
    entry.handle(Event::Routes(table(1)));
    entry.connect(1);
    let mut load = Entry::load(0);
    load.share = Resources::default();
    entry.receive(1, WorkerToEntry::Load(load));
    entry
}

/// Lets heartbeats without a share arrive for a time.
fn pass_time(entry: &mut Entry, time: Duration) {
    let end = entry.now + time;
    let mut beat = 2;
    while entry.now < end {
        entry.now += millis(50);
        let mut load = Entry::load(0);
        load.share = Resources::default();
        entry.receive(1, WorkerToEntry::Heartbeat(beat, load));
        entry.handle(Event::Tick);
        beat += 1;
    }
}

/// Guards against orders of all entries from the same workers after a restart of everything: the load is a backlog at each entry.
#[test]
fn return_limits_orders_beyond_share() {
    let mut entry = entry_without_share(true);
    entry.submit(1, 1, 1);
    assert_eq!(entry.starts().len(), 0);
}

/// Guards against a change for deployments that do not enable the limit.
#[test]
fn return_limits_nothing_by_default() {
    let mut entry = entry_without_share(false);
    entry.submit(1, 1, 1);
    assert_eq!(entry.starts().len(), 1);
    assert!(!entry.starts()[0].1.within_share);
}

/// Guards against jobs that wait for a share in normal operation.
#[test]
fn return_ends_without_load() {
    let mut entry = entry_without_share(true);
    pass_time(&mut entry, millis(700));
    entry.submit(1, 1, 1);
    assert_eq!(entry.starts().len(), 1);
}

/// Guards against agents that overcommit or report late although their entries order within the shares only.
#[test]
fn return_is_stated_in_orders() {
    let mut entry = entry_without_share(true);
    entry.receive(1, WorkerToEntry::Load(Entry::load(0)));
    entry.submit(1, 1, 1);
    assert!(entry.starts()[0].1.within_share);
}

/// Guards against a limit that operators cannot see: the event states the capacities and the age of the older one.
#[test]
fn return_is_reported_with_inputs() {
    let mut entry = Entry::new();
    let cfg = BrokerConfig::builder("zone-a", RUN_EXPIRY)
        .limit_returns(true)
        .build();
    entry.core = BrokerCore::new(cfg, entry.now);
    entry.now += millis(30);
    entry.handle(Event::AgentUp {
        link: 1,
        agent: "agent-1".to_owned(),
        process: 1,
    });
    entry.report_crashes(1, Vec::new());
    entry.beat(1, 1, 0);
    let began = Notice::ReturnBegan {
        least: 0,
        most: 4_000,
        age: millis(30),
    };
    assert!(
        entry.actions.contains(&Action::Notice(began)),
        "{:?}",
        entry.actions
    );
}

//! Tests of the sums of demand that agents return to entries. Load: entries that compete for too little capacity, some of
//! which are lost or of an earlier version.

mod common;

use std::time::Duration;

use chestnutfork_types::{Demand, DemandBand, DemandSum, EntryToWorker, LinkNumber, WorkerToEntry};
use chestnutfork_worker::{Action, Event};
use common::{Agent, LINK, millis};

/// Link of a second entry.
const OTHER_LINK: LinkNumber = 2;

fn demand(priority: u32, work: u64) -> Demand {
    let mut demand = Demand::default();
    demand.add(DemandBand {
        priority,
        jobs: 1,
        work,
    });
    demand
}

/// Connects an entry, and returns an agent with two.
fn with_two_entries() -> Agent {
    let mut agent = Agent::ready();
    agent.handle(Event::EntryUp {
        link: OTHER_LINK,
        entry: 78,
    });
    agent
}

fn acknowledge(agent: &mut Agent, link: LinkNumber, demand: Option<Demand>) {
    let message = EntryToWorker::HeartbeatAck(1, demand);
    agent.handle(Event::FromEntry { link, message });
}

/// Returns the sum in the next heartbeat on a link, which is sent within a heartbeat interval.
fn next_sum(agent: &mut Agent, link: LinkNumber) -> Option<DemandSum> {
    for _ in 0..20 {
        agent.now += millis(25);
        agent.handle(Event::Tick);
        let beat = agent.actions.iter().find_map(|action| match action {
            Action::ToEntry(to, WorkerToEntry::Heartbeat(_, load)) if *to == link => Some(load.demand),
            _ => None,
        });
        if let Some(sum) = beat {
            return sum;
        }
    }
    panic!("no heartbeat within 500 ms");
}

/// Guards against an entry that learns of its own demand only, and so serves its callers at the cost of the others.
#[test]
fn heartbeat_returns_sum_of_entries() {
    let mut agent = with_two_entries();
    acknowledge(&mut agent, LINK, Some(demand(0, 300)));
    acknowledge(&mut agent, OTHER_LINK, Some(demand(2, 500)));
    let sum = next_sum(&mut agent, LINK).expect("the entry states its demand");
    assert_eq!((sum.demand.band(0).work, sum.demand.band(2).work), (300, 500));
    assert!(
        sum.age > Duration::ZERO && sum.age <= millis(200),
        "{:?}",
        sum.age
    );
}

/// Guards against a message that an entry of an earlier version cannot read, which would close its link.
#[test]
fn heartbeat_has_no_sum_for_entry_without_demand() {
    let mut agent = with_two_entries();
    acknowledge(&mut agent, LINK, Some(demand(0, 300)));
    acknowledge(&mut agent, OTHER_LINK, None);
    assert_eq!(next_sum(&mut agent, OTHER_LINK), None);
}

/// Guards against refusals because of the demand at an entry that was lost, whose callers now use other entries.
#[test]
fn heartbeat_omits_lost_entry_after_one_second() {
    let mut agent = with_two_entries();
    acknowledge(&mut agent, OTHER_LINK, Some(demand(0, 500)));
    agent.handle(Event::EntryDown { link: OTHER_LINK });
    agent.now += millis(700);
    acknowledge(&mut agent, LINK, Some(demand(0, 300)));
    let sum = next_sum(&mut agent, LINK).expect("the entry states its demand");
    assert_eq!(sum.demand.work(), 800);
    agent.now += millis(300);
    let sum = next_sum(&mut agent, LINK).expect("the entry states its demand");
    assert_eq!(sum.demand.work(), 300);
}

/// Guards against sums that look new although no entry has stated its demand for a while.
#[test]
fn heartbeat_states_age_of_sum() {
    let mut agent = Agent::ready();
    acknowledge(&mut agent, LINK, Some(demand(0, 300)));
    agent.now += millis(600);
    let sum = next_sum(&mut agent, LINK).expect("the entry states its demand");
    assert!(sum.age >= millis(600), "{:?}", sum.age);
    agent.now += millis(400);
    assert_eq!(next_sum(&mut agent, LINK), None);
}

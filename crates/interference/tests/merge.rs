//! Merge of the evidence of several agents.

use std::time::{Duration, Instant};

use chestnutfork_interference::{MAX_AGE, MergedTable, cost_factor};
use chestnutfork_types::{KindPair, PairEvidence};

const PAIR: KindPair = KindPair { slowed: 1, beside: 2 };

fn evidence(log_permille: i32) -> PairEvidence {
    PairEvidence {
        pair: PAIR,
        log_permille,
        precision: 400,
        runs: 100,
        age: Duration::from_secs(1),
    }
}

fn merged(now: Instant, table: &mut MergedTable) -> Option<f64> {
    table.refresh(now);
    table.get(PAIR).map(|pair| pair.slowdown)
}

/// Load: one worker where a disturbance looked like interference, and four where the pair ran undisturbed. Guards against a
/// single agent that keeps a pair apart on all workers.
#[test]
fn merge_contradicted_pair_is_dropped() {
    let now = Instant::now();
    let mut table = MergedTable::default();
    table.store(now, 0, vec![evidence(405)]);
    assert!(merged(now, &mut table).is_some(), "one agent alone is believed");
    for source in 1..5 {
        table.store(now, source, vec![evidence(0)]);
    }
    assert_eq!(merged(now + Duration::from_secs(1), &mut table), None);
}

/// Load: agents that measured the pair to different degrees. Guards against a result outside their range.
#[test]
fn merge_different_slowdowns_are_averaged() {
    let now = Instant::now();
    let mut table = MergedTable::default();
    table.store(now, 0, vec![evidence(300)]);
    table.store(now, 1, vec![evidence(700)]);
    let slowdown = merged(now, &mut table).expect("both agree that the pair interferes");
    assert!((slowdown - 0.5_f64.exp()).abs() < 0.01, "{slowdown}");
    assert_eq!(table.get(PAIR).map(|pair| pair.runs), Some(200));
}

/// Load: an agent that restarts and has no records. Guards against the loss of what the other agents know.
#[test]
fn merge_agent_restart_keeps_other_reports() {
    let now = Instant::now();
    let mut table = MergedTable::default();
    table.store(now, 0, vec![evidence(405)]);
    table.store(now, 1, vec![evidence(405)]);
    assert!(merged(now, &mut table).is_some());
    table.remove(0);
    let runs = |table: &mut MergedTable| {
        table.refresh(now + Duration::from_secs(1));
        table.get(PAIR).map(|pair| pair.runs)
    };
    assert_eq!(runs(&mut table), Some(100));
}

/// Load: the links to all agents are lost. Guards against old reports that keep their effect, and against a sudden change.
#[test]
fn merge_old_reports_decay() {
    let now = Instant::now();
    let mut table = MergedTable::default();
    table.store(now, 0, vec![evidence(405)]);
    assert!(merged(now + Duration::from_secs(30), &mut table).is_some());
    assert_eq!(merged(now + MAX_AGE, &mut table), None);
    assert!(table.is_empty() && !table.is_suspected(1));
}

/// Load: an agent that sends absurd figures. Guards against a factor that keeps tasks off a worker at any price, and against a
/// precision that outweighs all other agents.
#[test]
fn merge_absurd_report_bounded() {
    let now = Instant::now();
    let mut table = MergedTable::default();
    let absurd = PairEvidence {
        precision: u32::MAX,
        ..evidence(i32::MAX)
    };
    table.store(now, 0, vec![absurd; 10_000]);
    let slowdown = merged(now, &mut table).expect("a pair");
    assert!(slowdown <= 4.0, "{slowdown}");
    let nothing = PairEvidence {
        precision: 0,
        ..evidence(i32::MIN)
    };
    table.store(now, 0, vec![nothing]);
    assert_eq!(merged(now + Duration::from_secs(1), &mut table), None);
}

/// Load: a task beside runs of the kind that slows it and of one that it slows. Guards against a cost in one direction only.
#[test]
fn cost_both_directions_count() {
    let now = Instant::now();
    let mut table = MergedTable::default();
    table.store(now, 0, vec![evidence(405)]);
    table.refresh(now);
    let slowed = cost_factor(table.partners(1), &[(2, 5)]);
    assert!((slowed - 1.5).abs() < 0.01, "{slowed}");
    let slows = cost_factor(table.partners(2), &[(1, 2)]);
    assert!((slows - 2.0).abs() < 0.01, "{slows}");
    let reason = |kind, running| table.reason(kind, running).map(|merged| merged.pair);
    assert_eq!(reason(1, &[(2, 5)]), Some(PAIR));
    assert_eq!(reason(2, &[(1, 2)]), Some(PAIR));
    let apart = [(2, 5), (3, 5), (1, 0)];
    let factor = cost_factor(table.partners(2), &apart);
    assert!((factor - 1.0).abs() < f64::EPSILON && reason(2, &apart).is_none());
}

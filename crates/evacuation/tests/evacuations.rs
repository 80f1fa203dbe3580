//! Tests of the evacuations and of the return of a domain.

use std::time::{Duration, Instant};

use chestnutfork_evacuation::{Evacuations, KnownEvacuations, ReturnRamp, ramp_position};
use chestnutfork_types::Resources;
use quickcheck::quickcheck;

/// Entries and workers of the largest deployment that evacuates domains (Nominar): one domain has 24 of 73 workers.
const ENTRIES: u64 = 13;
const WORKERS: usize = 24;
/// Interval between reports of a worker's load that entries may rely on.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

fn state(revision: u64, domains: &[&str]) -> Evacuations {
    let domains = domains.iter().map(|&domain| domain.to_owned()).collect();
    Evacuations { revision, domains }
}

/// Guards against a repeated request that raises the revision, and with it sends messages to all processes.
#[test]
fn set_counts_effective_changes() {
    let mut evacuations = Evacuations::default();
    let effects = [
        ("a", true),
        ("a", true),
        ("b", false),
        ("b", true),
        ("a", false),
        ("a", false),
    ]
    .map(|(domain, evacuated)| evacuations.set(domain, evacuated));
    assert_eq!(effects, [true, false, false, true, true, false]);
    assert_eq!(evacuations, state(3, &["b"]));
}

/// Guards against an evacuation that a restarted control process with an older state takes back.
#[test]
fn update_keeps_highest_revision() {
    let now = Instant::now();
    let mut known = KnownEvacuations::default();
    assert!(known.update(now, state(2, &["a"])).is_some());
    assert_eq!(known.update(now, state(1, &[])), None);
    assert_eq!(known.update(now, state(2, &["b"])), None);
    assert!(known.is_evacuated("a") && !known.is_evacuated("b"));
}

/// Guards against a process that never learns that evacuations are known because no domain is evacuated.
#[test]
fn update_reports_first_empty_state() {
    let mut known = KnownEvacuations::default();
    assert_eq!(known.latest(), None);
    let change = known
        .update(Instant::now(), Evacuations::default())
        .expect("news");
    assert!(change.evacuated.is_empty() && change.returned.is_empty());
    assert_eq!(known.latest(), Some(&Evacuations::default()));
}

/// Guards against an entry that was cut off during several changes and misses one of the domains.
#[test]
fn update_after_gap_reports_all_changes() {
    let now = Instant::now();
    let mut known = KnownEvacuations::default();
    known.update(now, state(1, &["a"]));
    let change = known.update(now, state(9, &["b", "c"])).expect("news");
    assert_eq!(
        (change.evacuated, change.returned),
        (vec!["b".into(), "c".into()], vec!["a".into()])
    );
    assert!(known.ramp("a").is_some() && known.ramp("b").is_none());
}

/// Guards against a ramp that goes on after its domain was evacuated again.
#[test]
fn update_ends_ramp_of_evacuated_domain() {
    let now = Instant::now();
    let mut known = KnownEvacuations::default();
    known.update(now, state(1, &["a"]));
    known.update(now, state(2, &[]));
    assert!(known.ramp("a").is_some());
    known.update(now, state(3, &["a"]));
    assert!(known.ramp("a").is_none() && known.is_evacuated("a"));
}

/// Guards against a stampede: after the return of a domain all entries begin to use the same worker between two reports of its
/// load.
#[test]
fn ramp_spreads_entries_over_reports() {
    let now = Instant::now();
    let ramp = ReturnRamp::new(now);
    let workers: Vec<String> = (0..WORKERS)
        .map(|worker| format!("10.3.1.{worker}:7720"))
        .collect();
    let open_at = |elapsed: Duration| -> Vec<usize> {
        let opened = workers.iter().map(|worker| {
            let open = |&entry: &u64| ramp.is_open(now + elapsed, ramp_position(entry, worker));
            (0..ENTRIES).filter(open).count()
        });
        opened.collect()
    };
    assert!(open_at(Duration::ZERO).iter().all(|&open| open == 0));
    let mut former = open_at(Duration::ZERO);
    let (mut most, mut total) = (0, 0);
    for report in 1..=10 {
        let open = open_at(REPORT_INTERVAL * report);
        let opened = open.iter().zip(&former).map(|(now, before)| now - before);
        let opened: Vec<usize> = opened.collect();
        most = most.max(*opened.iter().max().expect("workers"));
        total += opened.iter().sum::<usize>();
        former = open;
    }
    // 1.3 of the 13 entries are expected to begin at a worker between two reports; without the ramp all 13 do. Orders of half of
    // them fit even if each fills its share, because units of free capacity are handed out twice.
    let entries = usize::try_from(ENTRIES).expect("few");
    assert!(
        most <= entries / 2,
        "{most} entries begin at one worker between two reports"
    );
    assert_eq!(total, entries * WORKERS, "all pairs are open after the ramp");
}

quickcheck! {
    /// Guards against a part of the capacity that is withheld for ever, or more than all of it.
    fn withheld_falls_to_zero(cpu_millis: u64, earlier: u16, later: u16) -> bool {
        let now = Instant::now();
        let ramp = ReturnRamp::new(now);
        let capacity = Resources { cpu_millis, memory_mb: cpu_millis, gpus: 8 };
        let (earlier, later) = (earlier.min(later), earlier.max(later));
        let withheld = |ms: u16| ramp.withheld(now + Duration::from_millis(ms.into()), capacity);
        let falls = withheld(later).fits_within(withheld(earlier));
        falls && withheld(earlier).fits_within(capacity) && (later < 2_000 || withheld(later) == Resources::default())
    }
}

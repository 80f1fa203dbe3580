//! Simulation of entries of uneven size in three failure domains that shed load by the sums of 61 agents. Load: sustained
//! overload with three priorities, whose callers are spread unevenly.

use std::time::{Duration, Instant};

use chestnutfork_limits::ServiceShedding;
use chestnutfork_types::{Demand, DemandBand, DemandSum};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const AGENTS: usize = 61;
/// Capacity of the workers in thousandths of a core.
const CAPACITY: f64 = 61.0 * 64_000.0;
/// Routes with their priority and the work of a job: 8 tasks of 0.05 s, 2 of 0.2 s and 4 of 0.8 s, with one core each.
const KINDS: [(&str, u32, u64); 3] = [("short", 0, 400), ("medium", 1, 400), ("long", 2, 3_200)];
const HEARTBEAT_MS: u64 = 200;
/// Time for which the first second's demand and the sums build up.
const WARM_UP_MS: u64 = 2_000;
const END_MS: u64 = 12_000;
/// Largest difference between the fraction of refused jobs of an entry or failure domain and that of all: the tolerance of the
/// customers' scores.
const TOLERANCE: f64 = 0.03;
/// Agents send their sums by way of links on which the acknowledgement returns in the same millisecond.
const LIFETIME: Duration = Duration::from_secs(1);

/// Faults of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Agents that report false sums.
    false_agents: usize,
    /// Agents that are lost after five seconds.
    lost_agents: usize,
    /// Whether the largest entry is lost after five seconds, and its callers use the others.
    lost_entry: bool,
    /// Whether the first entry is cut off from all agents after five seconds.
    cut_off: bool,
}

/// Submissions and refusals, for each entry and priority.
type Counts = Vec<[(u32, u32); 3]>;

struct Outcome {
    counts: Counts,
    /// Admitted work in each second, as a ratio of the capacity.
    load: Vec<f64>,
}

struct Run {
    rng: StdRng,
    start: Instant,
    shares: Vec<f64>,
    entries: Vec<ServiceShedding>,
    /// Latest sums that each entry has heard, by agent.
    heard: Vec<Vec<Option<(Instant, DemandSum)>>>,
    /// Latest demand that each agent has heard, by entry.
    stated: Vec<Vec<Option<(Instant, Demand)>>>,
    faults: Faults,
}

impl Run {
    fn new(shares: &[f64], faults: Faults) -> Self {
        let count = shares.len();
        Self {
            rng: StdRng::seed_from_u64(11),
            start: Instant::now(),
            shares: shares.to_vec(),
            entries: vec![ServiceShedding::default(); count],
            heard: vec![vec![None; AGENTS]; count],
            stated: vec![vec![None; count]; AGENTS],
            faults,
        }
    }

    fn is_late(now_ms: u64) -> bool {
        now_ms >= 5_000
    }

    /// Exchanges the heartbeats that are due, each with its acknowledgement.
    fn beat(&mut self, now_ms: u64) {
        let now = self.start + Duration::from_millis(now_ms);
        for agent in 0..AGENTS {
            let phase = agent as u64 * HEARTBEAT_MS / AGENTS as u64;
            let lost = agent >= AGENTS - self.faults.lost_agents && Self::is_late(now_ms);
            if lost || now_ms % HEARTBEAT_MS != phase {
                continue;
            }
            let fresh = self.stated[agent]
                .iter()
                .flatten()
                .filter(|(at, _)| now < *at + LIFETIME);
            let mut sum = DemandSum::default();
            for (_, part) in fresh.clone() {
                sum.demand.merge(part);
            }
            if agent < self.faults.false_agents {
                let work = if agent % 2 == 0 { u64::MAX } else { 1 };
                sum.demand = Demand::default();
                sum.demand.add(DemandBand {
                    priority: 0,
                    jobs: 1,
                    work,
                });
            }
            let newest = fresh.map(|&(at, _)| at).max();
            sum.age = newest.map_or(Duration::ZERO, |at| now - at);
            for entry in 0..self.entries.len() {
                let gone = entry == 0 && (self.faults.lost_entry || self.faults.cut_off);
                if gone && Self::is_late(now_ms) {
                    continue;
                }
                if newest.is_some() {
                    self.heard[entry][agent] = Some((now, sum));
                }
                self.stated[agent][entry] = Some((now, self.entries[entry].demand(now)));
            }
        }
    }

    /// Returns the entry that a caller selects.
    fn select_entry(&mut self, now_ms: u64) -> usize {
        loop {
            let mut point = self.rng.random_range(0.0..self.shares.iter().sum::<f64>());
            let mut selected = 0;
            for (entry, share) in self.shares.iter().enumerate() {
                selected = entry;
                if point < *share {
                    break;
                }
                point -= share;
            }
            if !(selected == 0 && self.faults.lost_entry && Self::is_late(now_ms)) {
                return selected;
            }
        }
    }

    fn submit(&mut self, now_ms: u64, kind: usize) -> (usize, bool) {
        let now = self.start + Duration::from_millis(now_ms);
        let entry = self.select_entry(now_ms);
        let (route, priority, work) = KINDS[kind];
        let submission = DemandBand {
            priority,
            jobs: 1,
            work,
        };
        let draw = self.rng.random();
        let shedding = &mut self.entries[entry];
        shedding.record(now, route, submission);
        if shedding.is_due(now) {
            let heard = self.heard[entry].iter().flatten();
            let sums = heard.map(|&(at, sum)| DemandSum {
                age: sum.age + (now - at),
                ..sum
            });
            let sums: Vec<DemandSum> = sums.collect();
            shedding.update(now, sums, CAPACITY);
        }
        (entry, shedding.admit(now, route, priority, draw))
    }

    /// Submits jobs so that each priority has the given ratio of the capacity as its demand, at times drawn at random.
    fn run(mut self, ratios: [f64; 3]) -> Outcome {
        let mut counts = vec![[(0, 0); 3]; self.entries.len()];
        let mut load = vec![0.0; usize::try_from(END_MS / 1_000).expect("fits")];
        for now_ms in 0..END_MS {
            self.beat(now_ms);
            for (kind, ratio) in ratios.into_iter().enumerate() {
                #[expect(clippy::cast_precision_loss, reason = "the work of a job is small")]
                let work = KINDS[kind].2 as f64;
                let mut expected = CAPACITY * ratio / work / 1_000.0;
                while expected > 0.0 {
                    // Several draws approximate a Poisson distribution.
                    let part = expected.min(0.1);
                    expected -= part;
                    if !self.rng.random_bool(part) {
                        continue;
                    }
                    let (entry, admitted) = self.submit(now_ms, kind);
                    if admitted {
                        load[usize::try_from(now_ms / 1_000).expect("fits")] += work / CAPACITY;
                    }
                    if now_ms >= WARM_UP_MS {
                        let (submitted, refused) = &mut counts[entry][kind];
                        *submitted += 1;
                        *refused += u32::from(!admitted);
                    }
                }
            }
        }
        Outcome { counts, load }
    }
}

/// Returns the fraction of refused jobs of a priority over some entries.
fn refused(counts: &Counts, entries: impl Iterator<Item = usize>, kind: usize) -> f64 {
    let (submitted, refused) = entries
        .map(|entry| counts[entry][kind])
        .fold((0, 0), |(all, sum), (submitted, refused)| {
            (all + submitted, sum + refused)
        });
    f64::from(refused) / f64::from(submitted.max(1))
}

/// Shares of 13 entries, in three failure domains by their number modulo three; the domains' parts are 0.51, 0.32 and 0.17.
const UNEVEN: [f64; 13] = [
    0.18, 0.12, 0.05, 0.13, 0.08, 0.04, 0.10, 0.07, 0.04, 0.06, 0.05, 0.04, 0.04,
];

/// Checks that refusals are proportional to the submissions at each entry and in each failure domain.
fn assert_proportional(outcome: &Outcome, entries: std::ops::Range<usize>) {
    for kind in 0..3 {
        let all = refused(&outcome.counts, entries.clone(), kind);
        for entry in entries.clone() {
            let own = refused(&outcome.counts, std::iter::once(entry), kind);
            assert!(
                (own - all).abs() < TOLERANCE,
                "entry {entry}, kind {kind}: {own}, all: {all}"
            );
        }
        for domain in 0..3 {
            let members = entries.clone().filter(|entry| entry % 3 == domain);
            let own = refused(&outcome.counts, members, kind);
            assert!(
                (own - all).abs() < TOLERANCE,
                "domain {domain}, kind {kind}: {own}, all: {all}"
            );
        }
    }
}

/// Checks that the admitted load stays near the one aimed at, 0.95, from a second on.
fn assert_load(outcome: &Outcome, from: usize) {
    for (second, load) in outcome.load.iter().enumerate().skip(from) {
        assert!((0.85..1.05).contains(load), "second {second}: {load}");
    }
}

/// Guards against callers of one failure domain that bear the refusals of all. Load: 1.3 times the capacity at 13 entries.
#[test]
fn entries_refuse_in_proportion_at_moderate_overload() {
    let outcome = Run::new(&UNEVEN, Faults::default()).run([0.4, 0.4, 0.5]);
    assert_proportional(&outcome, 0..13);
    assert_load(&outcome, 2);
    assert!(refused(&outcome.counts, 0..13, 0) < f64::EPSILON);
    assert!(refused(&outcome.counts, 0..13, 1) < f64::EPSILON);
}

/// Guards against callers of one failure domain that bear the refusals of all. Load: twice the capacity at 10 entries.
#[test]
fn entries_refuse_in_proportion_at_high_overload() {
    let outcome = Run::new(&UNEVEN[..10], Faults::default()).run([0.5, 0.7, 0.8]);
    assert_proportional(&outcome, 0..10);
    assert_load(&outcome, 2);
    assert!(refused(&outcome.counts, 0..10, 0) < f64::EPSILON);
    // The least urgent priority keeps its minimum of 0.0475 of the capacity, of a demand of 0.8.
    assert!((refused(&outcome.counts, 0..10, 2) - 0.94).abs() < TOLERANCE);
}

/// Guards against refusals although there is room for all. Load: 0.95 of the capacity.
#[test]
fn entries_refuse_nothing_below_capacity() {
    let outcome = Run::new(&UNEVEN, Faults::default()).run([0.3, 0.3, 0.35]);
    for kind in 0..3 {
        assert!(refused(&outcome.counts, 0..13, kind) < f64::EPSILON);
    }
}

/// Guards against single agents that decide on refusals. Load: 1.3 times the capacity, with 20 of 61 agents reporting false
/// sums and 10 lost.
#[test]
fn entries_refuse_in_proportion_with_lost_and_false_agents() {
    let faults = Faults {
        false_agents: 20,
        lost_agents: 10,
        ..Faults::default()
    };
    let outcome = Run::new(&UNEVEN, faults).run([0.4, 0.4, 0.5]);
    assert_proportional(&outcome, 0..13);
    assert_load(&outcome, 2);
}

/// Guards against demand that counts twice after its callers have moved to other entries: for a second it is in the sums of the
/// lost entry too. Load: 1.3 times the capacity, of which 0.18 was at the lost entry.
#[test]
fn entries_recover_after_lost_entry() {
    let faults = Faults {
        lost_entry: true,
        ..Faults::default()
    };
    let outcome = Run::new(&UNEVEN, faults).run([0.4, 0.4, 0.5]);
    assert_proportional(&outcome, 1..13);
    // The entry is lost at 5 s; its demand leaves the sums of all agents by 6.2 s, and the last second's demand is complete.
    assert_load(&outcome, 8);
    assert!(refused(&outcome.counts, 1..13, 0) < f64::EPSILON);
}

/// Guards against an entry that goes on to refuse jobs by sums that have passed. Load: 1.3 times the capacity, and the entry
/// hears no agent from 5 s on.
#[test]
fn entries_use_no_stale_sums() {
    let faults = Faults {
        cut_off: true,
        ..Faults::default()
    };
    let mut run = Run::new(&UNEVEN, faults);
    let now = |now_ms| run.start + Duration::from_millis(now_ms);
    let (before, after) = (now(5_600), now(6_050));
    for now_ms in 0..6_100 {
        run.beat(now_ms);
        for kind in [0, 0, 0, 2] {
            run.submit(now_ms, kind);
        }
        for _ in 0..2 {
            run.submit(now_ms, 2);
        }
        if now_ms == 5_600 {
            assert!(run.entries[0].plan(before).is_some());
        }
    }
    assert!(run.entries[0].plan(after).is_none());
    assert!(run.entries[1].plan(after).is_some());
}

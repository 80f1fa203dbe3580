//! Evidence of one worker under load.

use std::time::{Duration, Instant};

use chestnutfork_interference::{Evidence, MAX_AGE, MAX_KINDS, MergedTable, Neighbour, Observer, RunRecord};
use chestnutfork_types::{KindPair, TaskKey};

mod machine;

use machine::{Load, Machine, Slowdown, three_kinds};

/// Places of a worker of 64 cores for tasks of about 6 cores.
const PLACES: usize = 10;
const WORKERS: u64 = 20;
const PAIR: KindPair = KindPair { slowed: 3, beside: 2 };

/// Workers whose evidence an entry merges once a second.
struct Fleet {
    machines: Vec<Machine>,
    merged: MergedTable,
    seconds: u64,
}

impl Fleet {
    fn new(seed: u64, load: &[Load]) -> Self {
        let speeds = [0.55, 0.7, 0.85, 1.0, 1.25].into_iter().cycle();
        let machines = (0..WORKERS).zip(speeds).map(|(index, speed)| {
            let mut machine = Machine::new(seed * WORKERS + index, PLACES, load.to_vec());
            machine.speed = speed;
            machine
        });
        Self {
            machines: machines.collect(),
            merged: MergedTable::default(),
            seconds: 0,
        }
    }

    fn slow(&mut self, slowdowns: &[Slowdown]) {
        for machine in &mut self.machines {
            machine.slowdowns = slowdowns.to_vec();
        }
    }

    /// Runs for a second, and merges the reports.
    fn advance(&mut self) {
        self.seconds += 1;
        let mut latest = self.machines[0].now;
        for (source, machine) in self.machines.iter_mut().enumerate() {
            machine.run_until(Duration::from_secs(self.seconds));
            latest = latest.max(machine.now);
            let merged = &self.merged;
            let report = machine
                .evidence
                .report(machine.now, |kind| merged.is_suspected(kind));
            self.merged.store(machine.now, source, report);
        }
        self.merged.refresh(latest + Duration::from_secs(1));
    }

    fn pairs(&self) -> Vec<KindPair> {
        self.merged.pairs().map(|merged| merged.pair).collect()
    }

    /// Runs until a condition holds, and returns the time since the start in seconds.
    fn run_until(&mut self, seconds: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        while self.seconds < seconds {
            self.advance();
            if holds(self) {
                return self.seconds;
            }
        }
        panic!("the condition does not hold within {seconds} s");
    }
}

fn slowdown(factor: f64) -> Slowdown {
    Slowdown {
        slowed: PAIR.slowed,
        beside: PAIR.beside,
        factor,
    }
}

/// Load: jobs of 2 tasks of 0.2 s on workers that also run tasks of 0.8 s, which slow them to half their speed. Guards against a
/// pair that is found late: within 400 runs of the slowed kind per worker, about a minute, for each of five seeds.
#[test]
fn evidence_interfering_pair_found_within_400_runs() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, &three_kinds());
        fleet.slow(&[slowdown(2.0)]);
        let seconds = fleet.run_until(120, |fleet| fleet.pairs().contains(&PAIR));
        let runs: u32 = fleet.machines.iter().map(|machine| machine.completed[2]).sum();
        let runs = u64::from(runs) / WORKERS;
        assert!(
            runs <= 400,
            "seed {seed}: found after {seconds} s and {runs} runs per worker"
        );
    }
}

/// Load: as above, for two minutes. Guards against a wrong slowdown, which would move too many or too few tasks, and against
/// blame on the other kinds.
#[test]
fn evidence_interfering_pair_slowdown_is_measured() {
    let mut fleet = Fleet::new(1, &three_kinds());
    fleet.slow(&[slowdown(2.0)]);
    fleet.run_until(120, |fleet| fleet.seconds == 120);
    assert_eq!(fleet.pairs(), [PAIR]);
    let merged = fleet.merged.get(PAIR).expect("the pair interferes");
    assert!((1.7..2.3).contains(&merged.slowdown), "{merged:?}");
    assert!(merged.age < Duration::from_secs(20), "{merged:?}");
}

/// Load: workers of different speed for half an hour, with log-normal run times, outliers, wrong declared run times, and
/// conditions and arrivals that vary. Guards against pairs that are found by chance.
#[test]
fn evidence_noise_finds_no_pair() {
    let mut fleet = Fleet::new(1, &three_kinds());
    while fleet.seconds < 1_800 {
        fleet.advance();
        assert_eq!(fleet.pairs(), [], "after {} s", fleet.seconds);
    }
}

/// Load: as above, where all agents report all evidence that they have. Guards against a bias that is small on each worker and
/// becomes certain in the sum of all of them.
#[test]
fn evidence_noise_of_all_workers_together_finds_no_pair() {
    let mut fleet = Fleet::new(2, &three_kinds());
    while fleet.seconds < 300 {
        fleet.advance();
        let mut all = MergedTable::default();
        let mut latest = fleet.machines[0].now;
        for (source, machine) in fleet.machines.iter_mut().enumerate() {
            all.store(
                machine.now,
                source,
                machine.evidence.report(machine.now, |_| true),
            );
            latest = latest.max(machine.now);
        }
        all.refresh(latest);
        let pairs: Vec<_> = all.pairs().collect();
        assert!(pairs.is_empty(), "after {} s: {pairs:?}", fleet.seconds);
    }
}

/// Load: workers on which all tasks take twice as long when they are full, and jobs of one kind that fill half of the places at
/// once. Guards against a kind that is blamed for the general load that it brings.
#[test]
fn evidence_general_load_finds_no_pair() {
    let kind = |kind, tasks, millis, share| Load {
        kind,
        tasks,
        run_time: Duration::from_millis(millis),
        declared_factor: 1.0,
        share,
    };
    let load = [kind(1, 1, 60, 0.15), kind(2, 6, 300, 0.12), kind(3, 1, 50, 0.05)];
    let mut fleet = Fleet::new(3, &load);
    for machine in &mut fleet.machines {
        machine.contention = 1.0;
        machine.speed = 1.0;
    }
    while fleet.seconds < 300 {
        fleet.advance();
        assert_eq!(fleet.pairs(), [], "after {} s", fleet.seconds);
    }
}

/// Load: a pair that interferes for two minutes, and then no longer, while both kinds go on side by side. Guards against workers
/// that are avoided for a cause that has gone.
#[test]
fn evidence_pair_that_stops_is_forgotten() {
    let mut fleet = Fleet::new(1, &three_kinds());
    fleet.slow(&[slowdown(2.0)]);
    fleet.run_until(120, |fleet| fleet.seconds == 120);
    assert_eq!(fleet.pairs(), [PAIR], "the pair interferes");
    fleet.slow(&[]);
    fleet.run_until(360, |fleet| fleet.pairs().is_empty());
}

/// Load: a pair that placement keeps apart, so that no run shows whether it still interferes. Guards against evidence that never
/// ends.
#[test]
fn evidence_pair_kept_apart_is_forgotten() {
    let mut fleet = Fleet::new(1, &three_kinds());
    fleet.slow(&[slowdown(2.0)]);
    fleet.run_until(120, |fleet| fleet.seconds == 120);
    for machine in &mut fleet.machines {
        let later = machine.now + MAX_AGE;
        assert!(machine.evidence.report(later, |_| true).is_empty());
    }
}

/// Load: jobs of one kind arrive together with jobs of another one, of which only the latter slows a third kind. Guards against
/// blame on a kind that only occurs beside the cause.
#[test]
fn evidence_companion_of_the_cause_is_not_blamed() {
    let kind = |kind, tasks, millis, share| Load {
        kind,
        tasks,
        run_time: Duration::from_millis(millis),
        declared_factor: 1.0,
        share,
    };
    let load = [
        kind(1, 2, 200, 0.4),
        kind(2, 2, 400, 0.06),
        kind(3, 1, 400, 0.001),
    ];
    let mut fleet = Fleet::new(1, &load);
    let cause = Slowdown {
        slowed: 1,
        beside: 2,
        factor: 2.0,
    };
    fleet.slow(&[cause]);
    for machine in &mut fleet.machines {
        machine.coupled = true;
    }
    fleet.run_until(180, |fleet| fleet.seconds == 180);
    assert_eq!(fleet.pairs(), [KindPair { slowed: 1, beside: 2 }]);
}

/// Load: jobs that each name an image of their own. Guards against memory that grows with the number of images.
#[test]
fn evidence_thousands_of_kinds_bounded() {
    let start = Instant::now();
    let (mut evidence, mut observer) = (Evidence::new(start), Observer::new(start));
    let mut now = start;
    for job in 0..20_000_u64 {
        now += Duration::from_millis(5);
        let task = |job| TaskKey {
            job: u128::from(job),
            step: 0,
            index: 0,
        };
        observer.on_start(now, task(job), job % 5_000, Duration::from_millis(400), 0.5);
        if let Some(ended) = job.checked_sub(80)
            && let Some(record) = observer.on_end(now, task(ended))
        {
            evidence.record(now, &record);
        }
        assert!(observer.kinds() <= MAX_KINDS);
        assert!(evidence.len() <= 6_000, "{} sums", evidence.len());
    }
    assert!(evidence.report(now, |_| true).len() <= 24);
}

/// Load: two kinds that always run together, so that no run shows the difference. Guards against a pair without a comparison.
#[test]
fn evidence_without_comparison_finds_nothing() {
    let start = Instant::now();
    let mut evidence = Evidence::new(start);
    for run in 0..2_000_u32 {
        let record = RunRecord {
            kind: 1,
            declared: Duration::from_millis(100),
            observed: Duration::from_millis(300),
            utilisation: 0.5,
            beside: vec![Neighbour {
                kind: 2,
                at_start: true,
                lasted: Duration::from_millis(300),
            }],
        };
        evidence.record(start + Duration::from_millis(10) * run, &record);
    }
    assert!(
        evidence
            .report(start + Duration::from_secs(20), |_| true)
            .is_empty()
    );
}

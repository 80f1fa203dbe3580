//! Compares placement rules with ideal schedules; the real decision code runs in virtual time.
//!
//! Usage: `placement [--seed N] [--seeds N] [--seconds N] [--alternatives] [--unrelated | --undeclared]
//! [scenario...]`. docs/MEASUREMENTS.md defines the columns.

mod alternatives;
mod hedging;
mod ideal;
mod sim;
mod workload;

use std::time::Duration;

use ideal::Speeds;
use sim::{Outcome, Sim, Variant};
use workload::{Declarations, Fault, FaultKind, Job, Scenario};

/// Warm-up in seconds; jobs that arrive earlier are excluded from all statistics.
const WARM_UP: f64 = 60.0;

const VARIANTS: [(&str, Variant); 5] = [
    ("random", Variant::Random),
    ("learned", Variant::Learned),
    ("hedged", Variant::Hedged),
    ("two", Variant::PowerOfTwo),
    ("queues", Variant::TargetQueues),
];

struct Args {
    seed: u64,
    seeds: u64,
    seconds: f64,
    /// Whether to run also the rules that the router does not implement.
    alternatives: bool,
    /// Accuracy of the declared run times.
    declarations: Declarations,
    names: Vec<String>,
}

fn args() -> Args {
    let mut args = Args {
        seed: 1,
        seeds: 3,
        seconds: 600.0,
        alternatives: false,
        declarations: Declarations::Noisy,
        names: Vec::new(),
    };
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut number = || {
            arguments
                .next()
                .and_then(|text| text.parse().ok())
                .expect("a number follows")
        };
        match argument.as_str() {
            "--unrelated" => args.declarations = Declarations::Unrelated,
            "--undeclared" => args.declarations = Declarations::Absent,
            "--alternatives" => args.alternatives = true,
            "--seed" => args.seed = number(),
            "--seeds" => args.seeds = number(),
            "--seconds" => args.seconds = f64::from(u32::try_from(number()).expect("a few hours at most")),
            _ => args.names.push(argument),
        }
    }
    args
}

fn scenario(name: &'static str, load: f64, faults: &[(usize, f64, f64, FaultKind)]) -> Scenario {
    let faults = faults.iter().map(|&(target, from, until, kind)| Fault {
        target,
        from,
        until,
        kind,
    });
    Scenario {
        name,
        load: vec![(0.0, load)],
        deadline: Duration::from_secs(30),
        faults: faults.collect(),
    }
}

fn scenarios(end: f64) -> Vec<Scenario> {
    let black_hole = (4, 100.0, end, FaultKind::FailAtOnce);
    let straggler = (2, 100.0, end, FaultKind::Slow(8.0));
    let deadline = Duration::from_secs(5);
    let flapping: Vec<_> = (10..1_000).map(|n| f64::from(n) * 10.0).collect();
    let flapping: Vec<_> = flapping
        .iter()
        .map(|&at| (4, at, at + 5.0, FaultKind::FailAtOnce))
        .collect();
    let leaving: Vec<_> = (0..8_u8)
        .map(|n| (usize::from(n), 80.0 + 60.0 * f64::from(n)))
        .collect();
    let leaving: Vec<_> = leaving
        .iter()
        .map(|&(target, at)| (target, at, at + 40.0, FaultKind::Leaving))
        .collect();
    let domain = |kind| [0, 3, 6, 9].map(|target| (target, 200.0, 400.0, kind));
    vec![
        scenario("calm", 0.7, &[]),
        scenario("light", 0.3, &[]),
        Scenario {
            deadline,
            ..scenario("capacity", 1.0, &[])
        },
        Scenario {
            deadline,
            ..scenario("overload", 2.0, &[])
        },
        Scenario {
            deadline,
            load: vec![(0.0, 0.7), (120.0, 2.0), (140.0, 0.7)],
            ..scenario("burst", 0.7, &[])
        },
        scenario("straggler", 0.7, &[straggler]),
        scenario("black-hole", 0.7, &[black_hole]),
        scenario("black-hole-straggler", 0.6, &[black_hole, straggler]),
        scenario("slow-domain", 0.4, &domain(FaultKind::Slow(5.0))),
        scenario("failing-domain", 0.4, &domain(FaultKind::FailAtOnce)),
        scenario("hang", 0.7, &[(4, 100.0, 300.0, FaultKind::Hang)]),
        scenario("flapping", 0.7, &flapping),
        scenario("leaving", 0.7, &leaving),
    ]
}

/// Sums and samples over all seeds of one scenario and policy.
#[derive(Default)]
struct Totals {
    real: Vec<f64>,
    /// Central queue, run times of an average target, all targets of average speed.
    average: Vec<f64>,
    /// Central queue, measured run times, all targets of the same speed.
    replay: Vec<f64>,
    /// Central queue, run times of an average target, targets of their true speeds.
    oracle: Vec<f64>,
    outcome: Outcome,
}

impl Totals {
    fn add(&mut self, scenario: &Scenario, jobs: &[Job], mut outcome: Outcome) {
        outcome.completed.sort_by_key(|completed| completed.job);
        let completed_jobs: Vec<&Job> = outcome
            .completed
            .iter()
            .map(|completed| &jobs[completed.job])
            .collect();
        let sizes: Vec<Vec<f64>> = completed_jobs
            .iter()
            .map(|job| job.tasks.iter().map(|task| task.size).collect())
            .collect();
        let measured: Vec<Vec<f64>> = outcome
            .completed
            .iter()
            .map(|completed| completed.run_times.clone())
            .collect();
        let real: Vec<f64> = outcome.completed.iter().map(|completed| completed.time).collect();
        let warm_up_len = completed_jobs.partition_point(|job| job.arrival < WARM_UP);
        let ideal = |sizes, speeds| ideal::response_times(&completed_jobs, sizes, scenario, speeds);
        self.real.extend_from_slice(&real[warm_up_len..]);
        self.average
            .extend_from_slice(&ideal(&sizes, Speeds::Average)[warm_up_len..]);
        self.replay
            .extend_from_slice(&ideal(&measured, Speeds::Average)[warm_up_len..]);
        self.oracle
            .extend_from_slice(&ideal(&sizes, Speeds::True)[warm_up_len..]);
        self.outcome.failed += outcome.failed;
        self.outcome.refused += outcome.refused;
        self.outcome.tasks += outcome.tasks;
        self.outcome.wasted += outcome.wasted;
        self.outcome.useful += outcome.useful;
    }

    fn print(&mut self, scenario: &str, policy: &str, seconds: f64) {
        for samples in [
            &mut self.real,
            &mut self.average,
            &mut self.replay,
            &mut self.oracle,
        ] {
            samples.sort_by(f64::total_cmp);
        }
        print!("{scenario:<21} {policy:<8}");
        for ideal in [&self.average, &self.replay, &self.oracle] {
            for q in [0.5, 0.99, 0.999] {
                print!(" {:>6.3}", quantile(&self.real, q) / quantile(ideal, q));
            }
            print!(" ");
        }
        let wasted = 1_000.0 * count(self.outcome.wasted) / count(self.outcome.tasks);
        let goodput = self.outcome.useful / seconds / workload::capacity();
        println!(
            " {:>6.3} {wasted:>7.3} {:>6} {:>6} {goodput:>6.3}",
            quantile(&self.real, 0.99),
            self.outcome.failed,
            self.outcome.refused,
        );
    }
}

fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).expect("counts are small"))
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let rank = (1..=sorted.len()).find(|&rank| count(rank) >= q * count(sorted.len()));
    rank.map_or(f64::NAN, |rank| sorted[rank - 1])
}

fn main() {
    let args = args();
    println!(
        "{:<30}{:<23}{:<23}{:<23}",
        "response time relative to:", "average", "replay", "oracle"
    );
    print!("{:<21} {:<8}", "scenario", "policy");
    for _ in 0..3 {
        print!(" {:>6} {:>6} {:>6} ", "p50", "p99", "p99.9");
    }
    println!(
        " {:>6} {:>7} {:>6} {:>6} {:>6}",
        "p99 s", "wasted", "failed", "refus.", "goodp."
    );
    for scenario in scenarios(args.seconds) {
        if !args.names.is_empty() && !args.names.iter().any(|name| name == scenario.name) {
            continue;
        }
        for (name, variant) in VARIANTS {
            if variant != Variant::Random && variant != Variant::Learned && !args.alternatives {
                continue;
            }
            let mut totals = Totals::default();
            for seed in args.seed..args.seed + args.seeds {
                let jobs = workload::jobs(&scenario, args.declarations, args.seconds, seed);
                let outcome = Sim::new(&scenario, &jobs, variant, seed).run();
                totals.add(&scenario, &jobs, outcome);
            }
            totals.print(
                scenario.name,
                name,
                args.seconds * count(usize::try_from(args.seeds).expect("few")),
            );
        }
    }
}

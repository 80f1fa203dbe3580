//! Benchmarks of weighing a placement and of merging reports, at 61 workers.

use std::hint::black_box;
use std::time::{Duration, Instant};

use chestnutfork_interference::{MergedTable, cost_factor};
use chestnutfork_types::{KindId, KindPair, PairEvidence};
use criterion::{Criterion, criterion_group, criterion_main};

const WORKERS: usize = 61;
/// Kinds that interfere in a ring, which gives as many pairs as an agent reports.
const KINDS: KindId = 24;

fn report() -> Vec<PairEvidence> {
    let pairs = (0..KINDS).map(|kind| KindPair {
        slowed: kind,
        beside: (kind + 1) % KINDS,
    });
    let evidence = pairs.map(|pair| PairEvidence {
        pair,
        log_permille: 500,
        precision: 400,
        runs: 100,
        age: Duration::from_secs(1),
    });
    evidence.collect()
}

fn filled(now: Instant) -> MergedTable {
    let mut table = MergedTable::default();
    for source in 0..WORKERS {
        table.store(now, source, report());
    }
    table.refresh(now);
    table
}

fn placement(c: &mut Criterion) {
    let now = Instant::now();
    let table = filled(now);
    for kinds in [1, 6] {
        let running: Vec<(KindId, u32)> = (0..kinds).map(|kind| (kind * 3, 4)).collect();
        c.bench_function(&format!("cost_{WORKERS}_workers_{kinds}_kinds"), |b| {
            b.iter(|| {
                let partners = table.partners(black_box(2));
                let costs = (0..WORKERS).map(|_| cost_factor(partners, black_box(&running)));
                costs.fold(f64::INFINITY, f64::min)
            });
        });
    }
    c.bench_function(&format!("merge_{WORKERS}_reports"), |b| {
        b.iter(|| {
            let mut table = table.clone();
            table.store(now, 0, report());
            table.refresh(now + Duration::from_secs(2));
            table
        });
    });
}

criterion_group!(benches, placement);
criterion_main!(benches);

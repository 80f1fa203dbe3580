//! Benchmarks of choosing a target and of learning from a result.

use std::hint::black_box;
use std::time::{Duration, Instant};

use chestnutfork_routing::{AttemptEndKind, Choice, PlacementRequest, Router};
use chestnutfork_types::{Placement, ServicePolicy};
use criterion::{Criterion, criterion_group, criterion_main};

const SLOTS: u32 = 8;

/// Returns a router with learned speeds and free credits for all targets.
fn filled(targets: u32, start: Instant) -> Router {
    let mut router = Router::new(1);
    for index in 0..targets {
        let domain = format!("domain{}", index % 4);
        let target = router.add_target(start, format!("t{index}"), "main".into(), domain, SLOTS);
        router.set_credits(target, SLOTS);
        let run_time = Duration::from_millis(100 + u64::from(index * 37 % 100));
        for _ in 0..20 {
            router.on_start(start, target, "desk");
            router.on_end(start, target, "desk", run_time, AttemptEndKind::Completed);
        }
    }
    router
}

fn choose(c: &mut Criterion) {
    let start = Instant::now();
    let req = PlacementRequest {
        service: "desk",
        declared: None,
        deadline: start + Duration::from_secs(10),
        remaining_tasks: 50,
        exclude: &[],
    };
    for targets in [11, 1_100] {
        for (name, placement) in [("random", Placement::Random), ("learned", Placement::Learned)] {
            let policy = ServicePolicy::builder("main").placement(placement).build();
            let mut router = filled(targets, start);
            c.bench_function(&format!("choose_{name}_{targets}_free"), |b| {
                b.iter(|| router.choose(start, black_box(&req), &policy));
            });
        }
        let policy = ServicePolicy::builder("main").build();
        let mut router = filled(targets, start);
        for target in 1..usize::try_from(targets).unwrap() {
            router.set_credits(target, 0);
        }
        c.bench_function(&format!("start_and_end_{targets}_backlog"), |b| {
            b.iter(|| {
                let choice = router.choose(start, black_box(&req), &policy);
                assert_eq!(choice, Choice::Use(0));
                router.set_credits(0, 0);
                router.on_start(start, 0, "desk");
                router.set_credits(0, 1);
                router.on_end(
                    start,
                    0,
                    "desk",
                    Duration::from_millis(100),
                    AttemptEndKind::Completed,
                );
            });
        });
    }
}

criterion_group!(benches, choose);
criterion_main!(benches);

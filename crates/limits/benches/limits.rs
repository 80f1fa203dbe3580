//! Benchmarks of queue operations, quota checks and admission.

use std::hint::black_box;
use std::time::{Duration, Instant};

use chestnutfork_limits::{Admission, AdmissionRequest, FairQueue, Quotas, ServiceShedding};
use chestnutfork_types::{Demand, DemandBand, DemandSum, ServicePolicy};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const TEAMS: usize = 190;
const JOB_TASKS: u64 = 50;

fn team_names() -> Vec<String> {
    (0..TEAMS).map(|team| format!("team{team}")).collect()
}

/// Returns a queue with jobs of `JOB_TASKS` tasks each; an item is the number of its job.
fn filled(len: u64, start: Instant, teams: &[String]) -> FairQueue<u64> {
    let mut queue = FairQueue::new(usize::MAX);
    for item in 0..len {
        let job = item / JOB_TASKS;
        let deadline = start + Duration::from_millis(job * 7919 % 30_000);
        let team = &teams[usize::try_from(job).unwrap() % TEAMS];
        queue.push(team, deadline, job).unwrap();
    }
    queue
}

fn queue(c: &mut Criterion) {
    let start = Instant::now();
    let teams = team_names();
    for len in [100, 10_000] {
        let mut queue = filled(len, start, &teams);
        c.bench_function(&format!("queue_pop_push_{len}"), |b| {
            b.iter(|| {
                let queued = queue.pop().unwrap();
                let deadline = queued.deadline + Duration::from_secs(1);
                queue
                    .push(&queued.team, deadline, black_box(queued.item))
                    .unwrap();
            });
        });
    }
    let full_queue = filled(10_000, start, &teams);
    c.bench_function("queue_cancel_100_of_200_jobs", |b| {
        b.iter_batched_ref(
            || full_queue.clone(),
            |queue| {
                let mut removed = Vec::new();
                for job in 0..100 {
                    let deadline = start + Duration::from_millis(job * 7919 % 30_000);
                    let team = &teams[usize::try_from(job).unwrap() % TEAMS];
                    queue.retain_at(team, deadline, |item| *item != job, &mut removed);
                }
                assert_eq!(removed.len(), 5_000);
            },
            BatchSize::LargeInput,
        );
    });
}

fn quotas(c: &mut Criterion) {
    let now = Instant::now();
    let teams = team_names();
    let mut quotas = Quotas::new();
    quotas.set_entry_count(3);
    for team in &teams {
        quotas.set_quota(team, 1_000);
    }
    let usage: Vec<_> = teams.iter().map(|team| (team.clone(), 100)).collect();
    quotas.on_peer_usage(1, &usage, now);
    quotas.on_peer_usage(2, &usage, now);
    c.bench_function("quotas_acquire_release", |b| {
        b.iter(|| {
            assert!(quotas.try_acquire(black_box("team77")));
            quotas.release("team77");
        });
    });
}

fn admission(c: &mut Criterion) {
    let now = Instant::now();
    let policy = ServicePolicy::builder("main").build();
    let admission = Admission::new();
    let req = AdmissionRequest {
        tasks: 50,
        declared: Some(Duration::from_millis(300)),
        deadline: Duration::from_secs(10),
        queued: 1_000,
        team_queued: 50,
        active_teams: 20,
        team_allowance: 100,
        slots: 88,
        fastest_speed: 1.5,
    };
    c.bench_function("admission_check", |b| {
        b.iter(|| admission.check(now, black_box(&req), &policy).unwrap());
    });
}

/// Returns sums of three priorities with twice a capacity of 10,000.
fn demand_sums(agents: usize) -> Vec<DemandSum> {
    let mut demand = Demand::default();
    for priority in 0..3 {
        demand.add(DemandBand {
            priority,
            jobs: 10,
            work: 6_667,
        });
    }
    let age = Duration::from_millis(100);
    vec![DemandSum { demand, age }; agents]
}

fn shedding(c: &mut Criterion) {
    let now = Instant::now();
    let mut shedding = ServiceShedding::default();
    for agents in [61, 610] {
        let sums = demand_sums(agents);
        c.bench_function(&format!("shedding_update_{agents}"), |b| {
            b.iter(|| shedding.update(now, black_box(sums.clone()), 10_000.0));
        });
    }
    let submission = DemandBand {
        priority: 2,
        jobs: 1,
        work: 400,
    };
    c.bench_function("shedding_submission", |b| {
        b.iter(|| {
            shedding.record(now, "route", submission);
            shedding.admit(now, black_box("route"), 2, 0.5)
        });
    });
    c.bench_function("shedding_demand", |b| {
        b.iter(|| shedding.demand(black_box(now)));
    });
}

criterion_group!(benches, queue, quotas, admission, shedding);
criterion_main!(benches);

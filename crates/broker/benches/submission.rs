//! Benchmark of a submission and its placement at 61 workers, with equal and with different priorities of the routes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use chestnutfork_broker::{
    Action, BrokerConfig, BrokerCore, Event, JobSubmission, Request, RequestKind, StepSpec,
};
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_types::{
    Demand, DemandBand, DemandSum, EndedRun, EntryToWorker, Resources, RunOutcome, WorkerDescription,
    WorkerLoad, WorkerToEntry,
};
use criterion::{Criterion, criterion_group, criterion_main};

const WORKERS: u64 = 61;
const CAPACITY: Resources = Resources {
    cpu_millis: 64_000,
    memory_mb: 256_000,
    gpus: 0,
};
const TASK: Resources = Resources {
    cpu_millis: 1_000,
    memory_mb: 100,
    gpus: 0,
};

fn route(name: &str, priority: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        service: "pool".to_owned(),
        priority,
        max_attempts: 2,
        stretch_factor: 1.6,
        overhead: Duration::from_millis(60),
        timeout: Duration::from_millis(1_500),
    }
}

fn load(overload: f64) -> WorkerLoad {
    let mut demand = Demand::default();
    for priority in 0..3 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the work is positive and small"
        )]
        let work = (overload * 64_000.0 * 61.0 / 3.0) as u64;
        demand.add(DemandBand {
            priority,
            jobs: 1_000,
            work,
        });
    }
    let age = Duration::from_millis(100);
    WorkerLoad {
        free: CAPACITY,
        share: CAPACITY,
        waiting: 0,
        run_time_permille: 1_000,
        failure_permille: 0,
        available: true,
        last_order: u64::MAX,
        demand: Some(DemandSum { demand, age }),
    }
}

/// Returns an entry with all workers and three routes.
fn entry(now: Instant, priorities: [u32; 3], overload: f64) -> BrokerCore {
    let cfg = BrokerConfig::builder("zone-a", Duration::from_millis(1_300)).build();
    let mut core = BrokerCore::new(cfg, now);
    let mut actions = Vec::new();
    let names = ["first", "second", "third"];
    let routes = names
        .into_iter()
        .zip(priorities)
        .map(|(name, priority)| route(name, priority));
    let table = RouteTable {
        version: 1,
        routes: routes.collect(),
        services: [("pool".to_owned(), ServiceRule::default())].into(),
    };
    core.handle(now, Event::Routes(table), &mut actions);
    for link in 1..=WORKERS {
        let agent = format!("agent-{link}");
        let up = Event::AgentUp {
            link,
            agent,
            process: link,
        };
        let worker = WorkerDescription {
            worker: format!("w-{link}"),
            pool: "pool".to_owned(),
            capacity: CAPACITY,
            reads_demand: true,
            ..WorkerDescription::default()
        };
        let describe = WorkerToEntry::Describe(worker, Vec::new());
        let beat = WorkerToEntry::Heartbeat(1, load(overload));
        core.handle(now, up, &mut actions);
        for message in [describe, beat] {
            core.handle(now, Event::FromAgent { link, message }, &mut actions);
        }
    }
    core
}

/// Submits a job of eight tasks, and completes what was ordered.
fn submit(core: &mut BrokerCore, now: Instant, job: u128, actions: &mut Vec<Action>) {
    let step = StepSpec {
        tasks: 8,
        resources: TASK,
        declared_run_time: Duration::from_millis(50),
        ..StepSpec::default()
    };
    let submission = JobSubmission {
        steps: vec![step],
        ..JobSubmission::default()
    };
    let request = Request {
        host: "h".to_owned(),
        queue: "/first/".to_owned(),
        job: Some(job),
        timeout: None,
        kind: RequestKind::Submit(submission),
    };
    let event = Event::Request {
        ticket: 1,
        request,
        received_at: now,
    };
    actions.clear();
    core.handle(now, event, actions);
}

fn complete(core: &mut BrokerCore, now: Instant, overload: f64, actions: &mut Vec<Action>) {
    for action in std::mem::take(actions) {
        let Action::ToAgent(link, EntryToWorker::Start(order)) = action else {
            continue;
        };
        let ended = order.tasks.iter().map(|task| EndedRun {
            key: task.key,
            outcome: RunOutcome::Completed,
            run_time: Duration::from_millis(50),
        });
        let message = WorkerToEntry::Ended(ended.collect(), load(overload));
        core.handle(now, Event::FromAgent { link, message }, actions);
    }
}

fn submission(c: &mut Criterion) {
    let now = Instant::now();
    let cases = [
        ("equal_priorities", [1, 1, 1], 2.0),
        ("below_capacity", [0, 1, 2], 0.9),
        ("overload", [0, 1, 2], 2.0),
    ];
    for (name, priorities, overload) in cases {
        let mut core = entry(now, priorities, overload);
        let mut actions = Vec::new();
        let mut job = 0;
        c.bench_function(&format!("submission_61_{name}"), |b| {
            b.iter_custom(|iterations| {
                let mut spent = Duration::ZERO;
                for _ in 0..iterations {
                    job += 1;
                    let begin = Instant::now();
                    submit(&mut core, now, job, black_box(&mut actions));
                    spent += begin.elapsed();
                    complete(&mut core, now, overload, &mut actions);
                }
                spent
            });
        });
    }
}

criterion_group!(benches, submission);
criterion_main!(benches);

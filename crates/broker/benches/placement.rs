//! Benchmark of placing a job of two tasks on one of 61 workers, from its submission to its answer.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_broker::{
    Action, BrokerConfig, BrokerCore, Event, JobSubmission, Request, RequestKind, StepSpec,
};
use chestnutfork_interference::kind_id;
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_types::{
    EndedRun, EntryToWorker, InterferenceReport, KindPair, PairEvidence, Resources, RunOutcome,
    WorkerDescription, WorkerLoad, WorkerToEntry,
};
use criterion::{Criterion, criterion_group, criterion_main};

const WORKERS: u64 = 61;
const CAPACITY: Resources = Resources {
    cpu_millis: 64_000,
    memory_mb: 64_000,
    gpus: 0,
};

/// Interference that agents report.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Setting {
    /// The feature is not enabled.
    Off,
    /// No pair interferes.
    NoPair,
    /// The submitted kind interferes with five others, which run on every second worker.
    Pairs,
}

fn load() -> WorkerLoad {
    WorkerLoad {
        free: CAPACITY,
        share: CAPACITY,
        waiting: 0,
        run_time_permille: 1_000,
        failure_permille: 0,
        available: true,
        last_order: u64::MAX,
        demand: None,
    }
}

fn interference() -> InterferenceReport {
    let others: Vec<u64> = (0..5)
        .map(|at| kind_id(Some(&format!("other-{at}")), "r"))
        .collect();
    let evidence = others.iter().map(|&beside| PairEvidence {
        pair: KindPair {
            slowed: kind_id(Some("image"), "r"),
            beside,
        },
        log_permille: 500,
        precision: 400,
        runs: 100,
        age: Duration::ZERO,
    });
    InterferenceReport {
        pairs: Some(evidence.collect()),
        running: others.iter().map(|&kind| (kind, 3)).collect(),
    }
}

struct Entry {
    core: BrokerCore,
    now: Instant,
    actions: Vec<Action>,
    jobs: u64,
}

impl Entry {
    fn new(setting: Setting) -> Self {
        let now = Instant::now();
        // Heartbeats are not part of the benchmark.
        let cfg = BrokerConfig::builder("zone-a", Duration::from_hours(1_000))
            .stale_after(Duration::from_hours(1_000))
            .answer_retention(Duration::from_millis(100))
            .sharing(setting != Setting::Off)
            .build();
        let mut entry = Self {
            core: BrokerCore::new(cfg, now),
            now,
            actions: Vec::new(),
            jobs: 0,
        };
        let route = Route {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: "pool".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch_factor: 2.0,
            overhead: Duration::from_millis(100),
            timeout: Duration::from_millis(1_500),
        };
        entry.handle(Event::Routes(RouteTable {
            version: 1,
            routes: vec![route],
            services: [("pool".to_owned(), ServiceRule::default())].into(),
        }));
        for link in 0..WORKERS {
            entry.connect(link, setting);
        }
        entry
    }

    fn connect(&mut self, link: u64, setting: Setting) {
        self.handle(Event::AgentUp {
            link,
            agent: format!("agent-{link}"),
            process: link,
        });
        let description = WorkerDescription {
            worker: format!("w-{link}"),
            pool: "pool".to_owned(),
            failure_domain: "zone-a".to_owned(),
            capacity: CAPACITY,
            ..WorkerDescription::default()
        };
        self.receive(link, WorkerToEntry::Describe(description, Vec::new()));
        self.receive(link, WorkerToEntry::Heartbeat(1, load()));
        if setting == Setting::Pairs {
            let mut report = interference();
            if link % 2 == 1 {
                report.running.clear();
            }
            self.receive(link, WorkerToEntry::Interference(report));
        }
    }

    fn receive(&mut self, link: u64, message: WorkerToEntry) {
        self.handle(Event::FromAgent { link, message });
    }

    fn handle(&mut self, event: Event) {
        self.core.handle(self.now, event, &mut self.actions);
    }

    /// Submits a job, and reports its tasks as completed.
    fn run_job(&mut self) -> usize {
        self.now += Duration::from_millis(1);
        self.actions.clear();
        self.jobs += 1;
        let step = StepSpec {
            tasks: 2,
            resources: Resources {
                cpu_millis: 1_000,
                memory_mb: 1,
                gpus: 0,
            },
            declared_run_time: Duration::from_millis(100),
            image: Some("image".to_owned()),
            ..StepSpec::default()
        };
        let submission = JobSubmission {
            spec: Bytes::from_static(b"spec"),
            steps: vec![step],
            ..JobSubmission::default()
        };
        let request = Request {
            host: "h".to_owned(),
            queue: "/q/".to_owned(),
            job: Some(u128::from(self.jobs)),
            timeout: None,
            kind: RequestKind::Submit(submission),
        };
        let received_at = self.now;
        self.handle(Event::Request {
            ticket: self.jobs,
            request,
            received_at,
        });
        let mut placed = 0;
        for action in std::mem::take(&mut self.actions) {
            if let Action::ToAgent(link, EntryToWorker::Start(order)) = action {
                placed += order.tasks.len();
                let ended = order.tasks.iter().map(|task| EndedRun {
                    key: task.key,
                    outcome: RunOutcome::Completed,
                    run_time: Duration::from_millis(1),
                });
                self.receive(link, WorkerToEntry::Ended(ended.collect(), load()));
            }
        }
        placed
    }
}

fn placement(c: &mut Criterion) {
    for setting in [Setting::Off, Setting::NoPair, Setting::Pairs] {
        let mut entry = Entry::new(setting);
        assert_eq!(entry.run_job(), 2, "both tasks are placed");
        c.bench_function(&format!("job_of_2_tasks_{WORKERS}_workers_{setting:?}"), |b| {
            b.iter(|| black_box(entry.run_job()));
        });
    }
}

criterion_group!(benches, placement);
criterion_main!(benches);

//! Entry core with a virtual clock, for the tests of this crate.

#![allow(dead_code, reason = "each test binary uses a part of the entry")]

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_broker::{
    Action, Answer, BrokerConfig, BrokerCore, Event, JobSubmission, Request, RequestKind, StepSpec,
};
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_types::{
    AttemptKey, EndedRun, EntryToWorker, Resources, RunOutcome, StartOrder, WorkerCrash, WorkerDescription,
    WorkerLoad, WorkerToEntry,
};

pub const RUN_EXPIRY: Duration = Duration::from_millis(1_300);

/// Entry core with a virtual clock and all actions since they were last cleared.
pub struct Entry {
    pub core: BrokerCore,
    pub start: Instant,
    pub now: Instant,
    pub actions: Vec<Action>,
}

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        routes: vec![Route {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: "pool".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch_factor: 2.0,
            overhead: millis(100),
            timeout: millis(1_500),
        }],
        services: [("pool".to_owned(), ServiceRule::default())].into(),
    }
}

pub fn submission(tasks: u16) -> JobSubmission {
    let step = StepSpec {
        tasks,
        resources: Resources {
            cpu_millis: 1_000,
            memory_mb: 1,
            gpus: 0,
        },
        declared_run_time: millis(100),
        ..StepSpec::default()
    };
    JobSubmission {
        spec: Bytes::from_static(b"spec"),
        steps: vec![step],
        ..JobSubmission::default()
    }
}

pub fn request(job: u128, kind: RequestKind) -> Request {
    Request {
        host: "h".to_owned(),
        queue: "/q/".to_owned(),
        job: Some(job),
        timeout: Some(millis(2_000)),
        kind,
    }
}

impl Entry {
    pub fn new() -> Self {
        let now = Instant::now();
        let cfg = BrokerConfig::builder("zone-a", RUN_EXPIRY).build();
        Self {
            core: BrokerCore::new(cfg, now),
            start: now,
            now,
            actions: Vec::new(),
        }
    }

    /// Returns an entry with routes and workers of four cores each, connected by the links 1, 2 and so on.
    pub fn with_workers(workers: u64) -> Self {
        let mut entry = Self::new();
        entry.handle(Event::Routes(table(1)));
        for link in 1..=workers {
            entry.connect(link);
        }
        entry
    }

    pub fn connect(&mut self, link: u64) {
        let agent = format!("agent-{link}");
        self.handle(Event::AgentUp {
            link,
            agent,
            process: link,
        });
        self.report_crashes(link, Vec::new());
        self.beat(link, 1, 0);
    }

    /// Delivers the description of a worker with reports of its crashes.
    pub fn report_crashes(&mut self, link: u64, crashes: Vec<WorkerCrash>) {
        let worker = WorkerDescription {
            worker: format!("w-{link}"),
            pool: "pool".to_owned(),
            failure_domain: "zone-a".to_owned(),
            labels: Vec::new(),
            capacity: Resources {
                cpu_millis: 4_000,
                memory_mb: 100,
                gpus: 0,
            },
            leaving: false,
            stores_losses: true,
            reads_resources: true,
            reads_time_limits: true,
            reads_end_limits: true,
            reads_demand: true,
        };
        self.receive(link, WorkerToEntry::Describe(worker, crashes));
    }

    pub fn beat(&mut self, link: u64, number: u64, last_order: u64) {
        self.receive(link, WorkerToEntry::Heartbeat(number, Self::load(last_order)));
    }

    pub fn load(last_order: u64) -> WorkerLoad {
        WorkerLoad {
            free: Resources {
                cpu_millis: 4_000,
                memory_mb: 100,
                gpus: 0,
            },
            share: Resources {
                cpu_millis: 4_000,
                memory_mb: 100,
                gpus: 0,
            },
            waiting: 0,
            run_time_permille: 1_000,
            failure_permille: 0,
            available: true,
            last_order,
            demand: None,
        }
    }

    pub fn receive(&mut self, link: u64, message: WorkerToEntry) {
        self.handle(Event::FromAgent { link, message });
    }

    pub fn handle(&mut self, event: Event) {
        self.core.handle(self.now, event, &mut self.actions);
    }

    pub fn request(&mut self, ticket: u64, request: Request) {
        let received_at = self.now;
        self.handle(Event::Request {
            ticket,
            request,
            received_at,
        });
    }

    pub fn submit(&mut self, ticket: u64, job: u128, tasks: u16) {
        let request = request(job, RequestKind::Submit(submission(tasks)));
        self.request(ticket, request);
    }

    /// Advances the clock in steps of the core's busy interval, with heartbeats on the given links.
    pub fn advance_to(&mut self, elapsed: Duration, links: &[u64]) {
        let mut number = 100;
        while self.now < self.start + elapsed {
            self.now += millis(25);
            number += 1;
            for &link in links {
                self.beat(link, number, u64::MAX);
            }
            self.handle(Event::Tick);
        }
    }

    pub fn end_attempt(&mut self, link: u64, key: AttemptKey, outcome: RunOutcome) {
        let run_time = millis(100);
        let ended = vec![EndedRun {
            key,
            outcome,
            run_time,
        }];
        self.receive(link, WorkerToEntry::Ended(ended, Self::load(u64::MAX)));
    }

    pub fn starts(&mut self) -> Vec<(u64, StartOrder)> {
        let starts = self.actions.iter().filter_map(|action| match action {
            Action::ToAgent(link, EntryToWorker::Start(order)) => Some((*link, order.clone())),
            _ => None,
        });
        starts.collect()
    }

    /// Returns the attempts of all starts with their links.
    pub fn attempts(&mut self) -> Vec<(u64, AttemptKey)> {
        let starts = self.starts().into_iter();
        let attempts =
            starts.flat_map(|(link, order)| order.tasks.into_iter().map(move |task| (link, task.key)));
        attempts.collect()
    }

    pub fn stops(&self) -> usize {
        let stops = self.actions.iter();
        stops
            .filter(|action| matches!(action, Action::ToAgent(_, EntryToWorker::Stop(_))))
            .count()
    }

    pub fn answers(&self) -> Vec<(u64, Answer)> {
        let answers = self.actions.iter().filter_map(|action| match action {
            Action::Answer(ticket, answer) => Some((*ticket, *answer)),
            _ => None,
        });
        answers.collect()
    }
}

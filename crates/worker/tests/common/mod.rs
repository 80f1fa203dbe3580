//! Agent core driven by single events in virtual time.

#![allow(dead_code, reason = "each test binary uses a part of the agent")]

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, EndedRun, EntryToWorker, OrderKinds, RecordedAttempt, Resources, StartOrder, TaskKey,
    TaskOrder, WorkerDescription, WorkerToEntry,
};
use chestnutfork_worker::{
    Action, Announcement, CallId, CallOutcome, Event, ListedRun, Order, Reply, RunList, WorkerConfig,
    WorkerCore,
};

pub const LINK: u64 = 1;
pub const ENTRY: u64 = 77;
/// Resources of each task; two tasks fit on the worker.
pub const TASK_RESOURCES: Resources = Resources {
    cpu_millis: 1_000,
    memory_mb: 10,
    gpus: 0,
};

/// Agent core with a virtual clock and the actions of the latest event.
pub struct Agent {
    pub core: WorkerCore,
    pub start: Instant,
    pub now: Instant,
    pub actions: Vec<Action>,
    /// Reading of the worker's clock at `start`.
    pub clock_at_start: Duration,
}

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn attempt(index: u16, attempt: u32) -> AttemptKey {
    let task = TaskKey {
        job: 5,
        step: 0,
        index,
    };
    AttemptKey { task, attempt }
}

/// Returns an attempt with the resources of [`Agent::order`], as entries list it.
pub fn recorded(key: AttemptKey) -> RecordedAttempt {
    let resources = Some(TASK_RESOURCES);
    RecordedAttempt { key, resources }
}

pub fn announcement(started_at: u64, sequence: u64) -> Announcement {
    Announcement {
        description: WorkerDescription {
            worker: format!("w-{started_at}"),
            pool: "pool".to_owned(),
            failure_domain: "zone-a".to_owned(),
            labels: Vec::new(),
            capacity: Resources {
                cpu_millis: 2_000,
                memory_mb: 100,
                gpus: 0,
            },
            leaving: false,
            stores_losses: false,
            reads_resources: false,
            reads_time_limits: false,
            reads_end_limits: false,
            reads_demand: false,
        },
        address: "w:1".to_owned(),
        started_at: millis(started_at),
        sequence,
        clock: millis(10_000),
    }
}

impl Agent {
    pub fn new() -> Self {
        let now = Instant::now();
        let cfg = WorkerConfig::builder()
            .worker_lease(millis(700))
            .entry_lease(millis(500))
            .build();
        Self {
            core: WorkerCore::new(cfg, now),
            start: now,
            now,
            actions: Vec::new(),
            clock_at_start: millis(10_000),
        }
    }

    /// Returns an agent whose worker has announced itself and whose entry has acknowledged a heartbeat.
    pub fn ready() -> Self {
        let mut agent = Self::new();
        agent.handle(Event::Announced(announcement(1, 1)));
        agent.answer_renewal(RunList::default());
        agent.connect();
        agent
    }

    pub fn connect(&mut self) {
        self.handle(Event::EntryUp {
            link: LINK,
            entry: ENTRY,
        });
        let beat = self.actions.iter().find_map(|action| match action {
            Action::ToEntry(_, WorkerToEntry::Heartbeat(number, _)) => Some(*number),
            _ => None,
        });
        self.send(EntryToWorker::HeartbeatAck(
            beat.expect("a link begins with a heartbeat"),
            None,
        ));
    }

    pub fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.core.handle(self.now, event, &mut self.actions);
    }

    pub fn send(&mut self, message: EntryToWorker) {
        self.handle(Event::FromEntry { link: LINK, message });
    }

    pub fn advance_to(&mut self, elapsed: Duration) {
        self.now = self.start + elapsed;
        self.handle(Event::Tick);
    }

    pub fn start(&mut self, keys: &[AttemptKey]) {
        self.order(keys, false);
    }

    /// Orders the start of attempts, which wait for capacity unless `refuse_if_full` is set.
    pub fn order(&mut self, keys: &[AttemptKey], refuse_if_full: bool) {
        let tasks = keys.iter().map(|&key| TaskOrder {
            key,
            resources: TASK_RESOURCES,
            declared_run_time: millis(100),
        });
        self.send(EntryToWorker::Start(StartOrder {
            refuse_if_full,
            kinds: OrderKinds::default(),
            time_limit: None,
            end_limit: None,
            report_interval: None,
            number: 1,
            last_heartbeat: 1,
            time_to_objective: millis(200),
            spec: Bytes::from_static(b"spec"),
            tasks: tasks.collect(),
        }));
    }

    pub fn calls(&self) -> Vec<(CallId, Order)> {
        let calls = self.actions.iter().filter_map(|action| match action {
            Action::Call { call, order, .. } => Some((*call, order.clone())),
            _ => None,
        });
        calls.collect()
    }

    /// Returns the latest call that matches.
    pub fn call(&self, matches: impl Fn(&Order) -> bool) -> CallId {
        let calls = self.calls();
        let found = calls.iter().rev().find(|(_, order)| matches(order));
        found.expect("the call was made").0
    }

    pub fn reply(&mut self, call: CallId, outcome: CallOutcome) {
        let elapsed = self.now.saturating_duration_since(self.start);
        let clock = (outcome != CallOutcome::NoAnswer).then_some(self.clock_at_start + elapsed);
        let reply = Reply {
            clock,
            started_at: None,
            outcome,
        };
        self.handle(Event::Replied { call, reply });
    }

    pub fn answer_renewal(&mut self, list: RunList) {
        let call = self.call(|order| matches!(order, Order::RenewLease { .. }));
        self.reply(call, CallOutcome::LeaseRenewed(list));
    }

    pub fn ended(&self) -> Vec<EndedRun> {
        let ended = self.actions.iter().filter_map(|action| match action {
            Action::ToEntry(_, WorkerToEntry::Ended(ended, _)) => Some(ended.clone()),
            _ => None,
        });
        ended.flatten().collect()
    }
}

pub fn is_start(order: &Order) -> bool {
    matches!(order, Order::Start { .. })
}

pub fn is_stop(order: &Order) -> bool {
    matches!(order, Order::Stop { .. })
}

pub fn is_renewal(order: &Order) -> bool {
    matches!(order, Order::RenewLease { .. })
}

pub fn listed(key: AttemptKey, run: u64) -> ListedRun {
    ListedRun {
        task: key.task,
        number: run,
    }
}

//! Agent core with a virtual clock, for tests of capacities and crashes.

#![allow(dead_code, reason = "each test binary uses a part of the agent")]

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, EntryToWorker, HeartbeatNumber, LinkNumber, OrderKinds, Resources, StartOrder, TaskKey,
    TaskOrder, WorkerDescription, WorkerToEntry,
};
use chestnutfork_worker::{
    Action, Announcement, CallId, CallOutcome, Event, Order, Reply, RunList, WorkerConfig, WorkerCore,
};

/// Link to the entry that orders runs.
pub const LINK: LinkNumber = 1;

/// Agent core with a virtual clock and the actions of the latest event.
pub struct Agent {
    pub core: WorkerCore,
    pub now: Instant,
    pub actions: Vec<Action>,
    heartbeat: HeartbeatNumber,
    /// Lease renewal without an answer.
    renewal: Option<CallId>,
}

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns the first attempt at a task.
pub fn attempt(job: u128) -> AttemptKey {
    let task = TaskKey {
        job,
        step: 0,
        index: 0,
    };
    AttemptKey { task, attempt: 1 }
}

/// Returns a number of cores, with memory in proportion.
pub fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1_000,
        memory_mb: count * 10,
        gpus: 0,
    }
}

/// Returns an announcement of the worker `w` with four cores.
pub fn announcement(started_at: u64, sequence: u64) -> Announcement {
    Announcement {
        description: WorkerDescription {
            worker: "w".to_owned(),
            pool: "pool".to_owned(),
            failure_domain: "zone-a".to_owned(),
            labels: Vec::new(),
            capacity: cores(4),
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
    /// Returns an agent whose worker has announced itself, with a link to an entry that has a lease.
    pub fn ready() -> Self {
        let now = Instant::now();
        let mut agent = Self {
            core: WorkerCore::new(WorkerConfig::builder().build(), now),
            now,
            actions: Vec::new(),
            heartbeat: 0,
            renewal: None,
        };
        agent.handle(Event::Announced(announcement(1, 1)));
        agent.answer_renewal(RunList::default());
        agent.connect(LINK);
        agent
    }

    /// Opens a link to the entry whose process id is the number of the link, and acknowledges the heartbeat.
    pub fn connect(&mut self, link: LinkNumber) -> Vec<Action> {
        let actions = self.handle(Event::EntryUp { link, entry: link });
        self.acknowledge(link);
        actions
    }

    fn acknowledge(&mut self, link: LinkNumber) {
        let message = EntryToWorker::HeartbeatAck(self.heartbeat, None);
        self.handle(Event::FromEntry { link, message });
    }

    /// Processes an event, and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        if let Event::Replied { call, .. } = &event
            && self.renewal == Some(*call)
        {
            self.renewal = None;
        }
        self.actions.clear();
        self.core.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            match action {
                Action::ToEntry(_, WorkerToEntry::Heartbeat(number, _)) => self.heartbeat = *number,
                Action::Call {
                    call,
                    order: Order::RenewLease { .. },
                    ..
                } => {
                    self.renewal = Some(*call);
                }
                _ => {}
            }
        }
        self.actions.clone()
    }

    /// Orders the start of attempts with the given resources, and confirms the starts.
    pub fn start(&mut self, keys: &[AttemptKey], needed: Resources) -> Vec<Action> {
        let actions = self.order(keys, needed);
        self.confirm(&actions);
        actions
    }

    /// Orders the start of attempts with the given resources.
    pub fn order(&mut self, keys: &[AttemptKey], needed: Resources) -> Vec<Action> {
        let tasks = keys.iter().map(|&key| TaskOrder {
            key,
            resources: needed,
            declared_run_time: millis(100),
        });
        let message = EntryToWorker::Start(StartOrder {
            refuse_if_full: false,
            kinds: OrderKinds::default(),
            time_limit: None,
            end_limit: None,
            report_interval: None,
            number: 1,
            last_heartbeat: self.heartbeat,
            time_to_objective: millis(200),
            spec: Bytes::from_static(b"spec"),
            tasks: tasks.collect(),
        });
        self.handle(Event::FromEntry { link: LINK, message })
    }

    /// Confirms the starts among the actions.
    pub fn confirm(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Call { call, order, .. } = action
                && matches!(order, Order::Start { .. })
            {
                let outcome = CallOutcome::Done;
                let reply = Reply {
                    clock: None,
                    started_at: None,
                    outcome,
                };
                self.handle(Event::Replied { call: *call, reply });
            }
        }
    }

    /// Answers the lease renewal with a list, and returns the actions.
    pub fn answer_renewal(&mut self, list: RunList) -> Vec<Action> {
        self.reply_to_renewal(CallOutcome::LeaseRenewed(list))
    }

    /// Refuses the connection of the next lease renewal.
    pub fn refuse_connection(&mut self) {
        while self.renewal.is_none() {
            self.now = self.core.next_wakeup();
            self.handle(Event::Tick);
        }
        self.reply_to_renewal(CallOutcome::Unreachable);
    }

    fn reply_to_renewal(&mut self, outcome: CallOutcome) -> Vec<Action> {
        let call = self.renewal.take().expect("a renewal is in flight");
        let reply = Reply {
            clock: None,
            started_at: None,
            outcome,
        };
        self.handle(Event::Replied { call, reply })
    }
}

/// Returns the jobs whose tasks the actions start.
pub fn starts(actions: &[Action]) -> Vec<u128> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Call {
            order: Order::Start { task, .. },
            ..
        } => Some(task.job),
        _ => None,
    });
    orders.collect()
}

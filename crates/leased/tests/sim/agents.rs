//! Agent processes: their cores, and kills.

use std::time::{Duration, Instant};

use chestnutfork_types::{AttemptKey, EntryToWorker, ProcessId};
use chestnutfork_worker::{
    Action as AgentAction, Event as AgentEvent, ListedRun, Notice as AgentNotice, Order, WorkerConfig,
    WorkerCore,
};
use rand::RngExt;

use super::{ENTRIES, InjectedDefect, LINK_DELAY, ScheduledEvent, Sim};

/// Span within which a further kill of an agent belongs to a series.
const SERIES_SPAN: Duration = Duration::from_millis(1_500);

/// Shortest and longest delay in milliseconds before an entry connects to the successor of a killed agent.
pub(super) type ConnectionDelay = (u64, u64);

pub(super) const AT_ONCE: ConnectionDelay = (50, 50);
pub(super) const LATE_CONNECTION: ConnectionDelay = (50, 1_500);
/// Longer than the run expiry of entries, which is 1.313 s.
pub(super) const ISOLATED: ConnectionDelay = (1_400, 3_000);

/// Agent process.
#[derive(Debug)]
pub(super) struct AgentHost {
    pub(super) process: ProcessId,
    pub(super) core: WorkerCore,
    /// Next scheduled tick.
    tick_at: Option<Instant>,
    /// When the former process was killed.
    killed_at: Option<Instant>,
}

impl AgentHost {
    /// Returns whether the process replaced a killed one within the last 1.5 s.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        self.killed_at.is_some_and(|at| now < at + SERIES_SPAN)
    }
}

impl Sim {
    pub(super) fn add_agent(&mut self) {
        let host = self.new_agent(None);
        self.agents.push(host);
        let agent = self.agents.len() - 1;
        for entry in 0..ENTRIES {
            self.schedule_connection(Duration::from_millis(10), entry, agent);
        }
    }

    fn new_agent(&mut self, killed_at: Option<Instant>) -> AgentHost {
        let cfg = WorkerConfig::builder();
        let cfg = match self.defect {
            Some(InjectedDefect::LongEntryLease) => cfg.entry_lease(Duration::from_mins(1)).build(),
            _ => cfg.build(),
        };
        AgentHost {
            process: self.rng.random(),
            core: WorkerCore::new(cfg, self.now),
            tick_at: None,
            killed_at,
        }
    }

    pub(super) fn handle_agent_event(&mut self, agent: usize, event: AgentEvent) {
        let mut actions = Vec::new();
        let host = &mut self.agents[agent];
        let process = host.process;
        let ordered: Option<(ProcessId, Vec<AttemptKey>)> = match &event {
            AgentEvent::FromEntry {
                link,
                message: EntryToWorker::Start(order),
            } => {
                let keys = order.tasks.iter().map(|task| task.key).collect();
                self.links.get(link).map(|link| (link.entry_process, keys))
            }
            _ => None,
        };
        host.core.handle(self.now, event, &mut actions);
        if let Some((entry, keys)) = ordered {
            for key in keys {
                let refused = actions.iter().any(|action| {
                    matches!(action, AgentAction::Notice(AgentNotice::StartRefused { key: refused, .. }) if *refused == key)
                });
                if !refused {
                    self.attempts.accept(agent, (entry, key));
                }
                self.trace(|| {
                    format!("agent {agent} receives a start of {key:?} from entry process {entry:x}; refused: {refused}")
                });
            }
        }
        for action in actions {
            match action {
                AgentAction::ToEntry(link, message) => {
                    self.schedule(LINK_DELAY, ScheduledEvent::ToEntry(link, message));
                }
                AgentAction::Call {
                    call, worker, order, ..
                } => {
                    let name = super::workers::parse_name(&worker);
                    if let Order::Start { task, run, .. } = &order {
                        let run = ListedRun {
                            task: *task,
                            number: *run,
                        };
                        self.attempts.order_run(agent, name, run);
                    }
                    self.send_order(agent, process, call, name, order);
                }
                AgentAction::Notice(notice) => self.trace(|| format!("agent {agent}: {notice:?}")),
            }
        }
        self.schedule_agent_tick(agent);
    }

    fn schedule_agent_tick(&mut self, agent: usize) {
        let host = &mut self.agents[agent];
        let at = host.core.next_wakeup().max(self.now + Duration::from_millis(1));
        if host.tick_at.is_none_or(|scheduled| at < scheduled) {
            host.tick_at = Some(at);
            self.schedule(at - self.now, ScheduledEvent::AgentTick(agent));
        }
    }

    pub(super) fn tick_agent(&mut self, agent: usize) {
        let host = &mut self.agents[agent];
        if host.tick_at != Some(self.now) {
            return;
        }
        host.tick_at = None;
        if host.core.next_wakeup() <= self.now {
            self.handle_agent_event(agent, AgentEvent::Tick);
        } else {
            self.schedule_agent_tick(agent);
        }
    }

    /// Replaces an agent by a new process, to which entries connect after a delay.
    pub(super) fn kill_agent(&mut self, agent: usize, (shortest, longest): ConnectionDelay) {
        let former = &self.agents[agent];
        let former_process = former.process;
        self.counts.repeated_kills += u64::from(former.is_recent(self.now));
        let host = self.new_agent(Some(self.now));
        self.agents[agent] = host;
        self.trace(|| format!("agent {agent} is killed"));
        self.schedule_agent_tick(agent);
        self.close_matching(|link| link.agent_process == former_process);
        for entry in 0..ENTRIES {
            let shortest = Duration::from_millis(shortest);
            let longest = Duration::from_millis(longest);
            let delay = if shortest < longest {
                self.rng.random_range(shortest..longest)
            } else {
                shortest
            };
            self.schedule_connection(delay, entry, agent);
        }
    }
}

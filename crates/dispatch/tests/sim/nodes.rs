//! Simulated entries, agents and targets: passes events to the cores and performs their actions.

use std::time::Duration;

use chestnutfork_dispatch as dispatch;
use chestnutfork_dispatch::{EntryCore, PolicyTable, TeamQuota};
use chestnutfork_register::View;
use chestnutfork_slots as slots;
use chestnutfork_slots::AgentCore;
use chestnutfork_types::{
    AttemptOutcome, CreditId, Dispatch, HedgePolicy, OptimizationGoal, ProcessId, ServicePolicy,
};
use indexmap::IndexMap;
use rand::RngExt;

use super::net::{Message, key};
use super::{FaultMode, Sim, Step};

/// Service whose tasks start at most once.
pub const AT_MOST_ONCE: &str = "desk";
/// Service whose tasks may be retried and are hedged.
pub const IDEMPOTENT: &str = "lookup";
pub const TEAM: &str = "setters";

/// Simulated entry process.
pub struct EntryNode {
    pub machine: usize,
    pub core: EntryCore,
    wake: Option<Duration>,
}

/// Simulated agent process and its target.
pub struct AgentNode {
    pub machine: usize,
    pub slots: u32,
    pub core: AgentCore,
    wake: Option<Duration>,
}

fn policies() -> PolicyTable {
    let desk = ServicePolicy::builder("pool").build();
    let hedge = HedgePolicy {
        enabled: true,
        delay_factor: 2.0,
    };
    let lookup = ServicePolicy::builder("pool")
        .at_most_once(false)
        .optimization_goal(OptimizationGoal::Latency)
        .hedge(hedge)
        .build();
    let services = [(AT_MOST_ONCE.to_owned(), desk), (IDEMPOTENT.to_owned(), lookup)];
    let quota = TeamQuota {
        team: TEAM.into(),
        quota: 60,
    };
    PolicyTable {
        version: 1,
        services: IndexMap::from(services),
        quotas: vec![quota],
    }
}

impl Sim {
    pub(super) fn start_entry(&mut self, machine: usize) -> ProcessId {
        let process = self.rng.random_range(1..u64::MAX);
        let core = EntryCore::builder(process).build(self.base + self.now);
        let node = EntryNode {
            machine,
            core,
            wake: None,
        };
        self.entries.insert(process, node);
        self.leases.insert(process, self.now + super::faults::LEASE);
        let setup = [
            dispatch::Event::Policies(policies()),
            dispatch::Event::Confirmed(true),
        ];
        for event in setup {
            self.entry_event(process, event)
                .expect("the initial events violate no invariant");
        }
        let others: Vec<ProcessId> = self.entries.keys().chain(self.agents.keys()).copied().collect();
        self.dial_all(process, others);
        self.schedule(Duration::ZERO, Step::Renew { process });
        process
    }

    pub(super) fn start_agent(&mut self, machine: usize) -> ProcessId {
        let process = self.rng.random_range(1..u64::MAX);
        let core = AgentCore::builder("fd").build();
        let min_slots = if self.fault_mode == FaultMode::None { 2 } else { 1 };
        let slots = self.rng.random_range(min_slots..5);
        let node = AgentNode {
            machine,
            slots,
            core,
            wake: None,
        };
        self.agents.insert(process, node);
        self.agent_ids.insert(process);
        let event = slots::Event::ConfigState {
            version: 1,
            confirmed: true,
            refusing: Vec::new(),
        };
        self.agent_event(process, event)
            .expect("the initial events violate no invariant");
        let entries: Vec<ProcessId> = self.entries.keys().copied().collect();
        self.dial_all(process, entries);
        process
    }

    fn dial_all(&mut self, process: ProcessId, others: Vec<ProcessId>) {
        for other in others {
            if other != process {
                let delay = self.random_millis(1, 100);
                let key = key(process, other);
                self.schedule(delay, Step::Dial { key });
            }
        }
    }

    pub(super) fn entry_event(&mut self, process: ProcessId, event: dispatch::Event) -> Result<(), String> {
        let Some(machine) = self.entries.get(&process).map(|node| node.machine) else {
            return Ok(());
        };
        let (now, wall) = (self.base + self.now, self.wall(machine));
        let node = self.entries.get_mut(&process).expect("node was just found");
        let mut actions = Vec::new();
        node.core.handle(now, wall, event, &mut actions);
        if let Some(violation) = node.core.verify().first() {
            return Err(violation.to_string());
        }
        for action in actions {
            match action {
                dispatch::Action::ToAgent { agent, message } => {
                    self.send(process, agent, Message::ToAgent(message));
                }
                dispatch::Action::ToPeer { peer, message } => {
                    self.send(process, peer, Message::Peer(message));
                }
                dispatch::Action::Reply { ticket, result } => self.reply(process, ticket, &result)?,
                dispatch::Action::Synced { .. } => {}
                dispatch::Action::Drained => self.entry_drained(process)?,
            }
        }
        self.schedule_wake(process);
        Ok(())
    }

    pub(super) fn agent_event(&mut self, process: ProcessId, event: slots::Event) -> Result<(), String> {
        let now = self.base + self.now;
        let Some(node) = self.agents.get_mut(&process) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        node.core.handle(now, event, &mut actions);
        if let Some(violation) = node.core.verify().first() {
            return Err(violation.to_string());
        }
        for action in actions {
            match action {
                slots::Action::Send { entry, message } => {
                    self.send(process, entry, Message::ToEntry(message));
                }
                slots::Action::Start { dispatch, .. } => self.start_task(process, &dispatch)?,
                slots::Action::Stop { credit } => self.stop_task(process, credit),
                slots::Action::Drained => self.agent_drained(process)?,
            }
        }
        self.schedule_wake(process);
        Ok(())
    }

    fn schedule_wake(&mut self, process: ProcessId) {
        let (next, wake) = if let Some(node) = self.entries.get_mut(&process) {
            (node.core.next_wakeup(), &mut node.wake)
        } else if let Some(node) = self.agents.get_mut(&process) {
            (node.core.next_wakeup(), &mut node.wake)
        } else {
            return;
        };
        let at = next.map(|at| at.saturating_duration_since(self.base).max(self.now));
        if let Some(at) = at
            && wake.is_none_or(|wake| at < wake)
        {
            *wake = Some(at);
            let delay = at.saturating_sub(self.now);
            self.schedule(delay, Step::Wake { process });
        }
    }

    pub(super) fn wake(&mut self, process: ProcessId) -> Result<(), String> {
        let now = self.now;
        let due = |wake: &mut Option<Duration>| wake.take_if(|at| *at <= now).is_some();
        if let Some(node) = self.entries.get_mut(&process) {
            if due(&mut node.wake) {
                return self.entry_event(process, dispatch::Event::Tick);
            }
        } else if let Some(node) = self.agents.get_mut(&process)
            && due(&mut node.wake)
        {
            return self.agent_event(process, slots::Event::Tick);
        }
        Ok(())
    }

    pub(super) fn receive(&mut self, from: ProcessId, to: ProcessId, message: Message) -> Result<(), String> {
        match message {
            Message::ToAgent(message) => {
                self.agent_event(to, slots::Event::FromEntry { entry: from, message })
            }
            Message::ToEntry(message) => {
                self.entry_event(to, dispatch::Event::AgentMessage { agent: from, message })
            }
            Message::Peer(message) => {
                self.entry_event(to, dispatch::Event::PeerMessage { peer: from, message })
            }
        }
    }

    pub(super) fn report_link_up(&mut self, at: ProcessId, other: ProcessId) -> Result<(), String> {
        if self.agents.contains_key(&at) {
            self.agent_event(at, slots::Event::EntryUp { entry: other })
        } else if self.agent_ids.contains(&other) {
            self.entry_event(at, dispatch::Event::AgentUp { agent: other })
        } else {
            self.entry_event(at, dispatch::Event::PeerUp { peer: other })
        }
    }

    pub(super) fn report_link_down(&mut self, at: ProcessId, other: ProcessId) -> Result<(), String> {
        if self.agents.contains_key(&at) {
            return self.agent_event(at, slots::Event::EntryDown { entry: other });
        }
        let event = if self.agent_ids.contains(&other) {
            dispatch::Event::AgentDown { agent: other }
        } else {
            dispatch::Event::PeerDown { peer: other }
        };
        self.entry_event(at, event)
    }

    pub(super) fn install(&mut self, process: ProcessId, view: View) -> Result<(), String> {
        self.entry_event(process, dispatch::Event::ViewInstalled(view))
    }

    pub(super) fn entry_lease_ended(&mut self, agent: ProcessId, entry: ProcessId) -> Result<(), String> {
        self.agent_event(agent, slots::Event::EntryLeaseEnded { entry })
    }

    /// Announces the target of a machine to its agent, every second while the target is up.
    pub(super) fn announce(&mut self, machine: usize) -> Result<(), String> {
        self.schedule(Duration::from_secs(1), Step::Announce { machine });
        let leaving = !self.is_fault_free() && self.chance(4);
        if !self.is_fault_free() && self.chance(3) {
            let slots = self.rng.random_range(1..5);
            let mut nodes = self.agents.values_mut();
            if let Some(node) = nodes.find(|node| node.machine == machine) {
                node.slots = slots;
            }
        }
        let agent = self.agents.iter().find(|(_, node)| node.machine == machine);
        let Some((&process, node)) = agent.filter(|_| !self.targets_down.contains(&machine)) else {
            return Ok(());
        };
        let event = slots::Event::TargetAnnounced {
            target: format!("target-{machine}"),
            pool: "pool".into(),
            slots: node.slots,
            leaving,
        };
        self.agent_event(process, event)
    }

    /// Starts a task at the target if it is up, and draws its outcome and run time.
    fn start_task(&mut self, agent: ProcessId, dispatch: &Dispatch) -> Result<(), String> {
        let credit = dispatch.credit;
        let machine = self.agents[&agent].machine;
        if self.targets_down.contains(&machine) {
            let outcome = AttemptOutcome::NotStarted {
                reason: "the target refused the connection".into(),
            };
            self.schedule_task_end(agent, credit, outcome, Duration::from_millis(1));
            return Ok(());
        }
        self.count_start(dispatch)?;
        let lowest = if self.fault_mode == FaultMode::None { 2 } else { 0 };
        let (outcome, run_time) = match self.rng.random_range(lowest..20) {
            0 => {
                let reason = "the target failed".into();
                (AttemptOutcome::Failed { reason }, self.random_millis(1, 50))
            }
            1 => {
                let reason = "the target did not answer in time".into();
                (AttemptOutcome::Unknown { reason }, dispatch.remaining)
            }
            _ => {
                let output = dispatch.payload.clone();
                let slow = self.chance(10);
                let run_time = if slow {
                    self.random_millis(500, 4000)
                } else {
                    self.random_millis(5, 400)
                };
                (AttemptOutcome::Completed { output }, run_time)
            }
        };
        self.schedule_task_end(agent, credit, outcome, run_time);
        Ok(())
    }

    fn schedule_task_end(
        &mut self,
        agent: ProcessId,
        credit: CreditId,
        outcome: AttemptOutcome,
        run_time: Duration,
    ) {
        let step = Step::TaskEnd {
            agent,
            credit,
            outcome,
            run_time,
        };
        self.schedule(run_time, step);
    }

    /// Stops a task soon or not at all; the agent ignores any later end of the same task.
    fn stop_task(&mut self, agent: ProcessId, credit: CreditId) {
        if self.chance(60) {
            let reason = "the task was stopped".into();
            let run_time = self.random_millis(1, 40);
            self.schedule_task_end(agent, credit, AttemptOutcome::Unknown { reason }, run_time);
        }
    }

    pub(super) fn task_end(
        &mut self,
        agent: ProcessId,
        credit: CreditId,
        outcome: AttemptOutcome,
        run_time: Duration,
    ) -> Result<(), String> {
        let event = slots::Event::TaskEnded {
            credit,
            outcome,
            run_time,
        };
        self.agent_event(agent, event)
    }
}

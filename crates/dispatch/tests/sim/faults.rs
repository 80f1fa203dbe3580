//! Simulated control with its leases and views, and the injection of faults.

use std::time::Duration;

use chestnutfork_dispatch as dispatch;
use chestnutfork_slots as slots;
use chestnutfork_types::ProcessId;
use rand::RngExt;

use super::nodes::AT_MOST_ONCE;
use super::{FAULT_PERIOD, Sim, Step};

/// Length of the lease that control grants to an entry.
pub const LEASE: Duration = Duration::from_secs(2);
/// Time by which the floor of a new view is ahead of control's clock; equal to the margin of the control role.
const FLOOR_MARGIN: Duration = Duration::from_secs(12);

impl Sim {
    fn can_reach_control(&self, process: ProcessId) -> bool {
        let machine = self.machine(process);
        machine.is_some_and(|machine| {
            !self.partitioned.contains(&machine) && !self.control_unreachable.contains(&machine)
        })
    }

    pub(super) fn renew(&mut self, process: ProcessId) {
        let Some(node) = self.entries.get(&process) else {
            return;
        };
        if self.can_reach_control(process) {
            if let Some(view) = node.core.synced_view() {
                self.synced.insert((process, view));
            }
            self.leases.insert(process, self.now + LEASE);
            self.expired_entries.remove(&process);
            let view = self.view.clone();
            let delay = self.random_millis(1, 40);
            self.schedule(delay, Step::Install { process, view });
        }
        let delay = self.random_millis(100, 500);
        self.schedule(delay, Step::Renew { process });
    }

    /// Expires leases, sometimes notifies agents of entries without a lease, and commits the next view if one is due.
    pub(super) fn control(&mut self) {
        let now = self.now;
        let ended: Vec<ProcessId> = self
            .leases
            .iter()
            .filter(|&(_, &until)| until <= now)
            .map(|(&process, _)| process)
            .collect();
        for &entry in &ended {
            self.leases.remove(&entry);
        }
        self.expired_entries.extend(ended);
        if self.chance(20) {
            self.notify_agents_of_ended_leases();
        }
        self.commit_view();
        let delay = self.random_millis(20, 200);
        self.schedule(delay, Step::Control);
    }

    /// Notifies agents of the entries without a lease. Notices repeat, as every list from control contains these
    /// entries.
    fn notify_agents_of_ended_leases(&mut self) {
        let expired: Vec<ProcessId> = self.expired_entries.iter().copied().collect();
        for entry in expired {
            let agents: Vec<ProcessId> = self.agents.keys().copied().collect();
            for agent in agents {
                let delay = self.random_millis(1, 500);
                self.schedule(delay, Step::EntryLeaseEnded { agent, entry });
            }
        }
    }

    fn commit_view(&mut self) {
        let leased: Vec<ProcessId> = self.leases.keys().copied().collect();
        let number = self.view.number;
        let reported = self.synced.iter().filter(|&&(_, view)| view == number);
        let synced: Vec<ProcessId> = reported.map(|&(process, _)| process).collect();
        let floor = self.wall(self.entry_machines) + FLOOR_MARGIN;
        if let Some(next) = self.view.next(&leased, &synced, floor) {
            self.stats.views += 1;
            self.stats.lost_registers += u64::from(next.floor != self.view.floor);
            self.view = next;
        }
    }

    pub(super) fn inject_fault(&mut self) -> Result<(), String> {
        self.partitioned.clear();
        self.control_unreachable.clear();
        if self.is_fault_free() {
            return self.repair_all();
        }
        let entry = self.rng.random_range(0..self.entry_machines);
        let agent = self.rng.random_range(0..self.agent_machines);
        // The first three faults crash entries.
        let lowest = if self.few_crashes && self.chance(80) { 3 } else { 0 };
        match self.rng.random_range(lowest..16) {
            0 => self.crash_entry(entry),
            1 => {
                self.crash_entry(entry);
                self.start_entry(entry);
            }
            // Loses a second machine right after the first one is repaired.
            2 => {
                self.restart_missing();
                self.crash_entry((entry + 1) % self.entry_machines);
            }
            3 => {
                self.crash_agent(agent);
                self.start_agent(agent);
            }
            4 => self.crash_agent(agent),
            5 => {
                let machines = self.entry_machines + self.agent_machines;
                self.partitioned.insert(self.rng.random_range(0..machines));
            }
            6 => {
                self.control_unreachable.insert(entry);
            }
            7 => {
                self.targets_down.insert(agent);
            }
            8 => self.drain_entry(entry)?,
            9 => self.drain_agent(agent)?,
            10 => self.set_confirmed(false)?,
            11 => self.stall_random_process(),
            12..14 => {
                for _ in 0..self.rng.random_range(1..4) {
                    self.break_random_link();
                }
            }
            _ => {
                self.restart_missing();
                self.targets_down.clear();
                self.set_confirmed(true)?;
            }
        }
        let delay = if self.chance(30) {
            self.random_millis(20, 300)
        } else {
            self.random_millis(300, 3000)
        };
        let left = FAULT_PERIOD.saturating_sub(self.now);
        self.schedule(delay.min(left), Step::Fault);
        Ok(())
    }

    /// Returns the remaining stall of the process that handles the step, if it is stalled.
    pub(super) fn remaining_stall(&self, step: &Step) -> Option<Duration> {
        let process = match step {
            Step::Deliver { to: process, .. }
            | Step::LinkUp { at: process, .. }
            | Step::LinkDown { at: process, .. }
            | Step::Wake { process }
            | Step::TaskEnd { agent: process, .. }
            | Step::Renew { process }
            | Step::Install { process, .. }
            | Step::EntryLeaseEnded { agent: process, .. } => *process,
            Step::Announce { machine } => self.agent_on(*machine)?,
            _ => return None,
        };
        let until = self.stalls.get(&process)?;
        until.checked_sub(self.now).filter(|left| !left.is_zero())
    }

    /// Stalls an entry or agent, sometimes for longer than the lifetime of credits and leases.
    fn stall_random_process(&mut self) {
        let all: Vec<ProcessId> = self.entries.keys().chain(self.agents.keys()).copied().collect();
        if all.is_empty() {
            return;
        }
        let process = all[self.rng.random_range(0..all.len())];
        if self.stalls.get(&process).is_some_and(|&until| until > self.now) {
            return;
        }
        // The odd nanoseconds keep the delayed steps in order, because no other step is scheduled at the same instant.
        let odd_nanos = Duration::from_nanos(self.rng.random_range(1..1_000_000));
        let until = self.now + self.random_millis(100, 6000) + odd_nanos;
        self.stalls.insert(process, until);
    }

    fn repair_all(&mut self) -> Result<(), String> {
        self.targets_down.clear();
        self.restart_missing();
        self.set_confirmed(true)
    }

    fn set_confirmed(&mut self, confirmed: bool) -> Result<(), String> {
        let entries: Vec<ProcessId> = self.entries.keys().copied().collect();
        for entry in entries {
            if confirmed || self.chance(50) {
                self.entry_event(entry, dispatch::Event::Confirmed(confirmed))?;
            }
        }
        let agents: Vec<ProcessId> = self.agents.keys().copied().collect();
        for agent in agents {
            if confirmed || self.chance(50) {
                let event = slots::Event::ConfigState {
                    version: 1,
                    confirmed,
                    refusing: vec![AT_MOST_ONCE.into()],
                };
                self.agent_event(agent, event)?;
            }
        }
        Ok(())
    }

    fn entry_on(&self, machine: usize) -> Option<ProcessId> {
        let mut entries = self.entries.iter();
        entries
            .find(|(_, node)| node.machine == machine)
            .map(|(&process, _)| process)
    }

    fn agent_on(&self, machine: usize) -> Option<ProcessId> {
        let mut agents = self.agents.iter();
        agents
            .find(|(_, node)| node.machine == machine)
            .map(|(&process, _)| process)
    }

    fn crash_entry(&mut self, machine: usize) {
        if let Some(process) = self.entry_on(machine) {
            self.stats.crashes += 1;
            self.close_calls(process);
            self.drop_links(process);
            self.entries.remove(&process);
        }
    }

    fn crash_agent(&mut self, machine: usize) {
        if let Some(process) = self.agent_on(machine) {
            self.stats.crashes += 1;
            self.drop_links(process);
            self.agents.remove(&process);
        }
    }

    fn drain_entry(&mut self, machine: usize) -> Result<(), String> {
        match self.entry_on(machine) {
            Some(process) => self.entry_event(process, dispatch::Event::Drain),
            None => Ok(()),
        }
    }

    fn drain_agent(&mut self, machine: usize) -> Result<(), String> {
        match self.agent_on(machine) {
            Some(process) => self.agent_event(process, slots::Event::Drain),
            None => Ok(()),
        }
    }

    /// Restarts a drained entry, and checks that the graceful shutdown has left no caller without a reply.
    pub(super) fn entry_drained(&mut self, process: ProcessId) -> Result<(), String> {
        if self.has_open_calls(process) {
            return Err(format!("entry {process} has drained but a caller has no reply"));
        }
        if let Some(node) = self.entries.get(&process) {
            let machine = node.machine;
            self.crash_entry(machine);
            self.start_entry(machine);
        }
        Ok(())
    }

    /// Restarts a drained agent, and checks that the graceful shutdown has interrupted no task.
    pub(super) fn agent_drained(&mut self, process: ProcessId) -> Result<(), String> {
        let Some(node) = self.agents.get(&process) else {
            return Ok(());
        };
        if node.core.running_tasks() > 0 {
            return Err(format!("agent {process} has drained but still runs tasks"));
        }
        let machine = node.machine;
        self.crash_agent(machine);
        self.start_agent(machine);
        Ok(())
    }

    fn restart_missing(&mut self) {
        for machine in 0..self.entry_machines {
            if self.entry_on(machine).is_none() {
                self.start_entry(machine);
            }
        }
        for machine in 0..self.agent_machines {
            if self.agent_on(machine).is_none() {
                self.start_agent(machine);
            }
        }
    }
}

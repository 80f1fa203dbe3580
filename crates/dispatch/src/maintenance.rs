//! Work that each linked agent needs from time to time: demand messages, confirmations, expiry of credits.
//!
//! An entry links to every agent, so none of this may look at all agents after every event. Agents that an event changed
//! are looked at once; the others only when a pool's demand leaves the range that suits all its agents, or a time comes.

use std::time::{Duration, Instant};

use chestnutfork_types::{EntryToAgent, PoolName, ProcessId, ServiceName};
use indexmap::IndexMap;

use crate::agents::{Agent, Agents};
use crate::core::EntryCore;
use crate::event::Action;
use crate::placement::saturating_u32;
use crate::service::Service;

/// Shortest time between two demand messages to an agent, unless demand starts or ends.
const DEMAND_INTERVAL: Duration = Duration::from_millis(5);
/// Results that are confirmed together at the latest.
const ACK_BATCH: usize = 32;

/// Demand of a pool at which none of its linked agents has to be told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandRange {
    low: u32,
    high: u32,
    /// Time from which agents that were told too recently may be told again.
    delayed_until: Option<Instant>,
}

impl DemandRange {
    /// Returns the range of an agent that was told `told`.
    fn of(told: u32) -> Self {
        Self {
            low: if told == 0 { 0 } else { (told / 2).max(1) },
            high: told.saturating_mul(2),
            delayed_until: None,
        }
    }

    /// Returns the range of an agent that must not be told a changed demand before `until`, unless demand ends.
    fn delayed(until: Instant) -> Self {
        Self {
            low: 1,
            high: u32::MAX,
            delayed_until: Some(until),
        }
    }

    fn intersect(self, other: Self) -> Self {
        let until = [self.delayed_until, other.delayed_until];
        Self {
            low: self.low.max(other.low),
            high: self.high.min(other.high),
            delayed_until: until.into_iter().flatten().min(),
        }
    }

    /// Reports whether an agent that was told `told` knows the demand well enough, or is told once its delay is over.
    pub(crate) fn covers(self, told: u32, demand: u32) -> bool {
        let own = Self::of(told);
        let known = (own.low..=own.high).contains(&demand);
        known || (self.delayed_until.is_some() && (demand == 0) == (told == 0))
    }

    fn holds(self, now: Instant, demand: u32) -> bool {
        (self.low..=self.high).contains(&demand) && self.delayed_until.is_none_or(|until| now < until)
    }
}

impl Agent {
    /// Decides whether the agent has to be told the demand of its pool, and returns the range that suits it afterwards.
    fn update_reported_demand(&mut self, now: Instant, demand: u32) -> (bool, DemandRange) {
        let told = self.reported_demand;
        let edge = (demand == 0) != (told == 0);
        let changed = demand > told.saturating_mul(2) || demand < told / 2;
        let due_at = self.reported_at.map(|at| at + DEMAND_INTERVAL);
        if !edge && !changed {
            return (false, DemandRange::of(told));
        }
        if let Some(until) = due_at.filter(|&until| !edge && now < until) {
            return (false, DemandRange::delayed(until));
        }
        self.reported_demand = demand;
        self.reported_at = Some(now);
        (true, DemandRange::of(demand))
    }

    /// Returns when credits expire or a pause ends.
    pub(crate) fn credit_wakeup(&self) -> Option<Instant> {
        [self.usable_until, self.paused_until].into_iter().flatten().min()
    }
}

impl Agents {
    /// Brings the due times and the quiet range up to date with an agent that an event changed.
    fn refresh(
        &mut self,
        now: Instant,
        process: ProcessId,
        waiting: &IndexMap<&PoolName, u32>,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.by_process.get_mut(&process).filter(|agent| agent.linked) else {
            return;
        };
        let pool = &agent.announcement.pool;
        let demand = waiting.get(pool).copied().unwrap_or(0);
        let known = self.demand_ranges.get(pool).copied();
        let wakeup = [self.credit_wakeup, agent.credit_wakeup()];
        self.credit_wakeup = wakeup.into_iter().flatten().min();
        let (tell, range) = agent.update_reported_demand(now, demand);
        let range = known.map_or(range, |known| known.intersect(range));
        match self.demand_ranges.get_mut(&agent.announcement.pool) {
            Some(known) => *known = range,
            None => drop(self.demand_ranges.insert(agent.announcement.pool.clone(), range)),
        }
        if tell {
            actions.push(demand_message(process, demand));
        }
        if let Some(due) = agent.acks_due() {
            self.acks_due.insert((due, process));
            if agent.acks.len() >= ACK_BATCH {
                self.flush_acks(process, actions);
            }
        }
    }

    /// Tells every agent whose pool's demand started, ended, or changed by half.
    fn report_demand_to_all(
        &mut self,
        now: Instant,
        waiting: &IndexMap<&PoolName, u32>,
        actions: &mut Vec<Action>,
    ) {
        self.demand_ranges.clear();
        for (&process, agent) in self.by_process.iter_mut().filter(|(_, agent)| agent.linked) {
            let demand = waiting.get(&agent.announcement.pool).copied().unwrap_or(0);
            let (tell, range) = agent.update_reported_demand(now, demand);
            match self.demand_ranges.get_mut(&agent.announcement.pool) {
                Some(known) => *known = known.intersect(range),
                None => drop(self.demand_ranges.insert(agent.announcement.pool.clone(), range)),
            }
            if tell {
                actions.push(demand_message(process, demand));
            }
        }
    }

    /// Confirms the results that have waited long enough.
    ///
    /// An entry that shuts down confirms at once: an agent would keep the results of an entry that is gone until control
    /// has removed the entry, and could not end its own shutdown before.
    fn flush_due_acks(&mut self, now: Instant, draining: bool, actions: &mut Vec<Action>) {
        let is_due = |due: Instant| draining || due <= now;
        while let Some(&(due, process)) = self.acks_due.first().filter(|&&(due, _)| is_due(due)) {
            // An agent without a link gets its confirmations when the link is back.
            self.acks_due.remove(&(due, process));
            self.flush_acks(process, actions);
        }
    }

    /// Confirms results in batches, so that agents can forget them.
    fn flush_acks(&mut self, process: ProcessId, actions: &mut Vec<Action>) {
        let Some(agent) = self.by_process.get_mut(&process).filter(|agent| agent.linked) else {
            return;
        };
        if let Some(due) = agent.acks_due() {
            self.acks_due.remove(&(due, process));
            agent.acks_since = None;
            let credits = std::mem::take(&mut agent.acks);
            actions.push(Action::ToAgent {
                agent: process,
                message: EntryToAgent::Ack { credits },
            });
        }
    }
}

impl EntryCore {
    /// Tells agents what they have to know after the latest events.
    pub(crate) fn update_agents(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Self {
            services,
            agents,
            draining,
            ..
        } = self;
        let waiting = queued_by_pool(services);
        let mut dirty = std::mem::take(&mut agents.dirty);
        dirty.dedup();
        for process in dirty.drain(..) {
            agents.refresh(now, process, &waiting, actions);
        }
        agents.dirty = dirty;
        let mut ranges = agents.demand_ranges.iter();
        let quiet = ranges.all(|(pool, range)| range.holds(now, waiting.get(pool).copied().unwrap_or(0)));
        if !quiet {
            agents.report_demand_to_all(now, &waiting, actions);
        }
        agents.flush_due_acks(now, *draining, actions);
    }

    /// Ends the use of credits whose time is over, and pauses.
    pub(crate) fn expire_credits(&mut self, now: Instant) {
        if self.agents.credit_wakeup.is_none_or(|at| now < at) {
            return;
        }
        for (_, agent) in self.agents.iter_mut() {
            let before = agent.usable_credits();
            agent.expire_credits(now);
            let after = agent.usable_credits();
            if before != after {
                self.router.set_credits(agent.target, saturating_u32(after));
            }
        }
        let linked = self
            .agents
            .iter()
            .map(|(_, agent)| agent)
            .filter(|agent| agent.linked);
        self.agents.credit_wakeup = linked.filter_map(Agent::credit_wakeup).min();
    }

    /// Returns when credits expire or confirmations are due at any agent; it may be too early, but not too late.
    pub(crate) fn agents_wakeup(&self) -> Option<Instant> {
        let acks = self.agents.acks_due.first().map(|&(due, _)| due);
        [self.agents.credit_wakeup, acks].into_iter().flatten().min()
    }
}

/// Returns the number of tasks that wait for each pool.
pub(crate) fn queued_by_pool(services: &IndexMap<ServiceName, Service>) -> IndexMap<&PoolName, u32> {
    let mut waiting = IndexMap::new();
    for service in services.values() {
        *waiting.entry(&service.policy.pool).or_default() += saturating_u32(service.queue.len());
    }
    waiting
}

fn demand_message(agent: ProcessId, waiting: u32) -> Action {
    Action::ToAgent {
        agent,
        message: EntryToAgent::Demand { waiting },
    }
}

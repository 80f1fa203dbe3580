//! Maintenance of linked agents: demand messages, acknowledgement of results, expiry of credits.
//!
//! An entry has a link to every agent, so scanning all agents after every event would be too expensive. After an event
//! only the dirty agents are examined; the others are examined when the demand of a pool leaves its [`DemandRange`] or
//! when a due time is reached.

use std::time::{Duration, Instant};

use chestnutfork_types::{EntryToAgent, PoolName, ProcessId, ServiceName};
use indexmap::IndexMap;

use crate::agents::{Agent, Agents};
use crate::core::EntryCore;
use crate::event::Action;
use crate::placement::saturating_u32;
use crate::service::Service;

/// Minimum interval between two demand messages to an agent, unless demand starts or ends.
const DEMAND_INTERVAL: Duration = Duration::from_millis(5);
/// Number of results after which acknowledgements are sent without waiting for their due time.
const ACK_BATCH: usize = 32;

/// Range of a pool's demand in which none of its linked agents needs a demand message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandRange {
    low: u32,
    high: u32,
    /// Time from which agents whose last demand message is too recent may get the next one.
    delayed_until: Option<Instant>,
}

impl DemandRange {
    /// Returns the range of an agent to which `reported` was last reported.
    fn of(reported: u32) -> Self {
        Self {
            low: if reported == 0 { 0 } else { (reported / 2).max(1) },
            high: reported.saturating_mul(2),
            delayed_until: None,
        }
    }

    /// Returns the range of an agent that must not get a demand message before `until`, unless demand ends.
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

    /// Reports whether `reported` is close enough to the demand, or is corrected once the delay is over.
    pub(crate) fn covers(self, reported: u32, demand: u32) -> bool {
        let own = Self::of(reported);
        let close = (own.low..=own.high).contains(&demand);
        close || (self.delayed_until.is_some() && (demand == 0) == (reported == 0))
    }

    fn contains(self, now: Instant, demand: u32) -> bool {
        (self.low..=self.high).contains(&demand) && self.delayed_until.is_none_or(|until| now < until)
    }
}

impl Agent {
    /// Decides whether the agent needs a demand message, and returns the range in which it needs no further one.
    fn update_reported_demand(&mut self, now: Instant, demand: u32) -> (bool, DemandRange) {
        let reported = self.reported_demand;
        let starts_or_ends = (demand == 0) != (reported == 0);
        let changed = demand > reported.saturating_mul(2) || demand < reported / 2;
        let due_at = self.reported_at.map(|at| at + DEMAND_INTERVAL);
        if !starts_or_ends && !changed {
            return (false, DemandRange::of(reported));
        }
        if let Some(until) = due_at.filter(|&until| !starts_or_ends && now < until) {
            return (false, DemandRange::delayed(until));
        }
        self.reported_demand = demand;
        self.reported_at = Some(now);
        (true, DemandRange::of(demand))
    }

    /// Returns the time at which credits expire or a pause ends.
    pub(crate) fn credit_wakeup(&self) -> Option<Instant> {
        [self.usable_until, self.paused_until].into_iter().flatten().min()
    }
}

impl Agents {
    /// Updates the due times and the demand range of the pool for an agent that an event changed.
    fn refresh(
        &mut self,
        now: Instant,
        process: ProcessId,
        queued: &IndexMap<&PoolName, u32>,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.by_process.get_mut(&process).filter(|agent| agent.linked) else {
            return;
        };
        let pool = &agent.announcement.pool;
        let demand = queued.get(pool).copied().unwrap_or(0);
        let current = self.demand_ranges.get(pool).copied();
        let wakeup = [self.credit_wakeup, agent.credit_wakeup()];
        self.credit_wakeup = wakeup.into_iter().flatten().min();
        let (must_send, range) = agent.update_reported_demand(now, demand);
        let range = current.map_or(range, |current| current.intersect(range));
        match self.demand_ranges.get_mut(&agent.announcement.pool) {
            Some(current) => *current = range,
            None => drop(self.demand_ranges.insert(agent.announcement.pool.clone(), range)),
        }
        if must_send {
            actions.push(demand_message(process, demand));
        }
        if let Some(due) = agent.acks_due() {
            self.acks_due.insert((due, process));
            if agent.acks.len() >= ACK_BATCH {
                self.flush_acks(process, actions);
            }
        }
    }

    /// Sends a demand message to every agent whose pool's demand started, ended, more than doubled or fell below half.
    fn report_demand_to_all(
        &mut self,
        now: Instant,
        queued: &IndexMap<&PoolName, u32>,
        actions: &mut Vec<Action>,
    ) {
        self.demand_ranges.clear();
        for (&process, agent) in self.by_process.iter_mut().filter(|(_, agent)| agent.linked) {
            let demand = queued.get(&agent.announcement.pool).copied().unwrap_or(0);
            let (must_send, range) = agent.update_reported_demand(now, demand);
            match self.demand_ranges.get_mut(&agent.announcement.pool) {
                Some(current) => *current = current.intersect(range),
                None => drop(self.demand_ranges.insert(agent.announcement.pool.clone(), range)),
            }
            if must_send {
                actions.push(demand_message(process, demand));
            }
        }
    }

    /// Acknowledges the results whose acknowledgement is due.
    ///
    /// An entry that is shutting down acknowledges at once. Otherwise an agent would retain the results for the
    /// departed entry until control removes it, and could not complete its own shutdown before.
    fn flush_due_acks(&mut self, now: Instant, draining: bool, actions: &mut Vec<Action>) {
        let is_due = |due: Instant| draining || due <= now;
        while let Some(&(due, process)) = self.acks_due.first().filter(|&&(due, _)| is_due(due)) {
            // An agent without a link gets its acknowledgements once the link is open again.
            self.acks_due.remove(&(due, process));
            self.flush_acks(process, actions);
        }
    }

    /// Sends the batched acknowledgements to an agent, which can then discard the results.
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
    /// Sends the demand messages and acknowledgements that follow from the latest events.
    pub(crate) fn update_agents(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Self {
            services,
            agents,
            draining,
            ..
        } = self;
        let queued = queued_by_pool(services);
        let mut dirty = std::mem::take(&mut agents.dirty);
        dirty.dedup();
        for process in dirty.drain(..) {
            agents.refresh(now, process, &queued, actions);
        }
        agents.dirty = dirty;
        let mut ranges = agents.demand_ranges.iter();
        let in_range =
            ranges.all(|(pool, range)| range.contains(now, queued.get(pool).copied().unwrap_or(0)));
        if !in_range {
            agents.report_demand_to_all(now, &queued, actions);
        }
        agents.flush_due_acks(now, *draining, actions);
    }

    /// Stops the use of credits past their usable time and ends expired pauses.
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

    /// Returns the time at which credits expire, a pause ends or acknowledgements are due at any agent. It may be too
    /// early, but never too late.
    pub(crate) fn agents_wakeup(&self) -> Option<Instant> {
        let acks = self.agents.acks_due.first().map(|&(due, _)| due);
        [self.agents.credit_wakeup, acks].into_iter().flatten().min()
    }
}

/// Returns the number of queued tasks by pool.
pub(crate) fn queued_by_pool(services: &IndexMap<ServiceName, Service>) -> IndexMap<&PoolName, u32> {
    let mut queued = IndexMap::new();
    for service in services.values() {
        *queued.entry(&service.policy.pool).or_default() += saturating_u32(service.queue.len());
    }
    queued
}

fn demand_message(agent: ProcessId, waiting: u32) -> Action {
    Action::ToAgent {
        agent,
        message: EntryToAgent::Demand { waiting },
    }
}

//! Agents that this entry has links to: their credits and the attempts in flight there.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use chestnutfork_routing::TargetIndex;
use chestnutfork_types::{Announcement, AttemptOutcome, CreditId, PoolName, ProcessId};
use indexmap::IndexMap;

use crate::job::TaskRef;
use crate::maintenance::DemandRange;

/// Part of a credit's lifetime during which the entry uses it; the rest covers the way to the agent.
const USABLE_NUMERATOR: u32 = 3;
const USABLE_DENOMINATOR: u32 = 4;

/// Shortest and longest pause after a dispatch that did not start because the target refuses connections or the agent's
/// configuration is unconfirmed. Both last for seconds; the longest pause bounds the delay of the first task after that.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(1600);

/// Dispatch whose end is not known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) task: TaskRef,
    pub(crate) started: Instant,
    /// Whether the job still wants the result.
    pub(crate) result_needed: bool,
    /// Run time that the caller declared.
    pub(crate) declared: Option<Duration>,
    /// Index of the service.
    pub(crate) service: usize,
    /// Index of the team.
    pub(crate) team: usize,
}

/// Agent known to this entry.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) target: TargetIndex,
    pub(crate) announcement: Announcement,
    pub(crate) linked: bool,
    pub(crate) credits: VecDeque<CreditId>,
    pub(crate) usable_until: Option<Instant>,
    /// Whether the usable time of the credits is over; the agent may still renew them.
    pub(crate) stale: bool,
    /// End of the pause after a refusal that the next dispatch would meet as well.
    pub(crate) paused_until: Option<Instant>,
    /// Length of the latest pause; a result ends the backoff.
    pub(crate) pause_length: Duration,
    pub(crate) ttl: Duration,
    pub(crate) attempts: IndexMap<CreditId, Attempt>,
    /// Waiting tasks as last told to the agent.
    pub(crate) reported_demand: u32,
    pub(crate) reported_at: Option<Instant>,
    /// Results to confirm.
    pub(crate) acks: Vec<CreditId>,
    pub(crate) acks_since: Option<Instant>,
}

impl Agent {
    pub(crate) fn new(target: TargetIndex, announcement: Announcement) -> Self {
        Self {
            target,
            announcement,
            linked: true,
            credits: VecDeque::new(),
            usable_until: None,
            stale: false,
            paused_until: None,
            pause_length: Duration::ZERO,
            ttl: Duration::ZERO,
            attempts: IndexMap::new(),
            reported_demand: 0,
            reported_at: None,
            acks: Vec::new(),
            acks_since: None,
        }
    }

    /// Sets the time until which the credits at hand are used.
    pub(crate) fn renew_credits(&mut self, now: Instant, ttl: Duration) {
        self.stale = false;
        self.ttl = ttl;
        self.usable_until = Some(now + ttl * USABLE_NUMERATOR / USABLE_DENOMINATOR);
    }

    /// Takes the credit that came with a result.
    ///
    /// A result does not tell the lifetime; on a new link it is not known until the next renewal.
    pub(crate) fn add_credit(&mut self, now: Instant, credit: CreditId) {
        self.credits.push_back(credit);
        if !self.ttl.is_zero() {
            self.renew_credits(now, self.ttl);
        }
    }

    /// Ends a pause, and stops the use of credits whose usable time is over until they are renewed or reset.
    pub(crate) fn expire_credits(&mut self, now: Instant) {
        if self.usable_until.is_some_and(|until| until <= now) {
            self.usable_until = None;
            self.stale = true;
        }
        self.paused_until = self.paused_until.filter(|&until| until > now);
    }

    /// Drops the credits; the agent has voided them.
    pub(crate) fn clear_credits(&mut self) {
        self.credits.clear();
        self.usable_until = None;
        self.stale = false;
    }

    /// Returns the number of credits that may be used now.
    pub(crate) fn usable_credits(&self) -> usize {
        let usable = !self.stale && self.paused_until.is_none();
        if usable { self.credits.len() } else { 0 }
    }

    /// Notes how an attempt ended: a target that refuses connections is paused, any other end resets the backoff.
    pub(crate) fn update_backoff(&mut self, now: Instant, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotStarted { .. } => self.pause(now),
            _ => self.pause_length = Duration::ZERO,
        }
    }

    /// Sends nothing to the agent for a while.
    pub(crate) fn pause(&mut self, now: Instant) {
        // Refusals of dispatches that were sent together count once.
        if self.paused_until.is_none() {
            self.pause_length = (self.pause_length * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            self.paused_until = Some(now + self.pause_length);
        }
    }

    pub(crate) fn queue_ack(&mut self, now: Instant, credit: CreditId) {
        self.acks.push(credit);
        self.acks_since.get_or_insert(now);
    }
}

/// Table of agents by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    pub(crate) by_process: IndexMap<ProcessId, Agent>,
    by_target: IndexMap<TargetIndex, ProcessId>,
    /// Open links in the order in which they opened, also those without an announcement yet.
    links: IndexMap<ProcessId, u64>,
    last_link_number: u64,
    /// Agents that were changed since they were last looked at; some more than once.
    pub(crate) dirty: Vec<ProcessId>,
    /// Range of demand of each pool in which no agent has to be told.
    pub(crate) demand_ranges: IndexMap<PoolName, DemandRange>,
    /// Times at which confirmations are due.
    pub(crate) acks_due: BTreeSet<(Instant, ProcessId)>,
    /// Time before which no credit expires and no pause ends.
    pub(crate) credit_wakeup: Option<Instant>,
}

impl Agents {
    pub(crate) fn get(&self, agent: ProcessId) -> Option<&Agent> {
        self.by_process.get(&agent)
    }

    /// Returns an agent to be changed, and notes that it was.
    pub(crate) fn get_mut(&mut self, agent: ProcessId) -> Option<&mut Agent> {
        self.dirty.push(agent);
        self.by_process.get_mut(&agent)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ProcessId, &Agent)> {
        self.by_process.iter().map(|(&process, agent)| (process, agent))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (ProcessId, &mut Agent)> {
        self.by_process
            .iter_mut()
            .map(|(&process, agent)| (process, agent))
    }

    pub(crate) fn insert(&mut self, process: ProcessId, agent: Agent) {
        self.dirty.push(process);
        self.by_target.insert(agent.target, process);
        self.by_process.insert(process, agent);
    }

    pub(crate) fn link_opened(&mut self, process: ProcessId) {
        self.last_link_number += 1;
        self.links.insert(process, self.last_link_number);
    }

    pub(crate) fn link_closed(&mut self, process: ProcessId) {
        self.links.swap_remove(&process);
    }

    /// Reports whether the link of `process` opened after that of `other`; a closed link is older than any open one.
    pub(crate) fn has_newer_link(&self, process: ProcessId, other: ProcessId) -> bool {
        self.links.get(&process) > self.links.get(&other)
    }

    /// Removes an agent; its target keeps a newer incarnation if there is one.
    pub(crate) fn remove(&mut self, process: ProcessId) -> Option<Agent> {
        let agent = self.by_process.swap_remove(&process)?;
        if let Some(due) = agent.acks_due() {
            self.acks_due.remove(&(due, process));
        }
        if self.by_target.get(&agent.target) == Some(&process) {
            self.by_target.swap_remove(&agent.target);
        }
        Some(agent)
    }

    /// Returns the current incarnation of the agent beside a target.
    pub(crate) fn at_target(&self, target: TargetIndex) -> Option<ProcessId> {
        self.by_target.get(&target).copied()
    }

    /// Returns the incarnations of a target, by name, other than the given one.
    pub(crate) fn other_incarnations(&self, name: &str, except: ProcessId) -> Vec<ProcessId> {
        let others = self.by_process.iter();
        let others =
            others.filter(|(process, agent)| **process != except && agent.announcement.target == name);
        others.map(|(&process, _)| process).collect()
    }
}

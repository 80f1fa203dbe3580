//! Agents known to this entry, with their credits and their attempts in flight.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use chestnutfork_routing::TargetIndex;
use chestnutfork_types::{Announcement, AttemptOutcome, CreditId, PoolName, ProcessId};
use indexmap::IndexMap;

use crate::job::TaskRef;
use crate::maintenance::DemandRange;

/// Fraction of a credit's lifetime during which the entry uses it; the rest allows for the transit of messages between
/// agent and entry.
const USABLE_NUMERATOR: u32 = 3;
const USABLE_DENOMINATOR: u32 = 4;

/// Bounds of the backoff after a dispatch that did not start because the target refuses connections or the agent's
/// configuration is unconfirmed. Either condition lasts for seconds; the upper bound limits the delay of the first task
/// after it ends.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Dispatched attempt whose outcome is not known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) task: TaskRef,
    pub(crate) started: Instant,
    /// Whether the job still needs the result.
    pub(crate) result_needed: bool,
    /// Run time that the caller declared for the task.
    pub(crate) declared: Option<Duration>,
    /// Index into the services of the entry.
    pub(crate) service: usize,
    /// Index into the teams of the entry.
    pub(crate) team: usize,
}

/// State of one agent incarnation.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) target: TargetIndex,
    pub(crate) announcement: Announcement,
    pub(crate) linked: bool,
    pub(crate) credits: VecDeque<CreditId>,
    pub(crate) usable_until: Option<Instant>,
    /// Whether the credits are past their usable time; the agent may still renew them.
    pub(crate) stale: bool,
    /// End of the pause after a dispatch did not start, because the next one would most likely not start either.
    pub(crate) paused_until: Option<Instant>,
    /// Length of the latest pause. The next pause doubles it; an outcome other than `NotStarted` resets it to zero.
    pub(crate) backoff: Duration,
    pub(crate) ttl: Duration,
    pub(crate) attempts: IndexMap<CreditId, Attempt>,
    /// Number of queued tasks that was last reported to the agent.
    pub(crate) reported_demand: u32,
    pub(crate) reported_at: Option<Instant>,
    /// Credits of the results to acknowledge.
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
            backoff: Duration::ZERO,
            ttl: Duration::ZERO,
            attempts: IndexMap::new(),
            reported_demand: 0,
            reported_at: None,
            acks: Vec::new(),
            acks_since: None,
        }
    }

    /// Restarts the usable time of all credits of the agent.
    pub(crate) fn renew_credits(&mut self, now: Instant, ttl: Duration) {
        self.stale = false;
        self.ttl = ttl;
        self.usable_until = Some(now + ttl * USABLE_NUMERATOR / USABLE_DENOMINATOR);
    }

    /// Adds the credit that came with a result.
    ///
    /// A result does not contain the lifetime of credits; on a new link it is unknown until the next renewal.
    pub(crate) fn add_credit(&mut self, now: Instant, credit: CreditId) {
        self.credits.push_back(credit);
        if !self.ttl.is_zero() {
            self.renew_credits(now, self.ttl);
        }
    }

    /// Ends an expired pause, and marks credits past their usable time as stale until they are renewed or cleared.
    pub(crate) fn expire_credits(&mut self, now: Instant) {
        if self.usable_until.is_some_and(|until| until <= now) {
            self.usable_until = None;
            self.stale = true;
        }
        self.paused_until = self.paused_until.filter(|&until| until > now);
    }

    /// Drops all credits, which the agent has voided.
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

    /// Updates the backoff after an attempt: an attempt that did not start pauses the agent, any other outcome resets
    /// the backoff.
    pub(crate) fn update_backoff(&mut self, now: Instant, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotStarted { .. } => self.pause(now),
            _ => self.backoff = Duration::ZERO,
        }
    }

    /// Suspends dispatches to the agent for the next backoff interval.
    pub(crate) fn pause(&mut self, now: Instant) {
        // Refusals of dispatches that were sent together count as one, because the pause has already begun.
        if self.paused_until.is_none() {
            self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            self.paused_until = Some(now + self.backoff);
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
    /// Sequence number of each open link in order of opening, including links without an announcement yet.
    links: IndexMap<ProcessId, u64>,
    last_link_number: u64,
    /// Agents modified since the last refresh; may contain duplicates.
    pub(crate) dirty: Vec<ProcessId>,
    /// Range of demand by pool in which no agent needs a demand message.
    pub(crate) demand_ranges: IndexMap<PoolName, DemandRange>,
    /// Times at which batched acknowledgements are due.
    pub(crate) acks_due: BTreeSet<(Instant, ProcessId)>,
    /// Lower bound of the times at which a credit expires or a pause ends.
    pub(crate) credit_wakeup: Option<Instant>,
}

impl Agents {
    pub(crate) fn get(&self, agent: ProcessId) -> Option<&Agent> {
        self.by_process.get(&agent)
    }

    /// Returns an agent for modification and marks it as dirty.
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

    /// Removes an agent. The target stays mapped to a newer incarnation if there is one.
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

    /// Returns the current agent incarnation of a target.
    pub(crate) fn at_target(&self, target: TargetIndex) -> Option<ProcessId> {
        self.by_target.get(&target).copied()
    }

    /// Returns the agent incarnations that announced the named target, other than `except`.
    pub(crate) fn other_incarnations(&self, name: &str, except: ProcessId) -> Vec<ProcessId> {
        let others = self.by_process.iter();
        let others =
            others.filter(|(process, agent)| **process != except && agent.announcement.target == name);
        others.map(|(&process, _)| process).collect()
    }
}

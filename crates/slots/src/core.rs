//! State machine of the agent core.
//!
//! This module applies events about the target, links, leases and results, and runs the timers. Messages of entries are
//! handled in `messages`, free slots are divided in `balance`, and the tables of credits are in `ledger`.

use std::time::{Duration, Instant};

use chestnutfork_types::{
    AgentToEntry, Announcement, AttemptOutcome, ConfigVersion, CreditId, PoolName, ProcessId, ServiceName,
    TargetName, TaskResult,
};
use indexmap::{IndexMap, IndexSet};

use crate::builder::{AgentCoreBuilder, Settings};
use crate::event::{Action, Event};
use crate::ledger::Ledger;

/// Target as last announced.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) name: TargetName,
    pub(crate) pool: PoolName,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    /// Time at which the announcement expires.
    pub(crate) expires: Instant,
    /// Whether the announcement has expired.
    pub(crate) expired: bool,
}

/// Configuration in force.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) version: ConfigVersion,
    pub(crate) confirmed: bool,
    pub(crate) refusing: Vec<ServiceName>,
}

/// Recall that an entry has not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Recall {
    pub(crate) count: usize,
    /// Most recently issued credit when the recall was sent.
    pub(crate) last_issued: CreditId,
}

/// Entry that is connected or has running tasks or unacknowledged results.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    pub(crate) connected: bool,
    /// Number of waiting tasks that the entry reported last; free slots are divided in proportion to it.
    pub(crate) waiting: u32,
    /// Reported waiting tasks less the credits issued since; up to this many credits are recalled from other entries.
    pub(crate) unmet_demand: u32,
    /// Whether the lease of the entry ended while its link was up.
    pub(crate) lease_ended: bool,
    pub(crate) recall: Option<Recall>,
}

/// Agent core, which divides the slots of one target among entries and records started tasks.
#[derive(Clone, Debug)]
pub struct AgentCore {
    pub(crate) settings: Settings,
    pub(crate) target: Option<Target>,
    pub(crate) config: Option<Config>,
    pub(crate) entries: IndexMap<ProcessId, Entry>,
    pub(crate) ledger: Ledger,
    pub(crate) draining: bool,
    drained: bool,
    pub(crate) next_renewal: Option<Instant>,
    /// Lower bound of the times at which idle credits and results expire.
    next_expiry: Option<Instant>,
}

impl AgentCore {
    /// Returns a builder for an agent core in the given failure domain.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_slots::{AgentCore, Event};
    ///
    /// let mut core = AgentCore::builder("fd-1").build();
    /// let mut actions = Vec::new();
    /// core.handle(Instant::now(), Event::EntryUp { entry: 7 }, &mut actions);
    /// assert!(actions.is_empty(), "nothing is announced before the target announces itself");
    /// ```
    #[must_use]
    pub fn builder(failure_domain: impl Into<String>) -> AgentCoreBuilder {
        AgentCoreBuilder::new(failure_domain.into())
    }

    pub(crate) fn from_settings(settings: Settings) -> Self {
        Self {
            settings,
            target: None,
            config: None,
            entries: IndexMap::new(),
            ledger: Ledger::default(),
            draining: false,
            drained: false,
            next_renewal: None,
            next_expiry: None,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        self.apply(now, event, actions);
        self.balance(now, actions);
        self.report_drained(actions);
    }

    /// Returns the time at which the next `Tick` is due, if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let lease = self
            .target
            .as_ref()
            .filter(|target| !target.expired)
            .map(|target| target.expires);
        [lease, self.next_renewal, self.next_expiry]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the number of tasks that run at the target.
    #[must_use]
    pub fn running_tasks(&self) -> usize {
        self.ledger.running.len()
    }

    /// Returns the number of issued credits that are not used yet.
    #[must_use]
    pub fn idle_credits(&self) -> usize {
        self.ledger.idle.len()
    }

    /// Reports whether credits may be issued and tasks started.
    #[must_use]
    pub fn is_accepting(&self) -> bool {
        // After a restart, nothing is accepted until control has confirmed a configuration once.
        !self.draining && self.config.is_some() && self.usable_slots() > 0
    }

    /// Returns the slots of the target, or zero while it is leaving or its announcement has expired.
    pub(crate) fn usable_slots(&self) -> usize {
        let live = self
            .target
            .as_ref()
            .filter(|target| !target.leaving && !target.expired);
        live.map_or(0, |target| target.slots as usize)
    }

    fn apply(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::TargetAnnounced {
                target,
                pool,
                slots,
                leaving,
            } => {
                let target = Target {
                    name: target,
                    pool,
                    slots,
                    leaving,
                    expires: now + self.settings.announcement_lease,
                    expired: false,
                };
                self.on_target_announced(target, actions);
            }
            Event::EntryUp { entry } => self.on_entry_up(entry, actions),
            Event::EntryDown { entry } => self.on_entry_down(entry),
            Event::EntryLeaseEnded { entry } => self.on_entry_lease_ended(entry),
            Event::FromEntry { entry, message } => self.on_message(entry, message, actions),
            Event::TaskEnded {
                credit,
                outcome,
                run_time,
            } => self.on_task_ended(now, credit, outcome, run_time, actions),
            Event::ConfigState {
                version,
                confirmed,
                refusing,
            } => self.on_config(version, confirmed, refusing, actions),
            Event::Drain => self.on_drain(actions),
            Event::Tick => self.on_tick(now, actions),
        }
    }

    fn on_target_announced(&mut self, target: Target, actions: &mut Vec<Action>) {
        let changed = self.target.as_ref().is_none_or(|old| {
            old.name != target.name
                || old.pool != target.pool
                || old.slots != target.slots
                || old.leaving != target.leaving
                || old.expired
        });
        self.target = Some(target);
        if changed {
            self.reset_credits(actions);
        }
    }

    /// Voids all idle credits and announces the target again.
    ///
    /// An entry drops its credits when it receives an announcement that is identical to the previous one or differs in
    /// more than the configuration version. So both sides void the same credits at the same point in the order of
    /// messages on the link.
    fn reset_credits(&mut self, actions: &mut Vec<Action>) {
        self.ledger.idle.clear();
        self.announce_all(actions);
    }

    fn on_entry_up(&mut self, entry: ProcessId, actions: &mut Vec<Action>) {
        self.ledger.void_credits_of(entry);
        let state = Entry {
            connected: true,
            ..Entry::default()
        };
        self.entries.insert(entry, state);
        self.announce(entry, actions);
        for pending in self.ledger.results.values() {
            if pending.entry == entry {
                let message = AgentToEntry::Result(pending.result.clone());
                actions.push(Action::Send { entry, message });
            }
        }
    }

    /// Voids the idle credits of a lost link, because messages of an earlier link are not accepted on a later one.
    fn on_entry_down(&mut self, entry: ProcessId) {
        self.ledger.void_credits_of(entry);
        let lease_ended = self.entries.get(&entry).is_some_and(|state| state.lease_ended);
        if lease_ended {
            self.drop_entry(entry);
        } else if self.ledger.has_tasks_of(entry) {
            self.entries.insert(entry, Entry::default());
        } else {
            self.entries.swap_remove(&entry);
        }
    }

    /// Drops an entry and its results, at once or, while it is connected, when its link is lost.
    fn on_entry_lease_ended(&mut self, entry: ProcessId) {
        match self.entries.get_mut(&entry).filter(|state| state.connected) {
            Some(state) => state.lease_ended = true,
            None => self.drop_entry(entry),
        }
    }

    fn drop_entry(&mut self, entry: ProcessId) {
        let results = &self.ledger.results;
        let credits: Vec<CreditId> = results
            .iter()
            .filter(|(_, pending)| pending.entry == entry)
            .map(|(&credit, _)| credit)
            .collect();
        for credit in credits {
            self.ledger.drop_result(credit, self.settings.max_ended);
        }
        self.entries.swap_remove(&entry);
    }

    fn on_task_ended(
        &mut self,
        now: Instant,
        credit: CreditId,
        outcome: AttemptOutcome,
        run_time: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(task) = self.ledger.running.swap_remove(&credit) else {
            return;
        };
        let Some(state) = self.entries.get(&task.entry) else {
            // The entry was dropped after its lease ended, so the result will not be requested.
            self.ledger.drop_result(credit, self.settings.max_ended);
            return;
        };
        let connected = state.connected;
        let mut result = TaskResult {
            credit,
            outcome,
            run_time,
            next_credit: None,
        };
        let retention = self.settings.result_retention;
        self.ledger.add_result(now, task.entry, result.clone(), retention);
        self.schedule_expiry(now + retention);
        while self.ledger.results.len() > self.settings.max_results {
            let Some((oldest, _)) = self.ledger.oldest_result() else {
                break;
            };
            self.ledger.drop_result(oldest, self.settings.max_ended);
        }
        if connected {
            // The stored copy contains no credit, because it may be sent again on a later link.
            result.next_credit = self.next_credit(now, task.entry);
            let message = AgentToEntry::Result(result);
            actions.push(Action::Send {
                entry: task.entry,
                message,
            });
        }
    }

    fn on_config(
        &mut self,
        version: ConfigVersion,
        confirmed: bool,
        refusing: Vec<ServiceName>,
        actions: &mut Vec<Action>,
    ) {
        if self.config.is_none() && !confirmed {
            return;
        }
        let old = self.config.as_ref().map(|config| config.version);
        if old.is_some_and(|old| old > version) {
            return;
        }
        self.config = Some(Config {
            version,
            confirmed,
            refusing,
        });
        if old != Some(version) {
            self.announce_all(actions);
        }
    }

    fn on_drain(&mut self, actions: &mut Vec<Action>) {
        if !self.draining {
            self.draining = true;
            self.reset_credits(actions);
        }
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.next_renewal.is_some_and(|at| at <= now) {
            self.renew_credits(now, actions);
            self.rebalance_idle(actions);
            self.next_renewal = None;
        }
    }

    /// Expires the announcement, idle credits and results, and drops entries that are no longer used.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(target) = &mut self.target
            && !target.expired
            && target.expires <= now
        {
            target.expired = true;
            self.reset_credits(actions);
        }
        if self.next_expiry.is_none_or(|at| at > now) {
            return;
        }
        self.expire_credits(now, actions);
        while let Some((credit, expires)) = self.ledger.oldest_result()
            && expires <= now
        {
            self.ledger.drop_result(credit, self.settings.max_ended);
        }
        self.drop_unused_entries();
        let idle = self.ledger.idle.values().map(|idle| idle.expires).min();
        let result = self.ledger.oldest_result().map(|(_, expires)| expires);
        self.next_expiry = [idle, result].into_iter().flatten().min();
    }

    /// Voids all credits of entries that have an expired credit, for example after a long stall of this process.
    fn expire_credits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let idle = self.ledger.idle.values();
        let expired = idle.filter(|idle| idle.expires <= now).map(|idle| idle.entry);
        let entries: IndexSet<ProcessId> = expired.collect();
        for entry in entries {
            self.ledger.void_credits_of(entry);
            self.announce(entry, actions);
        }
    }

    fn drop_unused_entries(&mut self) {
        let ledger = &self.ledger;
        self.entries
            .retain(|&entry, state| state.connected || ledger.has_tasks_of(entry));
    }

    pub(crate) fn schedule_expiry(&mut self, at: Instant) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |old| old.min(at)));
    }

    fn announce_all(&self, actions: &mut Vec<Action>) {
        let connected = self.entries.iter().filter(|(_, state)| state.connected);
        for (&entry, _) in connected {
            self.announce(entry, actions);
        }
    }

    /// Announces the target, with zero slots if its own announcement has expired.
    fn announce(&self, entry: ProcessId, actions: &mut Vec<Action>) {
        let Some(target) = &self.target else {
            return;
        };
        let announcement = Announcement {
            target: target.name.clone(),
            pool: target.pool.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            slots: if target.expired { 0 } else { target.slots },
            leaving: target.leaving || self.draining,
            config_version: self.config.as_ref().map_or(0, |config| config.version),
        };
        let message = AgentToEntry::Announce(announcement);
        actions.push(Action::Send { entry, message });
    }

    fn report_drained(&mut self, actions: &mut Vec<Action>) {
        let idle = self.ledger.running.is_empty() && self.ledger.results.is_empty();
        if self.draining && !self.drained && idle {
            self.drained = true;
            actions.push(Action::Drained);
        }
    }
}
